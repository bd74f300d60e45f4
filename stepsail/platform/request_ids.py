"""Remembers the IDs of requests, so that no request runs again under the ID of one that may have run. No I/O.

A client takes a new ID for each request and each retry. An ID that comes again is that of an earlier request,
whose client may have left in the meantime.
"""

from __future__ import annotations

from collections.abc import Callable

# Seconds for which the ID of an ended request is remembered; several times the longest client timeout.
REMEMBERED_TIME = 10.0
MAX_REMEMBERED = 8192  # IDs of ended requests; beyond it, the one that ended first is forgotten


class RequestIds:
    """The IDs that are not accepted now.

    Attributes:
        in_use: IDs of the requests in flight, and of finished requests that still have an open attempt.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.in_use: set[bytes] = set()
        self._now = now
        self._ended: dict[bytes, float] = {}  # when each request ended, the earliest first

    def is_taken(self, request_id: bytes) -> bool:
        """Return whether the ID is that of a request that is in flight or may have run a short time ago."""
        if request_id in self.in_use:
            return True
        ended_at = self._ended.get(request_id)
        return ended_at is not None and ended_at + REMEMBERED_TIME > self._now()

    def start(self, request_id: bytes) -> None:
        """Record the start of a request."""
        self.in_use.add(request_id)

    def end(self, request_id: bytes, may_have_run: bool) -> None:
        """Record the end of a request and of all its attempts."""
        self.in_use.discard(request_id)
        if not may_have_run:
            return
        now = self._now()
        self._ended.pop(request_id, None)
        self._ended[request_id] = now
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget IDs whose time is over, and the earliest ones if there are too many."""
        while self._ended:
            request_id, ended_at = next(iter(self._ended.items()))
            if ended_at + REMEMBERED_TIME > now and len(self._ended) <= MAX_REMEMBERED:
                return
            del self._ended[request_id]
