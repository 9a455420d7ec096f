"""The software versions at which streams may begin: those that the store is known to list."""

from collections.abc import Iterable
from typing import Protocol

from cloverwalk.gateway.software_versions import Software


class VersionRegistration(Protocol):
    """Tells which software versions are registered."""

    def has(self, software: Software) -> bool:
        """Whether the store is known to list a version."""
        ...


class RegisteredVersions:
    """Versions that were found in the store, or written to it."""

    def __init__(self) -> None:
        self._registered: frozenset[Software] = frozenset()

    def has(self, software: Software) -> bool:
        """Whether the store is known to list a version."""
        return software in self._registered

    def missing(self, listed: frozenset[Software]) -> frozenset[Software]:
        """Return the versions of listed replicas that are not known to be registered."""
        return listed - self._registered

    def replace(self, registered: Iterable[Software]) -> None:
        """Use the versions that the store lists now."""
        self._registered = frozenset(registered)

    def retain(self, listed: frozenset[Software]) -> None:
        """Forget versions without listed replicas; the store may list them no longer."""
        self._registered &= listed


class AllVersions:
    """Takes every version for registered, where only one process decides."""

    def has(self, software: Software) -> bool:
        """Return True."""
        return True
