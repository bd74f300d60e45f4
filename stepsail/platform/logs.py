"""A few lines of JSON on standard error; bounded, so that a crowd of troubles costs no time of clients."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import msgspec

A_SECOND, AT_ONCE = 10.0, 50.0  # lines written on average, and at once


class Lines:
    """Implements the host's Log. What is beyond the bound is counted and told with the next line."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now, self.room, self.at, self.passed_over = now, AT_ONCE, now(), 0

    def _line(self, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self.now()
        self.room, self.at = min(AT_ONCE, self.room + (now - self.at) * A_SECOND), now
        if self.room < 1 and level != "error":
            self.passed_over += 1
            return
        self.room -= 1
        line = {"at": round(now, 3), "level": level, "event": event, **fields}
        if self.passed_over:
            line["passed_over"], self.passed_over = self.passed_over, 0
        sys.stderr.buffer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")
        sys.stderr.buffer.flush()

    def debug(self, event: str, **fields: Any) -> None: ...

    def info(self, event: str, **fields: Any) -> None:
        self._line("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._line("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._line("error", event, fields)
