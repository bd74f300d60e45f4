"""Parses the values on one line of a settings file according to the arguments of the setting."""

from __future__ import annotations

from typing import Any

from stepsail.settings.errors import InvalidValue, SettingsError, SourceLocation
from stepsail.settings.grammar import Value
from stepsail.settings.schema import Argument, Setting
from stepsail.settings.tree import SettingsTree, TreePath
from stepsail.settings.values import VALUE_KINDS


class ArgumentReader:
    """Parses the values on one line of a settings file and adds errors to the settings tree."""

    def __init__(
        self,
        tree: SettingsTree,
        setting: Setting,
        values: tuple[Value, ...],
        location: SourceLocation,
        path: TreePath,
    ) -> None:
        self.tree = tree
        self.setting = setting
        self.remaining = list(values)
        self.location = location
        self.path = path
        self.has_invalid_value = False

    def read(self) -> Any:
        """Return the setting's value; if it is invalid, add an error to the tree and return None."""
        try:
            values = self._read_arguments()
        except SettingsError as error:
            self.tree.add_error(error.location, error.message)
            return None
        if self.has_invalid_value:
            return None
        return values[self.setting.arguments[0].name] if self.setting.has_single_value else values

    def _read_arguments(self) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for argument in self.setting.arguments:
            if self._take_keyword(argument) and self._has_value(argument):
                values[argument.name] = self._read_argument(argument)
        if self.remaining:
            extra = self.remaining[0]
            raise SettingsError(
                self._location_of(extra),
                f"'{extra.text}' is one value too many: {usage(self.setting)}",
            )
        return values

    def _take_keyword(self, argument: Argument) -> bool:
        """Consume an argument's keyword, if any; return whether the argument's value may follow."""
        if not argument.keyword:
            return True
        if self.remaining and self.remaining[0].text == argument.keyword:
            self.remaining.pop(0)
            return True
        if argument.optional:
            return False
        location = self._location_of(self.remaining[0]) if self.remaining else self.location
        raise SettingsError(location, f"expected '{argument.keyword}', then its value: {usage(self.setting)}")

    def _has_value(self, argument: Argument) -> bool:
        if self.remaining or argument.optional:
            return bool(self.remaining)
        raise SettingsError(
            self.location, f"'{self.setting.name}' lacks its {argument.name}: {usage(self.setting)}"
        )

    def _read_argument(self, argument: Argument) -> Any:
        if not argument.variadic:
            return self._parse(argument, self.remaining.pop(0))
        values = self.remaining
        self.remaining = []
        return [self._parse(argument, value) for value in values]

    def _parse(self, argument: Argument, value: Value) -> Any:
        location = self._location_of(value)
        self.tree.locations[self._path_of(argument)] = location
        try:
            return VALUE_KINDS[argument.kind].parse(value.text)
        except InvalidValue as error:
            self.tree.add_error(location, f"'{value.text}' is not {error.expected}")
            self.has_invalid_value = True
            return None

    def _path_of(self, argument: Argument) -> TreePath:
        return self.path if self.setting.has_single_value else (*self.path, argument.name)

    def _location_of(self, value: Value) -> SourceLocation:
        return SourceLocation(self.location.file, self.location.line, value.column)


def usage(setting: Setting) -> str:
    """Return the syntax of a setting, such as `stage SHARE cap CAP`."""
    block = ["{ … }"] if setting.block else []
    return " ".join([setting.name, *map(_argument_usage, setting.arguments), *block])


def _argument_usage(argument: Argument) -> str:
    text = "|".join(argument.bounds["enum"]) if "enum" in argument.bounds else argument.name.upper()
    if argument.keyword:
        text = f"{argument.keyword} {text}"
    if argument.variadic:
        text += " …"
    return f"[{text}]" if argument.optional else text
