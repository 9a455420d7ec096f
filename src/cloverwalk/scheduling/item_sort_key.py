"""Sort keys of waiting items: lateness, then rank, then due time, in one integer."""

DUE_TIME_RESOLUTION_MS = 250
"""Due times are rounded to multiples of this."""

PRIORITY_STRIDE = 1 << 40
"""Offset between the keys of two ranks; due times are far below it."""

LATE_OFFSET = 1 << 50
"""Offset of items that can no longer be in time, which go behind all others."""


def band_of(sort_key: int) -> int:
    """Return the band of a key: its lateness and rank. Keys of one band differ by due time only.

    >>> band_of(5) == band_of(-5) != band_of(PRIORITY_STRIDE + 5)
    True
    """
    return (sort_key + PRIORITY_STRIDE // 2) // PRIORITY_STRIDE


def band_end(sort_key: int) -> int:
    """Return the first key beyond the band of a key.

    >>> step = 3 * PRIORITY_STRIDE + 5
    >>> band_of(band_end(step) - 1) == band_of(step), band_of(band_end(step)) == band_of(step) + 1
    (True, True)
    """
    return (band_of(sort_key) + 1) * PRIORITY_STRIDE - PRIORITY_STRIDE // 2


def rank_of(sort_key: int) -> int:
    """Return the rank of a key.

    >>> rank_of(7), rank_of(2 * PRIORITY_STRIDE + 7), rank_of(LATE_OFFSET + PRIORITY_STRIDE)
    (0, 2, 1)
    """
    return band_of(sort_key) % (LATE_OFFSET // PRIORITY_STRIDE)


def due_ms(sort_key: int) -> float:
    """Return the due time of a key, in the store's time; infinite for items that are late anyway.

    >>> due_ms(40 + 2 * PRIORITY_STRIDE), due_ms(40 + LATE_OFFSET)
    (10000.0, inf)
    """
    if sort_key >= LATE_OFFSET:
        return float("inf")
    return float(sort_key % PRIORITY_STRIDE * DUE_TIME_RESOLUTION_MS)
