"""The command `stepsail` and its sub-commands; `stepsail/cli/exit_codes.py` defines the exit codes."""

from __future__ import annotations

import click

from stepsail.cli.captures import capture
from stepsail.cli.command_group import LazyGroup
from stepsail.cli.fleets import fleet
from stepsail.cli.qualify import qualify
from stepsail.cli.rehearsals import rehearse
from stepsail.cli.replays import explain, replay_command, view
from stepsail.cli.reports import verify_command
from stepsail.cli.serve import serve
from stepsail.cli.settings_files import check, migrate, reference
from stepsail.cli.trails import trail

VERSION = "0.2.0"


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version=VERSION, prog_name="stepsail")
def main() -> None:
    """Route requests to servers, and decide on the release of new builds."""


def _add_commands(group: LazyGroup) -> None:
    for command in (
        capture,
        check,
        explain,
        fleet,
        migrate,
        qualify,
        reference,
        rehearse,
        replay_command,
        serve,
        trail,
        verify_command,
        view,
    ):
        group.add_command(command)
    group.add_hidden_alias(serve, "umpire")


_add_commands(main)
