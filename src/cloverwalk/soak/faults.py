"""Runs the actions of a schedule, each in its own task, so that they overlap."""

from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from signal import SIGKILL, SIGTERM

import curio

from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.soak.clients import OnlineClients
from cloverwalk.soak.deployment import Operator
from cloverwalk.soak.events import FaultBegan, FaultEnded
from cloverwalk.soak.history import History
from cloverwalk.soak.job_clients import JobClients
from cloverwalk.soak.plan import (
    HERD_KINDS,
    LINK_KINDS,
    NODE_KINDS,
    OPERATOR_KINDS,
    STORE_FAULT_KINDS,
    Action,
    ActionKind,
    Plan,
)
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.proxy import FaultProxy
from cloverwalk.soak.replicas import GUILTY_PREFIX, ReplicaFleet

RELEASE_INTERVAL_S = 1.0
"""Time between the replacements of two replicas of a release."""


class StoreFaults:
    """The active faults of the store; of overlapping ones of a kind the strongest applies."""

    def __init__(self, store: PlatformStoreServer) -> None:
        self._store = store
        self._active: dict[int, Action] = {}

    def begin(self, fault: int, action: Action) -> None:
        """Apply a fault."""
        if action.kind is ActionKind.STORE_FORGET:
            self._store.rows.drop_history()
            return
        self._active[fault] = action
        self._apply()

    def end(self, fault: int) -> None:
        """Remove a fault."""
        self._active.pop(fault, None)
        self._apply()

    def _apply(self) -> None:
        self._store.is_silent = self._max_amount(ActionKind.STORE_SILENT) is not None
        self._store.delay_s = self._max_amount(ActionKind.STORE_SLOW) or 0.0
        self._store.answer_delay_s = self._max_amount(ActionKind.STORE_LATE) or 0.0
        self._store.lose_share = self._max_amount(ActionKind.STORE_LOSE) or 0.0
        self._store.answer_spread_s = self._max_amount(ActionKind.STORE_UNEVEN) or 0.0
        self._store.refuse_share = self._max_amount(ActionKind.STORE_REFUSE) or 0.0

    def _max_amount(self, kind: ActionKind) -> float | None:
        amounts = [action.amount for action in self._active.values() if action.kind is kind]
        return max(amounts, default=None)


UNDISTURBING_KINDS = (
    *OPERATOR_KINDS,
    *HERD_KINDS,
    ActionKind.ZONE_DRAIN,
    ActionKind.CLIENT_CROWD,
    ActionKind.JOB_ENDS,
    ActionKind.TAKE_UPS,
)
"""Kinds under which all promises hold."""


class FaultRunner:
    """Runs the actions of a schedule against nodes, proxies, store, replicas and clients."""

    def __init__(
        self,
        plan: Plan,
        nodes: list[NodeProcess],
        proxies: dict[str, list[FaultProxy]],
        store: PlatformStoreServer,
        replicas: ReplicaFleet,
        operator: Operator,
        online: OnlineClients,
        jobs: JobClients,
        history: History,
        random: Random,
    ) -> None:
        self._plan = plan
        self._nodes = nodes
        self._proxies = proxies
        self._store = StoreFaults(store)
        self._replicas = replicas
        self._operator = operator
        self._online = online
        self._jobs = jobs
        self._history = history
        self._random = random
        self._fault_numbers = count(1)

    async def run(self) -> None:
        """Run the schedule; return when its duration has passed and all actions ended."""
        started_at = self._history.now()
        async with curio.TaskGroup() as action_tasks:
            for action in self._plan.actions:
                remaining_s = started_at + action.at_s - self._history.now()
                if remaining_s > 0:
                    await curio.sleep(remaining_s)
                await action_tasks.spawn(self._run_action, action)
            remaining_s = started_at + self._plan.duration_s - self._history.now()
            await curio.sleep(max(0.0, remaining_s))

    async def _run_action(self, action: Action) -> None:
        fault = next(self._fault_numbers)
        handler = self._handler_of(action)
        if action.kind in UNDISTURBING_KINDS:
            await handler(fault, action)
            return
        nodes = (
            [self._nodes[number].name for number in action.targets]
            if _is_limited_to_targets(action)
            else []
        )
        self._history.record(FaultBegan(fault=fault, kind=action.kind.value, nodes=nodes))
        await handler(fault, action)
        self._history.record(FaultEnded(fault=fault))

    def _handler_of(self, action: Action) -> Callable[[int, Action], Awaitable[None]]:
        if action.kind in NODE_KINDS:
            return self._signal_nodes
        if action.kind in LINK_KINDS:
            return self._disturb_links
        if action.kind in STORE_FAULT_KINDS:
            return self._disturb_store
        handlers = {
            ActionKind.REPLICA_MISDEED: self._run_misdeed,
            ActionKind.REPLICA_CRASH: self._change_replicas,
            ActionKind.REPLICA_DRAIN: self._change_replicas,
            ActionKind.REPLICA_RESTART: self._change_replicas,
            ActionKind.REPLICA_RELEASE: self._release_replicas,
            ActionKind.ENTRY_ODD: self._change_replicas,
            ActionKind.KEY_REPLACE: self._change_configuration,
            ActionKind.QUOTA_CHANGE: self._change_configuration,
            ActionKind.ROUTE_REMOVE: self._change_configuration,
            ActionKind.ROUTE_MOVE: self._change_configuration,
            ActionKind.HERD_REQUESTS: self._send_herd,
            ActionKind.HERD_JOBS: self._send_herd,
            ActionKind.ZONE_DRAIN: self._drain_zone,
            ActionKind.REPLICA_PART: self._send_guilty,
            ActionKind.REPLICA_ITEM: self._crash_under_items,
            ActionKind.CLIENT_CROWD: self._send_crowd,
            ActionKind.JOB_ENDS: self._end_jobs,
            ActionKind.REPLICA_JOIN: self._join_replicas,
            ActionKind.NODE_DEAF: self._lose_datagrams,
            ActionKind.TAKE_UPS: self._take_streams_up,
        }
        return handlers[action.kind]

    # --- kinds ---

    async def _signal_nodes(self, fault: int, action: Action) -> None:
        targets = [self._nodes[number] for number in action.targets]
        if action.kind is ActionKind.NODE_FREEZE:
            for node in targets:
                node.freeze(fault)
            await curio.sleep(action.duration_s)
            for node in targets:
                node.thaw(fault)
            return
        signal_number = SIGTERM if action.kind is ActionKind.NODE_TERM else SIGKILL
        for node in targets:
            node.end(signal_number, action.duration_s)

    async def _disturb_links(self, fault: int, action: Action) -> None:
        proxies = [self._proxies[action.name][number] for number in action.targets]
        for proxy in proxies:
            match action.kind:
                case ActionKind.LINK_DELAY:
                    proxy.delay(fault, action.amount)
                case ActionKind.LINK_CUT:
                    proxy.cut(fault, action.way)
                case ActionKind.LINK_SILENCE:
                    proxy.silence()
                case _:
                    await proxy.reset()
        await curio.sleep(action.duration_s)
        for proxy in proxies:
            proxy.end_fault(fault)

    async def _disturb_store(self, fault: int, action: Action) -> None:
        self._store.begin(fault, action)
        await curio.sleep(action.duration_s)
        self._store.end(fault)

    async def _run_misdeed(self, fault: int, action: Action) -> None:
        misdeed = Misdeed[action.name]
        self._replicas.begin_misdeed(fault, action.targets, misdeed, action.amount)
        await curio.sleep(action.duration_s)
        self._replicas.end_misdeed(fault)

    async def _change_replicas(self, fault: int, action: Action) -> None:
        methods = {
            ActionKind.REPLICA_CRASH: self._replicas.crash,
            ActionKind.REPLICA_DRAIN: self._replicas.drain,
            ActionKind.REPLICA_RESTART: self._replicas.restart,
            ActionKind.ENTRY_ODD: self._replicas.corrupt_entry,
        }
        for number in action.targets:
            await methods[action.kind](number, action.duration_s)

    async def _release_replicas(self, fault: int, action: Action) -> None:
        """Replace replicas one after the other, so that several drain at the same time."""
        async with curio.TaskGroup() as tasks:
            for number in action.targets:
                await tasks.spawn(self._replicas.drain, number, action.duration_s, action.name)
                await curio.sleep(RELEASE_INTERVAL_S)

    async def _join_replicas(self, fault: int, action: Action) -> None:
        joined = [await self._replicas.join(action.name) for _ in range(int(action.amount))]
        await curio.sleep(action.duration_s)
        async with curio.TaskGroup() as tasks:
            for number in joined:
                await tasks.spawn(self._replicas.leave, number)

    async def _lose_datagrams(self, fault: int, action: Action) -> None:
        for number in action.targets:
            self._nodes[number].fill_receive_buffer()

    async def _take_streams_up(self, fault: int, action: Action) -> None:
        # Draws from a generator of its own, so that herds and crowds stay the same.
        random = Random(f"soak-take-ups/{self._plan.seed}/{action.at_s:g}")
        until = self._history.now() + action.duration_s
        async with curio.TaskGroup() as tasks:
            for number in action.targets:
                node = self._nodes[number]
                await tasks.spawn(self._online.run_take_ups, node, action.amount, until, random)

    async def _change_configuration(self, fault: int, action: Action) -> None:
        match action.kind:
            case ActionKind.KEY_REPLACE:
                self._operator.replace_key(action.name)
            case ActionKind.QUOTA_CHANGE:
                self._operator.set_quota(action.name, action.amount)
            case ActionKind.ROUTE_MOVE:
                self._operator.move_route(action.name)
            case _:
                self._operator.remove_route(action.name)
                await curio.sleep(action.duration_s)
                self._operator.restore_route(action.name)

    async def _drain_zone(self, fault: int, action: Action) -> None:
        self._operator.drain_zone(action.name)
        await curio.sleep(action.duration_s)
        self._operator.lift_zone_drain(action.name)

    async def _send_herd(self, fault: int, action: Action) -> None:
        # A generator of its own: the order of other tasks must not change what a herd sends.
        random = Random(self._random.random())
        if action.kind is ActionKind.HERD_REQUESTS:
            await self._online.send_herd(int(action.amount), action.name, random)
        else:
            await self._jobs.submit_herd(int(action.amount), action.name, random)

    async def _end_jobs(self, fault: int, action: Action) -> None:
        random = Random(self._random.random())
        async with curio.TaskGroup() as tasks:
            for number in action.targets:
                await tasks.spawn(
                    self._jobs.run_contested,
                    self._nodes[number],
                    int(action.amount),
                    action.name,
                    random,
                )

    async def _crash_under_items(self, fault: int, action: Action) -> None:
        self._replicas.begin_unlucky_items(fault, int(action.amount))
        await curio.sleep(action.duration_s)
        self._replicas.end_unlucky_items(fault)

    async def _send_guilty(self, fault: int, action: Action) -> None:
        random, until = Random(self._random.random()), self._history.now() + action.duration_s
        await self._online.run_guilty(f"{GUILTY_PREFIX}{fault:x}", action.amount, until, random)

    async def _send_crowd(self, fault: int, action: Action) -> None:
        """Let most new connections go to one target after the other."""
        random = Random(self._random.random())
        for number in action.targets:
            until = self._history.now() + action.duration_s / len(action.targets)
            await self._online.run_crowd(self._nodes[number], action.amount, until, random)


def _is_limited_to_targets(action: Action) -> bool:
    """Whether an action affects only the nodes that are its targets."""
    is_link = action.kind in LINK_KINDS and action.name in ("clients", "store")
    return is_link or action.kind in (*NODE_KINDS, ActionKind.NODE_DEAF)
