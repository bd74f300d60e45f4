"""Logs JSON lines to standard error, rate-limited so that a burst of errors does not delay clients.

There are two rate limits, so that lines about single requests never displace lines about the state of the
instance. Lines of `info`, `warning` and `error` share the first limit; lines of `debug` have the second.
Dropped lines are counted, and the next line under the same limit contains the count.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import msgspec

STANDARD_ERROR = 2
STATE_LINES_PER_SECOND = 10.0
STATE_LINES_BURST = 50.0
REQUEST_LINES_PER_SECOND = 5.0
REQUEST_LINES_BURST = 25.0


class LineRateLimit:
    """A token bucket that limits the rate of log lines and counts the lines that it drops."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now
        self.dropped = 0

    def try_take(self, now: float, always: bool) -> bool:
        """Return whether a line may be written at `now`; with `always`, no token is needed."""
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.per_second)
        self.refilled_at = now
        if self.tokens < 1 and not always:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call, and reset the count."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class JsonLog:
    """Implements `proxy.decision_host.Logger`; `now` is the clock for the timestamps of lines."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.state_limit = LineRateLimit(STATE_LINES_PER_SECOND, STATE_LINES_BURST, now())
        self.request_limit = LineRateLimit(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, now())

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event of one request."""
        self._log(self.request_limit, "debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an expected change of the instance's state."""
        self._log(self.state_limit, "info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an error whose cause is outside this process."""
        self._log(self.state_limit, "warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an error of this program; the line is never dropped by the rate limit."""
        self._log(self.state_limit, "error", event, fields)

    def _log(self, limit: LineRateLimit, level: str, event: str, fields: dict[str, Any]) -> None:
        now = self.now()
        if not limit.try_take(now, always=level == "error"):
            return
        line = {"at": round(now, 3), "level": level, "event": event, **fields}
        if limit.dropped:
            line["dropped"] = limit.take_dropped()
        if not self._write(msgspec.json.encode(line, enc_hook=str) + b"\n"):
            limit.dropped += 1

    @staticmethod
    def _write(line: bytes) -> bool:
        """Write a line; return False if it could not be written completely.

        A full disk or a closed pipe must not prevent the response to a request or change the exit code of the
        process. The method therefore raises no error and buffers nothing.
        """
        try:
            while line:
                line = line[os.write(STANDARD_ERROR, line) :]
        except OSError:
            return False
        return True
