"""The values read from a settings file, with the location of each value and the errors found so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from stepsail.settings.errors import SettingsError, SourceLocation

MAX_ERRORS = 50  # most errors that are reported for a settings file

TreePath = tuple[str | int, ...]  # names of settings and arguments, and indexes of repeated settings


@dataclass
class SettingsTree:
    """The values of a settings file, keyed by the names of the settings.

    Attributes:
        values: The values: nested mappings for blocks, lists for repeatable settings.
        locations: Location of each value in its file, keyed by the value's path in the tree.
        errors: Errors found so far, at most MAX_ERRORS.
    """

    values: dict[str, Any] = field(default_factory=dict)
    locations: dict[TreePath, SourceLocation] = field(default_factory=dict)
    errors: list[SettingsError] = field(default_factory=list)

    def add_error(self, location: SourceLocation, message: str) -> None:
        """Add an error, unless the tree has MAX_ERRORS errors already."""
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(SettingsError(location, message))

    def location_of(self, *path: str | int) -> SourceLocation:
        """Return the location of the value at a path, or else of the innermost enclosing value."""
        while path and path not in self.locations:
            path = path[:-1]
        return self.locations.get(path, SourceLocation("settings", 1))
