"""The schedule of a soak: which fault comes when; read from files and checked."""

import enum
from pathlib import Path

import msgspec
from msgspec import Struct

from cloverwalk.soak.deployment import (
    LIMITED_TENANTS,
    MOVABLE_ROUTES,
    QUOTAS,
    REMOVABLE_ROUTES,
)
from cloverwalk.soak.errors import SoakInputError

MOST_NODES = 36
LONGEST_MINUTES = 240.0


class ActionKind(enum.StrEnum):
    """What is done to the fleet."""

    NODE_TERM = "node_term"
    NODE_KILL = "node_kill"
    NODE_FREEZE = "node_freeze"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_CUT = "link_cut"
    LINK_SILENCE = "link_silence"
    STORE_SLOW = "store_slow"
    STORE_SILENT = "store_silent"
    STORE_LOSE = "store_lose"
    STORE_LATE = "store_late"
    STORE_REFUSE = "store_refuse"
    STORE_FORGET = "store_forget"
    REPLICA_MISDEED = "replica_misdeed"
    REPLICA_CRASH = "replica_crash"
    REPLICA_DRAIN = "replica_drain"
    REPLICA_RESTART = "replica_restart"
    ENTRY_ODD = "entry_odd"
    KEY_REPLACE = "key_replace"
    QUOTA_CHANGE = "quota_change"
    ROUTE_REMOVE = "route_remove"
    ROUTE_MOVE = "route_move"
    HERD_REQUESTS = "herd_requests"
    HERD_JOBS = "herd_jobs"


NODE_KINDS = (ActionKind.NODE_TERM, ActionKind.NODE_KILL, ActionKind.NODE_FREEZE)
LINK_KINDS = (
    ActionKind.LINK_DELAY,
    ActionKind.LINK_RESET,
    ActionKind.LINK_CUT,
    ActionKind.LINK_SILENCE,
)
STORE_KINDS = (
    ActionKind.STORE_SLOW,
    ActionKind.STORE_SILENT,
    ActionKind.STORE_LOSE,
    ActionKind.STORE_LATE,
    ActionKind.STORE_REFUSE,
    ActionKind.STORE_FORGET,
)
REPLICA_KINDS = (
    ActionKind.REPLICA_MISDEED,
    ActionKind.REPLICA_MISDEED,
    ActionKind.REPLICA_CRASH,
    ActionKind.REPLICA_DRAIN,
)
START_KINDS = (ActionKind.REPLICA_RESTART, ActionKind.REPLICA_RESTART, ActionKind.ENTRY_ODD)
"""Replicas that start again under their id, and entries of another writer."""

OPERATOR_KINDS = (
    ActionKind.KEY_REPLACE,
    ActionKind.QUOTA_CHANGE,
    ActionKind.ROUTE_REMOVE,
    ActionKind.ROUTE_MOVE,
)
HERD_KINDS = (ActionKind.HERD_REQUESTS, ActionKind.HERD_JOBS)
LINKS = ("clients", "replicas", "store")
WAYS = ("there", "back", "both")
MISDEEDS = (
    "CUT",
    "STUTTER",
    "SECOND_ANSWER",
    "LATE_ANSWER",
    "REFUSE",
    "FAIL",
    "RESET_UNANSWERED",
    "GARBAGE",
    "UNSIGNED",
    "SILENT",
)


class Action(Struct, frozen=True, forbid_unknown_fields=True):
    """One step of the schedule."""

    at_s: float
    kind: ActionKind
    targets: list[int] = []
    """Numbers of nodes; of replicas for faults of replicas and of their links."""

    duration_s: float = 0.0
    """How long it lasts; how long a node or replica stays away."""

    amount: float = 0.0
    """Seconds, share or number, by kind."""

    name: str = ""
    """Link, misdeed, tenant or route."""

    way: str = ""

    def line(self) -> str:
        """Return the step for people."""
        parts = [f"{self.at_s:7.2f} {self.kind.value:16}"]
        parts += [self.name] if self.name else []
        parts += [self.way] if self.way else []
        parts += [f"targets {self.targets}"] if self.targets else []
        parts += [f"for {self.duration_s:.2f} s"] if self.duration_s else []
        parts += [f"amount {self.amount:.2f}"] if self.amount else []
        return " ".join(parts)


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole schedule."""

    seed: int
    nodes: int
    replicas: int
    duration_s: float
    actions: list[Action]


def load_plan(path: Path) -> Plan:
    """Read a schedule; raise SoakInputError when it can't be used."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except OSError as error:
        raise SoakInputError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SoakInputError(f"{path}: {error}") from error
    check_plan(plan, str(path))
    return plan


def check_plan(plan: Plan, source: str) -> None:
    """Raise SoakInputError where a schedule names what is not there."""
    if not 1 <= plan.nodes <= MOST_NODES:
        raise SoakInputError(f"{source}: nodes: {plan.nodes} is not 1 to {MOST_NODES}")
    if not 2 <= plan.replicas <= MOST_NODES:
        raise SoakInputError(f"{source}: replicas: {plan.replicas} is not 2 to {MOST_NODES}")
    if not 0 < plan.duration_s <= LONGEST_MINUTES * 60:
        raise SoakInputError(f"{source}: duration_s: {plan.duration_s:g} is no time for a soak")
    for number, action in enumerate(plan.actions):
        problem = _problem(action, plan)
        if problem:
            raise SoakInputError(f"{source}: actions[{number}]: {problem}")


def _problem(action: Action, plan: Plan) -> str:
    if not 0 <= action.at_s <= plan.duration_s:
        return f"at_s: {action.at_s:g} is not within the soak"
    if not 0 <= action.duration_s <= plan.duration_s:
        return f"duration_s: {action.duration_s:g} is longer than the soak"
    if not 0 <= action.amount <= 1000:
        return f"amount: {action.amount:g} is not 0 to 1000"
    names = names_of(action.kind)
    if names and action.name not in names:
        return f"name: {action.name!r} is none of {', '.join(names)}"
    if action.kind is ActionKind.LINK_CUT and action.way not in WAYS:
        return f"way: {action.way!r} is none of {', '.join(WAYS)}"
    is_replica = action.kind in (*REPLICA_KINDS, *START_KINDS) or action.name == "replicas"
    most = plan.replicas if is_replica else plan.nodes
    if any(not 0 <= one < most for one in action.targets):
        return f"targets: {action.targets} are not all below {most}"
    return ""


def names_of(kind: ActionKind) -> tuple[str, ...]:
    """Return the names that a step of a kind may have; empty: it has none."""
    if kind in LINK_KINDS:
        return LINKS
    if kind is ActionKind.REPLICA_MISDEED:
        return MISDEEDS
    if kind in (ActionKind.KEY_REPLACE, ActionKind.HERD_JOBS, ActionKind.HERD_REQUESTS):
        return tuple(QUOTAS)
    if kind is ActionKind.QUOTA_CHANGE:
        return LIMITED_TENANTS
    if kind is ActionKind.ROUTE_REMOVE:
        return REMOVABLE_ROUTES
    if kind is ActionKind.ROUTE_MOVE:
        return MOVABLE_ROUTES
    return ()
