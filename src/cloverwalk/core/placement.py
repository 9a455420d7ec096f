"""Chooses the replica that a request is offered to.

A replica that has the prompt's prefix is preferred unless its load is much higher; otherwise
the less loaded of two random candidates is chosen. With lagging load reports, taking the
least loaded of all would send every node's requests to the same replica.
"""

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_rank

MAX_AFFINITY_LOAD_EXCESS = 0.15
"""A replica with the prefix is chosen if its load (share of slots) is higher by at most this."""

REMOTE_ZONE_PENALTY = 0.10
"""Load (share of slots) added to replicas of other zones in comparisons."""


PACKING_LOAD_THRESHOLD = 0.85
"""Online work is packed on a replica until it occupies this share of the slots."""


MAX_PACKED_PREFILL_TOKENS = 250.0
"""A replica with this many prompt tokens of this node in prefill gets no packed work."""


class Candidate(Struct, frozen=True):
    """A replica as the node that places a request sees it."""

    replica: str
    owner: str
    local_zone: bool
    online_load: float  # share of slots, including requests of this node that are not reported yet
    has_prefix: bool = False
    prefill_tokens: float = 0.0  # prompts that this node sent and that have no output yet


def effective_load(candidate: Candidate) -> float:
    """Return the load used in comparisons."""
    return candidate.online_load + (0.0 if candidate.local_zone else REMOTE_ZONE_PENALTY)


def choose_packed(candidates: Sequence[Candidate], model: str, random: Random) -> Candidate | None:
    """Return the first replica of a shared ranking that has capacity for online work.

    Prefill of batch items delays online streams on the same replica, so batch items start
    without limits only where no online work runs. Packing keeps most replicas free of online
    work. All nodes compute the same ranking without messages. A burst is spread over replicas,
    because prompts that arrive together would wait for each other's prefill on one.
    """
    ranked = rendezvous_rank(model, [candidate.replica for candidate in candidates])
    by_name = {candidate.replica: candidate for candidate in candidates}
    for replica in ranked:
        candidate = by_name[replica]
        if (
            candidate.online_load < PACKING_LOAD_THRESHOLD
            and candidate.prefill_tokens < MAX_PACKED_PREFILL_TOKENS
        ):
            return candidate
    return choose_replica(candidates, random)


def choose_replica(candidates: Sequence[Candidate], random: Random) -> Candidate | None:
    """Return the replica to try, or None when there is no candidate.

    >>> near = Candidate("r1", "n1", True, 0.2)
    >>> far = Candidate("r2", "n2", False, 0.2)
    >>> choose_replica([near, far], Random(1)).replica
    'r1'
    """
    if not candidates:
        return None
    sample = list(candidates) if len(candidates) <= 2 else random.sample(list(candidates), 2)
    best = min(sample, key=lambda candidate: (effective_load(candidate), candidate.replica))
    with_prefix = [candidate for candidate in candidates if candidate.has_prefix]
    if with_prefix:
        best_with_prefix = min(
            with_prefix, key=lambda candidate: (effective_load(candidate), candidate.replica)
        )
        if effective_load(best_with_prefix) <= effective_load(best) + MAX_AFFINITY_LOAD_EXCESS:
            return best_with_prefix
    return best
