"""A model of an engine with continuous batching; callers pass the current time.

Each step decodes one token for each running stream whose prefill is complete, and prefills some
tokens of the others. A step takes longer with more running streams and more prefilled tokens, so
batch work slows online work down even at a lower priority.
"""

from collections import OrderedDict
from random import Random

from msgspec import Struct

from cloverwalk.config.settings import EngineEmulatorSettings
from cloverwalk.core.types import Refusal, Work
from cloverwalk.emulator.answers import answer_tokens, count_tokens, prompt_seed
from cloverwalk.emulator.prefix_cache import PrefixCache

PREFILL_CHUNK_TOKENS = 512
MAX_ENDED_REQUESTS = 5000
MODEL_BYTES = 100_000_000.0
"""Size of a model's weights in the emulated weight store."""

MAX_WAITING_PER_SLOT = 2


class StartRecord(Struct, frozen=True):
    """A request that the engine started, as in its start log."""

    request_id: str
    attempt: int
    epoch: int
    at: float


class Emission(Struct, frozen=True):
    """Output of one stream in one step."""

    request_id: str
    attempt: int
    first: int
    tokens: int
    text: str
    finished: bool
    step_s: float


class StreamEnd(Struct, frozen=True):
    """A stream that was aborted, with its whole output, including the resumed part."""

    request_id: str
    attempt: int
    text: str
    tokens: int


class RequestStatus(Struct, frozen=True):
    """The state of a request; ``text`` and ``tokens`` are set once it has finished."""

    state: str  # unknown, running, finished, aborted
    text: str = ""
    tokens: int = 0


class LoadReport(Struct, frozen=True):
    """The load of an engine at an earlier time."""

    at: float
    running: int
    waiting: int
    step_s: float
    leaving: bool


class _Stream(Struct):
    work: Work
    epoch: int
    seed: int
    order: int
    generated_tokens: int  # including the resumed tokens
    resumed_tokens: int
    remaining_prefill_tokens: int = -1  # -1 while waiting for a slot

    @property
    def text(self) -> str:
        """Output so far, including the resumed part."""
        return answer_tokens(self.seed, 0, self.generated_tokens)


class EngineModel:
    """The state of one engine."""

    def __init__(self, settings: EngineEmulatorSettings, random: Random) -> None:
        self.settings = settings
        self.model = settings.model
        self.epoch = 0
        self.leaving = False
        self.is_loading = False
        self.cache = PrefixCache(settings.cache_tokens, settings.event_loss, random)
        self.starts: list[StartRecord] = []
        self._running: dict[str, _Stream] = {}
        self._waiting: list[_Stream] = []
        self._ended: OrderedDict[str, RequestStatus] = OrderedDict()
        self._order = 0
        self._step_ends_at: float | None = None
        self._step_s = 0.0
        self._prefilled: list[_Stream] = []
        self._load_history: list[LoadReport] = []
        self.tokens_generated = 0

    # --- calls ---

    def adopt(self, epoch: int) -> list[StreamEnd] | None:
        """Adopt the epoch of a new owner; return the aborted streams, None for a stale epoch."""
        if epoch < self.epoch:
            return None
        if epoch == self.epoch:
            return []
        self.epoch = epoch
        old = [*self._running.values(), *self._waiting]
        return [self._abort(stream) for stream in old if stream.epoch < epoch]

    def start(self, work: Work, epoch: int, now: float) -> Refusal | None:
        """Add work to the waiting streams; return the reason for a refusal, or None."""
        reason = self._refusal(work, epoch)
        if reason is not None:
            return reason
        self._order += 1
        resumed = count_tokens(work.resume_text)
        stream = _Stream(work, epoch, prompt_seed(work.prompt), self._order, resumed, resumed)
        self._waiting.append(stream)
        self.starts.append(StartRecord(work.request_id, work.attempt, epoch, now))
        return None

    def _refusal(self, work: Work, epoch: int) -> Refusal | None:
        if epoch < self.epoch:
            return Refusal.STALE_EPOCH
        if self.leaving:
            return Refusal.LEAVING
        if work.model != self.model or self.is_loading:
            return Refusal.WRONG_MODEL
        if work.request_id in self._running or any(
            stream.work.request_id == work.request_id for stream in self._waiting
        ):
            return Refusal.BUSY
        if len(self._waiting) >= self.settings.slots * MAX_WAITING_PER_SLOT:
            return Refusal.BUSY
        return None

    def cancel(self, request_id: str, attempt: int) -> StreamEnd | None:
        """Abort a stream; return its output so far, or None if there is no such stream."""
        stream = self._find_stream(request_id)
        if stream is None or stream.work.attempt != attempt:
            return None
        return self._abort(stream)

    def _find_stream(self, request_id: str) -> _Stream | None:
        stream = self._running.get(request_id)
        if stream is not None:
            return stream
        return next((entry for entry in self._waiting if entry.work.request_id == request_id), None)

    def _abort(self, stream: _Stream) -> StreamEnd:
        request_id = stream.work.request_id
        if self._running.pop(request_id, None) is None:
            self._waiting.remove(stream)
        elif stream.remaining_prefill_tokens <= 0:
            self.cache.add(stream.work.prompt, stream.work.prompt + stream.text, self._last_step_at)
        self._record_end(request_id, RequestStatus("aborted"))
        return StreamEnd(request_id, stream.work.attempt, stream.text, stream.generated_tokens)

    def status(self, request_id: str) -> RequestStatus:
        """Return the state of a request."""
        if self._find_stream(request_id) is not None:
            return RequestStatus("running")
        return self._ended.get(request_id, RequestStatus("unknown"))

    def begin_load(self, epoch: int) -> bool:
        """Begin to load a model; return False if the epoch is stale or the engine is not idle."""
        if epoch < self.epoch or self._running or self._waiting or self.is_loading:
            return False
        self.is_loading = True
        return True

    def finish_load(self, model: str) -> None:
        """Serve the new model, with an empty cache, once its weights are loaded."""
        self.is_loading = False
        self.model = model
        self.cache.clear()

    def _record_end(self, request_id: str, status: RequestStatus) -> None:
        self._ended[request_id] = status
        if len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    # --- steps ---

    _last_step_at = 0.0

    @property
    def running_count(self) -> int:
        """Number of streams that have a slot."""
        return len(self._running)

    def next_step_at(self, now: float) -> float | None:
        """Return the end time of the current step, which begins if there is work; else None."""
        if self._step_ends_at is None and (self._running or self._waiting):
            self._begin_step(now)
        return self._step_ends_at

    def _begin_step(self, now: float) -> None:
        self._admit()
        remaining_tokens = PREFILL_CHUNK_TOKENS
        self._prefilled = []
        prefilling = sorted(
            (entry for entry in self._running.values() if entry.remaining_prefill_tokens > 0),
            key=lambda entry: (entry.work.priority, entry.order),
        )
        for stream in prefilling:
            prefilled_tokens = min(remaining_tokens, stream.remaining_prefill_tokens)
            stream.remaining_prefill_tokens -= prefilled_tokens
            remaining_tokens -= prefilled_tokens
            if stream.remaining_prefill_tokens == 0:
                self._prefilled.append(stream)
            if remaining_tokens == 0:
                break
        prefill_s = (PREFILL_CHUNK_TOKENS - remaining_tokens) / self.settings.prefill_tokens_per_s
        decode_s = self.settings.step_base_s
        decode_s += self.settings.step_per_stream_s * len(self._running)
        self._step_s = decode_s + prefill_s
        self._step_ends_at = now + self._step_s

    def _admit(self) -> None:
        self._waiting.sort(key=lambda entry: (entry.work.priority, entry.order))
        while self._waiting and len(self._running) < self.settings.slots:
            stream = self._waiting.pop(0)
            prefix = stream.work.prompt + stream.work.resume_text
            tokens = count_tokens(prefix)
            cached = self.cache.cached_tokens(prefix)
            stream.remaining_prefill_tokens = max(1, tokens - cached)
            self._running[stream.work.request_id] = stream

    def step(self, now: float) -> list[Emission]:
        """End the current step; return its output."""
        self._step_ends_at = None
        self._last_step_at = now
        for stream in self._prefilled:
            self.cache.add(stream.work.prompt, stream.work.prompt, now)
        self._prefilled = []
        emissions = []
        for stream in list(self._running.values()):
            if stream.remaining_prefill_tokens == 0:
                emission = self._decode(stream, now)
                if emission is not None:
                    emissions.append(emission)
        self._record_load(now)
        return emissions

    def _decode(self, stream: _Stream, now: float) -> Emission | None:
        work = stream.work
        first = stream.generated_tokens
        stream.generated_tokens = min(first + 1, max(work.max_tokens, stream.resumed_tokens))
        self.tokens_generated += stream.generated_tokens - first
        finished = stream.generated_tokens >= work.max_tokens
        if finished:
            del self._running[work.request_id]
            text = stream.text
            self._record_end(
                work.request_id, RequestStatus("finished", text, stream.generated_tokens)
            )
            self.cache.add(work.prompt, work.prompt + text, now)
        if not work.stream:
            if not finished:
                return None
            first = stream.resumed_tokens
        tokens = stream.generated_tokens - first
        text = answer_tokens(stream.seed, first, tokens)
        return Emission(work.request_id, work.attempt, first, tokens, text, finished, self._step_s)

    # --- reports ---

    def _record_load(self, now: float) -> None:
        if self._load_history and now - self._load_history[-1].at < 0.1:
            return
        report = LoadReport(now, len(self._running), len(self._waiting), self._step_s, self.leaving)
        self._load_history.append(report)
        del self._load_history[:-100]

    def load(self, now: float) -> LoadReport:
        """Return the load and the leaving flag as they were ``load_lag_s`` ago.

        If the engine was idle then, the load is 0 and the flag is the current one.
        """
        visible_until = now - self.settings.load_lag_s
        visible = [report for report in self._load_history if report.at <= visible_until]
        if not visible:
            return LoadReport(visible_until, 0, 0, 0.0, self.leaving)
        if visible_until - visible[-1].at > 1.0:  # the engine was idle afterwards
            return LoadReport(visible_until, 0, 0, 0.0, self.leaving)
        return visible[-1]
