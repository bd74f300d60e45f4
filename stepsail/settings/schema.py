"""Classes that define settings: their arguments, bounds, descriptions and defaults.

The reader, the checks, the reference page and the migration are all driven by these definitions. The names
in settings files are part of the interface to operators and never change; `Setting.field` is the name of a
setting in the code.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stepsail.settings.values import VALUE_KINDS

TIME_BOUNDS: dict[str, Any] = {"exclusiveMinimum": 0, "maximum": 86400}  # range of a time in seconds
AGE_BOUNDS: dict[str, Any] = {"minimum": 0, "maximum": 100 * 366 * 86400}  # range of an age in seconds
SHARE_BOUNDS: dict[str, Any] = {"minimum": 0, "maximum": 1}


@dataclass(frozen=True, slots=True)
class Argument:
    """One value of a setting.

    Attributes:
        name: Name of the value in messages, and its key in the tree if the setting has several values.
        kind: A key of VALUE_KINDS.
        bounds: JSON Schema keywords that the value has to satisfy.
        keyword: Literal word before the value; empty if no word precedes the value.
        optional: Whether the value may be omitted.
        variadic: Whether the argument takes all remaining values of the line, one or more.
    """

    name: str
    kind: str
    bounds: dict[str, Any]
    keyword: str = ""
    optional: bool = False
    variadic: bool = False

    def json_schema(self) -> dict[str, Any]:
        """Return the JSON schema of the parsed value."""
        kind = VALUE_KINDS[self.kind]
        schema = {"type": kind.json_type, **self.bounds}
        if kind.is_range:
            return {"type": "array", "items": schema, "minItems": 2, "maxItems": 2}
        return {"type": "array", "items": schema, "minItems": 1} if self.variadic else schema


def argument(
    name: str, kind: str, keyword: str = "", optional: bool = False, variadic: bool = False, **bounds: Any
) -> Argument:
    """Create an argument; `bounds` are JSON Schema keywords."""
    return Argument(name, kind, bounds, keyword, optional, variadic)


@dataclass(frozen=True, slots=True)
class Setting:
    """Definition of one setting of a settings file.

    Attributes:
        name: Name in the settings file, the first word of a line.
        description: Meaning of the setting, for the reference page.
        arguments: The values after the name.
        block: The settings allowed in the block that the setting opens; empty if it opens no block.
        repeatable: Whether the setting may be given more than once.
        required: Whether the setting has to be given.
        default: Value if the setting is absent.
        field: Name in the code; empty if it is the same as `name`.
    """

    name: str
    description: str
    arguments: tuple[Argument, ...] = ()
    block: tuple[Setting, ...] = ()
    repeatable: bool = False
    required: bool = False
    default: Any = None
    field: str = ""

    @property
    def has_single_value(self) -> bool:
        """Whether the setting's value is its only argument's value, not a mapping from names to values."""
        return not self.block and len(self.arguments) == 1

    def json_schema(self) -> dict[str, Any]:
        """Return the JSON schema of the setting's value in the tree."""
        if self.has_single_value:
            schema = self.arguments[0].json_schema()
        else:
            schema = block_schema(self.block)
            schema["properties"].update({a.name: a.json_schema() for a in self.arguments})
            schema["required"] += [a.name for a in self.arguments if not a.optional]
        if self.repeatable:
            return {"type": "array", "items": schema, "minItems": 1 if self.required else 0}
        return schema


def block_schema(settings: tuple[Setting, ...]) -> dict[str, Any]:
    """Return the JSON schema of a block in which the given settings are allowed."""
    return {
        "type": "object",
        "properties": {setting.name: setting.json_schema() for setting in settings},
        "required": [setting.name for setting in settings if setting.required],
        "additionalProperties": False,
    }


def with_defaults(settings: tuple[Setting, ...], values: Mapping[str, Any]) -> dict[str, Any]:
    """Return a block's values keyed by `Setting.field`, with the defaults of absent settings."""
    return {setting.field or setting.name: values.get(setting.name, setting.default) for setting in settings}


def find_setting(settings: tuple[Setting, ...], name: str) -> Setting:
    """Return the setting with the given name.

    Raises:
        KeyError: No setting has this name.
    """
    for setting in settings:
        if setting.name == name:
            return setting
    raise KeyError(name)
