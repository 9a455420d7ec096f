"""The gate that keeps a stream at its software version, at the node that serves its client."""

import os
from typing import Any

import attrs
import curio
import msgspec
import pytest

from cloverwalk.fleet.messages import Placement, PlacementRequest
from cloverwalk.gateway.configuration import Route, RouteKind, RoutePart
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.errors import GatewayError, ReplicaError
from cloverwalk.gateway.messages import ClientRequest, RequestFields
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.resumption_gate import MAX_REFUSALS_PER_REPLICA, ResumptionGate
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.stream_versions import StreamVersion, StreamVersionTable
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

NOW = 1000.0
V1 = Software("model", "v1")
ROUTE = Route(
    "chat",
    "h",
    "/",
    RouteKind.STREAM,
    (RoutePart("model", 1.0),),
    5.0,
    0.3,
    2,
    is_resumable=True,
)


@attrs.define
class OtherNodes:
    """Stands for the other nodes of a fleet."""

    known: dict[str, Software] = attrs.Factory(dict)
    shared: list[StreamVersion] = attrs.Factory(list)
    asked: list[str] = attrs.Factory(list)

    def share(self, record: StreamVersion) -> None:
        self.shared.append(attrs.evolve(record))

    async def ask(self, stream: str) -> Software | None:
        self.asked.append(stream)
        return self.known.get(stream)


@attrs.define
class Register:
    """Stands for the versions that the store lists."""

    listed: set[Software] = attrs.Factory(lambda: {V1, Software("model", "v2")})
    unregistered: set[Software] = attrs.Factory(set)

    def has(self, software: Software) -> bool:
        return software not in self.unregistered

    async def only_software(self, service: str) -> Software | None:
        listed = {software for software in self.listed if software.service == service}
        return listed.pop() if len(listed) == 1 else None


class World:
    def __init__(self, versions: list[str]) -> None:
        self.directory = ReplicaDirectory()
        for number, version in enumerate(versions):
            self.put(number, version, 1)
        self.streams = StreamVersionTable(lambda: NOW)
        self.others = OtherNodes()
        self.register = Register()
        self.gate = ResumptionGate(
            self.directory,
            DrainingReplicas(self.directory, lambda: NOW),
            self.streams,
            self.others,
            self.register,
            self.register,
            ServingLog("n1", lambda: NOW, os.open(os.devnull, os.O_WRONLY)),
            ServingMetrics(),
            lambda: NOW,
        )

    def put(self, number: int, software_version: str, version: int, **more: Any) -> Replica:
        entry = Replica(f"r{number}", "model", "h", number, "z1", 8, False, version)
        entry = msgspec.structs.replace(entry, software_version=software_version, **more)
        self.directory.put(entry)
        return entry

    def begin(
        self, request_id: str, resumes: str = "", last_event: int | None = None
    ) -> tuple[ClientRequest, RequestProgress]:
        fields = RequestFields(
            request_id, 3.0, last_event_id=last_event, resumed_request_id=resumes
        )
        request = ClientRequest("POST", "/x", [], b"", "h", fields, NOW)
        progress = RequestProgress(ROUTE, "model", NOW + 3.0, last_event)
        self.gate.begin(request, progress)
        return request, progress


def send_to(replica_id: str, version: str = "") -> Placement:
    return Placement(1, PlacementVerdict.SEND, replica_id, software_version=version)


# Guards against a resumption that goes where a coordinator of an earlier build sends it.
def test_placement_by_an_earlier_build_is_compared_with_the_streams_version() -> None:
    async def main() -> None:
        world = World(["v1", "v2"])
        world.others.known["s1"] = V1
        request, progress = world.begin("a2", "s1", 4)
        placement_request = world.gate.add_software(progress, PlacementRequest(1, "chat", "model"))
        assert placement_request.is_resumption and placement_request.stream == "s1"
        assert world.gate.is_undecided(progress, send_to("r1"))
        await world.gate.ask(request, progress)
        assert not world.gate.is_undecided(progress, send_to("r1"))
        assert world.gate.find(progress, send_to("r1")) is None
        found = world.gate.find(progress, send_to("r0"))
        assert found is not None and found.software_version == "v1"
        again = world.gate.add_software(progress, PlacementRequest(1, "chat", "model"))
        assert again.software_version == "v1"

    curio.run(main)


def test_stream_that_nobody_knows_is_refused_after_one_question() -> None:
    async def main() -> None:
        world = World(["v1", "v2"])
        request, progress = world.begin("a2", "s1", 4)
        for _ in range(2):
            with pytest.raises(GatewayError) as caught:
                await world.gate.ask(request, progress)
            assert caught.value.code == "software_version_unknown"
        assert world.others.asked == ["s1"]

    curio.run(main)


# Guards against an entry that changes its version between the choice and the send.
def test_entry_that_changes_before_the_send_stops_a_resumption() -> None:
    world = World(["v1", "v2"])
    world.streams.record(StreamVersion("s1", V1, NOW + 5.0))
    _, progress = world.begin("a2", "s1", 4)
    replica = world.gate.find(progress, send_to("r0", "v1"))
    assert replica is not None
    world.put(0, "v2", 2)
    with pytest.raises(ReplicaError) as caught:
        world.gate.check(progress, replica, NOW)
    assert (caught.value.code, caught.value.may_have_run) == ("other_version", False)


# Guards against a stream that begins at a version which the store does not list.
@pytest.mark.parametrize(
    ("placed", "is_registered", "is_sent"),
    [("", True, True), ("", False, False), ("v1", False, True), ("v2", True, False)],
)
def test_stream_is_sent_only_to_a_registered_version(
    placed: str, is_registered: bool, is_sent: bool
) -> None:
    world = World(["v1", "v2"])
    world.register.unregistered = set() if is_registered else {V1}
    _, progress = world.begin("s1")
    replica = world.gate.find(progress, send_to("r0", placed))
    assert replica is not None
    if is_sent:
        world.gate.check(progress, replica, NOW)
        return
    with pytest.raises(ReplicaError) as caught:
        world.gate.check(progress, replica, NOW)
    assert (caught.value.code, caught.value.may_have_run) == ("version_not_registered", False)


# Guards against a record with the version that an entry named before the replica restarted.
@pytest.mark.parametrize("change", [{"software_version": "v2"}, {"started_ms": 9}])
def test_entry_that_changes_before_the_first_event_leaves_the_version_unknown(
    change: dict[str, Any],
) -> None:
    world = World(["v1", "v2"])
    request, progress = world.begin("s1")
    replica = world.gate.find(progress, send_to("r0"))
    assert replica is not None
    world.gate.check(progress, replica, NOW)
    world.put(0, **{"software_version": "v1", "version": 2, **change})
    world.gate.record_first_event(request, progress)
    assert world.streams.find("s1") is None and world.streams.is_version_unknown("s1")
    assert [record.software.version for record in world.others.shared] == [""]


# Guards against a record that reaches other nodes after the first event reaches the client.
def test_record_is_shared_with_the_first_event_and_renewed_by_a_resumption() -> None:
    world = World(["v1", "v2"])
    for request_id, resumes, last_event in (("s1", "", None), ("a2", "s1", 4)):
        request, progress = world.begin(request_id, resumes, last_event)
        replica = world.gate.find(progress, send_to("r0", "v1"))
        assert replica is not None
        world.gate.check(progress, replica, NOW)
        world.gate.record_first_event(request, progress)
    assert [(record.stream, record.software) for record in world.others.shared] == 2 * [("s1", V1)]


# Guards against a stream that goes on at a service which its client's request may not use, and
# against the end of one whose route was moved while it was served.
@pytest.mark.parametrize(("service", "is_futile"), [("model", False), ("moved", True)])
def test_stream_goes_on_only_at_a_service_of_its_requests_route(
    service: str, is_futile: bool
) -> None:
    world = World(["v1"])
    entry = world.put(0, "v1", 2, service=service)
    world.streams.record(StreamVersion("s1", Software(service, "v1"), NOW + 5.0))
    _, progress = world.begin("a2", "s1", 4)
    assert world.gate.find(progress, send_to("r0", "v1")) == entry
    assert world.gate.is_futile(progress, entry) == is_futile


# Guards against connection timeouts one after the other at the last replica of a version.
def test_replica_that_refused_a_resumption_repeatedly_is_not_asked_again() -> None:
    world = World(["v1", "v2"])
    world.streams.record(StreamVersion("s1", V1, NOW + 5.0))
    _, progress = world.begin("a2", "s1", 4)
    replica = world.gate.find(progress, send_to("r0", "v1"))
    assert replica is not None
    for _ in range(MAX_REFUSALS_PER_REPLICA):
        assert not world.gate.is_futile(progress, replica)
        progress.refused.append("r0")
    assert world.gate.is_futile(progress, replica)
    _, fresh = world.begin("s9")
    fresh.refused += ["r0"] * MAX_REFUSALS_PER_REPLICA
    assert not world.gate.is_futile(fresh, replica)
