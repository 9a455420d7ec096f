"""Keeps each stream at the software version that began it, at the node that serves its client."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import Placement, PlacementRequest
from cloverwalk.gateway import refusals
from cloverwalk.gateway.configuration import RouteKind
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.errors import GatewayError, ReplicaError
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.registered_versions import VersionRegistration
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.gateway.stream_versions import StreamVersion, StreamVersionTable, stream_key
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

MAX_REFUSALS_PER_REPLICA = 2
"""How often a replica may refuse to resume a stream or be unreachable."""

EXPIRY_MARGIN_S = 1.0
"""How long a record is kept after its client's deadline, for the transit of its last request."""


class StreamVersionSharing(Protocol):
    """Sends records of streams to other nodes and asks for those of others."""

    def share(self, record: StreamVersion) -> None:
        """Send a record to the nodes that keep it."""
        ...

    async def ask(self, stream: str) -> Software | None:
        """Return the software that began a stream as other nodes or stored records tell it."""
        ...


class VersionRegister(Protocol):
    """Knows at which versions streams can have begun."""

    async def only_software(self, service: str) -> Software | None:
        """Return the only software at which streams of a service can have begun before the call."""
        ...


class VersionProof(enum.Enum):
    """From what a resumption's software is known, for logs."""

    RECORD = "record"
    """A record at this node."""

    PLACEMENT = "placement"
    """A record at the node that decided the placement."""

    ASKED = "asked"
    """A record of another node or in the store, which this node asked for."""

    ONLY_VERSION = "only_version"
    """The store lists no other version at which the stream can have begun."""


class ResumptionGate:
    """Records which software begins a stream, and lets it go on only there."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        draining: DrainingReplicas,
        streams: StreamVersionTable,
        sharing: StreamVersionSharing,
        registered: VersionRegistration,
        register: VersionRegister,
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._draining = draining
        self._streams = streams
        self._sharing = sharing
        self._registered = registered
        self._register = register
        self._log = log
        self._metrics = metrics
        self._clock = clock

    def begin(self, request: ClientRequest, progress: RequestProgress) -> None:
        """Set the key of the stream that a request begins or resumes."""
        if progress.route.kind is not RouteKind.STREAM:
            return
        fields = request.fields
        resumed_id = "" if fields.last_event_id is None else fields.resumed_request_id
        progress.stream = stream_key(resumed_id or fields.request_id)

    # --- placement ---

    def add_software(
        self, progress: RequestProgress, placement_request: PlacementRequest
    ) -> PlacementRequest:
        """Return the placement request with the software that a resumption needs."""
        if not progress.is_resumption:
            return placement_request
        software = self._needed_software(progress)
        if software is not None and not progress.version_proof:
            progress.version_proof = VersionProof.RECORD.value
        software = software or Software(placement_request.service, "")
        return msgspec.structs.replace(
            placement_request,
            is_resumption=True,
            stream=progress.stream,
            service=software.service,
            software_version=software.version,
        )

    def _needed_software(self, progress: RequestProgress) -> Software | None:
        """Return the software that began the stream, None if this node does not know it."""
        if self._streams.is_version_unknown(progress.stream):
            return None
        return progress.software or self._streams.find(progress.stream)

    def is_undecided(self, progress: RequestProgress, placement: Placement) -> bool:
        """Whether the sender of a placement did not know the software that a resumption needs."""
        if not progress.is_resumption or self._needed_software(progress) is not None:
            return False
        is_sent = placement.verdict is PlacementVerdict.SEND
        return placement.is_version_unknown or (is_sent and not placement.software_version)

    async def ask(self, request: ClientRequest, progress: RequestProgress) -> None:
        """Ask other nodes for the software that began a stream; raise if none knows it."""
        if not progress.has_asked_for_software:
            progress.has_asked_for_software = True
            await self._find_software(progress)
        if self._needed_software(progress) is None:
            raise self._refusal(request, progress, refusals.unknown_software_version())

    async def _find_software(self, progress: RequestProgress) -> None:
        """Set the software that began a stream, as other nodes or the store know it."""
        stream = progress.stream
        if self._streams.is_version_unknown(stream):
            return
        software, proof = await self._sharing.ask(stream), VersionProof.ASKED
        if software is None and not self._streams.is_version_unknown(stream):
            software, proof = await self._only_software(progress), VersionProof.ONLY_VERSION
        if software is not None:
            progress.software, progress.version_proof = software, proof.value

    async def _only_software(self, progress: RequestProgress) -> Software | None:
        services = progress.route.services
        if len(services) != 1:
            # The stream may have begun at another service of its route.
            return None
        return await self._register.only_software(services[0])

    def refusal(self, request: ClientRequest, progress: RequestProgress) -> GatewayError:
        """Return the error response if no replica of the needed version can take the stream."""
        return self._refusal(request, progress, refusals.no_replica_of_version())

    def _refusal(
        self, request: ClientRequest, progress: RequestProgress, error: GatewayError
    ) -> GatewayError:
        software = self._needed_software(progress)
        self._metrics.resumption_ended(error.code)
        self._log.write(
            catalogue.STREAM_NOT_RESUMED,
            request=request.fields.request_id,
            resumes=progress.stream,
            after_event=progress.last_event_id,
            code=error.code,
            software_version=None if software is None else software.version,
        )
        return error

    def find(self, progress: RequestProgress, placement: Placement) -> Replica | None:
        """Return the placed replica, None if it may not get the request."""
        replica = self._find(progress, placement.replica_id)
        if replica is None:
            return None
        if not progress.is_resumption:
            progress.registered_version = placement.software_version
            return replica
        if self._needed_software(progress) is None and placement.software_version:
            progress.software = Software(replica.service, placement.software_version)
            progress.version_proof = VersionProof.PLACEMENT.value
        if software_of(replica) != self._needed_software(progress):
            return None
        progress.service = replica.service
        return replica

    def is_futile(self, progress: RequestProgress, replica: Replica) -> bool:
        """Whether a replica is chosen that can't take the stream.

        Its service is not one of the request's route, or it could not take the stream several times
        already; then it is only chosen again if no other replica of its version is left.
        """
        if not progress.is_resumption:
            return False
        refusal_count = progress.refused.count(replica.replica_id)
        is_in_route = replica.service in progress.route.services
        return not is_in_route or refusal_count >= MAX_REFUSALS_PER_REPLICA

    def _find(self, progress: RequestProgress, replica_id: str) -> Replica | None:
        replica = self._directory.find(replica_id)
        if replica is not None or not progress.is_resumption:
            return replica
        listed = self._directory.find_listed(replica_id)
        if listed is None or not self._draining.takes_resumptions(listed):
            return None
        return listed

    # --- attempts ---

    def check(self, progress: RequestProgress, replica: Replica, opened_at: float) -> None:
        """Raise ReplicaError if the replica may no longer get the request; else note the attempt.

        ``opened_at`` is when the connection to it was opened (monotonic clock, seconds).
        """
        current = self._find(progress, replica.replica_id)
        if current is None:
            raise ReplicaError("the replica is draining", False, "draining")
        if progress.is_resumption and software_of(current) != self._needed_software(progress):
            raise ReplicaError("the replica has another software version", False, "other_version")
        if not self._may_begin(progress, current):
            message = "the replica's software version is not registered"
            raise ReplicaError(message, False, "version_not_registered")
        progress.attempt_replica = current
        progress.attempt_opened_at = opened_at

    def _may_begin(self, progress: RequestProgress, replica: Replica) -> bool:
        """Whether a request may begin a stream at a replica; True if it begins none."""
        is_begun = progress.stream and not progress.is_resumption
        if not is_begun or not progress.route.is_resumable:
            return True
        if progress.registered_version:
            return replica.software_version == progress.registered_version
        return self._registered.has(software_of(replica))

    def record_first_event(self, request: ClientRequest, progress: RequestProgress) -> None:
        """Record the software of a stream's first event, or renew the record of a resumed one."""
        if not progress.stream or not progress.route.is_resumable:
            return
        if progress.is_resumption:
            self._metrics.resumption_ended("resumed")
        record = self._streams.record(self._new_record(request, progress))
        self._sharing.share(record)

    def _new_record(self, request: ClientRequest, progress: RequestProgress) -> StreamVersion:
        fields = request.fields
        allowed_s = (
            progress.route.timeout_s if fields.deadline_s is None else max(0.0, fields.deadline_s)
        )
        expires_at = request.received_at + allowed_s + EXPIRY_MARGIN_S
        if progress.is_resumption:
            software = self._needed_software(progress) or Software(progress.service, "")
            return StreamVersion(progress.stream, software, expires_at)
        replica = progress.attempt_replica
        assert replica is not None
        return StreamVersion(
            progress.stream,
            self._software_of_attempt(replica),
            expires_at,
            replica.replica_id,
            progress.attempt_opened_at,
        )

    def _software_of_attempt(self, replica: Replica) -> Software:
        """Return the software of the replica that an attempt was sent to.

        It is unknown if the replica's entry has changed since.
        """
        listed = self._directory.find_listed(replica.replica_id)
        is_same = listed is None or (
            software_of(listed) == software_of(replica) and listed.started_ms == replica.started_ms
        )
        return software_of(replica) if is_same else Software(replica.service, "")
