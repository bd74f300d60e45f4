"""Runs the daemon as the instances of a simulated rehearsal, each on a simulated process of its own."""

from __future__ import annotations

import logging
import signal
from pathlib import Path
from typing import Any

import msgspec

from stepsail.decisions.interface import MakeRouter
from stepsail.decisions.router import Router
from stepsail.loop import Loop
from stepsail.loop.driver import Address
from stepsail.proxy.application import Application
from stepsail.settings import InstanceSettings, InvalidSettings, load_settings
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.network import Network
from stepsail.simulation.simulator import SimulatedProcess, Simulator
from stepsail.standins.instances import InstanceFactory, RunningInstance
from stepsail.standins.transcript import Transcript

LOG_LEVELS = {name.lower(): number for name, number in logging.getLevelNamesMapping().items()}
EXIT_FAILURE = 1  # exit code of a daemon that ended with an error


class SimulatedLog:
    """An instance's log with virtual times: one JSON object per line, as the daemon writes it."""

    def __init__(self, simulator: Simulator, file: Path, level: str, **common_fields: Any) -> None:
        self.simulator = simulator
        self.file = file
        self.level = LOG_LEVELS[level]
        self.common_fields = common_fields

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LOG_LEVELS[level] >= self.level:
            line = {
                "at": round(self.simulator.now, 6),
                "level": level,
                "event": event,
                **self.common_fields,
                **fields,
            }
            with self.file.open("ab") as out:
                out.write(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event at level debug."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event at level info."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event at level warning."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event at level error."""
        self._write("error", event, fields)


class SimulatedInstance(RunningInstance):
    """The daemon on a simulated process.

    It cannot write an audit trail, because the trail's thread would run in real time.
    """

    def __init__(
        self,
        loop: Loop,
        number: int,
        zone: str,
        listen: Address,
        out: Path,
        transcript: Transcript,
        simulator: Simulator,
        network: Network,
        make_router: MakeRouter,
    ) -> None:
        super().__init__(loop, number, zone, listen, out, transcript)
        self.simulator = simulator
        self.network = network
        self.make_router = make_router
        self.process: SimulatedProcess | None = None

    def free_address(self) -> Address:
        """Return an unused address of the simulated network."""
        return self.network.free_address()

    def start(self) -> None:
        """Start a new process, also for a restart."""
        name = f"umpire {self.number}"
        driver = SimulatedDriver(self.simulator, self.network, name)
        driver.skew = self.skew
        self.process = SimulatedProcess(self.simulator, driver, name, self._main)
        self.process.start()
        self.transcript.add("umpire", "started", umpire=self.number)

    def _main(self, loop: Loop) -> int:
        log = SimulatedLog(self.simulator, self.log, "info", umpire=self.number)
        loop.report = lambda event, **fields: log.warning(event, **fields)
        try:
            settings = self._settings()
            log.level = LOG_LEVELS[settings.log_level]
            verbose = settings.log_level == "debug"
            code: int = loop.run(Application(loop, settings, self.make_router, log, verbose).run)
        except (OSError, InvalidSettings) as error:
            log.error("cannot_run", error=str(error))
            return EXIT_FAILURE
        return code

    def _settings(self) -> InstanceSettings:
        """Load the settings from the instance's file.

        Raises:
            OSError: The file cannot be read, or the settings enable the audit trail.
            InvalidSettings: The settings are invalid.
        """
        settings = load_settings(self.settings_file)
        if settings.trail_folder:
            raise OSError(
                f"{self.settings_file}: a simulated instance keeps no trail; "
                "remove 'trail' from the site file"
            )
        return settings

    def has_ended(self) -> bool:
        """Return whether no process is running."""
        return self.process is None or not self.process.is_alive()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process
        if number == signal.SIGSTOP:
            self.process.suspend()
        elif number == signal.SIGCONT:
            self.process.resume()
        elif number == signal.SIGKILL:
            self.process.kill()
        else:
            self.process.signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code of the last process, or None if none was started.

        The code of a process that has not returned from its main function is -SIGKILL.
        """
        if self.process is None or not self.process.done:
            return None if self.process is None else -signal.SIGKILL
        return EXIT_FAILURE if self.process.error else self.process.result


def simulated_instances(
    simulator: Simulator, network: Network, make_router: MakeRouter = Router
) -> InstanceFactory:
    """Return the factory with which a rehearsal creates its instances in this simulation.

    `make_router` creates the router of each instance; comparisons pass another implementation.
    """

    def make_instance(
        loop: Loop, number: int, zone: str, out: Path, transcript: Transcript
    ) -> RunningInstance:
        return SimulatedInstance(
            loop, number, zone, network.free_address(), out, transcript, simulator, network, make_router
        )

    return make_instance
