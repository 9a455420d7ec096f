"""Bad input, slow and half-open clients, too many connections: told so, and nobody else pays."""

import json
import socket
from collections.abc import Iterator

import pytest
from click.testing import CliRunner
from cluster import MODEL, Cluster, call, wait_for

from cloverwalk.cli.main import cli

MAX_CONNECTIONS = 12


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    made = Cluster(zones=("levee",))
    small = made._add(
        *("node", "--node-id", "small", "--zone", "levee", "--platform", made.platform.address),
        *("--http-port", "0", "--peer-port", "0", "--peer", made.nodes["levee-n"].addresses[1]),
        *("--set", f"http.max_connections={MAX_CONNECTIONS}"),
        *("--set", "http.header_timeout_s=0.5", "--set", "http.body_timeout_s=0.5"),
        *("--set", "http.max_body_bytes=20000", "--set", "http.max_online_body_bytes=10000"),
        *("--set", "http.max_header_bytes=4000"),
    )
    made.nodes["small"] = small
    wait_for(lambda: call(small.address, "GET", "/readyz").status == 200, "the small node")
    wait_for(lambda: made.owned_replicas(small) == 1, "the small node to see the replica")
    yield made
    made.close()


def still_serves(cluster: Cluster) -> bool:
    """Whether another caller is served as if nothing had been."""
    return cluster.online(cluster.nodes["small"].address, "fine?", 2).status == 200


GOOD = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"max_tokens": "many"}, "max_tokens"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"messages": []}, "messages"),
        ({"messages": [{"role": "user"}]}, "messages[0]"),
        ({"model": ""}, "model"),
        ({"stream": 3}, "stream"),
    ],
)
def test_a_bad_field_is_named(cluster: Cluster, changes: dict[str, object], field: str) -> None:
    headers = {"Cloverwalk-Session": cluster.session}
    body = json.dumps(GOOD | changes).encode()
    answer = call(cluster.any_node(), "POST", "/v1/chat/completions", body, headers)
    assert answer.status == 400
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.json()["field"] == field
    assert answer.json()["outcome"] == "not_run"


@pytest.mark.parametrize(
    ("headers", "status", "field"),
    [
        ({"Cloverwalk-Session": ""}, 400, "cloverwalk-session"),
        ({"Cloverwalk-Session": "s-none"}, 404, "cloverwalk-session"),
        ({"Cloverwalk-Kind": "a b"}, 400, "cloverwalk-kind"),
        ({"Cloverwalk-Deadline-Ms": "soon"}, 400, "cloverwalk-deadline-ms"),
        ({"Cloverwalk-Deadline-Ms": "99999999999999"}, 400, "cloverwalk-deadline-ms"),
        ({"Cloverwalk-At-Most-Once": "yes"}, 400, "cloverwalk-at-most-once"),
        ({"Cloverwalk-At-Most-Once": "true"}, 400, "idempotency-key"),
        ({"Idempotency-Key": "k" * 300}, 400, "idempotency-key"),
    ],
)
def test_a_bad_header_is_named(
    cluster: Cluster, headers: dict[str, str], status: int, field: str
) -> None:
    all_headers = {"Cloverwalk-Session": cluster.session} | headers
    body = json.dumps(GOOD).encode()
    answer = call(cluster.any_node(), "POST", "/v1/chat/completions", body, all_headers)
    assert (answer.status, answer.json()["field"]) == (status, field)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"", "body"),
        (b'{"custom_id":"a","body":{"messages":[]}}', "line 1: body.messages"),
        (
            b'{"custom_id":"a","body":{"messages":[{"role":"u","content":"x"}]}}\n\n{"custom',
            "line 3: body",
        ),
        (b'{"custom_id":"a","body":{"messages":[{"role":"u","content":"x"}]}}\n' * 2, "line 2"),
        (b"\xff\xfe{}", "line 1: body"),
        (
            b'{"custom_id":"a","body":{"model":"x","messages":[{"role":"u","content":"x"}]}}',
            "line 1: body.model",
        ),
    ],
)
def test_a_bad_line_of_a_batch_is_named(cluster: Cluster, body: bytes, field: str) -> None:
    headers = {"Cloverwalk-Session": cluster.session, "Cloverwalk-Model": MODEL}
    answer = call(cluster.any_node(), "POST", "/v1/batches", body, headers)
    assert answer.status == 400
    assert answer.json()["field"].startswith(field)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/nothing", 404),
        ("PUT", "/v1/chat/completions", 405),
        ("GET", "/v1/batches/none", 404),
        ("GET", "/v1/batches/a.0.b", 404),
        ("GET", "/v1/requests/none", 404),
        ("DELETE", "/v1/sessions/s-none", 404),
        ("PUT", "/v1/table", 400),
    ],
)
def test_wrong_paths_methods_and_names(
    cluster: Cluster, method: str, path: str, status: int
) -> None:
    answer = call(cluster.any_node(), method, path)
    assert answer.status == status
    assert answer.json()["code"]


def test_too_large_a_body_is_refused(cluster: Cluster) -> None:
    address = cluster.nodes["small"].address
    headers = {"Cloverwalk-Session": cluster.session}
    for size in (15_000, 100_000):
        answer = call(address, "POST", "/v1/chat/completions", b"x" * size, headers)
        assert (answer.status, answer.json()["code"]) == (413, "too_large")
    assert still_serves(cluster)


def raw(address: str, data: bytes) -> bytes:
    """Send bytes and return all that comes until the server closes."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=30) as sock:
        sock.sendall(data)
        received = b""
        while part := sock.recv(65536):
            received += part
        return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),  # no Host
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 9000 + b"\r\n\r\n", b"431"),
        (b"GET /v1/table HTTP/1.1\r\nHost: ", b"408"),  # never ends its headers
        (
            b"POST /v1/batches HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nshort",
            b"408",
        ),
    ],
)
def test_broken_and_slow_requests_are_ended(cluster: Cluster, data: bytes, status: bytes) -> None:
    received = raw(cluster.nodes["small"].address, data)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert still_serves(cluster)


def test_more_than_the_allowed_connections_are_turned_away(cluster: Cluster) -> None:
    address = cluster.nodes["small"].address
    host, port = address.split(":")
    idle = [socket.create_connection((host, int(port))) for _ in range(MAX_CONNECTIONS)]
    try:
        wait_for(lambda: call(address, "GET", "/healthz").status == 503, "a full node")
        answer = call(address, "GET", "/healthz")
        assert answer.json()["code"] == "too_many_connections"
        assert "retry-after" in answer.headers
    finally:
        for sock in idle:
            sock.close()
    wait_for(lambda: call(address, "GET", "/healthz").status == 200, "room again")
    assert still_serves(cluster)


def test_a_caller_that_goes_away_costs_nobody_and_keeps_its_answer(cluster: Cluster) -> None:
    address = cluster.nodes["small"].address
    host, port = address.split(":")
    body = json.dumps(GOOD | {"max_tokens": 40, "stream": True}).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nCloverwalk-Session: {cluster.session}"
        "\r\nCloverwalk-Kind: ruling\r\nIdempotency-Key: gone"
        f"\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode() + body)
        assert sock.recv(100)
    answer = cluster.online(address, "x", 40, Idempotency_Key="gone")
    assert answer.status == 200
    assert len([one for one in cluster.starts() if one == answer.json()["id"]]) == 1


def test_garbage_on_the_peer_port_is_logged_and_ends_that_connection_only(
    cluster: Cluster,
) -> None:
    node = cluster.nodes["small"]
    for data in (b"not a netstring", b"3:abc,", b'20:{"sender":1,"x":"y"},'):
        assert raw(node.addresses[1], data) == b""
    wait_for(lambda: any("bad_peer_message" in line for line in node.lines), "the log event")
    assert still_serves(cluster)


def test_metrics_are_exported(cluster: Cluster) -> None:
    assert still_serves(cluster)
    text = call(cluster.nodes["small"].address, "GET", "/metrics").body.decode()
    assert 'cloverwalk_admitted_total{work_class="online"}' in text


# --- the command line ---


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(cli, list(arguments))
    assert result.exception is None or isinstance(result.exception, SystemExit), result
    return result.exit_code, result.output


def test_every_command_has_help_with_an_example() -> None:
    pending: list[tuple[str, ...]] = [()]
    while pending:
        words = pending.pop()
        code, output = run(*words, "--help")
        assert code == 0
        assert "Example: cloverwalk" in output, words
        command = cli
        for word in words:
            command = command.commands[word]  # type: ignore[assignment]
        pending += [(*words, name) for name in getattr(command, "commands", {})]


def test_the_command_line_works_from_end_to_end(cluster: Cluster, tmp_path: object) -> None:
    node = ("--node", cluster.any_node())
    code, session = run("session", "open", "--tenant", "t", "--name", "n", *node)
    assert code == 0
    assert session.strip() in run("session", "list", *node)[1]
    items = f"{tmp_path}/items.jsonl"
    line = {"custom_id": "a", "body": {"messages": [{"role": "u", "content": "x"}]}}
    with open(items, "w", encoding="utf-8") as file:
        file.write(json.dumps(line))
    submit = ("batch", "submit", items, "--session", session.strip(), "--model", MODEL)
    code, output = run(*submit, "--json", *node)
    assert code == 0
    job_id = json.loads(output.splitlines()[-1])["id"]
    wait_for(lambda: "completed" in run("batch", "status", job_id, *node)[1], "the job")
    assert '"custom_id":"a"' in run("batch", "results", job_id, *node)[1]
    assert run("batch", "cancel", job_id, *node) == (0, f"{job_id} completed\n")
    table = f"{tmp_path}/table.csv"
    assert run("table", "set", "--session", "*", "--kind", "a", "weight=2", *node)[0] == 0
    assert run("table", "export", table, *node)[0] == 0
    assert run("table", "import", table, "--if-version", "0", *node)[0] == 5
    assert run("table", "import", table, *node)[0] == 0
    assert "version 2" in run("table", "history", *node)[1]
    assert "*,a,,2" in run("table", "show", *node)[1]
    assert "levee-r" in run("fleet", "show", *node)[1]
    assert run("session", "close", session.strip(), *node)[0] == 0
    assert run(*submit, *node)[0] == 1  # the session is closed


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("fleet", "show", "--node", "127.0.0.1:1"), 3),
        (("fleet", "show", "--node", "nowhere"), 2),
        (("table", "set", "--session", "*", "--kind", "a", "weight"), 2),
        (("table", "import", "/nonexistent"), 2),
        (("batch", "submit", "/nonexistent", "--session", "s", "--model", "m"), 2),
        (("settings", "check", "/nonexistent"), 4),
        (("node", "--zone", "levee"), 4),
        (("node", "--set", "x"), 2),
        (("nonsense",), 2),
    ],
)
def test_no_command_ends_in_a_traceback(arguments: tuple[str, ...], code: int) -> None:
    found, output = run(*arguments)
    assert found == code, output
    assert "Traceback" not in output


def test_every_fault_of_a_settings_file_is_told_at_once(tmp_path: object) -> None:
    path = f"{tmp_path}/node.toml"
    with open(path, "w", encoding="utf-8") as file:
        file.write('[node]\nnode_id = "a b"\nzone = "levee"\ncolour = 1\n')
        file.write('platform = "here"\n[node.gossip]\nfanout = 0\n')
    code, output = run("settings", "check", path)
    assert code == 4
    for name in ("node.node_id", "node.colour", "node.platform", "node.gossip.fanout"):
        assert name in output
