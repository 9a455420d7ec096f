"""A model of the platform's services: table, objects, weights and machine list.

Calls are rate-limited. Faults make the platform unavailable or slow, or lose answers of calls that
took effect. The model keeps the state; the server and the simulation apply the delays.
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
    """Active faults. ``lose_answers`` is the fraction of applied calls without an answer."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0


class PlatformModel:
    """The state of the platform, with its faults and rate limits."""

    def __init__(self, settings: PlatformEmulatorSettings, random: Random) -> None:
        self.settings = settings
        self.faults = Faults()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, str] = {}
        self._machines: dict[str, Machine] = {}
        self._machine_history: list[tuple[float, dict[str, Machine]]] = []
        self._random = random
        self._call_bucket = TokenBucket(settings.calls_per_s, settings.calls_per_s, 0.0)
        self._weights_bucket = TokenBucket(
            settings.weight_bytes_per_s, settings.weight_bytes_per_s, 0.0
        )
        self.call_count = 0

    # --- faults ---

    def admits(self, now: float) -> bool:
        """Count a call; return whether the platform is up and the call is within the rate limit."""
        self.call_count += 1
        return not self.faults.down and self._call_bucket.take(now)

    def loses_answer(self) -> bool:
        """Decide at random whether the answer of a call that took effect is lost."""
        return self._random.random() < self.faults.lose_answers

    # --- table ---

    def commit(self, transaction: Transaction) -> CommitReply:
        """Apply a transaction if all of its version checks hold."""
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
            current = self.rows.get(put.key)
            version = current.version + 1 if current else 1
            self.rows[put.key] = Row(put.key, version, put.value, transaction.op_id)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return CommitReply(CommitStatus.COMMITTED)

    def read(self, prefix: str, exact: bool) -> ReadReply:
        """Return the rows whose keys have a prefix, or with ``exact`` the row of that key."""
        if exact:
            row = self.rows.get(prefix)
            return ReadReply(True, [row] if row else [])
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return ReadReply(True, [self.rows[key] for key in keys])

    # --- objects ---

    def put_object(self, name: str, body: str) -> ObjectReply:
        """Write an object unless one of that name exists."""
        self.objects.setdefault(name, body)
        return ObjectReply(True)

    def get_object(self, name: str) -> ObjectReply:
        """Read an object."""
        body = self.objects.get(name)
        return ObjectReply(body is not None, body or "")

    def weight_wait_s(self, size_bytes: float, now: float) -> float:
        """Count a weight read and return its duration.

        Beyond the rate limit, the read is not counted, and the time until it would be permitted is
        returned.
        """
        wait_s = self._weights_bucket.wait_s(now, size_bytes)
        if wait_s == 0.0:
            self._weights_bucket.take(now, size_bytes)
            return size_bytes / self.settings.weight_bytes_per_s
        return wait_s

    # --- machines ---

    def set_machine(self, machine: Machine, now: float) -> None:
        """Add or change a machine; the list shows it after ``machine_lag_s``."""
        self._machines = {**self._machines, machine.machine_id: machine}
        self._machine_history.append((now, self._machines))

    def remove_machine(self, machine_id: str, now: float) -> None:
        """Remove a machine; the list shows that after ``machine_lag_s``."""
        self._machines = {
            listed_id: machine
            for listed_id, machine in self._machines.items()
            if listed_id != machine_id
        }
        self._machine_history.append((now, self._machines))

    def machines(self, now: float, zone: str = "") -> list[Machine]:
        """Return the machines of a zone, or of all, as they were ``machine_lag_s`` ago."""
        visible_until = now - self.settings.machine_lag_s
        while len(self._machine_history) > 1 and self._machine_history[1][0] <= visible_until:
            self._machine_history.pop(0)
        if self._machine_history and self._machine_history[0][0] <= visible_until:
            listed = self._machine_history[0][1].values()
            return [machine for machine in listed if zone in ("", machine.zone)]
        return []
