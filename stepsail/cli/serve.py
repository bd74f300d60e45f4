"""`stepsail serve`: one instance in the foreground, configured by a settings file."""

from __future__ import annotations

import sys
import traceback
from pathlib import Path

import click

from stepsail.cli.exit_codes import ExitCode, exit_on_invalid_settings
from stepsail.cli.logs import configure_logging
from stepsail.cli.parameters import EXISTING_FILE
from stepsail.decisions.router import Router
from stepsail.loop import Loop, PollDriver
from stepsail.loop.skew import Skew, SkewedDriver
from stepsail.proxy.application import Application
from stepsail.settings import load_settings
from stepsail.trail.errors import TrailError

DEBUG_LEVEL = "debug"


def _make_driver(clock: str | None) -> PollDriver:
    """Return the loop's driver, with a skewed clock if a rehearsal requests one."""
    if not clock:
        return PollDriver()
    try:
        return SkewedDriver(Skew.parse(clock))
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--clock") from None


@click.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--clock", hidden=True, help="Skewed clock that rehearsals run the instance on: RATE,BY@AT.")
def serve(file: Path, clock: str | None) -> None:
    """Run one instance with the settings in FILE until SIGTERM."""
    with exit_on_invalid_settings():
        settings = load_settings(file)
    log = configure_logging(settings.log_format, settings.log_level, umpire=settings.router.instance_index)
    driver = _make_driver(clock)
    loop = Loop(driver, log.warning)
    try:
        code = loop.run(Application(loop, settings, Router, log, settings.log_level == DEBUG_LEVEL).run)
    except (OSError, TrailError) as error:
        log.error("cannot_run", error=str(error))
        sys.exit(ExitCode.FAILED)
    except Exception as error:
        log.error("failed", error=repr(error), trace=traceback.format_exc())
        sys.exit(ExitCode.FAILED)
    finally:
        driver.shutdown()
    sys.exit(code)
