"""Instances under test in a run, each with its settings file and log, as processes or simulated elsewhere."""

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

# Loopback addresses 127.N.N.N differ between processes, and between the calls in one process.
FIRST_NETWORK = 16
NETWORKS = 64
HOSTS = 250

_address_numbers = count()


def free_address() -> Address:
    """Return an unused port on a loopback address that only this process uses.

    On a shared address, another process could take the port before the caller listens on it.
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
    """One instance of a run; subclasses implement how it is executed."""

    def __init__(
        self, loop: Loop, number: int, zone: str, listen: Address, out: Path, transcript: Transcript
    ) -> None:
        self.loop = loop
        self.number = number
        self.zone = zone
        self.listen = listen
        self.settings_file = out / f"umpire-{number}.conf"
        self.log = out / f"umpire-{number}.log"
        self.endpoint_cache = out / f"umpire-{number}-roster.json"  # the path that its settings name
        self.transcript = transcript
        self.skew = Skew()

    def free_address(self) -> Address:
        """Return an unused address on this instance's network."""
        return free_address()

    @abstractmethod
    def start(self) -> None:
        """Start the instance; after it has ended, it may be started again."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Return whether the instance is not running."""

    @abstractmethod
    def signal(self, number: int) -> None:
        """Send a signal to the instance."""

    @abstractmethod
    def exit_code(self) -> int | None:
        """Return the exit code, or None if there is none yet."""

    def send_signal(self, number: int, event: str) -> None:
        """Send a signal and record it, unless the instance has ended."""
        if not self.has_ended():
            self.transcript.add("umpire", event, umpire=self.number)
            self.signal(number)

    def kill(self) -> None:
        """Kill the instance with SIGKILL."""
        self.send_signal(signal.SIGKILL, "killed")

    def shut_down(self) -> int | None:
        """Shut the instance down gracefully; return its exit code, or None if it had to be killed."""
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
        """Return whether the instance answers its readiness check with status 200."""
        try:
            answer = request_once(
                self.loop, self.listen, b"/.stepsail/ready", connect_timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            return False
        return answer.status == OK


class InstanceProcess(RunningInstance):
    """An instance that runs as an operating system process."""

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
        """Start the process, appending its output to the log."""
        clock = [] if self.skew == Skew() else ["--clock", self.skew.format()]
        command = [*self.command, str(self.settings_file), *clock]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.transcript.add("umpire", "started", umpire=self.number)

    def has_ended(self) -> bool:
        """Return whether the process has ended or was never started."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: int) -> None:
        """Send the process a signal; after SIGKILL, wait until it has ended."""
        if self.process:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()

    def exit_code(self) -> int | None:
        """Return the exit code of the process, or None if it was never started or has not ended."""
        return self.process.returncode if self.process else None


InstanceFactory = Callable[[Loop, int, str, Path, Transcript], RunningInstance]


def instance_processes(command: list[str] | None = None) -> InstanceFactory:
    """Return a factory for instances that run `command`, by default `stepsail umpire`, as processes."""

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
