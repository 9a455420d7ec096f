"""The tokens that a tenant's jobs on a route hold waiting, counted without a counter.

The quota row names every admitted job of the tenant on the route; it is changed only in the
transaction that admits a job, under its version, so admissions are in line. What a job still holds
is taken from its record: a record seen late only makes the count too high.
"""

from cloverwalk.jobs.records import QuotaRow
from cloverwalk.jobs.view import JobView


def waiting_tokens(quota: QuotaRow, view: JobView) -> int:
    """Return the tokens that the admitted jobs still hold, as far as the view tells."""
    return sum(
        _waiting_tokens_of(job_id, tokens, view) for job_id, (tokens, _) in quota.jobs.items()
    )


def _waiting_tokens_of(job_id: str, tokens: int, view: JobView) -> int:
    cached = view.find(job_id)
    if cached is None:
        return tokens
    return cached.record.waiting_tokens if cached.record.is_open else 0


def admit(
    quota: QuotaRow, closed_ids: set[str], job_id: str, tokens: int, now_ms: float
) -> QuotaRow:
    """Return the quota row with a job added, and without jobs that are ``over``."""
    jobs = {
        admitted_id: entry
        for admitted_id, entry in quota.jobs.items()
        if admitted_id not in closed_ids
    }
    jobs[job_id] = (tokens, now_ms)
    return QuotaRow(jobs)
