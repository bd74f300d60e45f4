"""Errors in settings files.

All errors of a file are collected, so that one check of the file reports all of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A position in a settings file; line and column are counted from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class SettingsException(Exception):
    """Base class of the errors of this package."""


class SettingsError(SettingsException):
    """One error in a settings file.

    Attributes:
        location: Position of the error.
        message: What is wrong and how to correct it.
    """

    def __init__(self, location: SourceLocation, message: str) -> None:
        super().__init__(f"{location}: {message}")
        self.location = location
        self.message = message


class InvalidSettings(SettingsException):
    """A settings file, or a file that it includes, has errors.

    Attributes:
        errors: All errors, in the order in which they were found.
    """

    def __init__(self, errors: Sequence[SettingsError]) -> None:
        super().__init__("\n".join(map(str, errors)))
        self.errors = list(errors)


class SettingsSyntaxError(SettingsException):
    """A line of a settings file does not follow the grammar.

    Attributes:
        column: Column of the error, counted from 1.
        expected: Description of what the grammar allows at that column.
    """

    def __init__(self, column: int, expected: str) -> None:
        super().__init__(expected)
        self.column = column
        self.expected = expected


class InvalidValue(SettingsException, ValueError):
    """A value cannot be parsed as the kind that its argument requires.

    Attributes:
        expected: Description of the required kind, usually with an example.
    """

    def __init__(self, expected: str) -> None:
        super().__init__(expected)
        self.expected = expected
