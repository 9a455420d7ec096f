"""Probes node processes for their readiness and the version of their configuration."""

import re

import curio

from cloverwalk.platform import names
from cloverwalk.soak.connection import Answer, call_once
from cloverwalk.soak.events import ReadinessSeen, VersionTold
from cloverwalk.soak.history import History
from cloverwalk.soak.processes import NodeProcess

READINESS_INTERVAL_S = 0.5
VERSION_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 2.0
METRICS_PATH = "/metrics"
VERSION_PATTERN = re.compile(rb"^cloverwalk_configuration_version (\S+)$", re.MULTILINE)


class NodeProbe:
    """Probes one node; an answer is dropped if the process was replaced meanwhile."""

    def __init__(self, node: NodeProcess, history: History) -> None:
        self._node = node
        self._history = history
        self.is_ready = False
        self.version = 0

    async def watch_readiness(self) -> None:
        """Probe the readiness periodically until cancelled."""
        while True:
            await self.probe_readiness()
            await curio.sleep(READINESS_INTERVAL_S)

    async def watch_version(self) -> None:
        """Probe the version periodically until cancelled."""
        while True:
            await self.probe_version()
            await curio.sleep(VERSION_INTERVAL_S)

    async def probe_readiness(self) -> None:
        """Probe once whether the node is ready; record the answer."""
        pid, asked_at = self._node.pid, self._history.now()
        answer = await self._get(self._node.ready_address, names.READY_PATH)
        self.is_ready = answer.status == 200
        if answer.status == 0 or pid != self._node.pid:
            return
        self._history.record(
            ReadinessSeen(node=self._node.name, pid=pid, asked_at=asked_at, status=answer.status)
        )

    async def probe_version(self) -> None:
        """Read the configuration version from the metrics once; record it."""
        pid = self._node.pid
        answer = await self._get(self._node.metrics_address, METRICS_PATH)
        match = VERSION_PATTERN.search(answer.body)
        if match is None or pid != self._node.pid or not self._node.is_running:
            return
        version = int(float(match.group(1)))
        self.version = version
        if version > 0:
            self._history.record(VersionTold(node=self._node.name, pid=pid, version=version))

    async def _get(self, address: tuple[str, int], path: str) -> Answer:
        headers = [("Host", address[0])]
        answer = await call_once(address, "GET", path, headers, b"", PROBE_TIMEOUT_S)
        return answer if answer.is_whole else Answer()
