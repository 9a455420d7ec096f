"""Polls configuration sources, and decides when this node reads the store itself.

A node receives the list of its sources in its orders, the preferred one first; its own entry means
the store. It fails over to the next source if the current one does not answer, has an older version
or has lost the node that reads the store. It probes preferred sources at intervals and fails back
once they are usable. A node that isn't on its own list reads the store as its last resort. Callers
pass in the time, in seconds.
"""

import enum
from collections.abc import Callable
from random import Random

import attrs

from cloverwalk.core import catalogue
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.messages import (
    ConfigurationPartRequest,
    ConfigurationPoll,
    ConfigurationStatus,
    Contact,
)
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.telemetry.log import ServingLog

POLL_INTERVAL_S = 0.4
ANSWER_TIMEOUT_S = 0.25
"""An unanswered poll is repeated after this time, and its source abandoned after twice this time.
With the poll interval this adds up to less than a second."""

PROBE_INTERVAL_S = 1.0
"""Interval at which preferred sources are probed after a failover."""

MAX_READER_AGE_MS = 1500
"""A source is abandoned if its reader was last known to reach the store longer ago than this."""

MAX_READER_FAILURE_S = 0.4
"""A reader whose calls have failed for longer reports its failure to its pollers."""

READER_CHECK_INTERVAL_S = 0.2
"""Interval at which a reader checks for failing calls of the store."""

PART_TIMEOUT_S = 0.4
"""Missing parts are requested if no part arrives for this time."""

SOURCES_TIMEOUT_S = 1.0
"""A starting node waits this long for its sources, plus a random delay, before it reads the
store."""

STORE_READ_JITTER_S = 1.0
"""Maximum random delay before a node reads the store as its last resort."""

LOST_READER_AGE_MS = 1_000_000
"""Reported age of a reader that is unknown or whose calls fail."""

MAX_PENDING_POLLS = 32
"""Maximum number of polls whose send times are kept."""


class ReadReason(enum.Enum):
    """Why a node reads the configuration from the store."""

    ASSIGNED = "assigned"
    NO_LIST = "no_list"
    SOURCES_LOST = "sources_lost"


class LossReason(enum.Enum):
    """Why a source is abandoned."""

    UNRESPONSIVE = "unresponsive"
    OLDER = "older"
    NO_READER = "no_reader"
    REFUSED = "store_fails"


@attrs.frozen
class _Poll:
    host: str
    sent_at: float


@attrs.define
class _Transfer:
    """A newer version whose parts are being received."""

    version: int
    parts: int
    host: str
    progress_at: float
    confirmed_at: float


MissingParts = Callable[[int, int], list[int]]
"""Returns the indexes of the parts of a version that have not arrived."""


class ConfigurationSubscription:
    """Polls the sources of this node, and decides when it reads the store."""

    def __init__(
        self,
        identity: Identity,
        region: str,
        transport: Sender,
        configuration: ConfigurationHolder,
        missing_parts: MissingParts,
        store_failing_for_s: Callable[[float, float], float],
        random: Random,
        log: ServingLog,
        now: float,
    ) -> None:
        self._identity = identity
        self._region = region
        self._transport = transport
        self._configuration = configuration
        self._missing_parts = missing_parts
        self._store_failing_for_s = store_failing_for_s
        self._random = random
        self._log = log
        self._sources: tuple[Contact, ...] = ()
        self._index = 0
        self._is_last_resort = False
        self._reads_at = now + SOURCES_TIMEOUT_S + random.random() * STORE_READ_JITTER_S
        """When this node starts to read the store if it has no list or all sources are lost."""

        self._reading_since: float | None = None
        self._polls: dict[int, _Poll] = {}
        self._number = 0
        self._unanswered: list[float] = []
        """Send times of the unanswered polls of the current source."""

        self._polled_at = float("-inf")
        self._probed_at = now
        self._transfer: _Transfer | None = None
        self._reader = ""
        self._reader_seen_at = now
        self._lost_hosts: set[str] = set()
        self.resume_version = -1
        """Store version up to which this node's configuration is the newest; -1: not known."""

        self.sources_lost = 0
        self.parts_requested = 0

    # --- state ---

    def reads_store(self, now: float) -> bool:
        """Whether this node follows the configuration in the store."""
        if self._sources and not self._is_last_resort:
            return self._current.node == self._identity.node
        return now >= self._reads_at

    def reader(self, now: float) -> tuple[str, int]:
        """Return the node that reads the store for this one and the age of its last success."""
        if self._reading_since is not None:
            is_failing = self._store_failing_for_s(self._reading_since, now) > MAX_READER_FAILURE_S
            return self._identity.node, LOST_READER_AGE_MS if is_failing else 0
        age_ms = int((now - self._reader_seen_at) * 1000)
        return self._reader, min(LOST_READER_AGE_MS, age_ms)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store now."""
        return self._reading_since is not None

    @property
    def source(self) -> str:
        """Name of the node that is polled; empty if this node reads the store."""
        if not self._sources or self._is_last_resort or self._current.node == self._identity.node:
            return ""
        return self._current.node

    @property
    def _current(self) -> Contact:
        return self._sources[self._index]

    # --- the list ---

    def set_sources(self, sources: tuple[Contact, ...], now: float) -> None:
        """Adopt a list from orders; an empty list is ignored."""
        if not sources or sources == self._sources:
            return
        if not self._sources:
            self._reader_seen_at = now
        keeps_source = bool(self._sources) and self._index == 0 and self._current == sources[0]
        self._sources = sources
        if not keeps_source:
            self._select(0, now)

    def _select(self, index: int, now: float) -> None:
        self._index = index
        self._is_last_resort = index == len(self._sources)
        self._unanswered = []
        self._polled_at = float("-inf")
        self._probed_at = now
        if self._is_last_resort:
            self._reads_at = now + self._random.random() * STORE_READ_JITTER_S
        self._update_reading(now)

    def _fail_over(self, reason: LossReason, now: float) -> None:
        """Switch to the next source; after the last one to the store, then to the first again."""
        host = self._identity.host if self._is_last_resort else self._current.host
        if self._transfer is not None and self._transfer.host == host:
            self._transfer = None
        if host not in self._lost_hosts:
            self._lost_hosts.add(host)
            self.sources_lost += 1
            self._log.write(
                catalogue.CONFIGURATION_SOURCE_LOST,
                source=self._identity.node if self._is_last_resort else self._current.node,
                reason=reason.value,
            )
        is_listed = any(entry.node == self._identity.node for entry in self._sources)
        places = len(self._sources) + (0 if is_listed else 1)
        self._select((self._index + 1) % places, now)

    def _update_reading(self, now: float) -> None:
        """Record and log when this node starts or stops reading the store."""
        reads = self.reads_store(now)
        if reads == (self._reading_since is not None):
            return
        self._reading_since = now if reads else None
        if not reads:
            self._reader, self._reader_seen_at = self._identity.node, now
            return
        reason = ReadReason.SOURCES_LOST if self._is_last_resort else ReadReason.ASSIGNED
        self._log.write(
            catalogue.CONFIGURATION_READ_NEEDED,
            reason=(reason if self._sources else ReadReason.NO_LIST).value,
            version=self._configuration.version,
            resumes_at=self.resume_version,
        )

    # --- time ---

    def due_at(self, now: float) -> float:
        """Return when ``tick`` has to be called again."""
        interval_s = READER_CHECK_INTERVAL_S if self.is_reader else POLL_INTERVAL_S
        due = [(self._polled_at if self.source else now) + interval_s]
        if self._unanswered:
            due.append(self._unanswered[-1] + ANSWER_TIMEOUT_S)
        if self._transfer is not None:
            due.append(self._transfer.progress_at + PART_TIMEOUT_S)
        if self._reading_since is None and (self._is_last_resort or not self._sources):
            due.append(self._reads_at)
        return min(due)

    def tick(self, now: float) -> None:
        """Send the polls and part requests that are due; fail over if needed."""
        self._update_reading(now)
        if not self._sources:
            return
        if self._reading_since is not None:
            if self._store_failing_for_s(self._reading_since, now) > MAX_READER_FAILURE_S:
                self._fail_over(LossReason.REFUSED, now)
        elif self.source:
            self._poll_source(now)
        self._probe_preferred(now)
        self._request_missing_parts(now)

    def _poll_source(self, now: float) -> None:
        if self._unanswered and now - self._unanswered[-1] < ANSWER_TIMEOUT_S:
            return
        if len(self._unanswered) >= 2:
            self._fail_over(LossReason.UNRESPONSIVE, now)
        if not self.source:
            return
        if self._unanswered or now - self._polled_at >= POLL_INTERVAL_S:
            self._polled_at = now
            self._unanswered.append(now)
            self._send_poll(self._current.host, now, subscribes=True)

    def _send_poll(self, host: str, now: float, subscribes: bool) -> None:
        self._number += 1
        self._polls[self._number] = _Poll(host, now)
        if len(self._polls) > MAX_PENDING_POLLS:
            del self._polls[next(iter(self._polls))]
        poll = ConfigurationPoll(
            self._configuration.version, self._number, self._region, subscribes
        )
        self._transport.send(host, poll)

    def _probe_preferred(self, now: float) -> None:
        """Probe the sources that are preferred to the current one."""
        interval_s = POLL_INTERVAL_S if self._is_last_resort else PROBE_INTERVAL_S
        if self._index == 0 or now - self._probed_at < interval_s:
            return
        self._probed_at = now
        for contact in self._sources[: self._index]:
            if contact.node == self._identity.node:
                if self._store_failing_for_s(float("-inf"), now) == 0:
                    self._select(self._sources.index(contact), now)
                    return
            else:
                self._send_poll(contact.host, now, subscribes=False)

    def _request_missing_parts(self, now: float) -> None:
        transfer = self._transfer
        if transfer is None or now - transfer.progress_at < PART_TIMEOUT_S:
            return
        if transfer.version <= self._configuration.version:
            self._transfer = None
            return
        transfer.progress_at = now
        missing = self._missing_parts(transfer.version, transfer.parts)
        self.parts_requested += len(missing)
        self._log.write(
            catalogue.CONFIGURATION_PARTS_REPEATED,
            version=transfer.version,
            missing=len(missing),
            parts=transfer.parts,
        )
        self._transport.send(transfer.host, ConfigurationPartRequest(transfer.version, missing))

    # --- messages ---

    def poll_sent_at(self, number: int, host: str) -> float | None:
        """Return when a poll was sent to a host, None if it is unknown."""
        poll = self._polls.get(number)
        return poll.sent_at if poll is not None and poll.host == host else None

    def handle_status(self, status: ConfigurationStatus, host: str, now: float) -> None:
        """Process a source's answer; fail over, or fail back to a preferred source, if needed."""
        sent_at = self.poll_sent_at(status.poll, host)
        if sent_at is None:
            return
        confirmed_at = sent_at - max(0, status.age_ms) / 1000
        self._record_version(status, host, confirmed_at, now)
        problem = self._problem(status)
        if self.source and host == self._current.host:
            self._unanswered = [later for later in self._unanswered if later > sent_at]
            self._record_reader(status, sent_at)
            if problem is not None:
                self._fail_over(problem, now)
            else:
                self._lost_hosts.discard(host)
        elif problem is None:
            self._fail_back(host, status, sent_at, now)

    def _record_version(
        self, status: ConfigurationStatus, host: str, confirmed_at: float, now: float
    ) -> None:
        """Confirm this node's version, or start receiving a newer one."""
        own = self._configuration.version
        if status.version == own:
            self._configuration.record_confirmation(own, confirmed_at)
            self.resume_version = max(self.resume_version, status.store_version)
        elif status.version > own and status.parts > 0:
            transfer = self._transfer
            if transfer is None or transfer.version < status.version:
                self._transfer = _Transfer(status.version, status.parts, host, now, confirmed_at)
            elif transfer.version == status.version:
                transfer.confirmed_at = max(transfer.confirmed_at, confirmed_at)
                transfer.host = host

    def _record_reader(self, status: ConfigurationStatus, sent_at: float) -> None:
        self._reader = status.reader
        # A reported failure overrides earlier successes.
        seen_at = sent_at - max(0, status.reader_age_ms) / 1000
        is_lost = status.reader_age_ms >= LOST_READER_AGE_MS
        self._reader_seen_at = seen_at if is_lost else max(seen_at, self._reader_seen_at)

    def _problem(self, status: ConfigurationStatus) -> LossReason | None:
        if status.reader == self._identity.node or status.reader_age_ms > MAX_READER_AGE_MS:
            return LossReason.NO_READER
        return LossReason.OLDER if status.version < self._configuration.version else None

    def _fail_back(
        self, host: str, status: ConfigurationStatus, sent_at: float, now: float
    ) -> None:
        preferred = [contact.host for contact in self._sources[: self._index]]
        if host in preferred:
            self._lost_hosts.discard(host)
            self._select(preferred.index(host), now)
            self._record_reader(status, sent_at)

    def has_polled(self, host: str) -> bool:
        """Whether this node has polled a host recently."""
        return any(poll.host == host for poll in self._polls.values())

    def record_part(self, version: int, now: float) -> None:
        """Restart the part timeout after a part of a version has arrived."""
        if self._transfer is not None and self._transfer.version == version:
            self._transfer.progress_at = now

    def record_applied(self) -> None:
        """Confirm the version just applied, as of the time when a source confirmed it."""
        transfer = self._transfer
        if transfer is not None and transfer.version <= self._configuration.version:
            self._configuration.record_confirmation(transfer.version, transfer.confirmed_at)
            self._transfer = None
