"""Assembles a streamed answer from chunks that may be late, duplicated or out of order."""

from msgspec import Struct


class Chunk(Struct, frozen=True):
    """Consecutive tokens of one attempt.

    ``first`` is the number of tokens before them in the whole answer, including the output of
    earlier attempts. ``total``, the length of the whole answer in tokens, is set on the last
    chunk only.
    """

    request_id: str
    attempt: int
    first: int
    tokens: int
    text: str
    total: int | None = None


class Collector:
    """Collects the answer to one request; drops chunks of other requests or attempts.

    >>> collector = Collector("r", attempt=1)
    >>> collector.add(Chunk("r", 1, 1, 1, " b", total=2))
    ''
    >>> collector.add(Chunk("r", 1, 0, 1, "a")), collector.is_whole
    ('a b', True)
    """

    def __init__(self, request_id: str, attempt: int) -> None:
        self._request_id = request_id
        self.attempt = attempt
        self._parts: list[str] = []
        self.tokens = 0
        self._buffered: dict[int, Chunk] = {}
        self._total: int | None = None

    @property
    def text(self) -> str:
        """The answer so far, without gaps."""
        return "".join(self._parts)

    @property
    def is_whole(self) -> bool:
        """Whether every token up to the announced total has arrived."""
        return self._total is not None and self.tokens == self._total

    def next_attempt(self) -> int:
        """Start another attempt, which continues after the text so far."""
        self.attempt += 1
        self._buffered.clear()
        self._total = None
        return self.attempt

    def add(self, chunk: Chunk) -> str:
        """Add a chunk; return the text that became contiguous with the answer so far."""
        if chunk.request_id != self._request_id or chunk.attempt != self.attempt:
            return ""
        if chunk.first < self.tokens:
            return ""
        self._buffered[chunk.first] = chunk
        released = []
        while self.tokens in self._buffered:
            ready = self._buffered.pop(self.tokens)
            self.tokens += ready.tokens
            released.append(ready.text)
            if ready.total is not None:
                self._total = ready.total
            if ready.tokens == 0:
                break
        self._parts += released
        return "".join(released)
