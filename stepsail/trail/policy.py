"""What an umpire does about its trail when the disk does not do its part. No I/O, no clock of its own.

The first write that fails spends the reserve: what is held can then be answered and recorded. While the reserve is
spent, or nothing can be written, `deny` turns new transactions away, truthfully, as they never ran; `go-on` serves
them, and the trail gets a gap entry with their number as soon as it can be written again.
"""

from __future__ import annotations

from enum import Enum

RETRY = 1.0  # s between tries to begin a new segment while nothing can be written
HEAD_EVERY = 5.0  # s between signed heads, as long as something is written
RENEW_RESERVE = 10.0  # s between tries to take a spent reserve again


class Full(Enum):
    """What to do with new transactions while the trail cannot be kept."""

    DENY = "deny"
    GO_ON = "go-on"


class Survives(Enum):
    """What an answer that was given survives, in the trail."""

    PROCESS = "process-crash"  # written to the system before the answer; the machine's crash may lose it
    POWER = "power-loss"  # synced to the disk before the answer, many at once
    POWER_EACH = "power-loss-each"  # synced for every answer by itself

    @property
    def synced(self) -> bool:
        return self is not Survives.PROCESS


class Keeping:
    """The state of the trail's keeping, and what follows from it."""

    def __init__(self, full: Full) -> None:
        self.full, self.well, self.reserve, self.retry_at, self.renew_at = full, True, True, 0.0, 0.0
        # Counts that only grow, each by one thread alone; a gap entry tells the difference to the last one.
        self.missed, self.unqueued, self.told, self.missed_since, self.why = 0, 0, 0, 0.0, ""

    def failed(self, now: float, why: str) -> bool:
        """A write or sync failed. Whether to spend the reserve and try at once in a new segment."""
        spend, self.reserve = self.reserve, False
        self.why = why
        if not spend:
            self.well, self.retry_at = False, now + RETRY
        self.renew_at = now + RENEW_RESERVE
        return spend

    def may_try(self, now: float) -> bool:
        """Whether a trail that cannot be written is tried again now."""
        return not self.well and now >= self.retry_at

    def went_well(self) -> None:
        self.well = True

    def renews(self, now: float) -> bool:
        """Whether a spent reserve is to be taken again now."""
        if self.reserve or not self.well or now < self.renew_at:
            return False
        self.renew_at = now + RENEW_RESERVE
        return True

    def takes_new(self) -> bool:
        """Whether new transactions are taken."""
        return self.full is Full.GO_ON or (self.well and self.reserve)

    def answers_without(self) -> bool:
        """Whether an answer that cannot be recorded is given all the same."""
        return self.full is Full.GO_ON

    def missing(self, answers: int, wall: float) -> None:
        """So many answers could not be kept, and are given all the same."""
        self.missed_since = self.missed_since or wall
        self.missed += answers

    def gap(self) -> int:
        """Answers since the last gap entry that the trail lacks; from now on they count as told."""
        lacking, self.told = self.missed + self.unqueued - self.told, self.missed + self.unqueued
        return lacking
