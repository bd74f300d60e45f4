"""One clock for the parts of a bench without sockets: calls at their time, in the order in which they were set."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class Clock:
    """`now`: s; only `run` moves it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.order = count()

    def at(self, when: float, call: Callable[[], object]) -> None:
        heappush(self.queue, (when, next(self.order), call))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heappop(self.queue)
            call()
        self.now = until
