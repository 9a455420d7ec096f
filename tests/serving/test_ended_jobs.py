"""How soon items of ended jobs start no more, with many jobs at one node."""

from collections import Counter

import curio
import pytest
from fleet_world import FleetWorld, in_world

from cloverwalk.fleet.messages import JobEnded
from cloverwalk.platform import names

JOBS = 32
ITEMS = 100
STORE_DELAY_S = 0.1
"""Of each call; twice what a store of the users' platform takes."""

CANCEL_S = 3.0
"""After the acknowledgement of an end no item starts; the platform's rule."""

AFTER_S = 4.0


def count_by_job(world: FleetWorld) -> Counter[str]:
    return Counter(arrival.request_id[:3] for arrival in world.replicas[0].arrivals)


# Guards against ends that take effect the later, the more jobs a node runs.
def test_ended_jobs_start_no_item_after_the_allowed_time() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, event_s=0.05)
        for number in range(JOBS):
            assert (await world.submit_job(f"j{number:02d}", ITEMS, path="/jobs/x")).status == 202
        world.store.delay_s = STORE_DELAY_S
        started = Counter[str]()
        """Items of each job that a replica got within the allowed time."""

        async def end(job_id: str) -> None:
            answer = await world.call("DELETE", f"{names.JOB_PREFIX}{job_id}", node=1)
            assert answer.status == 200, answer
            await curio.sleep(CANCEL_S)
            started[job_id] = count_by_job(world)[job_id]

        async with curio.TaskGroup() as tasks:
            for number in range(JOBS):
                await tasks.spawn(end, f"j{number:02d}")
        await curio.sleep(AFTER_S)
        assert count_by_job(world) - started == {}
        assert 0 < started.total() < JOBS * ITEMS

    in_world(test)


def owner_and_ender(world: FleetWorld, roles: tuple[str, str]) -> tuple[int, int]:
    """Return the indexes of two nodes: the coordinator, or one of the others in their order."""
    coordinator = world.coordinator()
    assert coordinator is not None
    by_role = {"coordinator": world.nodes.index(coordinator)}
    others = [index for index, node in enumerate(world.nodes) if node is not coordinator]
    by_role.update({f"other{number}": index for number, index in enumerate(others)})
    return by_role[roles[0]], by_role[roles[1]]


# Guards against items of an ended job that go on while its owner's calls of the store time out.
@pytest.mark.parametrize(
    "roles", [("other0", "other1"), ("other0", "coordinator"), ("coordinator", "other0")]
)
def test_owner_that_cannot_read_the_store_is_told_of_the_end(roles: tuple[str, str]) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=3, events=500, event_s=0.02)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 3)
        owner, ender = owner_and_ender(world, roles)
        assert (await world.submit_job("j", 12, node=owner)).status == 202
        await world.wait_until(lambda: world.replicas[0].running > 0)
        answer = await world.call("DELETE", f"{names.JOB_PREFIX}j", node=ender)
        world.store.is_silent = True
        assert answer.status == 200, answer
        await world.wait_until(lambda: world.replicas[0].running == 0)
        assert world.nodes[owner]._batch.runner.jobs == {}

    in_world(test)


# Guards against a late message that ends another job with the same id, or a job of another process.
def test_end_of_another_job_is_not_applied() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, events=500, event_s=0.02)
        assert (await world.submit_job("j", 12)).status == 202
        node = world.nodes[0]
        record = node._batch.runner.jobs["j"].record
        for message in (
            JobEnded("j", record.accepted_ms - 1.0, record.owner),
            JobEnded("j", record.accepted_ms, "n1.earlier"),
            JobEnded("k", record.accepted_ms, record.owner),
        ):
            await node._fleet.handle_message(message, "127.0.0.3")
            assert list(node._batch.runner.jobs) == ["j"]
        end = JobEnded("j", record.accepted_ms, record.owner)
        await node._fleet.handle_message(end, "127.0.0.3")
        assert node._batch.runner.jobs == {}

    in_world(test)
