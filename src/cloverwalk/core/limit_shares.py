"""How a limit for the whole fleet is divided among nodes.

Each node gets a part in proportion to its recent demand. A small floor lets a node that
had no demand admit its first requests before the next division.
"""

DEMAND_FREE_FRACTION = 0.05
"""The least part of an even share that a node without demand keeps."""

MAX_RISE_FACTOR = 1.5
MAX_RISE_STEP = 0.05
"""A share grows by no more than this factor and step at a time. Reports of other nodes'
demand lag: nodes that all rose at once would together admit a multiple of the limit."""


def next_share(share: float, target: float) -> float:
    """Return the share to use next: down at once, up by steps.

    >>> next_share(0.5, 0.2), round(next_share(0.2, 1.0), 2)
    (0.2, 0.35)
    """
    return min(target, share * MAX_RISE_FACTOR + MAX_RISE_STEP)


def share_of_limit(local_rate: float, other_rates: list[float], node_count: int) -> float:
    """Return this node's part of a limit, from 0 to 1.

    >>> share_of_limit(30.0, [10.0], node_count=2)
    0.7375
    >>> share_of_limit(0.0, [], node_count=4)
    0.25
    """
    total = local_rate + sum(other_rates)
    even_share = 1.0 / max(1, node_count)
    if total <= 0:
        return even_share
    return DEMAND_FREE_FRACTION * even_share + (1 - DEMAND_FREE_FRACTION) * local_rate / total
