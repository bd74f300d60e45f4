"""The kinds of values in settings files: the parser of each kind, and its type in JSON Schema."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stepsail.settings.errors import InvalidValue

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
BYTES_PER_UNIT = {"": 1, "k": 1024, "K": 1024, "m": 1024**2, "M": 1024**2, "g": 1024**3, "G": 1024**3}
PERCENT = 100
# Number of decimal places to which a share is rounded, so that 8.5% equals 0.085.
SHARE_DIGITS = 12
RANGE_SEPARATOR = ".."
MAX_OCTET = 255
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class ValueKind:
    """A kind of value in settings files.

    Attributes:
        parse: Parses the text of a value, or raises InvalidValue.
        json_type: Type of the parsed value in JSON Schema; for a range, the type of its two ends.
        is_range: Whether the value is a range, which is parsed into a list of its two ends.
    """

    parse: Callable[[str], Any]
    json_type: str
    is_range: bool = False


def parse_duration(text: str) -> float:
    """Parse a duration with its unit into seconds."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)", text)
    if not match:
        raise InvalidValue("a time with its unit, such as 250ms, 1.2s, 5m or 30d")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def parse_share(text: str) -> float:
    """Parse a share, written as a percentage or a fraction, into a fraction."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(%?)", text)
    if not match:
        raise InvalidValue("a share, such as 8.5% or 0.085")
    return round(float(match[1]) / (PERCENT if match[2] else 1), SHARE_DIGITS)


def parse_integer(text: str) -> int:
    """Parse a non-negative integer."""
    if not re.fullmatch(r"\d{1,9}", text):
        raise InvalidValue("a whole number")
    return int(text)


def parse_size(text: str) -> int:
    """Parse a size with an optional unit into bytes."""
    match = re.fullmatch(r"(\d{1,9})([kKmMgG]?)", text)
    if not match:
        raise InvalidValue("a size in bytes, such as 16k or 1m")
    return int(match[1]) * BYTES_PER_UNIT[match[2]]


def parse_number(text: str) -> float:
    """Parse a non-negative decimal number."""
    if not re.fullmatch(r"\d+(\.\d+)?", text):
        raise InvalidValue("a number, such as 2 or 0.5")
    return float(text)


def parse_flag(text: str) -> bool:
    """Parse `yes` or `no`."""
    if text not in ("yes", "no"):
        raise InvalidValue("yes or no")
    return text == "yes"


def check_address(text: str) -> str:
    """Check that a text is an IPv4 address with a port, and return it unchanged."""
    match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", text)
    is_valid = (
        match and all(int(octet) <= MAX_OCTET for octet in match[1].split(".")) and int(match[2]) <= MAX_PORT
    )
    if not is_valid:
        raise InvalidValue("an address and port, such as 127.0.0.1:8080")
    return text


def range_parser(parse_end: Callable[[str], Any]) -> Callable[[str], list[Any]]:
    """Return a parser of ranges such as `2s` or `1s..4s`, given the parser of their ends."""

    def parse(text: str) -> list[Any]:
        low_text, separator, high_text = text.partition(RANGE_SEPARATOR)
        low = parse_end(low_text)
        high = parse_end(high_text if separator else low_text)
        if low > high:
            raise InvalidValue("a range from the lower to the higher value")
        return [low, high]

    return parse


VALUE_KINDS = {
    "time": ValueKind(parse_duration, "number"),
    "share": ValueKind(parse_share, "number"),
    "whole": ValueKind(parse_integer, "integer"),
    "number": ValueKind(parse_number, "number"),
    "yes": ValueKind(parse_flag, "boolean"),
    "address": ValueKind(check_address, "string"),
    "size": ValueKind(parse_size, "integer"),
    "text": ValueKind(str, "string"),
    "times": ValueKind(range_parser(parse_duration), "number", is_range=True),
    "shares": ValueKind(range_parser(parse_share), "number", is_range=True),
    "numbers": ValueKind(range_parser(parse_number), "number", is_range=True),
    "wholes": ValueKind(range_parser(parse_integer), "integer", is_range=True),
}
