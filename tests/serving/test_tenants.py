"""Tenants over real sockets: identification by key, ownership of jobs, quotas, secrecy of keys."""

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
from cloverwalk.fleet import datagrams, messages
from cloverwalk.platform import names
from cloverwalk.telemetry.tenant_metrics import (
    MAX_LABELS,
    OTHER_TENANTS,
    TenantMetrics,
    TenantOutcome,
)

TENANT = names.TENANT.decode().lower()
AUTHORIZATION = names.AUTHORIZATION.decode().lower()
FIRST_KEY, SECOND_KEY, OTHER_TENANT_KEY = (
    "first-key-of-quiz",
    "second-key-of-quiz",
    "key-of-the-archive",
)


def tenant(name: str, keys: list[str], **fields: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": keys, **fields}


def with_tenants(version: int, quiz_keys: list[str] | None = None, **limits: Any) -> dict[str, Any]:
    keys = [FIRST_KEY, SECOND_KEY] if quiz_keys is None else quiz_keys
    routes = [
        route("chat", "/chat/", "streaming", resumable=True),
        route("once", "/once/", "streaming", max_attempts=1),
        route("open", "/open/", "safe", public=True),
        route("jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60),
        route("few", "/few/", "batch", retention_s=60, max_queued_tokens=50),
    ]
    tenants = [tenant("quiz", keys, **limits), tenant("archive", [OTHER_TENANT_KEY])]
    return configuration(version, routes, tenants)


async def start_with_tenants(
    world: FleetWorld, replicas: int = 1, nodes: int = 1, **limits: Any
) -> None:
    await world.start(replicas=replicas, nodes=nodes)
    await put_configuration(world, with_tenants(2, **limits))


async def put_configuration(world: FleetWorld, document: dict[str, Any]) -> None:
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
    version = document["version"]
    await world.wait_until(
        lambda: all(node._configuration.version == version for node in world.nodes)
    )


async def call_on_job(world: FleetWorld, method: str, job_id: str, key: str) -> Answer:
    return await world.call(method, f"{names.JOB_PREFIX}{job_id}", headers=with_key(key))


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("Authorization", "Bearer no-such-key")],
        [("Authorization", "Bearer")],
        [("Authorization", f"Basic {FIRST_KEY}")],
        [("Authorization", FIRST_KEY)],
        [("Authorization", f"Bearer {FIRST_KEY}"), ("Authorization", f"Bearer {FIRST_KEY}")],
    ],
)
def test_a_request_without_a_valid_key_is_rejected(headers: list[tuple[str, str]]) -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world)
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


def test_a_replica_receives_the_tenant_name_and_no_key() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world)
        headers = [
            (names.REQUEST_ID.decode(), "id-1"),
            (names.TENANT.decode(), "archive"),
            ("authorization", f"bearer {SECOND_KEY}"),
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
        await start_with_tenants(world)
        for key, name in (("", None), ("no-such-key", None), (OTHER_TENANT_KEY, "archive")):
            assert (await world.ask("/open/a", key=key)).status == 200
            arrival = world.replicas[0].arrivals[-1]
            assert arrival.headers.get(TENANT) == name
            assert AUTHORIZATION not in arrival.headers

    in_world(test)


def test_without_tenants_only_the_tenant_header_is_removed() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        headers = [(names.REQUEST_ID.decode(), "id-1"), (names.TENANT.decode(), "quiz")]
        await world.call("POST", "/chat/a", b"prompt", [*headers, *with_key("for-the-replica")])
        (arrival,) = world.replicas[0].arrivals
        assert TENANT not in arrival.headers
        assert arrival.headers[AUTHORIZATION] == "Bearer for-the-replica"

    in_world(test)


def test_a_revoked_key_is_rejected_on_an_open_connection() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world)
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

        assert await ask(FIRST_KEY) == 200
        await put_configuration(world, with_tenants(3, [SECOND_KEY, "a-new-key"]))
        assert [await ask(FIRST_KEY), await ask(SECOND_KEY), await ask("a-new-key")] == [
            401,
            200,
            200,
        ]

    in_world(test)


def test_a_node_without_the_store_receives_keys_from_its_peers() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, nodes=2)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        follower = next(node for node in world.nodes if not node._fleet.coordinator.is_active)
        await follower._configuration_follower._health.record_failure()
        follower._configuration_follower._on_changes = ignore_page
        follower._configuration_follower._on_full_read = ignore_page
        await put_configuration(world, with_tenants(3, [SECOND_KEY]))
        index = world.nodes.index(follower)
        assert (await world.ask("/chat/a", key=FIRST_KEY, node=index)).status == 401
        assert (await world.ask("/chat/a", key=SECOND_KEY, node=index)).status == 200

    in_world(test)


async def ignore_page(_page: object) -> None:
    return


def test_an_invalid_tenant_leaves_the_previous_configuration_in_force() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world)
        invalid = with_tenants(3, [SECOND_KEY], rate_per_s=-1)
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, invalid)
        await put_configuration(world, with_tenants(4, [FIRST_KEY]))
        assert (await world.ask("/chat/a", key=FIRST_KEY)).status == 200

    in_world(test)


# --- jobs ---


def test_a_job_is_visible_to_its_tenant_only() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, nodes=2)
        assert (await world.submit_job("j", key=FIRST_KEY)).status == 202
        for method in ("GET", "DELETE"):
            foreign_job = await call_on_job(world, method, "j", OTHER_TENANT_KEY)
            missing_job = await call_on_job(world, method, "no-such-job", OTHER_TENANT_KEY)
            assert (foreign_job.status, foreign_job.body) == (missing_job.status, missing_job.body)
            assert foreign_job.status == 404
        item = f"{names.ITEM_PREFIX}j?id=j-0"
        assert (await world.call("GET", item, headers=with_key(OTHER_TENANT_KEY))).status == 404
        # Another key of the same tenant gives access too, also after the first was removed.
        await put_configuration(world, with_tenants(3, [SECOND_KEY]))
        results = await world.until_done("j", 3, node=1, key=SECOND_KEY)
        assert {result["state"] for result in results} == {"succeeded"}
        assert (await call_on_job(world, "DELETE", "j", SECOND_KEY)).status == 200
        assert (await call_on_job(world, "DELETE", "j", SECOND_KEY)).status == 200
        assert {arrival.headers.get(TENANT) for arrival in world.replicas[0].arrivals} == {"quiz"}

    in_world(test)


def test_items_keep_their_tenant_after_a_job_takeover() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=2, nodes=2, events=30, event_s=0.05)
        await put_configuration(world, with_tenants(2))
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        assert (await world.submit_job("j", node=0, key=FIRST_KEY)).status == 202
        await world.wait_until(lambda: any(replica.arrivals for replica in world.replicas))
        await world.kill_node(0)
        await world.until_done("j", 3, node=1, key=FIRST_KEY)
        arrivals = [arrival for replica in world.replicas for arrival in replica.arrivals]
        assert len(arrivals) > 3
        assert {arrival.headers.get(TENANT) for arrival in arrivals} == {"quiz"}

    in_world(test)


def test_the_queued_token_limit_is_counted_per_tenant() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world)
        world.replicas[0].event_s = 5.0
        assert (await world.submit_job("a", count=4, path="/few/x", key=FIRST_KEY)).status == 202
        assert (await world.submit_job("b", count=4, path="/few/x", key=FIRST_KEY)).status == 429
        assert (
            await world.submit_job("c", count=4, path="/few/x", key=OTHER_TENANT_KEY)
        ).status == 202

    in_world(test)


# --- quotas ---


def test_a_tenant_over_its_quota_is_refused_and_others_are_served() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, nodes=2, rate_per_s=2.0, burst=4)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        answers = [
            await world.ask("/chat/a", key=FIRST_KEY, node=number % 2) for number in range(40)
        ]
        refused = [answer for answer in answers if answer.status == 429]
        assert {answer.status for answer in answers} == {200, 429}
        assert 0 < len(answers) - len(refused) <= (4 + 2 * 5) * 1.1 + 20
        assert all(0 <= float(answer.headers["retry-after"]) <= 0.5 for answer in refused)
        assert (await world.ask("/chat/a", key=OTHER_TENANT_KEY)).status == 200
        served = len(
            [arrival for arrival in world.replicas[0].arrivals if arrival.headers[TENANT] == "quiz"]
        )
        assert served == len(answers) - len(refused)

    in_world(test)


def test_most_quota_refusals_need_no_placement_request() -> None:
    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, nodes=2, rate_per_s=0.2, burst=1)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        follower = next(node for node in world.nodes if not node._fleet.coordinator.is_active)
        index = world.nodes.index(follower)
        request_count = 0
        send_request = follower._fleet.coordinator_client.send_placement_request

        async def counting_send(request: messages.PlacementRequest) -> messages.Contact | None:
            nonlocal request_count
            request_count += 1
            return await send_request(request)

        follower._fleet.coordinator_client.send_placement_request = counting_send  # type: ignore[method-assign]
        answers = [await world.ask("/chat/a", key=FIRST_KEY, node=index) for _ in range(60)]
        refused = sum(answer.status == 429 for answer in answers)
        assert refused > 30
        assert request_count - (len(answers) - refused) < refused / 2

    in_world(test)


# --- secrecy of keys ---


def test_no_output_contains_a_key(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    encoded: list[bytes] = []
    encode = messages.encode_datagram

    def recording(message: messages.Datagram) -> bytes:
        data = encode(message)
        encoded.append(data)
        return data

    monkeypatch.setattr(datagrams, "encode_datagram", recording)

    async def test(world: FleetWorld) -> None:
        log = tmp_path / "log"
        log.touch()
        world.log_path = str(log)
        await start_with_tenants(world, nodes=2, rate_per_s=1.0, burst=1)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        answers = [await world.submit_job("j", key=FIRST_KEY)]
        for number in range(30):
            answers.append(await world.ask("/chat/a", key=FIRST_KEY, node=number % 2))
        answers.append(await world.ask("/chat/a", key="no-such-key"))
        answers.append(await call_on_job(world, "GET", "j", OTHER_TENANT_KEY))
        await world.until_done("j", 3, key=FIRST_KEY)
        # A process that has just started receives the configuration from a peer.
        follower = next(node for node in world.nodes if not node._fleet.coordinator.is_active)
        follower._configuration.current = None
        await world.wait_until(lambda: follower._configuration.current is not None)
        assert any(b'"configuration"' in datagram for datagram in encoded)
        metrics = await world.call(
            "GET", "/metrics", address=world.nodes[0]._settings.metrics_address
        )
        rows = [
            str(row.value)
            for key, row in world.store.rows._rows.items()
            if key.table != names.OPERATOR_TABLE
        ]
        sent = [str(arrival.raw_headers) for arrival in world.replicas[0].arrivals]
        outputs = {
            "log": log.read_text(),
            "datagrams": str(encoded),
            "answers": str(answers),
            "metrics": str(metrics.body),
            "store": str(rows),
            "replica": str(sent),
        }
        assert "tenant_refused" in outputs["log"]
        leaks = [
            (where, key)
            for where, text in outputs.items()
            for key in (FIRST_KEY, SECOND_KEY, OTHER_TENANT_KEY, "no-such-key")
            if key in text
        ]
        assert leaks == []

    in_world(test)


def test_the_log_records_the_start_and_end_of_quota_refusals(
    tmp_path: Path,
) -> None:
    async def test(world: FleetWorld) -> None:
        log = tmp_path / "log"
        log.touch()
        world.log_path = str(log)
        await start_with_tenants(world, rate_per_s=1.0, burst=1)
        for _ in range(30):
            await world.ask("/chat/a", key=FIRST_KEY)

        def events(number: int) -> list[dict[str, Any]]:
            lines = [json.loads(line) for line in log.read_text().splitlines()]
            return [line for line in lines if line["number"] == number]

        await world.wait_until(lambda: len(events(catalogue.TENANT_WITHIN_QUOTA)) == 1)
        (refused,) = events(catalogue.TENANT_REFUSED)
        (within_quota,) = events(catalogue.TENANT_WITHIN_QUOTA)
        assert (refused["tenant"], within_quota["tenant"]) == ("quiz", "quiz")
        assert within_quota["refused"] > 10

    in_world(test)


def test_a_request_received_before_a_coordinator_is_known_is_served() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=0)
        world.store.put(
            names.OPERATOR_TABLE, names.CONFIGURATION_KEY, with_tenants(2, rate_per_s=9, burst=9)
        )
        await world.add_node()
        await world.wait_until(lambda: world.nodes[0].is_ready)
        async with curio.timeout_after(5):
            assert (await world.ask("/chat/a", key=FIRST_KEY)).status == 200

    in_world(test)


def test_the_tenants_command_prints_use_and_quota(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    texts: dict[str, str] = {}

    async def test(world: FleetWorld) -> None:
        await start_with_tenants(world, rate_per_s=1.0, burst=1)
        for _ in range(30):
            await world.ask("/chat/a", key=FIRST_KEY)
        await world.ask("/chat/a", key=OTHER_TENANT_KEY)
        address = world.nodes[0]._settings.metrics_address
        answer = await world.call("GET", "/metrics", address=address)
        texts["127.0.0.2:7735"] = answer.body.decode()

    in_world(test)

    async def fetch(address: str) -> str:
        return texts[address]

    monkeypatch.setattr(tenants_command, "_fetch", fetch)
    result = CliRunner().invoke(cli, ["tenants", "127.0.0.2:7735", "--json"])
    assert result.exit_code == 0
    by_tenant = {entry["tenant"]: entry for entry in json.loads(result.output)}
    quiz = by_tenant["quiz"]
    assert (quiz["rate_per_s"], quiz["burst"]) == (1.0, 1.0)
    assert quiz["counts"]["answered"] + quiz["counts"]["over_quota"] == 30
    assert quiz["counts"]["over_quota"] > 0
    assert by_tenant["archive"]["counts"] == {"answered": 1}
    assert by_tenant["archive"]["rate_per_s"] is None
    table = CliRunner().invoke(cli, ["tenants", "127.0.0.2:7735", "--tenant", "archive"])
    assert table.output.splitlines()[1].split()[:3] == ["archive", "127.0.0.2:7735", "1"]


def test_the_tenants_command_rejects_an_invalid_address() -> None:
    result = CliRunner().invoke(cli, ["tenants", "nowhere"])
    assert result.exit_code == EXIT_USAGE
    assert "'nowhere' is not an address" in result.output


def test_metrics_label_only_the_largest_tenants() -> None:
    metrics = TenantMetrics()
    for number in range(100):
        for _ in range(number + 1):
            metrics.request_ended(f"t{number}", TenantOutcome.ANSWERED)
    counts = metrics.counts()
    assert len(counts) == MAX_LABELS + 1
    assert counts["t99", TenantOutcome.ANSWERED] == 100
    assert counts[OTHER_TENANTS, TenantOutcome.ANSWERED] == sum(range(1, 81))
