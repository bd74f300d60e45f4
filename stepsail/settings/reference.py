"""The reference page of the settings, written from their descriptions."""

from __future__ import annotations

from stepsail.settings.argument_reader import usage
from stepsail.settings.definitions import INSTANCE
from stepsail.settings.schema import Argument, Setting

HEAD = """# Settings of an instance

This page is made by `stepsail reference` from the table that the checks use; do not edit it.

One line holds one word and its values; `#` begins a comment; `word … {` opens a block that `}` on a line of
its own closes; `include FILE` reads another file as if it stood there, by a path beside the including file.
Times carry a unit (`ms`, `s`, `m`, `h`, `d`), shares are written `8.5%` or `0.085`, sizes `16k` or `1m`. Values
with spaces stand in double quotes. `stepsail check FILE` tells all errors of a file in one go.
"""
TABLE_HEAD = ["| word | meaning | bounds | if absent |", "| --- | --- | --- | --- |"]
BOUND_WORDS = {"minimum": "at least", "exclusiveMinimum": "more than", "maximum": "at most"}


def page() -> str:
    """Return the page, in Markdown."""
    parts = [HEAD, "## Top of the file\n", *_table(INSTANCE)]
    for setting in INSTANCE:
        if setting.block:
            parts += [f"\n## In `{setting.name}`\n", *_table(setting.block)]
    return "\n".join(parts) + "\n"


def _table(settings: tuple[Setting, ...]) -> list[str]:
    return TABLE_HEAD + [_row(setting) for setting in settings]


def _row(setting: Setting) -> str:
    shown = usage(setting).replace("|", "\\|")
    repeatable = " (repeatable)" if setting.repeatable else ""
    bounds = "; ".join(
        f"{argument.name} {bounds}" for argument in setting.arguments if (bounds := _bounds(argument))
    )
    return f"| `{shown}`{repeatable} | {setting.description} | {bounds} | {_if_absent(setting)} |"


def _bounds(argument: Argument) -> str:
    return ", ".join(
        f"{BOUND_WORDS[keyword]} {bound:g}"
        for keyword, bound in argument.bounds.items()
        if keyword in BOUND_WORDS
    )


def _if_absent(setting: Setting) -> str:
    if setting.required:
        return "needed"
    if setting.default is None:
        return "none"
    if isinstance(setting.default, bool):
        return "yes" if setting.default else "no"
    return str(setting.default)
