"""`stepsail fleet`: runs the instances of one file on this machine, shows, restarts and stops them."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from stepsail.cli.exit_codes import CommandFailed, ExitCode, exit_on_invalid_settings
from stepsail.cli.logs import configure_logging
from stepsail.cli.parameters import EXISTING_FILE
from stepsail.fleet.plan import FleetPlan, read_plan
from stepsail.fleet.runner import FleetRunner
from stepsail.http.single_request import request_once
from stepsail.loop import Loop, PollDriver

CONTROL_TIMEOUT = 2.0  # s to connect, and as many again to get the answer
POLL_INTERVAL = 0.5  # s
REFRESHES_PER_SECOND = 4
STATUS_PATH = b"/status"
RESTART_PATH = b"/restart"
STOP_PATH = b"/stop"
READY_STATE = "ready"

# Columns of the status table: the heading, and the field of the status that the column shows.
COLUMNS = {
    "instance": "umpire",
    "zone": "zone",
    "state": "state",
    "in state, s": "for",
    "pid": "pid",
    "starts": "starts",
    "last exit code": "last_code",
    "listen": "listen",
    "members": "present",
    "settled": "settled",
}

# The answer of a running fleet to `/status`, which `stepsail fleet status --json` prints as it is.
Status = dict[str, Any]


class FleetUnreachable(Exception):
    """No fleet answers at the control address in its file."""


@click.group()
def fleet() -> None:
    """Run many instances on this machine, as described in one file."""


def _read_plan(file: Path) -> FleetPlan:
    """Read the plan in a file; invalid settings end the command."""
    with exit_on_invalid_settings():
        return read_plan(file)


def _call(plan: FleetPlan, path: bytes, method: bytes = b"GET") -> Status:
    """Call the control address of a fleet and return its answer; raises FleetUnreachable."""
    driver = PollDriver()
    loop = Loop(driver, _drop_event)
    try:
        response = loop.run(
            request_once, loop, plan.control_address, path, method, CONTROL_TIMEOUT, CONTROL_TIMEOUT
        )
        status: Status = msgspec.json.decode(response.body)
    except (OSError, msgspec.DecodeError) as error:
        host, port = plan.control_address
        raise FleetUnreachable(f"no fleet answers at {host}:{port}: {error}") from error
    finally:
        driver.shutdown()
    return status


def _drop_event(event: str, **fields: object) -> None:
    """Ignore a log event: nothing is logged for a loop that makes a single call."""


def _call_running(plan: FleetPlan, path: bytes, method: bytes = b"GET") -> Status:
    """Call a fleet that has to be running; raises CommandFailed if none answers."""
    try:
        return _call(plan, path, method)
    except FleetUnreachable as error:
        raise CommandFailed(ExitCode.FAILED, str(error)) from error


def _all_ready(status: Status) -> bool:
    return all(row["state"] == READY_STATE for row in status["umpires"])


@fleet.command()
@click.argument("file", type=EXISTING_FILE)
def run(file: Path) -> None:
    """Run all instances until SIGTERM or `fleet stop`, and restart each one that ends before."""
    plan = _read_plan(file)
    log = configure_logging("json", "info", fleet=file.stem)
    driver = PollDriver()
    loop = Loop(driver, log.warning)
    try:
        sys.exit(loop.run(FleetRunner(loop, plan, log).run))
    except OSError as error:
        log.error("cannot_run", error=str(error))
        sys.exit(ExitCode.FAILED)
    finally:
        driver.shutdown()


def _status_table(status: Status) -> Table:
    remarks = []
    if status["rolling"]:
        remarks.append("rolling")
    if status["stopping"]:
        remarks.append("stopping")
    if status["halted"]:
        remarks.append(f"halted: {status['halted']}")
    if status["views"] is not None:
        remarks.append(f"{status['views']} membership views")
    table = Table(*COLUMNS, title=", ".join(remarks) or None)
    for row in status["umpires"]:
        table.add_row(*(_cell(row, field) for field in COLUMNS.values()))
    return table


def _cell(row: dict[str, Any], field: str) -> str:
    value = row[field]
    if field == "settled" and value is not None and row["minority"]:
        return "minority"
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


@fleet.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--json", "as_json", is_flag=True, help="Print the status as JSON.")
@click.option("--live", is_flag=True, help="Update the table until interrupted.")
def status(file: Path, as_json: bool, live: bool) -> None:
    """Show the state of each instance. The exit code is 1 if any is not ready."""
    plan = _read_plan(file)
    report = _call_running(plan, STATUS_PATH)
    if as_json:
        click.echo(json.dumps(report, indent=1))
    elif live:
        with Live(_status_table(report), refresh_per_second=REFRESHES_PER_SECOND) as table:
            while True:
                time.sleep(POLL_INTERVAL)
                table.update(_status_table(_call_running(plan, STATUS_PATH)))
    else:
        Console().print(_status_table(report))
    sys.exit(ExitCode.OK if _all_ready(report) else ExitCode.FINDINGS)


@fleet.command()
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--rolling",
    is_flag=True,
    required=True,
    help="Restart in turn, with no more instances down at once than the file allows.",
)
@click.option(
    "--wait", is_flag=True, help="Wait until all are restarted; the exit code is 1 if the restart halted."
)
def restart(file: Path, rolling: bool, wait: bool) -> None:
    """Restart all instances with the current contents of their settings files."""
    plan = _read_plan(file)
    _call_running(plan, RESTART_PATH, b"POST")
    while wait:
        report = _call_running(plan, STATUS_PATH)
        if report["halted"]:
            raise CommandFailed(ExitCode.FINDINGS, f"halted: {report['halted']}")
        if not report["rolling"] and _all_ready(report):
            return
        time.sleep(POLL_INTERVAL)


@fleet.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--wait", is_flag=True, help="Wait until all instances have ended.")
def stop(file: Path, wait: bool) -> None:
    """Shut down all instances, and then the fleet itself."""
    plan = _read_plan(file)
    _call_running(plan, STOP_PATH, b"POST")
    while wait:
        try:
            _call(plan, STATUS_PATH)
        except FleetUnreachable:
            return
        time.sleep(POLL_INTERVAL)
