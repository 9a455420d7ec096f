"""Limits on the batch work at a replica. A pure policy over the loads of all nodes.

Items use the slots that online requests leave and are preempted when a slot is needed, which costs
little: their prompt and output stay cached at the replica. Slots are reserved only where online
requests arrive so fast that items would be preempted before their start has paid off. How long that
takes depends on the prefill time of their prompts.
"""

from cloverwalk.fleet.in_flight import InFlight

MIN_RUN_PREFILL_RATIO = 8.4
"""An item that is preempted before this multiple of its prefill time was not worth its start: the
prefill is repeated and delays the other work of the replica. A fixed time instead of a multiple
fits one length of prompt only: 200 ms suits prefills of 24 ms, and with prefills of 5 ms it keeps
60 of 216 slots idle in a burst."""

MIN_RUN_MS = 20.0
"""Lower bound of the same: a grant, a connection and a revoke take some milliseconds each."""

MAX_PREFILL_BACKLOG_MS = 60.0
"""A replica with a longer prefill backlog gets no items, since online requests would wait for
it."""


def reserved_slots(arrivals_per_s: float, prefill_ms: float) -> int:
    """Return how many slots, of all replicas together, are reserved from items.

    These are as many as online requests arrive in the shortest worthwhile run of an item.
    ``prefill_ms`` is the average prefill time of the waiting items.

    >>> reserved_slots(60.0, 24.0), reserved_slots(60.0, 5.0), reserved_slots(2.0, 24.0)
    (12, 3, 0)
    """
    min_run_ms = max(MIN_RUN_MS, MIN_RUN_PREFILL_RATIO * prefill_ms)
    return round(arrivals_per_s * min_run_ms / 1000)


def free_item_slots(slots: int, in_flight: InFlight) -> int:
    """Return how many more items fit into the free slots of a replica.

    >>> free_item_slots(16, InFlight(online=2, batch=3)), free_item_slots(
    ...     16, InFlight(online=15, batch=3)
    ... )
    (11, 0)
    """
    return max(0, slots - in_flight.total)


def may_prefill_more(prefill_ms: float) -> bool:
    """Whether a replica may get the prompt of another item.

    >>> may_prefill_more(50.0), may_prefill_more(90.0)
    (True, False)
    """
    return prefill_ms <= MAX_PREFILL_BACKLOG_MS


def items_to_preempt(slots: int, in_flight: InFlight) -> int:
    """Return how many items to preempt for the online work in flight.

    Replicas serve in order of arrival, so each item beyond the slots delays the next online
    request. One item per request is therefore not enough.

    >>> items_to_preempt(16, InFlight(online=4, batch=13)), items_to_preempt(
    ...     16, InFlight(online=17)
    ... )
    (1, 0)
    >>> items_to_preempt(8, InFlight(online=2, batch=9))
    3
    """
    return max(0, min(in_flight.batch, in_flight.total - slots))
