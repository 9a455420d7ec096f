"""The last check before work is sent to a replica that is warming up."""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.core.warmup_limit import is_valid
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.warmups import Warmups
from cloverwalk.telemetry.log import ServingLog

WARMING_UP = "warming_up"
"""Code of an attempt that was not sent because its replica is warming up."""


class WarmupGate:
    """Refuses to send work to a replica that is warming up unless the work has a valid token."""

    def __init__(self, warmups: Warmups, log: ServingLog, clock: Callable[[], float]) -> None:
        self._warmups = warmups
        self._log = log
        self._clock = clock
        self.refused = 0
        """Number of attempts that were not sent."""

    def check(self, replica: Replica, work_id: str, token_granted_at: float | None) -> None:
        """Raise ReplicaError if work may not be sent now.

        ``token_granted_at`` is the earliest time at which its token can have been granted; None if
        it has none.
        """
        now = self._clock()
        if not self._warmups.is_warming(replica, now):
            return
        age_s = None if token_granted_at is None else now - token_granted_at
        if token_granted_at is not None and is_valid(token_granted_at, now):
            return
        self.refused += 1
        self._log.write(
            catalogue.WARMUP_SEND_REFUSED,
            replica=replica.replica_id,
            work=work_id,
            token_age_ms=None if age_s is None else round(1000 * min(age_s, 1e6)),
        )
        raise ReplicaError("the replica is warming up", False, WARMING_UP)
