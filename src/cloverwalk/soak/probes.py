"""Asks every process for its readiness and for the version of its configuration."""

import re

import curio

from cloverwalk.platform import names
from cloverwalk.soak.connection import Answer, call_once
from cloverwalk.soak.events import ReadinessSeen, VersionTold
from cloverwalk.soak.history import History
from cloverwalk.soak.processes import NodeProcess

READY_EVERY_S = 0.5
VERSION_EVERY_S = 1.0
TIMEOUT_S = 2.0
METRICS_PATH = "/metrics"
VERSION = re.compile(rb"^cloverwalk_configuration_version (\S+)$", re.MULTILINE)


class NodeProbe:
    """Asks one node; answers of a process that is gone are left out."""

    def __init__(self, node: NodeProcess, history: History) -> None:
        self._node = node
        self._history = history
        self.is_ready = False
        self.version = 0

    async def watch_readiness(self) -> None:
        """Ask until cancelled."""
        while True:
            await self.ask_ready()
            await curio.sleep(READY_EVERY_S)

    async def watch_version(self) -> None:
        """Ask until cancelled."""
        while True:
            await self.ask_version()
            await curio.sleep(VERSION_EVERY_S)

    async def ask_ready(self) -> None:
        """Ask once whether the node is ready."""
        pid, asked_at = self._node.pid, self._history.now()
        answer = await self._get(self._node.ready_address, names.READY_PATH)
        self.is_ready = answer.status == 200
        if answer.status == 0 or pid != self._node.pid:
            return
        self._history.note(
            ReadinessSeen(node=self._node.name, pid=pid, asked_at=asked_at, status=answer.status)
        )

    async def ask_version(self) -> None:
        """Ask once by which configuration the node goes."""
        pid = self._node.pid
        answer = await self._get(self._node.metrics_address, METRICS_PATH)
        found = VERSION.search(answer.body)
        if found is None or pid != self._node.pid or not self._node.is_running:
            return
        version = int(float(found.group(1)))
        self.version = version
        if version > 0:
            self._history.note(VersionTold(node=self._node.name, pid=pid, version=version))

    async def _get(self, address: tuple[str, int], path: str) -> Answer:
        headers = [("Host", address[0])]
        answer = await call_once(address, "GET", path, headers, b"", TIMEOUT_S)
        return answer if answer.is_whole else Answer()
