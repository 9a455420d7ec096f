"""Chooses the replica for a request. A pure policy.

The cost of a replica is the time that the request is expected to wait there and to be prefilled. A
replica prefills prompts one after the other, so those sent before count too. All this takes longer
at a slow replica, see ``slowdown``; a fast one gets more work until it is so loaded that a slow one
serves as soon. Bytes that cross zones cost extra. Requests that share a prompt prefix go to the
same replicas, since every node ranks the replicas of a zone by the same rendezvous hash.
"""

from collections.abc import Sequence

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_rank
from cloverwalk.fleet.in_flight import InFlight
from cloverwalk.gateway.replicas import Replica

SUSPECT_COST_MS = 10_000.0
"""Cost of a replica that failed recently; far above the other costs, so it is the last choice."""

PEER_SUSPECT_COST_MS = 60.0
"""Cost of a replica that failed at another node: about that of a full replica. Without it a dead
replica, which has no load, would be the cheapest."""

QUEUED_REQUEST_COST_MS = 60.0
"""Expected wait for each request that is at the replica beyond its slots."""

LOAD_COST_MS = 30.0
"""Cost of a replica whose slots are all in online use over an idle one."""

HIGH_LOAD_THRESHOLD = 0.5
"""Fraction of slots in online use from which the cost of high load is added."""

HIGH_LOAD_COST_MS = 100.0
"""Extra cost at full online use, on top of ``LOAD_COST_MS``; proportional above the threshold."""

BATCH_COST_MS = 6.0
"""Cost of a replica full of items: preempting them takes a moment."""

PREEMPTION_COST_MS = 20.0
"""Cost of preempting an item: its prompt is prefilled again at another replica."""

OTHER_CRASH_SUSPECT_COST_MS = 40.0
"""Cost of each other crash suspect recently sent to the replica, for a crash suspect. Requests
whose replica ended are retried at the same moment, and a replica that has just started is the
cheapest for all of them; one harmful request would then end the replicas of the others (seen: both
replicas of four others). Exceeds the cost of half load."""

WARMUP_COST_MS = 40.0
"""Cost of a replica that is warming up and therefore slow; exceeds that of half load."""

PREFILL_TOKENS_PER_MS = 50.0
OTHER_ZONE_COST_MS = 5.0
OTHER_ZONE_COST_MS_PER_KB = 1.5

OTHER_REGION_COST_MS = 150.0
"""Additional cost of another region. Exceeds ``LOAD_COST_MS`` and ``HIGH_LOAD_COST_MS`` together,
so a request leaves its region only if it would have to queue there."""

NON_RETRYABLE_OTHER_ZONE_COST_MS = 150.0
"""Cost of another zone for a request that may not run twice, where zones may be cut off: a
partition would lose it. Exceeds ``LOAD_COST_MS`` and ``HIGH_LOAD_COST_MS`` together, so it stays in
the zone while a slot is free, and leaves for a queue of about three requests."""


class Candidate(Struct, frozen=True):
    """A usable replica with its known load."""

    replica: Replica
    in_flight: InFlight
    is_suspect: bool
    is_peer_suspect: bool = False
    prefill_ms: float = 0.0
    """Time that the replica needs for the prompts sent to it and not prefilled yet."""

    other_crash_suspects: int = 0
    """Other crash suspects recently sent to the replica; counted for a crash suspect only."""

    slowdown: float = 1.0
    """Current slowdown: the factor on the usual service time of the service."""

    is_warming: bool = False
    """Whether the replica is warming up; a token is then available."""

    is_in_other_region: bool = False
    """Whether it is in another region than the node that sends the request."""


class Demand(Struct, frozen=True):
    """What a request needs."""

    zone: str
    size_bytes: int
    shared_part: str = ""
    """Id of the longest prefix of its prompt that it shares with other requests."""

    shared_tokens: int = 0
    own_tokens: int = 0
    """Tokens of its prompt that are not shared."""

    other_zone_cost_ms: float = OTHER_ZONE_COST_MS
    """Cost of a replica of another zone, besides that of the bytes."""

    start_ms: float = 0.0
    """Time to its first event at a free slot of a replica without slowdown."""


def prefill_ms(tokens: int) -> float:
    """Return the expected time for the prefill of a prompt."""
    return tokens / PREFILL_TOKENS_PER_MS


def choose(candidates: Sequence[Candidate], demand: Demand) -> Candidate | None:
    """Return the cheapest candidate, or None if there are none.

    >>> near = Replica("r1", "s", "h", 1, "z1", 4, False, 1)
    >>> far = Replica("r2", "s", "h", 2, "z2", 4, False, 1)
    >>> demand = Demand("z1", 1000)
    >>> idle, full = InFlight(), InFlight(online=9)
    >>> choose([Candidate(near, idle, False), Candidate(far, idle, False)], demand).replica.zone
    'z1'
    >>> choose([Candidate(near, full, False), Candidate(far, idle, False)], demand).replica.zone
    'z2'
    >>> prefilling = Candidate(near, InFlight(online=1), False, prefill_ms=300.0)
    >>> choose([prefilling, Candidate(far, idle, False)], demand).replica.zone
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
    """Return the expected prefill time of the request at the chosen replica."""
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
    cost += WARMUP_COST_MS if candidate.is_warming else 0.0
    in_flight = candidate.in_flight
    cost += candidate.prefill_ms
    cost += OTHER_CRASH_SUSPECT_COST_MS * candidate.other_crash_suspects
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
        # A fast replica has a shorter queue, but a free slot elsewhere is still better.
        cost += max(1.0, slowdown) * QUEUED_REQUEST_COST_MS * queue_length
    if affinity_ids and replica.replica_id not in affinity_ids:
        cost += slowdown * prefill_ms(demand.shared_tokens)
    if replica.zone != demand.zone:
        cost += demand.other_zone_cost_ms + OTHER_ZONE_COST_MS_PER_KB * demand.size_bytes / 1024
    if candidate.is_in_other_region:
        cost += OTHER_REGION_COST_MS
    return cost
