"""Reads settings files into one checked tree and reports all errors at once, each with its location."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from stepsail.settings.argument_reader import ArgumentReader
from stepsail.settings.errors import (
    InvalidSettings,
    SettingsSyntaxError,
    SourceLocation,
)
from stepsail.settings.grammar import Line, parse_line
from stepsail.settings.schema import Setting, block_schema
from stepsail.settings.tree import SettingsTree, TreePath

MAX_FILE_BYTES = 1 << 20
MAX_INCLUDE_DEPTH = 8
INCLUDE = "include"


@dataclass
class _Block:
    """A block that is being read; if `is_known` is false, its lines are skipped."""

    settings: dict[str, Setting]
    values: dict[str, Any]
    path: TreePath
    is_known: bool = True


class SettingsReader:
    """Reads one file, and the files that it includes, according to the definitions of its settings."""

    def __init__(self, settings: tuple[Setting, ...]) -> None:
        self.settings = settings
        self.tree = SettingsTree()

    def read(self, file: Path) -> SettingsTree:
        """Read a settings file and the files that it includes.

        Raises:
            InvalidSettings: The file has errors.
        """
        start = SourceLocation(str(file), 1)
        self.tree.locations[()] = start
        top = _Block(_by_name(self.settings), self.tree.values, ())
        self._read_file(file, top, start, [])
        if not self.tree.errors:
            self._check_schema()
        if self.tree.errors:
            raise InvalidSettings(self.tree.errors)
        return self.tree

    def _read_file(
        self, file: Path, enclosing_block: _Block, include_location: SourceLocation, include_stack: list[Path]
    ) -> None:
        text = self._load_text(file, include_location, include_stack)
        if text is None:
            return
        open_blocks = [enclosing_block]
        block_locations: list[SourceLocation] = []
        for line_number, line_text in enumerate(text.split("\n"), 1):
            line = self._parse_line(line_text, file, line_number)
            if line is None:
                continue
            location = SourceLocation(str(file), line_number, line.column)
            if line.closes:
                self._close_block(open_blocks, block_locations, location)
            elif line.name == INCLUDE and len(line.values) == 1 and not line.opens:
                included = file.parent / line.values[0].text
                self._read_file(included, open_blocks[-1], location, [*include_stack, file.resolve()])
            elif line.name:
                self._read_setting(line, location, open_blocks, block_locations)
        for location in block_locations:
            self.tree.add_error(location, "this block is never closed; add '}'")

    def _load_text(
        self, file: Path, include_location: SourceLocation, include_stack: list[Path]
    ) -> str | None:
        """Return a file's text; if it cannot be read, add an error and return None."""
        if file.resolve() in include_stack or len(include_stack) >= MAX_INCLUDE_DEPTH:
            message = f"{file} includes itself, or includes are nested more than {MAX_INCLUDE_DEPTH} deep"
            self.tree.add_error(include_location, message)
            return None
        try:
            if file.stat().st_size > MAX_FILE_BYTES:
                self.tree.add_error(include_location, f"{file} is larger than {MAX_FILE_BYTES} bytes")
                return None
            return file.read_text("utf-8")
        except UnicodeDecodeError as error:
            line = file.read_bytes()[: error.start].count(b"\n") + 1
            self.tree.add_error(SourceLocation(str(file), line), "not UTF-8; write the file in UTF-8")
        except OSError as error:
            self.tree.add_error(include_location, f"cannot read {file}: {error.strerror}")
        return None

    def _parse_line(self, line_text: str, file: Path, line_number: int) -> Line | None:
        try:
            return parse_line(line_text.rstrip("\r"))
        except SettingsSyntaxError as error:
            self.tree.add_error(
                SourceLocation(str(file), line_number, error.column), f"expected {error.expected}"
            )
            return None

    def _close_block(
        self, open_blocks: list[_Block], block_locations: list[SourceLocation], location: SourceLocation
    ) -> None:
        if len(open_blocks) == 1:
            self.tree.add_error(location, "'}' closes nothing; remove it")
        else:
            open_blocks.pop()
            block_locations.pop()

    def _read_setting(
        self,
        line: Line,
        location: SourceLocation,
        open_blocks: list[_Block],
        block_locations: list[SourceLocation],
    ) -> None:
        """Add a setting to the innermost open block, and enter the block that the setting opens."""
        block = open_blocks[-1]
        opened_block = self._add_value(line, location, block)
        setting = block.settings.get(line.name)
        if line.opens and (setting is None or setting.block):
            open_blocks.append(opened_block or _Block({}, {}, block.path, is_known=False))
            block_locations.append(location)

    def _add_value(self, line: Line, location: SourceLocation, block: _Block) -> _Block | None:
        """Add a setting's value to its block; return the block that the setting opens, if any."""
        if not block.is_known:
            return None
        setting = self._allowed_setting(line, location, block)
        if setting is None:
            return None
        path: TreePath = (*block.path, setting.name)
        if setting.repeatable:
            path = (*path, len(block.values.get(setting.name, [])))
        self.tree.locations[path] = location
        value = ArgumentReader(self.tree, setting, line.values, location, path).read()
        if value is None:
            return None
        if setting.repeatable:
            block.values.setdefault(setting.name, []).append(value)
        else:
            block.values[setting.name] = value
        return _Block(_by_name(setting.block), value, path) if setting.block and line.opens else None

    def _allowed_setting(self, line: Line, location: SourceLocation, block: _Block) -> Setting | None:
        """Return the setting that a line names; if it is not allowed here, add an error and return None."""
        setting = block.settings.get(line.name)
        if setting is None:
            message = f"unknown setting '{line.name}'; {_suggest(line.name, block.settings)}"
        elif line.opens and not setting.block:
            message = f"'{setting.name}' takes no block; remove '{{'"
        elif not setting.repeatable and block.values.get(setting.name) is not None:
            first_location = self.tree.location_of(*block.path, setting.name)
            message = f"'{setting.name}' is given twice; first at {first_location}"
        else:
            return setting
        self.tree.add_error(location, message)
        return None

    def _check_schema(self) -> None:
        """Check required settings, bounds and allowed values against the JSON schema."""
        for error in Draft202012Validator(block_schema(self.settings)).iter_errors(self.tree.values):
            self.tree.add_error(self.tree.location_of(*error.absolute_path), _describe_schema_error(error))


def _by_name(settings: tuple[Setting, ...]) -> dict[str, Setting]:
    return {setting.name: setting for setting in settings}


def _suggest(word: str, allowed_words: Iterable[str]) -> str:
    allowed = sorted(allowed_words)
    matches = difflib.get_close_matches(word, allowed, 1)
    return f"did you mean '{matches[0]}'?" if matches else f"allowed here: {', '.join(allowed)}"


def _describe_schema_error(error: ValidationError) -> str:
    """Return a message for an error of JSON Schema validation, in terms of the settings file."""
    value: Any = error.instance
    bound: Any = error.validator_value
    match str(error.validator):
        case "required":
            return f"missing: {', '.join(sorted(set(bound) - set(value)))}"
        case "enum":
            return f"'{value}' is not one of {', '.join(bound)}; {_suggest(str(value), bound)}"
        case "minimum":
            return f"{value:g} is too small; at least {bound:g}"
        case "exclusiveMinimum":
            return f"{value:g} is too small; more than {bound:g}"
        case "maximum" | "exclusiveMaximum":
            return f"{value:g} is too large; at most {bound:g}"
        case _:
            return error.message
