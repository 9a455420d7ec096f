"""A node decodes and applies a long configuration in steps, between which other tasks run."""

import gc
import json
import os
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from fleet_world import configuration, route
from returning_world import SimulatedTime, in_simulated_time

from cloverwalk.fleet.messages import ConfigurationCopy
from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.steps import Steps
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.documents import ENTRIES_PER_STEP, decode_configuration
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.store.types import Row, RowKey, RowPage
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.startup import StartupLog

STEPS = 8
LONG = STEPS * ENTRIES_PER_STEP


def document(version: int, routes: int) -> dict[str, Any]:
    return configuration(
        version, [route(f"r{number}", f"/r{number}/", "safe") for number in range(routes)]
    )


def page(wire: dict[str, Any]) -> RowPage:
    key = RowKey("op", "", PlatformAdapter.configuration_key)
    return RowPage([Row(key, json.dumps(wire).encode(), wire["version"])], wire["version"], None)


def in_node(test: Callable[[FleetState, SimulatedTime], Awaitable[None]]) -> None:
    async def run(time: SimulatedTime) -> None:
        log = ServingLog("n", time, os.open(os.devnull, os.O_WRONLY))
        await test(FleetState(PlatformAdapter(), log, time, StartupLog(log, time, time.now)), time)

    in_simulated_time(run)


def copy(version: int, routes: int = 1) -> ConfigurationCopy:
    raw = json.dumps(document(version, routes)).encode()
    return ConfigurationCopy(decode_configuration(raw), 0)


# Guards against an older version that replaces a newer one received during its decoding.
@pytest.mark.parametrize(("decoded", "copied"), [(8, 9), (9, 8)])
def test_newest_version_stays_when_another_arrives_during_decoding(
    decoded: int, copied: int
) -> None:
    async def test(state: FleetState, time: SimulatedTime) -> None:
        decoding = await curio.spawn(state.on_configuration, page(document(decoded, LONG)))
        await curio.sleep(0)
        state.apply_configuration_copy(copy(copied), "peer")
        assert state.configuration.version == copied
        await decoding.join()
        assert state.configuration.version == 9

    in_node(test)


# Guards against a partly applied version if an entry near its end is invalid.
def test_version_in_force_stays_when_decoding_fails_halfway() -> None:
    async def test(state: FleetState, time: SimulatedTime) -> None:
        state.apply_configuration_copy(copy(7), "peer")
        before = state.configuration.current
        invalid = document(8, LONG)
        invalid["routes"][-1]["host"] = None
        await state.on_configuration(page(invalid))
        assert state.configuration.current is before
        time.now += 60
        state.on_configuration_confirmed(time.now)
        assert state.configuration.age_ms(time.now) >= 60_000

    in_node(test)


# Guards against a long version that blocks other tasks while it is applied.
def test_other_tasks_run_while_a_long_version_is_taken() -> None:
    async def test(state: FleetState, time: SimulatedTime) -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while state.configuration.version < 8:
                turns += 1
                await curio.sleep(0)

        counting = await curio.spawn(count_turns)
        await state.on_configuration(page(document(8, LONG)))
        await counting.join()
        assert turns > STEPS
        assert state.configuration.current is not None
        assert "index" in state.configuration.current.__dict__

    in_node(test)


# Guards against replaced long versions that stay in memory.
def test_replaced_version_is_released() -> None:
    async def test(state: FleetState, time: SimulatedTime) -> None:
        await state.on_configuration(page(document(8, LONG)))
        assert state.configuration.current is not None
        index = weakref.ref(state.configuration.current.index)
        state.apply_configuration_copy(copy(9), "peer")
        await state.release_replaced_configurations()
        gc.collect()
        assert index() is None

    in_node(test)


# Guards against applying a version before its preparations have run.
def test_version_is_prepared_before_it_is_in_force() -> None:
    async def test(state: FleetState, time: SimulatedTime) -> None:
        versions: list[tuple[int, int]] = []

        def prepare(newer: Configuration) -> Steps[None]:
            yield
            versions.append((state.configuration.version, newer.version))

        state.configuration.preparations.append(prepare)
        for version in (7, 8, 8):
            await state.on_configuration(page(document(version, 1)))
        assert versions == [(-1, 7), (7, 8)]

    in_node(test)
