"""Sub-commands on settings files: check, migrate, reference."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from stepsail.cli.exit_codes import CommandFailed, ExitCode, settings_errors_end_command
from stepsail.cli.parameters import EXISTING_FILE, OUTPUT_FILE
from stepsail.settings import load_settings
from stepsail.settings import reference as reference_page
from stepsail.settings.migration import migrate_file, write_settings
from stepsail.settings.values import parse_duration


@click.command()
@click.argument("file", type=EXISTING_FILE)
def check(file: Path) -> None:
    """Check a settings file and print all errors in it."""
    with settings_errors_end_command(ExitCode.FINDINGS):
        router = load_settings(file).router
    click.echo(
        f"{file}: valid; instance {router.instance_index} of {router.instance_count}, "
        f"{len(router.request_classes)} request classes, {len(router.stage_shares)} stages"
    )


def _decisions(one_way: str | None, drain_grace: str | None) -> dict[tuple[str, str], Any]:
    """What the options decide: the value of each setting, by block and name."""
    decided: dict[tuple[str, str], Any] = {}
    if one_way is not None:
        decided["release", "one-way"] = one_way == "yes"
    if drain_grace is not None:
        try:
            decided["servers", "drain-grace"] = parse_duration(drain_grace)
        except ValueError as error:
            raise click.BadParameter(f"'{drain_grace}' is not {error}", param_hint="--drain-grace") from None
    return decided


@click.command()
@click.argument("old", type=EXISTING_FILE)
@click.option("--out", type=OUTPUT_FILE, help="The new file; needed unless --dry-run.")
@click.option("--dry-run", is_flag=True, help="Print the new text and the notes on it; write nothing.")
@click.option("--force", is_flag=True, help="Overwrite the new file if it is there.")
@click.option("--one-way", type=click.Choice(["yes", "no"]), help="Decide 'release one-way'.")
@click.option("--drain-grace", help="Decide 'servers drain-grace', such as 250ms.")
def migrate(
    old: Path, out: Path | None, dry_run: bool, force: bool, one_way: str | None, drain_grace: str | None
) -> None:
    """Write the counterpart of an old settings file in the new format, and print what needs a decision."""
    if out is None and not dry_run:
        raise click.UsageError("say where the new file goes: --out FILE, or --dry-run to write nothing")
    decided = _decisions(one_way, drain_grace)
    try:
        with settings_errors_end_command():
            migration = migrate_file(old, (out or old).parent, decided)
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
