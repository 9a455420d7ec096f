"""Which replica a request goes to. A pure policy: figures in, a choice out.

The cost of a replica is the time that the request is expected to wait and to be read there: prompts
are read one after the other, so those that were sent before it count. At a replica that works more
slowly than others all this takes longer, see ``slowdown``; a fast one gets more work until it is so
full that the slow one serves as soon. Bytes that cross zones are charged besides. Requests that
share a prompt meet at the same replicas, since every node ranks the replicas of a zone by the same
hash.
"""

from collections.abc import Sequence

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_rank
from cloverwalk.fleet.in_flight import InFlight
from cloverwalk.gateway.replicas import Replica

SUSPECT_COST_MS = 10_000.0
PEER_SUSPECT_COST_MS = 60.0
"""Cost of a replica that failed at another node: about that of a full one over an empty one. A dead
replica looks empty, and all would go there first."""

QUEUED_REQUEST_COST_MS = 60.0
"""Expected wait for each request that is already there beyond the slots."""

LOAD_COST_MS = 30.0
"""Cost of a replica full of online work over an empty one, below its slots."""

HIGH_LOAD_THRESHOLD = 0.5
"""Share of the slots with online work from which a replica counts as crowded."""

HIGH_LOAD_COST_MS = 100.0
"""Cost of a full replica over one that is just crowded, besides ``LOAD_COST_MS``."""

BATCH_COST_MS = 6.0
"""Cost of a replica full of batch work: it gives way, but not at once."""

PREEMPTION_COST_MS = 20.0
"""Cost of a slot that an item has to give up: the item reads its prompt again at another one."""

OTHER_SUSPECT_COST_MS = 40.0
"""Cost of each suspect that a replica was sent lately, for another suspect. Requests whose replica
ended are sent on at the same moment, and a replica that has just started looks best to them all:
four were seen to lose both their replicas by one guilty neighbour. It outweighs a half full one."""

PREFILL_TOKENS_PER_MS = 50.0
OTHER_ZONE_COST_MS = 5.0
OTHER_ZONE_COST_MS_PER_KB = 1.5

NON_RETRYABLE_OTHER_ZONE_COST_MS = 150.0
"""The same for a request that may not run again, where zones may be cut from each other: it is then
lost. More than ``LOAD_COST_MS`` and ``HIGH_LOAD_COST_MS`` together: it stays where a slot is free,
and leaves for a wait of some three requests."""


class Candidate(Struct, frozen=True):
    """A replica that could take a request, with what is known of its load."""

    replica: Replica
    in_flight: InFlight
    is_suspect: bool
    is_peer_suspect: bool = False
    prefill_ms: float = 0.0
    """Time that the replica needs for prompts that were sent there and are not read yet."""

    other_suspects: int = 0
    """Requests sent there lately under which replicas have ended, for one that is a suspect too."""

    slowdown: float = 1.0
    """How long work takes there, as a multiple of the service's usual time."""


class Demand(Struct, frozen=True):
    """What a request asks for."""

    zone: str
    size_bytes: int
    shared_part: str = ""
    """Id of the longest part of its prompt that others share."""

    shared_tokens: int = 0
    own_tokens: int = 0
    """Tokens of the part of its prompt that nobody shares."""

    other_zone_cost_ms: float = OTHER_ZONE_COST_MS
    """Cost of a replica of another zone, besides that of the bytes."""

    start_ms: float = 0.0
    """How long its first event takes at a free slot of a replica of the usual pace."""


def prefill_ms(tokens: int) -> float:
    """Return the time that a replica is expected to read a prompt of so many tokens for."""
    return tokens / PREFILL_TOKENS_PER_MS


def choose(candidates: Sequence[Candidate], demand: Demand) -> Candidate | None:
    """Return the cheapest candidate, or None when there are none.

    >>> near = Replica("r1", "s", "h", 1, "z1", 4, False, 1)
    >>> far = Replica("r2", "s", "h", 2, "z2", 4, False, 1)
    >>> demand = Demand("z1", 1000)
    >>> idle, full = InFlight(), InFlight(online=9)
    >>> choose([Candidate(near, idle, False), Candidate(far, idle, False)], demand).replica.zone
    'z1'
    >>> choose([Candidate(near, full, False), Candidate(far, idle, False)], demand).replica.zone
    'z2'
    >>> reading = Candidate(near, InFlight(online=1), False, prefill_ms=300.0)
    >>> choose([reading, Candidate(far, idle, False)], demand).replica.zone
    'z2'
    """
    if not candidates:
        return None
    affinity_ids = _prefix_affinity_ids(candidates, demand)
    return min(
        candidates,
        key=lambda candidate: (
            _cost_ms(candidate, demand, affinity_ids),
            candidate.replica.replica_id,
        ),
    )


def expected_prefill_ms(
    chosen: Candidate, candidates: Sequence[Candidate], demand: Demand
) -> float:
    """Return how long the chosen replica is expected to read the request's prompt for."""
    has_affinity = chosen.replica.replica_id in _prefix_affinity_ids(candidates, demand)
    tokens = demand.own_tokens + (0 if has_affinity else demand.shared_tokens)
    return chosen.slowdown * prefill_ms(tokens)


def _prefix_affinity_ids(candidates: Sequence[Candidate], demand: Demand) -> set[str]:
    if not demand.shared_part:
        return set()
    ids_by_zone: dict[str, list[str]] = {}
    for candidate in candidates:
        ids_by_zone.setdefault(candidate.replica.zone, []).append(candidate.replica.replica_id)
    return {rendezvous_rank(demand.shared_part, ids)[0] for ids in ids_by_zone.values()}


def _cost_ms(candidate: Candidate, demand: Demand, affinity_ids: set[str]) -> float:
    replica = candidate.replica
    slowdown = candidate.slowdown
    cost = SUSPECT_COST_MS if candidate.is_suspect else 0.0
    cost += PEER_SUSPECT_COST_MS if candidate.is_peer_suspect else 0.0
    in_flight = candidate.in_flight
    cost += candidate.prefill_ms
    cost += OTHER_SUSPECT_COST_MS * candidate.other_suspects
    used = in_flight.online / replica.slots
    cost += slowdown * LOAD_COST_MS * used
    if used > HIGH_LOAD_THRESHOLD:
        cost += HIGH_LOAD_COST_MS * (used - HIGH_LOAD_THRESHOLD) / (1 - HIGH_LOAD_THRESHOLD)
    cost += BATCH_COST_MS * in_flight.batch / replica.slots
    if in_flight.batch and in_flight.total >= replica.slots:
        cost += PREEMPTION_COST_MS
    cost += (slowdown - 1.0) * demand.start_ms
    queue_length = in_flight.online + 1 - replica.slots
    if queue_length > 0:
        # That of a fast replica is short, but nobody should queue while another has a free slot.
        cost += max(1.0, slowdown) * QUEUED_REQUEST_COST_MS * queue_length
    if affinity_ids and replica.replica_id not in affinity_ids:
        cost += slowdown * prefill_ms(demand.shared_tokens)
    if replica.zone != demand.zone:
        cost += demand.other_zone_cost_ms + OTHER_ZONE_COST_MS_PER_KB * demand.size_bytes / 1024
    return cost
