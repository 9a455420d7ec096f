"""The same guarantees with real processes, sockets and signals."""

import json
import signal
import threading
from collections.abc import Iterator

import pytest
from cluster import Answer, Cluster, call, wait_for

from cloverwalk.emulator.answers import whole_answer


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    made = Cluster()
    yield made
    made.close()


def check_job(cluster: Cluster, job_id: str, key: str, count: int, tokens: int) -> None:
    """Every item has one right result, read through the last node."""
    address = list(cluster.nodes.values())[-1].address
    body = call(address, "GET", f"/v1/batches/{job_id}/results").body
    lines = [json.loads(line) for line in body.splitlines()]
    texts = {line["custom_id"]: line["text"] for line in lines}
    assert len(lines) == len(texts) == count
    for number in range(count):
        expected = whole_answer(f"user: {key} item {number}", tokens)
        assert texts[f"{key}-{number}"] == expected


def test_whole_path_and_reading_again_through_the_other_node(cluster: Cluster) -> None:
    first, second = (node.address for node in cluster.nodes.values())
    answer = cluster.online(first, "close enough?", Idempotency_Key="k")
    assert answer.status == 200
    again = call(second, "GET", f"/v1/requests/{answer.json()['id']}")
    assert again.json()["choices"] == answer.json()["choices"]
    assert cluster.online(second, "close enough?", Idempotency_Key="k").body == answer.body
    job_id = cluster.submit(40, "heap")
    wait_for(lambda: cluster.completed(job_id, second) == 40, "the whole job")
    check_job(cluster, job_id, "heap", 40, 30)


def test_a_node_killed_with_items_in_flight_loses_none(cluster: Cluster) -> None:
    job_id = cluster.submit(200, "heap", tokens=60)
    wait_for(lambda: cluster.completed(job_id) > 0, "the first segment")
    victim = cluster.nodes.pop("depot-n")
    victim.send_signal(signal.SIGKILL)
    wait_for(lambda: cluster.completed(job_id) == 200, "the whole job")
    check_job(cluster, job_id, "heap", 200, 60)
    wait_for(lambda: cluster.owned_replicas() == 2, "a new owner of the replica")


def test_a_planned_stop_under_load_cuts_nothing_off(cluster: Cluster) -> None:
    node = cluster.nodes.pop("depot-n")
    job_id = cluster.submit(60, "heap", tokens=60)
    answers: list[Answer] = []
    threads = [
        threading.Thread(
            target=lambda n=number: answers.append(
                cluster.online(node.address, f"ask {n}", tokens=60, Idempotency_Key=f"k{n}")
            )
        )
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    # The last of them is in flight before the stop is asked for.
    wait_for(lambda: sum("/" not in one for one in cluster.starts()) == 6, "six starts")
    node.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [200] * 6
    assert node.popen.wait() == 0
    wait_for(lambda: cluster.completed(job_id) == 60, "the whole job")
    check_job(cluster, job_id, "heap", 60, 60)


def test_a_node_stopped_past_its_lease_wakes_up_harmless(cluster: Cluster) -> None:
    node = cluster.nodes["depot-n"]
    other = cluster.nodes["levee-n"]
    job_id = cluster.submit(150, "heap", tokens=60)
    seen = len(other.lines)
    node.send_signal(signal.SIGSTOP)
    taken_over = 'replica/depot-r"'
    wait_for(
        lambda: any("lease_taken" in line and taken_over in line for line in other.lines[seen:]),
        "the takeover of the frozen node's replica",
    )
    node.send_signal(signal.SIGCONT)
    wait_for(lambda: cluster.completed(job_id, other.address) == 150, "the whole job")
    wait_for(lambda: any("node_deposed" in line for line in node.lines), "the node's own notice")
    check_job(cluster, job_id, "heap", 150, 60)
    assert cluster.online(node.address, "and now?").status == 200


def test_online_goes_on_while_the_store_is_down() -> None:
    cluster = Cluster(zones=("levee", "depot", "courthouse"))
    try:
        cluster.set_faults(down=True)
        first, second, third = list(cluster.nodes.values())
        wait_for(
            lambda: all(
                call(n.address, "GET", "/v1/fleet").json()["store_down"]
                for n in (first, second, third)
            ),
            "the outage to be noticed",
        )
        answer = cluster.online(first.address, "close enough?")
        assert answer.status == 200
        once = cluster.online(
            first.address,
            "award",
            Idempotency_Key="a",
            Cloverwalk_At_Most_Once="true",
        )
        assert (once.status, once.json()["outcome"]) == (503, "not_run")
        first.send_signal(signal.SIGKILL)
        path = f"/v1/requests/{answer.json()['id']}"
        for node in (second, third):
            assert call(node.address, "GET", path).json()["choices"] == answer.json()["choices"]
        cluster.set_faults(down=False)
        wait_for(
            lambda: call(second.address, "GET", "/v1/fleet").json()["held_results"] == 0,
            "the held result to be drained",
        )
        assert call(third.address, "GET", path).json()["choices"] == answer.json()["choices"]
    finally:
        cluster.close()
