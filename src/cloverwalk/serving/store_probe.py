"""Detects quickly that an unavailable store answers again, and informs the other nodes."""

import contextlib

import curio

from cloverwalk.fleet.messages import StoreReturned
from cloverwalk.serving.fleet_parts import FleetParts
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import Store, StoreError

COORDINATOR_PROBE_INTERVAL_MS = 100.0
"""Probe interval of the coordinator, which informs the other nodes of the recovery."""

NODE_PROBE_INTERVAL_MS = 400.0
"""Probe interval of the other nodes. They probe too, as the store may refuse only some of them."""

PROBE_TIMEOUT_S = 0.3
PROBE_TABLE = "role"


class StoreProbe:
    """Reads one small row repeatedly while the store is unavailable."""

    def __init__(self, store: Store, health: StoreHealth, fleet: FleetParts) -> None:
        self._store = store
        self._health = health
        self._fleet = fleet

    async def run(self) -> None:
        """Probe the store whenever it is unavailable, until cancelled."""
        while True:
            await self._health.wait_until_unavailable()
            while self._health.is_unavailable:
                is_coordinator = self._fleet.coordinator.is_active
                interval_ms = (
                    COORDINATOR_PROBE_INTERVAL_MS if is_coordinator else NODE_PROBE_INTERVAL_MS
                )
                await self._health.wait_for_recovery_hint(interval_ms)
                await self._probe()
            self._send_store_returned()

    async def _probe(self) -> None:
        async with curio.ignore_after(PROBE_TIMEOUT_S):
            with contextlib.suppress(StoreError):
                await self._store.read(PROBE_TABLE, "", "coordinator", "", 1)

    def _send_store_returned(self) -> None:
        """Inform all nodes if this is the coordinator, else the coordinator, which informs them."""
        if self._fleet.coordinator.is_active:
            self._fleet.coordinator.broadcast_store_returned()
            return
        target = self._fleet.leader.target()
        if target is not None:
            self._fleet.transport.send(target.host, StoreReturned(self._fleet.identity.node))
