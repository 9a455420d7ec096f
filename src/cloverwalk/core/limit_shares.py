"""Divides a limit for the whole fleet among nodes.

Each node gets a share in proportion to its recent demand. A small minimum lets a node
without recent demand admit its first requests before the next division.
"""

EVENLY_DIVIDED_FRACTION = 0.05
"""Fraction of the limit that is divided evenly, regardless of demand."""

MAX_RISE_FACTOR = 1.5
MAX_RISE_STEP = 0.05
"""A share grows by at most this factor and step per update. Demand reports of other nodes
lag, so nodes that all grew at once would together admit a multiple of the limit."""


def next_share(share: float, target: float) -> float:
    """Return the next share: decreases apply at once, increases in steps.

    >>> next_share(0.5, 0.2), round(next_share(0.2, 1.0), 2)
    (0.2, 0.35)
    """
    return min(target, share * MAX_RISE_FACTOR + MAX_RISE_STEP)


def share_of_limit(local_rate: float, other_rates: list[float], node_count: int) -> float:
    """Return this node's share of a limit, from 0 to 1.

    >>> share_of_limit(30.0, [10.0], node_count=2)
    0.7375
    >>> share_of_limit(0.0, [], node_count=4)
    0.25
    """
    total = local_rate + sum(other_rates)
    even_share = 1.0 / max(1, node_count)
    if total <= 0:
        return even_share
    return EVENLY_DIVIDED_FRACTION * even_share + (1 - EVENLY_DIVIDED_FRACTION) * local_rate / total
