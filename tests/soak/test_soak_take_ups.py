"""Streams of a version that joins while a node is out of step are taken up at this node."""

from pathlib import Path
from random import Random

import pytest

from cloverwalk.soak.draw import OverlapWay, draw_overlap
from cloverwalk.soak.events import ReplicaStarted, RequestSent
from cloverwalk.soak.history import read_history
from cloverwalk.soak.plan import Plan, check_plan
from cloverwalk.soak.run import HISTORY_FILE, Soak

NODES = 4
REPLICAS = 6
DURATION_S = 9.0
OVERLAP_AT_S = 2.0
VERSION = "v2"
MIN_TAKE_UPS = 6


def plan(seed: int, way: OverlapWay) -> Plan:
    """Return a schedule of one overlap; all replicas have the same version before."""
    random = Random(f"take-ups/{seed}")
    actions = draw_overlap(random, NODES, OVERLAP_AT_S, VERSION, way)
    return Plan(seed, NODES, REPLICAS, DURATION_S, sorted(actions, key=lambda action: action.at_s))


@pytest.mark.parametrize(
    ("way", "seed"),
    [(OverlapWay.NODES_AND_STORE, 2), (OverlapWay.NODES_THAT_COULD_NOT_WRITE, 1)],
)
def test_streams_taken_up_at_a_node_out_of_step_keep_their_version(
    way: OverlapWay, seed: int, tmp_path: Path
) -> None:
    check_plan(plan(seed, way), "test")
    lines: list[str] = []
    result = Soak(plan(seed, way), tmp_path, lines.append).run()
    assert result.violations == [], "\n".join(lines)
    events = list(read_history(tmp_path / HISTORY_FILE))
    assert any(
        isinstance(event, ReplicaStarted) and event.software_version == VERSION for event in events
    )
    take_ups = [event for event in events if isinstance(event, RequestSent) and event.is_take_up]
    assert len(take_ups) >= MIN_TAKE_UPS, result.take_ups
