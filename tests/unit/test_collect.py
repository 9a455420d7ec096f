"""Collected answers are complete and unmixed for any order of chunks."""

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.core.collect import Chunk, Collector

WORDS = [f" w{number}" for number in range(12)]


@st.composite
def deliveries(draw: st.DrawFn) -> list[Chunk]:
    """Chunks of one attempt, duplicated and out of order, mixed with foreign chunks."""
    cuts = sorted(draw(st.sets(st.integers(1, 11), max_size=6)))
    edges = [0, *cuts, 12]
    right = [
        Chunk("r", 2, a, b - a, "".join(WORDS[a:b]), 12 if b == 12 else None)
        for a, b in zip(edges, edges[1:], strict=False)
    ]
    foreign = [
        Chunk("r", 1, 0, 3, " old old old", draw(st.sampled_from([None, 3]))),
        Chunk("r", 3, 3, 1, " new"),
        Chunk("other", 2, 0, 2, " not mine", 2),
    ]
    repeats = draw(st.lists(st.sampled_from(right), max_size=4))
    return draw(st.permutations(right + repeats + foreign))


@given(deliveries())
def test_the_text_is_whole_and_nothing_else(chunks: list[Chunk]) -> None:
    collector = Collector("r", attempt=2)
    released = "".join(collector.add(chunk) for chunk in chunks)
    assert collector.is_whole
    assert collector.text == released == "".join(WORDS)


@given(deliveries(), st.integers(0, 30))
def test_what_is_released_is_always_a_prefix(chunks: list[Chunk], count: int) -> None:
    collector = Collector("r", attempt=2)
    for chunk in chunks[:count]:
        collector.add(chunk)
        assert "".join(WORDS).startswith(collector.text)
        assert not collector.is_whole or collector.text == "".join(WORDS)


def test_next_attempt_continues_text_and_drops_old_chunks() -> None:
    collector = Collector("r", attempt=1)
    collector.add(Chunk("r", 1, 0, 2, "a b"))
    assert collector.next_attempt() == 2
    assert collector.add(Chunk("r", 1, 2, 1, " c", 3)) == ""
    assert collector.add(Chunk("r", 2, 2, 1, " d", 3)) == " d"
    assert collector.is_whole
