"""A status that says "not run" is given only if no replica has started the request.

After such a status the clients here retry with the same id, and the replicas count the runs.
"""

from collections.abc import Callable
from pathlib import Path

import pytest
from fleet_world import Answer, FleetWorld, in_world

from cloverwalk.core.catalogue import REQUEST_ENDED
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.messages import Placement, PlacementRequest
from cloverwalk.fleet.placement_client import PlacementResult, always_wanted
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.telemetry.request_history import describe_work_state, parse_line

PROMISES = (408, 421, 429, 503)
"""Statuses that say that the request was not run."""

MAX_SENDS = 2


def runs(world: FleetWorld, request_id: str) -> int:
    return sum(replica.runs(request_id) for replica in world.replicas)


async def send_while_promised(world: FleetWorld, path: str, request_id: str) -> list[Answer]:
    """Send a request, and retry it after a status that says "not run"."""
    answers = [await world.ask(path, request_id)]
    while answers[-1].status in PROMISES and len(answers) < MAX_SENDS:
        answers.append(await world.ask(path, request_id))
    return answers


def script_placements(world: FleetWorld, verdicts: list[PlacementVerdict | None]) -> None:
    """Script the verdicts of the first node's placement requests; None asks the coordinator."""
    coordinator_client = world.nodes[0]._fleet.coordinator_client
    original_request = coordinator_client.request_placement

    async def answer(
        request: PlacementRequest, until: float, may_send: Callable[[], bool] = always_wanted
    ) -> PlacementResult:
        verdict = verdicts.pop(0) if verdicts else None
        if verdict is None:
            return await original_request(request, until, may_send)
        return PlacementResult(Placement(0, verdict, retry_after_s=0.3))

    coordinator_client.request_placement = answer  # type: ignore[method-assign]


def test_refusal_without_proof_is_answered_502() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=4)
        for path, max_runs in (("/once/a", 1), ("/safe/a", 3)):
            for status in PROMISES:
                for replica in world.replicas:
                    replica.default_misdeed = Misdeed.UNPROVED_REFUSAL
                    replica.unproved_status = status
                request_id = f"{path[1:5]}-{status}"
                answers = await send_while_promised(world, path, request_id)
                assert [answer.status for answer in answers] == [502], request_id
                assert "retry-after" not in answers[0].headers
                assert runs(world, request_id) <= max_runs

    in_world(test)


@pytest.mark.parametrize("misdeed", [Misdeed.RESET, Misdeed.RESET_MIDWAY])
def test_reset_after_request_gives_no_not_run_status(misdeed: Misdeed) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=4)
        for replica in world.replicas:
            replica.default_misdeed = misdeed
        for path, max_runs in (("/once/a", 1), ("/safe/a", 3), ("/chat/a", 3)):
            request_id = f"{path[1:5]}-{misdeed.name}"
            (answer,) = await send_while_promised(world, path, request_id)
            assert answer.status not in PROMISES
            assert not answer.is_whole or answer.status == 502
            assert 1 <= runs(world, request_id) <= max_runs

    in_world(test)


def test_placement_refusal_after_run_is_answered_502() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.default_misdeed = Misdeed.RESET_UNANSWERED
        # Last, since the node caches the refusal of a tenant for a moment.
        refusing = (
            PlacementVerdict.RETRY_LATER,
            PlacementVerdict.NO_REPLICA,
            PlacementVerdict.QUOTA_UNKNOWN,
            PlacementVerdict.OVER_QUOTA,
        )
        for verdict in refusing:
            script_placements(world, [None, verdict])
            answers = await send_while_promised(world, "/safe/a", verdict.value)
            assert [answer.status for answer in answers] == [502], verdict
            assert "retry-after" not in answers[0].headers
            assert runs(world, verdict.value) == 1

    in_world(test)


def test_cut_refusal_still_proves_not_run() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.default_misdeed = Misdeed.REFUSE_AND_CUT
        refused = await world.ask("/once/a", "refused")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert runs(world, "refused") == 0
        world.replicas[1].default_misdeed = None
        assert (await world.ask("/once/a", "served")).event_ids() == [1, 2, 3, 4]

    in_world(test)


def test_late_refusal_of_another_request_is_ignored() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        for turn in range(6):
            # The connection is reused, so its next answer may belong to an earlier request.
            world.replicas[0].misdeeds.append(Misdeed.LATE_REFUSAL if turn else None)
            request_id = f"id-{turn}"
            answers = await send_while_promised(world, "/once/a", request_id)
            assert [answer.status for answer in answers] == [200]
            assert runs(world, request_id) == 1

    in_world(test)


def test_not_run_proof_on_success_is_ignored() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.default_misdeed = Misdeed.PROOF_ON_SUCCESS
        answers = await send_while_promised(world, "/once/a", "id-1")
        assert [answer.status for answer in answers] == [200]
        assert runs(world, "id-1") == 1

    in_world(test)


def test_log_states_whether_work_may_have_begun(tmp_path: Path) -> None:
    async def test(world: FleetWorld) -> None:
        log = tmp_path / "n1.log"
        log.touch()
        world.log_path = str(log)
        await world.start(replicas=1)
        for request_id, misdeed in (("not", Misdeed.REFUSE), ("may", Misdeed.RESET_UNANSWERED)):
            world.replicas[0].default_misdeed = misdeed
            await world.ask("/once/a", request_id)
        lines = [line for text in log.read_text().splitlines() if (line := parse_line(text))]
        ended = {line.fields["request"]: line for line in lines if line.number == REQUEST_ENDED}
        assert describe_work_state(ended["not"]).startswith("the work had not begun")
        assert describe_work_state(ended["may"]).startswith("the work may have begun")

    in_world(test)
