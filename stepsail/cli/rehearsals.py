"""`stepsail rehearse`: plays a day against stand-ins, on sockets or in virtual time, and reports on it."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.live import Live

from stepsail.cli.exit_codes import CommandFailed, ExitCode, exit_on_invalid_settings
from stepsail.cli.logs import CONSOLE_FORMAT, configure_logging
from stepsail.cli.parameters import FOLDER
from stepsail.cli.reports import verify_transcript
from stepsail.loop import Loop, PollDriver
from stepsail.settings import InvalidSettings
from stepsail.simulation.play import play
from stepsail.simulation.simulator import SimulationStalled
from stepsail.standins.day import Day, read_day
from stepsail.standins.instances import instance_processes
from stepsail.standins.rehearsal import Rehearsal

DAY_FILE = "day.conf"
REFRESHES_PER_SECOND = 4

# Called with the seconds since the day began and a short description of its state.
Progress = Callable[[float, str], None]


def _find_day_file(day: Path) -> Path:
    """Return the file of a day, given the file or its folder; raises click.BadParameter if there is none."""
    file = day / DAY_FILE if day.is_dir() else day
    if not file.is_file():
        raise click.BadParameter(f"{day} is neither a day file nor a folder that contains a {DAY_FILE}")
    return file


def _simulate(day: Day, out: Path, progress: Progress) -> list[int | None]:
    """Play a day in virtual time and return the exit codes of its instances."""
    played = play(day, out, progress=progress)
    click.echo(f"{played.emulated:.0f} s simulated in {played.wall:.1f} s", err=True)
    return played.codes


def _rehearse_on_sockets(
    day: Day, out: Path, progress: Progress, command: list[str] | None, log: Any
) -> list[int | None]:
    """Play a day with processes on loopback and return the exit codes of its instances."""
    driver = PollDriver()
    try:
        loop = Loop(driver, log.warning)
        rehearsal = Rehearsal(loop, day, out, instance_processes(command), progress)
        loop.run(rehearsal.run)
    finally:
        driver.shutdown()
    return rehearsal.codes


@click.command()
@click.argument("day", type=click.Path(path_type=Path))
@click.option("--out", type=FOLDER, help="Folder for the transcript and the logs.")
@click.option("--seed", type=int, help="Seed to use instead of the day's own.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option(
    "--simulated",
    is_flag=True,
    help="Simulate in virtual time in one process; a seed always gives the same run.",
)
@click.option("--emulated", "earlier_simulated", is_flag=True, hidden=True)
@click.option(
    "--umpire-command",
    "command",
    hidden=True,
    multiple=True,
    help="Command that runs an instance, for tests.",
)
def rehearse(
    day: Path,
    out: Path | None,
    seed: int | None,
    as_json: bool,
    simulated: bool,
    earlier_simulated: bool,
    command: tuple[str, ...],
) -> None:
    """Play a day against stand-ins, verify the five rules on the traffic, and print a report."""
    with exit_on_invalid_settings():
        settings = read_day(_find_day_file(day), seed)
    out = out or Path(tempfile.mkdtemp(prefix=f"stepsail-{settings.name}-"))
    log = configure_logging(CONSOLE_FORMAT, "warning")
    console = Console(stderr=True)
    try:
        with Live(console=console, refresh_per_second=REFRESHES_PER_SECOND, transient=True) as live:

            def show_progress(elapsed: float, activity: str) -> None:
                if console.is_terminal:
                    live.update(
                        f"{settings.name} seed {settings.seed}: "
                        f"{elapsed:5.1f} of {settings.length:g} s, {activity}"
                    )

            if simulated or earlier_simulated:
                codes = _simulate(settings, out, show_progress)
            else:
                codes = _rehearse_on_sockets(settings, out, show_progress, list(command) or None, log)
    except (InvalidSettings, RuntimeError, OSError, SimulationStalled) as error:
        raise CommandFailed(ExitCode.FAILED, str(error)) from error
    failed_instances = sum(code != 0 for code in codes)
    sys.exit(verify_transcript(out, as_json, failed_instances))
