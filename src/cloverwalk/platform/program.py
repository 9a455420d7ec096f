"""The program that the platform runs: one serving node."""

import sys

from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.settings import PlatformSettingsError
from cloverwalk.serving.node import run_node

EXIT_SETTINGS = 4


def main() -> None:
    """Run a node until it is stopped; settings that can't be used end it with one line."""
    try:
        run_node(PlatformAdapter())
    except PlatformSettingsError as error:
        sys.stderr.write(f"cloverwalk: settings: {error}\n")
        sys.exit(EXIT_SETTINGS)
