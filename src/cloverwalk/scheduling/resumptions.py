"""At which replicas a resumed stream may go on: those of the software version that began it."""

from collections.abc import Callable

import msgspec

from cloverwalk.core.clock import monotonic_s
from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import (
    Software,
    SoftwareVersions,
    software_of,
    stream_lifetime_s,
)
from cloverwalk.gateway.stream_versions import StreamVersionTable

MAX_LIST_AGE_S = 10.0
"""An older replica list does not show that a service has a single version. A node that has seen
another version shares the streams that begin there."""


class Resumptions:
    """Finds the version of a resumed stream and the replicas that may take it."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        versions: SoftwareVersions,
        streams: StreamVersionTable,
        draining: DrainingReplicas,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._versions = versions
        self._streams = streams
        self._draining = draining
        self._clock = clock

    @classmethod
    def create(
        cls,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        clock: Callable[[], float] = monotonic_s,
    ) -> "Resumptions":
        """Return an instance with empty records."""
        return cls(
            directory,
            configuration,
            SoftwareVersions(directory, clock),
            StreamVersionTable(clock),
            DrainingReplicas(directory, clock),
            clock,
        )

    def resolve(self, request: PlacementRequest) -> PlacementRequest | None:
        """Return a resumption with the software that it needs; None if that is unknown."""
        if request.software_version:
            return request
        software = self._streams.find(request.stream)
        if software is None and not self._streams.is_version_unknown(request.stream):
            software = self._only_software(request)
        if software is None:
            return None
        return msgspec.structs.replace(
            request, service=software.service, software_version=software.version
        )

    def _only_software(self, request: PlacementRequest) -> Software | None:
        """Return the software of the service, if all streams of it began there."""
        if self._clock() - self._directory.confirmed_at > MAX_LIST_AGE_S:
            return None
        current = self._configuration.current
        route = None if current is None else current.index.first_named(request.route)
        lifetime_s = stream_lifetime_s(None if route is None else route.timeout_s)
        version = self._versions.single(request.service, lifetime_s)
        return None if version is None else Software(request.service, version)

    def replicas(self, request: PlacementRequest) -> list[Replica]:
        """Return the replicas at which a resolved resumption may go on.

        Draining ones are returned only if no other has the version.
        """
        software = Software(request.service, request.software_version)
        ready = [
            replica
            for replica in self._directory.usable(request.service)
            if software_of(replica) == software
        ]
        return ready or [
            replica
            for replica in self._directory.draining(request.service)
            if software_of(replica) == software and self._draining.takes_resumptions(replica)
        ]
