"""Measures the stages of the start of a process and writes them to the log."""

import enum
from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.telemetry.log import ServingLog


class Stage(enum.Enum):
    """A stage in the start of a node."""

    STORE_ANSWER = "store_answer"
    STORE_REFUSAL = "store_refusal"
    """The first store call that failed or was refused."""

    PEER = "peer"
    """The first datagram from another node."""

    COORDINATOR = "coordinator"
    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    ZONE_DRAINS = "zone_drains"


NEEDED_TO_SERVE = (Stage.CONFIGURATION, Stage.REPLICAS, Stage.ZONE_DRAINS)


class StartupLog:
    """Records when each stage was first reached.

    One log line is written when the node is ready and one at the first placement. ``started_at`` is
    the start of the process (monotonic clock, seconds).
    """

    def __init__(self, log: ServingLog, clock: Callable[[], float], started_at: float) -> None:
        self._log = log
        self._clock = clock
        self._started_at = started_at
        self._after_ms: dict[Stage, int] = {}
        self._source_by_stage: dict[Stage, str] = {}
        self.is_ready = False
        """Whether all stages that serving needs were reached."""

        self._has_logged_placement = False

    def record_stage(self, stage: Stage, source: str = "") -> None:
        """Record that a stage was reached; later calls for the same stage are ignored."""
        if stage in self._after_ms:
            return
        self._after_ms[stage] = self._elapsed_ms()
        self._source_by_stage[stage] = source
        if not self.is_ready and all(needed in self._after_ms for needed in NEEDED_TO_SERVE):
            self.is_ready = True
            self._write(catalogue.NODE_READY)

    def record_placement(self) -> None:
        """Log the first placement of an online request; later calls are ignored."""
        if not self._has_logged_placement:
            self._has_logged_placement = True
            self._write(catalogue.FIRST_REQUEST_PLACED)

    def _elapsed_ms(self) -> int:
        return round((self._clock() - self._started_at) * 1000)

    def _write(self, number: int) -> None:
        stages_ms = {stage.value: after_ms for stage, after_ms in self._after_ms.items()}
        self._log.write(
            number,
            after_ms=self._elapsed_ms(),
            stages_ms=stages_ms,
            configuration_from=self._source_by_stage.get(Stage.CONFIGURATION),
            replicas_from=self._source_by_stage.get(Stage.REPLICAS),
        )
