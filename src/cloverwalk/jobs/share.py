"""How much of a replica batch work may take. A pure policy over figures of all nodes."""

import math

from cloverwalk.fleet.load import InFlight

LEAST_RESERVE = 2
"""Slots of each replica that batch work never starts on."""

LEAST_BATCH = 3
"""Slots that batch work may take while there is room, whatever online work came lately."""

PEAK_HEADROOM = 1.15
"""Factor on the most online work at once of the last seconds."""


def batch_room(slots: int, in_flight: InFlight, online_peak: int) -> int:
    """Return how many more items may start on a replica.

    >>> batch_room(16, InFlight(online=2, batch=3), online_peak=6)
    6
    >>> batch_room(16, InFlight(online=12, batch=3), online_peak=14)
    0
    """
    reserve = max(LEAST_RESERVE, math.ceil(online_peak * PEAK_HEADROOM))
    share = max(LEAST_BATCH, slots - reserve)
    free = slots - in_flight.total - 1
    return max(0, min(share - in_flight.batch, free))
