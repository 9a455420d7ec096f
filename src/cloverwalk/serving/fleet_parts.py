"""The parts of a node that deal with the other nodes: coordinator, link, election."""

from collections.abc import Callable
from random import Random

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.election import Election
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import ConfigurationCopy, Datagram, Report, Snapshot, StoreReturned
from cloverwalk.fleet.transport import DatagramTransport
from cloverwalk.scheduling.fair_share_reporter import FairShareReporter, ThrottledRequests
from cloverwalk.scheduling.features import Features, FeatureState
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.slot_time import SlotUse
from cloverwalk.scheduling.slot_time_reporter import SlotTimeReporter
from cloverwalk.scheduling.zone_reachability import ReachabilityChange
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import Store
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.startup import Stage

DIRECTORY_STALE_S = 1.5
"""A list of replicas that was not confirmed for so long is read from the store by the node itself.
A replica may be sent requests for two seconds or more after it began to leave."""

DIRECTORY_PAUSE_S = 0.2


class FleetParts:
    """Wires them together, and passes datagrams to the part that they are for."""

    def __init__(
        self,
        settings: ServingSettings,
        run: str,
        knowledge: FleetState,
        loads: InFlightTracker,
        store: Store,
        health: StoreHealth,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        host = settings.peer_address[0]
        self.identity = Identity(settings.node, run, host, settings.zone, settings.cores)
        self._knowledge = knowledge
        self._health = health
        self._clock = clock
        self._log = log
        self.transport = DatagramTransport(settings.peer_address, log)
        self.leader = LeaderView(self.identity, clock())
        self.features = Features(
            knowledge.configuration, settings.is_memory_scarce, settings.tolerance.zones
        )
        self.features.on_change = self._note_feature
        self.scheduler = Scheduler(
            knowledge.directory,
            knowledge.configuration,
            ServiceTimes(),
            settings.quota_bounds,
            knowledge.crash_ledger,
            random,
            self.features,
        )
        self.scheduler.reachability.on_change = self._note_reach
        self.scheduler.slowdowns.on_change = self._note_pace
        self.cases = CrashRecordSync(knowledge.crash_ledger, self.transport, log, clock)
        self.coordinator = Coordinator(
            self.identity,
            self.leader,
            self.transport,
            self.scheduler,
            knowledge.configuration,
            knowledge.directory,
            health,
            self.cases,
            log,
            clock,
        )
        self.link = CoordinatorClient(
            self.identity,
            self.leader,
            self.coordinator,
            self.transport,
            loads,
            knowledge.configuration,
            knowledge.directory,
            health,
            self.cases,
            list(settings.seeds),
            log,
            clock,
        )
        self.slots = SlotTimeReporter(self.scheduler, self._note_slot_time)
        shares, item_shares = self.scheduler.online_shares, self.scheduler.item_shares
        self.shares = FairShareReporter(shares, item_shares, self._note_held_back)
        self.coordinator.on_tick = self._tick
        self.coordinator.deliver_locally = self._deliver_locally
        self.link.on_placement = knowledge.startup.record_placement
        self.election = Election(
            self.identity,
            self.leader,
            self.coordinator,
            self.link,
            self.scheduler,
            store,
            health,
            log,
            clock,
            random,
        )
        self._take_leadership = self.link.on_leadership_change
        self.link.on_leadership_change = self._on_leadership

    def _tick(self, now: float) -> None:
        self.slots.tick(now)
        self.shares.tick(now)

    def _note_held_back(self, held_back: ThrottledRequests) -> None:
        self._log.write(
            catalogue.TENANTS_HELD_BACK,
            tenants=held_back.by_tenant,
            others=held_back.others,
            bad_figures=held_back.invalid_count,
        )

    def _note_slot_time(self, uses: dict[SlotUse, float]) -> None:
        told = {use.value: round(seconds, 2) for use, seconds in uses.items() if seconds > 0}
        self._log.write(catalogue.SLOT_TIME, **told)

    def _note_reach(self, change: ReachabilityChange) -> None:
        event = catalogue.ZONE_REACHABLE if change.is_reachable else catalogue.ZONE_UNREACHABLE
        self._log.write(
            event, zone=change.zone, source=change.source, evidence=change.evidence.value
        )

    def _note_pace(self, replica_id: str, factor: float, is_unusual: bool) -> None:
        self._log.write(
            catalogue.REPLICA_PACE_CHANGED,
            replica=replica_id,
            pace=round(factor, 2),
            is_unusual=is_unusual,
        )

    def _note_feature(self, state: FeatureState) -> None:
        self._log.write(
            catalogue.FEATURE_CHANGED,
            feature=state.feature.value,
            is_on=state.is_on,
            reason=state.reason,
            configuration=self._knowledge.configuration.version,
        )

    async def receive(self) -> None:
        """Take datagrams until cancelled."""
        await self.transport.receive(self.handle_message)

    async def handle_message(self, message: Datagram, host: str) -> None:
        """Pass a datagram to the part that it is for."""
        self._knowledge.startup.record_stage(Stage.PEER)
        match message:
            case Report():
                await self.coordinator.handle_report(message, host)
            case Snapshot():
                await self.election.handle_snapshot(message, host)
            case ConfigurationCopy():
                self._knowledge.take_configuration(message.configuration, "peer")
            case StoreReturned():
                await self._health.hint_recovery()
                if self.coordinator.is_active and not self._health.is_unavailable:
                    self.coordinator.broadcast_store_returned()
            case _:
                await self.link.handle_message(message, host)
                self._knowledge.note_directory("peer")

    async def _on_leadership(self) -> None:
        self._knowledge.startup.record_stage(Stage.COORDINATOR)
        await self._take_leadership()

    async def _deliver_locally(self, orders: object) -> None:
        await self.link.handle_message(orders, self.identity.host)  # type: ignore[arg-type]

    async def wait_until_directory_needed(self) -> None:
        """Return when this node has to read the list of replicas itself."""
        while not self.coordinator.is_active:
            rest_s = self._knowledge.directory.confirmed_at + DIRECTORY_STALE_S - self._clock()
            if rest_s <= 0:
                return
            await self.coordinator.wait_until_active_or_timeout(rest_s)

    def leave(self) -> None:
        """A planned stop begins: others coordinate, and no more jobs come."""
        self.link.is_leaving = True
        self.coordinator.is_leaving = True
        self.election.is_leaving = True
