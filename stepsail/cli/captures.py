"""Sub-commands for capture files: ls, show, verify, cut."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from stepsail import decisions
from stepsail.capture.blocks import Segment
from stepsail.capture.entries import Entry, Event, entry_lines
from stepsail.capture.folder import (
    CaptureFiles,
    NoEntriesInPeriodError,
    Run,
    cut,
    entries_of,
    read_runs,
    server_addresses,
)
from stepsail.capture.replay import ReplayError
from stepsail.cli.exit_codes import CommandFailed, ExitCode
from stepsail.cli.parameters import EXISTING_PATH
from stepsail.store.frames import DamagedFileError

DEFAULT_MAX_LINES = 200
CLOCK_HELP = "Time on the instance's clock, in seconds."

# Names that events had before they were named after the router's methods. `--kind` still accepts them.
EARLIER_KINDS = {
    "begin": Event.STARTED,
    "meet": Event.SERVER_ADDED,
    "listed": Event.ENDPOINT_UPDATED,
    "list_read": Event.ENDPOINT_LIST_RECEIVED,
    "list_failed": Event.ENDPOINT_POLL_FAILED,
    "news": Event.RELEASE_STATE_RECEIVED,
    "counts": Event.RELEASE_COUNTS_RECEIVED,
    "voted": Event.VOTE_ACKNOWLEDGED,
    "take": Event.REQUEST_ACCEPTED,
    "ended": Event.ATTEMPT_ENDED,
    "left": Event.CLIENT_DISCONNECTED,
    "probed": Event.HEALTH_CHECK_FINISHED,
    "contested": Event.ANSWER_DISPUTED,
    "saw": Event.PEER_OUTCOME_RECEIVED,
    "found": Event.PEER_VERDICT_RECEIVED,
    "woken": Event.TIMER_FIRED,
    "stuck": Event.PEER_STALLED_CLASSES_RECEIVED,
    "fleet": Event.MEMBERSHIP_CHANGED,
}


def read_captures(path: Path) -> CaptureFiles:
    """Read the runs in a file or folder; raises CommandFailed if they cannot be read."""
    try:
        return read_runs(path)
    except OSError as error:
        raise CommandFailed(ExitCode.USAGE, str(error)) from error


def print_damage(damaged: Iterable[DamagedFileError]) -> None:
    """Print the damaged files, and where each is damaged, to standard error."""
    for error in damaged:
        click.echo(str(error), err=True)


@click.group()
def capture() -> None:
    """Inspect captures, which record the events and commands of routers."""


@capture.command()
@click.argument("path", type=EXISTING_PATH)
def ls(path: Path) -> None:
    """List the runs and segments in a folder or file."""
    captures = read_captures(path)
    table = Table(
        "run", "instance", "segment", "entries", "from, s", "to, s", "starts with", "state", "module"
    )
    for run in captures.runs:
        for segment in run.segments:
            table.add_row(*_table_row(run, segment))
    Console().print(table)
    print_damage(captures.damaged)
    sys.exit(ExitCode.FINDINGS if captures.damaged else ExitCode.OK)


def _table_row(run: Run, segment: Segment) -> list[str]:
    entries = [entry for _, entry in segment.entries()]
    first_block = "snapshot" if segment.snapshot() is not None else "start"
    if segment.meta["gap"]:
        first_block += f", after {segment.meta['gap'].get('lost', '?')} dropped entries"
    return [
        run.name,
        str(run.instance),
        str(segment.meta["segment"]),
        str(len(entries)),
        f"{entries[0].clock:.3f}" if entries else "",
        f"{entries[-1].clock:.3f}" if entries else "",
        first_block,
        _state_text(segment),
        segment.meta["module"],
    ]


def _state_text(segment: Segment) -> str:
    if segment.sealed:
        return "closed"
    return "torn" if segment.torn_at is not None else "not closed"


@capture.command()
@click.argument("path", type=EXISTING_PATH)
@click.option("--from", "start", type=float, help=CLOCK_HELP)
@click.option("--until", type=float, help=CLOCK_HELP)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    help="Print only events of this kind, such as request_accepted or release_state_received.",
)
@click.option(
    "--most", "limit", default=DEFAULT_MAX_LINES, show_default=True, help="Maximum number of lines."
)
def show(path: Path, start: float | None, until: float | None, kinds: tuple[str, ...], limit: int) -> None:
    """Print entries: each event, followed by the commands that the router issued for it."""
    captures = read_captures(path)
    current_kinds = {_current_kind(kind) for kind in kinds}
    printed = 0
    for run in captures.runs:
        for segments in run.contiguous_segments():
            servers = server_addresses(segments)
            click.echo(f"run {run.name}, instance {run.instance}")
            for number, entry in _select_entries(segments, start, until, current_kinds):
                if printed >= limit:
                    click.echo(f"… more entries follow; the output is limited to {limit} lines (--most)")
                    return
                first, *rest = entry_lines(entry, servers)
                click.echo("\n".join([f"{number}: {first}", *rest]))
                printed += 1 + len(rest)
    print_damage(captures.damaged)


def _current_kind(kind: str) -> str:
    """Return the current name of an event, which may be given by its earlier name."""
    event = EARLIER_KINDS.get(kind)
    return kind if event is None else event.name.lower()


def _select_entries(
    segments: list[Segment], start: float | None, until: float | None, kinds: set[str]
) -> Iterator[tuple[int, Entry]]:
    """Yield the entries of consecutive segments that match the times and kinds, as far as these are given."""
    for number, entry in entries_of(segments, start):
        if start is not None and entry.clock < start:
            continue
        if until is not None and entry.clock > until:
            continue
        if kinds and Event(entry.kind).name.lower() not in kinds:
            continue
        yield number, entry


@capture.command(name="verify")
@click.argument("path", type=EXISTING_PATH)
def verify_capture(path: Path) -> None:
    """Check every byte of a capture; a torn tail is reported, and damage is an error with its offset."""
    captures = read_captures(path)
    damaged = list(captures.damaged)
    for run in captures.runs:
        for segment in run.segments:
            try:
                count = segment.count()
            except DamagedFileError as error:
                damaged.append(error)
                continue
            torn = f", torn at byte {segment.torn_at}" if segment.torn_at is not None else ""
            closed = "closed" if segment.sealed else "not closed"
            click.echo(f"{segment.file.name}: {count} entries, {closed}{torn}")
    print_damage(damaged)
    sys.exit(ExitCode.FINDINGS if damaged else ExitCode.OK)


@capture.command(name="cut")
@click.argument("path", type=EXISTING_PATH)
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--from", "start", type=float, required=True, help=CLOCK_HELP)
@click.option("--until", type=float, required=True, help=CLOCK_HELP)
@click.option("--run", "name", help="Name of the run, if there are several.")
def cut_command(path: Path, out: Path, start: float, until: float, name: str | None) -> None:
    """Write the entries of a period to a file of their own, which can be replayed by itself."""
    runs = read_captures(path).runs
    matching_runs = [run for run in runs if name in (None, run.name)]
    if len(matching_runs) != 1:
        names = ", ".join(run.name for run in runs) or "none found"
        raise click.UsageError(f"choose one of the runs with --run: {names}")
    for segments in matching_runs[0].contiguous_segments():
        try:
            count = cut(segments, decisions, start, until, out)
        except NoEntriesInPeriodError:
            continue
        except ReplayError as error:
            raise CommandFailed(ExitCode.FINDINGS, str(error)) from error
        click.echo(f"{out}: {count} entries")
        return
    raise CommandFailed(ExitCode.FINDINGS, "no entry lies between --from and --until")
