"""Every accepted request and item completes exactly once and stays readable."""

import checks
from fleet import Fleet

from cloverwalk.core.hashing import short_hash


def replace_all_nodes(fleet: Fleet, pause_s: float = 12.0) -> None:
    """Kill and restart every node, one after the other."""
    for node in fleet.node_ids:
        fleet.sim.kill(node)
        fleet.sim.run_until(fleet.sim.now + pause_s)
        fleet.sim.restart(node)
        fleet.sim.run_until(fleet.sim.now + 3.0)


def test_results_and_jobs_outlive_every_node() -> None:
    fleet = Fleet(seed=11)
    job_id = fleet.submit(200, "heap", tokens=60)
    fleet.send_until_told("k", "close enough?")
    replace_all_nodes(fleet)
    fleet.settle()
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert checks.batch_is_exact(fleet.results(job_id, "depot-0"), "heap", 200, 60) == []
    request_id = short_hash(fleet.session, "k")
    for node in fleet.node_ids:
        assert fleet.call("GET", f"/v1/requests/{request_id}", node).status == 200


def test_a_resent_job_is_the_same_job_through_any_node() -> None:
    fleet = Fleet(seed=12)
    ids = {fleet.submit(10, "heap", node) for node in fleet.node_ids}
    assert len(ids) == 1


def test_a_job_whose_acknowledgement_was_lost_runs_once() -> None:
    fleet = Fleet(seed=13)
    fleet.sim.platform.faults.lose_answers = 0.6
    job_id = fleet.submit(20, "heap")
    fleet.sim.platform.faults.lose_answers = 0.0
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert checks.batch_is_exact(fleet.results(job_id), "heap", 20, 20) == []
    assert len([key for key in fleet.sim.platform.rows if key.startswith("job/")]) == 1


def test_a_job_owner_paused_past_its_lease_commits_nothing_more() -> None:
    fleet = Fleet(seed=14)
    job_id = fleet.submit(300, "heap", tokens=60)
    fleet.sim.run_until(fleet.sim.now + 1.0)
    shard = "shard/" + "/".join(job_id.split(".")[:2])
    owner = next(n for n in fleet.node_ids if shard in fleet.sim.nodes[n].node.jobs.shards)
    fleet.sim.pause(owner)
    fleet.sim.run_until(fleet.sim.now + 15.0)
    new_owner = [n for n in fleet.node_ids if shard in fleet.sim.nodes[n].node.jobs.shards]
    assert len(new_owner) == 2  # the paused one still believes it
    fleet.sim.resume(owner)
    fleet.node_ids.remove(owner)
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert checks.batch_is_exact(fleet.results(job_id), "heap", 300, 60) == []
    segments = [key for key in fleet.sim.platform.rows if key.startswith(f"segment/{job_id}/")]
    assert len(segments) == len(set(segments))


def test_concurrent_sends_of_one_key_run_once() -> None:
    fleet = Fleet(seed=15)
    for node in fleet.node_ids * 3:
        fleet.send(node, "k", "one ruling")
    fleet.settle()
    assert [told.status for told in fleet.history] == [200] * 9
    assert checks.one_result_per_key(fleet.history) == []
    assert len(fleet.starts()) == 1


def test_a_waiter_that_gives_up_does_not_end_the_run_it_waited_for() -> None:
    fleet = Fleet(seed=16)
    fleet.send("courthouse-0", "k", "one ruling", 300)
    fleet.sim.run_until(fleet.sim.now + 0.2)
    impatient = {"cloverwalk_deadline_ms": "1000"}
    fleet.send("levee-0", "k", "one ruling", 300, None, False, "quizmind", **impatient)
    fleet.send("depot-0", "k", "one ruling", 300)
    fleet.settle()
    assert sorted(told.status for told in fleet.history) == [200, 200, 504]
    assert len(fleet.starts()) == 1
