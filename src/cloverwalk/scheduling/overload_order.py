"""The order of waiting online requests of one rank while there are more than slots. A pure policy.

First those that can still be in time, the one whose latest moment to start comes next in front;
behind them those that are late already, the one whose deadline comes next in front. So what is lost
by waiting decides, and nothing that is late takes a slot from what can be in time. What surely
can't be served before its deadline is refused at once, see ``will_miss_deadline``.
"""

MIN_WAIT_FRACTION = 0.5
"""Share of an expected wait that a request waits at least: running requests do not end one after
the other, and the expected wait goes by averages. Only what has no time for that is hopeless."""


OrderKey = tuple[bool, float, float]
"""Whether a request is late, when it has to start, and when it was asked for."""


def order_key(
    received_at: float, objective_start_at: float, deadline_start_at: float, now: float
) -> OrderKey:
    """Return the place of a request among others of its rank; times are of one clock, in seconds.

    It has to start by ``late_at`` to be in time, by ``hopeless_at`` to be served at all.

    >>> fresh = order_key(10.0, 10.2, 14.9, now=10.05)
    >>> older = order_key(9.9, 10.1, 14.8, now=10.05)
    >>> late = order_key(9.0, 9.2, 13.9, now=10.05)
    >>> sorted([late, fresh, older]) == [older, fresh, late]
    True
    """
    is_late = now > objective_start_at
    return (is_late, deadline_start_at if is_late else objective_start_at, received_at)


def will_miss_deadline(wait_ms: float, start_ms: float, time_left_ms: float) -> bool:
    """Whether a request surely has no first event before its deadline.

    >>> will_miss_deadline(900.0, 100.0, 700.0), will_miss_deadline(1600.0, 100.0, 700.0)
    (False, True)
    """
    return MIN_WAIT_FRACTION * wait_ms + MIN_WAIT_FRACTION * start_ms > time_left_ms
