"""Which software versions the replicas of each service have had recently.

Events of two versions don't fit together, so a stream goes on only at the version that began it. No
record of a stream is needed while its service has had one version for longer than a stream lasts.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import attrs

from cloverwalk.gateway.replicas import EntryKind, Replica, ReplicaDirectory

MIN_STREAM_LIFETIME_S = 60.0
"""Lower bound of the time within which clients resume a stream."""

RETENTION_S = 600.0
"""How long an unlisted version is remembered; the upper bound of ``lifetime_s``."""


def stream_lifetime_s(timeout_s: float | None) -> float:
    """Return for how long streams of a route with this timeout may be resumed.

    A client may resume a stream several times, each attempt with its own timeout.
    """
    return min(RETENTION_S, max(MIN_STREAM_LIFETIME_S, 2 * (timeout_s or 0.0)))


class Software(NamedTuple):
    """The software of a replica, or of the replica that began a stream or an output."""

    service: str
    version: str
    """Empty if unknown."""

    @property
    def is_known(self) -> bool:
        """Whether the version is known."""
        return bool(self.version)


def software_of(replica: Replica) -> Software:
    """Return the software of a replica."""
    return Software(replica.service, replica.software_version)


@attrs.frozen
class VersionHistory:
    """What a node knows of the versions in the past, as ages in seconds."""

    known_s: float
    """For how long it has known all versions."""

    unlisted_s: dict[Software, float]
    """Time since the last replica of each version was listed; 0 for listed ones."""


OnSoftwareChange = Callable[[Replica], None]


def _ignore_replica(replica: Replica) -> None:
    return


def _ignore_service(service: str) -> None:
    return


class SoftwareVersions:
    """Follows a replica list.

    >>> now = 0.0
    >>> directory = ReplicaDirectory()
    >>> versions = SoftwareVersions(directory, lambda: now)
    >>> replica = Replica("r1", "s", "10.0.0.1", 80, "z", 8, False, 1, software_version="v1")
    >>> _ = directory.replace([replica], version=1)
    >>> versions.single("s", lifetime_s=30.0)
    >>> now = 31.0
    >>> versions.single("s", lifetime_s=30.0)
    'v1'
    """

    def __init__(self, directory: ReplicaDirectory, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_replica: dict[str, Software] = {}
        self._listed: Counter[Software] = Counter()
        """Number of listed replicas of each version; contains no zeros."""

        self._unlisted_at: dict[Software, float] = {}
        """When the last replica of a version was removed from the list."""

        self._known_since: float | None = None
        """Since when all versions are known; None before the first list."""

        self.on_change: OnSoftwareChange = _ignore_replica
        """Called with a replica whose version changed under its id."""

        self.on_second_version: Callable[[str], None] = _ignore_service
        """Called with a service whose replicas now have more than one version."""

        directory.entry_listeners.append(self._on_entry)
        directory.removal_listeners.append(self._on_removal)

    # --- the list ---

    def _on_entry(self, replica: Replica, _kind: EntryKind) -> None:
        if self._known_since is None:
            self._known_since = self._clock()
        software = software_of(replica)
        previous = self._by_replica.get(replica.replica_id)
        if previous == software:
            return
        self._by_replica[replica.replica_id] = software
        is_new = software not in self._listed
        self._listed[software] += 1
        if previous is not None:
            self._remove(previous)
            if previous.is_known and software.is_known:
                self.on_change(replica)
        if is_new and len(self._listed_versions(software.service)) > 1:
            self.on_second_version(software.service)

    def _on_removal(self, replica: Replica) -> None:
        software = self._by_replica.pop(replica.replica_id, None)
        if software is not None:
            self._remove(software)

    def _remove(self, software: Software) -> None:
        self._listed[software] -= 1
        if self._listed[software] == 0:
            del self._listed[software]
            self._unlisted_at[software] = self._clock()

    def _listed_versions(self, service: str) -> set[str]:
        return {software.version for software in self._listed if software.service == service}

    # --- queries ---

    @property
    def has_unknown(self) -> bool:
        """Whether the version of a listed replica is unknown."""
        return any(not software.is_known for software in self._listed)

    @property
    def listed(self) -> frozenset[Software]:
        """The versions of listed replicas."""
        return frozenset(self._listed)

    def single(self, service: str, lifetime_s: float) -> str | None:
        """Return the only version that a service has had for ``lifetime_s``.

        None if it had several, or if this is not known.
        """
        now = self._clock()
        if self._known_since is None or now - self._known_since < lifetime_s:
            return None
        versions = self._listed_versions(service)
        versions |= {
            software.version
            for software, unlisted_at in self._unlisted_at.items()
            if software.service == service and now - unlisted_at < lifetime_s
        }
        return versions.pop() or None if len(versions) == 1 else None

    def expire(self) -> None:
        """Drop versions that have not been listed for ``RETENTION_S``."""
        now = self._clock()
        for software, unlisted_at in list(self._unlisted_at.items()):
            if now - unlisted_at >= RETENTION_S:
                del self._unlisted_at[software]

    # --- exchange between nodes ---

    def history(self) -> VersionHistory | None:
        """Return what this node knows of the past, None before the first list."""
        if self._known_since is None:
            return None
        now = self._clock()
        unlisted_s = {software: now - at for software, at in self._unlisted_at.items()}
        unlisted_s.update(dict.fromkeys(self._listed, 0.0))
        return VersionHistory(min(RETENTION_S, now - self._known_since), unlisted_s)

    def merge(self, history: VersionHistory) -> None:
        """Add what another node knows, as if this node had followed the list since then."""
        if self._known_since is None:
            return
        now = self._clock()
        self._known_since = min(self._known_since, now - history.known_s)
        for software, unlisted_s in history.unlisted_s.items():
            unlisted_at = now - unlisted_s
            self._unlisted_at[software] = max(
                unlisted_at, self._unlisted_at.get(software, unlisted_at)
            )
