"""The entry point of the process that the platform runs: one serving node."""

import sys

from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.settings import PlatformSettingsError
from cloverwalk.serving.node import run_node

EXIT_SETTINGS = 4


def main() -> None:
    """Run a node until it is stopped; exit with a one-line message if the settings are invalid."""
    try:
        run_node(PlatformAdapter())
    except PlatformSettingsError as error:
        sys.stderr.write(f"cloverwalk: settings: {error}\n")
        sys.exit(EXIT_SETTINGS)
