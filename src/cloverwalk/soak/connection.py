"""An HTTP client connection that also detects invalid and unsolicited bytes."""

from typing import Any

import attrs
import curio
import h11

from cloverwalk.gateway.event_stream import EventSplitter
from cloverwalk.platform import names
from cloverwalk.soak.events import AnswerEnd

MAX_READ_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0


@attrs.define
class Answer:
    """The answer to one request, as far as it was received."""

    end: AnswerEnd = AnswerEnd.BROKEN
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b""

    @property
    def is_whole(self) -> bool:
        """Whether the answer was received completely."""
        return self.end == AnswerEnd.WHOLE

    def header(self, name: bytes) -> str:
        """Return the value of a header, empty if it is missing."""
        return self.headers.get(name.decode().lower(), "")

    @property
    def is_signed(self) -> bool:
        """Whether the answer comes from a replica."""
        return bool(self.header(names.SIGNATURE))

    @property
    def code(self) -> str:
        """The error code of a node's error response; empty for other answers."""
        if self.is_signed or not self.is_whole:
            return ""
        return self.body.partition(b":")[0].decode("utf-8", "replace")

    def texts(self) -> list[str]:
        """Return the data of its complete events; trailing bytes of a whole answer come last."""
        splitter = EventSplitter()
        texts = [event.data for event in splitter.feed(self.body)]
        if splitter.rest and self.is_whole:
            texts.append(splitter.rest.decode("utf-8", "replace"))
        return texts


class ClientConnection:
    """A connection to a node, for sequential requests."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self.answer = Answer()

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "ClientConnection | None":
        """Connect to an address; return None if that fails."""
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                return cls(await curio.open_connection(*address))
        except (OSError, curio.TaskTimeout):
            return None

    async def has_unsolicited_bytes(self) -> bool:
        """Whether bytes were received while no request was pending (end of stream is none)."""
        data: bytes | None = None
        try:
            async with curio.ignore_after(0.0):
                data = await self._sock.recv(MAX_READ_BYTES)
        except OSError:
            return False
        if data:
            return True
        return bool(self._http.trailing_data[0])

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sent_share: float = 1.0,
    ) -> Answer:
        """Send a request and read its answer; ``answer`` has what was received so far.

        ``sent_share`` is the share of the request's bytes that are sent.
        """
        self.answer = Answer()
        try:
            data = self._encode_request(method, target, headers, body)
            await self._sock.sendall(data[: int(sent_share * len(data))])
            await self._read_answer()
        except h11.RemoteProtocolError:
            self.answer.end = AnswerEnd.INVALID
        except OSError:
            self.answer.end = AnswerEnd.BROKEN
        return self.answer

    def _encode_request(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> bytes:
        all_headers = [*headers, ("Content-Length", str(len(body)))]
        data = (
            self._http.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        )
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read_answer(self) -> None:
        answer = self.answer
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._sock.recv(MAX_READ_BYTES)
                if not data:
                    return
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {n.decode(): v.decode("latin-1") for n, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.end = AnswerEnd.WHOLE
                return

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False if the connection must be closed."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()


async def call_once(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float,
) -> Answer:
    """Send a request on a new connection; the answer has status 0 if there was none in time."""
    connection = await ClientConnection.open(address)
    if connection is None:
        return Answer()
    try:
        async with curio.ignore_after(timeout_s):
            return await connection.call(method, target, headers, body)
        return Answer()
    finally:
        await connection.close()
