"""The utilization of a node's machine, and whether the node accepts more work.

No I/O: usage and time are passed in. The state concerns new work only; work in flight is not
touched.
"""

import enum
import math

import attrs

AVERAGING_TIME_S = 2.0
"""Time constant of the averages. The platform acts on two readiness probes in a row, one a second,
so a shorter peak is over before it would act."""

FULL_THRESHOLD = 0.85
"""Utilization at which a node asks for no new connections; the remainder serves the open ones."""

FULL_END_THRESHOLD = 0.65
"""Utilization below which a full node accepts new connections again: low enough for it to take back
its equal share of the clients."""

OVERLOADED_THRESHOLD = 1.0
OVERLOADED_END_THRESHOLD = 0.9
"""Utilization below which an overloaded node is overloaded no more."""

USABLE_PROCESSOR_SHARE = 0.95
"""Share of its processor time that a process can use at most; the kernel uses the remainder."""

MAX_PROCESSOR_RATE = 1.5
"""Maximum processor time per elapsed time of a process with one busy thread. A clock that runs
faster measures something else, and the processor is ignored from then on."""

CLOCK_SLACK_S = 0.05
"""Tolerance for the process clock, since the monotonic clock is not read at the same moment."""

LATE_LOOP_THRESHOLD_S = 0.1
"""Delay of the event loop at which requests are late: it delays both the start and the end of an
answer. Below it a busy processor still serves in time."""

PEER_MARGIN = 0.15
"""How far a node's utilization must exceed that of its peers before it turns work away. A smaller
difference is chance, and the peers would be as full with its work."""

PEER_UTILIZATION_TTL_S = 5.0
"""How long a reported utilization of the peers counts; without one a node turns no work away."""

MIN_STATE_DURATION_S = 2.0
"""Minimum time between two changes of the state."""

MAX_UNREADY_SHARE = 0.1
"""Share of its time for which a node may be not ready. Operators treat a machine that is not ready
for more than an eighth of the time as failing."""

MAX_UNREADY_S = 6.0
"""Maximum time for which a node is not ready at a stretch, to the precision of the samples."""

MIN_UNREADY_S = 3.0
"""A shorter time has no effect: the platform acts on two readiness probes in a row."""

UNKNOWN = 0
"""Stands for a limit or a peer utilization that was not reported."""


class Resource(enum.Enum):
    """What a machine can run out of."""

    CONNECTIONS = "connections"
    LINK = "link"
    PROCESSOR = "processor"
    MEMORY = "memory"


class OverloadState(enum.Enum):
    """Which work a node accepts."""

    NORMAL = "takes_all"
    FULL = "takes_no_new"
    """It asks for no new connections, and still serves those that come."""

    OVERLOADED = "over"
    """It refuses new requests and jobs at once."""


@attrs.frozen
class MachineCapacity:
    """The limits of a machine; ``UNKNOWN`` for those that are not set."""

    connections: int = UNKNOWN
    link_bytes_per_s: float = UNKNOWN
    processor: float = UNKNOWN
    """Cores that the process can use; at most one, since it has one busy thread."""

    held_bytes: int = UNKNOWN
    """Limit of the memory buffered for clients, replicas and jobs."""


@attrs.frozen
class Usage:
    """What is in use at one moment. The first two are counters that start anywhere; the process
    clock may start below zero."""

    sent_bytes: int = 0
    processor_s: float = 0.0
    connections: int = 0
    held_bytes: int = 0
    late_s: float = 0.0
    """How much later than planned the event loop took this sample."""

    @property
    def is_valid(self) -> bool:
        """Whether these can be the values of a process."""
        counts = (self.sent_bytes, self.connections, self.held_bytes, self.late_s)
        return math.isfinite(self.processor_s) and all(
            math.isfinite(count) and count >= 0 for count in counts
        )


@attrs.define
class _MovingAverage:
    """An exponential average with the time constant ``AVERAGING_TIME_S``."""

    value: float = 0.0

    def add(self, value: float, elapsed_s: float) -> None:
        weight = 1.0 - math.exp(-elapsed_s / AVERAGING_TIME_S)
        self.value += weight * (value - self.value)


class OverloadMonitor:
    """Computes the utilization of the scarcest resource, and the state that follows from it.

    >>> monitor = OverloadMonitor(MachineCapacity(connections=100), now=0.0)
    >>> monitor.set_peer_utilization(20, now=2.0)
    True
    >>> monitor.update(Usage(connections=90), now=2.0)
    True
    >>> monitor.state, monitor.scarcest, monitor.utilization
    (<OverloadState.FULL: 'takes_no_new'>, <Resource.CONNECTIONS: 'connections'>, 0.9)
    """

    def __init__(self, capacity: MachineCapacity, now: float) -> None:
        self._capacity = capacity
        self._last_usage: Usage | None = None
        self._updated_at = now
        self._send_rate = _MovingAverage()
        self._processor_rate = _MovingAverage()
        self._lateness_s = _MovingAverage()
        self._has_processor_clock = True
        self._peer_utilization = 0.0
        self._peer_utilization_at = float("-inf")
        self._changed_at = now
        self._overloaded_since: float | None = None
        self._unready_budget_s = MAX_UNREADY_S
        self.by_resource: dict[Resource, float] = dict.fromkeys(Resource, 0.0)
        self.state = OverloadState.NORMAL
        self.is_ready = True
        """Whether the machine's utilization lets the node report itself as ready."""

    @property
    def scarcest(self) -> Resource:
        """The resource with the highest utilization."""
        return max(Resource, key=lambda resource: self.by_resource[resource])

    @property
    def utilization(self) -> float:
        """The utilization of the scarcest resource; 1.0 is all of it."""
        return self.by_resource[self.scarcest]

    def overloaded_for_s(self, now: float) -> float:
        """Return for how long the node has been overloaded; 0 while it is not."""
        return 0.0 if self._overloaded_since is None else now - self._overloaded_since

    def set_peer_utilization(self, percent: int, now: float) -> bool:
        """Set the utilization of the nodes with the same clients; return whether it is valid."""
        if percent == UNKNOWN:
            return True
        if percent < 0:
            return False
        self._peer_utilization, self._peer_utilization_at = percent / 100, now
        return True

    def has_peer_with_room(self, now: float) -> bool:
        """Whether nodes with the same clients are known to be able to take more of them."""
        is_known = now - self._peer_utilization_at <= PEER_UTILIZATION_TTL_S
        return is_known and self._peer_utilization < FULL_END_THRESHOLD

    def update(self, usage: Usage, now: float) -> bool:
        """Update the state from a sample; return whether the sample is credible.

        An invalid sample is ignored. A process clock that runs too fast or backwards is reported
        once, and the processor is ignored from then on.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < 0 or not usage.is_valid:
            return False
        previous, self._last_usage = self._last_usage, usage
        self._updated_at = now
        is_credible = True
        if previous is not None and elapsed_s > 0:
            is_credible = self._update_rates(previous, usage, elapsed_s)
        self._update_utilization(usage)
        self._update_state(now)
        self._update_readiness(elapsed_s)
        return is_credible

    def _update_rates(self, previous: Usage, usage: Usage, elapsed_s: float) -> bool:
        """Update the rates; return False if the process clock turns out to be invalid."""
        sent_bytes = max(0, usage.sent_bytes - previous.sent_bytes)
        self._send_rate.add(sent_bytes / elapsed_s, elapsed_s)
        self._lateness_s.add(usage.late_s, elapsed_s)
        if not self._has_processor_clock:
            return True
        used_s = usage.processor_s - previous.processor_s
        if 0 <= used_s <= MAX_PROCESSOR_RATE * elapsed_s + CLOCK_SLACK_S:
            self._processor_rate.add(used_s / elapsed_s, elapsed_s)
            return True
        self._has_processor_clock = False
        self._processor_rate = _MovingAverage()
        return False

    def _update_utilization(self, usage: Usage) -> None:
        capacity = self._capacity
        self.by_resource = {
            Resource.CONNECTIONS: _ratio(usage.connections, capacity.connections),
            Resource.LINK: _ratio(self._send_rate.value, capacity.link_bytes_per_s),
            Resource.PROCESSOR: _ratio(
                self._processor_rate.value, USABLE_PROCESSOR_SHARE * capacity.processor
            ),
            Resource.MEMORY: _ratio(usage.held_bytes, capacity.held_bytes),
        }

    def _update_state(self, now: float) -> None:
        state = self._next_state(now)
        if state is not self.state and now - self._changed_at >= MIN_STATE_DURATION_S:
            self.state = state
            self._changed_at = now
            self._overloaded_since = now if state is OverloadState.OVERLOADED else None

    def _next_state(self, now: float) -> OverloadState:
        if now - self._peer_utilization_at > PEER_UTILIZATION_TTL_S:
            return OverloadState.NORMAL
        was_full = self.state is not OverloadState.NORMAL
        excess = self.utilization - self._peer_utilization
        if excess < (PEER_MARGIN / 2 if was_full else PEER_MARGIN):
            return OverloadState.NORMAL
        overloaded_threshold = (
            OVERLOADED_END_THRESHOLD
            if self.state is OverloadState.OVERLOADED
            else OVERLOADED_THRESHOLD
        )
        if self._critical_utilization() >= overloaded_threshold:
            return OverloadState.OVERLOADED
        if self.utilization >= (FULL_END_THRESHOLD if was_full else FULL_THRESHOLD):
            return OverloadState.FULL
        return OverloadState.NORMAL

    def _critical_utilization(self) -> float:
        """Return the utilization that delays work; the processor counts only with a late loop."""
        if self._lateness_s.value >= LATE_LOOP_THRESHOLD_S:
            return self.utilization
        return max(
            self.by_resource[resource]
            for resource in Resource
            if resource is not Resource.PROCESSOR
        )

    def _update_readiness(self, elapsed_s: float) -> None:
        if self.is_ready:
            earned_s = self._unready_budget_s + MAX_UNREADY_SHARE * elapsed_s
            self._unready_budget_s = min(MAX_UNREADY_S, earned_s)
        else:
            self._unready_budget_s = max(0.0, self._unready_budget_s - elapsed_s)
        min_budget_s = MIN_UNREADY_S if self.is_ready else 0.0
        is_full = self.state is not OverloadState.NORMAL
        self.is_ready = not (is_full and self._unready_budget_s > min_budget_s)


def _ratio(used: float, limit: float) -> float:
    return used / limit if limit > 0 else 0.0
