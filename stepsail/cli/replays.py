"""Sub-commands that replay captured events through a router: replay, explain, view."""

from __future__ import annotations

import sys
from pathlib import Path
from types import ModuleType

import click
from rich.console import Console
from rich.table import Table

from stepsail import decisions
from stepsail.capture.blocks import Segment
from stepsail.capture.explain import Explainer
from stepsail.capture.folder import Run, replay_segments, server_addresses
from stepsail.capture.other_builds import InvalidBuild, load_build
from stepsail.capture.replay import ReplayError, ReplayResult
from stepsail.capture.state import SnapshotError
from stepsail.cli.captures import CLOCK_HELP, print_damage, read_captures
from stepsail.cli.exit_codes import CommandFailed, ExitCode
from stepsail.cli.parameters import EXISTING_PATH
from stepsail.store.frames import DamagedFileError


def load_decisions(path: Path | None) -> ModuleType:
    """Return the `decisions` package, or another build of it; raises click.BadParameter if it is invalid."""
    try:
        return decisions if path is None else load_build(path)
    except InvalidBuild as error:
        raise click.BadParameter(str(error)) from error


@click.command(name="replay")
@click.argument("path", type=EXISTING_PATH)
@click.option("--until", type=float, help=CLOCK_HELP)
@click.option(
    "--against",
    type=EXISTING_PATH,
    help="Another build of the router: the folder of its package, or one file with its class Router.",
)
@click.option("--what-if", is_flag=True, help="Continue after the first difference and count all of them.")
def replay_command(path: Path, until: float | None, against: Path | None, what_if: bool) -> None:
    """Replay captured events through the router, and compare its commands with the captured ones."""
    module = load_decisions(against)
    captures = read_captures(path)
    differing = 0
    for run in captures.runs:
        for segments in run.contiguous_segments():
            _print_gap(run, segments)
            try:
                result = replay_segments(segments, module, until=until, continue_after_difference=what_if)
            except (ReplayError, SnapshotError, DamagedFileError) as error:
                click.echo(f"run {run.name}: {error}", err=True)
                differing += 1
                continue
            differing += result.differing
            _print_result(run, segments, result, what_if)
    print_damage(captures.damaged)
    sys.exit(ExitCode.FINDINGS if differing or captures.damaged else ExitCode.OK)


def _print_gap(run: Run, segments: list[Segment]) -> None:
    meta = segments[0].meta
    if meta["gap"]:
        click.echo(
            f"run {run.name}: {meta['gap'].get('lost', '?')} entries were dropped before "
            f"entry {meta['first']}; the replay starts again there"
        )


def _print_result(run: Run, segments: list[Segment], result: ReplayResult, what_if: bool) -> None:
    click.echo(
        f"run {run.name}, instance {run.instance}: {result.entries} entries, {result.differing} differ"
    )
    if not result.first_difference:
        return
    click.echo("\n".join(result.first_difference.lines(server_addresses(segments))))
    if what_if:
        click.echo(
            "After the first difference, the events are still those that followed the captured commands; "
            "the commands of the replay would have led to others."
        )


@click.command()
@click.argument("path", type=EXISTING_PATH)
@click.option("--request", type=int, help="Number of the request.")
@click.option("--transaction", "earlier_request", type=int, hidden=True)
@click.option("--vote", type=int, help="Index of the vote in the run, from 0.")
def explain(path: Path, request: int | None, earlier_request: int | None, vote: int | None) -> None:
    """Show the evidence that the router had when it routed a request or cast a vote."""
    if request is None:
        request = earlier_request
    if (request is None) == (vote is None):
        raise click.UsageError("give either --request or --vote")
    console = Console()
    any_found = False
    for run in read_captures(path).runs:
        for segments in run.contiguous_segments():
            explainer = Explainer(request, vote)
            try:
                replay_segments(segments, decisions, observer=explainer)
            except (ReplayError, SnapshotError, DamagedFileError) as error:
                click.echo(f"run {run.name}: {error}", err=True)
            for number, lines, rows in explainer.explanations:
                any_found = True
                console.print(f"run {run.name}, entry {number}", style="bold")
                console.print("\n".join(lines), markup=False)
                if rows:
                    _print_table(console, rows)
    if not any_found:
        raise CommandFailed(ExitCode.FINDINGS, "no such request or vote found")


def _print_table(console: Console, rows: list[tuple[str, ...]]) -> None:
    """Print rows as a table, with the first row as its heading."""
    heading, *body = rows
    table = Table(*heading)
    for row in body:
        table.add_row(*row)
    console.print(table)


@click.command()
@click.argument("path", type=EXISTING_PATH)
@click.option("--run", "name", help="Name of the run, if there are several.")
def view(path: Path, name: str | None) -> None:
    """Step through a capture in the terminal, forward and backward."""
    # Imported here, as textual loads slowly and no other command needs it.
    from stepsail.view.app import CaptureApp
    from stepsail.view.track import CaptureCursor

    runs = [run for run in read_captures(path).runs if name in (None, run.name)]
    if not runs:
        raise click.UsageError("the capture has no such run")
    run = runs[0]
    segments = next(run.contiguous_segments())
    try:
        CaptureApp(CaptureCursor(segments, decisions), f"instance {run.instance}, run {run.name}").run()
    except (ReplayError, SnapshotError, DamagedFileError) as error:
        raise CommandFailed(ExitCode.FINDINGS, str(error)) from error
