"""Errors of this package, for invalid input from the platform or from clients."""

from __future__ import annotations

MAX_SHOWN_CHARACTERS = 60  # longest text of an invalid value in an error message


class PlatformError(Exception):
    """Base class of this package's errors."""


class InvalidField(PlatformError):
    """A field of a JSON message is missing, has the wrong type or is out of range.

    Attributes:
        field: Name of the field.
        expected: Description of a valid value.
        found: The invalid value; None for a missing field.
    """

    def __init__(self, field: str, expected: str, found: object) -> None:
        super().__init__(f"{field}: expected {expected}, found {describe(found)}")
        self.field = field
        self.expected = expected
        self.found = found


class InvalidJson(PlatformError):
    """A stream contains bytes that are not JSON, or a value that exceeds the size limit."""


class MissedChanges(PlatformError):
    """Discovery sent changes to a list that is older than the current endpoint list.

    The changes between the two lists are therefore unknown.

    Attributes:
        index: List index that the message with the changes contains.
        current_index: Index of the current endpoint list.
    """

    def __init__(self, index: int, current_index: int) -> None:
        super().__init__(f"index: expected changes after {current_index}, found {index}")
        self.index = index
        self.current_index = current_index


class InvalidConfiguration(PlatformError):
    """The configuration is unreadable or invalid.

    Attributes:
        source: The file or environment variable that is missing or invalid.
        reason: Description of the error.
    """

    def __init__(self, source: str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class InvalidRequest(PlatformError):
    """A request is invalid: it gets an error response at once and never reaches the router.

    Attributes:
        status: HTTP status of the response.
        reason: Text of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def describe(value: object) -> str:
    """Format a value for an error message: a scalar as its shortened text, a container as its type's name."""
    if value is None:
        return "nothing"
    if isinstance(value, str):
        return repr(value[:MAX_SHOWN_CHARACTERS])
    if isinstance(value, bool | int | float):
        return repr(value)[:MAX_SHOWN_CHARACTERS]
    return type(value).__name__
