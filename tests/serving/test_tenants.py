"""Callers with keys at real sockets: who is served, in whose name, and what nobody may see."""

import json
from pathlib import Path
from typing import Any

import curio
import h11
import pytest
from click.testing import CliRunner
from fleet_world import (
    HOST,
    Answer,
    FleetWorld,
    configuration,
    in_world,
    read_answer,
    route,
    with_key,
)

from cloverwalk.cli import tenants as tenants_command
from cloverwalk.cli.errors import EXIT_USAGE
from cloverwalk.cli.main import cli
from cloverwalk.core import catalogue
from cloverwalk.fleet import messages, transport
from cloverwalk.platform import names
from cloverwalk.telemetry.tenant_metrics import (
    MAX_LABELS,
    OTHERS,
    TenantMetrics,
    TenantOutcome,
)

TENANT = names.TENANT.decode().lower()
AUTHORIZATION = names.AUTHORIZATION.decode().lower()
FIRST, SECOND, OTHER = "first-key-of-quiz", "second-key-of-quiz", "key-of-the-archive"


def tenant(name: str, keys: list[str], **more: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": keys, **more}


def with_tenants(version: int, quiz_keys: list[str] | None = None, **limits: Any) -> dict[str, Any]:
    keys = [FIRST, SECOND] if quiz_keys is None else quiz_keys
    routes = [
        route("chat", "/chat/", "streaming", resumable=True),
        route("once", "/once/", "streaming", max_attempts=1),
        route("open", "/open/", "safe", public=True),
        route("jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60),
        route("few", "/few/", "batch", retention_s=60, max_queued_tokens=50),
    ]
    tenants = [tenant("quiz", keys, **limits), tenant("archive", [OTHER])]
    return configuration(version, routes, tenants)


async def started(world: FleetWorld, replicas: int = 1, nodes: int = 1, **limits: Any) -> None:
    await world.start(replicas=replicas, nodes=nodes)
    await put(world, with_tenants(2, **limits))


async def put(world: FleetWorld, document: dict[str, Any]) -> None:
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
    version = document["version"]
    await world.until(lambda: all(one._configuration.version == version for one in world.nodes))


async def call_on_job(world: FleetWorld, method: str, job_id: str, key: str) -> Answer:
    return await world.call(method, f"{names.JOB_PREFIX}{job_id}", headers=with_key(key))


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("Authorization", "Bearer no-such-key")],
        [("Authorization", "Bearer")],
        [("Authorization", f"Basic {FIRST}")],
        [("Authorization", FIRST)],
        [("Authorization", f"Bearer {FIRST}"), ("Authorization", f"Bearer {FIRST}")],
    ],
)
def test_a_request_without_a_known_key_is_refused_at_once(headers: list[tuple[str, str]]) -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        request = [(names.REQUEST_ID.decode(), "id-1"), *headers]
        answer = await world.call("POST", "/chat/a", b"prompt", request)
        assert (answer.status, answer.is_whole) == (401, True)
        job = await world.call("POST", "/jobs/x", b"{}", request)
        assert job.status == 401
        for method in ("GET", "DELETE"):
            assert (await world.call(method, f"{names.JOB_PREFIX}j", headers=headers)).status == 401
        item = await world.call("GET", f"{names.ITEM_PREFIX}j?id=a", headers=headers)
        assert item.status == 401
        assert world.replicas[0].arrivals == []

    in_world(test)


def test_a_replica_gets_the_name_of_the_tenant_and_no_key() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        headers = [
            (names.REQUEST_ID.decode(), "id-1"),
            (names.TENANT.decode(), "archive"),
            ("authorization", f"bearer {SECOND}"),
            ("X-Other", "kept"),
        ]
        assert (await world.call("POST", "/chat/a", b"prompt", headers)).status == 200
        (arrival,) = world.replicas[0].arrivals
        sent = [value for name, value in arrival.raw_headers if name.decode().lower() == TENANT]
        assert sent == [b"quiz"]
        assert AUTHORIZATION not in arrival.headers
        assert arrival.headers["x-other"] == "kept"

    in_world(test)


def test_a_public_route_needs_no_key() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        for key, name in (("", None), ("no-such-key", None), (OTHER, "archive")):
            assert (await world.ask("/open/a", key=key)).status == 200
            arrival = world.replicas[0].arrivals[-1]
            assert arrival.headers.get(TENANT) == name
            assert AUTHORIZATION not in arrival.headers

    in_world(test)


def test_without_tenants_headers_of_callers_pass_but_for_the_name_of_a_tenant() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        headers = [(names.REQUEST_ID.decode(), "id-1"), (names.TENANT.decode(), "quiz")]
        await world.call("POST", "/chat/a", b"prompt", [*headers, *with_key("for-the-replica")])
        (arrival,) = world.replicas[0].arrivals
        assert TENANT not in arrival.headers
        assert arrival.headers[AUTHORIZATION] == "Bearer for-the-replica"

    in_world(test)


def test_a_key_that_was_taken_away_is_refused_on_a_kept_connection() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        sock = await world.connect()
        http = h11.Connection(h11.CLIENT)

        async def ask(key: str) -> int:
            headers = [
                ("Host", HOST),
                (names.REQUEST_ID.decode(), world.new_id()),
                ("Content-Length", "0"),
                *with_key(key),
            ]
            data = http.send(h11.Request(method="POST", target="/chat/a", headers=headers)) or b""
            await sock.sendall(data + (http.send(h11.EndOfMessage()) or b""))
            answer = await read_answer(sock, http)
            http.start_next_cycle()
            return answer.status

        assert await ask(FIRST) == 200
        await put(world, with_tenants(3, [SECOND, "a-new-key"]))
        assert [await ask(FIRST), await ask(SECOND), await ask("a-new-key")] == [401, 200, 200]

    in_world(test)


def test_a_node_that_the_store_refuses_learns_of_keys_from_its_peers() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world, nodes=2)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        other = next(one for one in world.nodes if not one._fleet.coordinator.is_active)
        await other._configuration_follower._health.record_failure()
        other._configuration_follower._on_changes = nothing
        other._configuration_follower._on_full_read = nothing
        await put(world, with_tenants(3, [SECOND]))
        index = world.nodes.index(other)
        assert (await world.ask("/chat/a", key=FIRST, node=index)).status == 401
        assert (await world.ask("/chat/a", key=SECOND, node=index)).status == 200

    in_world(test)


async def nothing(_page: object) -> None:
    return


def test_a_bad_tenant_keeps_the_version_before_in_force() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        bad = with_tenants(3, [SECOND], rate_per_s=-1)
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, bad)
        await put(world, with_tenants(4, [FIRST]))
        assert (await world.ask("/chat/a", key=FIRST)).status == 200

    in_world(test)


# --- jobs ---


def test_a_job_belongs_to_its_tenant() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world, nodes=2)
        assert (await world.hand_in("j", key=FIRST)).status == 202
        for method in ("GET", "DELETE"):
            theirs = await call_on_job(world, method, "j", OTHER)
            nobodys = await call_on_job(world, method, "no-such-job", OTHER)
            assert (theirs.status, theirs.body) == (nobodys.status, nobodys.body)
            assert theirs.status == 404
        item = f"{names.ITEM_PREFIX}j?id=j-0"
        assert (await world.call("GET", item, headers=with_key(OTHER))).status == 404
        # Another key of the same tenant will do, also once the first is gone.
        await put(world, with_tenants(3, [SECOND]))
        results = await world.until_done("j", 3, node=1, key=SECOND)
        assert {one["state"] for one in results} == {"succeeded"}
        assert (await call_on_job(world, "DELETE", "j", SECOND)).status == 200
        assert (await call_on_job(world, "DELETE", "j", SECOND)).status == 200
        assert {one.headers.get(TENANT) for one in world.replicas[0].arrivals} == {"quiz"}

    in_world(test)


def test_items_go_on_in_the_name_of_their_tenant_at_another_node() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2, nodes=2, events=30, event_s=0.05)
        await put(world, with_tenants(2))
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        assert (await world.hand_in("j", node=0, key=FIRST)).status == 202
        await world.until(lambda: any(one.arrivals for one in world.replicas))
        await world.kill_node(0)
        await world.until_done("j", 3, node=1, key=FIRST)
        arrivals = [one for replica in world.replicas for one in replica.arrivals]
        assert len(arrivals) > 3
        assert {one.headers.get(TENANT) for one in arrivals} == {"quiz"}

    in_world(test)


def test_the_waiting_tokens_of_one_tenant_are_not_anothers() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world)
        world.replicas[0].event_s = 5.0
        assert (await world.hand_in("a", count=4, path="/few/x", key=FIRST)).status == 202
        assert (await world.hand_in("b", count=4, path="/few/x", key=FIRST)).status == 429
        assert (await world.hand_in("c", count=4, path="/few/x", key=OTHER)).status == 202

    in_world(test)


# --- quotas ---


def test_a_tenant_beyond_its_quota_is_refused_at_once_and_the_others_are_served() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world, nodes=2, rate_per_s=2.0, burst=4)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        answers = [await world.ask("/chat/a", key=FIRST, node=number % 2) for number in range(40)]
        refused = [one for one in answers if one.status == 429]
        assert {one.status for one in answers} == {200, 429}
        assert 0 < len(answers) - len(refused) <= (4 + 2 * 5) * 1.1 + 20
        assert all(0 <= float(one.headers["retry-after"]) <= 0.5 for one in refused)
        assert (await world.ask("/chat/a", key=OTHER)).status == 200
        served = len([one for one in world.replicas[0].arrivals if one.headers[TENANT] == "quiz"])
        assert served == len(answers) - len(refused)

    in_world(test)


def test_refusals_by_quota_cost_the_coordinator_little() -> None:
    async def test(world: FleetWorld) -> None:
        await started(world, nodes=2, rate_per_s=0.2, burst=1)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        other = next(one for one in world.nodes if not one._fleet.coordinator.is_active)
        index = world.nodes.index(other)
        asked = 0
        send_placement_request = other._fleet.link.send_placement_request

        async def counting(request: messages.PlacementRequest) -> messages.Contact | None:
            nonlocal asked
            asked += 1
            return await send_placement_request(request)

        other._fleet.link.send_placement_request = counting  # type: ignore[method-assign]
        answers = [await world.ask("/chat/a", key=FIRST, node=index) for _ in range(60)]
        refused = sum(one.status == 429 for one in answers)
        assert refused > 30
        assert asked - (len(answers) - refused) < refused / 2

    in_world(test)


# --- keys stay here ---


def test_no_key_stands_in_any_output(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    datagrams: list[bytes] = []
    encode = messages.encode_datagram

    def recording(message: messages.Datagram) -> bytes:
        data = encode(message)
        datagrams.append(data)
        return data

    monkeypatch.setattr(transport, "encode_datagram", recording)

    async def test(world: FleetWorld) -> None:
        log = tmp_path / "log"
        log.touch()
        world.log_path = str(log)
        await started(world, nodes=2, rate_per_s=1.0, burst=1)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        held = [await world.hand_in("j", key=FIRST)]
        for number in range(30):
            held.append(await world.ask("/chat/a", key=FIRST, node=number % 2))
        held.append(await world.ask("/chat/a", key="no-such-key"))
        held.append(await call_on_job(world, "GET", "j", OTHER))
        await world.until_done("j", 3, key=FIRST)
        # A process that has just started is sent the configuration by its peer.
        other = next(one for one in world.nodes if not one._fleet.coordinator.is_active)
        other._configuration.current = None
        await world.until(lambda: other._configuration.current is not None)
        assert any(b'"configuration"' in one for one in datagrams)
        metrics = await world.call(
            "GET", "/metrics", address=world.nodes[0]._settings.metrics_address
        )
        rows = [
            str(row.value)
            for key, row in world.store.rows._rows.items()
            if key.table != names.OPERATOR_TABLE
        ]
        sent = [str(one.raw_headers) for one in world.replicas[0].arrivals]
        outputs = {
            "log": log.read_text(),
            "datagrams": str(datagrams),
            "answers": str(held),
            "metrics": str(metrics.body),
            "store": str(rows),
            "replica": str(sent),
        }
        assert "tenant_refused" in outputs["log"]
        leaks = [
            (where, key)
            for where, text in outputs.items()
            for key in (FIRST, SECOND, OTHER, "no-such-key")
            if key in text
        ]
        assert leaks == []

    in_world(test)


def test_the_log_names_a_tenant_when_it_is_first_refused_and_when_that_is_over(
    tmp_path: Path,
) -> None:
    async def test(world: FleetWorld) -> None:
        log = tmp_path / "log"
        log.touch()
        world.log_path = str(log)
        await started(world, rate_per_s=1.0, burst=1)
        for _ in range(30):
            await world.ask("/chat/a", key=FIRST)

        def events(number: int) -> list[dict[str, Any]]:
            lines = [json.loads(line) for line in log.read_text().splitlines()]
            return [one for one in lines if one["number"] == number]

        await world.until(lambda: len(events(catalogue.TENANT_WITHIN_QUOTA)) == 1)
        (refused,) = events(catalogue.TENANT_REFUSED)
        (over,) = events(catalogue.TENANT_WITHIN_QUOTA)
        assert (refused["tenant"], over["tenant"]) == ("quiz", "quiz")
        assert over["refused"] > 10

    in_world(test)


def test_a_request_that_waits_in_a_node_without_a_coordinator_is_not_lost() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=0)
        world.store.put(
            names.OPERATOR_TABLE, names.CONFIGURATION_KEY, with_tenants(2, rate_per_s=9, burst=9)
        )
        await world.add_node()
        await world.until(lambda: world.nodes[0].is_ready)
        async with curio.timeout_after(5):
            assert (await world.ask("/chat/a", key=FIRST)).status == 200

    in_world(test)


def test_the_command_tells_use_and_quota_by_tenant_and_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    texts: dict[str, str] = {}

    async def test(world: FleetWorld) -> None:
        await started(world, rate_per_s=1.0, burst=1)
        for _ in range(30):
            await world.ask("/chat/a", key=FIRST)
        await world.ask("/chat/a", key=OTHER)
        address = world.nodes[0]._settings.metrics_address
        answer = await world.call("GET", "/metrics", address=address)
        texts["127.0.0.2:7735"] = answer.body.decode()

    in_world(test)

    async def fetch(address: str) -> str:
        return texts[address]

    monkeypatch.setattr(tenants_command, "_fetch", fetch)
    told = CliRunner().invoke(cli, ["tenants", "127.0.0.2:7735", "--json"])
    assert told.exit_code == 0
    by_tenant = {one["tenant"]: one for one in json.loads(told.output)}
    quiz = by_tenant["quiz"]
    assert (quiz["rate_per_s"], quiz["burst"]) == (1.0, 1.0)
    assert quiz["counts"]["answered"] + quiz["counts"]["over_quota"] == 30
    assert quiz["counts"]["over_quota"] > 0
    assert by_tenant["archive"]["counts"] == {"answered": 1}
    assert by_tenant["archive"]["rate_per_s"] is None
    table = CliRunner().invoke(cli, ["tenants", "127.0.0.2:7735", "--tenant", "archive"])
    assert table.output.splitlines()[1].split()[:3] == ["archive", "127.0.0.2:7735", "1"]


def test_the_command_says_which_address_is_none() -> None:
    told = CliRunner().invoke(cli, ["tenants", "nowhere"])
    assert told.exit_code == EXIT_USAGE
    assert "'nowhere' is not an address" in told.output


def test_metrics_name_the_largest_tenants_only() -> None:
    metrics = TenantMetrics()
    for number in range(100):
        for _ in range(number + 1):
            metrics.request_ended(f"t{number}", TenantOutcome.ANSWERED)
    counts = metrics.counts()
    assert len(counts) == MAX_LABELS + 1
    assert counts["t99", TenantOutcome.ANSWERED] == 100
    assert counts[OTHERS, TenantOutcome.ANSWERED] == sum(range(1, 81))
