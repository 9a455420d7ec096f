"""The placement of models in one zone, by the holder of the zone's ``models`` lease.

A slow loop: one change in flight a zone, so loads are paced to the weight store. The order
carries the lease's epoch, and replica owners refuse older ones.
"""

from collections.abc import Callable

from msgspec import Struct

from cloverwalk.control.context import Context
from cloverwalk.control.machine_directory import MachineDirectory
from cloverwalk.core import catalogue
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.model_placement import ModelChange, PlacedReplica, plan_change
from cloverwalk.core.peer_messages import ChangeModel, ModelChanged

PLAN_EVERY_S = 2.0
SETTLE_S = 5.0
ORDER_TIMEOUT_S = 120.0
DEMAND_HALF_LIFE_S = 20.0
LEAST_DEMAND = 0.02
"""Below this, in weighted streams, a model counts as not in use any more."""

ONLINE_WEIGHT = 2.0
"""An online stream counts as this many pending batch items."""

UNSERVED_WEIGHT = 20.0
"""A request a second that finds no replica of its model counts as this many items."""


class _Order(Struct, frozen=True):
    change: ModelChange
    sent_at: float


class _Seen(Struct, frozen=True):
    owner: str
    replica: PlacedReplica
    slots: int
    online: int


class ModelPlacer:
    """Plans while this node holds the lease of a zone."""

    def __init__(self, context: Context, machines: MachineDirectory) -> None:
        self._context = context
        self._machines = machines
        self._epochs: dict[str, int] = {}
        self._orders: dict[str, _Order] = {}
        self._planned_at = -1e9
        self._smooth: dict[str, dict[str, float]] = {}
        self._changed_at: dict[str, float] = {}

    def on_held(self, resource: str, epoch: int) -> None:
        """Begin to plan for a zone, after a look at its demand."""
        zone = resource.removeprefix("models/")
        self._epochs[zone] = epoch
        self._changed_at[zone] = self._context.now

    def on_lost(self, resource: str) -> None:
        """End planning for a zone."""
        zone = resource.removeprefix("models/")
        self._epochs.pop(zone, None)
        self._orders.pop(zone, None)

    def tick(self, read_digests: Callable[[], list[NodeDigest]]) -> None:
        """Plan when it is due, from the digests of this node and its live members."""
        now = self._context.now
        if not self._epochs or now - self._planned_at < PLAN_EVERY_S:
            return
        self._planned_at = now
        digests = read_digests()
        for zone, epoch in self._epochs.items():
            seen = self._seen(zone, digests)
            demand = self._smoothed(zone, self._demand(zone, seen, digests))
            order = self._orders.get(zone)
            if order is not None and now - order.sent_at < ORDER_TIMEOUT_S:
                continue
            if now - self._changed_at.get(zone, -1e9) >= SETTLE_S:
                self._plan(zone, epoch, seen, demand)

    def _plan(self, zone: str, epoch: int, seen: list[_Seen], demand: dict[str, float]) -> None:
        change = plan_change([one.replica for one in seen], demand)
        if change is None:
            return
        owner = next(one.owner for one in seen if one.replica.replica == change.replica)
        self._orders[zone] = _Order(change, self._context.now)
        self._context.log(catalogue.MODEL_ORDERED, replica=change.replica, model=change.model)
        self._context.send(owner, ChangeModel(zone, epoch, change.replica, change.model))

    def _seen(self, zone: str, digests: list[NodeDigest]) -> list[_Seen]:
        local = {machine.machine_id for machine in self._machines.zone_machines(zone)}
        newest: dict[str, tuple[int, _Seen]] = {}
        for digest in digests:
            for report in digest.replicas:
                if report.replica not in local or report.leaving or report.slots == 0:
                    continue
                load = (report.online + report.batch) / report.slots
                placed = PlacedReplica(report.replica, report.model, load)
                seen = _Seen(digest.node, placed, report.slots, report.online)
                if newest.get(report.replica, (-1, seen))[0] < report.epoch:
                    newest[report.replica] = (report.epoch, seen)
        return [seen for _, seen in newest.values()]

    def _smoothed(self, zone: str, now_wanted: dict[str, float]) -> dict[str, float]:
        """Return demand averaged over the last half minute or so.

        At any one moment a model in steady use may have no request running.
        """
        keep = 0.5 ** (PLAN_EVERY_S / DEMAND_HALF_LIFE_S)
        before = self._smooth.get(zone, {})
        smooth = {
            model: keep * before.get(model, 0.0) + (1 - keep) * now_wanted.get(model, 0.0)
            for model in sorted(before.keys() | now_wanted.keys())
        }
        self._smooth[zone] = {m: part for m, part in smooth.items() if part >= LEAST_DEMAND}
        return self._smooth[zone]

    def _demand(self, zone: str, seen: list[_Seen], digests: list[NodeDigest]) -> dict[str, float]:
        slots = sum(one.slots for one in seen)
        demand: dict[str, float] = {}
        for one in seen:
            if one.online:
                model = one.replica.model
                demand[model] = demand.get(model, 0.0) + ONLINE_WEIGHT * one.online
        for digest in digests:
            if digest.zone != zone:
                continue
            for pending in digest.demand:
                items = min(pending.pending, slots)
                demand[pending.model] = demand.get(pending.model, 0.0) + items
            for unserved in digest.unserved:
                weight = UNSERVED_WEIGHT * unserved.requests_per_s
                demand[unserved.model] = demand.get(unserved.model, 0.0) + weight
        return demand

    def on_changed(self, message: ModelChanged) -> None:
        """The order in flight ended, one way or the other."""
        for zone, order in list(self._orders.items()):
            if order.change.replica == message.replica:
                del self._orders[zone]
                self._changed_at[zone] = self._context.now
