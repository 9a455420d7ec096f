"""Accepted edits are in force everywhere within seconds and never revert."""

import json
from typing import Any

import checks
from fleet import Fleet

from cloverwalk.core.events import PeerReceived
from cloverwalk.core.peer_messages import TablePush
from cloverwalk.core.weight_table import TableRow, WeightTable
from cloverwalk.emulator.platform_model import Faults

IN_FORCE_S = 9.0


def edit(
    fleet: Fleet, node: str, kind: str, cells: dict[str, str], version: int | None = None
) -> Any:
    """Edit one row; return the answer."""
    headers = {} if version is None else {"if-match": f'"{version}"'}
    body = json.dumps({"session": "*", "kind": kind, "cells": cells}).encode()
    return fleet.call("PATCH", "/v1/table", node, headers, body)


def versions(fleet: Fleet) -> set[int]:
    """Return the versions in force at the nodes that run."""
    return {one.node.context.table.version for one in fleet.sim.nodes.values() if one.alive}


def test_an_accepted_edit_is_in_force_on_every_node_within_seconds() -> None:
    fleet = Fleet(seed=61, nodes_per_zone=2)
    assert edit(fleet, "levee-0", "archive", {"weight": "0.5"}).status == 200
    fleet.sim.run_until(fleet.sim.now + IN_FORCE_S)
    assert versions(fleet) == {1}


def test_one_of_two_racing_edits_wins_and_the_loser_is_told_the_row() -> None:
    fleet = Fleet(seed=62)
    answers: list[Any] = []
    for node, kind in (("levee-0", "archive"), ("depot-0", "subtitles")):
        body = json.dumps({"session": "*", "kind": kind, "cells": {"weight": "2"}}).encode()
        headers = {"if-match": '"0"'}
        fleet.sim.request(node, "PATCH", "/v1/table", answers.append, headers, body)
    fleet.sim.run_until(fleet.sim.now + 2.0)
    assert sorted(answer.status for answer in answers) == [200, 412]
    loser = next(answer for answer in answers if answer.status == 412)
    winner = next(answer for answer in answers if answer.status == 200)
    changed = "archive" if b"archive" in winner.body else "subtitles"
    assert changed.encode() in loser.body


def test_an_edit_whose_answer_the_store_lost_is_known_to_be_accepted() -> None:
    fleet = Fleet(seed=67)
    fleet.sim.platform.faults = Faults(lose_answers=1.0)
    fleet.sim.after(0.5, lambda: setattr(fleet.sim.platform, "faults", Faults()))
    assert edit(fleet, "levee-0", "archive", {"weight": "2"}, version=0).status == 200
    assert versions(fleet) >= {1}


def test_a_restarted_node_never_serves_an_older_version() -> None:
    fleet = Fleet(seed=63)
    for weight in range(1, 6):
        edit(fleet, "levee-0", "archive", {"weight": str(weight)})
    fleet.sim.kill("depot-0")
    fleet.sim.platform.faults = Faults(down=True)
    fleet.sim.run_until(fleet.sim.now + 1.0)
    for zone in ("courthouse", "levee"):
        fleet.sim.cut("depot", zone)
    fleet.sim.restart("depot-0")
    fleet.sim.run_until(fleet.sim.now + 3.0)
    assert fleet.call("GET", "/v1/table", "depot-0").status == 503  # it knows no version yet
    fleet.sim.heal()
    seen: list[tuple[str, int]] = []
    for _ in range(80):
        fleet.sim.run_until(fleet.sim.now + 0.1)
        answer = fleet.call("GET", "/v1/table", "depot-0")
        if answer.status == 200:
            seen.append(("depot-0", json.loads(answer.body)["version"]))
        else:
            assert answer.status == 503
    assert seen and {version for _, version in seen} == {5}
    assert checks.versions_never_revert(seen) == []


def test_a_node_cut_off_from_all_starts_no_batch_work_and_shows_as_stale() -> None:
    fleet = Fleet(seed=64)
    jobs: list[str] = []
    while not any(job_id.startswith("levee.") for job_id in jobs):
        jobs.append(fleet.submit(400, f"heap-{len(jobs)}", tokens=200))
    fleet.sim.run_until(fleet.sim.now + 2.0)
    fleet.sim.cut("levee", "courthouse")
    fleet.sim.cut("levee", "depot")
    fleet.sim.store_cuts.add("levee")
    fleet.sim.run_until(fleet.sim.now + 8.0)
    starts = {r: len(e.model.starts) for r, e in fleet.sim.engines.items()}
    assert edit(fleet, "depot-0", "heap", {"weight": "3"}).status == 200
    fleet.sim.run_until(fleet.sim.now + 5.0)
    for replica, count in starts.items():
        if replica.startswith("levee"):
            assert len(fleet.sim.engines[replica].model.starts) == count
    assert fleet.json("GET", "/v1/fleet", node="levee-0")["table_stale"]
    fleet.sim.heal()
    fleet.sim.run_until(fleet.sim.now + IN_FORCE_S)
    assert versions(fleet) == {1}
    assert not fleet.json("GET", "/v1/fleet", node="levee-0")["table_stale"]


def test_limits_of_the_table_hold_for_the_fleet_within_seconds() -> None:
    fleet = Fleet(seed=65)
    edit(fleet, "levee-0", "ruling", {"requests_per_s": "6"})
    fleet.sim.run_until(fleet.sim.now + 3.0)
    began = fleet.sim.now
    for number in range(600):
        node = fleet.node_ids[number % 3]
        at = began + number * 0.02
        fleet.sim.at(at, lambda n=node: fleet.send(n, None, "ask", 2))  # type: ignore[misc]
    fleet.settle()
    admitted = [told for told in fleet.history if told.status == 200]
    refused = [told for told in fleet.history if told.status == 429]
    assert len(admitted) + len(refused) == 600
    # 12 s at 6/s; each node may have saved up one second of its share.
    assert 60 <= len(admitted) <= 90
    assert all(told.outcome == "not_run" for told in refused)


def test_a_late_push_of_an_older_table_changes_nothing() -> None:
    fleet = Fleet(seed=68)
    for weight in ("1", "2"):
        edit(fleet, "levee-0", "archive", {"weight": weight})
    fleet.sim.run_until(fleet.sim.now + 2.0)
    late = TablePush(WeightTable(1, [TableRow("*", "archive", weight=1.0)]))
    fleet.sim.feed("depot-0", PeerReceived("levee-0", "", late))
    assert fleet.sim.nodes["depot-0"].node.context.table.version == 2


def test_a_node_that_missed_a_patch_fetches_the_table() -> None:
    fleet = Fleet(seed=69)
    fleet.sim.pause("depot-0")
    edit(fleet, "levee-0", "archive", {"weight": "4"})
    fleet.sim.nodes["depot-0"].deferred.clear()  # the patch is lost
    fleet.sim.resume("depot-0")
    edit(fleet, "levee-0", "subtitles", {"weight": "5"})
    fleet.sim.run_until(fleet.sim.now + 2.0)
    tables = [one.node.context.table for one in fleet.sim.nodes.values()]
    assert {table.version for table in tables} == {2}
    assert len({str(table.rows) for table in tables}) == 1


def test_bad_cells_are_refused_by_name_and_change_nothing() -> None:
    fleet = Fleet(seed=66)
    answer = edit(fleet, "levee-0", "archive", {"weight": "-1"})
    assert answer.status == 400
    assert "weight" in json.loads(answer.body)["field"] + json.loads(answer.body)["detail"]
    assert edit(fleet, "levee-0", "archive", {"wieght": "1"}).status == 400
    fleet.sim.run_until(fleet.sim.now + 2.0)
    assert versions(fleet) == {0}
