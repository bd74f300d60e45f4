"""Sub-commands for experiments, which are grids of simulated days: run, list, show, compare, report."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import polars
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from stepsail.cli.exit_codes import CommandFailed, ExitCode
from stepsail.cli.parameters import EXISTING_FILE, FOLDER, OUTPUT_FILE
from stepsail.experiment.baselines import MODULES
from stepsail.experiment.compare import paired_differences
from stepsail.experiment.grid import make_grid, run_grid
from stepsail.experiment.report import HEADINGS, day_cells, html_page, summarize_by_day
from stepsail.experiment.run import Run
from stepsail.experiment.table import JOURNAL_FILE, read_rows

REPORT_FILE = "report.html"
MAX_PRINTED_PROBLEMS = 20
SPARE_CORES = 2  # left to other processes
HAS_PROBLEM = (polars.col("failed") != "") | (polars.col("breaches") > 0)
workers_option = click.option(
    "--workers", default=max(1, (os.cpu_count() or SPARE_CORES) - SPARE_CORES), show_default=True
)


def parse_numbers(text: str) -> list[int]:
    """Parse numbers such as `1..20` or `3,5,9`; raises click.BadParameter for anything else."""
    try:
        low, dots, high = text.partition("..")
        if dots:
            return list(range(int(low), int(high) + 1))
        return [int(number) for number in text.split(",") if number]
    except ValueError:
        raise click.BadParameter(
            f"{text!r} is neither a range such as 1..20 nor a list such as 3,5,9"
        ) from None


def read_experiment(folder: Path) -> polars.DataFrame:
    """Read the rows of the experiment in a folder; raises CommandFailed if there are none."""
    try:
        rows = read_rows(folder)
    except OSError as error:
        raise CommandFailed(ExitCode.USAGE, f"{folder} holds no experiment: {error}") from error
    if rows.is_empty():
        raise CommandFailed(ExitCode.USAGE, f"{folder}: no run has finished yet")
    return rows


def run_with_progress(runs: list[Run], folder: Path, workers: int) -> int:
    """Carry out the runs that the folder lacks, showing a progress bar, and return their number."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(folder.name, total=len(runs))
        return run_grid(runs, folder, workers, lambda done, _: progress.update(task, completed=done))


@click.group()
def experiment() -> None:
    """Simulate days for many seeds and routers, and compare the results."""


@experiment.command(name="run")
@click.argument("folder", type=FOLDER)
@click.argument("days", type=EXISTING_FILE, nargs=-1, required=True)
@click.option("--seeds", default="1..5", show_default=True)
@click.option(
    "--modules",
    default="stepsail",
    show_default=True,
    help=f"Routers, separated by commas, out of {', '.join(MODULES)}.",
)
@click.option("--instances", default="", help="Numbers of instances to use instead of the days' own.")
@click.option("--umpires", "earlier_instances", default="", hidden=True)
@workers_option
def run_command(
    folder: Path,
    days: tuple[Path, ...],
    seeds: str,
    modules: str,
    instances: str,
    earlier_instances: str,
    workers: int,
) -> None:
    """Simulate each day with each seed and router. Runs that FOLDER already has are not repeated."""
    chosen = modules.split(",")
    unknown = [module for module in chosen if module not in MODULES]
    if unknown:
        raise click.BadParameter(f"no module is called {unknown[0]}; choose from {', '.join(MODULES)}")
    runs = make_grid(days, parse_numbers(seeds), chosen, parse_numbers(instances or earlier_instances))
    count = run_with_progress(runs, folder, workers)
    rows = read_experiment(folder)
    failed = len(rows.filter(polars.col("failed") != ""))
    breaches = int(rows["breaches"].fill_null(0).sum())
    click.echo(
        f"{count} runs now, {len(rows)} in all; {failed} could not be simulated, {breaches} breaches of rules"
    )
    for row in rows.filter(HAS_PROBLEM).head(MAX_PRINTED_PROBLEMS).iter_rows(named=True):
        click.echo(f"{row['key']}: {row['failed'] or row['breach']}", err=True)
    sys.exit(ExitCode.FINDINGS if breaches or failed else ExitCode.OK)


@experiment.command(name="list")
@click.argument("folder", type=FOLDER, default=Path("."))
def list_command(folder: Path) -> None:
    """List the experiments in a folder and its subfolders."""
    for journal in sorted(folder.rglob(JOURNAL_FILE)):
        rows = read_rows(journal.parent)
        line = f"{journal.parent}: {len(rows)} runs"
        if len(rows):
            line += f" of {rows['day'].n_unique()} days, {', '.join(sorted(set(rows['module'])))}"
        click.echo(line)


@experiment.command()
@click.argument("folder", type=FOLDER)
@click.option("--csv", "as_csv", is_flag=True, help="Print every run as CSV.")
def show(folder: Path, as_csv: bool) -> None:
    """Print the results for each day and router, worst first."""
    rows = read_experiment(folder)
    if as_csv:
        click.echo(rows.write_csv(), nl=False)
        return
    table = Table(*HEADINGS)
    for cells in day_cells(summarize_by_day(rows)):
        table.add_row(*cells)
    Console().print(table)


@experiment.command()
@click.argument("folder", type=FOLDER)
@click.argument("one")
@click.argument("other")
@click.option("--by", default="module", show_default=True, type=click.Choice(["module", "commit"]))
@click.option("--what", "measure", default="service", show_default=True)
def compare(folder: Path, one: str, other: str, by: str, measure: str) -> None:
    """Print the difference OTHER - ONE on the same days and seeds, with 95% confidence intervals."""
    rows = read_experiment(folder)
    if measure not in rows.columns:
        raise click.BadParameter(f"no column {measure!r}; choose from {', '.join(rows.columns)}")
    table = Table("day", "pairs", f"{measure}: mean", "95% interval", "significant", "pairs needed for 0.01")
    for day, difference in paired_differences(rows, by, one, other, measure).items():
        *cells, needed = difference.cells()
        table.add_row(day or "all", *cells, "yes" if difference.is_significant else "no", needed)
    Console().print(table)


@experiment.command()
@click.argument("folder", type=FOLDER)
@click.option("--out", type=OUTPUT_FILE, help=f"Output file; default: {REPORT_FILE} in FOLDER.")
def report(folder: Path, out: Path | None) -> None:
    """Write an HTML page with tables and charts, which needs no network to open."""
    file = out or folder / REPORT_FILE
    file.write_text(html_page(read_experiment(folder), folder.name), "utf-8")
    click.echo(str(file))
