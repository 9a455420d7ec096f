"""The schedule of a soak: its actions and their times; read from files and validated."""

import enum
from pathlib import Path

import msgspec
from msgspec import Struct

from cloverwalk.soak.build_steps import BuildStep, find_build_problem
from cloverwalk.soak.deployment import (
    LIMITED_TENANTS,
    MOVABLE_ROUTES,
    QUOTAS,
    REMOVABLE_ROUTES,
    SOFTWARE_VERSIONS,
    ZONES,
)
from cloverwalk.soak.errors import SoakInputError

MAX_NODES = 36
"""Maximum number of nodes, and also of replicas."""

MAX_MINUTES = 240.0


class ActionKind(enum.StrEnum):
    """Kinds of actions: faults, changes by the operator, and herds of requests or jobs."""

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
    ZONE_DRAIN = "zone_drain"
    REPLICA_RELEASE = "replica_release"
    REPLICA_PART = "replica_part"
    """Clients send requests with a part of their prompts that crashes each replica."""

    REPLICA_ITEM = "replica_item"
    """Replicas crash by chance, always those that have just begun to run the same few items."""

    CLIENT_CROWD = "client_crowd"
    """Most new connections go to one node, then to the next target."""

    STORE_UNEVEN = "store_uneven"
    """Answers of the store take random times, so that they overtake each other."""

    JOB_ENDS = "job_ends"
    """Clients submit jobs to a node, read them at all nodes and end them at others."""

    REPLICA_JOIN = "replica_join"
    """Replicas of a software version join the service of streams, and leave after a time."""

    NODE_DEAF = "node_deaf"
    """The receive buffer of a suspended node is filled, so that datagrams of others are lost."""

    TAKE_UPS = "take_ups"
    """Clients begin streams at other nodes, break them off and take them up at the target."""


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
STORE_FAULT_KINDS = (*STORE_KINDS, ActionKind.STORE_UNEVEN)
"""All faults of the store; ``STORE_UNEVEN`` is drawn together with ends of jobs only."""

REPLICA_KINDS = (
    ActionKind.REPLICA_MISDEED,
    ActionKind.REPLICA_MISDEED,
    ActionKind.REPLICA_CRASH,
    ActionKind.REPLICA_DRAIN,
)
"""A kind that is listed twice is drawn twice as often."""

RESTART_KINDS = (ActionKind.REPLICA_RESTART, ActionKind.REPLICA_RESTART, ActionKind.ENTRY_ODD)
"""Replicas that restart with the same id, and entries that another writer corrupts; restarts are
drawn twice as often."""

OPERATOR_KINDS = (
    ActionKind.KEY_REPLACE,
    ActionKind.QUOTA_CHANGE,
    ActionKind.ROUTE_REMOVE,
    ActionKind.ROUTE_MOVE,
)
HERD_KINDS = (ActionKind.HERD_REQUESTS, ActionKind.HERD_JOBS)
LINKS = ("clients", "replicas", "store")
"""Proxy groups: connections of clients to nodes, and of nodes to replicas and to the store."""

DIRECTIONS = ("there", "back", "both")
"""To the server, to the client, both."""

JOB_ENDS_WAYS = ("listed", "unanswered")
"""When clients end their jobs: while results are listed, or as soon as the store has lost the
answer to a write of the job's row."""

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
    """One action of the schedule."""

    at_s: float
    kind: ActionKind
    targets: list[int] = []
    """Numbers of nodes, or of replicas for faults of replicas and of their connections."""

    duration_s: float = 0.0
    """How long the fault lasts, or a node or replica stays down."""

    amount: float = 0.0
    """Seconds, share, number or rate per second, by kind."""

    name: str = ""
    """Proxy group, name of a ``Misdeed``, tenant or route, by kind."""

    way: str = ""
    """Direction of a cut, one of ``DIRECTIONS``."""

    def line(self) -> str:
        """Return the action as one line of readable text."""
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
    build_steps: list[BuildStep] = []
    """Replacements by another build; empty if all nodes run the same one."""

    software_versions: int = 1
    """Software versions that replicas of a service have side by side."""

    closing_replica_interval: int = 0
    """Each replica whose number is a multiple of this ends its streams with the connection instead
    of chunks; 0: none."""

    calm_stops: int = 0
    """Number of nodes that are stopped as planned, one after the other, when all faults have
    ended."""


def load_plan(path: Path) -> Plan:
    """Read a schedule from a file; raise SoakInputError if it is invalid."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except OSError as error:
        raise SoakInputError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SoakInputError(f"{path}: {error}") from error
    check_plan(plan, str(path))
    return plan


def check_plan(plan: Plan, source: str) -> None:
    """Raise SoakInputError if a value of a schedule is out of range or unknown."""
    if not 1 <= plan.nodes <= MAX_NODES:
        raise SoakInputError(f"{source}: nodes: {plan.nodes} is not 1 to {MAX_NODES}")
    if not 2 <= plan.replicas <= MAX_NODES:
        raise SoakInputError(f"{source}: replicas: {plan.replicas} is not 2 to {MAX_NODES}")
    if not 0 < plan.duration_s <= MAX_MINUTES * 60:
        raise SoakInputError(
            f"{source}: duration_s: {plan.duration_s:g} is not above 0 and at most"
            f" {MAX_MINUTES * 60:g}"
        )
    if not 0 <= plan.calm_stops <= plan.nodes:
        raise SoakInputError(
            f"{source}: calm_stops: {plan.calm_stops} is not 0 to the number of nodes"
        )
    if not 1 <= plan.software_versions <= len(SOFTWARE_VERSIONS):
        raise SoakInputError(
            f"{source}: software_versions: {plan.software_versions} is not 1 to"
            f" {len(SOFTWARE_VERSIONS)}"
        )
    for number, action in enumerate(plan.actions):
        problem = _find_problem(action, plan)
        if problem:
            raise SoakInputError(f"{source}: actions[{number}]: {problem}")
    for number, step in enumerate(plan.build_steps):
        problem = find_build_problem(step, plan.nodes, plan.duration_s)
        if problem:
            raise SoakInputError(f"{source}: build_steps[{number}]: {problem}")


def _find_problem(action: Action, plan: Plan) -> str:
    if not 0 <= action.at_s <= plan.duration_s:
        return f"at_s: {action.at_s:g} is not between 0 and the duration of the soak"
    if not 0 <= action.duration_s <= plan.duration_s:
        return f"duration_s: {action.duration_s:g} is not between 0 and the duration of the soak"
    if not 0 <= action.amount <= 1000:
        return f"amount: {action.amount:g} is not 0 to 1000"
    allowed_names = names_of_kind(action.kind)
    if allowed_names and action.name not in allowed_names:
        return f"name: {action.name!r} is none of {', '.join(allowed_names)}"
    if action.kind is ActionKind.LINK_CUT and action.way not in DIRECTIONS:
        return f"way: {action.way!r} is none of {', '.join(DIRECTIONS)}"
    replica_kinds = (*REPLICA_KINDS, *RESTART_KINDS, ActionKind.REPLICA_RELEASE)
    targets_replicas = action.kind in replica_kinds or action.name == "replicas"
    target_count = plan.replicas if targets_replicas else plan.nodes
    if any(not 0 <= target < target_count for target in action.targets):
        return f"targets: {action.targets} are not all below {target_count}"
    return ""


def names_of_kind(kind: ActionKind) -> tuple[str, ...]:
    """Return the allowed names for a kind of action; empty if it has none."""
    if kind in LINK_KINDS:
        return LINKS
    if kind is ActionKind.REPLICA_MISDEED:
        return MISDEEDS
    if kind in (ActionKind.KEY_REPLACE, ActionKind.HERD_JOBS, ActionKind.HERD_REQUESTS):
        return tuple(QUOTAS)
    if kind is ActionKind.JOB_ENDS:
        return JOB_ENDS_WAYS
    if kind is ActionKind.QUOTA_CHANGE:
        return LIMITED_TENANTS
    if kind is ActionKind.ROUTE_REMOVE:
        return REMOVABLE_ROUTES
    if kind is ActionKind.ROUTE_MOVE:
        return MOVABLE_ROUTES
    if kind is ActionKind.ZONE_DRAIN:
        return ZONES
    if kind in (ActionKind.REPLICA_RELEASE, ActionKind.REPLICA_JOIN):
        return SOFTWARE_VERSIONS
    return ()
