"""Exit codes of the command `stepsail`, and the exception that ends it with one of them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum
from typing import IO, Any

import click

from stepsail.settings import InvalidSettings


class ExitCode(IntEnum):
    """Exit codes of every sub-command."""

    OK = 0
    """The command succeeded and found no problem."""
    FINDINGS = 1
    """The command found a problem, such as a broken rule, a damaged file or an instance that is not ready."""
    USAGE = 2
    """The command line is invalid, or a file named in it cannot be read."""
    UNANSWERED = 3
    """An instance ended before it had answered all requests (`serve`, `fleet run`)."""
    FAILED = 4
    """The program failed, an address could not be bound, or nothing listens at an address that was called."""


class CommandFailed(click.ClickException):
    """Ends a command with a message on standard error and an exit code.

    Attributes:
        code: The exit code.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.exit_code = code.value

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message without a prefix, as compilers do: it names a file and line, or an address."""
        click.echo(self.message, file=file, err=file is None)


@contextmanager
def exit_on_invalid_settings(code: ExitCode = ExitCode.USAGE) -> Iterator[None]:
    """End the command on invalid settings in this context, and print each error on a line of its own.

    Args:
        code: The exit code.
    """
    try:
        yield
    except InvalidSettings as invalid:
        raise CommandFailed(code, "\n".join(str(error) for error in invalid.errors)) from invalid
