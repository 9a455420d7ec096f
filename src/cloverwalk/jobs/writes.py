"""Tracks whether the writes of one call on a job may have taken effect."""

from collections.abc import Awaitable

from cloverwalk.core.error_response import WorkState
from cloverwalk.store.types import CommitOutcome, CommitStatus


class JobWriteTracker:
    """Tracks whether any transaction of a call may have taken effect, or still can.

    A transaction counts as possibly done from when it is sent until its outcome or a conflict
    proves otherwise. So a call that skips the check is never answered as not run by mistake.
    """

    def __init__(self) -> None:
        self._may_be_done = False

    @property
    def state(self) -> WorkState:
        """Whether the work of the call may have begun."""
        return WorkState.MAY_HAVE_BEGUN if self._may_be_done else WorkState.NOT_BEGUN

    async def track(self, committing: Awaitable[CommitOutcome]) -> CommitOutcome:
        """Return the outcome of a transaction that makes the call take effect."""
        may_be_done, self._may_be_done = self._may_be_done, True
        outcome = await committing
        if outcome.status is CommitStatus.NOT_DONE:
            self._may_be_done = may_be_done
        return outcome

    def mark_void(self) -> None:
        """Record that a conflict proves that nothing sent so far was done or ever will be.

        The caller has checked that the conflicting rows are not its own effect. Versions of rows
        only rise, and neither a job's record (during its retention) nor a quota row is removed, so
        a transaction that is too late for a version can never take effect.
        """
        self._may_be_done = False
