"""Rewrites a settings file from format version 1 (`shape 1`) to version 2, with notes for the operator.

Version 2 has no defaults for settings on which the router's rules and its votes on builds depend. For each
such setting that the old file omits, the new file contains the default of version 1, and a note asks the
operator to decide on the value. The migration itself decides nothing.
"""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from decimal import Decimal
from pathlib import Path
from typing import Any

from stepsail.settings.consistency import check_consistency
from stepsail.settings.definitions import FORMAT_WITHOUT_DEFAULTS, INSTANCE, REQUIRED_IN_FORMAT_2
from stepsail.settings.errors import InvalidSettings
from stepsail.settings.loader import load_settings
from stepsail.settings.reader import INCLUDE, SettingsReader
from stepsail.settings.schema import Argument, Setting, find_setting
from stepsail.settings.tree import SettingsTree

# Settings that contain a path, which may be relative to the folder of the settings file.
PATH_SETTINGS = (("capture", "folder"), ("roster", "keep"), ("trail", "folder"))
INDENT = "    "
SPECIAL_CHARACTERS = '"{}#\\'

# Maps the names of a block and a setting in it to the value that the operator decided on.
Decisions = Mapping[tuple[str, str], Any]


@dataclass(frozen=True, slots=True)
class Migration:
    """The result of rewriting a settings file in format version 2.

    Attributes:
        text: Text of the new file; empty if the old file has format version 2 already.
        notes: Notes for the operator, one line each.
    """

    text: str
    notes: tuple[str, ...]


def migrate_file(file: Path, folder: Path, decisions: Decisions) -> Migration:
    """Rewrite a settings file in format version 2, without writing the new file.

    Args:
        file: The old file.
        folder: Folder of the new file.
        decisions: Values that replace the values in the old file and the defaults.

    Raises:
        InvalidSettings: The old file has errors.
    """
    tree = SettingsReader(INSTANCE).read(file)
    check_consistency(tree)
    if tree.errors:
        raise InvalidSettings(tree.errors)
    if tree.values.get("shape", 1) == FORMAT_WITHOUT_DEFAULTS:
        return Migration("", (f"{tree.location_of('shape')}: this file already has 'shape 2'",))
    notes = [*_notes_on_comments(tree), *_notes_on_paths(tree, file, folder)]
    values = {**tree.values, "shape": FORMAT_WITHOUT_DEFAULTS}
    for block in REQUIRED_IN_FORMAT_2:
        values[block], block_notes = _complete_block(tree, block, decisions)
        notes += block_notes
    notes += _notes_on_open_decisions(tree, values)
    return Migration("\n".join(_format_block(INSTANCE, values)) + "\n", tuple(notes))


def write_settings(file: Path, text: str, overwrite: bool) -> None:
    """Write a settings file atomically, provided that its text passes the checks.

    Raises:
        OSError: The file cannot be written, or exists already and `overwrite` is false.
        InvalidSettings: The text does not pass the checks.
    """
    temporary = file.with_name(f".{file.name}.{os.getpid()}")
    try:
        with temporary.open("x", encoding="utf-8") as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        load_settings(temporary)
        if overwrite:
            temporary.replace(file)
        else:
            os.link(temporary, file)  # Unlike a rename, this fails if the file already exists.
    finally:
        temporary.unlink(missing_ok=True)


def _complete_block(tree: SettingsTree, block: str, decisions: Decisions) -> tuple[dict[str, Any], list[str]]:
    """Return a block's values, complete for format version 2, and notes on added or replaced values."""
    values = dict(tree.values.get(block, {}))
    notes: list[str] = []
    for name in REQUIRED_IN_FORMAT_2[block]:
        setting = find_setting(find_setting(INSTANCE, block).block, name)
        location = tree.location_of(block, name)
        if (block, name) in decisions:
            replaced = f", in place of '{_format_setting(setting, values[name])}'" if name in values else ""
            values[name] = decisions[block, name]
            notes.append(
                f"{location}: set to '{_format_setting(setting, values[name])}' as decided{replaced}"
            )
        elif name not in values:
            values[name] = setting.default
            notes.append(
                f"{location}: {block} {name} is not set; decide whether "
                f"'{_format_setting(setting, setting.default)}', its default, is right for the new deployment"
            )
    return values, notes


def _notes_on_comments(tree: SettingsTree) -> Iterator[str]:
    """Yield notes on comments and include lines, which are not copied from the old files."""
    for name in sorted({location.file for location in tree.locations.values()}):
        if not Path(name).is_file():
            continue
        for number, line in enumerate(Path(name).read_text("utf-8").split("\n"), 1):
            if line.strip().startswith("#"):
                yield f"{name}:{number}: a comment is not carried over"
            elif line.split()[:1] == [INCLUDE]:
                yield f"{name}:{number}: the settings of the included file replace this line"


def _notes_on_paths(tree: SettingsTree, file: Path, folder: Path) -> Iterator[str]:
    """Yield notes on relative paths, which change their meaning if the new file is in another folder."""
    if folder.resolve() == file.parent.resolve():
        return
    for block, name in PATH_SETTINGS:
        path = (tree.values.get(block) or {}).get(name)
        if path and not Path(path).is_absolute():
            yield (
                f"{tree.location_of(block)}: '{path}' will be relative to the folder of the new file; "
                "move the file, or write its absolute path"
            )


def _notes_on_open_decisions(tree: SettingsTree, values: dict[str, Any]) -> Iterator[str]:
    """Yield notes on further settings on which the operator should decide."""
    if not values["release"]["one-way"]:
        yield (
            f"{tree.location_of('release', 'one-way')}: requests with the same key may go back to an earlier "
            "build; to prevent this, add --one-way yes"
        )
    elif "subject-header" not in tree.values.get("door", {}):
        yield (
            f"{tree.location_of('door')}: sticky keys are taken from the header 'Subject'; "
            "make sure that clients send it"
        )
    if "neighbours" not in values:
        yield (
            f"{tree.location_of()}: instances do not gossip with each other; "
            "add 'neighbours' if the new ones should"
        )


def _format_block(settings: tuple[Setting, ...], values: Mapping[str, Any], depth: int = 0) -> Iterator[str]:
    """Yield the lines of a block in the order of its settings' definitions."""
    indent = INDENT * depth
    for setting in settings:
        value = values.get(setting.name)
        if value is None:
            continue
        for item in value if setting.repeatable else [value]:
            line = indent + _format_setting(setting, item)
            block_lines = list(_format_block(setting.block, item, depth + 1)) if setting.block else []
            if block_lines:
                yield f"{line} {{"
                yield from block_lines
                yield f"{indent}}}"
            else:
                yield line


def _format_setting(setting: Setting, value: Any) -> str:
    parts = [setting.name]
    for argument in setting.arguments:
        item = value if setting.has_single_value else value.get(argument.name)
        if item is None:
            continue
        if argument.keyword:
            parts.append(argument.keyword)
        parts.append(_format_argument(argument, item))
    return " ".join(parts)


def _format_argument(argument: Argument, value: Any) -> str:
    if argument.variadic:
        return " ".join(_format_value(argument.kind, item) for item in value)
    return _format_value(argument.kind, value)


def _format_value(kind: str, value: Any) -> str:
    if kind == "yes":
        return "yes" if value else "no"
    if kind in ("time", "share", "number"):
        digits = format(Decimal(repr(float(value))).normalize(), "f")
        return f"{digits}s" if kind == "time" else digits
    return _quote(str(value))


def _quote(text: str) -> str:
    """Return a text in quotes if the grammar requires them, otherwise unchanged."""
    is_bare = text and not any(character.isspace() or character in SPECIAL_CHARACTERS for character in text)
    if is_bare:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'
