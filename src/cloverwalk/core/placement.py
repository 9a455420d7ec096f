"""Which replica a request is offered to.

Prefix affinity first, as long as that replica is not much busier than the rest; then the
better of two random candidates. Two choices keep a lagging load report from herding every
node onto the replica that last looked idle.
"""

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_rank

MAX_AFFINITY_LOAD_EXCESS = 0.15
"""A replica with the prefix may be this much fuller (share of slots) and still be chosen."""

REMOTE_ZONE_PENALTY = 0.10
"""Load (share of slots) that a replica in another zone must be better by."""


PACKING_LOAD_THRESHOLD = 0.85
"""Online work is gathered on a replica until it has this share of the slots."""


MAX_PACKED_PREFILL_TOKENS = 250.0
"""A replica with more prompt tokens of this node in prefill gets no further packed work."""


class Candidate(Struct, frozen=True):
    """What a node knows of a replica when it places a request."""

    replica: str
    owner: str
    local_zone: bool
    online_load: float  # online work, own unreported sends included, as a share of slots
    has_prefix: bool = False
    prefill_tokens: float = 0.0  # prompts of this node there that have no output yet


def effective_load(candidate: Candidate) -> float:
    """Return the load used in comparisons."""
    return candidate.online_load + (0.0 if candidate.local_zone else REMOTE_ZONE_PENALTY)


def choose_packed(candidates: Sequence[Candidate], model: str, random: Random) -> Candidate | None:
    """Return the first replica of a shared ranking that still has room for online work.

    Prefill of batch items delays the online streams beside them, so batch items start
    freely only where no online work runs. Gathering online work keeps most replicas free
    of it. Every node ranks alike, without talking. A burst is spread: prompts that came
    together would wait for each other's prefill on one replica.
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
