"""Splits the bytes of an event stream into events, and checks their order."""

from msgspec import Struct

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_048_576


class StreamEvent(Struct, frozen=True):
    """One event: its bytes as received, its id, and its data lines joined by line feeds."""

    raw: bytes
    event_id: int | None
    data: str


class EventSplitter:
    """Splits bytes into whole events and keeps the incomplete remainder.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [StreamEvent(raw=b'id: 1\\ndata: a\\n\\n', event_id=1, data='a')]
    >>> splitter.rest
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that they complete. Raises ValueError if oversized."""
        buffer = self.rest + data
        *whole, self.rest = buffer.split(EVENT_END)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return [_parse(block + EVENT_END) for block in whole]


class EventOrder:
    """Checks that the events of a run follow each other, from the requested position on.

    >>> order = EventOrder(after=1)
    >>> order.check_next(2)
    >>> order.check_next(2)
    Traceback (most recent call last):
    ...
    ValueError: event 2 does not follow event 2
    """

    def __init__(self, after: int | None) -> None:
        self.last = after
        """Id of the last event that the reader has."""

    def check_next(self, event_id: int) -> None:
        """Check the next event's id. Raises ValueError if it does not follow the last one."""
        if self.last is not None and event_id != self.last + 1:
            raise ValueError(f"event {event_id} does not follow event {self.last}")
        self.last = event_id


def _parse(raw: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in raw.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = int(value) if value.isdecimal() else None
        elif name == "data":
            data.append(value)
    return StreamEvent(raw, event_id, "\n".join(data))
