"""Runs the node program as separate processes on loopback, for tests and measurements."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from fleet_world import free_port

from cloverwalk.platform import names

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "node.py"
ZONES = ("z1", "z2", "z3")
SEEDS = 3


class NodeProcess:
    """One process of the node program."""

    def __init__(
        self,
        number: int,
        ports: list[int],
        store_port: int,
        folder: Path,
        more: str = "",
        keeps_log: bool = False,
    ) -> None:
        self.host = f"127.0.1.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.node = f"front-{self.zone}-{number}"
        self.client_address = (self.host, ports[0])
        self.ready_address = (self.host, ports[1])
        self.peer_address = (self.host, ports[2])
        self._settings = folder / f"{number}.toml"
        self.log_path = folder / f"{number}.log"
        """Log of all processes of this node; written if ``keeps_log``."""

        self.errors_path = folder / f"{number}.errors"
        """Their standard error, such as tracebacks of tasks; written if ``keeps_log``."""

        self._keeps_log = keeps_log
        self._settings.write_text(self._settings_text(ports, store_port, more))
        self.popen = self._start()

    def _settings_text(self, ports: list[int], store_port: int, more: str) -> str:
        """Return the content of the node's settings file, in the platform's format."""
        client, ready, first, last = ports
        seeds = json.dumps([f"127.0.1.{number + 1}:{first}" for number in range(SEEDS)])
        return "\n".join(
            [
                f'node = "{self.node}"',
                f'ip = "{self.host}"',
                f'zone = "{self.zone}"',
                f"ephemeral_ports = [{first}, {last}]",
                f"seeds = {seeds}",
                more,
                "[listen]",
                f'front = "{self.host}:{client}"',
                f'ready = "{self.host}:{ready}"',
                "[platform]",
                f'address = "127.0.0.1:{store_port}"',
                "",
            ]
        )

    def _start(self) -> "subprocess.Popen[bytes]":
        environment = {**os.environ, names.SETTINGS_VARIABLE: str(self._settings)}
        command = [sys.executable, str(PROGRAM)]
        if not self._keeps_log:
            return subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)
        with open(self.log_path, "ab") as log, open(self.errors_path, "ab") as errors:
            return subprocess.Popen(command, env=environment, stdout=log, stderr=errors)

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def restart(self) -> None:
        """Kill the process and start the program again with the same settings."""
        self.kill()
        self.popen = self._start()


@contextmanager
def node_processes(
    count: int, store_port: int, more: str = "", keeps_logs: bool = False
) -> Iterator[list[NodeProcess]]:
    """Start a fleet, with the lines ``more`` in their settings; kill its processes at the end."""
    ports = [free_port() for _ in range(4)]
    started: list[NodeProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(count):
                started.append(
                    NodeProcess(number, ports, store_port, Path(folder), more, keeps_logs)
                )
            yield started
        finally:
            for process in started:
                process.kill()
