"""Splits a stream of bytes into JSON values (RFC 8259), wherever reads and line breaks divide them.

A JSON string contains no unescaped line break, so no string extends over several lines. Outside of strings, a
value ends where as many brackets have been closed as were opened. A line may contain one value, a part of
a value, or several values. The module does no I/O.
"""

from __future__ import annotations

import re
from collections import deque
from json import JSONDecoder
from typing import Any

import msgspec

from stepsail.platform.errors import InvalidJson

STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
KEEP_ALIVE: dict[str, Any] = {}  # the value of an empty line between two JSON values; compare it by identity
CLOSING_BRACKETS = (b"}", b"]")


class JsonValueStream:
    """An incremental parser: `feed` adds bytes, `next` returns complete values."""

    def __init__(self, max_value_bytes: int) -> None:
        self.max_value_bytes = max_value_bytes
        self.value_lines = bytearray()  # the complete lines of a value that has not ended
        self.partial_line = b""
        self.open_brackets = 0  # number of brackets still open at the end of `value_lines`
        self.values: deque[Any] = deque()
        self.decoder = JSONDecoder()

    def feed(self, data: bytes) -> None:
        """Parse further bytes.

        Raises:
            InvalidJson: The stream is not valid JSON, or a value is too large; the parser can no longer be
                used.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self._feed_line(line)
        self._feed_unterminated_value()
        if len(self.value_lines) + len(self.partial_line) > self.max_value_bytes:
            raise InvalidJson(f"expected values of at most {self.max_value_bytes} bytes, found a larger one")

    def next(self) -> Any | None:
        """Return the next complete value, KEEP_ALIVE for an empty line, or None if neither has arrived."""
        return self.values.popleft() if self.values else None

    @property
    def has_partial_value(self) -> bool:
        """Whether a value has begun that is not complete yet."""
        return bool(self.value_lines.strip() or self.partial_line.strip())

    def _feed_unterminated_value(self) -> None:
        """Parse a complete value that no line break follows yet.

        The value would otherwise not be returned before the next line break.
        """
        if not self.partial_line.rstrip().endswith(CLOSING_BRACKETS):
            return
        balance = self._bracket_balance(self.partial_line)
        if balance is not None and self.open_brackets + balance == 0:
            line = self.partial_line
            self.partial_line = b""
            self._feed_line(line)

    def _feed_line(self, line: bytes) -> None:
        if not line.strip() and not self.open_brackets:
            self.values.append(KEEP_ALIVE)
            return
        balance = self._bracket_balance(line)
        if balance is None:
            raise InvalidJson("expected strings to end on the same line, found an unterminated one")
        self.value_lines += line
        self.open_brackets += balance
        if self.open_brackets < 0:
            raise InvalidJson("expected balanced brackets, found more closing than opening ones")
        if not self.open_brackets:
            self._decode(bytes(self.value_lines))
            self.value_lines.clear()

    @staticmethod
    def _bracket_balance(line: bytes) -> int | None:
        """Return the number of opening minus closing brackets; None if a string does not end on the line."""
        without_strings = STRING.sub(b"", line)
        if b'"' in without_strings:
            return None
        opened = without_strings.count(b"{") + without_strings.count(b"[")
        closed = without_strings.count(b"}") + without_strings.count(b"]")
        return opened - closed

    def _decode(self, data: bytes) -> None:
        try:
            self.values.append(msgspec.json.decode(data))
        except msgspec.DecodeError:
            self._decode_several(data)

    def _decode_several(self, data: bytes) -> None:
        """Decode several JSON values that are on one line."""
        try:
            text = data.decode().strip()
            position = 0
            while position < len(text):
                value, position = self.decoder.raw_decode(text, position)
                self.values.append(value)
                position += len(text[position:]) - len(text[position:].lstrip())
        except (ValueError, RecursionError) as error:  # invalid JSON, invalid UTF-8, or too deeply nested
            raise InvalidJson(str(error)) from None
