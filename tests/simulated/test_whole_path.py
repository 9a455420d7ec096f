"""The whole path without a failure: sessions, online, streams, batch, reading again."""

from fleet import Fleet, expected_answer


def test_online_answer_is_whole_and_readable_through_another_node() -> None:
    fleet = Fleet(seed=1)
    fleet.send("courthouse-0", "k1", "close enough?")
    fleet.settle()
    told = fleet.history[0]
    assert told.status == 200
    assert told.text == expected_answer("close enough?", 12)
    fleet.send("depot-0", "k1", "close enough?")
    fleet.settle()
    assert fleet.history[1].text == told.text
    assert len(fleet.starts()) == 1


def test_streamed_answer_is_whole() -> None:
    fleet = Fleet(seed=2)
    fleet.send("levee-0", None, "streamed", tokens=30, stream=True)
    fleet.settle()
    assert fleet.history[0].outcome == "completed"
    assert fleet.history[0].text == expected_answer("streamed", 30)


def test_batch_results_are_complete_and_each_there_once() -> None:
    fleet = Fleet(seed=3)
    job_id = fleet.submit(130, "heap-1")
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    lines = fleet.results(job_id, "depot-0")
    assert sorted(line["custom_id"] for line in lines) == sorted(
        f"heap-1-{number}" for number in range(130)
    )
    for line in lines:
        number = line["custom_id"].removeprefix("heap-1-")
        assert line["text"] == expected_answer(f"heap-1 item {number}", 20)


def test_a_key_is_not_used_for_two_requests() -> None:
    fleet = Fleet(seed=4)
    fleet.send("courthouse-0", "k1", "first")
    fleet.settle()
    fleet.send("courthouse-0", "k1", "second")
    fleet.settle()
    assert [told.status for told in fleet.history] == [200, 422]
