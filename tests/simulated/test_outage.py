"""The table service is out for long: online goes on and loses nothing."""

import checks
from fleet import Fleet, expected_answer

from cloverwalk.core.hashing import short_hash
from cloverwalk.emulator.platform_model import Faults


def outage(fleet: Fleet) -> None:
    """Begin an outage that every node has noticed."""
    fleet.sim.platform.faults = Faults(down=True)
    fleet.sim.run_until(fleet.sim.now + 3.0)


def test_online_answers_go_on_and_outlive_the_node_that_answered() -> None:
    fleet = Fleet(seed=71)
    outage(fleet)
    for number in range(10):
        fleet.send("levee-0", f"k-{number}", f"ask {number}")
    fleet.settle()
    assert [told.status for told in fleet.history] == [200] * 10
    fleet.sim.kill("levee-0")
    for number in range(10):
        path = f"/v1/requests/{short_hash(fleet.session, f'k-{number}')}"
        for node in ("courthouse-0", "depot-0"):
            answer = fleet.call("GET", path, node)
            assert expected_answer(f"ask {number}", 12).encode() in answer.body
    fleet.sim.platform.faults = Faults()
    fleet.sim.run_until(fleet.sim.now + 10.0)
    stored = [key for key in fleet.sim.platform.rows if key.startswith("result/")]
    assert len(stored) == 10
    assert sum(n.node.results.held_count for n in fleet.sim.nodes.values() if n.alive) == 0


def test_a_node_that_starts_in_the_outage_answers_reads() -> None:
    """A process test failed beside other load: a node without a table refused such a read."""
    fleet = Fleet(seed=74)
    outage(fleet)
    fleet.sim.kill("depot-0")
    fleet.send("levee-0", "k", "ask")
    fleet.settle()
    fleet.sim.restart("depot-0")
    path = f"/v1/requests/{short_hash(fleet.session, 'k')}"
    answer = fleet.call("GET", path, "depot-0")
    assert expected_answer("ask", 12).encode() in answer.body


def test_a_resend_during_the_outage_gets_the_held_answer() -> None:
    fleet = Fleet(seed=72)
    outage(fleet)
    fleet.send("levee-0", "k", "ask")
    fleet.settle()
    fleet.send("depot-0", "k", "ask")
    fleet.settle()
    assert checks.one_result_per_key(fleet.history) == []
    assert len(fleet.starts()) == 1


def test_new_jobs_are_refused_at_once_and_did_not_run() -> None:
    fleet = Fleet(seed=73)
    outage(fleet)
    began = fleet.sim.now
    headers = {
        "cloverwalk-session": fleet.session,
        "cloverwalk-model": "quizmind",
        "idempotency-key": "j",
    }
    line = b'{"custom_id":"a","body":{"messages":[{"role":"user","content":"x"}]}}'
    answer = fleet.call("POST", "/v1/batches", "levee-0", headers, line)
    assert answer.status == 503
    assert b'"not_run"' in answer.body and "retry-after" in answer.headers
    assert fleet.sim.now - began < 1.5


def test_batch_in_hand_goes_on_and_is_exact_after_the_outage() -> None:
    fleet = Fleet(seed=74)
    job_id = fleet.submit(200, "heap", tokens=40)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    outage(fleet)
    fleet.sim.run_until(fleet.sim.now + 10.0)
    before = len(fleet.starts())
    fleet.sim.run_until(fleet.sim.now + 5.0)
    assert len(fleet.starts()) >= before
    fleet.sim.platform.faults = Faults()
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert checks.batch_is_exact(fleet.results(job_id), "heap", 200, 40) == []
    assert len(fleet.starts()) < 230  # work done in the outage was kept, not repeated


def test_without_a_holder_an_answer_is_not_confirmed() -> None:
    fleet = Fleet(seed=75, zones=("levee",))
    outage(fleet)
    fleet.send("levee-0", "k", "ask")
    fleet.settle()
    # It has run: no status that promises the opposite.
    assert (fleet.history[0].status, fleet.history[0].outcome) == (502, "failed")


def test_sessions_outlive_nodes_and_outages() -> None:
    fleet = Fleet(seed=76)
    outage(fleet)
    for node in ("courthouse-0", "levee-0"):
        fleet.sim.kill(node)
        fleet.sim.restart(node)
    fleet.sim.run_until(fleet.sim.now + 8.0)
    fleet.send("depot-0", None, "ask")
    fleet.send("levee-0", None, "ask")
    fleet.settle()
    # The new node does not know the session and can't read it: told so, not "unknown".
    assert fleet.history[0].status in (200, 503)
    assert {told.status for told in fleet.history} <= {200, 503}
    fleet.sim.platform.faults = Faults()
    fleet.sim.run_until(fleet.sim.now + 10.0)
    for node in fleet.node_ids:
        fleet.send(node, None, "ask again")
    fleet.settle()
    assert [told.status for told in fleet.history[-3:]] == [200] * 3
