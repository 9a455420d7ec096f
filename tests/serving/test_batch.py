"""Jobs over real sockets: accepted once, completed, readable anywhere, beside online requests."""

from typing import Any

import curio
import pytest
from fleet_world import FleetWorld, configuration, in_world, route

from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.platform import names
from cloverwalk.serving.node import ServingNode


def texts(results: list[dict[str, str]]) -> dict[str, str]:
    return {result["id"]: result["message"] for result in results}


def waiting_groups(world: FleetWorld) -> dict[str, Any]:
    """Return the items that wait, as the coordinator counts them."""
    node = world.coordinator()
    return {} if node is None else node._fleet.scheduler.waiting


def waiting_at(world: FleetWorld, node: str) -> int:
    """Return how many items of a node wait, as the coordinator counts them."""
    by_pool = waiting_groups(world).get(node, {})
    return sum(group.items for groups in by_pool.values() for group in groups)


def batch_route(name: str, completion_target_ms: int) -> dict[str, Any]:
    """Return a route whose items can be in time however long they wait in a test."""
    target_ms = completion_target_ms
    return route(name, f"/{name}/", "batch", completion_target_ms=target_ms, retention_s=600)


def version_of(node: ServingNode) -> int:
    """Return the version of a node's configuration."""
    return node._fleet.coordinator_client.configuration_version


def expected_text(item_id: str, events: int = 4) -> str:
    return "\n".join(f"{item_id}:{number}" for number in range(1, events + 1))


def test_job_is_run_and_readable_at_another_node() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2, nodes=2)
        assert (await world.submit_job("j")).status == 202
        assert (await world.submit_job("j", node=1)).status == 202
        results = await world.until_done("j", 3, node=1)
        assert texts(results) == {f"j-{n}": expected_text(f"j-{n}") for n in range(3)}
        assert {result["state"] for result in results} == {"succeeded"}
        page = await world.read_job("j", 2)
        assert (page["total"], page["next_token"], len(page["results"])) == (3, 3, 1)
        runs = [run.request_id for replica in world.replicas for run in replica.arrivals]
        assert sorted(runs) == ["j-0", "j-1", "j-2"]

    in_world(test)


@pytest.mark.parametrize("misdeed", [Misdeed.CUT, Misdeed.GARBAGE, Misdeed.RESET_UNANSWERED])
def test_items_resume_after_their_last_event(misdeed: Misdeed) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2)
        for replica in world.replicas:
            replica.misdeeds.extend([misdeed, misdeed])
        assert (await world.submit_job("j")).status == 202
        results = await world.until_done("j", 3)
        assert texts(results) == {f"j-{n}": expected_text(f"j-{n}") for n in range(3)}

    in_world(test)


def test_failing_items_are_dead_after_allowed_attempts() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        world.replicas[0].default_misdeed = Misdeed.FAIL
        assert (await world.submit_job("j", count=1)).status == 202
        results = await world.until_done("j", 1)
        assert results[0]["state"] == "dead_letter"
        assert len(world.replicas[0].arrivals) == 3
        world.replicas[0].default_misdeed = Misdeed.IMPOSSIBLE
        assert (await world.submit_job("k", count=1)).status == 202
        results = await world.until_done("k", 1)
        assert results[0]["state"] == "dead_letter"
        assert len(world.replicas[0].arrivals) == 4

    in_world(test)


def test_raised_attempt_limit_applies_to_accepted_items() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        world.replicas[0].default_misdeed = Misdeed.FAIL
        assert (await world.submit_job("j", count=1)).status == 202
        raised = route(
            "jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60, max_attempts=5
        )
        document = configuration(2, [raised])
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
        results = await world.until_done("j", 1)
        assert results[0]["state"] == "dead_letter"
        assert len(world.replicas[0].arrivals) == 5

    in_world(test)


def test_ended_job_starts_no_more_items() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=500, event_s=0.02)
        assert (await world.submit_job("j", count=12)).status == 202
        await world.wait_until(lambda: world.replicas[0].running > 0)
        ended = await world.call("DELETE", f"{names.JOB_PREFIX}j", node=1)
        assert ended.status == 200
        await world.wait_until(lambda: world.replicas[0].running == 0)
        started = len(world.replicas[0].arrivals)
        await curio.sleep(0.5)
        assert len(world.replicas[0].arrivals) == started
        assert (await world.call("DELETE", f"{names.JOB_PREFIX}j")).status == 200

    in_world(test)


def test_job_of_killed_owner_continues_at_another_node() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2, nodes=3, events=60, event_s=0.02)
        assert (await world.submit_job("j", count=4)).status == 202
        await world.wait_until(lambda: any(replica.running for replica in world.replicas))
        await world.kill_node(0)
        results = await world.until_done("j", 4, node=1)
        assert texts(results) == {f"j-{n}": expected_text(f"j-{n}", 60) for n in range(4)}
        again = await world.until_done("j", 4, node=2)
        assert again == results

    in_world(test)


def test_job_is_not_taken_over_during_submission() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, events=20, event_s=0.05)
        world.store.write_delay_s = 0.5
        submitting = await curio.spawn(world.submit_job, "j")
        await world.wait_until(lambda: "j" in world.store.rows.values("job"))
        # The coordinator sees the record before this node has the store's answer.
        await world.nodes[0]._batch.takeover.take_over(["j"])
        assert (await submitting.join()).status == 202
        world.store.write_delay_s = 0.0
        await world.until_done("j", 3)
        cached = world.nodes[0]._batch.view.find("j")
        assert cached is not None
        assert cached.content.epoch == 1

    in_world(test)


def test_job_unknown_to_its_owner_is_run() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        runner = world.nodes[0]._batch.runner
        assert (await world.submit_job("j")).status == 202
        # As after a submission whose answer was lost: the record exists, and no node runs the job.
        await runner.drop("j")
        await world.until_done("j", 3, node=1)

    in_world(test)


def test_stopping_owner_hands_over_output() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=100, event_s=0.02)
        assert (await world.submit_job("j", count=2)).status == 202
        job = world.nodes[0]._batch.runner.jobs["j"]
        await world.wait_until(lambda: all(len(item_run.texts) > 20 for item_run in job.items))
        world.nodes[0].request_stop()
        results = await world.until_done("j", 2, node=1)
        assert texts(results) == {f"j-{n}": expected_text(f"j-{n}", 100) for n in range(2)}
        resumed = [
            int(run.headers.get(names.LAST_EVENT_ID.decode().lower(), "0"))
            for run in world.replicas[0].arrivals
        ]
        assert sorted(resumed)[:2] == [0, 0]
        assert min(sorted(resumed)[2:]) > 10

    in_world(test)


def test_online_requests_preempt_items() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, events=100, event_s=0.02)
        assert (await world.submit_job("j", count=12)).status == 202
        await world.wait_until(lambda: world.replicas[0].running >= 5)
        tasks = [await curio.spawn(world.ask, "/chat/a") for _ in range(6)]
        for task in tasks:
            assert (await task.join()).is_whole
        assert world.replicas[0].max_running <= world.replicas[0].slots
        results = await world.until_done("j", 12)
        assert set(texts(results).values()) == {expected_text(f"j-{n}", 100) for n in range(12)}

    in_world(test)


# Guards against slots that go to items due later. No item ends before the coordinator knows the
# urgent items, so it grants no slots without knowing them.
def test_items_due_sooner_start_first_across_nodes() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=3, events=20, event_s=0.04)
        routes = [batch_route("jobs", 200_000), batch_route("soon", 100_000)]
        document = configuration(2, routes)
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
        await world.wait_until(lambda: all(version_of(node) == 2 for node in world.nodes))
        replica = world.replicas[0]
        may_end: set[str] = set()
        replica.is_held = lambda arrival: arrival.request_id not in may_end
        for node in (0, 2):
            assert (await world.submit_job(f"later{node}", count=40, node=node)).status == 202
        for count in (5, 6, 7):
            await world.wait_until(lambda: replica.running == replica.slots)
            urgent = f"urgent{count}"
            assert (await world.submit_job(urgent, count, node=1, path="/soon/x")).status == 202
            await world.wait_until(lambda count=count: waiting_at(world, "n2") == count)  # type: ignore[misc]
            first_index = len(replica.arrivals)
            may_end.update(run.request_id for run in replica.arrivals)
            # Items use all slots of the replica: none is reserved.
            end_index = first_index + replica.slots
            await world.wait_until(lambda end_index=end_index: len(replica.arrivals) >= end_index)  # type: ignore[misc]
            first = [run.request_id for run in replica.arrivals[first_index:]]
            assert len(first) == replica.slots
            assert sum(request_id.startswith(urgent) for request_id in first) == count

    in_world(test)


@pytest.mark.parametrize("reason", ["ended", "stopping"])
def test_items_that_will_not_start_are_not_reported_as_waiting(reason: str) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=20, event_s=0.05)
        assert (await world.submit_job("j", count=40)).status == 202
        await world.wait_until(lambda: bool(waiting_groups(world)))
        if reason == "ended":
            assert (await world.call("DELETE", f"{names.JOB_PREFIX}j")).status == 200
        else:
            world.nodes[0].request_stop()
        await world.wait_until(lambda: not waiting_groups(world))
        assert world.coordinator() is not None

    in_world(test)


def test_item_bodies_are_readable_at_any_node() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=500, event_s=0.02)
        assert (await world.submit_job("j")).status == 202
        for node in (0, 1):
            answer = await world.call("GET", f"{names.ITEM_PREFIX}j?id=j-1", node=node)
            assert (answer.status, answer.body) == (200, b"item 1")
            missing = await world.call("GET", f"{names.ITEM_PREFIX}j?id=other", node=node)
            assert missing.status == 404
        assert (await world.call("GET", f"{names.JOB_PREFIX}nothing")).status == 404

    in_world(test)


def test_lost_store_answers_do_not_affect_jobs() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2, nodes=2)
        for turn in range(3):
            world.store.lose_answers = 2
            assert (await world.submit_job(f"j{turn}")).status == 202
            world.store.lose_answers = 1
            results = await world.until_done(f"j{turn}", 3, node=1)
            assert sorted(texts(results)) == [f"j{turn}-{n}" for n in range(3)]

    in_world(test)


def test_store_refusal_is_answered_as_not_run() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        world.store.is_busy = True
        answer = await world.submit_job("j")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        world.store.is_busy = False
        assert "j" not in world.store.rows.values("job")

    in_world(test)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"requests":[]}', b'{"requests":[{}]}'])
def test_invalid_job_is_answered_with_400(body: bytes) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        headers = [(names.REQUEST_ID.decode(), "j")]
        answer = await world.call("POST", "/jobs/x", body, headers)
        assert answer.status == 400
        assert b"job_invalid" in answer.body

    in_world(test)


def test_items_end_when_route_is_removed() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, events=500, event_s=0.02)
        world.replicas[0].default_misdeed = Misdeed.REFUSE
        assert (await world.submit_job("j")).status == 202
        routes = [route("chat", "/chat/", "streaming", resumable=True)]
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(9, routes))
        results = await world.until_done("j", 3)
        assert {result["state"] for result in results} == {"dead_letter"}

    in_world(test)
