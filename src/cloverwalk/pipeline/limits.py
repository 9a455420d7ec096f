"""The limit filter: rates and concurrency from the weight table.

A limit holds for the whole fleet and is divided among nodes by recent demand, told by
gossip and divided anew every second. A node that is cut off keeps its last share.
"""

from msgspec import Struct

from cloverwalk.control.context import Context
from cloverwalk.core.limit_shares import next_share, share_of_limit
from cloverwalk.core.membership import RateReport
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.core.weight_table import EffectiveRow
from cloverwalk.pipeline.problem import PipelineError
from cloverwalk.pipeline.request import GiveUp, OnlineFilter, OnlineRequest

DIVIDE_EVERY_S = 1.0
RATE_KEEP = 0.7
FORGET_AFTER_S = 300.0


class _Usage(Struct):
    row: EffectiveRow
    requests: TokenBucket
    tokens: TokenBucket
    share: float
    in_flight: int = 0
    arrivals: int = 0
    rate: float = 0.0
    used_at: float = 0.0


class LimitFilter:
    """Admits or refuses by the table's limits."""

    def __init__(self, context: Context, forward: OnlineFilter, give_up: GiveUp) -> None:
        self._context = context
        self._forward = forward
        self._give_up = give_up
        self._usage: dict[tuple[str, str], _Usage] = {}
        self._divided_at = 0.0
        self._in_flight = 0

    def accept(self, request: OnlineRequest) -> None:
        """Count the request against its row, or refuse it."""
        key = (request.call.session_id, request.call.kind)
        usage = self._usage_of(key)
        usage.arrivals += 1
        usage.used_at = self._context.now
        error = self._refusal(usage, request)
        if error is not None:
            self._give_up(request, error)
            return
        usage.in_flight += 1
        self._in_flight += 1
        request.on_end.append(lambda: self._release(usage))
        self._context.metrics.admitted.labels("online").inc()
        self._context.metrics.in_flight.labels("online").set(self._in_flight)
        self._forward.accept(request)

    def _release(self, usage: _Usage) -> None:
        usage.in_flight -= 1
        self._in_flight -= 1
        self._context.metrics.in_flight.labels("online").set(self._in_flight)

    def _refusal(self, usage: _Usage, request: OnlineRequest) -> PipelineError | None:
        now = self._context.now
        row = usage.row
        if row.work_class == "batch":
            message = f"the table gives kind {request.call.kind!r} to batch"
            return PipelineError(422, "wrong_class", message, "cloverwalk-kind")
        if self._in_flight >= self._context.settings.online.max_in_flight:
            return _limited("node_full", "this node has all the requests it takes", 1.0)
        if row.max_in_flight is not None:
            allowed = max(1, round(row.max_in_flight * usage.share)) if row.max_in_flight else 0
            if usage.in_flight >= allowed:
                return _limited("max_in_flight", "the row's max_in_flight is reached", 1.0)
        if row.requests_per_s is not None and not usage.requests.take(now):
            wait_s = usage.requests.wait_s(now)
            return _limited("requests_per_s", "the row's requests_per_s is used up", wait_s)
        tokens = float(request.call.max_tokens)
        if row.tokens_per_s is not None and not usage.tokens.take(now, tokens):
            if row.requests_per_s is not None:
                usage.requests.give_back(1.0)
            wait_s = usage.tokens.wait_s(now, tokens)
            return _limited("tokens_per_s", "the row's tokens_per_s is used up", wait_s)
        return None

    def _usage_of(self, key: tuple[str, str]) -> _Usage:
        row = self._context.table_row(*key)
        usage = self._usage.get(key)
        if usage is None:
            now = self._context.now
            share = share_of_limit(0.0, [], 1 + len(self._context.membership.live(now)))
            buckets = TokenBucket(0.0, 0.0, now), TokenBucket(0.0, 0.0, now)
            usage = self._usage[key] = _Usage(row, *buckets, share)
            self._apply(usage, fill=True)
        elif usage.row is not row:
            usage.row = row
            self._apply(usage, fill=False)
        return usage

    def _apply(self, usage: _Usage, fill: bool) -> None:
        now = self._context.now
        for bucket, limit, least in (
            (usage.requests, usage.row.requests_per_s, 1.0),
            (usage.tokens, usage.row.tokens_per_s, 4096.0),
        ):
            if limit is None:
                continue
            rate = limit * usage.share
            burst = max(rate, least) if limit > 0 else 0.0
            if fill or bucket.rate_per_s == 0.0:
                bucket.set_rate(rate, burst, now)
                bucket.give_back(burst)
            else:
                bucket.set_rate(rate, burst, now)

    # --- shares ---

    def tick(self) -> None:
        """Divide the limits anew."""
        now = self._context.now
        elapsed_s = now - self._divided_at
        if elapsed_s < DIVIDE_EVERY_S:
            return
        self._divided_at = now
        others = self._other_rates()
        node_count = 1 + len(self._context.membership.live(now))
        for key, usage in list(self._usage.items()):
            if usage.in_flight == 0 and now - usage.used_at > FORGET_AFTER_S:
                del self._usage[key]
                continue
            usage.rate = RATE_KEEP * usage.rate + (1 - RATE_KEEP) * usage.arrivals / elapsed_s
            usage.arrivals = 0
            usage.row = self._context.table_row(*key)
            target = share_of_limit(usage.rate, others.get(key, []), node_count)
            usage.share = next_share(usage.share, target)
            self._apply(usage, fill=False)

    def _other_rates(self) -> dict[tuple[str, str], list[float]]:
        rates: dict[tuple[str, str], list[float]] = {}
        for digest in self._context.membership.live(self._context.now):
            for report in digest.rates:
                rates.setdefault((report.session, report.kind), []).append(report.requests_per_s)
        return rates

    def rates(self) -> list[RateReport]:
        """Return recent demand of limited rows, for gossip."""
        return [
            RateReport(session, kind, round(usage.rate, 2))
            for (session, kind), usage in self._usage.items()
            if _is_limited(usage.row) and usage.rate >= 0.01
        ]

    @property
    def in_flight(self) -> int:
        """Admitted requests that have not ended."""
        return self._in_flight


def _is_limited(row: EffectiveRow) -> bool:
    limits = (row.max_in_flight, row.requests_per_s, row.tokens_per_s)
    return any(limit is not None for limit in limits)


def _limited(code: str, detail: str, wait_s: float) -> PipelineError:
    return PipelineError(429, code, detail, retry_after_s=min(wait_s, 3600.0))
