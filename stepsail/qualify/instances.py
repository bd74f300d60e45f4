"""Runs instances as real processes, started by the `run` command of the deployment file, and signals them."""

from __future__ import annotations

import signal
import subprocess
import tomllib
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from stepsail.loop import Loop
from stepsail.qualify.platform_stand_in import RELEASE_STATE, Discovery
from stepsail.qualify.records import MemoryPeak, ProcessEvent, ProcessRecord, Records
from stepsail.standins.instances import free_address

ROOT = Path(__file__).parents[2]
DEPLOYMENT_FILE = ROOT / "deploy/balancer.toml"
BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
OLD_ADDRESS_CLOSES_AFTER = 1.5  # s after discovery moved to a new address, as on the platform
REQUESTED_ENDS = frozenset((ProcessEvent.TERMINATED, ProcessEvent.KILLED, ProcessEvent.EXITED))


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Limits of one instance, by the names that the configuration file has for them."""

    cores: float = 0.5
    memory_mb: int = 64
    sockets: int = 256


USUAL_LIMITS = ResourceLimits()
# The least memory that the platform gives an instance, with the most descriptors.
LEAST_MEMORY = ResourceLimits(memory_mb=32, sockets=1024)


class Instance:
    """One instance: its address, its configuration, and its current process.

    Attributes:
        name: `i` and a number.
        listen: Address on which it serves clients.
        log: File with the logs of all its processes.
        process: The current process, or the last one after it has ended.
    """

    def __init__(
        self,
        loop: Loop,
        records: Records,
        folder: Path,
        name: str,
        discovery: Discovery,
        release_control: str,
        settings: dict[str, Any],
        limits: ResourceLimits = USUAL_LIMITS,
    ) -> None:
        self.loop = loop
        self.records = records
        self.name = name
        self.limits = limits
        self.listen = free_address()
        self.process: subprocess.Popen[bytes] | None = None
        folder = folder / name
        folder.mkdir(parents=True)
        self.log = folder / "log"
        self._configuration_file = folder / "config.json"
        self._number = int(name[1:])
        self._discovery = discovery
        self._release_control = release_control
        self._settings = settings
        self._known_endpoints = discovery.endpoint_list()
        self._log_size_at_start = 0
        self._discovery_address = discovery.open(name)
        self.write_configuration()

    def write_configuration(self, is_complete: bool = True) -> None:
        """Write the configuration file, or only its first half, as an interrupted writer would leave it."""
        configuration = {
            "name": self.name,
            "listen": "{}:{}".format(*self.listen),
            "discovery": self._discovery_address,
            "seed": f"{self._number + 1:016x}",
            "limits": asdict(self.limits),
            "known": self._known_endpoints,
            "settings": self._settings,
            "deployer": {"address": self._release_control, "news": RELEASE_STATE},
        }
        data = msgspec.json.encode(configuration)
        self._configuration_file.write_bytes(data if is_complete else data[: len(data) // 2])

    def start(self) -> None:
        """Start a process with the `run` command of the deployment file."""
        command = tomllib.loads(DEPLOYMENT_FILE.read_text())["run"]
        self._log_size_at_start = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stderr=log,
                env={"PATH": "/usr/bin:/bin", "PROXY_CONFIG": str(self._configuration_file)},
            )
        self._record(ProcessEvent.STARTED)

    def age(self) -> float:
        """Return the seconds since the start of the current process."""
        starts = [
            record.at
            for record in self.records.processes
            if record.instance == self.name and record.event is ProcessEvent.STARTED
        ]
        return self.loop.now() - starts[-1]

    def is_ready(self) -> bool:
        """Return whether the current process has logged that it is ready."""
        with self.log.open("rb") as log:
            log.seek(self._log_size_at_start)
            return b'"event":"ready"' in log.read()

    def _record(self, event: ProcessEvent) -> None:
        self.records.processes.append(ProcessRecord(self.loop.now(), self.name, event))

    def peak_memory(self) -> int:
        """Return the most memory that the current process has had resident, in bytes; 0 if it has ended."""
        assert self.process
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM:")), "VmHWM: 0 kB")
        return int(peak.split()[1]) * BYTES_PER_KIB

    def record_memory(self) -> None:
        """Record the most memory that the current process has had, unless it has ended."""
        if self.process is None or self.process.poll() is not None:
            return
        limit = self.limits.memory_mb * BYTES_PER_MB
        peak = MemoryPeak(self.loop.now(), self.name, self.peak_memory(), limit)
        self.records.memory_peaks.append(peak)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        assert self.process
        self.record_memory()
        self._record(ProcessEvent.KILLED)
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM."""
        assert self.process
        self.record_memory()
        self._record(ProcessEvent.TERMINATED)
        self.process.send_signal(signal.SIGTERM)

    def suspend(self) -> None:
        """Send SIGSTOP."""
        assert self.process
        self._record(ProcessEvent.STOPPED)
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        assert self.process
        self.process.send_signal(signal.SIGCONT)
        self._record(ProcessEvent.CONTINUED)

    def move_discovery(self, incomplete_for: float) -> None:
        """Configure another address of discovery and send SIGHUP.

        Where `incomplete_for` is not 0, the file contains only its first half for so many seconds.
        """
        assert self.process
        self._discovery_address = self._discovery.open(self.name)
        self.write_configuration(is_complete=not incomplete_for)
        self._record(ProcessEvent.RECONFIGURED)
        self.process.send_signal(signal.SIGHUP)
        if incomplete_for:
            self.loop.call_later(incomplete_for, self.write_configuration)
        close_old_addresses = partial(self._discovery.close_all_but_last, self.name)
        self.loop.call_later(OLD_ADDRESS_CLOSES_AFTER, close_old_addresses)

    def record_unexpected_exit(self) -> None:
        """Record an exit of the process if no signal was sent to end it."""
        if self.process is None or self.process.poll() is None:
            return
        events = [record.event for record in self.records.processes if record.instance == self.name]
        since_start = events[len(events) - events[::-1].index(ProcessEvent.STARTED) :]
        if not REQUESTED_ENDS.intersection(since_start):
            self._record(ProcessEvent.EXITED)
