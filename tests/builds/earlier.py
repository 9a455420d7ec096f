"""Extracts earlier builds from the repository's history and runs them."""

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
PREVIOUS_BUILD = "411336d"
EARLIER_BUILDS = (PREVIOUS_BUILD, "505d633", "4a019ab", "cde1730", "59019dd", "be91ba6", "1bb0755")
"""Builds with which this build must exchange messages and stored values, the newest first."""


def read_samples(commit: str) -> tuple[Sample, list[Sample]]:
    """Return the row keys and fingerprints of a build, and the samples that it recorded."""
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
    """Run ``record.py`` on a build with samples as its input; return its decoded output lines."""
    text = "".join(json.dumps(sample) + "\n" for sample in samples)
    completed = subprocess.run(
        [sys.executable, str(RECORD), mode],
        input=text,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(source)},
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    return [json.loads(line) for line in completed.stdout.splitlines()]
