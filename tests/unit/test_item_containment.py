"""Items that share a contained key start one at a time, and none waits without a bound.

Guards against a job whose items would all start at that moment, each at another replica, and
against items that wait for minutes, or behind an item that can't start itself.
"""

from typing import Any

import pytest
from job_world import ManualClock, stored_job

from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.crash_keys import RequestKeys, part_key
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import Software
from cloverwalk.jobs.item_containment import (
    CONTAINMENT_S,
    CRASH_REPORT_S,
    IDLE_JOB_DELAY_S,
    TRIAL_TIMEOUT_S,
    ItemContainment,
)
from cloverwalk.jobs.records import JobItem, JobRecord
from cloverwalk.jobs.run import ItemRun, JobRun, Phase, RunTiming

SERVICES = ["model"]
V1, V2 = Software("model", "v1"), Software("model", "v2")
KEY = part_key("bad", V1)
OTHER_KEY = part_key("worse", V1)
LAST_CRASH_AT = 3.0
TRIAL_AT = LAST_CRASH_AT + CONTAINMENT_S


class SharedPart:
    """Stands in for the caller of items, whose prompts all have the same part."""

    def __init__(self) -> None:
        self.part_ids: dict[int, tuple[str, ...]] = {}
        """Parts of items with others, by index."""

    def crash_keys(self, job: JobRun, item_run: ItemRun) -> RequestKeys:
        part_ids = self.part_ids.get(item_run.index, ("bad",))
        return RequestKeys(f"{item_run.index:020d}", part_ids)


class ContainedJob:
    """A job of three items with a part under which replicas have ended."""

    def __init__(self, crashes: int = 3) -> None:
        self.clock = ManualClock(step_s=0.0)
        self.ledger = CrashLedger()
        self.crash(KEY, crashes, LAST_CRASH_AT)
        self.replica = _replica("r0", "v1")
        self.directory = ReplicaDirectory()
        self.directory.replace([self.replica], version=1)
        unused: Any = None
        detector = CrashDetector(self.ledger, self.directory, unused, unused, unused, self.clock)
        self.caller = SharedPart()
        caller: Any = self.caller
        record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 3, 30, 1, "n1")
        items = [JobItem(f"i{number}", "/x", [], b"", 10) for number in range(3)]
        self.job = JobRun(stored_job(record), items)
        self.containment = ItemContainment(detector, caller, self.directory, self.clock)

    def crash(self, key: str, count: int, last_at: float) -> None:
        """Record crashes that follow each other by one second, the last one at ``last_at``."""
        for age in reversed(range(count)):
            at = last_at - age
            self.ledger.note_crash(key, f"{key[:4]}-{at}", at, at - 0.5, f"q{at}")

    def crash_under_each_content(self) -> None:
        """Let the items have no part in common, and each crash replicas by its content."""
        for index in range(3):
            self.caller.part_ids[index] = ()
            self.crash(f"{index:020d}", 3, LAST_CRASH_AT)

    def add_replica(self, version: str) -> Replica:
        """Add a replica with another software version."""
        other = _replica("r1", version)
        self.directory.replace([self.replica, other], version=2)
        return other

    def startable(self, software: Software | None = None) -> list[int]:
        return [
            item.index
            for item in self.job.pending(0.0)
            if self.containment.held_back(self.job, item, SERVICES, software) is None
        ]

    def begin(self, index: int, replica: Replica | None = None) -> None:
        item_run = self.job.items[index]
        item_run.phase = Phase.RUNNING
        item_run.timing = None
        self.containment.begin_run(self.job, item_run, replica or self.replica)

    def output(self, index: int, *times: float) -> None:
        self.job.items[index].timing = timing = RunTiming(0)
        for at in times:
            timing.record_events(1, at)

    def end(self, index: int, *, is_answered: bool = False) -> None:
        self.job.items[index].phase = Phase.LISTED if is_answered else Phase.PENDING
        self.containment.end_run(self.job, self.job.items[index], is_answered=is_answered)


def _replica(replica_id: str, version: str) -> Replica:
    return Replica(replica_id, "model", "h", 1, "z1", 8, False, version=1, software_version=version)


def test_one_item_runs_as_the_trial_of_a_part() -> None:
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT - 0.1
    assert contained.startable() == []
    contained.clock.now = TRIAL_AT
    assert contained.startable() == [0, 1, 2]
    contained.begin(0)
    assert contained.startable() == []
    contained.end(0, is_answered=True)
    contained.ledger.note_answer(KEY, contained.clock.now)
    assert contained.startable() == [1, 2]


@pytest.mark.parametrize("crashes", [3, 4, 5, 8])
def test_wait_does_not_grow_with_the_number_of_crashes(crashes: int) -> None:
    contained = ContainedJob(crashes)
    contained.clock.now = TRIAL_AT
    assert contained.startable() == [0, 1, 2]


def test_items_start_while_the_output_of_a_trial_is_sound() -> None:
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT
    contained.begin(1)
    contained.output(1, TRIAL_AT, TRIAL_AT + 0.1)
    assert contained.startable() == []
    contained.output(1, TRIAL_AT, TRIAL_AT + 0.3)
    assert contained.startable() == [0, 2]
    contained.end(1)
    assert contained.startable() == [0, 1, 2]


def test_trial_that_crashes_its_replica_is_followed_by_a_wait() -> None:
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.end(0)
    # The crash is known a moment after the end of the run.
    assert contained.startable() == []
    contained.clock.now = crashed_at = TRIAL_AT + 0.1
    contained.crash(KEY, 1, crashed_at)
    contained.clock.now = crashed_at + CONTAINMENT_S - 0.1
    assert contained.startable() == []
    contained.clock.now = crashed_at + CONTAINMENT_S
    assert contained.startable() == [0, 1, 2]


def test_trial_long_after_the_crashes_is_followed_by_no_other_before_its_outcome_is_known() -> None:
    """Guards against a second crash before the first one is found."""
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT + 2 * IDLE_JOB_DELAY_S
    contained.begin(0)
    contained.end(0)
    assert contained.startable() == []
    contained.clock.now += CRASH_REPORT_S
    assert contained.startable() == [0, 1, 2]


def test_other_items_of_a_job_wait_after_its_trial_has_crashed_a_replica() -> None:
    """Guards against a job whose contained items crash replicas one right after the other."""
    contained = ContainedJob(crashes=0)
    contained.crash_under_each_content()
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.end(0)
    contained.clock.now = crashed_at = TRIAL_AT + 0.1
    contained.crash(f"{0:020d}", 1, crashed_at)
    contained.clock.now = crashed_at + CONTAINMENT_S - 0.1
    assert contained.startable() == []
    contained.clock.now = crashed_at + CONTAINMENT_S
    assert contained.startable() == [0, 1, 2]


def test_next_item_starts_after_a_trial_that_shows_nothing() -> None:
    """Its replica rejected it, or it was preempted before its output."""
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.end(0)
    contained.clock.now = TRIAL_AT + CRASH_REPORT_S
    assert contained.startable() == [0, 1, 2]


def test_trial_without_output_does_not_hold_others_back_for_long() -> None:
    contained = ContainedJob()
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.clock.now = TRIAL_AT + TRIAL_TIMEOUT_S - 0.1
    assert contained.startable() == []
    contained.clock.now = TRIAL_AT + TRIAL_TIMEOUT_S
    assert contained.startable() == [1, 2]


def test_item_held_back_by_another_part_holds_no_item_back() -> None:
    """The first item has a part that has just crashed a replica; the others wait for no trial."""
    contained = ContainedJob()
    contained.caller.part_ids[0] = ("bad", "worse")
    contained.clock.now = TRIAL_AT
    contained.crash(OTHER_KEY, 3, TRIAL_AT - 1.0)
    assert contained.startable() == [1, 2]


def test_trial_at_one_software_version_proves_nothing_for_another() -> None:
    """Guards against a crash of many replicas with the version that has not been tried."""
    contained = ContainedJob()
    other = contained.add_replica("v2")
    contained.clock.now = TRIAL_AT
    contained.begin(0, other)
    contained.output(0, TRIAL_AT, TRIAL_AT + 0.3)
    contained.clock.now = TRIAL_AT + 0.3
    assert contained.startable(V1) == [1, 2]
    contained.begin(1)
    assert contained.startable(V1) == []
    contained.output(1, TRIAL_AT + 0.3, TRIAL_AT + 0.6)
    contained.clock.now = TRIAL_AT + 0.6
    assert contained.startable(V1) == [2]
    contained.begin(2)
    contained.end(2)
    assert contained.startable(V1) == [2]


def test_items_start_at_the_software_version_of_a_sound_trial() -> None:
    """Guards against items that are tried one by one while replicas with two versions are ready."""
    contained = ContainedJob()
    other = contained.add_replica("v2")
    contained.clock.now = TRIAL_AT
    contained.begin(0, other)
    contained.output(0, TRIAL_AT, TRIAL_AT + 0.3)
    contained.clock.now = TRIAL_AT + 0.3
    assert contained.startable(V2) == [1, 2]
    contained.begin(1)
    assert contained.startable(V2) == [2]
    assert contained.startable() == [2]
    contained.begin(2, other)
    contained.end(2)
    assert contained.startable(V2) == [2]


def test_trials_of_different_contents_double_after_each_sound_one() -> None:
    """Guards against a crash for each of many contained items when their wait ends."""
    contained = ContainedJob(crashes=0)
    contained.crash_under_each_content()
    contained.clock.now = TRIAL_AT
    assert contained.startable() == [0, 1, 2]
    contained.begin(0)
    assert contained.startable() == []
    contained.output(0, TRIAL_AT, TRIAL_AT + 0.3)
    assert contained.startable() == [1, 2]
    contained.begin(1)
    assert contained.startable() == [2]
    contained.begin(2)
    contained.end(1)
    contained.end(2)
    crashed_at = contained.clock.now = TRIAL_AT + 0.1
    contained.crash(f"{2:020d}", 1, crashed_at)
    contained.clock.now = crashed_at + CONTAINMENT_S - 0.1
    assert contained.startable() == []
    contained.clock.now = crashed_at + CONTAINMENT_S
    assert contained.startable() == [1, 2]
    contained.begin(1)
    assert contained.startable() == []


def test_trials_start_with_a_single_one_after_each_series_of_crashes() -> None:
    """Guards against many trials at the same time since those of an earlier series were sound."""
    contained = ContainedJob(crashes=0)
    contained.crash_under_each_content()
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.output(0, TRIAL_AT, TRIAL_AT + 0.3)
    assert contained.startable() == [1, 2]
    contained.end(0)
    contained.clock.now = answered_at = TRIAL_AT + 1.0
    for index in range(3):
        contained.ledger.note_answer(f"{index:020d}", answered_at)
    contained.begin(0)
    contained.end(0)
    for index in range(3):
        contained.crash(f"{index:020d}", 3, answered_at + 3.0)
    contained.clock.now = answered_at + 3.0 + CONTAINMENT_S
    contained.begin(0)
    assert contained.startable() == []


class OtherJob:
    """A second job of the same owner; its items have the same part unless told otherwise."""

    def __init__(self, contained: ContainedJob) -> None:
        self._containment = contained.containment
        record = JobRecord("k", "h", "/", 0.0, 0.0, 0.0, 3, 1, 10, 1, "n1")
        self.job = JobRun(stored_job(record), [JobItem("k0", "/x", [], b"", 10)])
        self.job.items[0].index = 9

    def is_startable(self) -> bool:
        return self._containment.held_back(self.job, self.job.items[0], SERVICES) is None


def test_idle_job_waits_a_bounded_time_behind_a_trial_of_another_job() -> None:
    """Guards against a job that waits while the items of others are tried one after the other."""
    contained = ContainedJob()
    other = OtherJob(contained)
    contained.clock.now = TRIAL_AT + 0.8
    contained.begin(0)
    assert not other.is_startable()
    contained.clock.now = TRIAL_AT + IDLE_JOB_DELAY_S
    assert other.is_startable()
    assert contained.startable() == []


def test_idle_job_does_not_wait_for_trials_of_another_job_that_crash() -> None:
    """Guards against a job whose items wait as long as an item of another job is contained."""
    contained = ContainedJob()
    contained.caller.part_ids[9] = ("worse",)
    contained.crash(OTHER_KEY, 3, LAST_CRASH_AT)
    other = OtherJob(contained)
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.end(0)
    contained.clock.now = crashed_at = TRIAL_AT + 0.1
    contained.crash(KEY, 1, crashed_at)
    assert not other.is_startable()
    contained.clock.now = TRIAL_AT + IDLE_JOB_DELAY_S
    assert other.is_startable()
    assert contained.startable() == []


def test_items_of_a_part_are_tried_one_by_one_though_more_trials_may_run() -> None:
    contained = ContainedJob()
    contained.caller.part_ids[0] = ("worse",)
    contained.crash(OTHER_KEY, 3, LAST_CRASH_AT)
    contained.clock.now = TRIAL_AT
    contained.begin(0)
    contained.output(0, TRIAL_AT, TRIAL_AT + 0.3)
    assert contained.startable() == [1, 2]
    contained.begin(1)
    assert contained.startable() == []
