"""Decides which segments of a trail to remove, according to limits of age and size.

This module does no I/O; the caller passes the time.

Only sealed segments are removed: those with a successor in which a signed head has been synced. They are
removed from the oldest on, without skipping any, so that the remaining segments form one chain. The live
segment is never removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from stepsail.trail.entries import ChainPosition

# The limit is kept low because answers wait for the trail's thread during a pass.
MAX_SEGMENTS_PER_PASS = 8
# Seconds between retention passes. A pass also follows the beginning of a new segment.
PASS_INTERVAL = 60.0
# Seconds by which the wall clock may drift from the monotonic clock between passes. A larger drift is a jump.
CLOCK_JUMP = 60.0
# Seconds after a jump of the wall clock during which no segment is removed because of its age.
CLOCK_SETTLE_TIME = 3600.0


@dataclass(frozen=True, slots=True)
class SealedSegment:
    """A segment that has a successor, with the time and chain position at which the successor begins."""

    name: str
    size: int
    successor_started_at: float  # wall-clock time
    successor_follows: ChainPosition


class RemovalReason(StrEnum):
    """Which limit a segment exceeds; the values are stored in RETIRED entries."""

    AGE = "age"
    SIZE = "size"


class Removal(NamedTuple):
    """A segment to be removed, and the limit that it exceeds."""

    segment: SealedSegment
    reason: RemovalReason


class Retention:
    """The retention limits of one trail. 0 means no limit; `max_bytes` includes the live segment."""

    def __init__(self, max_age: float, max_bytes: int) -> None:
        self.max_age = max_age
        self.max_bytes = max_bytes
        self.next_pass_at = 0.0
        self._clock_offset: float | None = None  # wall clock minus monotonic clock, at the last pass
        self._age_limit_suspended_until = 0.0

    @property
    def has_limits(self) -> bool:
        """Return whether there is a limit of age or size."""
        return bool(self.max_age or self.max_bytes)

    def due(self, now: float) -> bool:
        """Return whether a pass is due at `now`, a monotonic time; if so, schedule the next one."""
        if not self.has_limits or now < self.next_pass_at:
            return False
        self.next_pass_at = now + PASS_INTERVAL
        return True

    def choose_removals(
        self, oldest: list[SealedSegment], total_bytes: int, now: float, wall_time: float
    ) -> list[Removal]:
        """Return the segments to remove, oldest first.

        A wall clock that is set forward makes every segment look old. After a jump, the age limit is
        therefore suspended for CLOCK_SETTLE_TIME, even if the clock is corrected in the meantime; segments
        then stay an hour longer.

        Args:
            oldest: The oldest sealed segments, oldest first.
            total_bytes: The size of all segments, including the live one.
            now: The monotonic clock.
            wall_time: The wall clock.
        """
        offset = wall_time - now
        if self._clock_offset is not None and abs(offset - self._clock_offset) > CLOCK_JUMP:
            self._age_limit_suspended_until = now + CLOCK_SETTLE_TIME
        self._clock_offset = offset
        age_limit_active = now >= self._age_limit_suspended_until
        removals: list[Removal] = []
        for segment in oldest[:MAX_SEGMENTS_PER_PASS]:
            too_old = (
                self.max_age and age_limit_active and wall_time - segment.successor_started_at > self.max_age
            )
            too_large = self.max_bytes and total_bytes > self.max_bytes
            if not (too_old or too_large):
                break
            removals.append(Removal(segment, RemovalReason.SIZE if too_large else RemovalReason.AGE))
            total_bytes -= segment.size
        return removals
