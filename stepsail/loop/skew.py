"""A clock that runs fast or slow and jumps: what a rehearsal puts under a process, to see what it bears."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass

from stepsail.loop.poll import PollDriver


@dataclass(frozen=True, slots=True)
class Skew:
    """`rate` times as fast; `by` seconds on, or back, from `at` seconds after the start."""

    rate: float = 1.0
    by: float = 0.0
    at: float = 0.0

    def shown(self, began: float, now: float) -> float:
        """What the clock shows at a true time."""
        passed = now - began
        return began + passed * self.rate + (self.by if passed >= self.at else 0.0)

    def put(self) -> str:
        return f"{self.rate!r},{self.by!r}@{self.at!r}"

    @classmethod
    def read(cls, text: str) -> Skew:
        """Raises ValueError; the form is RATE,BY@AT such as 1.05,-3@20."""
        found = re.fullmatch(r"(\d+(?:\.\d+)?),(-?\d+(?:\.\d+)?)@(\d+(?:\.\d+)?)", text)
        if not found or not 0.1 <= float(found[1]) <= 10:
            raise ValueError("a clock is given as RATE,BY@AT such as 1.05,-3@20, its rate from 0.1 to 10")
        return cls(*(float(x) for x in found.groups()))


class SkewedDriver(PollDriver):
    """The first driver under a clock of its own."""

    def __init__(self, skew: Skew) -> None:
        super().__init__()
        self.skew, self.began = skew, time.monotonic()

    def now(self) -> float:  # type: ignore[override]
        return self.skew.shown(self.began, time.monotonic())

    def poll(self, timeout: float | None) -> None:
        super().poll(None if timeout is None else timeout / self.skew.rate)
