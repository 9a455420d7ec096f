"""How much of a replica batch work may take. A pure policy over figures of all nodes.

Batch work takes what online work leaves at the moment and gives a slot back when it is needed,
since suspending an item costs little: its prompt and output stay cached at the replica. Slots are
kept free only where online requests come so fast that items would be cut before they pay their
start.
"""

from cloverwalk.fleet.load import InFlight

PAYS_START_AFTER_MS = 200.0
"""An item that gives way sooner than this after its start was hardly worth it: its prompt is read,
and the replica's other work held up, for some tens of ms. Without this, runs cut in a day of the
parish doubled (469 to 998 on trouble-2, seed 11), and items came late."""

LEAST_HOLD_MS = 20.0

MOST_READING_MS = 60.0
"""A replica with more prompts to read gets no items yet: online requests would wait for them."""


def kept_free(online: float, replicas: int, hold_ms: float) -> int:
    """Return how many slots of each replica items leave free.

    As many as online requests arrive there while an item would not pay its start: ``online`` of
    them are at ``replicas`` replicas now and keep their slots for ``hold_ms``.

    >>> kept_free(15.0, 6, hold_ms=250.0), kept_free(10.0, 6, hold_ms=800.0)
    (2, 0)
    """
    if replicas == 0:
        return 0
    arrivals_a_ms = online / replicas / max(LEAST_HOLD_MS, hold_ms)
    return round(arrivals_a_ms * PAYS_START_AFTER_MS)


def batch_room(slots: int, in_flight: InFlight, kept: int = 0) -> int:
    """Return how many more items may start on a replica of which ``kept`` slots stay free.

    >>> batch_room(16, InFlight(online=2, batch=3)), batch_room(16, InFlight(online=15, batch=3))
    (11, 0)
    >>> batch_room(16, InFlight(online=2, batch=3), kept=2)
    9
    """
    return max(0, slots - kept - in_flight.total)


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
