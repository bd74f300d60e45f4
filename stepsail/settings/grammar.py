"""Parses one line of a settings file: a setting's name, its values, and the start or end of a block."""

from __future__ import annotations

from dataclasses import dataclass

from lark import Lark, Token, UnexpectedCharacters, UnexpectedInput

from stepsail.settings.errors import SettingsSyntaxError

MAX_LINE_LENGTH = 2000  # longest line of a settings file, in characters
FIRST_PRINTABLE = 32  # code point of the space, the first printable character

# Unquoted values may contain any character but whitespace, quotes, braces and `#`. Addresses therefore
# need no quotes.
GRAMMAR = r"""
    start: [WORD value* [OPEN]] | CLOSE
    value: QUOTED | BARE | WORD
    WORD.2: /[a-z][a-z0-9-]*(?=[\s{}#]|$)/
    BARE: /[^\s"{}#]+/
    QUOTED: /"(\\.|[^"\\])*"/
    OPEN: "{"
    CLOSE: "}"
    COMMENT: /#.*/
    %ignore /[ \t]+/
    %ignore COMMENT
"""
PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)
EXPECTED_INSTEAD_OF = {
    "{": "'{' after a setting, at the end of the line",
    "}": "'}' on a line of its own",
}
EXPECTED_LINE = "the name of a setting, then its values, then optionally '{'"


@dataclass(frozen=True, slots=True)
class Value:
    """One value without its quotes, and the column, counted from 1, at which the value begins."""

    text: str
    column: int


@dataclass(frozen=True, slots=True)
class Line:
    """One parsed line of a settings file.

    Attributes:
        name: Name of the setting; empty for a blank line, a comment, and the end of a block.
        column: Column of the first token, counted from 1.
        values: Values after the name of the setting.
        opens: Whether the line opens a block.
        closes: Whether the line closes a block.
    """

    name: str
    column: int
    values: tuple[Value, ...]
    opens: bool
    closes: bool


BLANK_LINE = Line(name="", column=1, values=(), opens=False, closes=False)


def parse_line(text: str) -> Line:
    """Parse one line of a settings file.

    Raises:
        SettingsSyntaxError: The line does not follow the grammar.
    """
    _check_characters(text)
    tokens = _tokens(text)
    if not tokens:
        return BLANK_LINE
    first = tokens[0]
    column = first.column or 1
    if first.type == "CLOSE":
        return Line(name="", column=column, values=(), opens=False, closes=True)
    opens = tokens[-1].type == "OPEN"
    value_tokens = tokens[1:-1] if opens else tokens[1:]
    return Line(str(first), column, tuple(_value(token) for token in value_tokens), opens, closes=False)


def _check_characters(text: str) -> None:
    if len(text) > MAX_LINE_LENGTH:
        raise SettingsSyntaxError(MAX_LINE_LENGTH, f"a line of at most {MAX_LINE_LENGTH} characters")
    for column, character in enumerate(text, 1):
        if ord(character) < FIRST_PRINTABLE and character != "\t":
            raise SettingsSyntaxError(column, "printable characters")


def _tokens(text: str) -> list[Token]:
    try:
        tree = PARSER.parse(text)
    except UnexpectedCharacters as error:
        is_open_quote = text[error.column - 1 :].startswith('"')
        expected = "a closing quote" if is_open_quote else "a name in lower-case letters, digits and hyphens"
        raise SettingsSyntaxError(error.column, expected) from None
    except UnexpectedInput as error:
        column = max(1, getattr(error, "column", 1))
        token = str(getattr(error, "token", ""))
        raise SettingsSyntaxError(column, EXPECTED_INSTEAD_OF.get(token, EXPECTED_LINE)) from None
    return [token for token in tree.scan_values(lambda _: True) if isinstance(token, Token)]


def _value(token: Token) -> Value:
    text = str(token)
    if token.type == "QUOTED":
        text = text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return Value(text, token.column or 1)
