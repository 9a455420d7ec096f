"""Starts the serving node from a checkout; see deploy/system.toml."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from cloverwalk.platform.program import main  # noqa: E402

main()
