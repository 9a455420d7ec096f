"""What is known of the writes of one call on a job."""

from collections.abc import Awaitable

from cloverwalk.core.error_response import WorkState
from cloverwalk.store.types import CommitOutcome, CommitStatus


class JobWriteTracker:
    """Knows whether any transaction of a call can have taken effect, or still can.

    From the moment in which a transaction is sent it may be done, until its outcome or a proof
    says that it is not: whoever forgets to look can't promise what is not true.
    """

    def __init__(self) -> None:
        self._may_be_done = False

    @property
    def state(self) -> WorkState:
        """What is known now."""
        return WorkState.MAY_HAVE_BEGUN if self._may_be_done else WorkState.NOT_BEGUN

    async def track(self, committing: Awaitable[CommitOutcome]) -> CommitOutcome:
        """Return the outcome of a transaction that makes the call's work real."""
        may_be_done, self._may_be_done = self._may_be_done, True
        outcome = await committing
        if outcome.status is CommitStatus.NOT_DONE:
            self._may_be_done = may_be_done
        return outcome

    def mark_void(self) -> None:
        """A conflict proves that nothing sent so far was done or ever will be.

        The caller has seen that the conflicting rows are not its own effect. Versions of rows only
        rise, and neither a job's record (before its retention is over) nor a quota row is removed:
        a transaction that was too late for a version is too late for good.
        """
        self._may_be_done = False
