"""The components of a node that obtain the configuration from the store or from other nodes."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.configuration_copy import MAX_PARTS, ConfigurationAssembler, IgnoreReason
from cloverwalk.fleet.configuration_publisher import ConfigurationPublisher
from cloverwalk.fleet.configuration_sources import ConfigurationSources
from cloverwalk.fleet.configuration_subscription import ConfigurationSubscription
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.follower import (
    CONFIGURATION_LONG_POLL_TIMEOUT_S,
    TableFollower,
    follow_always,
)
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationCopy,
    ConfigurationPartRequest,
    ConfigurationPoll,
    ConfigurationStatus,
    Contact,
    DatagramError,
)
from cloverwalk.fleet.transport import Sender
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import Store
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

CONFIGURATION_FOLLOW_DELAY_S = 0.05
"""Delay between two reads of changes of the configuration."""

READER_LONG_POLL_TIMEOUT_S = 0.4
"""Long-poll timeout of a node that reads for others; shorter, since each hop to them adds to the
age of the configuration."""

CHOICE_INTERVAL_S = 0.2
"""Interval at which the coordinator reviews the choice of sources."""

MIN_WAIT_S = 0.01
"""Minimum wait between two calls of the subscription's ``tick``, unless a message ends it."""

ConfigurationMessage = (
    ConfigurationPoll | ConfigurationStatus | ConfigurationPartRequest | CompactConfigurationPart
)


class ConfigurationExchange:
    """Connects a node's subscription, its publisher and, at the coordinator, the choice of sources.

    It is created only if the feature ``CONFIGURATION_SOURCES`` is on.
    """

    def __init__(
        self,
        settings: ServingSettings,
        identity: Identity,
        transport: Sender,
        coordinator: Coordinator,
        client: CoordinatorClient,
        fleet_state: FleetState,
        random: Random,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._coordinator = coordinator
        self._client = client
        self._fleet_state = fleet_state
        self._log = log
        self._clock = clock
        self._assembler = ConfigurationAssembler()
        self.follower: TableFollower | None = None
        """Follows the configuration in the store while this node is a reader."""

        region = settings.region_by_zone.get(settings.zone, settings.zone)
        self.subscription = ConfigurationSubscription(
            identity,
            region,
            transport,
            fleet_state.configuration,
            self._assembler.missing,
            self._store_failing_for_s,
            random,
            log,
            clock(),
        )
        self.publisher = ConfigurationPublisher(
            region,
            transport,
            fleet_state.configuration,
            self._make_status,
            settings.machine.link_bytes_per_s,
            clock,
        )
        self.sources = ConfigurationSources(
            coordinator.registry,
            identity.contact,
            settings.region_by_zone,
            settings.configuration_apply_s,
            lambda: coordinator.active_since,
        )
        self._chosen_at = float("-inf")
        self._lists_by_node: dict[str, tuple[Contact, ...]] = {}
        """The source list of each node as of the last change of the choice."""

        self._was_active = self._is_fleet_running = False
        self._changed = curio.Event()
        self._read_needed = curio.Event()
        self._reader_was_failing = False
        client.reports.polls_configuration = True
        client.on_configuration_sources = self._on_sources
        coordinator.orders_maker.configuration_sources = self._sources_of
        self._report_stored_configuration = fleet_state.on_stored_configuration
        fleet_state.on_stored_configuration = self._on_stored_configuration
        fleet_state.zone_drains.listeners.append(self._on_zone_drains)

    # --- the coordinator ---

    def tick(self, now: float) -> None:
        """Review the choice of sources; send new lists to the nodes whose lists have changed."""
        if now - self._chosen_at < CHOICE_INTERVAL_S or not self._choose(now):
            return
        entries = self._coordinator.registry.live()
        lists = {
            entry.contact.node: self.sources.sources_for(entry.contact.node) for entry in entries
        }
        changed = [
            entry
            for entry in entries
            if lists[entry.contact.node] != self._lists_by_node.get(entry.contact.node)
        ]
        self._lists_by_node = lists
        self._coordinator.send_orders(changed, now)

    def _choose(self, now: float) -> bool:
        self._chosen_at = now
        is_active = self._coordinator.is_active
        if is_active and not self._was_active:
            self._is_fleet_running = self._fleet_state.configuration.version >= 0
        self._was_active = is_active
        changed = self.sources.update(now, self._is_fleet_running)
        for region in changed:
            chosen = self.sources.by_region[region]
            self._log.write(
                catalogue.CONFIGURATION_SOURCES_CHANGED,
                region=region,
                primary=chosen.primary,
                spare=chosen.spare,
                relays=len(chosen.relays),
                nearest=self.sources.nearest,
            )
        return bool(changed)

    def _sources_of(self, node: str) -> tuple[Contact, ...]:
        if not self._coordinator.is_active:
            return ()
        sources = self.sources.sources_for(node)
        if not sources:
            # A node in a region without sources gets them at once, not at the next review.
            self._choose(self._clock())
            sources = self.sources.sources_for(node)
        return sources

    # --- the node ---

    async def _on_sources(self, sources: tuple[Contact, ...]) -> None:
        self.subscription.set_sources(sources, self._clock())
        await self._changed.set()

    async def _on_stored_configuration(self) -> None:
        await self._report_stored_configuration()
        await self.publisher.notify_version_changed()

    def _on_zone_drains(self, drained: tuple[str, ...], lifted: tuple[str, ...]) -> None:
        """Announce a change of the zone drains to pollers at once."""
        self.publisher.announce()

    def _store_failing_for_s(self, since: float, now: float) -> float:
        return 0.0 if self.follower is None else self.follower.failing_for_s(since, now)

    def resume_version(self) -> int:
        """Return the store version from which the table may be followed without a full read.

        It is -1 if the zone drains are not known up to the version from another node as well.
        """
        version = self.subscription.resume_version
        return version if self._fleet_state.zone_drains.version >= version else -1

    def _make_status(self, parts: int, poll: int, now: float) -> ConfigurationStatus:
        configuration = self._fleet_state.configuration
        reader, reader_age_ms = self.subscription.reader(now)
        return ConfigurationStatus(
            configuration.version,
            configuration.age_ms(now),
            parts,
            self._fleet_state.zone_drains.copy(now),
            poll,
            reader,
            reader_age_ms,
            self._known_store_version(),
        )

    def _known_store_version(self) -> int:
        if self._fleet_state.is_stored_configuration_invalid:
            return -1
        followed = -1 if self.follower is None else self.follower.version
        return max(followed, self.subscription.resume_version)

    async def wait_until_read_needed(self) -> None:
        """Wait until this node has to read the configuration from the store."""
        while not self.subscription.reads_store(self._clock()):
            self._read_needed.clear()
            await self._read_needed.wait()

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of these components."""
        return [self.run, self.publisher.run]

    async def run(self) -> None:
        """Drive the subscription until cancelled."""
        while True:
            self._changed.clear()
            self.subscription.tick(self._clock())
            if self.subscription.is_reader:
                await self._read_needed.set()
            await self._report_reader_failure()
            now = self._clock()
            async with curio.ignore_after(max(MIN_WAIT_S, self.subscription.due_at(now) - now)):
                await self._changed.wait()

    async def _report_reader_failure(self) -> None:
        """Notify pollers and the coordinator as soon as this node's reads of the store fail."""
        _, age_ms = self.subscription.reader(self._clock())
        is_failing = age_ms > 0 and self.subscription.is_reader
        if is_failing and not self._reader_was_failing:
            self.publisher.announce()
            await self._client.trigger_report()
        self._reader_was_failing = is_failing

    async def handle_message(self, message: ConfigurationMessage, host: str) -> None:
        """Handle a message from a poller or a source."""
        now = self._clock()
        match message:
            case ConfigurationPoll():
                await self.publisher.handle_poll(message, host)
            case ConfigurationPartRequest():
                await self.publisher.handle_part_request(message, host)
            case ConfigurationStatus() if not 0 <= message.parts <= MAX_PARTS:
                problem = f"invalid configuration status: {message.parts} parts"
                self._log.write(catalogue.BAD_PEER_MESSAGE, problem=problem, host=host)
            case ConfigurationStatus():
                sent_at = self.subscription.poll_sent_at(message.poll, host)
                if sent_at is not None:
                    self._fleet_state.zone_drains.apply_copy(message.zone_drains, sent_at, host)
                    self._fleet_state.record_directory_source("peer")
                self.subscription.handle_status(message, host, now)
                if self.subscription.due_at(now) <= now:
                    await self._changed.set()
            case CompactConfigurationPart():
                await self._handle_part(message, host, now)

    async def _handle_part(self, part: CompactConfigurationPart, host: str, now: float) -> None:
        own_version = self._fleet_state.configuration.version
        is_polled = self.subscription.has_polled(host)
        ignore_reason = (
            self._assembler.reason_to_ignore(part, own_version)
            if is_polled
            else IgnoreReason.NOT_POLLED
        )
        if ignore_reason is not None:
            self._log.write(
                catalogue.CONFIGURATION_PART_IGNORED,
                reason=ignore_reason.value,
                version=part.version,
                part=part.part,
                host=host,
            )
            return
        self.subscription.record_part(part.version, now)
        try:
            data = self._assembler.join(part)
            await self.publisher.forward(part)
            configuration = (
                None if data is None else await self._assembler.decode_in_steps(data, part.version)
            )
        except DatagramError as error:
            self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error)[:200], host=host)
            self.publisher.discard_incoming()
            return
        if configuration is not None:
            await self._fleet_state.prepare_configuration(configuration)
            self._fleet_state.apply_configuration_copy(ConfigurationCopy(configuration), host)
            self.subscription.record_applied()
            await self.publisher.notify_version_changed()
            await self._fleet_state.release_replaced_configurations()

    def update_metrics(self, metrics: ServingMetrics) -> None:
        """Set the metrics of polling and of sending to pollers."""
        assembler, subscription, publisher = self._assembler, self.subscription, self.publisher
        _, reader_age_ms = subscription.reader(self._clock())
        for name, help_text, value in (
            (
                "reads_store",
                "Whether this node reads the configuration from the store",
                subscription.is_reader,
            ),
            (
                "reader_age_seconds",
                "Time since the reader for this node last had a good call",
                reader_age_ms / 1000,
            ),
            ("sources_lost", "Sources that this node left", subscription.sources_lost),
            ("parts_requested", "Missing parts requested again", subscription.parts_requested),
            ("parts_duplicate", "Parts received twice", assembler.ignored[IgnoreReason.DUPLICATE]),
            (
                "parts_outdated",
                "Parts of older versions received",
                assembler.ignored[IgnoreReason.OUTDATED],
            ),
            ("copies_corrupted", "Joined parts that could not be decoded", assembler.corrupted),
            ("pollers", "Nodes that poll this node", publisher.subscribers),
            ("parts_sent", "Parts sent to other nodes", publisher.parts_sent),
            ("part_bytes_sent", "Bytes of these parts", publisher.bytes_sent),
        ):
            metrics.gauge(f"cloverwalk_configuration_{name}", help_text, float(value))


def create_configuration_follower(
    adapter: Adapter,
    fleet_state: FleetState,
    exchange: ConfigurationExchange | None,
    store: Store,
    health: StoreHealth,
    log: ServingLog,
    clock: Callable[[], float],
    random: Random,
) -> TableFollower:
    """Return the follower of the configuration table.

    With an exchange, it follows the table only while this node has to read the store.
    """
    follower = TableFollower(
        adapter.configuration_table,
        store,
        health,
        fleet_state.on_all_configuration,
        fleet_state.on_configuration,
        CONFIGURATION_FOLLOW_DELAY_S,
        log,
        clock,
        random,
        follow_always if exchange is None else exchange.wait_until_read_needed,
        fleet_state.on_configuration_confirmed,
        CONFIGURATION_LONG_POLL_TIMEOUT_S if exchange is None else READER_LONG_POLL_TIMEOUT_S,
        _never_resume if exchange is None else exchange.resume_version,
        fleet_state.stored_zone_drains.adopt,
    )
    if exchange is not None:
        exchange.follower = follower
    return follower


def _never_resume() -> int:
    return -1
