"""Answers polls for the configuration and sends its parts at a limited rate.

A new version is announced to the nodes that polled recently, and its parts are pushed to them; they
request the parts that get lost. Nodes in other regions have a separate rate limit, so that the
parts do not saturate a shared link between regions.
"""

from collections.abc import Callable, Iterable

import attrs
import curio

from cloverwalk.fleet.configuration_copy import compact_parts
from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationPartRequest,
    ConfigurationPoll,
    ConfigurationStatus,
)
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder

SUBSCRIPTION_S = 2.0
"""New versions are sent to the nodes that have polled within this time."""

LOCAL_BYTES_PER_S = 4_000_000.0
"""Rate limit of parts to nodes in this region; lower on a machine with a slow link."""

REMOTE_BYTES_PER_S = 1_000_000.0
"""Rate limit of parts to nodes in other regions."""

MAX_LINK_FRACTION = 0.5
"""Maximum fraction of the machine's link for each of the two rate limits."""

MAX_POLL_REORDERING = 8
"""A poll whose number is lower than the last one by more than this is not reordered: the node has
restarted and numbers its polls from the beginning."""

MakeStatus = Callable[[int, int, float], ConfigurationStatus]
"""Returns this node's status, given the number of parts, the receiver's last poll, and the time."""


@attrs.define
class _Subscriber:
    """A node that polls this one."""

    region: str
    poll: int
    polled_at: float
    sent_version: int = -1
    """The newest version whose parts were queued for the node."""


_QueuedPart = tuple[str, int, int]
"""Host, version and index of a part."""


class _PacedQueue:
    """Parts that wait to be sent, first in, first out, at a limited rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._waiting: dict[_QueuedPart, None] = {}
        self._next_send_at = float("-inf")

    def add(self, host: str, version: int, indexes: Iterable[int]) -> None:
        """Add parts for a host, except those that are queued already."""
        self._waiting.update(dict.fromkeys((host, version, index) for index in indexes))

    def clear(self) -> None:
        """Drop all parts."""
        self._waiting.clear()

    def due_at(self) -> float:
        """Return when the next part may be sent; infinite if the queue is empty."""
        return self._next_send_at if self._waiting else float("inf")

    def pop(self) -> _QueuedPart:
        """Remove and return the next part."""
        key = next(iter(self._waiting))
        del self._waiting[key]
        return key

    def record_sent(self, size: int, now: float) -> None:
        """Delay the next part by the time that ``size`` bytes take at the limited rate."""
        self._next_send_at = max(now, self._next_send_at) + size / self._bytes_per_s


class ConfigurationPublisher:
    """Sends this node's configuration to the nodes that poll it."""

    def __init__(
        self,
        region: str,
        transport: Sender,
        configuration: ConfigurationHolder,
        make_status: MakeStatus,
        link_bytes_per_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._transport = transport
        self._configuration = configuration
        self._make_status = make_status
        self._clock = clock
        link = MAX_LINK_FRACTION * link_bytes_per_s or float("inf")
        self._local = _PacedQueue(min(LOCAL_BYTES_PER_S, link))
        self._remote = _PacedQueue(min(REMOTE_BYTES_PER_S, link))
        self._subscribers: dict[str, _Subscriber] = {}
        self._parts: list[CompactConfigurationPart] = []
        """The parts of the version that this node offers."""

        self._incoming: dict[int, CompactConfigurationPart] = {}
        """The parts of a newer version received so far, which are forwarded."""

        self._has_work = curio.Event()
        self.parts_sent = 0
        self.bytes_sent = 0

    @property
    def subscribers(self) -> int:
        """Number of nodes that polled recently."""
        since = self._clock() - SUBSCRIPTION_S
        return sum(subscriber.polled_at >= since for subscriber in self._subscribers.values())

    # --- messages ---

    async def handle_poll(self, poll: ConfigurationPoll, host: str) -> None:
        """Answer a poll; send the parts of a newer version unless they were sent before."""
        now = self._clock()
        if poll.subscribes:
            subscriber = self._record_subscriber(poll, host, now)
            if poll.version < self._prepared_version and subscriber.sent_version < (
                self._prepared_version
            ):
                await self._queue_all([host])
        self._send_status(host, poll.number, now)

    def _record_subscriber(self, poll: ConfigurationPoll, host: str, now: float) -> _Subscriber:
        known = self._subscribers.get(host)
        if known is None or poll.number + MAX_POLL_REORDERING < known.poll:
            # The node has restarted and has none of the parts that were sent before.
            known = self._subscribers[host] = _Subscriber(poll.region, poll.number, now)
        known.region, known.polled_at = poll.region, now
        known.poll = max(known.poll, poll.number)
        return known

    async def handle_part_request(self, request: ConfigurationPartRequest, host: str) -> None:
        """Queue the requested parts if this node offers that version."""
        version = self._prepared_version
        if request.version != version:
            return
        known = set(range(len(self._parts)))
        wanted = known & set(request.parts) if request.parts else known
        self._queue_of(host).add(host, version, sorted(wanted))
        await self._has_work.set()

    def announce(self) -> None:
        """Send this node's status to the nodes that polled recently."""
        now = self._clock()
        for host, subscriber in self._recent_subscribers(now):
            self._send_status(host, subscriber.poll, now)

    async def notify_version_changed(self) -> None:
        """Make ``run`` prepare and send the current version; call this after it has changed."""
        await self._has_work.set()

    async def forward(self, part: CompactConfigurationPart) -> None:
        """Forward a part of a newer version before all parts have arrived.

        The version is announced only after this node has decoded it.
        """
        version = max(self._incoming_version, self._prepared_version)
        if part.version < version or part.version == self._prepared_version:
            return
        if part.version > version:
            self._incoming = {}
            self._clear_queues()
        if part.part in self._incoming:
            return
        self._incoming[part.part] = part
        for host, subscriber in self._recent_subscribers(self._clock()):
            subscriber.sent_version = part.version
            self._queue_of(host).add(host, part.version, [part.part])
        await self._has_work.set()

    def discard_incoming(self) -> None:
        """Discard the parts of a newer version, which could not be decoded."""
        self._incoming = {}
        self._clear_queues()

    def _clear_queues(self) -> None:
        self._local.clear()
        self._remote.clear()

    # --- sending ---

    async def run(self) -> None:
        """Send new versions and queued parts until cancelled."""
        while True:
            if self._prepared_version < self._configuration.version:
                await self._prepare()
            now = self._clock()
            due_at = self._send_due_parts(now)
            self._has_work.clear()
            if self._prepared_version < self._configuration.version:
                continue
            async with curio.ignore_after(max(0.0, min(due_at - now, SUBSCRIPTION_S))):
                await self._has_work.wait()

    async def _prepare(self) -> None:
        current = self._configuration.current
        if current is None:
            return
        if self._incoming_version == current.version and self._has_all_incoming:
            self._parts = [self._incoming[index] for index in sorted(self._incoming)]
        else:
            self._parts = await compact_parts(current)
            self._clear_queues()
        if self._incoming_version <= current.version:
            self._incoming = {}
        recent = self._recent_subscribers(self._clock())
        self._subscribers = dict(recent)
        self.announce()
        outdated_hosts = [host for host, one in recent if one.sent_version < self._prepared_version]
        await self._queue_all(outdated_hosts)

    async def _queue_all(self, hosts: list[str]) -> None:
        """Queue all parts for hosts, interleaved so that no host gets them in one burst."""
        for host in hosts:
            self._subscribers[host].sent_version = self._prepared_version
        for index in range(len(self._parts)):
            for host in hosts:
                self._queue_of(host).add(host, self._prepared_version, [index])
        await self._has_work.set()

    def _send_due_parts(self, now: float) -> float:
        """Send the parts that are due; return when the next one is."""
        for queue in (self._remote, self._local):
            while queue.due_at() <= now:
                host, version, index = queue.pop()
                part = self._part(version, index)
                if part is None:
                    continue
                self._transport.send(host, part)
                self.parts_sent += 1
                self.bytes_sent += len(part.data)
                queue.record_sent(len(part.data), now)
        return min(self._remote.due_at(), self._local.due_at())

    def _queue_of(self, host: str) -> _PacedQueue:
        subscriber = self._subscribers.get(host)
        is_local = subscriber is not None and subscriber.region == self._region
        return self._local if is_local else self._remote

    def _recent_subscribers(self, now: float) -> list[tuple[str, _Subscriber]]:
        return [
            (host, subscriber)
            for host, subscriber in self._subscribers.items()
            if now - subscriber.polled_at <= SUBSCRIPTION_S
        ]

    def _send_status(self, host: str, poll: int, now: float) -> None:
        is_prepared = self._prepared_version == self._configuration.version
        parts = len(self._parts) if is_prepared else 0
        self._transport.send(host, self._make_status(parts, poll, now))

    @property
    def _incoming_version(self) -> int:
        return next((part.version for part in self._incoming.values()), -1)

    @property
    def _has_all_incoming(self) -> bool:
        return all(len(self._incoming) == part.parts for part in self._incoming.values())

    def _part(self, version: int, index: int) -> CompactConfigurationPart | None:
        if version == self._prepared_version:
            return self._parts[index]
        return self._incoming.get(index) if version == self._incoming_version else None

    @property
    def _prepared_version(self) -> int:
        return self._parts[0].version if self._parts else -1
