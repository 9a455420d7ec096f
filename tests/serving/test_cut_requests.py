"""Requests that clients cut off in head or body: none reaches a replica."""

import pytest
from cut_world import CutWorld, in_cut_world
from fleet_world import HOST
from scripted_replica import End, Framing, chunked, end

from cloverwalk.platform import names

BODY = b"a part of it is no request"


def whole_request(path: str, request_id: str, framing: Framing, line_end: bytes) -> bytes:
    lines = [
        b"POST " + path.encode() + b" HTTP/1.1",
        b"Host: " + HOST.encode(),
        names.REQUEST_ID + b": " + request_id.encode(),
    ]
    is_chunked = framing is Framing.CHUNKED
    length = b"Content-Length: %d" % len(BODY)
    lines.append(b"Transfer-Encoding: chunked" if is_chunked else length)
    return line_end.join([*lines, b"", b""]) + (chunked(BODY) if is_chunked else BODY)


@pytest.mark.parametrize("is_used", [False, True])
@pytest.mark.parametrize("end_kind", End)
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_cut_request_reaches_no_replica(framing: Framing, end_kind: End, is_used: bool) -> None:
    """Also as the second request of its connection."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        sent: list[str] = []
        firsts: list[str] = []
        for line_end in (b"\r\n", b"\n"):
            size = len(whole_request("/safe/", "req0000", framing, line_end))
            for position in range(size):
                first, request_id = world.new_id(), world.new_id()
                data = whole_request("/safe/", request_id, framing, line_end)[:position]
                sock = await world.connect()
                if is_used:
                    firsts.append(first)
                    await sock.sendall(whole_request("/safe/", first, framing, line_end))
                    assert await sock.recv(1)
                await sock.sendall(data)
                sent.append(request_id)
                await end(sock, end_kind)
        _, answer = await world.ask_cut("/safe/", [])
        assert (answer.status, answer.is_whole) == (200, True)
        await world.wait_until(lambda: world.nodes[0]._clients.connection_count == 0)
        assert [request_id for request_id in sent if request_id in world.calls] == []
        assert all(request_id in world.calls for request_id in firsts)
        assert len(sent) > 100

    in_cut_world(test)
