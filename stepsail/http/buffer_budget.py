"""Limits the memory that all connections of an instance use together for messages in progress. No I/O.

Each connection has limits of its own; hundreds of connections within these may exceed the process's memory.
"""

from __future__ import annotations

from collections.abc import Callable

# Share of the limit that requests may use. The rest is for the responses to them: without it, requests could
# use up the memory that is needed to answer them.
REQUEST_SHARE = 0.75
# Share of the requests' limit that may be used when more is read ahead of a request that is being answered.
# What is read ahead cannot be rejected, so it must not take the room of other requests.
READ_AHEAD_SHARE = 0.5
# Share of the requests' limit down to which room is made once it is exceeded.
LOW_WATER_SHARE = 0.875
UNLIMITED = 1 << 62  # bytes


def _no_room_to_make(excess: int) -> None:
    """Is the default of `BufferBudget.make_room`."""


class BufferBudget:
    """Counts the bytes that connections hold, and says when they are too many.

    The limit may be exceeded by what a single read adds, until room is made.

    Attributes:
        limit: Number of bytes that all messages together may hold.
        request_limit: Number of bytes above which no more is read of requests.
        used: Number of bytes held now.
        make_room: Called with the number of bytes that are to be freed; rejects requests in progress.
    """

    def __init__(self, limit: int = UNLIMITED) -> None:
        self.limit = limit
        self.request_limit = int(limit * REQUEST_SHARE)
        self.used = 0
        self.make_room: Callable[[int], object] = _no_room_to_make

    def may_read_ahead(self) -> bool:
        """Return whether further requests may be read while one is being answered."""
        return self.used <= self.request_limit * READ_AHEAD_SHARE

    def reclaim_for_requests(self) -> bool:
        """Make room if requests hold too much; return whether more of them may be read now."""
        if self.used > self.request_limit:
            self.make_room(self.used - int(self.request_limit * LOW_WATER_SHARE))
        return self.used <= self.request_limit

    def reclaim_for_responses(self) -> bool:
        """Make room if all messages hold too much; return whether more of a response may be read now."""
        if self.used > self.limit:
            self.make_room(self.used - self.request_limit)
        return self.used <= self.limit


class BufferAccount:
    """The bytes that one connection holds of a budget.

    Attributes:
        size: Number of bytes.
    """

    __slots__ = ("budget", "size")

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Change the number of bytes that the connection holds."""
        self.budget.used += size - self.size
        self.size = size
