"""Sub-commands for audit trails: verify, show, find, export, heads, seal, reconcile, merge, new-key."""

from __future__ import annotations

import csv
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from stepsail.cli.exit_codes import CommandFailed, ExitCode
from stepsail.cli.parameters import EXISTING_FILE, EXISTING_FOLDER
from stepsail.store.frames import DamagedFileError
from stepsail.trail.audit import audit_trail
from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import Entry, EntryKind
from stepsail.trail.errors import TrailError
from stepsail.trail.folder import seal_trail
from stepsail.trail.keys import PUBLIC_FILE, SigningKey
from stepsail.trail.reader import read_entries, read_segments
from stepsail.trail.reconcile import merge, reconcile
from stepsail.trail.segments import SignedHead

DEFAULT_MAX_ENTRIES = 200
MAX_PRINTED_DISCREPANCIES = 50  # by `reconcile`
CSV_COLUMNS = (
    "seq",
    "wall",
    "receipt",
    "product",
    "verdict",
    "status",
    "label",
    "request",
    "digest",
    "relays",
)


def _entries(folder: Path) -> Iterator[tuple[int, Entry]]:
    """Yield the entries of a trail; raises CommandFailed if they cannot be read."""
    try:
        yield from read_entries(folder)
    except (OSError, DamagedFileError, msgspec.MsgspecError) as error:
        raise CommandFailed(ExitCode.FINDINGS, f"{folder}: {error}") from error


def entry_as_object(seq: int, entry: Entry) -> dict[str, Any]:
    """Return an entry as an object for JSON, with bytes in hexadecimal."""
    fields = {
        name: value.hex() if isinstance(value, bytes) else value for name, value in entry.fields.items()
    }
    return {"seq": seq, "kind": EntryKind(entry.kind).exported_name, "wall": entry.wall_time, **fields}


def _attempts_text(fields: dict[str, Any]) -> str:
    """Return the attempts of an answer as text such as `server=outcome`."""
    return " ".join(f"{server}={outcome}" for server, outcome in fields.get("relays", []))


@click.group()
def trail() -> None:
    """Check and export audit trails of decisions and of the final answers to all accepted requests."""


@trail.command(name="verify")
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--public", type=EXISTING_FILE, help="The published public key; default: the trail's own.")
@click.option("--heads", type=EXISTING_FILE, help="Published heads, as printed by 'trail heads'.")
def verify_trail(folder: Path, public: Path | None, heads: Path | None) -> None:
    """Check every byte, hash link and signature."""
    public_key = bytes.fromhex(public.read_text().strip()) if public else None
    lines = heads.read_bytes().splitlines() if heads else []
    published = [msgspec.json.decode(line, type=SignedHead) for line in lines]
    report = audit_trail(folder, public_key, published)
    entries_text = f"{report.entries} entries"
    if report.first_seq:
        entries_text = f"entries {report.first_seq} to {report.entries - 1}"
    click.echo(
        f"{entries_text}, {report.valid_heads} good heads, signed up to entry {report.signed_to}, "
        f"{report.unsigned} behind the last head"
    )
    for note in report.notes:
        click.echo(f"note: {note}")
    for finding in report.findings:
        click.echo(str(finding), err=True)
    sys.exit(ExitCode.FINDINGS if report.findings else ExitCode.OK)


@trail.command(name="show")
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--kind", multiple=True, type=click.Choice([kind.exported_name for kind in EntryKind]))
@click.option("--most", "limit", default=DEFAULT_MAX_ENTRIES, show_default=True)
def show_trail(folder: Path, kind: tuple[str, ...], limit: int) -> None:
    """Print entries, one JSON object per line."""
    printed = 0
    for seq, entry in _entries(folder):
        line = entry_as_object(seq, entry)
        if kind and line["kind"] not in kind:
            continue
        if printed >= limit:
            click.echo(f"… more entries follow; the output is limited to {limit} entries (--most)", err=True)
            return
        click.echo(json.dumps(line))
        printed += 1


@trail.command()
@click.argument("folders", type=EXISTING_FOLDER, nargs=-1, required=True)
@click.option("--text", required=True, help="A receipt, idempotency key or request id.")
def find(folders: tuple[Path, ...], text: str) -> None:
    """Print all entries about one request."""
    any_found = False
    for folder in folders:
        for seq, entry in _entries(folder):
            if text in (entry.fields.get(name) for name in ("receipt", "label", "request")):
                click.echo(json.dumps({"folder": str(folder), **entry_as_object(seq, entry)}))
                any_found = True
    sys.exit(ExitCode.OK if any_found else ExitCode.FINDINGS)


@trail.command()
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--form", "export_format", type=click.Choice(["csv", "jsonl"]), default="csv")
def export(folder: Path, export_format: str) -> None:
    """Write answers as CSV (RFC 4180) or all entries as JSON lines to standard output."""
    if export_format == "jsonl":
        for seq, entry in _entries(folder):
            click.echo(json.dumps(entry_as_object(seq, entry)))
        return
    writer = csv.writer(sys.stdout)
    writer.writerow(CSV_COLUMNS)
    for seq, entry in _entries(folder):
        if entry.kind == EntryKind.ANSWER:
            row = entry_as_object(seq, entry) | {"relays": _attempts_text(entry.fields)}
            writer.writerow([row.get(column, "") for column in CSV_COLUMNS])


@trail.command()
@click.argument("folder", type=EXISTING_FOLDER)
def heads(folder: Path) -> None:
    """Print the signed heads, one JSON object per line; the last one is to be published."""
    for segment in read_segments(RealDisk(folder), folder):
        for head in segment.heads():
            click.echo(msgspec.json.encode(head).decode())


@trail.command(name="seal")
@click.argument("folder", type=EXISTING_FOLDER)
def seal_command(folder: Path) -> None:
    """Sign the entries that a crash left unsigned, close the trail, and print the new head to be published.

    The instance of the trail must be stopped; a running instance signs a head every few seconds itself.
    """
    try:
        head = seal_trail(folder)
    except (OSError, TrailError) as error:
        raise CommandFailed(ExitCode.FINDINGS, str(error)) from error
    click.echo(msgspec.json.encode(head).decode())


@trail.command(name="reconcile")
@click.argument("folders", type=EXISTING_FOLDER, nargs=-1, required=True)
@click.option(
    "--clients",
    required=True,
    type=EXISTING_FILE,
    help="Transcript of the clients, one JSON object per line.",
)
def reconcile_command(folders: tuple[Path, ...], clients: Path) -> None:
    """Compare trails with the answers that clients received."""
    transcript = [json.loads(line) for line in clients.read_bytes().splitlines()]
    received = [
        event for event in transcript if event.get("at") == "client" and event.get("what") == "answer"
    ]
    result = reconcile((entry for folder in folders for entry in _entries(folder)), received)
    click.echo(
        f"{result.received} answers received, {result.recorded} recorded, {result.matching} match, "
        f"{result.unconfirmed} recorded but neither confirmed as sent nor received"
    )
    for discrepancy in result.discrepancies[:MAX_PRINTED_DISCREPANCIES]:
        click.echo(discrepancy, err=True)
    sys.exit(ExitCode.FINDINGS if result.discrepancies else ExitCode.OK)


@trail.command(name="merge")
@click.argument("folders", type=EXISTING_FOLDER, nargs=-1, required=True)
@click.option("--several", is_flag=True, help="Print only requests with more than one answer.")
def merge_command(folders: tuple[Path, ...], several: bool) -> None:
    """Print the answers in several trails, with those to a request and its retries together."""
    for request, answers in merge({str(folder): _entries(folder) for folder in folders}).items():
        if several and len(answers) == 1:
            continue
        click.echo(request)
        for answer in answers:
            fields = answer.fields
            click.echo(
                f"  {answer.wall_time:.3f} {answer.trail} {fields['product']} {fields['verdict']} "
                f"{fields['status']} {_attempts_text(fields)}"
            )


@trail.command(name="new-key")
@click.argument("folder", type=EXISTING_FOLDER)
def new_key(folder: Path) -> None:
    """Create a new signing key, signed with the old key if that still exists.

    The signatures of the old key stay valid in either case.
    """
    key = SigningKey.rotate(folder)
    click.echo(f"new key {key.id}; publish {folder / PUBLIC_FILE}")
