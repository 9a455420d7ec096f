"""Runs the items of this node's jobs on room that online work leaves."""

from collections.abc import Callable
from typing import Any

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.load import LoadBook, Work
from cloverwalk.fleet.peers import PeerNetwork
from cloverwalk.fleet.trend import OnlineTrend
from cloverwalk.gateway.configuration import ConfigurationHolder, Route, RouteKind
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.selection import reading_ms
from cloverwalk.jobs.item_call import ItemCaller, ItemFailedError, ItemImpossibleError
from cloverwalk.jobs.order import FreeSlots, PeersQueue, summarise
from cloverwalk.jobs.pace import ItemPace
from cloverwalk.jobs.run import ItemRun, JobRun, Phase
from cloverwalk.jobs.share import batch_room, kept_free, may_read_more, must_yield
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

TICK_S = 0.05
RETRY_S = 0.3
SUSPENDED_S = 0.1
"""Pause of an item that gave way; by then the nodes have heard of the online work."""

STARTS_PER_TICK = 6
MAX_YIELD_HOPS = 3
"""How often a request for slots is passed on to a node that was heard to have items there."""

WITHDRAW_AFTER_S = 0.25
"""An item without output for so long at a replica with more work than slots waits in its queue."""

ROUTE_GONE_S = 4.0
"""A job whose route is missing for so long can't be run any more."""


class _Running:
    """An item at a replica."""

    def __init__(self, job: JobRun, one: ItemRun, work: Work, started_at: float) -> None:
        self.job = job
        self.one = one
        self.work = work
        self.replica_id = work.replica_id
        self.started_at = started_at
        self.task: Any = None
        self.gives_way = False


@attrs.frozen
class _Waiting:
    """An item that may start, with the services of its route."""

    job: JobRun
    one: ItemRun
    pool: list[str]
    can_be_in_time: bool
    order_ms: float
    """Due time, by the store's clock; earlier for an item that was begun, see ``pace``."""

    def rank(self) -> tuple[bool, float]:
        """Return what waiting items are sorted by."""
        return (not self.can_be_in_time, self.order_ms)


@attrs.define
class _PoolRoom:
    """What is free at the replicas that take the same items, as of one tick."""

    slots: FreeSlots
    queue: PeersQueue
    started: int = 0
    """Items of this node that took a slot in this tick."""


def _pool_name(services: list[str]) -> str:
    return ",".join(services)


class BatchRunner:
    """Starts, suspends and ends runs of items."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        loads: LoadBook,
        caller: ItemCaller,
        peers: PeerNetwork,
        may_start: Callable[[], bool],
        on_finished: Callable[[JobRun], Any],
        store_now_ms: Callable[[], float],
        hold_ms: Callable[[], float],
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._loads = loads
        self._caller = caller
        self._peers = peers
        self._may_start = may_start
        self._on_finished = on_finished
        self._store_now_ms = store_now_ms
        self._hold_ms = hold_ms
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self.jobs: dict[str, JobRun] = {}
        self._running: dict[tuple[str, int], _Running] = {}
        self._wake = curio.Event()
        self._pace = ItemPace()
        self._trends: dict[str, OnlineTrend] = {}
        self._routeless_since: dict[str, float] = {}
        self._tell_now = False
        self.is_stopping = False

    # --- jobs ---

    async def add(self, job: JobRun) -> None:
        """Run a job that this node owns now, in place of an earlier run of it."""
        await self.drop(job.job_id)
        self.jobs[job.job_id] = job
        # Peers must hear at once of items that are due before theirs.
        self._tell_now = True
        await self._wake.set()

    async def drop(self, job_id: str) -> None:
        """Stop a job: it is done, ended, or owned by another node."""
        job = self.jobs.pop(job_id, None)
        self._routeless_since.pop(job_id, None)
        if job is None:
            return
        job.is_dropped = True
        for running in [one for one in self._running.values() if one.job is job]:
            await running.task.cancel(blocking=False)

    async def stop_all(self) -> None:
        """Cut every run; what was put out stays in the runs."""
        self.is_stopping = True
        for running in list(self._running.values()):
            await running.task.cancel()

    # --- starting ---

    async def run(self) -> None:
        """Start items until cancelled."""
        while True:
            async with curio.ignore_after(TICK_S):
                await self._wake.wait()
            self._wake.clear()
            await self._withdraw_queued()
            if self._may_run():
                await self._start_some()
            else:
                self._peers.waiting = {}
            if self._running and not self._wake.is_set():
                await curio.sleep(0)

    def _may_run(self) -> bool:
        """Whether this node may start items; else it holds none back from its peers."""
        if self.is_stopping or not self.jobs:
            return False
        self._give_up_old()
        return self._may_start()

    async def _start_some(self) -> None:
        queue = self._queue()
        rooms = {_pool_name(one.pool): self._pool_room(one.pool) for one in queue}
        started = 0
        for waiting in queue:
            replica = self._place(waiting, rooms[_pool_name(waiting.pool)])
            if replica is None:
                continue
            await self._start(waiting.job, waiting.one, replica)
            started += 1
            if started >= STARTS_PER_TICK:
                break
        self._tell_peers(queue)
        if started or self._tell_now:
            self._tell_now = False
            await self._peers.send_digest_now()

    def _queue(self) -> list[_Waiting]:
        """Pending items: those that can still be in time first, in the order of the fleet."""
        now = self._clock()
        waiting = [
            self._waiting(job, one, pool)
            for job in self.jobs.values()
            if (pool := self._pool(job))
            for one in job.pending(now)
        ]
        waiting.sort(key=_Waiting.rank)
        return waiting

    def _waiting(self, job: JobRun, one: ItemRun, pool: list[str]) -> _Waiting:
        due_ms = job.record.due_ms
        can_be_in_time = self._pace.can_be_in_time(one, due_ms - self._store_now_ms())
        return _Waiting(job, one, pool, can_be_in_time, self._pace.order_ms(one, due_ms))

    def _trend(self, pool: list[str]) -> OnlineTrend:
        return self._trends.setdefault(_pool_name(pool), OnlineTrend())

    def _tell_peers(self, queue: list[_Waiting]) -> None:
        """Let the next digest say what still waits here."""
        due_ms: dict[str, list[float]] = {}
        for waiting in queue:
            if waiting.one.phase is Phase.PENDING and waiting.can_be_in_time:
                due_ms.setdefault(_pool_name(waiting.pool), []).append(waiting.order_ms)
        self._peers.waiting = {pool: summarise(dues) for pool, dues in due_ms.items()}

    def _give_up_old(self) -> None:
        """End items past their retention, and those whose route is gone for good."""
        now_ms = self._store_now_ms()
        for job in list(self.jobs.values()):
            if now_ms <= job.record.give_up_ms and not self._has_lost_its_route(job):
                continue
            waiting = [one for one in job.items if one.phase is Phase.PENDING]
            for one in waiting:
                job.kill(one)
            if waiting:
                self._log.write(
                    catalogue.ITEMS_GIVEN_UP,
                    job=job.job_id,
                    items=len(waiting),
                    past_retention=now_ms > job.record.give_up_ms,
                    configuration=self._configuration.version,
                )
                self._on_finished(job)

    def _has_lost_its_route(self, job: JobRun) -> bool:
        if self._configuration.current is None or self._route(job) is not None:
            self._routeless_since.pop(job.job_id, None)
            return False
        since = self._routeless_since.setdefault(job.job_id, self._clock())
        return self._clock() - since > ROUTE_GONE_S

    def _route(self, job: JobRun) -> Route | None:
        configuration = self._configuration.current
        if configuration is None:
            return None
        route = configuration.find_route(job.record.host, job.record.path)
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _pool(self, job: JobRun) -> list[str]:
        """Return the services that take a job's items, none when its route is gone."""
        route = self._route(job)
        return [] if route is None else route.services

    def _pool_room(self, pool: list[str]) -> _PoolRoom:
        """Return what is free for items at the replicas of some services."""
        name = _pool_name(pool)
        usable = [one for service in pool for one in self._directory.usable(service)]
        now = self._clock()
        trend = self._trend(pool)
        trend.note(sum(self._loads.total(one.replica_id, now).online for one in usable), now)
        kept = kept_free(trend.mean(), len(usable), self._hold_ms())
        slots = FreeSlots({one.replica_id: self._room(one, kept) for one in usable})
        queue = PeersQueue.of(name, self._peers.node, self._peers.waiting_at_peers())
        return _PoolRoom(slots, queue)

    def _place(self, waiting: _Waiting, room: _PoolRoom) -> Replica | None:
        """Return a replica with a slot for an item after those of peers that come before it."""
        ahead = room.queue.ahead_of(waiting.order_ms, waiting.can_be_in_time)
        position = ahead + room.started
        key = room.slots.take(position, waiting.one.replica_id)
        replica = None if key is None else self._directory.find(key)
        if replica is not None:
            room.started += 1
        return replica

    def _room(self, replica: Replica, kept: int) -> int:
        now = self._clock()
        in_flight = self._loads.total(replica.replica_id, now)
        if self._directory.is_suspect(replica.replica_id, now) or not may_read_more(in_flight):
            return 0
        return batch_room(replica.slots, in_flight, kept)

    async def _start(self, job: JobRun, one: ItemRun, replica: Replica) -> None:
        now = self._clock()
        job.begin(one, replica.replica_id, now)
        prompt = self._caller.prompt(one)
        own_tokens = prompt[-1].tokens if prompt else 0
        work = self._loads.begin(replica.replica_id, True, now, reading_ms(own_tokens))
        running = _Running(job, one, work, now)
        self._running[job.job_id, one.index] = running
        self._log.write(
            catalogue.ITEM_STARTED,
            request=one.item.item_id,
            job=job.job_id,
            replica=replica.replica_id,
            after_event=one.last_event_id,
            configuration=self._configuration.version,
        )
        running.task = await curio.spawn(self._run_item, running, replica, daemon=True)

    # --- one run ---

    async def _run_item(self, running: _Running, replica: Replica) -> None:
        job, one = running.job, running.one
        outcome = "suspended"
        began_with = len(one.texts)
        try:
            await self._caller.run(job, one, replica, lambda: self._loads.note_output(running.work))
            took_s = self._clock() - running.started_at
            self._pace.note_run(len(one.texts), began_with, took_s)
            self._pace.note_item(one, self._clock(), took_s)
            job.succeed(one)
            outcome = "succeeded"
        except ItemImpossibleError:
            job.kill(one)
            outcome = "impossible"
        except ItemFailedError:
            job.fail(one, self._clock() + RETRY_S)
            outcome = "failed"
        except ReplicaError as error:
            outcome = error.code
            if error.code in ("reset", "unreachable", "silent"):
                self._directory.suspect(replica.replica_id, self._clock())
        finally:
            self._end_run(running, outcome)
        await self._wake.set()

    def _end_run(self, running: _Running, outcome: str) -> None:
        job, one = running.job, running.one
        self._loads.end(running.work)
        self._running.pop((job.job_id, one.index), None)
        one.ran_s += self._clock() - running.started_at
        if one.phase is Phase.RUNNING:
            pause_s = SUSPENDED_S if outcome == "suspended" else RETRY_S
            job.suspend(one, self._clock() + pause_s)
        self._metrics.item_ended(outcome)
        self._log.write(
            catalogue.ITEM_RUN_ENDED,
            request=one.item.item_id,
            job=job.job_id,
            replica=running.replica_id,
            outcome=outcome,
            failures=one.failures,
            last_event=one.last_event_id,
            ran_ms=round((self._clock() - running.started_at) * 1000),
        )
        if one.phase is Phase.FINISHED:
            self._on_finished(job)

    # --- giving way ---

    async def make_room(self, replica: Replica) -> None:
        """Online work was counted: items beyond the slots give way, here or at peers."""
        count = must_yield(replica.slots, self._loads.total(replica.replica_id, self._clock()))
        if count > 0:
            await self.give_slots(replica.replica_id, count, MAX_YIELD_HOPS)

    async def give_slots(self, replica_id: str, count: int, hops: int) -> None:
        """Suspend items at a replica; ask peers for those that this node does not have."""
        count -= await self._suspend_some(replica_id, count)
        if hops > 0:
            await self._ask_peers(replica_id, count, hops - 1, lambda _: True)

    async def give_zone_slots(self, replica_id: str, count: int) -> None:
        """Suspend items at a replica, here or at other nodes of this zone."""
        count -= await self._suspend_some(replica_id, count)
        await self._ask_peers(replica_id, count, 0, self._peers.is_in_zone)

    async def _ask_peers(
        self, replica_id: str, count: int, hops: int, may_ask: Callable[[str], bool]
    ) -> None:
        for peer in self._loads.batch_at_peers(replica_id, self._clock()):
            if count <= 0:
                return
            if not may_ask(peer.node):
                continue
            asked = min(count, peer.items)
            self._loads.note_asked(peer.node, replica_id, asked)
            await self._peers.ask_for_slots(peer.node, replica_id, asked, hops)
            count -= asked

    async def _suspend_some(self, replica_id: str, count: int) -> int:
        """Suspend items at a replica; return how many gave way.

        First those that have put out nothing in this run: they may still wait in the replica's
        queue, before the online request. Then those that can't be in time, then those with the
        most time to spare.
        """
        there = [one for one in self._running.values() if one.replica_id == replica_id]
        there = [one for one in there if not one.gives_way and one.task is not None]
        there.sort(key=self._yield_rank)
        chosen = there[:count]
        for running in chosen:
            running.gives_way = True
        for running in chosen:
            await running.task.cancel()
        return len(chosen)

    def _yield_rank(self, running: _Running) -> tuple[bool, bool, float]:
        left_ms = running.job.record.due_ms - self._store_now_ms()
        spare_ms = left_ms - self._pace.remaining_s(running.one) * 1000
        return (running.work.has_output, spare_ms >= 0, -spare_ms)

    async def _withdraw_queued(self) -> None:
        """Take back items that a full replica has not begun; another may have a free slot."""
        now = self._clock()
        for running in list(self._running.values()):
            if running.work.has_output or now - running.started_at < WITHDRAW_AFTER_S:
                continue
            replica = self._directory.find(running.replica_id)
            if running.gives_way or running.task is None or replica is None:
                continue
            if self._loads.total(running.replica_id, now).total > replica.slots:
                running.gives_way = True
                await running.task.cancel()
