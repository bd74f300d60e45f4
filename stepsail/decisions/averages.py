"""This module defines statistics that several modules share: a decaying mean and a timestamp window."""

from __future__ import annotations

from bisect import insort
from collections import deque

# If a mean already holds at least this weighted number of values, adding a value halves the weight of all
# values, including the new value.
HALVING_COUNT = 16


class DecayingMean:
    """A mean in which old values lose weight; its initial value has the weight of two added values."""

    def __init__(self, prior: float = 1.0) -> None:
        self.count = 2.0
        self.total = 2.0 * prior

    def add(self, value: float) -> None:
        """Add a value to the mean."""
        decay_factor = 0.5 if self.count >= HALVING_COUNT else 1.0
        self.count = (self.count + 1) * decay_factor
        self.total = (self.total + value) * decay_factor

    def mean(self) -> float:
        """Return the current mean."""
        return self.total / self.count


class TimestampWindow(deque[float]):
    """Times of recent events in ascending order; when `maxlen` is reached, the oldest time is dropped."""

    def add(self, timestamp: float) -> None:
        """Add the time of an event.

        After a pause of the process, the event may be older than events that were added earlier.
        """
        if len(self) == self.maxlen:
            self.popleft()
        insort(self, timestamp)

    def count_since(self, start: float) -> int:
        """Return the number of events at or after the time `start`, and drop all events before `start`."""
        while self and self[0] < start:
            self.popleft()
        return len(self)
