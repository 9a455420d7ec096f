"""A model of the platform's services: table, objects, weights and machine list.

Every service is rate-limited and can be made down, slow, or to lose the answer after the
effect. The model says what happens; daemon and simulation carry out the delays.
"""

from random import Random

from msgspec import Struct

from cloverwalk.config.settings import PlatformEmulatorSettings
from cloverwalk.core.store_types import (
    CommitReply,
    CommitStatus,
    ObjectReply,
    ReadReply,
    Row,
    Transaction,
)
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.core.types import Machine


class Faults(Struct, forbid_unknown_fields=True):
    """Fault switches. ``lose_answers`` is the share of answers lost after the effect."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0


class PlatformModel:
    """The state of the platform."""

    def __init__(self, settings: PlatformEmulatorSettings, random: Random) -> None:
        self.settings = settings
        self.faults = Faults()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, str] = {}
        self._machines: dict[str, Machine] = {}
        self._listed: list[tuple[float, dict[str, Machine]]] = []
        self._random = random
        self._bucket = TokenBucket(settings.calls_per_s, settings.calls_per_s, 0.0)
        self._weights = TokenBucket(settings.weight_bytes_per_s, settings.weight_bytes_per_s, 0.0)
        self.call_count = 0

    # --- faults ---

    def admits(self, now: float) -> bool:
        """Return whether a call gets in: the platform is up and below its rate limit."""
        self.call_count += 1
        return not self.faults.down and self._bucket.take(now)

    def loses_answer(self) -> bool:
        """Decide whether the answer of a call that took effect is lost."""
        return self._random.random() < self.faults.lose_answers

    # --- table ---

    def commit(self, transaction: Transaction) -> CommitReply:
        """Apply a transaction if all of its checks hold."""
        conflicts = []
        is_conflict = False
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                is_conflict = True
                if row is not None:
                    conflicts.append(row)
        if is_conflict:
            return CommitReply(CommitStatus.CONFLICT, conflicts)
        for put in transaction.puts:
            before = self.rows.get(put.key)
            version = before.version + 1 if before else 1
            self.rows[put.key] = Row(put.key, version, put.value, transaction.op_id)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return CommitReply(CommitStatus.COMMITTED)

    def read(self, prefix: str, exact: bool) -> ReadReply:
        """Return the rows of a prefix, or the one row of a key."""
        if exact:
            row = self.rows.get(prefix)
            return ReadReply(True, [row] if row else [])
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return ReadReply(True, [self.rows[key] for key in keys])

    # --- objects ---

    def put_object(self, name: str, body: str) -> ObjectReply:
        """Write an object if there is none of that name."""
        self.objects.setdefault(name, body)
        return ObjectReply(True)

    def get_object(self, name: str) -> ObjectReply:
        """Read an object."""
        body = self.objects.get(name)
        return ObjectReply(body is not None, body or "")

    def weight_wait_s(self, size_bytes: float, now: float) -> float:
        """Take a read of model weights into account; return the seconds it takes."""
        wait_s = self._weights.wait_s(now, size_bytes)
        if wait_s == 0.0:
            self._weights.take(now, size_bytes)
            return size_bytes / self.settings.weight_bytes_per_s
        return wait_s

    # --- machines ---

    def set_machine(self, machine: Machine, now: float) -> None:
        """Add or change a machine; the list shows it after its lag."""
        self._machines = {**self._machines, machine.machine_id: machine}
        self._listed.append((now, self._machines))

    def remove_machine(self, machine_id: str, now: float) -> None:
        """Remove a machine; the list shows it after its lag."""
        self._machines = {k: m for k, m in self._machines.items() if k != machine_id}
        self._listed.append((now, self._machines))

    def machines(self, now: float, zone: str = "") -> list[Machine]:
        """Return a zone's list, or the whole, as it was ``machine_lag_s`` ago."""
        before = now - self.settings.machine_lag_s
        while len(self._listed) > 1 and self._listed[1][0] <= before:
            self._listed.pop(0)
        if self._listed and self._listed[0][0] <= before:
            listed = self._listed[0][1].values()
            return [machine for machine in listed if zone in ("", machine.zone)]
        return []
