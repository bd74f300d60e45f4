"""Decides how an instance behaves when its trail cannot be written.

This module does no I/O; the caller passes the time.

The first write that fails frees the reserve, so that requests in flight can still be answered and recorded.
While the reserve is freed, or nothing can be written, `deny` rejects new requests before they are sent to a
server, so the rejection truthfully means that they did not run. `go-on` serves new requests, and as soon as
the trail can be written again, a GAP entry records the number of answers that are missing from the trail.
"""

from __future__ import annotations

from enum import Enum

# Seconds between attempts to begin a new segment while nothing can be written.
RETRY_INTERVAL = 1.0
RESERVE_RETRY_INTERVAL = 10.0  # seconds between attempts to allocate a freed reserve again


class FullPolicy(Enum):
    """How to handle new requests while the trail cannot be written; the values are those of the settings."""

    REJECT = "deny"
    CONTINUE = "go-on"


class Durability(Enum):
    """Which failures the entry of a sent answer survives; the values are those of the settings."""

    PROCESS_CRASH = "process-crash"  # written to the operating system before the answer is sent
    POWER_LOSS = "power-loss"  # synced before the answer is sent, many entries per sync
    POWER_LOSS_EACH = "power-loss-each"  # synced before the answer is sent, one entry per sync

    @property
    def requires_sync(self) -> bool:
        """Return whether an entry counts as stored only once it is synced."""
        return self is not Durability.PROCESS_CRASH


class TrailAvailability:
    """Tracks whether the trail can be written, and how many answers were sent without an entry.

    Attributes:
        writable: Whether entries can be written.
        reserve_available: Whether the reserve is allocated.
        unrecorded: Answers sent although their entry could not be written; counted by the trail's thread.
        not_queued: Answers sent although the queue had no room for their entry; counted by the event loop.
        reported: The part of `unrecorded` and `not_queued` that GAP entries have reported.
        unrecorded_since: The wall-clock time at which `unrecorded` first grew since the last GAP entry, or 0.
    """

    def __init__(self, full_policy: FullPolicy) -> None:
        self.full_policy = full_policy
        self.writable = True
        self.reserve_available = True
        self.retry_at = 0.0
        self.reserve_retry_at = 0.0
        self.last_error = ""
        # These counters only grow, and each is written by one thread only, so they need no lock. A GAP entry
        # reports the growth since the previous GAP entry.
        self.unrecorded = 0
        self.not_queued = 0
        self.reported = 0
        self.unrecorded_since = 0.0

    def write_failed(self, now: float, error: str) -> bool:
        """Handle a failed write or sync.

        Returns:
            Whether to free the reserve and retry at once in a new segment.
        """
        free_reserve = self.reserve_available
        self.reserve_available = False
        self.last_error = error
        if not free_reserve:
            self.writable = False
            self.retry_at = now + RETRY_INTERVAL
        self.reserve_retry_at = now + RESERVE_RETRY_INTERVAL
        return free_reserve

    def retry_due(self, now: float) -> bool:
        """Return whether to try to begin a new segment now."""
        return not self.writable and now >= self.retry_at

    def resumed(self) -> None:
        """Handle the beginning of a new segment after a failure."""
        self.writable = True
        self.unrecorded_since = 0.0

    def reserve_due(self, now: float) -> bool:
        """Return whether to allocate a freed reserve again now.

        If an attempt is due now, the next attempt is due after RESERVE_RETRY_INTERVAL.
        """
        if self.reserve_available or not self.writable or now < self.reserve_retry_at:
            return False
        self.reserve_retry_at = now + RESERVE_RETRY_INTERVAL
        return True

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted."""
        return self.full_policy is FullPolicy.CONTINUE or (self.writable and self.reserve_available)

    def sends_unrecorded_answers(self) -> bool:
        """Return whether an answer is sent even if it cannot be recorded."""
        return self.full_policy is FullPolicy.CONTINUE

    def count_unrecorded(self, answers: int, wall_time: float) -> None:
        """Count answers that were sent although their entries could not be written."""
        self.unrecorded_since = self.unrecorded_since or wall_time
        self.unrecorded += answers

    def take_unreported(self) -> int:
        """Return the number of unrecorded answers since the last GAP entry, and mark them as reported."""
        total = self.unrecorded + self.not_queued
        unreported = total - self.reported
        self.reported = total
        return unreported
