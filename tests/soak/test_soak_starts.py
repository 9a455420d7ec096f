"""Replicas that restart with the same id, and entries that another writer corrupts."""

from pathlib import Path
from random import Random
from typing import Any

import curio
import msgspec
import pytest

from cloverwalk.platform import names
from cloverwalk.platform.documents import decode_replica
from cloverwalk.soak.addresses import find_network
from cloverwalk.soak.history import History
from cloverwalk.soak.replicas import INVALID_FIELDS, ReplicaFleet


class EntryRecorder:
    """Records the entries that are written to the store."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, Any]] = []

    def put(self, table: str, key: str, document: Any) -> None:
        assert table == names.REPLICA_TABLE
        self.rows.append((key, document))


async def _start_fleet(folder: Path) -> tuple[ReplicaFleet, EntryRecorder]:
    """Start a fleet of one replica."""
    recorder: Any = EntryRecorder()
    history = History(folder / "history.jsonl", lambda: 0.0)
    fleet = ReplicaFleet(1, find_network(), recorder, history, Random(1))
    await fleet.start()
    return fleet, recorder


def _is_valid(document: Any) -> bool:
    try:
        decode_replica("i-0-1", msgspec.json.encode(document), 1)
    except ValueError:
        return False
    return True


def test_restarted_replica_keeps_its_id_behind_silenced_connections(tmp_path: Path) -> None:
    async def main() -> None:
        fleet, recorder = await _start_fleet(tmp_path)
        host = fleet.hosts[0]
        caller = await curio.open_connection(*host.proxy.address)
        while not host.proxy._connections:
            await curio.sleep(0.001)
        await fleet.restart(0, 0.0)
        (first, before), (second, after) = recorder.rows
        assert first == second and after["born"] > before["born"]
        assert after["address"] == before["address"]
        (connection,) = host.proxy._connections
        assert connection.is_silenced, "callers must get no bytes"
        assert host.replica is not None and host.replica.running == 0
        await caller.close()
        await fleet.close()

    curio.run(main)


@pytest.mark.parametrize("invalid_fields", INVALID_FIELDS)
def test_corrupted_entry_is_invalid_and_then_restored(
    invalid_fields: dict[str, object], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        fleet, recorder = await _start_fleet(tmp_path)
        monkeypatch.setattr(fleet._random, "choice", lambda _: invalid_fields)
        await fleet.corrupt_entry(0, 0.0)
        await fleet.close()
        first, corrupted, last = (_is_valid(document) for _, document in recorder.rows)
        assert first and last and not corrupted

    curio.run(main)
