"""How full a node's machine is, and whether the node takes more work.

No I/O: figures and time are passed in. The verdict is about new work only; it has no handle on
what is in flight.
"""

import enum
import math

import attrs

AVERAGE_S = 2.0
"""Rates are averaged over about this time: the platform acts on two of its questions in a row, one
a second, so a shorter peak is over before anything is done about it."""

FULL_THRESHOLD = 0.85
"""A node this full takes no new connections; the rest is for the requests of the open ones."""

FREE_AT = 0.65
"""A full node takes again below this: it can take its equal share of the clients back then."""

OVER_AT = 1.0
UNDER_AT = 0.9
"""A node over its machine is so no more below this."""

USABLE_PROCESSOR = 0.95
"""Share of its processor time that a process gets at the most; the kernel has the rest."""

MOST_THREADS = 1.5
"""A process with one busy thread can't spend more processor time than this many times what passes.
A clock that says so measures something else, and the processor is left out from then on."""

CLOCK_SLACK_S = 0.05
"""The two clocks are not read at the same moment."""

LATE_S = 0.1
"""A loop that is late by this delays both the start and the end of an answer by about a tenth of a
second each. A busy processor whose loop is less late still serves in time."""

MARGIN = 0.15
"""How much fuller than its peers a node is before it turns work away. Less than this is chance, and
the peers would be as full with its work."""

PEERS_FRESH_S = 5.0
"""What was told of the peers counts for so long; without it a node turns nothing away."""

DWELL_S = 2.0
"""A verdict holds for at least this long."""

UNREADY_SHARE = 0.1
"""Share of its time for which a node may be not ready. Operators take a machine that is not ready
for more than an eighth of its time for one that fails its duty."""

MOST_UNREADY_S = 6.0
LEAST_UNREADY_S = 3.0
"""Being not ready for less has no effect: the platform waits for two answers in a row."""

UNTOLD = 0
"""Stands for a limit, or for peers, that nobody has told."""


class Resource(enum.Enum):
    """What a machine can run out of."""

    CONNECTIONS = "connections"
    LINK = "link"
    PROCESSOR = "processor"
    MEMORY = "memory"


class OverloadState(enum.Enum):
    """What a node takes."""

    NORMAL = "takes_all"
    FULL = "takes_no_new"
    """It asks for no new connections, and serves what comes all the same."""

    OVERLOADED = "over"
    """It refuses new requests and jobs at once."""


@attrs.frozen
class MachineCapacity:
    """What a machine gives a node; ``UNTOLD`` where a limit is not known."""

    connections: int = UNTOLD
    link_bytes_per_s: float = UNTOLD
    processor: float = UNTOLD
    """Cores that the process can use; it has one busy thread, so one at the most."""

    held_bytes: int = UNTOLD
    """What may be held for clients, replicas and jobs."""


@attrs.frozen
class Usage:
    """What is in use at one moment. The first two go on all the time, from any figure; a process
    clock also from one below zero."""

    sent_bytes: int = 0
    processor_s: float = 0.0
    connections: int = 0
    held_bytes: int = 0
    late_s: float = 0.0
    """How much later than planned the loop came to tell this."""

    @property
    def is_valid(self) -> bool:
        """Whether these can be figures of a process."""
        counts = (self.sent_bytes, self.connections, self.held_bytes, self.late_s)
        return math.isfinite(self.processor_s) and all(
            math.isfinite(one) and one >= 0 for one in counts
        )


@attrs.define
class _Average:
    """An average that forgets what is much older than ``AVERAGE_S``."""

    value: float = 0.0

    def add(self, value: float, over_s: float) -> None:
        weight = 1.0 - math.exp(-over_s / AVERAGE_S)
        self.value += weight * (value - self.value)


class OverloadMonitor:
    """Tells how full a machine is by whatever is scarcest, and what the node takes.

    >>> room = OverloadMonitor(MachineCapacity(connections=100), now=0.0)
    >>> room.set_peer_utilization(20, now=2.0)
    True
    >>> room.update(Usage(connections=90), now=2.0)
    True
    >>> room.state, room.scarcest, room.utilization
    (<OverloadState.FULL: 'takes_no_new'>, <Resource.CONNECTIONS: 'connections'>, 0.9)
    """

    def __init__(self, size: MachineCapacity, now: float) -> None:
        self._size = size
        self._last: Usage | None = None
        self._looked_at = now
        self._sent = _Average()
        self._processor = _Average()
        self._late = _Average()
        self._has_processor_clock = True
        self._peers = 0.0
        self._peers_at = float("-inf")
        self._changed_at = now
        self._over_since: float | None = None
        self._unready_left_s = MOST_UNREADY_S
        self.by_resource: dict[Resource, float] = dict.fromkeys(Resource, 0.0)
        self.state = OverloadState.NORMAL
        self.is_ready = True
        """Whether the node should call itself ready, as far as its room goes."""

    @property
    def scarcest(self) -> Resource:
        """What the machine has the least left of."""
        return max(Resource, key=lambda one: self.by_resource[one])

    @property
    def utilization(self) -> float:
        """How much of the scarcest resource is in use; 1 is all of it."""
        return self.by_resource[self.scarcest]

    def overloaded_for_s(self, now: float) -> float:
        """Return for how long the node has been over its machine; 0 while it is not."""
        return 0.0 if self._over_since is None else now - self._over_since

    def set_peer_utilization(self, percent: int, now: float) -> bool:
        """Take how full the nodes are that get the same clients; return whether it can be so."""
        if percent == UNTOLD:
            return True
        if percent < 0:
            return False
        self._peers, self._peers_at = percent / 100, now
        return True

    def update(self, usage: Usage, now: float) -> bool:
        """Judge by present figures; return whether all can be true. Others are left out.

        A process clock that can't be one is told once.
        """
        passed_s = now - self._looked_at
        if passed_s < 0 or not usage.is_valid:
            return False
        before, self._last = self._last, usage
        self._looked_at = now
        is_credible = True
        if before is not None and passed_s > 0:
            is_credible = self._average(before, usage, passed_s)
        self._measure(usage)
        self._judge(now)
        self._set_ready(passed_s)
        return is_credible

    def _average(self, before: Usage, usage: Usage, passed_s: float) -> bool:
        """Take rates; return False where the process clock turns out to be none."""
        sent = max(0, usage.sent_bytes - before.sent_bytes)
        self._sent.add(sent / passed_s, passed_s)
        self._late.add(usage.late_s, passed_s)
        if not self._has_processor_clock:
            return True
        spent_s = usage.processor_s - before.processor_s
        if 0 <= spent_s <= MOST_THREADS * passed_s + CLOCK_SLACK_S:
            self._processor.add(spent_s / passed_s, passed_s)
            return True
        self._has_processor_clock = False
        self._processor = _Average()
        return False

    def _measure(self, usage: Usage) -> None:
        size = self._size
        self.by_resource = {
            Resource.CONNECTIONS: _share(usage.connections, size.connections),
            Resource.LINK: _share(self._sent.value, size.link_bytes_per_s),
            Resource.PROCESSOR: _share(self._processor.value, USABLE_PROCESSOR * size.processor),
            Resource.MEMORY: _share(usage.held_bytes, size.held_bytes),
        }

    def _judge(self, now: float) -> None:
        wanted = self._wanted(now)
        if wanted is not self.state and now - self._changed_at >= DWELL_S:
            self.state = wanted
            self._changed_at = now
            self._over_since = now if wanted is OverloadState.OVERLOADED else None

    def _wanted(self, now: float) -> OverloadState:
        if now - self._peers_at > PEERS_FRESH_S:
            return OverloadState.NORMAL
        was_full = self.state is not OverloadState.NORMAL
        ahead = self.utilization - self._peers
        if ahead < (MARGIN / 2 if was_full else MARGIN):
            return OverloadState.NORMAL
        over_at = UNDER_AT if self.state is OverloadState.OVERLOADED else OVER_AT
        if self._load() >= over_at:
            return OverloadState.OVERLOADED
        if self.utilization >= (FREE_AT if was_full else FULL_THRESHOLD):
            return OverloadState.FULL
        return OverloadState.NORMAL

    def _load(self) -> float:
        """Return the fullness beyond which work comes late; a busy processor alone is no harm."""
        if self._late.value >= LATE_S:
            return self.utilization
        return max(self.by_resource[one] for one in Resource if one is not Resource.PROCESSOR)

    def _set_ready(self, passed_s: float) -> None:
        if self.is_ready:
            earned_s = self._unready_left_s + UNREADY_SHARE * passed_s
            self._unready_left_s = min(MOST_UNREADY_S, earned_s)
        else:
            self._unready_left_s = max(0.0, self._unready_left_s - passed_s)
        least_s = LEAST_UNREADY_S if self.is_ready else 0.0
        is_full = self.state is not OverloadState.NORMAL
        self.is_ready = not (is_full and self._unready_left_s > least_s)


def _share(used: float, limit: float) -> float:
    return used / limit if limit > 0 else 0.0
