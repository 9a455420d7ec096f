"""At which replicas a stream may begin, and at which a resumed one may go on.

It begins at versions that are registered in the store, and goes on at the version that began it.
"""

from collections.abc import Callable

import msgspec

from cloverwalk.core.clock import monotonic_s
from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.registered_versions import AllVersions, VersionRegistration
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.gateway.stream_versions import StreamVersionTable


class Resumptions:
    """Finds the version of a resumed stream, and the replicas that may take a stream."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        streams: StreamVersionTable,
        draining: DrainingReplicas,
        registered: VersionRegistration,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._streams = streams
        self._draining = draining
        self._registered = registered

    @classmethod
    def create(
        cls,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        clock: Callable[[], float] = monotonic_s,
    ) -> "Resumptions":
        """Return an instance with empty records, for which every version is registered."""
        return cls(
            directory,
            configuration,
            StreamVersionTable(clock),
            DrainingReplicas(directory, clock),
            AllVersions(),
        )

    def resolve(self, request: PlacementRequest) -> PlacementRequest | None:
        """Return a resumption with the software that it needs; None without a record of it."""
        if request.software_version:
            return request
        software = self._streams.find(request.stream)
        if software is None:
            return None
        return msgspec.structs.replace(
            request, service=software.service, software_version=software.version
        )

    def beginnable(self, request: PlacementRequest) -> list[Replica]:
        """Return the replicas that accept new work and, for a stream, have a registered version."""
        usable = self._directory.usable(request.service)
        versions = self._directory.usable_versions(request.service)
        missing = {
            version
            for version in versions
            if not self._registered.has(Software(request.service, version))
        }
        if not missing or not self._is_resumable(request):
            return usable
        return [replica for replica in usable if replica.software_version not in missing]

    def _is_resumable(self, request: PlacementRequest) -> bool:
        """Whether clients may resume what the request begins; True if its route is not known."""
        current = self._configuration.current
        route = None if current is None else current.index.first_named(request.route)
        return route is None or route.is_resumable

    def registered_version(self, replica: Replica) -> str:
        """Return the software version of a replica if it is registered, else an empty string."""
        software = software_of(replica)
        return software.version if self._registered.has(software) else ""

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
