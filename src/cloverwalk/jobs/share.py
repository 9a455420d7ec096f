"""How much of a replica batch work may take. A pure policy over figures of all nodes.

Batch work takes what online work leaves at the moment and gives a slot back when it is needed,
since suspending an item costs little: its prompt and output stay cached at the replica. The
reserve only covers what arrives while nodes have not heard of each other's sends.
"""

from cloverwalk.fleet.load import InFlight

RESERVE = 1
"""Free slots of each replica that batch work never starts on."""

MOST_READING_MS = 60.0
"""A replica with more prompts to read gets no items yet: online requests would wait for them."""

YIELD_RESERVE = 0
"""Free slots below which an item gives way when an online request comes."""


def batch_room(slots: int, in_flight: InFlight, online_peak: int) -> int:
    """Return how many more items may start on a replica.

    ``online_peak`` is the most online work at once of the last moments.

    >>> batch_room(16, InFlight(online=2, batch=3), online_peak=6)
    6
    >>> batch_room(16, InFlight(online=12, batch=3), online_peak=14)
    0
    """
    online = max(in_flight.online, online_peak)
    return max(0, slots - RESERVE - online - in_flight.batch)


def may_read_more(in_flight: InFlight) -> bool:
    """Whether a replica with room may be sent the prompt of an item now.

    >>> may_read_more(InFlight(reading_ms=50.0)), may_read_more(InFlight(reading_ms=90.0))
    (True, False)
    """
    return in_flight.reading_ms <= MOST_READING_MS


def must_yield(slots: int, in_flight: InFlight) -> bool:
    """Whether batch work must give a slot to an online request that is already counted.

    >>> must_yield(16, InFlight(online=4, batch=13)), must_yield(16, InFlight(online=17))
    (True, False)
    """
    return in_flight.batch > 0 and in_flight.total > slots - YIELD_RESERVE
