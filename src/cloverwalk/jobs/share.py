"""How much of a replica batch work may take. A pure policy over figures of all nodes.

Batch work takes what online work leaves at the moment and gives a slot back when it is needed,
since suspending an item costs little: its prompt and output stay cached at the replica. Nothing is
kept free: slots in reserve, or below the peak of online work, cost more batch work than they saved
online requests time.
"""

from cloverwalk.fleet.load import InFlight

MOST_READING_MS = 60.0
"""A replica with more prompts to read gets no items yet: online requests would wait for them."""


def batch_room(slots: int, in_flight: InFlight) -> int:
    """Return how many more items may start on a replica.

    >>> batch_room(16, InFlight(online=2, batch=3)), batch_room(16, InFlight(online=15, batch=3))
    (11, 0)
    """
    return max(0, slots - in_flight.total)


def may_read_more(in_flight: InFlight) -> bool:
    """Whether a replica with room may be sent the prompt of an item now.

    >>> may_read_more(InFlight(reading_ms=50.0)), may_read_more(InFlight(reading_ms=90.0))
    (True, False)
    """
    return in_flight.reading_ms <= MOST_READING_MS


def must_yield(slots: int, in_flight: InFlight) -> int:
    """Return how many items must give way to the online work that is already counted.

    Replicas serve in order of arrival, so every item beyond the slots stands in the way of the
    next online request, not one item a request.

    >>> must_yield(16, InFlight(online=4, batch=13)), must_yield(16, InFlight(online=17))
    (1, 0)
    >>> must_yield(8, InFlight(online=2, batch=9))
    3
    """
    return max(0, min(in_flight.batch, in_flight.total - slots))
