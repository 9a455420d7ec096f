"""A cancelled job stops: after the acknowledgement nothing of it starts or runs."""

from fleet import Fleet


def job_starts(fleet: Fleet, job_id: str) -> int:
    """Return how many items of a job the engines have started."""
    return sum(request_id.startswith(job_id + "/") for request_id in fleet.starts())


def job_running(fleet: Fleet, job_id: str) -> int:
    """Return how many items of a job run on engines now."""
    return sum(
        request_id.startswith(job_id + "/")
        for engine in fleet.sim.engines.values()
        if engine.alive
        for request_id, _ in engine.streams
    )


def cancel(fleet: Fleet, job_id: str, node: str) -> None:
    """Cancel as a caller: ask again until it is acknowledged."""
    for _ in range(40):
        answer = fleet.call("POST", f"/v1/batches/{job_id}/cancel", node)
        if answer.status == 200 and b'"cancelled"' in answer.body:
            return
        fleet.sim.run_until(fleet.sim.now + answer.retry_after_s)
    raise AssertionError("the cancel was never acknowledged")


def check_stopped(fleet: Fleet, job_id: str) -> None:
    """Nothing runs at the acknowledgement and nothing starts for long after it."""
    assert job_running(fleet, job_id) == 0
    started = job_starts(fleet, job_id)
    fleet.sim.run_until(fleet.sim.now + 30.0)
    assert job_starts(fleet, job_id) == started
    assert fleet.job_status(job_id)["status"] == "cancelled"


def owner_of(fleet: Fleet, job_id: str) -> str:
    """Return the node that owns a job's shard."""
    shard = "shard/" + "/".join(job_id.split(".")[:2])
    return next(n for n in fleet.node_ids if shard in fleet.sim.nodes[n].node.jobs.shards)


def test_a_cancelled_job_stops() -> None:
    fleet = Fleet(seed=21)
    job_id = fleet.submit(400, "heap", tokens=4000)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    assert job_running(fleet, job_id) > 0
    began = fleet.sim.now
    cancel(fleet, job_id, fleet.node_ids[0])
    assert fleet.sim.now - began < 2.0  # an item would run for a minute
    check_stopped(fleet, job_id)


def test_a_cancelled_job_stops_when_its_owner_dies_in_between() -> None:
    fleet = Fleet(seed=22)
    job_id = fleet.submit(400, "heap", tokens=400)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    owner = owner_of(fleet, job_id)
    other = next(node for node in fleet.node_ids if node != owner)
    answers: list[object] = []
    fleet.sim.request(other, "POST", f"/v1/batches/{job_id}/cancel", answers.append)
    fleet.sim.run_until(fleet.sim.now + 0.008)
    fleet.sim.kill(owner)
    fleet.node_ids.remove(owner)
    cancel(fleet, job_id, other)
    check_stopped(fleet, job_id)


def test_a_cancel_waits_for_a_paused_replica_owner() -> None:
    fleet = Fleet(seed=23)
    job_id = fleet.submit(400, "heap", tokens=400)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    owner = owner_of(fleet, job_id)
    paused = next(node for node in fleet.node_ids if node != owner)
    caller = next(node for node in fleet.node_ids if node not in (owner, paused))
    fleet.sim.pause(paused)
    cancel(fleet, job_id, caller)
    fleet.sim.resume(paused)
    fleet.node_ids.remove(paused)
    check_stopped(fleet, job_id)
