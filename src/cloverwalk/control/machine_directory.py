"""The platform's machine list at a node: one reader a zone, the others are told of changes.

The list of the whole fleet is long (300 KB at 3,100 replicas), so a node keeps its own
zone's, and those of zones that have no live node and that it may have to stand in for.
"""

from collections.abc import Callable

from msgspec import Struct

from cloverwalk.control.context import Context
from cloverwalk.core.events import ListMachines, MachinesListed
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.core.peer_messages import MachinesPush
from cloverwalk.core.types import Machine

READER_EVERY_S = 1.0
REFRESH_EVERY_S = 30.0
ALL_ZONES_EVERY_S = 10.0
ALL_ZONES = ""

OnListed = Callable[[list[Machine] | None], None]


class _Zone(Struct):
    machines: dict[str, Machine]
    read_at: float


class MachineDirectory:
    """Machines by zone, as fresh as the list lets them be."""

    def __init__(
        self,
        context: Context,
        owners_of: Callable[[str], list[str]],
        on_leaving: Callable[[str], None],
        on_returned: Callable[[str], None],
    ) -> None:
        self._context = context
        self._owners_of = owners_of
        self._on_leaving = on_leaving
        self._on_returned = on_returned
        self._zones: dict[str, _Zone] = {}
        self._all_read_at = -1e9
        self._all_waiters: list[OnListed] = []

    # --- asking ---

    def find(self, machine_id: str) -> Machine | None:
        """Return a machine of a zone this node keeps."""
        for zone in self._zones.values():
            if machine_id in zone.machines:
                return zone.machines[machine_id]
        return None

    def zone_machines(self, zone: str) -> list[Machine]:
        """Return the machines of a zone."""
        known = self._zones.get(zone)
        return list(known.machines.values()) if known else []

    def zone_names(self) -> set[str]:
        """Return the zones this node keeps a list of."""
        return set(self._zones)

    def list_all(self, on_done: OnListed) -> None:
        """Read the list of the whole fleet; None when it can't be read."""
        self._all_waiters.append(on_done)
        self._context.emit(ListMachines(ALL_ZONES))

    # --- reading ---

    def tick(self) -> None:
        """Read what is due at this node."""
        context = self._context
        now = context.now
        self._zones.setdefault(context.zone, _Zone({}, -1e9))
        for name, zone in self._zones.items():
            reader = rendezvous_owner(f"machines {name}", self._owners_of(name))
            every_s = READER_EVERY_S if reader == context.node_id else REFRESH_EVERY_S
            if now - zone.read_at >= every_s:
                zone.read_at = now
                context.emit(ListMachines(name))
        if now - self._all_read_at < ALL_ZONES_EVERY_S:
            return
        self._all_read_at = now
        # Finds zones that have engines but no node.
        if rendezvous_owner("machines", context.live_node_names()) == context.node_id:
            context.emit(ListMachines(ALL_ZONES))

    def on_listed(self, event: MachinesListed) -> None:
        """Take a list that was read."""
        if event.zone == ALL_ZONES:
            self._on_all_listed(event.machines)
        elif event.machines is not None and self._take(event.zone, event.machines):
            self._push(event.zone)

    def _on_all_listed(self, machines: list[Machine] | None) -> None:
        waiters, self._all_waiters = self._all_waiters, []
        for waiter in waiters:
            waiter(machines)
        if machines is None:
            return
        names = {machine.zone for machine in machines}
        with_nodes = {digest.zone for digest in self._context.membership.known()}
        for name in sorted(names - with_nodes - {self._context.zone}):
            if self._take(name, [machine for machine in machines if machine.zone == name]):
                self._push(name)

    def _take(self, name: str, machines: list[Machine]) -> bool:
        """Keep a zone's list; return whether it changed."""
        zone = self._zones.setdefault(name, _Zone({}, self._context.now))
        before = zone.machines
        zone.machines = {machine.machine_id: machine for machine in machines}
        for machine in machines:
            # Leaving is sticky until the machine has been off the list: what comes back
            # under its name is another incarnation.
            if before and machine.machine_id not in before:
                self._on_returned(machine.machine_id)
            if machine.leaving:
                self._on_leaving(machine.machine_id)
        return zone.machines != before

    def _push(self, name: str) -> None:
        message = MachinesPush(name, list(self._zones[name].machines.values()))
        for node in self._owners_of(name):
            if node != self._context.node_id:
                self._context.send(node, message)

    def on_push(self, message: MachinesPush) -> None:
        """Take a zone's list that another node read."""
        self._take(message.zone, message.machines)

    def keep_zone(self, name: str) -> None:
        """Keep a zone's list from now on: it has no live node of its own."""
        self._zones.setdefault(name, _Zone({}, -1e9))
