"""The command group of `stepsail`, which imports the sub-commands for experiments only when they are used."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from importlib import import_module

import click

SHORT_HELP_LENGTH = 80


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """A command that is imported when it is used.

    Attributes:
        module: Module that defines the command, in a variable with the command's name.
        help: Help text in the list of commands.
    """

    module: str
    help: str


LAZY_COMMANDS = {
    "experiment": LazyCommand(
        "stepsail.cli.experiments", "Simulate days for many seeds and routers, and compare the results."
    ),
    "hunt": LazyCommand("stepsail.cli.hunts", "Search simulated days for broken rules and lost service."),
    "load": LazyCommand(
        "stepsail.cli.loads",
        "Load-test a running instance on loopback and find the highest rate it sustains.",
    ),
}


class LazyGroup(click.Group):
    """A command group that imports the commands for experiments only when they are used.

    They need libraries for data frames and charts, which are not installed on machines that only serve.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in alphabetical order."""
        return sorted({*super().list_commands(ctx), *LAZY_COMMANDS})

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands into the help, even if those for experiments cannot be imported."""
        rows: list[tuple[str, str]] = []
        for name in self.list_commands(ctx):
            if name in LAZY_COMMANDS:
                rows.append((name, LAZY_COMMANDS[name].help))
                continue
            command = self.get_command(ctx, name)
            if command is not None and not command.hidden:
                rows.append((name, command.get_short_help_str(SHORT_HELP_LENGTH)))
        with formatter.section("Commands"):
            formatter.write_dl(rows)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command; raises click.ClickException if a package that it needs is not installed."""
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        try:
            module = import_module(LAZY_COMMANDS[cmd_name].module)
        except ModuleNotFoundError as error:
            raise click.ClickException(
                f"'{cmd_name}' needs the package {error.name}, which is not installed; run "
                "pip install -r requirements-experiment.txt"
            ) from None
        command: click.Command = getattr(module, cmd_name)
        return command

    def add_hidden_alias(self, command: click.Command, alias: str) -> None:
        """Make a command available under an earlier name too, which the help does not list."""
        hidden = copy.copy(command)
        hidden.hidden = True
        self.add_command(hidden, alias)
