"""The tokens that all jobs of a route hold waiting, counted without a counter.

The quota row names every admitted job; it is changed only in the transaction that admits a job,
under its version, so admissions are in line. What a job still holds is taken from its record: a
record seen late only makes the count too high.
"""

from cloverwalk.jobs.records import QuotaRow
from cloverwalk.jobs.view import JobView

UNSEEN_FOR_MS = 15_000.0
"""A job in the quota row whose record is not known for so long was removed."""


def waiting_tokens(quota: QuotaRow, view: JobView) -> int:
    """Return the tokens that the admitted jobs still hold."""
    return sum(_waiting(job_id, tokens, view) for job_id, (tokens, _) in quota.jobs.items())


def _waiting(job_id: str, tokens: int, view: JobView) -> int:
    known = view.find(job_id)
    if known is None:
        return tokens
    return known.record.waiting_tokens if known.record.is_open else 0


def admit(
    quota: QuotaRow, view: JobView, job_id: str, tokens: int, now_ms: float, view_is_fresh: bool
) -> QuotaRow:
    """Return the quota row with a job added and finished ones dropped."""
    kept = {
        known_id: entry
        for known_id, entry in quota.jobs.items()
        if not _is_over(known_id, entry[1], view, now_ms, view_is_fresh)
    }
    kept[job_id] = (tokens, now_ms)
    return QuotaRow(kept)


def _is_over(
    job_id: str, admitted_ms: float, view: JobView, now_ms: float, view_is_fresh: bool
) -> bool:
    known = view.find(job_id)
    if known is not None:
        return not known.record.is_open
    return view_is_fresh and now_ms - admitted_ms > UNSEEN_FOR_MS
