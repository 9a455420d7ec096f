"""An answer that promises "not run" is given only where no replica has begun.

Clients here obey: after a promise they send the request again, with the same id, and the replicas
count how often they began it.
"""

from pathlib import Path

import pytest
from fleet_world import Answer, FleetWorld, in_world

from cloverwalk.core.catalogue import REQUEST_ENDED
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.messages import Placement, PlacementRequest
from cloverwalk.fleet.placement_client import PlacementResult
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.telemetry.request_history import describe_work_state, parse_line

PROMISES = (408, 421, 429, 503)
SENDS = 2


def runs(world: FleetWorld, request_id: str) -> int:
    return sum(replica.runs(request_id) for replica in world.replicas)


async def send_while_promised(world: FleetWorld, path: str, request_id: str) -> list[Answer]:
    """Send a request, and send it again after a promise."""
    answers = [await world.ask(path, request_id)]
    while answers[-1].status in PROMISES and len(answers) < SENDS:
        answers.append(await world.ask(path, request_id))
    return answers


def answer_next_asks(world: FleetWorld, verdicts: list[PlacementVerdict | None]) -> None:
    """Have the first node's asks answered by these verdicts; None leaves it to the coordinator."""
    link = world.nodes[0]._fleet.coordinator_client
    place = link.request_placement

    async def answer(ask: PlacementRequest, until: float) -> PlacementResult:
        verdict = verdicts.pop(0) if verdicts else None
        if verdict is None:
            return await place(ask, until)
        return PlacementResult(Placement(0, verdict, retry_after_s=0.3))

    link.request_placement = answer  # type: ignore[method-assign]


def test_a_replicas_refusal_without_proof_is_no_promise() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=4)
        for path, most_runs in (("/once/a", 1), ("/safe/a", 3)):
            for status in PROMISES:
                for replica in world.replicas:
                    replica.always = Misdeed.UNPROVED_REFUSAL
                    replica.unproved_status = status
                request_id = f"{path[1:5]}-{status}"
                answers = await send_while_promised(world, path, request_id)
                assert [one.status for one in answers] == [502], request_id
                assert "retry-after" not in answers[0].headers
                assert runs(world, request_id) <= most_runs

    in_world(test)


@pytest.mark.parametrize("misdeed", [Misdeed.RESET, Misdeed.RESET_MIDWAY])
def test_a_connection_that_is_reset_after_the_request_promises_nothing(misdeed: Misdeed) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=4)
        for replica in world.replicas:
            replica.always = misdeed
        for path, most_runs in (("/once/a", 1), ("/safe/a", 3), ("/chat/a", 3)):
            request_id = f"{path[1:5]}-{misdeed.name}"
            (answer,) = await send_while_promised(world, path, request_id)
            assert answer.status not in PROMISES
            assert not answer.is_whole or answer.status == 502
            assert 1 <= runs(world, request_id) <= most_runs

    in_world(test)


def test_no_verdict_promises_not_run_after_a_run() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.always = Misdeed.RESET_UNANSWERED
        # A tenant's refusal is remembered for a moment: it comes last.
        refusing = (
            PlacementVerdict.RETRY_LATER,
            PlacementVerdict.NO_REPLICA,
            PlacementVerdict.QUOTA_UNKNOWN,
            PlacementVerdict.OVER_QUOTA,
        )
        for verdict in refusing:
            answer_next_asks(world, [None, verdict])
            answers = await send_while_promised(world, "/safe/a", verdict.value)
            assert [one.status for one in answers] == [502], verdict
            assert "retry-after" not in answers[0].headers
            assert runs(world, verdict.value) == 1

    in_world(test)


def test_a_refusal_that_breaks_off_is_still_a_proof() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.always = Misdeed.REFUSE_AND_CUT
        refused = await world.ask("/once/a", "refused")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert runs(world, "refused") == 0
        world.replicas[1].always = None
        assert (await world.ask("/once/a", "served")).event_ids() == [1, 2, 3, 4]

    in_world(test)


def test_a_late_refusal_of_another_request_proves_nothing() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        for turn in range(6):
            # The connection is kept: what comes first on it need not belong to this request.
            world.replicas[0].misdeeds.append(Misdeed.LATE_REFUSAL if turn else None)
            request_id = f"id-{turn}"
            answers = await send_while_promised(world, "/once/a", request_id)
            assert [one.status for one in answers] == [200]
            assert runs(world, request_id) == 1

    in_world(test)


def test_a_success_proves_no_refusal() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.always = Misdeed.PROOF_ON_SUCCESS
        answers = await send_while_promised(world, "/once/a", "id-1")
        assert [one.status for one in answers] == [200]
        assert runs(world, "id-1") == 1

    in_world(test)


def test_the_log_tells_what_was_known_of_the_work(tmp_path: Path) -> None:
    async def test(world: FleetWorld) -> None:
        log = tmp_path / "n1.log"
        log.touch()
        world.log_path = str(log)
        await world.start(replicas=1)
        for request_id, misdeed in (("not", Misdeed.REFUSE), ("may", Misdeed.RESET_UNANSWERED)):
            world.replicas[0].always = misdeed
            await world.ask("/once/a", request_id)
        lines = [line for text in log.read_text().splitlines() if (line := parse_line(text))]
        ended = {one.fields["request"]: one for one in lines if one.number == REQUEST_ENDED}
        assert describe_work_state(ended["not"]).startswith("the work had not begun")
        assert describe_work_state(ended["may"]).startswith("the work may have begun")

    in_world(test)
