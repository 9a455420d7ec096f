"""How long a process takes from its start until it serves, stage by stage, in two log lines."""

import enum
from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.telemetry.log import ServingLog


class Stage(enum.Enum):
    """What a node that starts waits for."""

    STORE_ANSWER = "store_answer"
    STORE_REFUSAL = "store_refusal"
    """The first call without a usable answer."""

    PEER = "peer"
    """The first datagram of another node."""

    COORDINATOR = "coordinator"
    CONFIGURATION = "configuration"
    REPLICAS = "replicas"


NEEDED_TO_SERVE = (Stage.CONFIGURATION, Stage.REPLICAS)


class StartupLog:
    """Notes when each stage was first reached; writes one line at ready, one at the first place.

    ``started_at`` is when the process began (steady clock, seconds).
    """

    def __init__(self, log: ServingLog, clock: Callable[[], float], started_at: float) -> None:
        self._log = log
        self._clock = clock
        self._started_at = started_at
        self._after_ms: dict[Stage, int] = {}
        self._source_by_stage: dict[Stage, str] = {}
        self.is_ready = False
        """Whether what serving needs was known once."""

        self._has_logged_placement = False

    def record_stage(self, stage: Stage, source: str = "") -> None:
        """A stage is reached; only its first time counts."""
        if stage in self._after_ms:
            return
        self._after_ms[stage] = self._elapsed_ms()
        self._source_by_stage[stage] = source
        if not self.is_ready and all(needed in self._after_ms for needed in NEEDED_TO_SERVE):
            self.is_ready = True
            self._write(catalogue.NODE_READY)

    def record_placement(self) -> None:
        """An online request got its place."""
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
