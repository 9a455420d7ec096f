"""The part of a schedule that replaces the build of nodes: upgrades and rollbacks."""

import enum
from random import Random

from msgspec import Struct

FIRST_STEP_S = 4.0
"""Time before the first replacement, so that connections are open."""

LAST_STEP_SHARE = 0.8
"""The last replacement is due at this share of the soak, so that its result is checked under load.
"""

KILL_SHARE = 0.25
"""Share of the replacements whose process is killed instead of stopped."""

FINAL_EARLIER_SHARE = 0.25
"""Share of the schedules that end with a rollback of all nodes."""

MAX_DOWNTIME_S = 2.0


class Build(enum.StrEnum):
    """Which source a node runs."""

    CURRENT = "current"
    EARLIER = "earlier"


class BuildStep(Struct, frozen=True, forbid_unknown_fields=True):
    """Replaces the process of a node by one of a build."""

    at_s: float
    node: int
    build: Build
    is_killed: bool = False
    downtime_s: float = 0.0

    def line(self) -> str:
        """Return the step as one line of readable text."""
        how = "after SIGKILL" if self.is_killed else "after SIGTERM"
        return f"{self.at_s:7.2f} {'build_' + self.build.value:16} node {self.node} {how}"


def draw_build_steps(seed: int, nodes: int, duration_s: float) -> list[BuildStep]:
    """Return an upgrade with a rollback in the middle; all nodes start with the earlier build.

    Some nodes are upgraded and rolled back, in another order, then all are upgraded. Some
    schedules end with a rollback of all.

    >>> steps = draw_build_steps(1, 3, 60.0)
    >>> {step.build for step in steps} == set(Build), steps[-1].at_s <= 48.0
    (True, True)
    """
    random = Random(f"soak-builds/{seed}/{nodes}/{duration_s:g}")
    numbers = list(range(nodes))
    first = random.sample(numbers, random.randint(1, nodes))
    moves = [(node, Build.CURRENT) for node in first]
    moves += [(node, Build.EARLIER) for node in random.sample(first, len(first))]
    moves += [(node, Build.CURRENT) for node in random.sample(numbers, nodes)]
    if random.random() < FINAL_EARLIER_SHARE:
        moves += [(node, Build.EARLIER) for node in random.sample(numbers, nodes)]
    end_s = LAST_STEP_SHARE * duration_s
    times = sorted(random.uniform(min(FIRST_STEP_S, end_s), end_s) for _ in moves)
    return [
        BuildStep(
            round(at_s, 2),
            node,
            build,
            random.random() < KILL_SHARE,
            round(random.uniform(0.1, MAX_DOWNTIME_S), 2),
        )
        for at_s, (node, build) in zip(times, moves, strict=True)
    ]


def find_build_problem(step: BuildStep, nodes: int, duration_s: float) -> str:
    """Return what is wrong with a step, an empty text if nothing is.

    >>> find_build_problem(BuildStep(1.0, 3, Build.CURRENT), 3, 60.0)
    'node: 3 is not below 3'
    """
    if not 0 <= step.node < nodes:
        return f"node: {step.node} is not below {nodes}"
    for name in ("at_s", "downtime_s"):
        if not 0 <= getattr(step, name) <= duration_s:
            return f"{name}: {getattr(step, name):g} is not between 0 and the duration of the soak"
    return ""
