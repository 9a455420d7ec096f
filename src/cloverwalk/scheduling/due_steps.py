"""The numbers by which the fleet's waiting items are ordered: due times, and ranks above them."""

DUE_STEP_MS = 250
"""Due times are told in steps of this length."""

PRIORITY_STEP = 1 << 40
"""Step between items of tenants of one rank and the next; due times are far below it."""

LATE_STEP = 1 << 50
"""Step of items that can't be in time any more: behind all others."""


def band_of(due_step: int) -> int:
    """Return what lateness and rank make of a step; items of one band differ by due time only.

    >>> band_of(5) == band_of(-5) != band_of(PRIORITY_STEP + 5)
    True
    """
    return (due_step + PRIORITY_STEP // 2) // PRIORITY_STEP


def rank_of(due_step: int) -> int:
    """Return the rank in a step.

    >>> rank_of(7), rank_of(2 * PRIORITY_STEP + 7), rank_of(LATE_STEP + PRIORITY_STEP)
    (0, 2, 1)
    """
    return band_of(due_step) % (LATE_STEP // PRIORITY_STEP)


def due_ms(due_step: int) -> float:
    """Return the due time of a step, in the store's time; infinite for items that are late anyhow.

    >>> due_ms(40 + 2 * PRIORITY_STEP), due_ms(40 + LATE_STEP)
    (10000.0, inf)
    """
    if due_step >= LATE_STEP:
        return float("inf")
    return float(due_step % PRIORITY_STEP * DUE_STEP_MS)
