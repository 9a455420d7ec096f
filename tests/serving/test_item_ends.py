"""Items are listed as dead only for an allowed reason.

Guards against ending items early because the store time or the configuration version is unknown or
uncertain.
"""

import os
from pathlib import Path
from typing import Any

import curio
from hypothesis import given
from hypothesis import strategies as st
from job_world import OwnerNode, batch_route, submission
from msgspec.structs import replace

from cloverwalk.core.clock import Clock
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.jobs.evidence import PastRetention, RouteEnded
from cloverwalk.jobs.item_containment import ItemContainment
from cloverwalk.jobs.run import ItemRun, JobRun, Phase
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.store.types import CommitOutcome, RowPage, Transaction
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.request_history import parse_line, request_history

RETENTION_S = 60.0
CHECK_INTERVAL_S = 0.5


class WorldTime:
    """A clock that the test advances; the store's clock has its own zero."""

    def __init__(self, store_zero_s: float) -> None:
        self.now = 1000.0
        self._store_zero_s = store_zero_s

    def __call__(self) -> float:
        return self.now

    @property
    def store_ms(self) -> float:
        return (self.now - 1000.0 + self._store_zero_s) * 1000


class SlowStore(MemoryStore):
    """A store that calls reach after ``call_s``, and whose answers are read after ``answer_s``."""

    def __init__(self, time: WorldTime) -> None:
        super().__init__()
        self._time = time
        self.call_s = 0.0
        self.answer_s = 0.0

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        self._time.now += self.call_s
        self.now_ms = self._time.store_ms
        page = await super().read(table, part, start, end, limit)
        self._time.now += self.answer_s
        return page

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        self._time.now += self.call_s
        self.now_ms = self._time.store_ms
        outcome = await super().commit(transaction, timeout_s)
        self._time.now += self.answer_s
        return outcome


class CoordinatorClientStub:
    """A coordinator client that is never granted a slot."""

    waiting: dict[str, object] = {}

    async def trigger_report(self) -> None:
        """Send nothing."""


class OwnerProcess(OwnerNode):
    """A process that has just started, accepts jobs and ends their items."""

    def __init__(
        self,
        name: str,
        inner: SlowStore,
        time: WorldTime,
        configuration: int,
        log_path: str = os.devnull,
    ) -> None:
        self.store_clock = StoreClock(Clock(time))
        store = MonitoredStore(inner, StoreHealth(Clock(time)), self.store_clock)
        super().__init__(name, store, time, self.store_clock.now)
        self.configuration = ConfigurationHolder()
        self.configuration.update_if_newer(
            Configuration(configuration, (batch_route(),), {}, ClientLimits())
        )
        self.confirmed_at = float("-inf")
        self.dead: dict[str, tuple[float, ItemRun]] = {}
        self._time = time
        none: Any = None
        crash_detector = CrashDetector(CrashLedger(), ReplicaDirectory(), none, none, none, time)
        self.runner = BatchRunner(
            self.configuration,
            ReplicaDirectory(),
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            ItemContainment(crash_detector, none, ReplicaDirectory(), time),
            CoordinatorClientStub(),  # type: ignore[arg-type]
            self._record_finished,
            self._take_over,
            self.store_clock.now,
            lambda: self.confirmed_at,
            ServingLog(name, time, os.open(log_path, os.O_WRONLY | os.O_APPEND)),
            None,  # type: ignore[arg-type]
            time,
        )

    async def _record_finished(self, job: JobRun) -> None:
        for item_run in job.items:
            if item_run.phase is Phase.FINISHED:
                self.dead.setdefault(item_run.item.item_id, (self._time.now, item_run))

    async def _take_over(self, job_ids: list[str]) -> None:
        """Ignore the order: no job is given to this process."""

    async def run_job(self, job_id: str) -> None:
        await self.runner.add(self.jobs[job_id])

    def use_routes(self, version: int, *routes: Route) -> None:
        """Apply a configuration from a peer, which the store has not confirmed."""
        self.configuration.update_if_newer(Configuration(version, routes, {}, ClientLimits()))

    async def run_checks(self, seconds: float, is_confirmed: bool = False) -> None:
        """Let time pass with the runner's checks; the store may confirm the configuration."""
        until = self._time.now + seconds
        while self._time.now < until:
            self._time.now += CHECK_INTERVAL_S
            if is_confirmed:
                self.confirmed_at = self._time.now
            await self.runner._end_expired_items()


@given(
    has_read_before=st.booleans(),
    store_zero_s=st.sampled_from([0.0, 12.0, 36.0, 500.0]),
    first_answer_s=st.sampled_from([0.004, 0.3, 1.0, 4.0]),
    later_answer_s=st.sampled_from([0.004, 0.3, 1.0]),
)
def test_items_are_kept_for_retention_when_store_time_is_learnt_late(
    has_read_before: bool, store_zero_s: float, first_answer_s: float, later_answer_s: float
) -> None:
    """The first answer of the store may be requested before the job is sent, and read late."""

    async def main() -> None:
        time = WorldTime(store_zero_s)
        store = SlowStore(time)
        owner = OwnerProcess("n1", store, time, configuration=1)
        store.answer_s = first_answer_s
        if has_read_before:
            await owner.reader.read_stored("j")
        sent_at = time.now
        await owner.submit(submission("j"), batch_route(), timeout_s=30.0)
        await owner.run_job("j")
        store.answer_s = later_answer_s
        await owner.reader.read_stored("j")
        await owner.run_checks(RETENTION_S + 20.0)
        assert len(owner.dead) == 3
        for died_at, item_run in owner.dead.values():
            assert isinstance(item_run.end, PastRetention)
            assert died_at - sent_at >= RETENTION_S

    curio.run(main)


def test_uncertain_store_time_ends_no_item_early() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        store = SlowStore(time)
        owner = OwnerProcess("n1", store, time, configuration=1)
        sent_at = time.now
        await owner.submit(submission("j"), batch_route())
        new_owner = OwnerProcess("n2", store, time, configuration=1)
        store.call_s = 4.0
        await new_owner.reader.read_stored("j")
        new_owner.jobs["j"] = owner.jobs["j"]
        await new_owner.run_job("j")
        await new_owner.run_checks(RETENTION_S + 10.0)
        assert len(new_owner.dead) == 3
        assert all(died_at - sent_at >= RETENTION_S for died_at, _ in new_owner.dead.values())

    curio.run(main)


def test_route_missing_from_older_configuration_ends_no_item() -> None:
    """A new owner may lag behind the node that accepted the job while it is disconnected."""

    async def main() -> None:
        time = WorldTime(12.0)
        store = SlowStore(time)
        owner = OwnerProcess("n1", store, time, configuration=7)
        await owner.submit(replace(submission("j"), configuration=7), batch_route())
        lagging = OwnerProcess("n2", store, time, configuration=3)
        lagging.use_routes(5)
        lagging.jobs["j"] = owner.jobs["j"]
        await lagging.run_job("j")
        await lagging.run_checks(30.0)
        assert lagging.dead == {}
        lagging.use_routes(7, batch_route())
        await lagging.run_checks(10.0, is_confirmed=True)
        assert lagging.dead == {}
        lagging.use_routes(8)
        await lagging.run_checks(3.5, is_confirmed=True)
        assert lagging.dead == {}
        await lagging.run_checks(10.0)
        assert lagging.dead == {}
        await lagging.run_checks(CHECK_INTERVAL_S, is_confirmed=True)
        assert {item_run.end.reason for _, item_run in lagging.dead.values() if item_run.end} == {
            "route_ended"
        }
        evidence = next(item_run.end for _, item_run in lagging.dead.values())
        assert isinstance(evidence, RouteEnded)
        assert (evidence.accepted_configuration, evidence.configuration) == (7, 8)

    curio.run(main)


def test_suspended_owner_that_missed_a_version_ends_no_item() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        store = SlowStore(time)
        owner = OwnerProcess("n1", store, time, configuration=7)
        await owner.submit(replace(submission("j"), configuration=7), batch_route())
        await owner.run_job("j")
        owner.use_routes(8)
        await owner.run_checks(CHECK_INTERVAL_S, is_confirmed=True)
        time.now += 8.0
        await owner.runner._end_expired_items()
        owner.use_routes(9, batch_route())
        await owner.run_checks(10.0, is_confirmed=True)
        assert owner.dead == {}

    curio.run(main)


def test_longer_prefix_of_another_route_kind_ends_no_item() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        owner = OwnerProcess("n1", SlowStore(time), time, configuration=1)
        await owner.submit(submission("j"), batch_route())
        await owner.run_job("j")
        longer = Route(
            "near", "h.example", "/jobs/x", RouteKind.SAFE, (RoutePart("other", 1.0),), 5.0, 0.4, 3
        )
        owner.use_routes(2, batch_route(), longer)
        await owner.run_checks(20.0, is_confirmed=True)
        assert owner.dead == {}
        assert owner.runner._services(owner.jobs["j"]) == ["s"]

    curio.run(main)


def test_raised_retention_applies_to_waiting_jobs() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        owner = OwnerProcess("n1", SlowStore(time), time, configuration=1)
        await owner.submit(submission("j"), batch_route())
        await owner.run_job("j")
        owner.use_routes(2, replace(batch_route(), retention_s=2 * RETENTION_S))
        await owner.run_checks(2 * RETENTION_S - CHECK_INTERVAL_S)
        assert owner.dead == {}
        await owner.run_checks(3 * CHECK_INTERVAL_S)
        assert len(owner.dead) == 3

    curio.run(main)


def test_route_without_retention_ends_no_item() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        owner = OwnerProcess("n1", SlowStore(time), time, configuration=1)
        route = replace(batch_route(), retention_s=0.0)
        owner.use_routes(2, route)
        await owner.submit(submission("j"), route)
        await owner.run_job("j")
        await owner.run_checks(2 * RETENTION_S)
        assert owner.dead == {}

    curio.run(main)


def test_log_has_reason_and_evidence_of_each_dead_item(tmp_path: Path) -> None:
    async def main() -> None:
        log_path = tmp_path / "log"
        log_path.touch()
        time = WorldTime(12.0)
        owner = OwnerProcess("n1", SlowStore(time), time, 1, str(log_path))
        await owner.submit(submission("j"), batch_route())
        await owner.run_job("j")
        await owner.run_checks(RETENTION_S + 2.0)
        lines = [parse_line(text) for text in log_path.read_text().splitlines()]
        dead = request_history([line for line in lines if line is not None], "j-1")
        assert [line.event for line in dead] == ["items_dead"]
        fields = dead[0].fields
        assert (fields["reason"], fields["job"]) == ("past_retention", "j")
        assert fields["store_ms"] > fields["give_up_ms"] == fields["accepted_ms"] + 60_000
        assert fields["unsure_ms"] < 100.0

    curio.run(main)


def test_unknown_store_time_ends_no_item() -> None:
    async def main() -> None:
        time = WorldTime(12.0)
        store = SlowStore(time)
        owner = OwnerProcess("n1", store, time, configuration=1)
        await owner.submit(submission("j"), batch_route())
        new_owner = OwnerProcess("n2", store, time, configuration=1)
        new_owner.jobs["j"] = owner.jobs["j"]
        await new_owner.run_job("j")
        await new_owner.run_checks(2 * RETENTION_S)
        assert new_owner.dead == {}

    curio.run(main)
