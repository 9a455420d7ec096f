"""Replicas of a soak that start again under their id, and entries of another writer."""

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
from cloverwalk.soak.replicas import ODD_FIELDS, ReplicaFleet


class Entries:
    """Takes entries in place of a store."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, Any]] = []

    def put(self, table: str, key: str, document: Any) -> None:
        assert table == names.REPLICA_TABLE
        self.rows.append((key, document))


async def _fleet(folder: Path) -> tuple[ReplicaFleet, Entries]:
    """Start one replica."""
    entries: Any = Entries()
    history = History(folder / "history.jsonl", lambda: 0.0)
    fleet = ReplicaFleet(1, find_network(), entries, history, Random(1))
    await fleet.start()
    return fleet, entries


def _is_good(document: Any) -> bool:
    try:
        decode_replica("i-0-1", msgspec.json.encode(document), 1)
    except ValueError:
        return False
    return True


def test_a_replica_starts_again_under_its_id_behind_silent_connections(tmp_path: Path) -> None:
    async def main() -> None:
        fleet, entries = await _fleet(tmp_path)
        place = fleet.places[0]
        caller = await curio.open_connection(*place.proxy.address)
        while not place.proxy._carried:
            await curio.sleep(0.001)
        await fleet.restart(0, 0.0)
        (first, before), (second, after) = entries.rows
        assert first == second and after["born"] > before["born"]
        assert after["address"] == before["address"]
        (carried,) = place.proxy._carried
        assert carried.is_silenced, "its callers hear nothing"
        assert place.replica is not None and place.replica.running == 0
        await caller.close()
        await fleet.close()

    curio.run(main)


@pytest.mark.parametrize("odd", ODD_FIELDS)
def test_another_writers_entry_is_odd_and_the_replicas_own_is_good(
    odd: dict[str, object], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        fleet, entries = await _fleet(tmp_path)
        monkeypatch.setattr(fleet._random, "choice", lambda _: odd)
        await fleet.spoil_entry(0, 0.0)
        await fleet.close()
        first, spoilt, last = (_is_good(document) for _, document in entries.rows)
        assert first and last and not spoilt

    curio.run(main)
