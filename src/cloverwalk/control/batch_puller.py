"""From which job owner and class a node pulls batch items for its replicas."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from cloverwalk.control.context import Context
from cloverwalk.core.constants import PULL_TIMEOUT_S
from cloverwalk.core.fair_share import FairShare
from cloverwalk.core.membership import DemandReport
from cloverwalk.core.peer_messages import Pull, PullReply

EMPTY_CLASS_PAUSE_S = 0.2
MAX_PAUSES = 10_000


class ClassKey(Struct, frozen=True):
    """A class of batch work: what fair share is counted by."""

    session: str
    kind: str


class OutstandingPull(Struct, frozen=True):
    """A pull without an answer yet."""

    pull_id: str
    replica: str
    job_owner: str
    class_key: ClassKey
    count: int
    sent_at: float


class _Source(Struct, frozen=True):
    job_owner: str
    pending: int
    urgent: bool


class BatchPuller:
    """Sends pulls and accepts only the answers to those that are still outstanding."""

    def __init__(self, context: Context, own_demand: Callable[[], list[DemandReport]]) -> None:
        self._context = context
        self._own_demand = own_demand
        self._share: FairShare[ClassKey] = FairShare()
        self._pulls: dict[str, OutstandingPull] = {}
        self._paused_until: dict[tuple[str, ClassKey], float] = {}

    def pull(self, replica: str, model: str, count: int, max_prompt_tokens: float) -> int:
        """Ask for items for a replica; return how many were asked for.

        Classes whose prompts are typically longer than ``max_prompt_tokens`` are left out.
        """
        sources = self._sources(model, max_prompt_tokens)
        if not sources:
            return 0
        key = self._choose_class(sources)
        pending = [source.pending for source in sources[key]]
        source = self._context.random.choices(sources[key], weights=pending)[0]
        pull_id = self._context.new_id()
        self._pulls[pull_id] = OutstandingPull(
            pull_id, replica, source.job_owner, key, count, self._context.now
        )
        message = Pull(pull_id, replica, key.session, key.kind, model, count)
        self._context.send(source.job_owner, message)
        return count

    def _choose_class(self, sources: dict[ClassKey, list[_Source]]) -> ClassKey:
        """Return the class to serve: urgent work first, then by fair share."""
        urgent = [key for key, of_key in sources.items() if any(one.urgent for one in of_key)]
        weights = {key: self._weight(key) for key in sources}
        return self._share.choose(urgent or list(sources), weights)

    def _sources(self, model: str, max_prompt_tokens: float) -> dict[ClassKey, list[_Source]]:
        now = self._context.now
        sources: dict[ClassKey, list[_Source]] = {}
        for node, demand in self._demand():
            key = ClassKey(demand.session, demand.kind)
            is_paused = now < self._paused_until.get((node, key), -1e9)
            fits = demand.model == model and demand.prompt_tokens <= max_prompt_tokens
            if fits and demand.pending > 0 and not is_paused:
                source = _Source(node, demand.pending, demand.urgent)
                sources.setdefault(key, []).append(source)
        return sources

    def _demand(self) -> Iterable[tuple[str, DemandReport]]:
        context = self._context
        for digest in context.membership.live(context.now):
            for demand in digest.demand:
                yield digest.node, demand
        for demand in self._own_demand():
            yield context.node_id, demand

    def _weight(self, key: ClassKey) -> float:
        return self._context.table_row(key.session, key.kind).weight

    def accept(self, sender: str, reply: PullReply) -> OutstandingPull | None:
        """Return the pull that a reply answers; None for a late or foreign one."""
        pull = self._pulls.pop(reply.pull_id, None)
        if pull is not None and (len(reply.items) < pull.count or reply.pending == 0):
            self.pause(sender, pull.class_key)
        return pull

    def pause(self, job_owner: str, key: ClassKey, for_s: float = EMPTY_CLASS_PAUSE_S) -> None:
        """Pull nothing of a class from a job owner for a moment."""
        self._paused_until[(job_owner, key)] = self._context.now + for_s

    def charge(self, key: ClassKey, tokens: float) -> None:
        """Count started work against a class."""
        self._share.charge(key, tokens, self._weight(key))

    def expire(self) -> list[OutstandingPull]:
        """Give up overdue pulls and return them; their answers will be refused."""
        now = self._context.now
        expired = [one for one in self._pulls.values() if now - one.sent_at > PULL_TIMEOUT_S]
        for pull in expired:
            del self._pulls[pull.pull_id]
            self.pause(pull.job_owner, pull.class_key, PULL_TIMEOUT_S)
        if len(self._paused_until) > MAX_PAUSES:
            self._paused_until = {k: at for k, at in self._paused_until.items() if at > now}
        return expired
