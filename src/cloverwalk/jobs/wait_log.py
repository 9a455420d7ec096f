"""Logs why items that were accepted are not running, so that an operator can see what each awaits.

One line names the items of a job that wait for the same reason; jobs are bounded by
``MAX_LOGGED_JOBS`` a look and items by ``MAX_LOGGED_ITEMS`` a line, those that wait longest first.
"""

import enum
from collections.abc import Callable, Iterable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.telemetry.log import ServingLog

MIN_WAIT_S = 2.0
"""Items that have waited for less are not logged: most start within a second."""

LOG_INTERVAL_S = 3.0
MAX_LOGGED_JOBS = 8
MAX_LOGGED_ITEMS = 8


class WaitReason(enum.Enum):
    """What an item waits for."""

    STOPPING = "stopping"
    """This node stops; another one takes the job over."""

    NO_ROUTE = "no_route"
    """Its route is missing from the configuration, or no configuration is known."""

    CONTAINED = "contained"
    """A replica crashed under its content or a part, or under another trial of this node, less than
    ``CONTAINMENT_S`` ago."""

    BEHIND_TRIAL = "behind_trial"
    """Another item with a contained key runs as its trial."""

    SOFTWARE_VERSION = "software_version"
    """A slot at the version that produced its output."""

    SLOT = "slot"
    """A slot at any replica. It is reported to the coordinator."""

    RETRY_DELAY = "retry_delay"


@attrs.frozen
class ItemWait:
    """A waiting item."""

    job_id: str
    item_id: str
    waited_s: float
    reason: WaitReason
    key: str | None = None
    """The contained content or part."""

    ends_in_ms: int | None = None
    """When the reason ends by itself; None if something else has to happen."""


class WaitLog:
    """Writes a line for each reason and job at most once in ``LOG_INTERVAL_S``."""

    def __init__(self, log: ServingLog, clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._written_at = float("-inf")

    @property
    def is_due(self) -> bool:
        """Whether waiting items are to be logged again."""
        return self._clock() - self._written_at >= LOG_INTERVAL_S

    def write(self, waits: Iterable[ItemWait], coordinator: str | None) -> None:
        """Log items that have waited for ``MIN_WAIT_S``.

        ``coordinator`` is the node to which this one reports what waits; None if it knows none.
        """
        self._written_at = self._clock()
        groups: dict[tuple[str, WaitReason, str | None], list[ItemWait]] = {}
        for wait in waits:
            if wait.waited_s >= MIN_WAIT_S:
                groups.setdefault((wait.job_id, wait.reason, wait.key), []).append(wait)
        longest_first = sorted(
            groups.items(), key=lambda group: -max(wait.waited_s for wait in group[1])
        )
        for (job_id, reason, key), group in longest_first[:MAX_LOGGED_JOBS]:
            group.sort(key=lambda wait: (-wait.waited_s, wait.item_id))
            self._log.write(
                catalogue.ITEMS_WAITING,
                job=job_id,
                reason=reason.value,
                key=key,
                ends_in_ms=group[0].ends_in_ms,
                coordinator=coordinator,
                items=len(group),
                waited_ms=round(group[0].waited_s * 1000),
                requests=[wait.item_id for wait in group[:MAX_LOGGED_ITEMS]],
            )
