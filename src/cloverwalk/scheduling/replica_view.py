"""The scheduler's view of the replicas: load, failures, pending prefills and reachability."""

from collections.abc import Iterable, Mapping
from random import Random

from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.scheduling.batch_limits import free_item_slots, items_to_preempt, may_prefill_more
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.regions import Distance, Regions
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_memory import ReplicaMemory
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.scheduling.selection import Candidate
from cloverwalk.scheduling.slot_time import ReplicaUse
from cloverwalk.scheduling.warmup_tokens import WarmupTokens
from cloverwalk.scheduling.zone_reachability import ZoneReachability

CRASH_SUSPECT_TTL_S = 1.0
"""How long a crash suspect counts at its replica; longer than online requests usually run."""

MAX_SAMPLED_REPLICAS = 128
"""Replicas that one decision compares; of more replicas it takes a random sample. The cost of a
decision grows with this number, and the best of such a sample is usually among the least loaded
hundredth of all."""


class ReplicaView:
    """Which work may be sent to which replica."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        load_tracker: ReplicaLoadTracker,
        memory: ReplicaMemory,
        reachability: ZoneReachability,
        features: Features,
        random: Random,
        warmup_tokens: WarmupTokens,
        regions: Regions,
        resumptions: Resumptions,
    ) -> None:
        self.regions = regions
        self._resumptions = resumptions
        self._memory = memory
        self._warmup_tokens = warmup_tokens
        self._reachability = reachability
        self._features = features
        self._node_zones: dict[str, str] = {}
        """Zones of nodes, by node name."""

        self._random = random
        self._directory = directory
        self._load_tracker = load_tracker
        self._suspects_by_node: dict[str, set[str]] = {}
        """Replicas that failed at each node, as it last reported."""

        self._prefill_until: dict[str, float] = {}
        """When each replica is expected to have prefilled all prompts sent to it (seconds)."""

        self.current_slowdowns: Mapping[str, float] = {}
        """Current slowdown by replica; empty while slowdowns do not count."""

        self._sent_crash_suspects: dict[str, list[tuple[float, str]]] = {}
        """Recently sent crash suspects by replica: time and content hash."""

        directory.restart_listeners.append(self._on_restart)

    def _on_restart(self, before: Replica, replica: Replica) -> None:
        """Clear the state of a replica's earlier incarnation."""
        self._prefill_until.pop(replica.replica_id, None)
        self._sent_crash_suspects.pop(replica.replica_id, None)

    # --- failures ---

    def record_zone(self, node: str, zone: str) -> None:
        """Record the zone of a node."""
        self._node_zones[node] = zone

    def record_suspects(
        self, node: str, suspects: list[str], now: float, *, has_coordinator: bool = False
    ) -> None:
        """Record the replicas that failed at a node; new ones are suspected for all nodes.

        ``has_coordinator`` means that the coordinator answers the node. The first report of such a
        node is no evidence about zones: its failures may date from a partition that has just ended.
        """
        is_stale = has_coordinator and node not in self._suspects_by_node
        previous = self._suspects_by_node.get(node, set())
        self._suspects_by_node[node] = set(suspects)
        self._directory.add_peer_suspects(suspects, now)
        for replica_id in suspects:
            if replica_id not in previous:
                self._directory.suspect(replica_id, now)
                if not is_stale:
                    self._record_failure(node, replica_id, now)

    def _record_failure(self, node: str, replica_id: str, now: float) -> None:
        replica = self._directory.find(replica_id)
        zone = self._node_zones.get(node, "")
        if replica is None or not self._features.is_on(Feature.ZONE_LOSS):
            return
        zone_replicas = sum(
            candidate.zone == replica.zone for candidate in self._directory.usable(replica.service)
        )
        self._reachability.record_failure(zone, replica.zone, replica_id, zone_replicas, now)

    def record_answer(self, node: str, replica_id: str, now: float) -> None:
        """Record that a replica answered a request of a node."""
        self._directory.clear_suspicion(replica_id)
        replica = self._directory.find(replica_id)
        if replica is not None:
            self._reachability.record_answer(self._node_zones.get(node, ""), replica.zone, now)

    def remove_node(self, node: str) -> None:
        """Remove a node's zone and suspects."""
        self._suspects_by_node.pop(node, None)
        self._node_zones.pop(node, None)

    # --- unreachable zones ---

    def has_unreachable_zone(self, node: str) -> bool:
        """Whether some zone is unreachable from the node's zone."""
        return self._reachability.has_unreachable_zone(self._node_zones.get(node, ""))

    def reachable(self, node: str, replicas: list[Replica], now: float) -> list[Replica]:
        """Return the replicas in zones that a node can reach or where a probe is due."""
        if not self.has_unreachable_zone(node):
            return replicas
        zone = self._node_zones.get(node, "")
        return [
            replica for replica in replicas if self._reachability.may_send(zone, replica.zone, now)
        ]

    def record_sent(self, node: str, replica_id: str, now: float) -> None:
        """Record that work of a node was sent to a replica; it may be a probe of its zone."""
        replica = self._directory.find(replica_id)
        if replica is not None:
            self._reachability.record_sent(self._node_zones.get(node, ""), replica.zone, now)

    def _reachable_with_free_slot(
        self, node: str, replicas: list[Replica], now: float
    ) -> list[Replica]:
        """Return the reachable replicas if one of them has a free slot, else all."""
        reachable = self.reachable(node, replicas, now)
        if len(reachable) == len(replicas):
            return replicas
        has_free_slot = any(
            self._load_tracker.total(replica.replica_id, now).online < replica.slots
            for replica in reachable
        )
        return reachable if has_free_slot else replicas

    # --- prefills ---

    def record_prefill(self, replica_id: str, prefill_ms: float, now: float) -> None:
        """Record a sent prompt; a replica prefills one prompt after the other."""
        begins_at = max(now, self._prefill_until.get(replica_id, now))
        self._prefill_until[replica_id] = begins_at + prefill_ms / 1000

    def prefill_ms(self, replica_id: str, now: float) -> float:
        """Return the remaining prefill time of the prompts sent to a replica."""
        return max(0.0, self._prefill_until.get(replica_id, now) - now) * 1000

    # --- crash suspects ---

    def record_sent_crash_suspect(self, replica_id: str, content: str, now: float) -> None:
        """Record that a crash suspect was sent to a replica."""
        for other_id, sent in list(self._sent_crash_suspects.items()):
            recent = [entry for entry in sent if now - entry[0] < CRASH_SUSPECT_TTL_S]
            self._sent_crash_suspects[other_id] = recent
            if not recent:
                del self._sent_crash_suspects[other_id]
        self._sent_crash_suspects.setdefault(replica_id, []).append((now, content))

    def _other_crash_suspects(self, replica_id: str, content: str, now: float) -> int:
        """Return how many other crash suspects were sent to a replica within the TTL."""
        if not content:
            return 0
        sent = self._sent_crash_suspects.get(replica_id, [])
        return len(
            {other_content for at, other_content in sent if now - at < CRASH_SUSPECT_TTL_S}
            - {content}
        )

    # --- candidates ---

    def candidates(self, node: str, request: PlacementRequest, now: float) -> list[Candidate]:
        """Return the replicas where a request fits, without those it avoids if there are others."""
        usable = self._with_warmup_token_if_needed(self._suitable(request), now)
        usable = self._reachable_with_free_slot(node, usable, now)
        usable = list(self._memory.with_memory_for_online(self.sample(usable), request.tokens, now))
        fresh = [replica for replica in usable if replica.replica_id not in request.avoid]
        suspects = self._suspects_by_node.get(node, set())
        slowdowns = self.current_slowdowns
        zone = self._node_zones.get(node, "")
        return [
            Candidate(
                replica,
                self._load_tracker.total(replica.replica_id, now),
                replica.replica_id in suspects
                or self._directory.is_suspect(replica.replica_id, now),
                self._directory.is_peer_suspect(replica.replica_id, now),
                self.prefill_ms(replica.replica_id, now),
                self._other_crash_suspects(replica.replica_id, request.content, now),
                slowdowns.get(replica.replica_id, 1.0),
                is_warming=self._warmup_tokens.is_warming(replica, now),
                is_in_other_region=(
                    self.regions.distance(zone, replica.zone) is Distance.OTHER_REGION
                ),
            )
            for replica in fresh or usable
        ]

    def _suitable(self, request: PlacementRequest) -> list[Replica]:
        """Return the replicas that take new work, or those at which a resumption may go on."""
        if request.is_resumption:
            return self._resumptions.replicas(request)
        return self._resumptions.beginnable(request)

    def registered_version(self, replica: Replica) -> str:
        """Return the software version of a replica if it is registered, else an empty string."""
        return self._resumptions.registered_version(replica)

    # --- warm-ups ---

    def _with_warmup_token_if_needed(self, replicas: list[Replica], now: float) -> list[Replica]:
        """Return the replicas that need no warm-up token or have one available."""
        if not self._warmup_tokens.may_be_needed:
            return replicas
        return [replica for replica in replicas if self._warmup_tokens.may_place(replica, now)]

    def take_warmup_token(self, replica: Replica, now: float) -> bool:
        """Take a token for a request if the replica needs one; return whether one was taken."""
        return self._warmup_tokens.take(replica, now)

    def warmup_wait_ms(self, service: str, queued: int, now: float) -> float | None:
        """Return the expected wait for a warm-up token behind ``queued`` requests.

        None if a replica of the service isn't warming up, since requests to it need no token.
        """
        usable = self._directory.usable(service)
        if not all(self._warmup_tokens.is_warming(replica, now) for replica in usable):
            return None
        return 1000 * self._warmup_tokens.wait_s(usable, queued, now)

    def sample(self, replicas: list[Replica], also: Iterable[str] = ()) -> list[Replica]:
        """Return the replicas that a decision compares: all, or a sample and those in ``also``."""
        if len(replicas) <= MAX_SAMPLED_REPLICAS:
            return replicas
        by_id = {
            replica.replica_id: replica
            for replica in self._random.sample(replicas, MAX_SAMPLED_REPLICAS)
        }
        services = {replica.service for replica in by_id.values()}
        for replica_id in also:
            replica = self._directory.find(replica_id)
            if replica is not None and replica.service in services:
                by_id[replica_id] = replica
        return list(by_id.values())

    def can_ever_fit(self, request: PlacementRequest) -> bool:
        """Whether a request fits into an idle replica of its service."""
        return self._memory.can_ever_fit(request.service, request.tokens)

    def has_usable(self, request: PlacementRequest) -> bool:
        """Whether any replica may take a request, now or soon.

        Fully loaded ones count, and those whose software version is being registered.
        """
        if request.is_resumption:
            return bool(self._resumptions.replicas(request))
        return bool(self._directory.usable(request.service))

    def items_to_preempt(self, replica: Replica, now: float) -> int:
        """Return how many items to preempt at a replica, for slots or for memory."""
        by_slots = items_to_preempt(
            replica.slots, self._load_tracker.total(replica.replica_id, now)
        )
        return max(by_slots, self._memory.items_to_preempt(replica, now))

    def preempted_tokens(self, replica_id: str, items: int, now: float) -> int:
        """Return approximately how many tokens are freed when this many items are preempted."""
        return self._memory.preempted_tokens(replica_id, items, now)

    def fits(self, replica_id: str, tokens: int, now: float) -> bool:
        """Whether a request of this many tokens fits into a replica's memory now."""
        replica = self._directory.find(replica_id)
        return replica is not None and self._memory.fits(replica, tokens, now)

    def usable(self, services: list[str]) -> list[Replica]:
        """Return the replicas of some services that take new work."""
        return [replica for service in services for replica in self._directory.usable(service)]

    def find(self, replica_id: str) -> Replica | None:
        """Return a replica that takes new work, or None."""
        return self._directory.find(replica_id)

    def free_slots(self, replica: Replica, now: float) -> int:
        """Return how many more items have a slot at a replica.

        0 while it is suspected or warming up, since only online requests get warm-up tokens.
        """
        replica_id = replica.replica_id
        if self._warmup_tokens.is_warming(replica, now):
            return 0
        if self._directory.is_suspect(replica_id, now) or self._directory.is_peer_suspect(
            replica_id, now
        ):
            return 0
        return free_item_slots(replica.slots, self._load_tracker.total(replica_id, now))

    @property
    def count(self) -> int:
        """Number of replicas in the directory."""
        return self._directory.count

    def uses(self, now: float) -> list[ReplicaUse]:
        """Return the current use of the slots of each replica."""
        return [self._use(replica, now) for replica in self._directory.all()]

    def _use(self, replica: Replica, now: float) -> ReplicaUse:
        replica_id = replica.replica_id
        work = self._load_tracker.total(replica_id, now)
        failed = self._directory.is_suspect(replica_id, now)
        return ReplicaUse(
            replica.service,
            replica.slots,
            work.online,
            work.batch,
            self._directory.find(replica_id) is None,
            failed or self._directory.is_peer_suspect(replica_id, now),
            self.may_prefill(replica_id, now),
        )

    def may_prefill(self, replica_id: str, now: float) -> bool:
        """Whether a replica may get the prompt of another item now."""
        return may_prefill_more(self.prefill_ms(replica_id, now))
