"""How much of a replica batch work may take. A pure policy over figures of all nodes.

Batch work takes what online work leaves at the moment and gives a slot back when it is needed,
since suspending an item costs little: its prompt and output stay cached at the replica. Slots are
kept free only where online requests come so fast that items would be cut before they pay their
start, which depends on how long a replica reads their prompts.
"""

from cloverwalk.fleet.in_flight import InFlight

MIN_RUN_PREFILL_RATIO = 8.4
"""An item that gives way sooner than this many times the reading of its prompt was hardly worth
its start: the prompt is read, and the replica's other work held up. With prompts of 24 ms (1,200
tokens) 200 ms had measured best: without it, runs cut in a day doubled (469 to 998), and items came
late. With prompts of 5 ms, 200 ms kept 60 of 216 slots idle in a burst; the ratio gave 0.031 more
of a day's worth there, mean of ten pairs of days on fleets of 6 to 45 replicas."""

MIN_RUN_MS = 20.0
"""The same for items of any prompt: a grant, a connection and a revoke take milliseconds each."""

MAX_PREFILL_BACKLOG_MS = 60.0
"""A replica with more prompts to read gets no items yet: online requests would wait for them."""


def reserved_slots(arrivals_per_s: float, prefill_ms: float) -> int:
    """Return how many slots, of all replicas together, items leave free.

    As many as online requests arrive while an item would not pay its start; ``reading_ms`` is the
    time in which a replica reads the prompt of a waiting item, on average.

    >>> reserved_slots(60.0, 24.0), reserved_slots(60.0, 5.0), reserved_slots(2.0, 24.0)
    (12, 3, 0)
    """
    min_run_ms = max(MIN_RUN_MS, MIN_RUN_PREFILL_RATIO * prefill_ms)
    return round(arrivals_per_s * min_run_ms / 1000)


def batch_room(slots: int, in_flight: InFlight) -> int:
    """Return how many more items have a free slot at a replica.

    >>> batch_room(16, InFlight(online=2, batch=3)), batch_room(16, InFlight(online=15, batch=3))
    (11, 0)
    """
    return max(0, slots - in_flight.total)


def may_prefill_more(prefill_ms: float) -> bool:
    """Whether a replica with room may be sent the prompt of an item now.

    >>> may_prefill_more(50.0), may_prefill_more(90.0)
    (True, False)
    """
    return prefill_ms <= MAX_PREFILL_BACKLOG_MS


def items_to_preempt(slots: int, in_flight: InFlight) -> int:
    """Return how many items must give way to the online work that is already counted.

    Replicas serve in order of arrival, so every item beyond the slots stands in the way of the
    next online request, not one item a request.

    >>> items_to_preempt(16, InFlight(online=4, batch=13)), items_to_preempt(
    ...     16, InFlight(online=17)
    ... )
    (1, 0)
    >>> items_to_preempt(8, InFlight(online=2, batch=9))
    3
    """
    return max(0, min(in_flight.batch, in_flight.total - slots))
