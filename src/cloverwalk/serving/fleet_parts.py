"""The components of a node that talk to other nodes: coordinator and its client, election."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.configuration_copy import ConfigurationAssembler
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.election import Election
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.job_end_sync import JobEndSync
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationCopy,
    ConfigurationPart,
    ConfigurationPartRequest,
    ConfigurationPoll,
    ConfigurationRequest,
    ConfigurationStatus,
    Datagram,
    DatagramError,
    JobEnded,
    Report,
    Snapshot,
    StoreReturned,
    StreamVersionQuery,
    StreamVersions,
)
from cloverwalk.fleet.stream_version_sync import StreamVersionSync, history_copy
from cloverwalk.fleet.transport import DatagramTransport
from cloverwalk.scheduling.fair_share_reporter import FairShareReporter, ThrottledRequests
from cloverwalk.scheduling.features import Feature, Features, FeatureState
from cloverwalk.scheduling.regions import Regions
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.slot_time import SlotUse
from cloverwalk.scheduling.slot_time_reporter import SlotTimeReporter
from cloverwalk.scheduling.zone_reachability import ReachabilityChange
from cloverwalk.serving.configuration_parts import ConfigurationExchange
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.serving.zone_drain_monitor import ZoneDrainMonitor
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import Store
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import Stage

MAX_DIRECTORY_AGE_S = 1.5
"""If the replica list was not confirmed for this time, the node reads it from the store itself. A
replica accepts requests for at least two seconds after it began to drain."""

DIRECTORY_FOLLOW_DELAY_S = 0.2
"""Delay between two reads of changes of the replica list."""


class FleetParts:
    """Creates and connects these components and dispatches datagrams to them."""

    def __init__(
        self,
        settings: ServingSettings,
        run_id: str,
        fleet_state: FleetState,
        in_flight: InFlightTracker,
        store: Store,
        health: StoreHealth,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        host = settings.peer_address[0]
        self.identity = Identity(settings.node, run_id, host, settings.zone, settings.cores)
        self._fleet_state = fleet_state
        self._health = health
        self._clock = clock
        self._log = log
        self.transport = DatagramTransport(settings.peer_address, log)
        self._configuration_assembler = ConfigurationAssembler()
        self.leader = LeaderView(self.identity, clock())
        regions = Regions(settings.region_by_zone)
        self.features = Features(
            fleet_state.configuration,
            settings.is_memory_scarce,
            settings.tolerance.zones,
            regions.count,
        )
        self.features.on_change = self._log_feature
        fleet_state.stored_zone_drains.known_zones = frozenset(settings.region_by_zone)
        self.zone_drain_monitor = ZoneDrainMonitor(
            fleet_state.zone_drains, self.features, settings, log, clock
        )
        self.scheduler = Scheduler(
            fleet_state.directory,
            fleet_state.configuration,
            ServiceTimes(),
            settings.quota_bounds,
            fleet_state.crash_ledger,
            random,
            self.features,
            fleet_state.warmups,
            settings.warmup_bounds,
            regions,
            Resumptions(
                fleet_state.directory,
                fleet_state.configuration,
                fleet_state.stream_versions,
                fleet_state.draining_replicas,
                fleet_state.registered_versions,
            ),
        )
        self.scheduler.reachability.on_change = self._log_reachability
        self.scheduler.slowdowns.on_change = self._log_slowdown
        self.crash_record_sync = CrashRecordSync(
            fleet_state.crash_ledger, self.transport, log, clock
        )
        self.coordinator = Coordinator(
            self.identity,
            self.leader,
            self.transport,
            self.scheduler,
            fleet_state.configuration,
            fleet_state.directory,
            health,
            self.crash_record_sync,
            fleet_state.zone_drains,
            log,
            clock,
        )
        self.coordinator_client = CoordinatorClient(
            self.identity,
            self.leader,
            self.coordinator,
            self.transport,
            in_flight,
            fleet_state.configuration,
            fleet_state.directory,
            health,
            self.crash_record_sync,
            fleet_state.zone_drains,
            list(settings.seeds),
            log,
            clock,
        )
        self.job_end_sync = JobEndSync(self.identity, self.leader, self.coordinator, self.transport)
        self.stream_version_sync = StreamVersionSync(
            self.identity,
            self.leader,
            self.coordinator,
            self.transport,
            fleet_state.software_versions,
            fleet_state.stream_versions,
            clock,
        )
        self.coordinator.orders_maker.version_history = lambda: history_copy(
            fleet_state.software_versions
        )
        self.coordinator_client.on_version_history = self.stream_version_sync.apply_history
        self.coordinator_client.on_reconnected = self.stream_version_sync.share_all
        self.slot_time_reporter = SlotTimeReporter(self.scheduler, self._log_slot_time)
        shares, item_shares = self.scheduler.online_shares, self.scheduler.item_shares
        self.fair_share_reporter = FairShareReporter(shares, item_shares, self._log_throttled)
        self.coordinator.on_tick = self._tick
        self.coordinator.deliver_locally = self._deliver_locally
        self.coordinator_client.on_placement = fleet_state.startup.record_placement
        fleet_state.on_stored_configuration = self.coordinator_client.report_stored_configuration
        self.configuration_exchange = self._create_configuration_exchange(settings, random)
        self.election = Election(
            self.identity,
            self.leader,
            self.coordinator,
            self.coordinator_client,
            self.scheduler,
            store,
            health,
            log,
            clock,
            random,
        )
        self._client_on_leadership = self.coordinator_client.on_leadership_change
        self.coordinator_client.on_leadership_change = self._on_leadership

    def _create_configuration_exchange(
        self, settings: ServingSettings, random: Random
    ) -> ConfigurationExchange | None:
        """Return the exchange of configurations between nodes, None if the feature is off."""
        if not self.features.is_on(Feature.CONFIGURATION_SOURCES):
            return None
        return ConfigurationExchange(
            settings,
            self.identity,
            self.transport,
            self.coordinator,
            self.coordinator_client,
            self._fleet_state,
            random,
            self._log,
            self._clock,
        )

    def _tick(self, now: float) -> None:
        if self.configuration_exchange is not None:
            self.configuration_exchange.tick(now)
        self.slot_time_reporter.tick(now)
        self.fair_share_reporter.tick(now)

    def update_metrics(self, metrics: ServingMetrics) -> None:
        """Set the metrics of these components."""
        self.zone_drain_monitor.update_metrics(metrics)
        if self.configuration_exchange is not None:
            self.configuration_exchange.update_metrics(metrics)
        self._update_warmup_metrics(metrics)
        self._update_stream_metrics(metrics)

    def _update_stream_metrics(self, metrics: ServingMetrics) -> None:
        streams = self._fleet_state.stream_versions
        metrics.gauge(
            "cloverwalk_stream_versions",
            "Streams whose software version is kept here",
            len(streams),
        )
        metrics.gauge(
            "cloverwalk_stream_versions_dropped",
            "Records of streams that were dropped before they expired",
            streams.dropped,
        )
        metrics.gauge(
            "cloverwalk_stream_versions_sent",
            "Records of streams that were sent to other nodes",
            self.stream_version_sync.records_sent,
        )

    def _update_warmup_metrics(self, metrics: ServingMetrics) -> None:
        tokens, gate = self.scheduler.warmup_tokens, self._fleet_state.warmup_gate
        metrics.gauge(
            "cloverwalk_replicas_warming",
            "Replicas that may be warming up and get a limited rate, as this node knows",
            len(tokens.remaining_ms(self._clock())),
        )
        metrics.gauge(
            "cloverwalk_warmup_tokens_granted", "Warm-up tokens granted here", tokens.granted
        )
        metrics.gauge(
            "cloverwalk_warmup_sends_refused",
            "Work not sent to a replica that is warming up, for lack of a valid token",
            gate.refused,
        )

    def _log_throttled(self, throttled: ThrottledRequests) -> None:
        self._log.write(
            catalogue.TENANTS_HELD_BACK,
            tenants=throttled.by_tenant,
            others=throttled.unnamed_count,
            bad_figures=throttled.invalid_count,
        )

    def _log_slot_time(self, seconds_by_use: dict[SlotUse, float]) -> None:
        rounded = {
            use.value: round(seconds, 2) for use, seconds in seconds_by_use.items() if seconds > 0
        }
        self._log.write(catalogue.SLOT_TIME, **rounded)

    def _log_reachability(self, change: ReachabilityChange) -> None:
        event = catalogue.ZONE_REACHABLE if change.is_reachable else catalogue.ZONE_UNREACHABLE
        self._log.write(
            event, zone=change.zone, source=change.source, evidence=change.evidence.value
        )

    def _log_slowdown(self, replica_id: str, factor: float, is_unusual: bool) -> None:
        self._log.write(
            catalogue.REPLICA_PACE_CHANGED,
            replica=replica_id,
            pace=round(factor, 2),
            is_unusual=is_unusual,
        )

    def _log_feature(self, state: FeatureState) -> None:
        self._log.write(
            catalogue.FEATURE_CHANGED,
            feature=state.feature.value,
            is_on=state.is_on,
            reason=state.reason,
            configuration=self._fleet_state.configuration.version,
        )

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of these components."""
        loops: list[Callable[[], Awaitable[None]]] = [
            self.receive,
            self.coordinator_client.run,
            self.coordinator.run,
            self.election.run,
        ]
        if self.configuration_exchange is not None:
            loops += self.configuration_exchange.loops()
        return loops

    async def receive(self) -> None:
        """Receive datagrams until cancelled."""
        self.transport.on_refused = self._fleet_state.metrics.peer_message_refused
        await self.transport.receive(self.handle_message)

    async def handle_message(self, message: Datagram, host: str) -> None:
        """Dispatch a datagram to the component that handles it."""
        self._fleet_state.startup.record_stage(Stage.PEER)
        match message:
            case Report():
                await self.coordinator.handle_report(message, host)
                self._fleet_state.record_directory_source("peer")
            case Snapshot():
                await self.election.handle_snapshot(message, host)
            case ConfigurationCopy():
                self._fleet_state.apply_configuration_copy(message, host)
                await self._release_replaced_configurations()
            case (
                ConfigurationPoll()
                | ConfigurationStatus()
                | ConfigurationPartRequest()
                | CompactConfigurationPart()
            ):
                if self.configuration_exchange is not None:
                    await self.configuration_exchange.handle_message(message, host)
            case ConfigurationPart():
                self._apply_configuration_part(message, host)
                await self._release_replaced_configurations()
            case ConfigurationRequest():
                self.coordinator.send_configuration(host)
            case StreamVersions():
                await self.stream_version_sync.handle_records(message)
            case StreamVersionQuery():
                self.stream_version_sync.handle_query(message, host)
            case JobEnded():
                await self.job_end_sync.handle(message)
            case StoreReturned():
                await self._health.hint_recovery()
                if self.coordinator.is_active and not self._health.is_unavailable:
                    self.coordinator.broadcast_store_returned()
            case _:
                await self.coordinator_client.handle_message(message, host)
                self._fleet_state.record_directory_source("peer")

    async def _release_replaced_configurations(self) -> None:
        """Release them in a separate task, so that further datagrams needn't wait."""
        if self._fleet_state.configuration.has_replaced:
            await curio.spawn(self._fleet_state.release_replaced_configurations, daemon=True)

    def _apply_configuration_part(self, part: ConfigurationPart, host: str) -> None:
        try:
            configuration = self._configuration_assembler.add(part)
        except DatagramError as error:
            self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error)[:200], host=host)
            return
        if configuration is not None:
            self._fleet_state.apply_configuration_copy(
                ConfigurationCopy(configuration, part.age_ms), host
            )

    async def _on_leadership(self) -> None:
        self._fleet_state.startup.record_stage(Stage.COORDINATOR)
        await self._client_on_leadership()
        self.stream_version_sync.share_all()

    async def _deliver_locally(self, orders: object) -> None:
        await self.coordinator_client.handle_message(orders, self.identity.host)  # type: ignore[arg-type]

    async def wait_until_directory_needed(self) -> None:
        """Wait until this node has to read the replica list from the store itself.

        A coordinator of an earlier build passes entries on without their software versions.
        """
        while (
            not self.coordinator.is_active and not self._fleet_state.software_versions.has_unknown
        ):
            remaining_s = (
                self._fleet_state.directory.confirmed_at + MAX_DIRECTORY_AGE_S - self._clock()
            )
            if remaining_s <= 0:
                return
            await self.coordinator.wait_until_active_or_timeout(remaining_s)

    def check(self) -> None:
        """Log changes that result from the passage of time, not from messages."""
        self.features.notify_changes()
        self.zone_drain_monitor.check()

    def leave(self) -> None:
        """Begin a planned stop: give up coordination and receive no more jobs."""
        self.coordinator_client.is_leaving = True
        self.coordinator.is_leaving = True
        self.election.is_leaving = True
