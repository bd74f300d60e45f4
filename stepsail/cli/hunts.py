"""`stepsail hunt`: searches simulated days for broken rules and lost service, and shrinks what it finds."""

from __future__ import annotations

import copy
import os
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

import click
import polars

from stepsail.cli.exit_codes import ExitCode
from stepsail.cli.experiments import (
    HAS_PROBLEM,
    parse_numbers,
    read_experiment,
    run_with_progress,
    workers_option,
)
from stepsail.cli.parameters import EXISTING_FILE, FOLDER
from stepsail.experiment.grid import make_grid
from stepsail.experiment.hunt import day_file_text, shrink
from stepsail.settings import InvalidSettings
from stepsail.simulation.play import play
from stepsail.standins.day import Day, read_day
from stepsail.verify import read_history, verify


@click.command()
@click.argument("days", type=EXISTING_FILE, nargs=-1, required=True)
@click.option("--seeds", default="1..100", show_default=True)
@click.option("--rows", "rows_folder", type=FOLDER, help="Folder for the runs; default: a temporary one.")
@click.option("--found", type=FOLDER, default=Path("days/found"), show_default=True)
@click.option(
    "--lose", "min_service", type=float, default=0.0, help="Also report days whose service is below this."
)
@workers_option
def hunt(
    days: tuple[Path, ...],
    seeds: str,
    rows_folder: Path | None,
    found: Path,
    min_service: float,
    workers: int,
) -> None:
    """Simulate days, and store those that break a rule, shrunk as far as possible, or that lose service."""
    folder = rows_folder or Path(tempfile.mkdtemp(prefix="stepsail-hunt-"))
    runs = make_grid(days, parse_numbers(seeds), ["stepsail"], [])
    run_with_progress(runs, folder, workers)
    rows = read_experiment(folder)
    problem_rows = rows.filter(HAS_PROBLEM | (polars.col("service") < min_service))
    click.echo(f"{len(rows)} days, {len(problem_rows)} with problems")
    for row in problem_rows.iter_rows(named=True):
        click.echo(f"{row['key']}: {row['failed'] or row['breach'] or row['service']}")
        if row["failed"]:
            continue
        try:
            day = read_day(Path(row["file"]), row["seed"])
        except InvalidSettings as invalid:
            click.echo(str(invalid), err=True)
            continue
        _store_day(day, row, found)
    sys.exit(ExitCode.FINDINGS if len(problem_rows) else ExitCode.OK)


def _store_day(day: Day, row: dict[str, Any], folder: Path) -> None:
    """Write a day to a file, with the reason why it is stored; a day that breaks rules is shrunk first."""
    rules = _broken_rules(day)
    reason = f"service {row['service']:.3f}"
    if rules:
        day = shrink(day, partial(_breaks_any_rule, rules))
        reason = f"rule {', '.join(map(str, sorted(rules)))} broken"
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{row['day']}-{row['seed']}.conf"
    site = Path(os.path.relpath(day.common_settings.resolve(), folder.resolve()))
    heading = f"# Found by a hunt: {reason}, commit {row['commit']}.\n"
    file.write_text(heading + day_file_text(day, site), "utf-8")
    click.echo(f"  {file}: {len(day.faults)} faults, {len(day.releases)} new builds, {day.length:g} s")


def _broken_rules(day: Day) -> set[int]:
    """Simulate a day and return the rules that it breaks."""
    with tempfile.TemporaryDirectory() as folder:
        play(copy.deepcopy(day), Path(folder))
        return {breach.rule for breach in verify(read_history(Path(folder) / "transcript.jsonl"))}


def _breaks_any_rule(rules: set[int], day: Day) -> bool:
    return bool(rules & _broken_rules(day))
