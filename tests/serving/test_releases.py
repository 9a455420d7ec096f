"""Streams during releases while nodes are cut off, stand still or restart, in any order."""

import json
import os
from collections.abc import Iterator

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from release_model import NODES, ROUTE, Attempt, ModelNode, ReleaseModel

from cloverwalk.emulator.memory_store import CommitFault
from cloverwalk.fleet import stream_version_sync
from cloverwalk.fleet.version_registry import ROW_KEY
from cloverwalk.gateway.configuration import RoutePart
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.store.types import Put, Transaction

VERSIONS = ("v1", "v2")
QUERY_TIMEOUT_S = 0.001
EXAMPLES = int(os.environ.get("RELEASE_ORDERS", "400"))

KINDS = [
    *["join"] * 2,
    "leave",
    *["read_list"] * 3,
    *["update"] * 2,
    "update_all",
    "role",
    "cut",
    "hide",
    "freeze",
    "store",
    "fault",
    "late",
    *["send"] * 2,
    *["stream"] * 4,
    *["first_event"] * 2,
    "deliver",
    *["lose"] * 2,
    "restart",
    "pass",
    *["resume"] * 3,
]
FAULTS = list(CommitFault)
PAUSES_S = (0.1, 1.0, 5.0, 12.0)

number = st.integers(0, 11)
step = st.tuples(st.sampled_from(KINDS), number, number)
rates = st.tuples(*[st.sampled_from([1.0, 0.5, 3.0])] * NODES)


@pytest.fixture(autouse=True, scope="module")
def short_queries() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream_version_sync, "QUERY_TIMEOUT_S", QUERY_TIMEOUT_S)
        yield


class Steps:
    """Applies steps to a model."""

    def __init__(self, model: ReleaseModel) -> None:
        self.model = model
        self.attempts: list[Attempt] = []

    async def start(self) -> None:
        """Begin with one version, which all nodes list and one has registered."""
        self.model.join("v1")
        self.model.nodes[0].roles.is_active = True
        for node in self.model.nodes:
            node.read_list()
        for _ in range(2):
            await self.update_all()

    async def update_all(self) -> None:
        for node in self.model.nodes:
            await node.update()

    async def apply(self, kind: str, first: int, second: int) -> None:
        await getattr(self, f"_{kind}")(first, second)

    def _node(self, number: int) -> ModelNode:
        return self.model.nodes[number % NODES]

    async def _join(self, version: int, _: int) -> None:
        self.model.join(VERSIONS[version % len(VERSIONS)])

    async def _leave(self, version: int, _: int) -> None:
        self.model.leave(VERSIONS[version % len(VERSIONS)])

    async def _read_list(self, node: int, _: int) -> None:
        self._node(node).read_list()

    async def _update(self, node: int, _: int) -> None:
        await self._node(node).update()

    async def _update_all(self, _: int, __: int) -> None:
        for node in self.model.nodes:
            node.read_list()
        await self.update_all()

    async def _role(self, node: int, is_active: int) -> None:
        self._node(node).roles.is_active = bool(is_active % 2)

    async def _cut(self, node: int, is_cut: int) -> None:
        self._node(node).is_cut = self._node(node).store.is_cut = bool(is_cut % 2)

    async def _hide(self, node: int, is_cut: int) -> None:
        """Cut a node off from the others, not from the store."""
        self._node(node).is_cut = bool(is_cut % 2)

    async def _freeze(self, node: int, is_frozen: int) -> None:
        self._node(node).is_frozen = bool(is_frozen % 2)

    async def _store(self, node: int, is_cut: int) -> None:
        self._node(node).store.is_cut = bool(is_cut % 2)

    async def _fault(self, fault: int, _: int) -> None:
        self.model.store.commit_faults.append(FAULTS[fault % len(FAULTS)])

    async def _late(self, _: int, __: int) -> None:
        self.model.store.run_late()

    async def _send(self, node: int, decider: int) -> None:
        await self._try_send(node, decider)

    async def _try_send(self, node: int, decider: int) -> Attempt | None:
        sender, placer = self._pair(node, decider)
        attempt = None if sender.is_frozen else self.model.send(sender, placer, decider // NODES)
        if attempt is not None:
            self.attempts.append(attempt)
        return attempt

    async def _stream(self, node: int, decider: int) -> None:
        """Send a request and let its first event arrive at once."""
        attempt = await self._try_send(node, decider)
        if attempt is not None:
            self.attempts.remove(attempt)
            self.model.begin(attempt)

    async def _first_event(self, number: int, _: int) -> None:
        if not self.attempts:
            return
        attempt = self.attempts[number % len(self.attempts)]
        if not attempt.node.is_frozen and attempt.node in self.model.nodes:
            self.attempts.remove(attempt)
            self.model.begin(attempt)

    async def _deliver(self, _: int, __: int) -> None:
        await self.model.deliver()

    async def _lose(self, number: int, _: int) -> None:
        await self.model.deliver(lambda index: bool((number >> index % 4) & 1))

    async def _restart(self, node: int, _: int) -> None:
        self.model.restart(node % NODES)
        self._node(node).read_list()

    async def _pass(self, pause: int, _: int) -> None:
        self.model.now += PAUSES_S[pause % len(PAUSES_S)]

    async def _resume(self, node: int, decider: int) -> None:
        """Take up each stream that has begun."""
        sender, placer = self._pair(node, decider)
        if not sender.is_frozen:
            for stream in sorted(self.model.begun):
                await self.model.resume(sender, placer, stream)

    def _pair(self, node: int, decider: int) -> tuple[ModelNode, ModelNode]:
        """Return a node and who decides its placements: itself if the other is out of reach."""
        sender, placer = self._node(node), self._node(decider)
        is_near = not (sender.is_cut or placer.is_cut or placer.is_frozen)
        return sender, placer if is_near else sender


# Guards against streams that go on at another version at a node that is out of step: it was cut
# off, stood still, restarted, or has lost messages while a version joined or left.
@settings(max_examples=EXAMPLES)
@given(rates, st.lists(step, min_size=5, max_size=40))
def test_streams_go_on_at_their_version_in_any_order_of_events(
    clock_rates: tuple[float, ...], steps: list[tuple[str, int, int]]
) -> None:
    async def main() -> None:
        play = Steps(ReleaseModel(clock_rates))
        await play.start()
        for kind, first, second in steps:
            await play.apply(kind, first, second)
        for node in range(NODES):
            await play.apply("freeze", node, 0)
            await play.apply("resume", node, node)

    curio.run(main)


OUT_OF_STEP = {
    "cut off": [("cut", 2, 1)],
    "cut off from the store": [("store", 2, 1)],
    "stands still": [("freeze", 2, 1)],
    "the coordinator is cut off": [("role", 2, 1), ("cut", 2, 1)],
    "a keeper of records is cut off": [("cut", 1, 1)],
}
RELEASES = {
    "one replica": [("join", 1, 0)],
    "the whole fleet": [("join", 1, 0), ("leave", 0, 0)],
    "back to the old version": [("join", 1, 0), ("update_all", 0, 0), ("leave", 1, 0)],
    "a version that comes and goes": [
        ("join", 1, 0),
        ("update_all", 0, 0),
        ("stream", 1, 1),
        ("stream", 0, 0),
        ("leave", 1, 0),
        ("update_all", 0, 0),
    ],
}


# Streams of a new version went on at the earlier one at nodes that were cut off when it joined.
@pytest.mark.parametrize("release", RELEASES.values(), ids=list(RELEASES))
@pytest.mark.parametrize("trouble", OUT_OF_STEP.values(), ids=list(OUT_OF_STEP))
@pytest.mark.parametrize("passed_s", [0.1, 9.9])
def test_node_out_of_step_joins_no_stream_from_two_versions(
    trouble: list[tuple[str, int, int]],
    release: list[tuple[str, int, int]],
    passed_s: float,
) -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        model.now += 100.0
        for kind, first, second in [*trouble, *release, ("update_all", 0, 0), ("update_all", 0, 0)]:
            await play.apply(kind, first, second)
        for choice in range(4):
            await play.apply("stream", choice % 2, choice // 2 * NODES)
        model.in_transit.clear()
        model.now += passed_s
        if not model.nodes[2].is_frozen:
            await play.apply("resume", 2, 2)
        await play.apply("freeze", 2, 0)
        await play.apply("resume", 2, 2)
        assert model.begun and model.resumed + model.refused

    curio.run(main)


# Guards against a first stream of a version that the store does not list: a node without its record
# would take it for a stream of the version that the store lists.
def test_stream_begins_at_a_version_once_it_is_registered() -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        await play.apply("join", 1, 0)
        await play.apply("read_list", 1, 0)
        await play.apply("stream", 1, 1)
        assert set(model.begun.values()) <= {"v1"}
        model.in_transit.clear()
        await play.apply("hide", 1, 1)
        await play.apply("resume", 2, 2)
        # Another node than the coordinator adds the version if the coordinator does not.
        for _ in range(2):
            model.now += 1.0
            await play.apply("update", 1, 0)
        await play.apply("stream", 1, 1)
        assert "v2" in model.begun.values()

    curio.run(main)


# Guards against the version of another service of a route, for a stream without a record.
def test_stream_of_a_route_with_two_services_is_not_resumed_without_a_record() -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        node = model.nodes[0]
        two = msgspec.structs.replace(
            ROUTE, parts=(RoutePart("model", 1.0), RoutePart("other", 1.0))
        )
        for route, is_resumed in ((ROUTE, True), (two, False)):
            request = model.request("t1", "from-before", 3)
            progress = RequestProgress(route, "model", model.now + 30.0, 3)
            node.gate.begin(request, progress)
            if is_resumed:
                await node.gate.ask(request, progress)
                continue
            with pytest.raises(GatewayError):
                await node.gate.ask(request, progress)

    curio.run(main)


# Guards against a row of versions that the store refuses, so that no new version is ever used.
def test_versions_are_registered_although_many_have_gone() -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        for number in range(400):
            model.join(f"{number:0200}")
            model.leave(f"{number - 1:0200}")
            model.nodes[0].read_list()
            await model.nodes[0].update()
        model.join("v2")
        for _ in range(2):
            await play.apply("update_all", 0, 0)
        await play.apply("stream", 0, 0)
        assert set(model.begun.values()) == {"v2"}
        assert await model.nodes[2].register.only_software("model") is None

    curio.run(main)


def lists(model: ReleaseModel) -> str:
    """Return the row of versions as it is in the store."""
    return b"".join(model.store.values("software").values()).decode()


async def begin_at(model: ReleaseModel, node: ModelNode, decider: ModelNode, version: str) -> str:
    """Begin a stream at a version, whose record reaches no other node."""
    for choice in range(4):
        attempt = model.send(node, decider, choice)
        if attempt is not None and attempt.replica.software_version == version:
            model.begin(attempt)
            model.in_transit.clear()
            return attempt.progress.stream
    pytest.fail(f"no stream could begin at {version}")


# Guards against a version that stays in use after a late write took it from the row.
def test_version_that_a_late_write_removed_is_registered_again() -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        await play.apply("join", 1, 0)
        for _ in range(3):
            await play.apply("update_all", 0, 0)
            model.now += 1.0
        await play.apply("leave", 1, 0)
        for node in model.nodes:
            node.read_list()
        model.store.commit_faults.append(CommitFault.LATE)
        await model.nodes[0].update()
        await play.apply("join", 1, 0)
        for _ in range(3):
            await play.apply("update_all", 0, 0)
            model.now += 1.0
        model.store.run_late()
        for _ in range(700):
            model.now += 1.0
            await play.apply("update_all", 0, 0)
            for node in model.nodes:
                node.versions.expire()
        stream = await begin_at(model, model.nodes[1], model.nodes[0], "v2")
        for hidden in (0, 1):
            await play.apply("hide", hidden, 1)
        await model.resume(model.nodes[2], model.nodes[2], stream)

    curio.run(main)


# Guards against a version that is forgotten early because the coordinator's clock runs fast.
def test_time_without_a_version_is_measured_by_the_store() -> None:
    async def main() -> None:
        model = ReleaseModel((3.0, 1.0, 1.0))
        play = Steps(model)
        await play.start()
        await play.apply("join", 1, 0)
        for _ in range(3):
            await play.apply("update_all", 0, 0)
            model.now += 1.0
        stream = await begin_at(model, model.nodes[1], model.nodes[1], "v1")
        await play.apply("leave", 0, 0)
        await play.apply("update_all", 0, 0)
        model.now += 210.0
        model.join("v3")
        await play.apply("update_all", 0, 0)
        model.leave("v3")
        for _ in range(2):
            await play.apply("update_all", 0, 0)
        for hidden in (0, 1):
            await play.apply("hide", hidden, 1)
        await model.resume(model.nodes[2], model.nodes[2], stream)
        unlisted = [entry for entry in json.loads(lists(model))[0] if entry[1] == "v1"]
        assert unlisted and unlisted[0][2] < 220_000

    curio.run(main)


# Guards against a version that is never registered because resumptions read the row all the time.
def test_version_is_registered_beside_resumptions_without_a_record() -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        model.nodes[0].roles.is_active = False
        await play.apply("freeze", 0, 1)
        await play.apply("join", 1, 0)
        node = model.nodes[1]
        node.read_list()
        for number in range(20):
            model.now += 0.1
            await node.update()
            if number % 3 == 0:
                await node.register.only_software("model")
        await begin_at(model, node, node, "v2")

    curio.run(main)


# Guards against a stream of a version that only an invalid or removed row had named.
@pytest.mark.parametrize("lost", [b"[[[", None], ids=["invalid", "removed"])
def test_loss_of_the_row_of_versions_joins_no_stream_from_two_versions(lost: bytes | None) -> None:
    async def main() -> None:
        model = ReleaseModel((1.0,) * NODES)
        play = Steps(model)
        await play.start()
        await play.apply("join", 1, 0)
        for _ in range(3):
            await play.apply("update_all", 0, 0)
            model.now += 1.0
        stream = await begin_at(model, model.nodes[0], model.nodes[0], "v2")
        await play.apply("leave", 1, 0)
        change = (
            Transaction(removals=[ROW_KEY])
            if lost is None
            else Transaction(puts=[Put(ROW_KEY, lost)])
        )
        model.store.apply(change)
        model.join("w1", "other")
        for _ in range(4):
            model.nodes[1].read_list()
            await model.nodes[1].update()
            model.now += 31.0
        await play.apply("restart", 0, 0)
        await play.apply("restart", 2, 0)
        model.nodes[0].roles.is_active = True
        for _ in range(2):
            await play.apply("update_all", 0, 0)
        await play.apply("hide", 1, 1)
        await model.resume(model.nodes[2], model.nodes[2], stream)
        assert json.loads(lists(model))

    curio.run(main)
