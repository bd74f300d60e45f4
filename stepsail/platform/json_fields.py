"""Reads fields of decoded JSON messages; every function validates the value that it returns."""

from __future__ import annotations

from typing import Any, TypeVar

from stepsail.platform.errors import InvalidField

# Largest whole number up to which every JSON parser represents all whole numbers exactly.
MAX_EXACT_INTEGER = 2**53
MAX_NUMBER = 1e15
EXPECTED_ADDRESS = "an address such as 10.0.0.4:7070"
MAX_OCTET = 255
MAX_PORT = 65535
IPV4_OCTETS = 4

FieldType = TypeVar("FieldType")


def require(message: Any, field: str, expected_type: type[FieldType]) -> FieldType:
    """Return a field of the expected type; True is not accepted as an integer, nor 1 as a boolean.

    Raises:
        InvalidField: The message is not an object, or the field is missing or has another type.
    """
    value = _get(message, field)
    if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
        raise InvalidField(field, expected_type.__name__, value)
    return value


def require_number(message: Any, field: str, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> float:
    """Return the number in a field if it is from `minimum` to `maximum`.

    Raises:
        InvalidField: The field is missing, not a number, or out of range.
    """
    value = _get(message, field)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise InvalidField(field, f"a number from {minimum:g} to {maximum:g}", value)
    return float(value)


def require_integer(message: Any, field: str, maximum: int = MAX_EXACT_INTEGER) -> int:
    """Return the whole number in a field if it is from 0 to `maximum`; 3.0 is accepted as 3.

    Raises:
        InvalidField: The field is missing, not a whole number, or out of range.
    """
    value = require_number(message, field, 0, maximum)
    if value != int(value):
        raise InvalidField(field, "a whole number", value)
    return int(value)


def parse_address(text: Any, field: str = "address") -> tuple[str, int]:
    """Parse an address of the form `host:port`, whose host is an IPv4 address.

    Raises:
        InvalidField: The text does not have the form `host:port` with an IPv4 host.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    octets = host.split(".")
    host_is_valid = len(octets) == IPV4_OCTETS and all(
        octet.isdecimal() and int(octet) <= MAX_OCTET for octet in octets
    )
    if not host_is_valid or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidField(field, EXPECTED_ADDRESS, text)
    return host, int(port)


def _get(message: Any, field: str) -> Any:
    return message.get(field) if isinstance(message, dict) else None
