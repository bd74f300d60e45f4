"""Sub-commands for settings files: check, migrate, reference."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from stepsail.cli.exit_codes import CommandFailed, ExitCode, exit_on_invalid_settings
from stepsail.cli.parameters import EXISTING_FILE, OUTPUT_FILE
from stepsail.settings import load_settings
from stepsail.settings import reference as reference_page
from stepsail.settings.migration import migrate_file, write_settings
from stepsail.settings.values import parse_duration


@click.command()
@click.argument("file", type=EXISTING_FILE)
def check(file: Path) -> None:
    """Check a settings file and print all errors in it."""
    with exit_on_invalid_settings(ExitCode.FINDINGS):
        router = load_settings(file).router
    click.echo(
        f"{file}: valid; instance {router.instance_index} of {router.instance_count}, "
        f"{len(router.request_classes)} request classes, {len(router.stage_shares)} stages"
    )


def _decided_values(one_way: str | None, drain_grace: str | None) -> dict[tuple[str, str], Any]:
    """Return the values of the settings that are given as options, by block and name."""
    decided_values: dict[tuple[str, str], Any] = {}
    if one_way is not None:
        decided_values["release", "one-way"] = one_way == "yes"
    if drain_grace is not None:
        try:
            decided_values["servers", "drain-grace"] = parse_duration(drain_grace)
        except ValueError as error:
            raise click.BadParameter(f"'{drain_grace}' is not {error}", param_hint="--drain-grace") from None
    return decided_values


@click.command()
@click.argument("old", type=EXISTING_FILE)
@click.option("--out", type=OUTPUT_FILE, help="The new file; required without --dry-run.")
@click.option("--dry-run", is_flag=True, help="Print the new text and the notes on it; write nothing.")
@click.option("--force", is_flag=True, help="Overwrite the new file if it exists.")
@click.option("--one-way", type=click.Choice(["yes", "no"]), help="Value of 'release one-way'.")
@click.option("--drain-grace", help="Value of 'servers drain-grace', such as 250ms.")
def migrate(
    old: Path, out: Path | None, dry_run: bool, force: bool, one_way: str | None, drain_grace: str | None
) -> None:
    """Convert an old settings file to the new format, and print which settings need a decision."""
    if out is None and not dry_run:
        raise click.UsageError("give the path of the new file as --out FILE, or --dry-run to write nothing")
    decided_values = _decided_values(one_way, drain_grace)
    try:
        with exit_on_invalid_settings():
            migration = migrate_file(old, (out or old).parent, decided_values)
            for note in migration.notes:
                click.echo(note, err=True)
            if migration.text and dry_run:
                click.echo(migration.text, nl=False)
            elif migration.text and out:
                write_settings(out, migration.text, force)
    except OSError as error:
        raise CommandFailed(
            ExitCode.USAGE, f"{error.filename or out}: not written: {error.strerror or error}"
        ) from error


@click.command()
def reference() -> None:
    """Print the reference page of the settings."""
    click.echo(reference_page.render_page(), nl=False)
