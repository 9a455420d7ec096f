"""The replicas that requests may be sent to, and those that are avoided after a failure.

The store's version orders the entries of a replica; ``started_ms`` only tells its incarnations
apart. The clocks of machines differ, so it is never compared with a time of this node.
"""

import enum
import re
from collections.abc import Callable, Iterable

import attrs
import msgspec
import xxhash
from msgspec import Struct

MIN_SUSPICION_S = 0.5
MAX_SUSPICION_S = 3.0
PEER_SUSPICION_TTL_S = 1.2
"""How long a failure at another node counts; its reports, at least one a second, renew it."""


MAX_CONFIRMATION_INTERVAL_S = 3.0
"""Longest usual time between two confirmations of the list; exceeds the duration of a long poll of
the store and the time to replace a lost coordinator."""

MAX_LATE_ENTRIES = 2
"""Consecutive entries with an earlier start time that are ignored as late writes of an ended
incarnation, which can have one write in flight and one retry. A running replica writes on, so
further entries mean that its clock was set back."""


MAX_PORT = 65_535
MAX_SLOTS = 100_000
"""More than any engine runs at once; keeps sums of slots small."""

MAX_NAME_BYTES = 200
"""Names of services, zones and versions are keys or parts of keys, of which the store accepts 200
bytes."""

_CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029]")


def check_name(field: str, name: str) -> None:
    """Raise ValueError, with the name of the field, if a name is too long or can't be shown.

    >>> check_name("zone", "z1")
    """
    if len(name.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"{field}: it has more than {MAX_NAME_BYTES} bytes")
    if _CONTROL_CHARACTER.search(name):
        raise ValueError(f"{field}: it has a control character")


class Replica(Struct, frozen=True, array_like=True):
    """One running instance behind a service."""

    replica_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    version: int
    """Version of the entry in the store."""

    started_ms: int = 0
    """Unix time of its start, 0 if unknown. Each incarnation of a replica has its own."""

    warmup_ms: int = 0
    """Remaining warm-up time when the entry was written; 0 if it is warm."""

    software_version: str = ""
    """Version of its software; empty if unknown, as in copies by builds without this field."""

    @property
    def incarnation_id(self) -> str:
        """Short name of this incarnation, used in messages and stored crash records."""
        return (
            f"{self.replica_id}@{self.started_ms & 0xFFFFFF:x}"
            if self.started_ms
            else self.replica_id
        )

    def may_be_incarnation(self, started_ms: int) -> bool:
        """Whether this may be the incarnation of a start time; 0 on either side is unknown."""
        return self.started_ms == started_ms or 0 in (self.started_ms, started_ms)


def check_replica(replica: Replica) -> None:
    """Raise ValueError if an entry, such as one from another node, names no replica to use."""
    check_name("id", replica.replica_id)
    check_name("service", replica.service)
    check_name("address", replica.host)
    check_name("zone", replica.zone)
    check_name("version", replica.software_version)
    if not 0 <= replica.port <= MAX_PORT:
        raise ValueError(f"address: the port is not from 0 to {MAX_PORT}")
    if not 1 <= replica.slots <= MAX_SLOTS:
        raise ValueError(f"slots: {str(replica.slots)[:20]} is not from 1 to {MAX_SLOTS}")


class _Suspicion(Struct):
    expires_at: float
    duration_s: float


@attrs.define
class _Incarnation:
    """The last reported incarnation of a replica; kept also while its entry is removed."""

    replica: Replica
    late_version: int = 0
    late_entries: int = 0
    drained_started_ms: int = 0
    """Start time of the last earlier incarnation that was draining; 0 if none was."""


RestartListener = Callable[[Replica, Replica], None]
"""Called with the previous incarnation and the new one."""


class EntryKind(enum.Enum):
    """What a newer entry says about its replica."""

    INITIAL = "initial"
    """It is in the first list of this process."""

    UPDATED = "updated"
    NEW = "new"
    RESTARTED = "restarted"
    """It has another start time."""

    RETURNED = "returned"
    """It is listed again after its removal."""


EntryListener = Callable[[Replica, EntryKind], None]
"""Called with each entry that is applied."""

RemovalListener = Callable[[Replica], None]
"""Called with each replica whose entry was removed."""


@attrs.frozen
class ConfirmationGap:
    """A time in which the list was not confirmed (monotonic clock, seconds).

    The store may have been down; entries then expire although their replicas run.
    """

    began_at: float
    ended_at: float


class ReplicaDirectory:
    """The listed replicas by id; the newest version of an entry wins."""

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}
        self._removed_versions: dict[str, int] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._peer_suspected_until: dict[str, float] = {}
        self._incarnations: dict[str, _Incarnation] = {}
        self.restart_listeners: list[RestartListener] = []
        """Called when a replica has restarted under its id, before the list is confirmed."""

        self.entry_listeners: list[EntryListener] = []
        self.removal_listeners: list[RemovalListener] = []
        self.warmup_revision = 0
        """Counts changes of warm-up times, which the fingerprint leaves out."""

        self.software_revision = 0
        """Counts changes of software versions, which the fingerprint leaves out."""

        self._has_whole_list = False
        """Whether a whole list has been applied; unknown ids are then of new replicas."""

        self.version = 0
        """Newest version of the store that the directory reflects."""

        self._fingerprint: int | None = None
        self._usable: dict[str, list[Replica]] = {}
        """Cache by service, cleared by each change; every online request reads it."""

        self._usable_versions: dict[str, frozenset[str]] = {}
        """Software versions of these replicas, cached in the same way."""

        self.confirmed_at = float("-inf")
        """When the directory was last confirmed to match the store (monotonic clock, seconds)."""

        self._last_gap: ConfirmationGap | None = None
        self._drained_zones: frozenset[str] = frozenset()

    def confirm(self, confirmed_at: float) -> None:
        """Record that the list matched the store at ``confirmed_at``."""
        if self._is_gap(confirmed_at):
            self._last_gap = ConfirmationGap(self.confirmed_at, confirmed_at)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def last_gap(self, now: float) -> ConfirmationGap | None:
        """Return the last long time without a confirmation; it may not have ended yet."""
        return ConfirmationGap(self.confirmed_at, now) if self._is_gap(now) else self._last_gap

    def _is_gap(self, now: float) -> bool:
        was_confirmed = self.confirmed_at > float("-inf")
        return was_confirmed and now - self.confirmed_at > MAX_CONFIRMATION_INTERVAL_S

    def all(self) -> list[Replica]:
        """Return every listed replica, sorted by id."""
        return [self._replicas[key] for key in sorted(self._replicas)]

    @property
    def count(self) -> int:
        """How many replicas are listed, draining ones included."""
        return len(self._replicas)

    @property
    def is_empty(self) -> bool:
        """Whether no replica is listed."""
        return not self._replicas

    def drain_zones(self, zones: Iterable[str]) -> None:
        """Set the zones whose replicas get no new work; they stay listed."""
        self._drained_zones = frozenset(zones)
        self._usable, self._usable_versions = {}, {}

    def find(self, replica_id: str) -> Replica | None:
        """Return a replica if requests may be sent to it, else None."""
        replica = self.find_running(replica_id)
        return None if replica is None or self.is_zone_drained(replica.zone) else replica

    def find_listed(self, replica_id: str) -> Replica | None:
        """Return the entry of a replica, also if it is draining."""
        return self._replicas.get(replica_id)

    def is_zone_drained(self, zone: str) -> bool:
        """Whether the replicas of a zone get no new work."""
        return zone in self._drained_zones

    def find_running(self, replica_id: str) -> Replica | None:
        """Return a replica that is not draining, also if its zone is drained, else None."""
        replica = self._replicas.get(replica_id)
        return None if replica is None or replica.is_draining else replica

    def is_drained(self, service: str) -> bool:
        """Whether a service has no usable replica, and would have if no zone were drained."""
        return not self.usable(service) and any(
            replica.service == service and not replica.is_draining
            for replica in self._replicas.values()
        )

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that accept new work."""
        replicas = self._usable.get(service)
        if replicas is None:
            replicas = [
                replica
                for replica in self.all()
                if replica.service == service and self.find(replica.replica_id) is not None
            ]
            self._usable[service] = replicas
        return replicas

    def usable_versions(self, service: str) -> frozenset[str]:
        """Return the software versions of the replicas of a service that accept new work."""
        versions = self._usable_versions.get(service)
        if versions is None:
            versions = frozenset(replica.software_version for replica in self.usable(service))
            self._usable_versions[service] = versions
        return versions

    def draining(self, service: str) -> list[Replica]:
        """Return the replicas of a service that are draining."""
        return [
            replica for replica in self.all() if replica.service == service and replica.is_draining
        ]

    def _reset_caches(self) -> None:
        self._fingerprint = None
        self._usable, self._usable_versions = {}, {}

    @property
    def fingerprint(self) -> int:
        """Hash of the list's content, 48 bits, equal on all nodes with the same list.

        Replicas rewrite their entries all the time, so versions are left out.
        """
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.all())
        return self._fingerprint

    def put(self, replica: Replica) -> bool:
        """Apply a newer entry; return whether more than its version and warm-up time changed."""
        current = self._replicas.get(replica.replica_id)
        if current is not None and not _supersedes(replica, current):
            return False
        if self._removed_versions.get(replica.replica_id, -1) >= replica.version:
            return False
        if self._is_late(replica):
            return False
        kind = self._entry_kind(replica, current)
        self._replicas[replica.replica_id] = replica
        self.warmup_revision += current is not None and current.warmup_ms != replica.warmup_ms
        if current is not None and current.software_version != replica.software_version:
            self.software_revision += 1
        differs = current is None or _differs(current, replica)
        if differs:
            self._reset_caches()
        self._record_incarnation(replica)
        for listener in self.entry_listeners:
            listener(replica, kind)
        return differs

    def _entry_kind(self, replica: Replica, current: Replica | None) -> EntryKind:
        if current is None and replica.replica_id in self._removed_versions:
            return EntryKind.RETURNED
        if current is None:
            return EntryKind.NEW if self._has_whole_list else EntryKind.INITIAL
        if not current.may_be_incarnation(replica.started_ms):
            return EntryKind.RESTARTED
        return EntryKind.UPDATED

    def was_draining(self, replica: Replica) -> bool:
        """Whether an incarnation of a replica was draining before the next one followed it."""
        incarnation = self._incarnations.get(replica.replica_id)
        return incarnation is not None and 0 < replica.started_ms == incarnation.drained_started_ms

    def _is_late(self, replica: Replica) -> bool:
        """Whether an entry is a late write of an incarnation that has ended."""
        incarnation = self._incarnations.get(replica.replica_id)
        if incarnation is None or not 0 < replica.started_ms < incarnation.replica.started_ms:
            return False
        if replica.version > incarnation.late_version:
            incarnation.late_version = replica.version
            incarnation.late_entries += 1
        return incarnation.late_entries <= MAX_LATE_ENTRIES

    def _record_incarnation(self, replica: Replica) -> None:
        if not replica.started_ms:
            return
        previous = self._incarnations.get(replica.replica_id)
        current = self._incarnations[replica.replica_id] = _Incarnation(replica)
        if previous is None:
            return
        current.drained_started_ms = previous.drained_started_ms
        if previous.replica.started_ms == replica.started_ms:
            return
        if previous.replica.is_draining:
            current.drained_started_ms = previous.replica.started_ms
        self.clear_suspicion(replica.replica_id)
        for listener in self.restart_listeners:
            listener(previous.replica, replica)

    def remove(self, replica_id: str, version: int) -> bool:
        """Remove a replica unless a newer entry is listed; return whether it was listed."""
        current = self._replicas.get(replica_id)
        if current is not None and current.version > version:
            return False
        self._removed_versions[replica_id] = max(version, self._removed_versions.get(replica_id, 0))
        self._suspicions.pop(replica_id, None)
        self._peer_suspected_until.pop(replica_id, None)
        removed = self._replicas.pop(replica_id, None)
        if removed is None:
            return False
        self._reset_caches()
        for listener in self.removal_listeners:
            listener(removed)
        return True

    def replace(self, replicas: list[Replica], version: int) -> list[str]:
        """Apply a whole list as of ``version``; return the ids that it removed.

        >>> directory = ReplicaDirectory()
        >>> replica = Replica("r1", "s", "127.0.0.1", 80, "z", 8, False, version=5)
        >>> directory.replace([replica], version=6)
        []
        >>> directory.replace([], version=4), directory.replace([], version=7)
        ([], ['r1'])
        """
        listed = {replica.replica_id for replica in replicas}
        for replica in replicas:
            self.put(replica)
        missing = [key for key in sorted(self._replicas) if key not in listed]
        removed = [key for key in missing if self.remove(key, version)]
        self.version = max(self.version, version)
        self._has_whole_list = True
        return removed

    def suspect(self, replica_id: str, now: float) -> None:
        """Avoid a replica for a while, twice as long after each further failure."""
        suspicion = self._suspicions.get(replica_id)
        duration_s = MIN_SUSPICION_S
        if suspicion is not None:
            if now < suspicion.expires_at:
                return
            duration_s = min(MAX_SUSPICION_S, 2 * suspicion.duration_s)
        self._suspicions[replica_id] = _Suspicion(now + duration_s, duration_s)

    def suspects(self, now: float) -> list[str]:
        """Return the replicas that failed at this node and are avoided, sorted."""
        return sorted(
            replica_id
            for replica_id, suspicion in self._suspicions.items()
            if now < suspicion.expires_at
        )

    def add_peer_suspects(self, replica_ids: list[str], now: float) -> None:
        """Record replicas that failed at another node; they are not reported on."""
        for replica_id in replica_ids:
            self._peer_suspected_until[replica_id] = now + PEER_SUSPICION_TTL_S

    def clear_suspicion(self, replica_id: str) -> None:
        """Use a replica like any other again, since it answered."""
        self._suspicions.pop(replica_id, None)
        self._peer_suspected_until.pop(replica_id, None)

    def is_suspect(self, replica_id: str, now: float) -> bool:
        """Whether a replica is avoided because it failed at this node."""
        suspicion = self._suspicions.get(replica_id)
        return suspicion is not None and now < suspicion.expires_at

    def is_peer_suspect(self, replica_id: str, now: float) -> bool:
        """Whether another node reported a failure that still counts; its cause may be that node."""
        return now < self._peer_suspected_until.get(replica_id, now)


def _supersedes(replica: Replica, current: Replica) -> bool:
    """Whether an entry is newer, or the same one without the loss of its software version.

    Builds that don't know the software version pass entries on without it.
    """
    if replica.version != current.version:
        return replica.version > current.version
    return bool(replica.software_version) and not current.software_version


def _differs(current: Replica, replica: Replica) -> bool:
    """Whether more than the version and the warm-up time of an entry has changed."""
    same = msgspec.structs.replace(current, version=replica.version, warmup_ms=replica.warmup_ms)
    return same != replica


def fingerprint_of(replicas: Iterable[Replica]) -> int:
    """Return the fingerprint of a list that is sorted by id."""
    text = "\n".join(_fingerprint_text(replica) for replica in replicas)
    return xxhash.xxh64_intdigest(text.encode()) >> 16


def _fingerprint_text(replica: Replica) -> str:
    """Return an entry without its version, warm-up time, software version, and unknown start time.

    Builds that don't know the last two fields must compute the same fingerprint.
    """
    *fields, _warmup_ms, _software_version = msgspec.structs.astuple(
        msgspec.structs.replace(replica, version=0)
    )
    return repr(tuple(fields) if replica.started_ms else tuple(fields[:-1]))
