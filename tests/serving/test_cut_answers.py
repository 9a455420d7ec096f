"""Answers that replicas cut off: a client never gets a part as a whole answer.

Each test goes through the node, with an answer cut off after each of its bytes.
"""

import itertools

import curio
import pytest
from cut_world import (
    ANY_CALL,
    WHOLE,
    Cut,
    CutWorld,
    end_unread,
    every_cut,
    every_head_cut,
    in_cut_world,
    own_body,
    wait_briefly,
)
from fleet_world import HOST, WAIT_TIMEOUT_S, FleetWorld, in_world
from node_processes import node_processes
from scripted_replica import Call, End, Framing
from test_fleet_processes import ProcessFleet

from cloverwalk.gateway.answer_relay import MAX_BUFFERED_ANSWER_BYTES
from cloverwalk.platform import names

PATHS = ("/safe/", "/unsafe/", "/chat/", "/once/")
MAX_ATTEMPTS = {"/safe/": 3, "/unsafe/": 1, "/chat/": 3, "/once/": 1}

each_framing = pytest.mark.parametrize("framing", Framing)
each_end = pytest.mark.parametrize("end", End)
each_path = pytest.mark.parametrize("path", PATHS)


@each_path
@each_end
@each_framing
def test_cut_answer_is_not_whole(framing: Framing, end: End, path: str) -> None:
    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        bare_line_feeds = every_head_cut(framing, end, has_bare_line_feeds=True)

        async def check(cut: Cut) -> None:
            request_id, answer = await world.ask_cut(path, [cut] * MAX_ATTEMPTS[path])
            world.check_answer(path, request_id, answer)

        await world.each(every_cut(framing, end) + bare_line_feeds, check)

    in_cut_world(test)


@each_path
@each_end
@each_framing
def test_cut_answer_is_not_whole_in_http10(framing: Framing, end: End, path: str) -> None:
    async def test(world: CutWorld) -> None:
        await world.start_cutting()

        async def check(cut: Cut) -> None:
            request_id, answer = await world.ask_in_http10(path, [cut] * MAX_ATTEMPTS[path])
            world.check_answer(path, request_id, answer)

        await world.each(every_cut(framing, end)[::3], check)

    in_cut_world(test)


@each_end
@each_framing
def test_request_is_answered_whole_by_second_attempt(framing: Framing, end: End) -> None:
    """The first attempt is cut off while the node reads it; a stream goes on where it was cut."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting()

        async def check(case: tuple[str, Cut]) -> None:
            path, cut = case
            request_id, answer = await world.ask_cut(path, [cut])
            world.check_answer(path, request_id, answer)
            assert answer.status == 200, case
            assert answer.is_whole

        cuts = every_cut(framing, end, before_end=wait_briefly)
        await world.each(itertools.product(("/safe/", "/chat/"), cuts), check)

    in_cut_world(test)


@each_end
@each_framing
def test_stream_that_client_resumes_is_not_whole_if_cut(framing: Framing, end: End) -> None:
    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        begun, _ = await world.ask_cut("/chat/", [])
        resumed = [(names.LAST_EVENT_ID.decode(), "1"), (names.RESUMES.decode(), begun)]

        async def check(cut: Cut) -> None:
            request_id, answer = await world.ask_cut("/chat/", [cut] * 3, headers=resumed)
            world.check_answer("/chat/", request_id, answer, after=1)

        await world.each(every_cut(framing, end), check)

    in_cut_world(test)


FOREIGN = WHOLE.data(Call(0, 0, "another", None))
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize("before", [b"", FOREIGN, INTERIM, CONTINUE, INTERIM + FOREIGN + CONTINUE])
@each_end
@each_framing
def test_cut_answer_on_used_connection_is_not_whole(
    framing: Framing, end: End, before: bytes
) -> None:
    """Before it, an answer to another request may have been skipped, and interim answers."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting(replicas=1)
        for path, cut in itertools.product(("/unsafe/", "/once/"), every_cut(framing, end)[::3]):
            _, answer = await world.ask_cut(path, [])
            assert answer.is_whole
            cut = Cut(framing, cut.position, end, before=before)
            request_id, answer = await world.ask_cut(path, [cut])
            world.check_answer(path, request_id, answer)
            assert [call.turn for call in world.calls[request_id]] == [1]

    in_cut_world(test)


@each_end
@each_framing
def test_cut_answer_after_refusals_is_not_whole(framing: Framing, end: End) -> None:
    """The replicas before it prove that they did not run the request."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        size = len(WHOLE.data(ANY_CALL))
        refusals = [
            Cut(Framing.LENGTH, 2 * size, End.FIN, status=status, is_refusal=True)
            for status in (503, 421)
        ]

        async def check(case: tuple[str, Cut]) -> None:
            path, cut = case
            request_id, answer = await world.ask_cut(path, [*refusals, cut])
            world.check_answer(path, request_id, answer)
            assert len(world.calls[request_id]) == 3

        cases = itertools.product(("/unsafe/", "/once/"), every_cut(framing, end)[::3])
        await world.each(cases, check)

    in_cut_world(test)


LONG_REQUEST = b"r" * 1_500_000
"""More than the kernel buffers for a replica that does not read."""


@each_end
@each_framing
def test_cut_answer_before_its_request_is_read_is_not_whole(framing: Framing, end: End) -> None:
    async def test(world: CutWorld) -> None:
        await world.start_cutting(reads_bodies=False)
        last = end_unread if end is End.FIN else None

        async def check(case: tuple[str, Cut]) -> None:
            path, cut = case
            request_id, answer = await world.ask_cut(path, [cut], body=LONG_REQUEST)
            world.check_answer(path, request_id, answer)

        cuts = every_cut(framing, end, before_end=last)[::5]
        await world.each(itertools.product(("/unsafe/", "/once/"), cuts), check, callers=2)

    in_cut_world(test)


LONG = MAX_BUFFERED_ANSWER_BYTES + 100_000


@pytest.mark.parametrize("is_http10", [False, True])
@each_end
@each_framing
def test_cut_answer_beyond_buffer_is_not_whole(framing: Framing, end: End, is_http10: bool) -> None:
    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        size = len(Cut(framing, 0, end, padding=LONG).data(ANY_CALL))
        begin = len(Cut(framing, 0, end, padding=LONG).head(ANY_CALL))
        positions = [begin, size // 2, size - 50_000, *range(size - 32, size + 1)]

        async def check(case: tuple[str, int]) -> None:
            path, position = case
            cut = Cut(framing, position, end, padding=LONG, before_end=wait_briefly)
            ask = world.ask_in_http10 if is_http10 else world.ask_cut
            request_id, answer = await ask(path, [cut] * MAX_ATTEMPTS[path])
            world.check_answer(path, request_id, answer)

        await world.each(itertools.product(("/safe/", "/unsafe/"), positions), check, callers=4)

    in_cut_world(test)


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_part_of_answer_after_whole_one_reaches_no_other_request(framing: Framing) -> None:
    """It comes with the whole answer, or in the place where the next answer is due."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting(replicas=1)
        for position in range(1, len(Cut(framing, 0, End.FIN).data(ANY_CALL)) + 1):
            part = Cut(framing, position, End.FIN).data(ANY_CALL)[:position]
            await check_leftover(world, part, position % 2 == 0)

    in_cut_world(test)


async def check_leftover(world: CutWorld, part: bytes, comes_with_first: bool) -> None:
    """Check two requests after another, with a part of an answer between their own answers."""
    first, second = world.new_id(), world.new_id()
    if comes_with_first:
        world.surplus[first] = lambda call: WHOLE.data(call) + part
    else:
        world.surplus[second] = lambda call: part + WHOLE.data(call)
    for request_id in (first, second):
        answer = await world.ask("/unsafe/", request_id)
        assert answer.is_whole
        if answer.status == 200:
            assert answer.body == own_body(request_id)
        else:
            assert (answer.status, request_id, comes_with_first) == (502, second, False)
    (call,) = world.calls[second]
    assert (call.turn == 0) == comes_with_first


def test_answer_of_killed_process_is_not_whole_in_http10() -> None:
    async def test(fleet: ProcessFleet) -> None:
        (node,) = fleet.nodes
        await fleet.wait_until_ready(node)
        sock = await curio.open_connection(*node.client_address)
        head = f"POST /chat/a HTTP/1.0\r\nHost: {HOST}\r\n{names.REQUEST_ID.decode()}: a\r\n\r\n"
        await sock.sendall(head.encode())
        data = b""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while b"id: 1\n" not in data:
                data += await sock.recv(65536)
            node.kill()
            with pytest.raises(ConnectionResetError):
                while await sock.recv(65536):
                    pass
        assert b"id: 100\n" not in data
        await sock.close()

    async def in_fleet(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=0, events=100, event_s=0.1)
        with node_processes(1, world.store_port) as nodes:
            await test(ProcessFleet(world, nodes))

    in_world(in_fleet)


@pytest.mark.parametrize("status", [404, 422])
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_failure_inside_head_of_success_is_not_relayed_as_success(
    framing: Framing, status: int
) -> None:
    """A replica that fails while it writes a head may write the head of a failure after it."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting()

        async def check(cut: Cut) -> None:
            part = cut.data(ANY_CALL)[: cut.position]
            failure = Cut(framing, 1 << 20, End.FIN, status=status, before=part)
            _, answer = await world.ask_cut("/unsafe/", [failure])
            expected = status if cut.position == 0 else 502
            assert (answer.status, answer.is_whole) == (expected, True), (part, answer)

        cuts = every_head_cut(framing, End.FIN)[:-1]
        await world.each(cuts, check)

    in_cut_world(test)
