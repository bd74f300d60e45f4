"""Counts requests, attempts and closed connections, each according to its outcome or reason, without I/O.

Log lines about single events are limited in number and may be dropped; these counts are complete.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class ConnectionClose(Enum):
    """Why this instance closed a client's connection."""

    FINISHED = "the client closed its side, or sent nothing until the idle timeout"
    BAD_REQUEST = "the bytes received were not a valid request, or the request did not arrive in time"
    AFTER_RESPONSE = "the response announced that the connection closes after it"
    CLIENT_DISCONNECTED = "the client closed the connection while its request was in flight"
    DEADLINE_PASSED = "the request's deadline had passed before the request could be accepted"
    WRITE_TIMED_OUT = "the client did not read a response in time"
    IO_ERROR = "a read or a write on the connection failed"
    EVICTED = "the client was silent, and the connection was closed to make room for another"
    SHUTTING_DOWN = "no answer was owed on the connection when this instance shut down"


@dataclass
class Counters:
    """Holds the counts of requests, attempts and closed connections since the counts were last collected.

    There is at most one number for each outcome or reason.
    """

    requests: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    closes: Counter[str] = field(default_factory=Counter)

    def count_close(self, reason: ConnectionClose) -> None:
        """Count a close of a client's connection."""
        self.closes[reason.name.lower()] += 1

    def collect_and_reset(self) -> dict[str, dict[str, int]]:
        """Return the counts since the last call, and reset them.

        The counts are grouped into requests, attempts and closes; a group without counts is left out.
        """
        kinds = {"requests": self.requests, "attempts": self.attempts, "closes": self.closes}
        collected = {kind: dict(sorted(counts.items())) for kind, counts in kinds.items() if counts}
        for counts in kinds.values():
            counts.clear()
        return collected
