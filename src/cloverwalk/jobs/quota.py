"""Computes the waiting tokens of a tenant's jobs on a route, without a shared counter.

The quota row names every admitted job of the tenant on the route. It is changed only in the
transaction that admits a job, under its version, so admissions are serialized. The waiting
tokens of a job, those of its items that are not listed, are read from its record: an outdated
record only makes the sum too high.
"""

from cloverwalk.jobs.records import QuotaRow
from cloverwalk.jobs.view import JobView


def waiting_tokens(quota: QuotaRow, view: JobView) -> int:
    """Return the waiting tokens of the admitted jobs; all of a job's tokens if it is not cached."""
    return sum(
        _waiting_tokens_of(job_id, tokens, view) for job_id, (tokens, _) in quota.jobs.items()
    )


def _waiting_tokens_of(job_id: str, tokens: int, view: JobView) -> int:
    cached = view.find(job_id)
    if cached is None:
        return tokens
    return cached.content.waiting_tokens if cached.content.is_open else 0


def admit(
    quota: QuotaRow, closed_ids: set[str], job_id: str, tokens: int, now_ms: float
) -> QuotaRow:
    """Return the quota row with a job added, and without the jobs in ``closed_ids``."""
    jobs = {
        admitted_id: entry
        for admitted_id, entry in quota.jobs.items()
        if admitted_id not in closed_ids
    }
    jobs[job_id] = (tokens, now_ms)
    return QuotaRow(jobs)
