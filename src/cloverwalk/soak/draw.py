"""Generates the schedule of a soak from a seed."""

import enum
from random import Random

import msgspec

from cloverwalk.soak.build_steps import draw_build_steps
from cloverwalk.soak.deployment import QUOTAS
from cloverwalk.soak.plan import (
    DIRECTIONS,
    HERD_KINDS,
    LINK_KINDS,
    LINKS,
    MISDEEDS,
    NODE_KINDS,
    OPERATOR_KINDS,
    REPLICA_KINDS,
    RESTART_KINDS,
    STORE_KINDS,
    Action,
    ActionKind,
    Plan,
    names_of_kind,
)

FAULT_FREE_START_S = 3.0
"""Time before the first fault, so that the load has started."""

FAULT_PHASE_S = 20.0
"""Length of a phase with faults; a calm phase follows each."""

CALM_PHASE_S = 6.0

KINDS_OF_EARLIER_BUILDS = frozenset(
    (
        *NODE_KINDS,
        *LINK_KINDS,
        *STORE_KINDS,
        *REPLICA_KINDS,
        *RESTART_KINDS,
        *HERD_KINDS,
        ActionKind.KEY_REPLACE,
        ActionKind.QUOTA_CHANGE,
        ActionKind.ROUTE_REMOVE,
        ActionKind.ROUTE_MOVE,
    )
)
"""Kinds that earlier builds support; their nodes would violate the guarantees of newer kinds."""

SOFTWARE_VERSION_COUNT = 2
"""Software versions at the start; nodes of earlier builds mix them, so their soaks have one."""


CLOSING_REPLICA_INTERVAL = 3
JOINING_REPLICAS = 2.0
JOIN_STAY_S = 8.0
"""How long replicas that joined stay; longer than the streams that begin at them last."""

TAKE_UPS_PER_S = 12.0
CUT_BEFORE_JOIN_S = 0.1
DEAF_AFTER_S = 0.05
CALM_STOPS = 2


def replica_count(nodes: int) -> int:
    """Return the number of replicas for a fleet; each service has at least two."""
    return max(5, nodes // 2 + 2)


def draw_plan(seed: int, nodes: int, minutes: float) -> Plan:
    """Return a schedule; the same arguments give the same one in every process."""
    drawer = _PlanDrawer(Random(f"soak/{seed}/{nodes}/{minutes:g}"), nodes, minutes * 60)
    actions = sorted(drawer.draw(), key=lambda action: (action.at_s, action.kind, action.targets))
    return Plan(
        seed,
        nodes,
        replica_count(nodes),
        minutes * 60,
        actions,
        software_versions=SOFTWARE_VERSION_COUNT,
        closing_replica_interval=CLOSING_REPLICA_INTERVAL,
        calm_stops=min(nodes, CALM_STOPS),
    )


def draw_upgrade_plan(seed: int, nodes: int, minutes: float) -> Plan:
    """Return a schedule that also replaces nodes by another build, and back."""
    plan = draw_plan(seed, nodes, minutes)
    actions = [action for action in plan.actions if action.kind in KINDS_OF_EARLIER_BUILDS]
    steps = draw_build_steps(seed, nodes, plan.duration_s)
    return msgspec.structs.replace(
        plan,
        actions=actions,
        build_steps=steps,
        software_versions=1,
        closing_replica_interval=0,
        calm_stops=0,
    )


class OverlapWay(enum.Enum):
    """From what a node is cut off when it goes on after its suspension."""

    NOTHING = enum.auto()
    NODES = enum.auto()
    """The other nodes, which are suspended then."""

    NODES_AND_STORE = enum.auto()
    NODES_THAT_COULD_NOT_WRITE = enum.auto()
    """The other nodes, which got answers of the store but could not send to it since before the
    version joined."""


def draw_overlap(
    random: Random, nodes: int, at_s: float, version: str, way: OverlapWay
) -> list[Action]:
    """Return actions by which a version joins while a node is suspended.

    Streams that begin meanwhile are taken up at this node when it goes on.
    """

    def draw(min_value: float, max_value: float) -> float:
        return round(random.uniform(min_value, max_value), 2)

    node = random.randrange(nodes)
    others = [number for number in range(nodes) if number != node]
    suspended_s, joins_after_s = draw(3.0, 4.0), draw(0.3, 1.0)
    joins_at_s = round(at_s + joins_after_s, 2)
    taken_up_s = round(suspended_s - joins_after_s, 2)
    others_at_s, others_s = round(at_s + suspended_s - draw(0.2, 0.5), 2), draw(1.5, 2.5)
    actions = [
        Action(at_s, ActionKind.NODE_FREEZE, [node], suspended_s),
        Action(joins_at_s, ActionKind.REPLICA_JOIN, [], JOIN_STAY_S, JOINING_REPLICAS, version),
        Action(joins_at_s, ActionKind.TAKE_UPS, [node], taken_up_s, TAKE_UPS_PER_S),
    ]
    if way is not OverlapWay.NOTHING:
        actions.append(Action(round(at_s + DEAF_AFTER_S, 2), ActionKind.NODE_DEAF, [node]))
        actions.append(Action(others_at_s, ActionKind.NODE_FREEZE, others, others_s))
    if way is OverlapWay.NODES_AND_STORE:
        cut_s = round(suspended_s + others_s, 2)
        actions.append(Action(at_s, ActionKind.LINK_CUT, [node], cut_s, 0.0, "store", "both"))
    if way is OverlapWay.NODES_THAT_COULD_NOT_WRITE:
        cut_at_s = round(joins_at_s - CUT_BEFORE_JOIN_S, 2)
        cut_s = round(others_at_s + others_s - cut_at_s, 2)
        actions.append(Action(cut_at_s, ActionKind.LINK_CUT, others, cut_s, 0.0, "store", "there"))
    return actions


class _PlanDrawer:
    """Draws a series of actions for each group of kinds; the series overlap in time."""

    def __init__(self, random: Random, nodes: int, duration_s: float) -> None:
        self._random = random
        self._nodes = nodes
        self._replicas = replica_count(nodes)
        self._duration_s = duration_s

    def draw(self) -> list[Action]:
        """Return the actions of all series."""
        actions: list[Action] = []
        series = (
            (4.0, self._node_actions),
            (7.0, self._store_actions),
            (4.0, self._link_actions),
            (5.0, self._replica_actions),
            (6.0, self._operator_actions),
            (9.0, self._herd_actions),
            (8.0, self._restart_actions),
            (15.0, self._zone_drain_actions),
            (14.0, self._release_actions),
            (9.0, self._part_actions),
            (10.0, self._crowd_actions),
            (9.0, self._job_end_actions),
            (11.0, self._item_crash_actions),
            (14.0, self._kill_all_actions),
            (13.0, self._overlap_actions),
        )
        for mean_interval_s, draw in series:
            at_s = FAULT_FREE_START_S + self._random.uniform(0, mean_interval_s)
            while at_s < self._duration_s - 1.0:
                if at_s % (FAULT_PHASE_S + CALM_PHASE_S) < FAULT_PHASE_S:
                    actions += [action for action in draw(at_s) if action.at_s < self._duration_s]
                at_s += max(0.3, self._random.expovariate(1 / mean_interval_s))
        return actions

    def _draw_value(self, min_value: float, max_value: float) -> float:
        return round(self._random.uniform(min_value, max_value), 2)

    def _draw_targets(self, count: int) -> list[int]:
        """Return mostly one number below ``count``, else several or all."""
        size = self._random.choice((1, 1, 1, 1, 2, max(1, count // 2), count))
        return sorted(self._random.sample(range(count), min(count, size)))

    def _node_actions(self, at_s: float) -> list[Action]:
        draw = self._random.choice(
            (self._single_fault, self._single_fault, self._two_signals, self._rolling_stop)
        )
        return draw(round(at_s, 2))

    def _single_fault(self, at_s: float) -> list[Action]:
        kind = self._random.choice(NODE_KINDS)
        return [Action(at_s, kind, self._draw_targets(self._nodes), self._draw_downtime_s(kind))]

    def _draw_downtime_s(self, kind: ActionKind) -> float:
        if kind is ActionKind.NODE_FREEZE:
            return self._random.choice((self._draw_value(0.2, 1.5), self._draw_value(1.5, 7.0)))
        return self._draw_value(0.1, 3.0)

    def _two_signals(self, at_s: float) -> list[Action]:
        """Return two signals to one node in quick succession."""
        node = [self._random.randrange(self._nodes)]
        first, second = self._random.choice(
            (
                (ActionKind.NODE_FREEZE, ActionKind.NODE_TERM),
                (ActionKind.NODE_FREEZE, ActionKind.NODE_KILL),
                (ActionKind.NODE_TERM, ActionKind.NODE_KILL),
                (ActionKind.NODE_TERM, ActionKind.NODE_FREEZE),
                (ActionKind.NODE_TERM, ActionKind.NODE_TERM),
            )
        )
        second_at_s = round(at_s + self._draw_value(0.05, 2.0), 2)
        return [
            Action(at_s, first, node, self._draw_downtime_s(first)),
            Action(second_at_s, second, node, self._draw_downtime_s(second)),
        ]

    def _rolling_stop(self, at_s: float) -> list[Action]:
        """Return planned stops of half of the nodes, one after another."""
        nodes = self._random.sample(range(self._nodes), max(1, self._nodes // 2))
        interval_s = self._draw_value(0.3, 4.0)
        return [
            Action(round(at_s + n * interval_s, 2), ActionKind.NODE_TERM, [node], 0.3)
            for n, node in enumerate(nodes)
        ]

    def _store_actions(self, at_s: float) -> list[Action]:
        kind = self._random.choice(STORE_KINDS)
        amounts = {
            ActionKind.STORE_SLOW: self._draw_value(0.05, 1.0),
            ActionKind.STORE_LATE: self._draw_value(0.1, 2.0),
            ActionKind.STORE_LOSE: self._draw_value(0.1, 0.7),
            ActionKind.STORE_REFUSE: self._draw_value(0.1, 0.9),
        }
        duration_s = 0.0 if kind is ActionKind.STORE_FORGET else self._draw_value(0.5, 6.0)
        return [Action(round(at_s, 2), kind, [], duration_s, amounts.get(kind, 0.0))]

    def _link_actions(self, at_s: float) -> list[Action]:
        kind = self._random.choice(LINK_KINDS)
        link = self._random.choice(LINKS)
        targets = self._draw_targets(self._replicas if link == "replicas" else self._nodes)
        has_duration = kind in (ActionKind.LINK_DELAY, ActionKind.LINK_CUT)
        duration_s = self._draw_value(0.3, 5.0) if has_duration else 0.0
        amount = self._draw_value(0.02, 0.6) if kind is ActionKind.LINK_DELAY else 0.0
        direction = self._random.choice(DIRECTIONS) if kind is ActionKind.LINK_CUT else ""
        return [Action(round(at_s, 2), kind, targets, duration_s, amount, link, direction)]

    def _replica_actions(self, at_s: float) -> list[Action]:
        kind = self._random.choice(REPLICA_KINDS)
        at_s = round(at_s, 2)
        if kind is ActionKind.REPLICA_MISDEED:
            targets = self._draw_targets(self._replicas)
            misdeed = self._random.choice(MISDEEDS)
            share, duration_s = self._draw_value(0.1, 0.8), self._draw_value(1.0, 6.0)
            return [Action(at_s, kind, targets, duration_s, share, misdeed)]
        target = [self._random.randrange(self._replicas)]
        return [Action(at_s, kind, target, self._draw_value(0.5, 4.0))]

    def _restart_actions(self, at_s: float) -> list[Action]:
        target = [self._random.randrange(self._replicas)]
        kind = self._random.choice(RESTART_KINDS)
        return [Action(round(at_s, 2), kind, target, self._draw_value(0.5, 4.0))]

    def _release_actions(self, at_s: float) -> list[Action]:
        """Return the replacement of some replicas by ones of a software version."""
        kind = ActionKind.REPLICA_RELEASE
        targets = self._draw_targets(self._replicas)
        version = self._random.choice(names_of_kind(kind))
        return [Action(round(at_s, 2), kind, targets, self._draw_value(0.2, 1.5), name=version)]

    def _part_actions(self, at_s: float) -> list[Action]:
        kind = ActionKind.REPLICA_PART
        duration_s, rate = self._draw_value(6.0, 12.0), self._draw_value(1.0, 4.0)
        return [Action(round(at_s, 2), kind, [], min(self._duration_s, duration_s), rate)]

    def _item_crash_actions(self, at_s: float) -> list[Action]:
        """Return crashes by chance that hit the same items again and again."""
        duration_s = min(self._duration_s, self._draw_value(8.0, 14.0))
        crashes = float(self._random.randint(4, 7))
        return [Action(round(at_s, 2), ActionKind.REPLICA_ITEM, [], duration_s, crashes)]

    def _kill_all_actions(self, at_s: float) -> list[Action]:
        """Return a kill of all nodes while, or just after, two software versions serve."""
        killed_at_s = round(at_s + self._draw_value(0.3, 6.0), 2)
        everyone, downtime_s = list(range(self._nodes)), self._draw_value(0.3, 2.0)
        release = self._release_actions(at_s)
        return [*release, Action(killed_at_s, ActionKind.NODE_KILL, everyone, downtime_s)]

    def _overlap_actions(self, at_s: float) -> list[Action]:
        """Return a version that joins while a node is out of step, which then takes up streams."""
        if self._nodes < 2:
            return []
        version = self._random.choice(names_of_kind(ActionKind.REPLICA_JOIN))
        way = self._random.choice(tuple(OverlapWay))
        actions = draw_overlap(self._random, self._nodes, round(at_s, 2), version, way)
        return [
            msgspec.structs.replace(action, duration_s=min(self._duration_s, action.duration_s))
            for action in actions
        ]

    def _crowd_actions(self, at_s: float) -> list[Action]:
        """Return a crowd of new connections at one node, then at another."""
        kind = ActionKind.CLIENT_CROWD
        targets = self._random.sample(range(self._nodes), min(2, self._nodes))
        duration_s, rate = self._draw_value(8.0, 12.0), self._draw_value(15.0, 30.0)
        return [Action(round(at_s, 2), kind, targets, min(self._duration_s, duration_s), rate)]

    def _job_end_actions(self, at_s: float) -> list[Action]:
        """Return jobs that are ended while the store is uneven, or loses answers of a takeover."""
        at_s, owner = round(at_s, 2), self._random.randrange(self._nodes)
        if self._random.random() < 0.5:
            jobs = Action(at_s, ActionKind.JOB_ENDS, [owner], amount=8.0, name="listed")
            spread_s = self._draw_value(0.2, 0.6)
            return [jobs, Action(at_s, ActionKind.STORE_UNEVEN, [], 6.0, spread_s)]
        killed_at_s = round(at_s + self._draw_value(1.5, 3.0), 2)
        return [
            Action(at_s, ActionKind.JOB_ENDS, [owner], amount=3.0, name="unanswered"),
            Action(
                killed_at_s, ActionKind.NODE_KILL, [owner], self._draw_downtime_s(NODE_KINDS[1])
            ),
            Action(killed_at_s, ActionKind.STORE_LOSE, [], 4.0, self._draw_value(0.4, 0.7)),
        ]

    def _operator_actions(self, at_s: float) -> list[Action]:
        kind = self._random.choice(OPERATOR_KINDS)
        at_s = round(at_s, 2)
        name = self._random.choice(names_of_kind(kind))
        if kind is ActionKind.QUOTA_CHANGE:
            return [Action(at_s, kind, amount=self._random.choice((2.0, 6.0, 12.0)), name=name)]
        duration_s = self._draw_value(1.0, 9.0) if kind is ActionKind.ROUTE_REMOVE else 0.0
        return [Action(at_s, kind, [], duration_s, name=name)]

    def _zone_drain_actions(self, at_s: float) -> list[Action]:
        kind = ActionKind.ZONE_DRAIN
        zone = self._random.choice(names_of_kind(kind))
        duration_s = min(self._duration_s, self._draw_value(6.0, 14.0))
        return [Action(round(at_s, 2), kind, [], duration_s, name=zone)]

    def _herd_actions(self, at_s: float) -> list[Action]:
        kind = self._random.choice(HERD_KINDS)
        count = 120 if kind is ActionKind.HERD_REQUESTS else 12
        amount = float(self._random.randint(count // 4, count))
        tenant = self._random.choice(tuple(QUOTAS))
        return [Action(round(at_s, 2), kind, amount=amount, name=tenant)]
