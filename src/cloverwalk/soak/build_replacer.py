"""Runs nodes from the source of two builds, and replaces them as scheduled."""

from pathlib import Path
from signal import SIGKILL, SIGTERM

import curio

from cloverwalk.soak.build_steps import Build, BuildStep
from cloverwalk.soak.errors import SoakInputError
from cloverwalk.soak.history import History
from cloverwalk.soak.processes import NodeProcess

PACKAGE_FILE = Path("cloverwalk", "__init__.py")


class BuildReplacer:
    """Starts all nodes with the earlier build, if there are steps, and runs the steps."""

    def __init__(
        self,
        steps: list[BuildStep],
        nodes: list[NodeProcess],
        earlier_source: Path | None,
        history: History,
    ) -> None:
        if steps:
            check_earlier_source(earlier_source)
        self._steps = steps
        self._nodes = nodes
        self._earlier_source = earlier_source
        self._history = history
        for node in nodes if steps else ():
            self._set_build(node, Build.EARLIER)

    def _set_build(self, node: NodeProcess, build: Build) -> None:
        node.build = build
        node.source = self._earlier_source if build is Build.EARLIER else None

    async def run(self) -> None:
        """Replace nodes as scheduled; the supervisor of a node starts its new process."""
        started_at = self._history.now()
        for step in self._steps:
            await curio.sleep(max(0.0, started_at + step.at_s - self._history.now()))
            node = self._nodes[step.node]
            self._set_build(node, step.build)
            node.end(SIGKILL if step.is_killed else SIGTERM, step.downtime_s)


def check_earlier_source(source: Path | None) -> None:
    """Raise SoakInputError unless a folder contains the source of a build."""
    if source is None:
        raise SoakInputError("the schedule replaces builds, but no earlier source is given")
    if not (source / PACKAGE_FILE).is_file():
        raise SoakInputError(f"{source}: there is no {PACKAGE_FILE} in this folder")
