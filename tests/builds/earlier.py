"""Takes earlier builds from this repository's history, and runs them."""

import io
import json
import os
import subprocess
import sys
import tarfile
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]
Sample = dict[str, Any]
RECORD = Path(__file__).with_name("record.py")
LAST_LANDING = "be91ba6"
EARLIER_BUILDS = (LAST_LANDING, "1bb0755")
"""The last two landings; what they send and store must be read, and the other way around."""


def read_samples(commit: str) -> tuple[Sample, list[Sample]]:
    """Return the samples that a build recorded, after its keys of rows and its fingerprints."""
    path = RECORD.parent / commit / "samples.jsonl"
    constants, *samples = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
    return constants, samples


def extract_source(commit: str, folder: Path) -> Path:
    """Return the ``src`` folder of a commit; fail the test if the clone lacks the commit."""
    command = ["git", "archive", "--format=tar", commit, "src"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        reason = archive.stderr.decode(errors="replace").strip()
        pytest.fail(f"commit {commit} is not in this clone's history: {reason}")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder / commit, filter="data")
    return folder / commit / "src"


def run_record(source: Path, mode: str, samples: list[dict[str, Any]]) -> list[Any]:
    """Run ``record.py`` on a build with some samples; return what it printed, by line."""
    text = "".join(json.dumps(sample) + "\n" for sample in samples)
    ended = subprocess.run(
        [sys.executable, str(RECORD), mode],
        input=text,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(source)},
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
    return [json.loads(line) for line in ended.stdout.splitlines()]
