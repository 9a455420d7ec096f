"""Carries out the steps of a schedule, each in a task of its own, so that they overlap."""

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
    STORE_KINDS,
    Action,
    ActionKind,
    Plan,
)
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.proxy import FaultProxy
from cloverwalk.soak.replicas import ReplicaFleet


class StoreFaults:
    """Faults of the store that hold now; they overlap, and the worst of a kind counts."""

    def __init__(self, store: PlatformStoreServer) -> None:
        self._store = store
        self._active: dict[int, Action] = {}

    def begin(self, fault: int, action: Action) -> None:
        """Begin a fault."""
        if action.kind is ActionKind.STORE_FORGET:
            self._store.rows.forget_history()
            return
        self._active[fault] = action
        self._apply()

    def end(self, fault: int) -> None:
        """End a fault."""
        self._active.pop(fault, None)
        self._apply()

    def _apply(self) -> None:
        self._store.is_silent = self._worst(ActionKind.STORE_SILENT) is not None
        self._store.delay_s = self._worst(ActionKind.STORE_SLOW) or 0.0
        self._store.answer_delay_s = self._worst(ActionKind.STORE_LATE) or 0.0
        self._store.lose_share = self._worst(ActionKind.STORE_LOSE) or 0.0
        self._store.refuse_share = self._worst(ActionKind.STORE_REFUSE) or 0.0

    def _worst(self, kind: ActionKind) -> float | None:
        amounts = [one.amount for one in self._active.values() if one.kind is kind]
        return max(amounts, default=None)


class FaultRunner:
    """Runs a schedule against the parts of a soak."""

    def __init__(
        self,
        plan: Plan,
        nodes: list[NodeProcess],
        links: dict[str, list[FaultProxy]],
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
        self._links = links
        self._store = StoreFaults(store)
        self._replicas = replicas
        self._operator = operator
        self._online = online
        self._jobs = jobs
        self._history = history
        self._random = random
        self._numbers = count(1)

    async def run(self) -> None:
        """Carry out the schedule; returns when the last step is over."""
        began_at = self._history.now()
        async with curio.TaskGroup() as steps:
            for action in self._plan.actions:
                rest_s = began_at + action.at_s - self._history.now()
                if rest_s > 0:
                    await curio.sleep(rest_s)
                await steps.spawn(self._carry_out, action)
            rest_s = began_at + self._plan.duration_s - self._history.now()
            await curio.sleep(max(0.0, rest_s))

    async def _carry_out(self, action: Action) -> None:
        fault = next(self._numbers)
        do = self._doer(action)
        if action.kind in OPERATOR_KINDS or action.kind in HERD_KINDS:
            await do(fault, action)
            return
        nodes = [self._nodes[one].name for one in action.targets] if _is_local(action) else []
        self._history.note(FaultBegan(fault=fault, kind=action.kind.value, nodes=nodes))
        await do(fault, action)
        self._history.note(FaultEnded(fault=fault))

    def _doer(self, action: Action) -> Callable[[int, Action], Awaitable[None]]:
        if action.kind in NODE_KINDS:
            return self._signal_nodes
        if action.kind in LINK_KINDS:
            return self._disturb_links
        if action.kind in STORE_KINDS:
            return self._disturb_store
        doers = {
            ActionKind.REPLICA_MISDEED: self._misbehave,
            ActionKind.REPLICA_CRASH: self._end_replicas,
            ActionKind.REPLICA_DRAIN: self._end_replicas,
            ActionKind.REPLICA_RESTART: self._end_replicas,
            ActionKind.ENTRY_ODD: self._end_replicas,
            ActionKind.KEY_REPLACE: self._operate,
            ActionKind.QUOTA_CHANGE: self._operate,
            ActionKind.ROUTE_REMOVE: self._operate,
            ActionKind.ROUTE_MOVE: self._operate,
            ActionKind.HERD_REQUESTS: self._herd,
            ActionKind.HERD_JOBS: self._herd,
        }
        return doers[action.kind]

    # --- kinds ---

    async def _signal_nodes(self, fault: int, action: Action) -> None:
        targets = [self._nodes[one] for one in action.targets]
        if action.kind is ActionKind.NODE_FREEZE:
            for node in targets:
                node.freeze(fault)
            await curio.sleep(action.duration_s)
            for node in targets:
                node.thaw(fault)
            return
        how = SIGTERM if action.kind is ActionKind.NODE_TERM else SIGKILL
        for node in targets:
            node.end(how, action.duration_s)

    async def _disturb_links(self, fault: int, action: Action) -> None:
        proxies = [self._links[action.name][one] for one in action.targets]
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
            proxy.heal(fault)

    async def _disturb_store(self, fault: int, action: Action) -> None:
        self._store.begin(fault, action)
        await curio.sleep(action.duration_s)
        self._store.end(fault)

    async def _misbehave(self, fault: int, action: Action) -> None:
        misdeed = Misdeed[action.name]
        self._replicas.misbehave(fault, action.targets, misdeed, action.amount)
        await curio.sleep(action.duration_s)
        self._replicas.behave(fault)

    async def _end_replicas(self, fault: int, action: Action) -> None:
        ends = {
            ActionKind.REPLICA_CRASH: self._replicas.crash,
            ActionKind.REPLICA_DRAIN: self._replicas.drain,
            ActionKind.REPLICA_RESTART: self._replicas.restart,
            ActionKind.ENTRY_ODD: self._replicas.spoil_entry,
        }
        for number in action.targets:
            await ends[action.kind](number, action.duration_s)

    async def _operate(self, fault: int, action: Action) -> None:
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

    async def _herd(self, fault: int, action: Action) -> None:
        # The order of other tasks must not change what a herd sends.
        random = Random(self._random.random())
        if action.kind is ActionKind.HERD_REQUESTS:
            await self._online.herd(int(action.amount), action.name, random)
        else:
            await self._jobs.herd(int(action.amount), action.name, random)


def _is_local(action: Action) -> bool:
    """Whether a step touches the nodes that it names only."""
    is_link = action.kind in LINK_KINDS and action.name in ("clients", "store")
    return is_link or action.kind in NODE_KINDS
