"""Order of queued online requests of one rank while there are more than slots. A pure policy.

Requests that can still meet their objective go first, by the latest start that meets it. Late ones
follow, by the latest start that meets their deadline. The order therefore depends on what is lost
by waiting, and no late request takes a slot from one that can be in time. Requests that will miss
their deadline anyway are refused at once.
"""

MIN_WAIT_FRACTION = 0.5
"""Fraction of an expected wait or start time that is certain: running requests do not end evenly,
and the expected times are averages."""


OrderKey = tuple[bool, float, float]
"""Whether a request is late, its latest start, and when it was received."""


def order_key(asked_at: float, late_at: float, hopeless_at: float, now: float) -> OrderKey:
    """Return the sort key of a request; all times are in seconds of one clock.

    The request has to start by ``late_at`` to meet its objective, and by ``hopeless_at`` to meet
    its deadline.

    >>> fresh = order_key(10.0, 10.2, 14.9, now=10.05)
    >>> older = order_key(9.9, 10.1, 14.8, now=10.05)
    >>> late = order_key(9.0, 9.2, 13.9, now=10.05)
    >>> sorted([late, fresh, older]) == [older, fresh, late]
    True
    """
    is_late = now > late_at
    return (is_late, hopeless_at if is_late else late_at, asked_at)


def will_miss_deadline(wait_ms: float, start_ms: float, time_left_ms: float) -> bool:
    """Whether a request is sure to have no first event before its deadline.

    >>> will_miss_deadline(900.0, 100.0, 700.0), will_miss_deadline(1600.0, 100.0, 700.0)
    (False, True)
    """
    return MIN_WAIT_FRACTION * wait_ms + MIN_WAIT_FRACTION * start_ms > time_left_ms
