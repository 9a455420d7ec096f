"""The numbers by which the fleet's waiting items are ordered: due times, and ranks above them."""

DUE_STEP_MS = 250
"""Due times are told in steps of this length."""

LATE_STEP = 1 << 50
"""Step of items that can't be in time any more: behind all others."""

PRIORITY_STEP = 1 << 40
"""Step between items of tenants of one rank and the next; due times are far below it."""


def due_ms(due_step: int) -> float:
    """Return the due time of a step, in the store's time; infinite for items that are late anyhow.

    >>> due_ms(40 + 2 * PRIORITY_STEP), due_ms(40 + LATE_STEP)
    (10000.0, inf)
    """
    if due_step >= LATE_STEP:
        return float("inf")
    return float(due_step % PRIORITY_STEP * DUE_STEP_MS)
