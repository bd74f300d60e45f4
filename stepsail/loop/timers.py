"""Timers in a heap.

A cancelled timer stays in the heap until it reaches the top, or until most of the heap is cancelled timers.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

# Up to this many cancelled timers stay in the heap, because to remove so few costs more than to keep them.
MIN_CANCELLED_TO_SWEEP = 64


class Timer:
    """A callback scheduled for a time; it can be cancelled until it runs."""

    __slots__ = ("callback", "timers")

    def __init__(self, timers: Timers, callback: Callable[[], object]) -> None:
        self.timers = timers
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the timer; has no effect once it has run or been cancelled."""
        if self.callback is not None:
            self.callback = None
            self.timers.cancelled_count += 1
            self.timers.sweep()


class Timers:
    """Holds the timers of a loop.

    Bound: one entry per live timer, plus at most as many cancelled ones, or MIN_CANCELLED_TO_SWEEP if that is
    more.
    """

    def __init__(self) -> None:
        # Tuples of due time, sequence number and timer: tuples compare without running Python code.
        self.heap: list[tuple[float, int, Timer]] = []
        self.cancelled_count = 0
        self.sequence = count()

    def add(self, when: float, callback: Callable[[], object]) -> Timer:
        """Schedule a callback for a time on the loop's clock."""
        timer = Timer(self, callback)
        heappush(self.heap, (when, next(self.sequence), timer))
        return timer

    def sweep(self) -> None:
        """Remove the cancelled timers once they are most of the heap."""
        if self.cancelled_count > MIN_CANCELLED_TO_SWEEP and self.cancelled_count * 2 > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapify(self.heap)
            self.cancelled_count = 0

    def next_due_time(self) -> float | None:
        """Return the time at which the earliest live timer is due, or None if there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heappop(self.heap)
            self.cancelled_count -= 1
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: float) -> list[Callable[[], object]]:
        """Remove the timers due at or before `now`; return their callbacks, sorted by due time."""
        callbacks: list[Callable[[], object]] = []
        while (when := self.next_due_time()) is not None and when <= now:
            timer = heappop(self.heap)[2]
            assert timer.callback is not None
            callbacks.append(timer.callback)
            timer.callback = None
        return callbacks

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled_count
