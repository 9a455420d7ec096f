"""Runs nodes as separate processes, which are signalled by their process ids only."""

import contextlib
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, Signals

import curio

from cloverwalk.platform import names
from cloverwalk.soak.addresses import SoakNetwork
from cloverwalk.soak.build_steps import Build
from cloverwalk.soak.deployment import ZONES
from cloverwalk.soak.events import NodeGone, NodeSignalled, NodeStarted
from cloverwalk.soak.history import History

PROGRAM = "from cloverwalk.platform.program import main; main()"
SEED_NODE_COUNT = 3
POLL_INTERVAL_S = 0.05
STOP_GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL on the platform."""

SIGKILL_DELAY_S = 2 * STOP_GRACE_S
"""Longer than on the platform, to allow for a busy machine."""

QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
"""Share by which a tenant may exceed the limit of a window."""

QUOTA_SLACK = 20.0
"""Requests that a tenant may run in a window beyond that."""

JOB_STATUS_TTL_S = 7_200.0
"""How long jobs stay readable after they ended; all of them are read once more after the faults."""

FILLING_BYTES = (50_000, 4_000, 1)
"""Lengths of the datagrams that fill a receive buffer, the last ones its remaining gaps."""

FILLING_DATAGRAMS = 300

DEFAULT_RESTART_DELAY_S = 0.2


class NodeProcess:
    """One node: its settings, its current process and when that is restarted."""

    def __init__(self, number: int, network: SoakNetwork, folder: Path, history: History) -> None:
        self.number = number
        self.host = network.node_host(number)
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{number}"
        self.client_address = (self.host, network.port)
        self.ready_address = (self.host, network.port + 1)
        self.peer_address = (self.host, network.port + 2)
        self.metrics_address = (self.host, network.port + 3)
        self.proxied_address = (self.host, network.port + 4)
        self.store_address = (self.host, network.port + 5)
        self.is_end_requested = False
        self.restart_delay_s = DEFAULT_RESTART_DELAY_S
        self.build: Build | None = None
        """The build of the next process; None if the soak runs a single build."""

        self.source: Path | None = None
        """Source folder of the next process; None for that of the soak itself."""

        self._network = network
        self._folder = folder
        self._history = history
        self._frozen: set[int] = set()
        self._process: subprocess.Popen[bytes] | None = None
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(self._settings_text())

    def _settings_text(self) -> str:
        """Return the settings file in the platform's format."""
        port = self._network.port
        seeds = [
            f"{self._network.node_host(number)}:{port + 2}" for number in range(SEED_NODE_COUNT)
        ]
        host, store_port = self.store_address
        lines = [
            f'node = "{self.name}"',
            f'ip = "{self.host}"',
            f'zone = "{self.zone}"',
            f"ephemeral_ports = [{port + 2}, {port + 3}]",
            f"seeds = {json.dumps(seeds)}",
            "[listen]",
            f'front = "{self.host}:{port}"',
            f'ready = "{self.host}:{port + 1}"',
            "[platform]",
            f'address = "{host}:{store_port}"',
            "[bounds]",
            f"grace_s = {STOP_GRACE_S}",
            f"status_s = {JOB_STATUS_TTL_S}",
            f"quota_window_s = {QUOTA_WINDOW_S}",
            f"quota_overshoot = {QUOTA_OVERSHOOT}",
            f"quota_slack = {QUOTA_SLACK}",
        ]
        return "\n".join(lines) + "\n"

    # --- the process ---

    @property
    def pid(self) -> int:
        """The id of the current process, 0 if none was started."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the current process has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def is_frozen(self) -> bool:
        """Whether the process is stopped by SIGSTOP."""
        return bool(self._frozen)

    def start(self) -> None:
        """Start the process; its output goes to files in the soak's folder."""
        self.is_end_requested = False
        self._frozen.clear()
        environment = {**os.environ, names.SETTINGS_VARIABLE: str(self._settings)}
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        with (
            (self._folder / f"{self.name}.log").open("ab") as log,
            (self._folder / f"{self.name}.err").open("ab") as errors,
        ):
            self._process = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=errors,
                start_new_session=True,
            )
        self._history.record(NodeStarted(node=self.name, pid=self.pid, build=self.build or ""))

    def signal(self, signal_number: Signals) -> None:
        """Send a signal to the current process, if it is running."""
        if self._process is None or not self.is_running:
            return
        self._history.record(NodeSignalled(node=self.name, pid=self.pid, signal=signal_number.name))
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal_number)

    def freeze(self, fault: int) -> None:
        """Stop the process by SIGSTOP; it continues when the last freeze ends."""
        self._frozen.add(fault)
        self.signal(SIGSTOP)

    def fill_receive_buffer(self) -> None:
        """Send invalid datagrams to a suspended process until its socket takes no more."""
        if not self.is_frozen:
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for size in FILLING_BYTES:
                for _ in range(FILLING_DATAGRAMS):
                    sock.sendto(bytes(size), self.peer_address)

    def thaw(self, fault: int) -> None:
        """End one freeze; continue the process if it was the last."""
        if fault in self._frozen:
            self._frozen.discard(fault)
            if not self._frozen:
                self.signal(SIGCONT)

    def end(self, signal_number: Signals, restart_delay_s: float) -> None:
        """Send a signal that ends the process; it is restarted after a delay."""
        self.is_end_requested = True
        self.restart_delay_s = restart_delay_s
        self.signal(signal_number)

    def kill_and_wait(self) -> None:
        """Kill the current process in any state and wait for its exit."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def supervise(self) -> None:
        """Start the process and restart it after each exit, until cancelled."""
        while True:
            self.start()
            await self._wait_until_exited()
            assert self._process is not None
            status = self._process.returncode
            was_asked = self.is_end_requested
            exit_event = NodeGone(node=self.name, pid=self.pid, status=status, was_asked=was_asked)
            self._history.record(exit_event)
            await curio.sleep(self.restart_delay_s)

    async def _wait_until_exited(self) -> None:
        stop_wait_s = 0.0
        while self.is_running:
            await curio.sleep(POLL_INTERVAL_S)
            stop_wait_s = stop_wait_s + POLL_INTERVAL_S if self.is_end_requested else 0.0
            if stop_wait_s > SIGKILL_DELAY_S:
                self.signal(SIGKILL)
                stop_wait_s = 0.0
