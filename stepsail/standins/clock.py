"""A virtual clock for simulations without sockets; calls due at the same time run in scheduling order."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

START_TIME = 100.0  # s; above zero, so that times shortly before the start are positive as well


class Clock:
    """Virtual time in seconds; `now` advances only in `run`."""

    def __init__(self) -> None:
        self.now = START_TIME
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.sequence_numbers = count()

    def at(self, when: float, call: Callable[[], object]) -> None:
        """Schedule a call for the time `when`."""
        heappush(self.queue, (when, next(self.sequence_numbers), call))

    def run(self, seconds: float) -> None:
        """Advance the time by `seconds` and run the calls that fall due."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heappop(self.queue)
            call()
        self.now = until
