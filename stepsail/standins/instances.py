"""The instances under test in a run, each with its settings file and log; as processes, or emulated elsewhere."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import count
from pathlib import Path

from stepsail.http.single_request import request_once
from stepsail.loop import Loop
from stepsail.loop.driver import Address
from stepsail.loop.skew import Skew
from stepsail.standins.transcript import Transcript

SHUTDOWN_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 0.2
POLL_INTERVAL_S = 0.05
OK = 200

# Loopback addresses 127.N.N.N, spread over processes and over the calls of one process.
FIRST_NETWORK = 16
NETWORKS = 64
HOSTS = 250

_address_numbers = count()


def free_address() -> Address:
    """An address that nobody listens on: a loopback address that only this process uses, and a port there.

    On an address that others use too, another process may take the port before it is listened on.
    """
    number = next(_address_numbers)
    process = os.getpid()
    network = FIRST_NETWORK + process % NETWORKS
    host = f"127.{network}.{process // NETWORKS % HOSTS}.{1 + number % HOSTS}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        bound_host, port = probe.getsockname()
        return bound_host, port


class RunningInstance(ABC):
    """One instance of a run; a subclass says where it runs."""

    def __init__(
        self, loop: Loop, number: int, zone: str, listen: Address, out: Path, transcript: Transcript
    ) -> None:
        self.loop = loop
        self.number = number
        self.zone = zone
        self.listen = listen
        self.settings_file = out / f"umpire-{number}.conf"
        self.log = out / f"umpire-{number}.log"
        self.endpoint_cache = out / f"umpire-{number}-roster.json"  # as its settings name it
        self.transcript = transcript
        self.skew = Skew()

    def free_address(self) -> Address:
        """An address where nobody listens, on the network that this instance is on."""
        return free_address()

    @abstractmethod
    def start(self) -> None:
        """Start it, also again after its end."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Whether it runs no more."""

    @abstractmethod
    def signal(self, number: int) -> None:
        """Send its process a signal."""

    @abstractmethod
    def exit_code(self) -> int | None:
        """Its exit code, once it has ended."""

    def send_signal(self, number: int, event: str) -> None:
        """Send a signal and record it, unless the instance has ended."""
        if not self.has_ended():
            self.transcript.add("umpire", event, umpire=self.number)
            self.signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.send_signal(signal.SIGKILL, "killed")

    def shut_down(self) -> int | None:
        """Ask it to stop, and wait; its exit code, or None if it had to be killed."""
        self.send_signal(signal.SIGTERM, "told to leave")
        deadline = self.loop.now() + SHUTDOWN_TIMEOUT_S
        while not self.has_ended() and self.loop.now() < deadline:
            self.loop.sleep(POLL_INTERVAL_S)
        if not self.has_ended():
            self.kill()
            return None
        self.transcript.add("umpire", "ended", umpire=self.number, code=self.exit_code())
        return self.exit_code()

    def is_ready(self) -> bool:
        """Whether it says that it is; waits a moment for its answer."""
        try:
            answer = request_once(
                self.loop, self.listen, b"/.stepsail/ready", connect_timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            return False
        return answer.status == OK


class InstanceProcess(RunningInstance):
    """An instance as a process of its own."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        zone: str,
        listen: Address,
        out: Path,
        transcript: Transcript,
        command: list[str],
    ) -> None:
        super().__init__(loop, number, zone, listen, out, transcript)
        self.command = command
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output goes to the log."""
        clock = [] if self.skew == Skew() else ["--clock", self.skew.format()]
        command = [*self.command, str(self.settings_file), *clock]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.transcript.add("umpire", "started", umpire=self.number)

    def has_ended(self) -> bool:
        """Whether the process has ended, or was never started."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: int) -> None:
        """Send the process a signal; after SIGKILL, wait for its end."""
        if self.process:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    def exit_code(self) -> int | None:
        """The exit code of the process, once it has ended."""
        return self.process.returncode if self.process else None


InstanceFactory = Callable[[Loop, int, str, Path, Transcript], RunningInstance]


def instance_processes(command: list[str] | None = None) -> InstanceFactory:
    """Make instances as processes that run this command, or the usual one."""

    def make(loop: Loop, number: int, zone: str, out: Path, transcript: Transcript) -> RunningInstance:
        return InstanceProcess(
            loop,
            number,
            zone,
            free_address(),
            out,
            transcript,
            command or [sys.executable, "-m", "stepsail", "umpire"],
        )

    return make
