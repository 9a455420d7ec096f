"""Draws the schedule of a soak from a seed."""

from random import Random

from cloverwalk.soak.deployment import QUOTAS
from cloverwalk.soak.plan import (
    HERD_KINDS,
    LINK_KINDS,
    LINKS,
    MISDEEDS,
    NODE_KINDS,
    OPERATOR_KINDS,
    REPLICA_KINDS,
    START_KINDS,
    STORE_KINDS,
    WAYS,
    Action,
    ActionKind,
    Plan,
    names_of,
)

QUIET_S = 3.0
"""Without faults at the start, so that the load runs."""

CALM_EVERY_S = 20.0
"""After so long there is a calm time, in which promises of calm fleets bind."""

CALM_S = 6.0


def replica_count(nodes: int) -> int:
    """Return how many replicas serve a fleet: two of each service at least."""
    return max(5, nodes // 2 + 2)


def draw_plan(seed: int, nodes: int, minutes: float) -> Plan:
    """Draw a schedule; the same arguments give the same one in every process."""
    drawer = _Drawer(Random(f"soak/{seed}/{nodes}/{minutes:g}"), nodes, minutes * 60)
    actions = sorted(drawer.draw(), key=lambda one: (one.at_s, one.kind, one.targets))
    return Plan(seed, nodes, replica_count(nodes), minutes * 60, actions)


class _Drawer:
    """Draws series of faults of each kind side by side, so that they overlap."""

    def __init__(self, random: Random, nodes: int, duration_s: float) -> None:
        self._random = random
        self._nodes = nodes
        self._replicas = replica_count(nodes)
        self._duration_s = duration_s

    def draw(self) -> list[Action]:
        """Return the steps of all series."""
        steps: list[Action] = []
        series = (
            (4.0, self._node_steps),
            (7.0, self._store_steps),
            (4.0, self._link_steps),
            (5.0, self._replica_steps),
            (6.0, self._operator_steps),
            (9.0, self._herd_steps),
            (8.0, self._start_steps),
        )
        for mean_s, draw in series:
            at_s = QUIET_S + self._random.uniform(0, mean_s)
            while at_s < self._duration_s - 1.0:
                if at_s % (CALM_EVERY_S + CALM_S) < CALM_EVERY_S:
                    steps += [one for one in draw(at_s) if one.at_s < self._duration_s]
                at_s += max(0.3, self._random.expovariate(1 / mean_s))
        return steps

    def _time(self, least_s: float, most_s: float) -> float:
        return round(self._random.uniform(least_s, most_s), 2)

    def _some(self, count: int) -> list[int]:
        """Return one number mostly, else several or all."""
        how_many = self._random.choice((1, 1, 1, 1, 2, max(1, count // 2), count))
        return sorted(self._random.sample(range(count), min(count, how_many)))

    def _node_steps(self, at_s: float) -> list[Action]:
        draw = self._random.choice((self._one_fault, self._one_fault, self._combined, self._roll))
        return draw(round(at_s, 2))

    def _one_fault(self, at_s: float) -> list[Action]:
        kind = self._random.choice(NODE_KINDS)
        return [Action(at_s, kind, self._some(self._nodes), self._away_s(kind))]

    def _away_s(self, kind: ActionKind) -> float:
        if kind is ActionKind.NODE_FREEZE:
            return self._random.choice((self._time(0.2, 1.5), self._time(1.5, 7.0)))
        return self._time(0.1, 3.0)

    def _combined(self, at_s: float) -> list[Action]:
        """Return two signals to one node shortly after each other."""
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
        later = round(at_s + self._time(0.05, 2.0), 2)
        return [
            Action(at_s, first, node, self._away_s(first)),
            Action(later, second, node, self._away_s(second)),
        ]

    def _roll(self, at_s: float) -> list[Action]:
        """Return a planned stop of some nodes one after the other."""
        nodes = self._random.sample(range(self._nodes), max(1, self._nodes // 2))
        pause_s = self._time(0.3, 4.0)
        return [
            Action(round(at_s + n * pause_s, 2), ActionKind.NODE_TERM, [node], 0.3)
            for n, node in enumerate(nodes)
        ]

    def _store_steps(self, at_s: float) -> list[Action]:
        kind = self._random.choice(STORE_KINDS)
        amounts = {
            ActionKind.STORE_SLOW: self._time(0.05, 1.0),
            ActionKind.STORE_LATE: self._time(0.1, 2.0),
            ActionKind.STORE_LOSE: self._time(0.1, 0.7),
            ActionKind.STORE_REFUSE: self._time(0.1, 0.9),
        }
        duration_s = 0.0 if kind is ActionKind.STORE_FORGET else self._time(0.5, 6.0)
        return [Action(round(at_s, 2), kind, [], duration_s, amounts.get(kind, 0.0))]

    def _link_steps(self, at_s: float) -> list[Action]:
        kind = self._random.choice(LINK_KINDS)
        link = self._random.choice(LINKS)
        targets = self._some(self._replicas if link == "replicas" else self._nodes)
        lasts = kind in (ActionKind.LINK_DELAY, ActionKind.LINK_CUT)
        duration_s = self._time(0.3, 5.0) if lasts else 0.0
        amount = self._time(0.02, 0.6) if kind is ActionKind.LINK_DELAY else 0.0
        way = self._random.choice(WAYS) if kind is ActionKind.LINK_CUT else ""
        return [Action(round(at_s, 2), kind, targets, duration_s, amount, link, way)]

    def _replica_steps(self, at_s: float) -> list[Action]:
        kind = self._random.choice(REPLICA_KINDS)
        at_s = round(at_s, 2)
        if kind is ActionKind.REPLICA_MISDEED:
            targets = self._some(self._replicas)
            misdeed = self._random.choice(MISDEEDS)
            share, duration_s = self._time(0.1, 0.8), self._time(1.0, 6.0)
            return [Action(at_s, kind, targets, duration_s, share, misdeed)]
        target = [self._random.randrange(self._replicas)]
        return [Action(at_s, kind, target, self._time(0.5, 4.0))]

    def _start_steps(self, at_s: float) -> list[Action]:
        target = [self._random.randrange(self._replicas)]
        kind = self._random.choice(START_KINDS)
        return [Action(round(at_s, 2), kind, target, self._time(0.5, 4.0))]

    def _operator_steps(self, at_s: float) -> list[Action]:
        kind = self._random.choice(OPERATOR_KINDS)
        at_s = round(at_s, 2)
        name = self._random.choice(names_of(kind))
        if kind is ActionKind.QUOTA_CHANGE:
            return [Action(at_s, kind, amount=self._random.choice((2.0, 6.0, 12.0)), name=name)]
        duration_s = self._time(1.0, 9.0) if kind is ActionKind.ROUTE_REMOVE else 0.0
        return [Action(at_s, kind, [], duration_s, name=name)]

    def _herd_steps(self, at_s: float) -> list[Action]:
        kind = self._random.choice(HERD_KINDS)
        count = 120 if kind is ActionKind.HERD_REQUESTS else 12
        amount = float(self._random.randint(count // 4, count))
        tenant = self._random.choice(tuple(QUOTAS))
        return [Action(round(at_s, 2), kind, amount=amount, name=tenant)]
