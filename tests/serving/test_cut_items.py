"""Items of batch jobs whose answers replicas cut off: a result is never a part of an answer."""

import pytest
from cut_world import EVENTS, Cut, CutWorld, every_cut, in_cut_world
from scripted_replica import End, Framing

JOB_ITEMS = 100
"""As many results as one read returns."""


def expected_text(item_id: str, events: int = EVENTS) -> str:
    return "\n".join(f"{item_id}:{number}" for number in range(1, events + 1))


def item_cuts(framing: Framing, end: End, status: int) -> list[Cut]:
    """Return answers cut off at positions over all of their bytes, the last ones included.

    Item ids are two characters longer than those of requests, and so are the answers.
    """
    cuts = every_cut(framing, end, status=status)
    step = 1 + len(cuts) // (JOB_ITEMS - 20)
    return (cuts[::step] + cuts[-20:])[:JOB_ITEMS]


@pytest.mark.parametrize("status", [200, 422, 500])
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("framing", Framing)
def test_item_of_cut_answer_goes_on_to_its_whole_result(
    framing: Framing, end: End, status: int
) -> None:
    """A failure that is cut off proves nothing; another replica runs the item to its end."""

    async def test(world: CutWorld) -> None:
        await world.start_cutting()
        cuts = item_cuts(framing, end, status)
        job_id = "lot"
        for number, cut in enumerate(cuts):
            world.cuts[f"{job_id}-{number}"] = [cut]
        answer = await world.submit_job(job_id, len(cuts))
        assert answer.status == 202, answer
        for result in await world.until_done(job_id, len(cuts)):
            check_result(world, result, status)

    in_cut_world(test)


def check_result(world: CutWorld, result: dict[str, str], status: int) -> None:
    """Check a result against the first answer to its item; all later ones were whole."""
    item_id = result["id"]
    (cut,) = world.cuts[item_id]
    first, *others = world.calls[item_id]
    context = (cut, result, first, others)
    is_whole = cut.is_complete(first, is_stream=status == 200)
    if status == 422 and is_whole:
        assert result["state"] == "dead_letter", context
        return
    assert result["state"] == "succeeded", context
    assert is_whole == (not others) or status != 200, context
    events = EVENTS
    if is_whole and status == 200 and cut.framing is Framing.UNTIL_CLOSE:
        events = cut.data(first)[: cut.position].count(b"\n\n")
    assert result["message"] == expected_text(item_id, events), context
