"""Online work never waits behind batch work, and idle capacity goes to batch."""

from fleet import Fleet

from cloverwalk.core.events import StartWork, StopWork


def test_a_burst_on_full_replicas_suspends_batch_and_waits_for_no_item() -> None:
    fleet = Fleet(seed=31, slots=8, engines_per_zone=1)
    fleet.submit(200, "heap", tokens=2000)  # items that run for about half a minute
    fleet.sim.run_until(fleet.sim.now + 5.0)
    stops: list[StopWork] = []
    fleet.sim.on_instruction = lambda _, one: (
        stops.append(one) if isinstance(one, StopWork) else None
    )
    before = fleet.sim.now
    for number in range(15):  # five for each replica, one free slot each
        fleet.send(fleet.node_ids[number % 3], None, f"headline {number}", tokens=10)
    fleet.settle()
    assert [told.status for told in fleet.history] == [200] * 15
    assert stops  # batch gave way
    assert max(told.at for told in fleet.history) - before < 3.0  # simulated seconds


def test_an_online_start_is_never_preceded_by_a_wait_for_a_batch_end() -> None:
    fleet = Fleet(seed=32, slots=4, engines_per_zone=1, zones=("levee",))
    fleet.submit(50, "heap", tokens=3000)
    fleet.sim.run_until(fleet.sim.now + 3.0)
    order: list[str] = []

    def watch(_: str, instruction: object) -> None:
        if isinstance(instruction, StopWork):
            order.append("stop")
        elif isinstance(instruction, StartWork):
            batch = "/" in instruction.work.request_id
            order.append("batch" if batch else "online")

    fleet.sim.on_instruction = watch
    for number in range(4):
        fleet.send("levee-0", None, f"headline {number}", tokens=100)
    fleet.sim.run_until(fleet.sim.now + 0.1)
    assert order.count("online") == 4
    assert "batch" not in order[: len(order) - order[::-1].index("online")]


def test_suspended_items_resume_from_where_they_stopped() -> None:
    fleet = Fleet(seed=33, slots=4, engines_per_zone=1, zones=("levee",))
    job_id = fleet.submit(6, "heap", tokens=200)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    resumed: list[int] = []

    def watch(_: str, instruction: object) -> None:
        if isinstance(instruction, StartWork) and instruction.work.resume_text:
            resumed.append(len(instruction.work.resume_text.split()))

    fleet.sim.on_instruction = watch
    for number in range(4):
        fleet.send("levee-0", None, f"headline {number}", tokens=5)
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert resumed and min(resumed) > 10
    generated = sum(engine.model.tokens_generated for engine in fleet.sim.engines.values())
    assert generated == 6 * 200 + 4 * 5  # nothing was decoded twice


def test_idle_capacity_is_used_by_batch() -> None:
    fleet = Fleet(seed=34, slots=8, engines_per_zone=1)
    fleet.submit(200, "heap", tokens=500)
    fleet.sim.run_until(fleet.sim.now + 3.0)
    running = [engine.model.running_count for engine in fleet.sim.engines.values()]
    assert min(running) >= 7  # all slots but the reserve
