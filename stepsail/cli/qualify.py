"""`stepsail qualify`: runs real instances on loopback under random faults, and reports broken rules."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

from stepsail.cli.exit_codes import ExitCode
from stepsail.cli.parameters import FOLDER
from stepsail.qualify.faults import draw_faults
from stepsail.qualify.soak import InstanceNotServing, SoakPlan, run_soak

MAX_PROCESSES = 300  # instances that run at once
MAX_PRINTED_BREACHES = 10  # per run
MAX_PRINTED_LOG = 200  # characters, of an instance that did not serve
OK_STATUS = 200

# The report on a run, as `--json` prints it.
RunReport = dict[str, Any]


@click.group()
def qualify() -> None:
    """Test real instances under random faults, by the records of clients, servers and discovery."""


@qualify.command(name="run")
@click.option("--first-seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--seeds", default=1, show_default=True, type=click.IntRange(1, 10_000), help="Number of seeds."
)
@click.option(
    "--seconds", default=20.0, show_default=True, type=click.FloatRange(5.0, 600.0), help="Duration of a run."
)
@click.option(
    "--instances", default=4, show_default=True, type=click.IntRange(1, 100), help="Instances per run."
)
@click.option(
    "--clients", default=3, show_default=True, type=click.IntRange(1, 100), help="Clients per instance."
)
@click.option(
    "--abuse", is_flag=True, help="Add clients that break the protocol; instances get the least memory."
)
@click.option("--jobs", default=1, show_default=True, type=click.IntRange(1, 16), help="Parallel runs.")
@click.option("--out", required=True, type=FOLDER, help="Folder for logs.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per run.")
def run_command(
    first_seed: int,
    seeds: int,
    seconds: float,
    instances: int,
    clients: int,
    abuse: bool,
    jobs: int,
    out: Path,
    as_json: bool,
) -> None:
    """Run instances under random faults, and print broken rules. All logs are kept in the folder."""
    if instances * jobs > MAX_PROCESSES:
        raise click.UsageError(
            f"{instances * jobs} processes at once are too many; the limit is {MAX_PROCESSES}"
        )
    seed_range = range(first_seed, first_seed + seeds)
    plans = [SoakPlan(seed, seconds, instances, clients, abuse) for seed in seed_range]
    failed = 0
    for report in _run_all(plans, out, jobs):
        if report["breaches"] or report["not_serving"]:
            failed += 1
        click.echo(json.dumps(report) if as_json else _run_text(report))
    if not as_json:
        click.echo(f"{len(plans)} runs, {failed} of them failed")
    sys.exit(ExitCode.FINDINGS if failed else ExitCode.OK)


def _run_all(plans: list[SoakPlan], out: Path, jobs: int) -> Iterator[RunReport]:
    """Carry out the runs, `jobs` of them in parallel, and yield their reports in the order of the plans."""
    folders = [out / f"seed-{plan.seed}" for plan in plans]
    if jobs == 1:
        yield from map(_run_one, plans, folders)
        return
    context = get_context("spawn")  # a fork would copy running greenlets
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        yield from pool.map(_run_one, plans, folders)


def _run_one(plan: SoakPlan, folder: Path) -> RunReport:
    """Carry out a run and return its report."""
    result: RunReport = {"seed": plan.seed, "not_serving": "", "breaches": []}
    try:
        report = run_soak(plan, folder)
    except InstanceNotServing as error:
        return result | {"not_serving": str(error)}
    return result | {
        "requests": sum(report.ends.values()),
        "ends": report.ends,
        "statuses": report.statuses,
        "attempts": report.attempts,
        "faults": report.faults,
        "breaches": [asdict(breach) for breach in report.breaches],
    }


def _run_text(report: RunReport) -> str:
    """Return the text on a run: a summary line, and a line for each of the first breaches."""
    if report["not_serving"]:
        return f"seed {report['seed']}: an instance did not serve: {report['not_serving'][:MAX_PRINTED_LOG]}"
    lines = [
        f"seed {report['seed']}: {report['requests']} requests, "
        f"{report['statuses'].get(OK_STATUS, 0)} served, {report['attempts']} attempts, "
        f"{sum(report['faults'].values())} faults, {len(report['breaches'])} breaches"
    ]
    for breach in report["breaches"][:MAX_PRINTED_BREACHES]:
        lines.append(f"    {breach['rule']} at {breach['at']:.3f}: {breach['evidence']}")
    return "\n".join(lines)


@qualify.command(name="list")
@click.argument("seed", type=int)
@click.option("--seconds", default=20.0, show_default=True)
def list_command(seed: int, seconds: float) -> None:
    """List the faults of a seed."""
    for fault in draw_faults(seed, seconds):
        click.echo(
            f"{fault.at:7.3f} s  {fault.kind.name.lower():20} {fault.duration:6.3f} s  {fault.kind.value}"
        )
