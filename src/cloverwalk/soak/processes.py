"""The node's program as separate processes: started, signalled, awaited, by their ids only."""

import contextlib
import json
import os
import subprocess
import sys
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, Signals

import curio

from cloverwalk.platform import names
from cloverwalk.soak.addresses import SoakNetwork
from cloverwalk.soak.events import NodeGone, NodeSignalled, NodeStarted
from cloverwalk.soak.history import History

PROGRAM = "from cloverwalk.platform.program import main; main()"
ZONES = ("z1", "z2", "z3")
SEEDS = 3
LOOK_EVERY_S = 0.05
GRACE_S = 8.0
"""After SIGTERM the platform waits so long before SIGKILL."""

KILL_AFTER_S = 2 * GRACE_S
"""Here it waits longer, so that a busy machine is no reason."""

QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
STATUS_S = 7_200.0
"""Jobs stay readable for longer than any soak lasts."""

START_PAUSE_S = 0.2


class NodeProcess:
    """One node: its settings, its present process, and what is to become of it."""

    def __init__(self, number: int, network: SoakNetwork, folder: Path, history: History) -> None:
        self.number = number
        self.host = network.node(number)
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"front-{self.zone}-{number}"
        self.client_address = (self.host, network.port)
        self.ready_address = (self.host, network.port + 1)
        self.metrics_address = (self.host, network.port + 3)
        self.proxied_address = (self.host, network.port + 4)
        self.store_address = (self.host, network.port + 5)
        self.is_asked_to_end = False
        self.away_s = START_PAUSE_S
        self._network = network
        self._folder = folder
        self._history = history
        self._frozen: set[int] = set()
        self._popen: subprocess.Popen[bytes] | None = None
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(self._settings_text())

    def _settings_text(self) -> str:
        """Return the settings file, in the platform's form."""
        port = self._network.port
        seeds = [f"{self._network.node(one)}:{port + 2}" for one in range(SEEDS)]
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
            f"grace_s = {GRACE_S}",
            f"status_s = {STATUS_S}",
            f"quota_window_s = {QUOTA_WINDOW_S}",
            f"quota_overshoot = {QUOTA_OVERSHOOT}",
            f"quota_slack = {QUOTA_SLACK}",
        ]
        return "\n".join(lines) + "\n"

    # --- the process ---

    @property
    def pid(self) -> int:
        """The id of the present process, 0 when there is none."""
        return 0 if self._popen is None else self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether there is a process that is not gone."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def is_frozen(self) -> bool:
        """Whether the process stands still."""
        return bool(self._frozen)

    def start(self) -> None:
        """Start the program; output goes to files of the soak's folder."""
        self.is_asked_to_end = False
        self._frozen.clear()
        environment = {**os.environ, names.SETTINGS_VARIABLE: str(self._settings)}
        with (
            (self._folder / f"{self.name}.log").open("ab") as log,
            (self._folder / f"{self.name}.err").open("ab") as errors,
        ):
            self._popen = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=errors,
                start_new_session=True,
            )
        self._history.note(NodeStarted(node=self.name, pid=self.pid))

    def signal(self, number: Signals) -> None:
        """Send a signal to the present process, if there is one."""
        if self._popen is None or not self.is_running:
            return
        self._history.note(NodeSignalled(node=self.name, pid=self.pid, signal=number.name))
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(number)

    def freeze(self, fault: int) -> None:
        """Stop the process; it goes on when the last freeze is over."""
        self._frozen.add(fault)
        self.signal(SIGSTOP)

    def thaw(self, fault: int) -> None:
        """End one freeze."""
        if fault in self._frozen:
            self._frozen.discard(fault)
            if not self._frozen:
                self.signal(SIGCONT)

    def end(self, how: Signals, away_s: float) -> None:
        """End the process by a signal; it is started again after a time."""
        self.is_asked_to_end = True
        self.away_s = away_s
        self.signal(how)

    def kill_for_good(self) -> None:
        """End the process of this soak, whatever its state."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    async def supervise(self) -> None:
        """Start the process, and again whenever it is gone, until cancelled."""
        while True:
            self.start()
            await self._until_gone()
            assert self._popen is not None
            status = self._popen.returncode
            was_asked = self.is_asked_to_end
            gone = NodeGone(node=self.name, pid=self.pid, status=status, was_asked=was_asked)
            self._history.note(gone)
            await curio.sleep(self.away_s)

    async def _until_gone(self) -> None:
        waited_s = 0.0
        while self.is_running:
            await curio.sleep(LOOK_EVERY_S)
            waited_s = waited_s + LOOK_EVERY_S if self.is_asked_to_end else 0.0
            if waited_s > KILL_AFTER_S:
                self.signal(SIGKILL)
                waited_s = 0.0
