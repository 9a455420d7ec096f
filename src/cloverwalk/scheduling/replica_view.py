"""The replicas as the scheduler sees them: work, failures, prompts that are still to be read."""

from collections.abc import Iterable, Mapping
from random import Random

from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.scheduling.batch_limits import batch_room, items_to_preempt, may_read_more
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_memory import ReplicaMemory
from cloverwalk.scheduling.selection import Candidate
from cloverwalk.scheduling.slot_time import ReplicaUse
from cloverwalk.scheduling.zone_reachability import ZoneReachability

SUSPECT_RUN_S = 1.0
"""How long a suspect counts at its replica; online requests last 0.02 to 0.5 s there."""

MOST_CONSIDERED = 128
"""Replicas that one decision looks at; of more, it takes a sample. Each costs some 3 us: at 3,000
replicas a request took the coordinator 9.5 ms, and takes 0.7 ms with the sample (profile). The best
of 128 is usually among the emptiest hundredth of all."""


class ReplicaView:
    """What may be sent to which replica."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        book: ReplicaLoadTracker,
        memory: ReplicaMemory,
        reach: ZoneReachability,
        features: Features,
        random: Random,
    ) -> None:
        self._memory = memory
        self._reach = reach
        self._features = features
        self._zones: dict[str, str] = {}
        """The zones of nodes, by name."""

        self._random = random
        self._directory = directory
        self._book = book
        self._suspects: dict[str, set[str]] = {}
        self._read_until: dict[str, float] = {}
        self.paces: Mapping[str, float] = {}
        """How long work takes now by replica, as a multiple of its service's usual time; empty
        while the choice does not go by it."""

        self._sent_suspects: dict[str, list[tuple[float, str]]] = {}
        """Suspects by the replica that they were sent to: when, and their content."""

        directory.restart_listeners.append(self._forget_start)

    def _forget_start(self, before: Replica, replica: Replica) -> None:
        """A replica has started again: what was sent to it before is gone."""
        self._read_until.pop(replica.replica_id, None)
        self._sent_suspects.pop(replica.replica_id, None)

    # --- failures ---

    def hear_zone(self, node: str, zone: str) -> None:
        """A node tells where it stands."""
        self._zones[node] = zone

    def hear_suspects(
        self, node: str, suspects: list[str], now: float, *, has_returned: bool = False
    ) -> None:
        """Replicas failed at a node; news of it counts for all nodes.

        What a node tells that ``has_returned`` is no news of its zone: a cut has just ended.
        """
        is_old = has_returned and node not in self._suspects
        known = self._suspects.get(node, set())
        self._suspects[node] = set(suspects)
        self._directory.add_peer_suspects(suspects, now)
        for replica_id in suspects:
            if replica_id not in known:
                self._directory.suspect(replica_id, now)
                if not is_old:
                    self._note_failure(node, replica_id, now)

    def _note_failure(self, node: str, replica_id: str, now: float) -> None:
        replica = self._directory.find(replica_id)
        zone = self._zones.get(node, "")
        if replica is None or not self._features.is_on(Feature.ZONE_LOSS):
            return
        others = sum(one.zone == replica.zone for one in self._directory.usable(replica.service))
        self._reach.note_failure(zone, replica.zone, replica_id, others, now)

    def note_answer(self, node: str, replica_id: str, now: float) -> None:
        """A replica answered a request of a node."""
        self._directory.clear_suspicion(replica_id)
        replica = self._directory.find(replica_id)
        if replica is not None:
            self._reach.note_answer(self._zones.get(node, ""), replica.zone, now)

    def remove_node(self, node: str) -> None:
        """A node is gone, and its word with it."""
        self._suspects.pop(node, None)
        self._zones.pop(node, None)

    # --- zones that can't be reached ---

    def is_cut(self, node: str) -> bool:
        """Whether some zone can't be reached from a node's."""
        return self._reach.has_shut(self._zones.get(node, ""))

    def reachable(self, node: str, replicas: list[Replica], now: float) -> list[Replica]:
        """Return the replicas in zones that a node reaches, or where a probe is due."""
        if not self.is_cut(node):
            return replicas
        zone = self._zones.get(node, "")
        return [one for one in replicas if self._reach.may_send(zone, one.zone, now)]

    def note_sent(self, node: str, replica_id: str, now: float) -> None:
        """A request or an item of a node was sent to a replica: it may be a probe."""
        replica = self._directory.find(replica_id)
        if replica is not None:
            self._reach.note_sent(self._zones.get(node, ""), replica.zone, now)

    def _with_room(self, node: str, replicas: list[Replica], now: float) -> list[Replica]:
        """Return the replicas in zones that a node reaches, if there is room, or else all."""
        near = self.reachable(node, replicas, now)
        if len(near) == len(replicas):
            return replicas
        has_room = any(self._book.total(one.replica_id, now).online < one.slots for one in near)
        return near if has_room else replicas

    # --- prompts ---

    def note_reading(self, replica_id: str, reading_ms: float, now: float) -> None:
        """A prompt was sent; a replica reads one after the other."""
        begins_at = max(now, self._read_until.get(replica_id, now))
        self._read_until[replica_id] = begins_at + reading_ms / 1000

    def prefill_ms(self, replica_id: str, now: float) -> float:
        """Return how long a replica still reads what was sent."""
        return max(0.0, self._read_until.get(replica_id, now) - now) * 1000

    # --- requests under which replicas have ended ---

    def note_sent_suspect(self, replica_id: str, content: str, now: float) -> None:
        """A suspect was sent to a replica."""
        for other, sent in list(self._sent_suspects.items()):
            recent = [one for one in sent if now - one[0] < SUSPECT_RUN_S]
            self._sent_suspects[other] = recent
            if not recent:
                del self._sent_suspects[other]
        self._sent_suspects.setdefault(replica_id, []).append((now, content))

    def _other_suspects(self, replica_id: str, content: str, now: float) -> int:
        """Return how many other suspects a replica was sent lately."""
        if not content:
            return 0
        sent = self._sent_suspects.get(replica_id, [])
        return len({known for at, known in sent if now - at < SUSPECT_RUN_S} - {content})

    # --- what may be sent where ---

    def candidates(self, node: str, ask: PlacementRequest, now: float) -> list[Candidate]:
        """Return the replicas that a request was not at yet, or else all, where it fits."""
        usable = self._with_room(node, self._directory.usable(ask.service), now)
        usable = list(self._memory.where_online_fits(self.sample(usable), ask.tokens, now))
        fresh = [one for one in usable if one.replica_id not in ask.avoid]
        suspects = self._suspects.get(node, set())
        paces = self.paces
        return [
            Candidate(
                one,
                self._book.total(one.replica_id, now),
                one.replica_id in suspects or self._directory.is_suspect(one.replica_id, now),
                self._directory.is_peer_suspect(one.replica_id, now),
                self.prefill_ms(one.replica_id, now),
                self._other_suspects(one.replica_id, ask.content, now),
                paces.get(one.replica_id, 1.0),
            )
            for one in fresh or usable
        ]

    def sample(self, replicas: list[Replica], also: Iterable[str] = ()) -> list[Replica]:
        """Return the replicas that a decision looks at: all, or some with those in ``also``."""
        if len(replicas) <= MOST_CONSIDERED:
            return replicas
        by_id = {one.replica_id: one for one in self._random.sample(replicas, MOST_CONSIDERED)}
        services = {one.service for one in by_id.values()}
        for replica_id in also:
            replica = self._directory.find(replica_id)
            if replica is not None and replica.service in services:
                by_id[replica_id] = replica
        return list(by_id.values())

    def can_ever_fit(self, ask: PlacementRequest) -> bool:
        """Whether a request fits into an empty replica of its service."""
        return self._memory.can_ever_fit(ask.service, ask.tokens)

    def has_usable(self, service: str) -> bool:
        """Whether any replica of a service takes new work, full ones included."""
        return bool(self._directory.usable(service))

    def items_to_preempt(self, replica: Replica, now: float) -> int:
        """Return how many items have to give way at a replica, for slots or for memory."""
        by_slots = items_to_preempt(replica.slots, self._book.total(replica.replica_id, now))
        return max(by_slots, self._memory.items_to_preempt(replica, now))

    def preempted_tokens(self, replica_id: str, items: int, now: float) -> int:
        """Return about how much memory comes free when so many items give way."""
        return self._memory.preempted_tokens(replica_id, items, now)

    def fits(self, replica_id: str, tokens: int, now: float) -> bool:
        """Whether a request that may take so many tokens fits into a replica's memory now."""
        replica = self._directory.find(replica_id)
        return replica is not None and self._memory.fits(replica, tokens, now)

    def usable(self, services: list[str]) -> list[Replica]:
        """Return the replicas of some services that take new work."""
        return [one for service in services for one in self._directory.usable(service)]

    def find(self, replica_id: str) -> Replica | None:
        """Return a replica that takes new work."""
        return self._directory.find(replica_id)

    def room(self, replica: Replica, now: float) -> int:
        """Return how many items have a free slot at a replica; none where it failed lately."""
        replica_id = replica.replica_id
        if self._directory.is_suspect(replica_id, now) or self._directory.is_peer_suspect(
            replica_id, now
        ):
            return 0
        return batch_room(replica.slots, self._book.total(replica_id, now))

    @property
    def count(self) -> int:
        """How many replicas are known."""
        return self._directory.count

    def uses(self, now: float) -> list[ReplicaUse]:
        """Return what the slots of all replicas are used for."""
        return [self._use(one, now) for one in self._directory.all()]

    def _use(self, replica: Replica, now: float) -> ReplicaUse:
        replica_id = replica.replica_id
        work = self._book.total(replica_id, now)
        failed = self._directory.is_suspect(replica_id, now)
        return ReplicaUse(
            replica.service,
            replica.slots,
            work.online,
            work.batch,
            replica.is_draining,
            failed or self._directory.is_peer_suspect(replica_id, now),
            self.may_read(replica_id, now),
        )

    def may_read(self, replica_id: str, now: float) -> bool:
        """Whether a replica may be sent the prompt of an item now."""
        return may_read_more(self.prefill_ms(replica_id, now))
