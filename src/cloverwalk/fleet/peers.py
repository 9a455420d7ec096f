"""Digests to and from the other nodes, by datagrams. Loss is repaired by the next digest."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio
from curio import socket
from msgspec import Struct

from cloverwalk.core import catalogue
from cloverwalk.fleet.digest import (
    ConfigurationCopy,
    Digest,
    DigestError,
    DirectoryCopy,
    Introduction,
    PeerDatagram,
    ReplicaCopy,
    StoreReturned,
    Waiting,
    YieldSlots,
    ZoneSummary,
    decode_datagram,
    encode_datagram,
    merge_waiting,
)
from cloverwalk.fleet.load import PEER_LOAD_VALID_S, LoadBook
from cloverwalk.fleet.zones import HeardSummary, ZoneMap, relay_of, zone_name
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.telemetry.log import ServingLog

SEND_EVERY_S = 0.03
"""Shortest time between digests to the own zone; they are sent when the load changed."""

OTHER_ZONES_EVERY_S = 0.2
"""Shortest time between digests to other zones, whose bytes cost more."""

OTHER_ZONES_CROWDED_EVERY_S = 0.06
"""The same while online work fills replicas: where the next request goes depends on each one."""

CROWDED_SHARE = 0.75
"""Share of a replica's slots with online work from which its load is told faster."""

MAX_DATAGRAMS_PER_S = 300.0
"""Digests, and sums of a zone, that a node sends at the most; a large fleet hears less often."""

QUIET_EVERY_S = 0.5
"""Longest time between digests."""

MAX_DATAGRAM_BYTES = 60_000
PEER_LOST_AFTER_S = 2.5
COPY_EVERY_S = 0.5
"""A peer that is behind gets a copy this often at the most."""

DIRECTORY_STALE_MS = 1500
DIRECTORY_FRESH_MS = 800
INTRODUCE_HOSTS = 16
FAR_PEER_LOST_AFTER_S = 12.0
"""The same for nodes of other zones in a large fleet: each hears from one every 3 s or so."""

RELAY_HEARD_S = 1.2
"""A peer that was silent for so long does not speak for its zone: its digests come every 0.5 s."""


class Peer(Struct):
    """A node that was heard."""

    node: str
    host: str
    zone: str
    heard_at: float
    digest: Digest | None = None
    copied_at: float = float("-inf")
    is_lost: bool = False


class PeerCodec(Struct):
    """Turns stored forms into the product's types, for copies from peers."""

    take_configuration: Callable[[bytes], bool]
    take_replica: Callable[[str, bytes, int], None]


class PeerNetwork:
    """All that this node hears of its peers and tells them."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        zone: str,
        address: tuple[str, int],
        seeds: list[str],
        loads: LoadBook,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        raw_replicas: dict[str, tuple[int, bytes]],
        codec: PeerCodec,
        log: ServingLog,
        clock: Callable[[], float],
        on_yield: Callable[[YieldSlots], Awaitable[None]],
        on_store_returned: Callable[[], Awaitable[None]],
        random: Random,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._zone = zone
        self._port = address[1]
        self._own_host = address[0]
        self._loads = loads
        self._configuration = configuration
        self._directory = directory
        self._raw_replicas = raw_replicas
        self._codec = codec
        self._log = log
        self._clock = clock
        self._on_yield = on_yield
        self._on_store_returned = on_store_returned
        self._random = random
        self._hosts = ZoneMap(address[0], zone)
        for host in seeds:
            self._hosts.add(host)
        self._summary_by_zone: dict[str, HeardSummary] = {}
        self._summary_sequence = 0
        self._summary_sent_at = float("-inf")
        self.peers: dict[str, Peer] = {}
        self.is_leaving = False
        self._sequence = 0
        self._sent_revision = -1
        self.waiting: Waiting = {}
        """Own waiting batch items by pool, as the next digest tells them."""

        self._sent_waiting: Waiting = {}
        self._sent_at = float("-inf")
        self._sent_to_all_at = float("-inf")
        self._sock: Any = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)

    def add_host(self, host: str, zone: str = "") -> None:
        """A node of the fleet is at this host, in this zone where that is known."""
        self._hosts.add(host, zone)

    def live(self) -> list[Peer]:
        """Return peers heard lately, sorted by name."""
        return [self.peers[node] for node in sorted(self.peers) if not self.peers[node].is_lost]

    @property
    def _run(self) -> str:
        """The part of the incarnation that a restart changes."""
        return self._incarnation.rpartition(".")[2]

    @property
    def node(self) -> str:
        """This node's name."""
        return self._node

    def waiting_at_peers(self) -> dict[str, Waiting]:
        """Return what waits at the peers, as told lately: by node, or by zone from its relay."""
        now = self._clock()
        waiting = {
            peer.node: peer.digest.waiting
            for peer in self._heard_lately(now, PEER_LOAD_VALID_S)
            if peer.digest is not None and not peer.digest.is_leaving
        }
        for summary in self._summary_by_zone.values():
            if now - summary.heard_at < PEER_LOAD_VALID_S:
                waiting[zone_name(summary.zone)] = summary.waiting
        return waiting

    def _heard_lately(self, now: float, within_s: float) -> list[Peer]:
        """Return the peers whose digests count: all, or those of the own zone in a large fleet."""
        return [
            peer
            for peer in self.live()
            if now - peer.heard_at < within_s
            and (not self._hosts.is_large or peer.zone == self._zone)
        ]

    def is_in_zone(self, node: str) -> bool:
        """Whether a peer is of this node's zone."""
        peer = self.peers.get(node)
        return peer is not None and peer.zone == self._zone

    def store_serves_a_peer(self) -> bool:
        """Whether the store has answered any peer lately."""
        digests = [peer.digest for peer in self.live() if peer.digest is not None]
        return any(one.directory_age_ms <= DIRECTORY_STALE_MS for one in digests)

    def has_replaced(self, incarnation: str) -> bool:
        """Whether a process was heard that runs in place of an earlier one."""
        node = incarnation.rpartition(".")[0]
        peer = self.peers.get(node)
        if peer is None or peer.digest is None:
            return False
        return peer.digest.incarnation != incarnation

    # --- sending ---

    async def send_loop(self) -> None:
        """Tell digests until cancelled."""
        while True:
            await curio.sleep(SEND_EVERY_S)
            now = self._clock()
            self._expire(now)
            changed = self._loads.revision != self._sent_revision
            changed = changed or self.waiting != self._sent_waiting
            if changed and self._may_send(now) or now - self._sent_at >= QUIET_EVERY_S:
                await self.send_digest()
            if self._hosts.is_large:
                await self._speak_for_zone(now)

    def _may_send(self, now: float) -> bool:
        """Whether so little was sent lately that the own zone may get another digest."""
        return now - self._sent_at >= len(self._hosts.near()) / MAX_DATAGRAMS_PER_S

    async def send_digest_now(self) -> None:
        """Tell the present digest at once, or as soon as the pace allows it."""
        if self._may_send(self._clock()):
            await self.send_digest()

    async def send_digest(self) -> None:
        """Tell the present digest to the peers."""
        now = self._clock()
        self._sequence += 1
        self._sent_at = now
        self._sent_revision = self._loads.revision
        self._sent_waiting = self.waiting
        every_s = QUIET_EVERY_S if self._hosts.is_large else self._far_every_s(now)
        is_for_all = now - self._sent_to_all_at >= every_s
        if is_for_all:
            self._sent_to_all_at = now
        age_ms = min(1e6, (now - self._directory.confirmed_at) * 1000)
        loads = {
            key: (own.online, own.batch, round(own.reading_ms))
            for key, own in self._loads.own.items()
        }
        digest = Digest(
            self._node,
            self._run,
            self._zone,
            self._sequence,
            self._configuration.version,
            self._directory.version,
            int(age_ms),
            loads,
            self.is_leaving,
            len(self._hosts),
            self.waiting,
            self._directory.suspects(now),
        )
        data = encode_datagram(digest)
        for host in self._hosts.audience(is_for_all, self._random):
            await self._send_to(host, data)

    def _far_every_s(self, now: float) -> float:
        """Return how often other zones are told of changed work."""
        for replica in self._directory.all():
            online = self._loads.total(replica.replica_id, now).online
            if online >= CROWDED_SHARE * replica.slots:
                return OTHER_ZONES_CROWDED_EVERY_S
        return OTHER_ZONES_EVERY_S

    async def _speak_for_zone(self, now: float) -> None:
        """Tell the other zones this zone's work, if it is time and this node is its relay."""
        far = self._hosts.far()
        every_s = max(self._far_every_s(now), len(far) / MAX_DATAGRAMS_PER_S)
        if now - self._summary_sent_at < every_s:
            return
        near = self._heard_lately(now, RELAY_HEARD_S)
        staying = [one.node for one in near if one.digest and not one.digest.is_leaving]
        if self.is_leaving or relay_of(self._zone, [self._node, *staying]) != self._node:
            return
        self._summary_sent_at = now
        self._summary_sequence += 1
        loads = self._loads.sum_of([one.node for one in near], now)
        waiting = [self.waiting, *(one.digest.waiting for one in near if one.digest)]
        summary = ZoneSummary(
            self._node, self._run, self._zone, self._summary_sequence, loads, merge_waiting(waiting)
        )
        data = encode_datagram(summary)
        for host in far:
            await self._send_to(host, data)

    async def _send_to(self, host: str, data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            await self._sock.sendto(data, (host, self._port))
        except OSError:
            return

    async def ask_for_slots(self, node: str, replica_id: str, count: int, hops: int) -> None:
        """Ask a peer, or a zone through its relay, to suspend batch work at a replica."""
        for summary in self._summary_by_zone.values():
            if zone_name(summary.zone) == node:
                message = YieldSlots(self._node, replica_id, count, hops, is_for_zone=True)
                await self._send_to(summary.host, encode_datagram(message))
                return
        peer = self.peers.get(node)
        if peer is not None:
            message = YieldSlots(self._node, replica_id, count, hops)
            await self._send_to(peer.host, encode_datagram(message))

    async def tell_store_returned(self) -> None:
        """Tell the peers that the store answers again; they need not find out themselves."""
        data = encode_datagram(StoreReturned(self._node))
        for host in self._hosts.audience(True, self._random):
            await self._send_to(host, data)

    # --- receiving ---

    async def receive_loop(self) -> None:
        """Hear peers until cancelled."""
        while True:
            data, (host, _port) = await self._sock.recvfrom(65536)
            try:
                message = decode_datagram(data)
            except DigestError as error:
                self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error)[:200])
                continue
            await self._receive(message, host)

    async def _receive(self, message: PeerDatagram, host: str) -> None:
        match message:
            case Digest():
                await self._hear(message, host)
            case YieldSlots():
                await self._on_yield(message)
            case ZoneSummary():
                self._hear_zone(message, host)
            case StoreReturned():
                await self._on_store_returned()
            case ConfigurationCopy():
                self._codec.take_configuration(message.raw.encode())
            case DirectoryCopy():
                self._take_directory(message)
            case Introduction():
                for known in message.hosts:
                    self.add_host(known)

    async def _hear(self, digest: Digest, host: str) -> None:
        if digest.node == self._node:
            return
        now = self._clock()
        is_new_host = self._hosts.add(host, digest.zone)
        peer = self.peers.get(digest.node)
        if peer is None or peer.is_lost:
            self._log.write(catalogue.PEER_HEARD, peer=digest.node, host=host)
            peer = self.peers[digest.node] = Peer(digest.node, host, digest.zone, now)
        known = peer.digest
        is_same_process = known is not None and known.run == digest.run
        if known is not None and is_same_process and digest.sequence <= known.sequence:
            return
        peer.heard_at = now
        peer.host = host
        peer.digest = digest
        if digest.zone == self._zone or not self._hosts.is_large:
            self._loads.hear(digest.node, digest.loads, now)
        self._directory.hear_suspects(digest.suspects, now)
        if is_new_host or digest.knows_members + 1 < len(self._hosts):
            hosts = self._hosts.all()
            hosts = self._random.sample(hosts, min(INTRODUCE_HOSTS, len(hosts)))
            await self._send_to(host, encode_datagram(Introduction(self._node, hosts)))
        await self._help(peer, digest, now)

    def _hear_zone(self, summary: ZoneSummary, host: str) -> None:
        known = self._summary_by_zone.get(summary.zone)
        is_late = (
            known is not None
            and (known.relay, known.run) == (summary.node, summary.run)
            and summary.sequence <= known.sequence
        )
        if summary.zone == self._zone or is_late:
            return
        now = self._clock()
        self._summary_by_zone[summary.zone] = HeardSummary(
            summary.zone,
            summary.node,
            summary.run,
            host,
            summary.sequence,
            now,
            summary.waiting,
        )
        self._loads.hear(zone_name(summary.zone), summary.loads, now)

    async def _help(self, peer: Peer, digest: Digest, now: float) -> None:
        """Send a peer what it lacks, if it does not get it from the store soon."""
        if now - peer.copied_at < COPY_EVERY_S:
            return
        if digest.configuration_version < self._configuration.version:
            peer.copied_at = now
            raw = self._configuration.raw.decode()
            await self._send_to(peer.host, encode_datagram(ConfigurationCopy(self._node, raw)))
        age_ms = (now - self._directory.confirmed_at) * 1000
        if digest.directory_age_ms > DIRECTORY_STALE_MS and age_ms < DIRECTORY_FRESH_MS:
            peer.copied_at = now
            await self._send_to(peer.host, encode_datagram(self._directory_copy(int(age_ms))))

    def _directory_copy(self, age_ms: int) -> DirectoryCopy:
        replicas = [
            ReplicaCopy(key, version, raw.decode())
            for key, (version, raw) in sorted(self._raw_replicas.items())
        ]
        return DirectoryCopy(self._node, self._directory.version, age_ms, replicas)

    def _take_directory(self, copy: DirectoryCopy) -> None:
        if copy.version <= self._directory.version:
            return
        listed = {one.replica_id for one in copy.replicas}
        for one in copy.replicas:
            self._codec.take_replica(one.replica_id, one.raw.encode(), one.version)
        for replica in self._directory.all():
            if replica.replica_id not in listed:
                self._directory.remove(replica.replica_id, copy.version)
                self._raw_replicas.pop(replica.replica_id, None)
        self._directory.version = copy.version
        heard_at = self._clock() - copy.age_ms / 1000
        self._directory.confirmed_at = max(self._directory.confirmed_at, heard_at)
        self._log.write(catalogue.DIRECTORY_COPIED, peer=copy.node, version=copy.version)

    def _expire(self, now: float) -> None:
        for peer in self.peers.values():
            if not peer.is_lost and now - peer.heard_at > self._lost_after_s(peer):
                peer.is_lost = True
                self._loads.forget(peer.node)
                self._log.write(
                    catalogue.PEER_LOST, peer=peer.node, silent_s=round(now - peer.heard_at, 2)
                )

    def _lost_after_s(self, peer: Peer) -> float:
        is_far = self._hosts.is_large and peer.zone != self._zone
        return FAR_PEER_LOST_AFTER_S if is_far else PEER_LOST_AFTER_S
