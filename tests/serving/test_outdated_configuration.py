"""Requests and cached quota refusals on a node whose configuration may be outdated."""

from typing import Any

import curio
import pytest
from fleet_world import Answer, FleetWorld, configuration, in_world, route
from test_tenants import FIRST_KEY, put_configuration, start_with_tenants, with_tenants

from cloverwalk.platform import names
from cloverwalk.serving.settings import DEFAULT_CONFIGURATION_APPLY_S

NEW_ROUTE = "/new/"
RAISED_QUOTA_TIMEOUT_S = 2.0


def with_new_route(version: int) -> dict[str, Any]:
    return configuration(
        version, [route("chat", "/chat/", "safe"), route("new", NEW_ROUTE, "safe")]
    )


async def make_store_unavailable(world: FleetWorld) -> None:
    """Let the store refuse all calls, and wait until no node has a confirmed configuration."""
    world.store.is_busy = True
    holders = [node._configuration for node in world.nodes]
    clock = world.nodes[0]._clock
    await world.wait_until(
        lambda: all(
            holder.age_ms(clock()) > DEFAULT_CONFIGURATION_APPLY_S * 1000 for holder in holders
        )
    )


def assert_retry_on_other_node(answer: Answer) -> None:
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) <= 1
    assert answer.headers["connection"] == "close"


# Guards against a 404, which callers do not retry, for a route that a newer version has.
def test_unknown_route_gets_404_only_if_configuration_is_confirmed() -> None:
    async def test(world: FleetWorld) -> None:
        world.configuration_apply_s = DEFAULT_CONFIGURATION_APPLY_S
        await world.start(replicas=1)
        assert (await world.ask(NEW_ROUTE)).status == 404
        await make_store_unavailable(world)
        assert_retry_on_other_node(await world.ask(NEW_ROUTE))
        assert (await world.ask("/chat/a")).status == 200
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, with_new_route(2))
        assert_retry_on_other_node(await world.ask(NEW_ROUTE))
        world.store.is_busy = False
        await world.wait_until(lambda: world.nodes[0]._configuration.version == 2)
        assert (await world.ask(NEW_ROUTE)).status == 200
        assert (await world.ask("/never/")).status == 404

    in_world(test)


# Guards against a 401, which callers do not retry, for a key that a newer version has.
@pytest.mark.parametrize("key", ["", "a-new-key"])
def test_unknown_key_gets_401_only_if_configuration_is_confirmed(key: str) -> None:
    async def test(world: FleetWorld) -> None:
        world.configuration_apply_s = DEFAULT_CONFIGURATION_APPLY_S
        await start_with_tenants(world)
        assert (await world.ask("/chat/a", key=key)).status == 401
        await make_store_unavailable(world)
        assert_retry_on_other_node(await world.ask("/chat/a", key=key))
        assert (await world.ask("/chat/a", key=FIRST_KEY)).status == 200
        assert world.replicas[0].arrivals[-1].headers

    in_world(test)


# Guards against a 404 by an older version while the stored one can't be decoded.
def test_invalid_stored_configuration_does_not_confirm_current_version() -> None:
    async def test(world: FleetWorld) -> None:
        world.configuration_apply_s = DEFAULT_CONFIGURATION_APPLY_S
        await world.start(replicas=1)
        invalid = {"version": "two"}
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, invalid)
        holder, clock = world.nodes[0]._configuration, world.nodes[0]._clock
        await world.wait_until(
            lambda: holder.age_ms(clock()) > DEFAULT_CONFIGURATION_APPLY_S * 1000
        )
        assert_retry_on_other_node(await world.ask(NEW_ROUTE))
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, with_new_route(2))
        await world.wait_until(lambda: holder.version == 2)
        assert (await world.ask("/never/")).status == 404

    in_world(test)


# Guards against a cached 429 that remains after the quota was raised or removed.
@pytest.mark.parametrize("limits", [{"rate_per_s": 500.0, "burst": 500}, {}])
def test_raised_quota_ends_cached_refusals(limits: dict[str, Any]) -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, rate_per_s=0.02, burst=1)
        answers = [await world.ask("/chat/a", key=FIRST_KEY) for _ in range(40)]
        assert answers[-1].status == 429
        assert float(answers[-1].headers["retry-after"]) > 5
        await put_configuration(world, with_tenants(3, **limits))
        async with curio.timeout_after(RAISED_QUOTA_TIMEOUT_S):
            while (await world.ask("/chat/a", key=FIRST_KEY)).status != 200:
                await curio.sleep(0.02)

    in_world(test)
