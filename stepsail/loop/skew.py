"""Clocks that run fast or slow and jump. Rehearsals use them to test a process whose clock is wrong."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass

from stepsail.loop.poll import PollDriver

SKEW_PATTERN = re.compile(r"(\d+(?:\.\d+)?),(-?\d+(?:\.\d+)?)@(\d+(?:\.\d+)?)")
# Smallest allowed rate of a skewed clock, in seconds of that clock per true second.
MIN_RATE = 0.1
# Largest allowed rate of a skewed clock, in seconds of that clock per true second.
MAX_RATE = 10.0


@dataclass(frozen=True, slots=True)
class Skew:
    """The error of a clock.

    Attributes:
        rate: Seconds that the clock advances per true second.
        jump: Seconds by which the clock jumps, once; negative for a jump backwards.
        jump_at: True seconds from the start to the jump.
    """

    rate: float = 1.0
    jump: float = 0.0
    jump_at: float = 0.0

    def skewed_time(self, start: float, true_time: float) -> float:
        """Return the time that the clock shows at a true time."""
        elapsed = true_time - start
        return start + elapsed * self.rate + (self.jump if elapsed >= self.jump_at else 0.0)

    def format(self) -> str:
        """Return the text that `parse` accepts."""
        return f"{self.rate!r},{self.jump!r}@{self.jump_at!r}"

    @classmethod
    def parse(cls, text: str) -> Skew:
        """Parse RATE,BY@AT: the rate, the jump and its time, such as 1.05,-3@20.

        Raises:
            ValueError: The text has another form, or the rate is outside MIN_RATE to MAX_RATE.
        """
        match = SKEW_PATTERN.fullmatch(text)
        if not match or not MIN_RATE <= float(match[1]) <= MAX_RATE:
            raise ValueError(
                f"expected RATE,BY@AT such as 1.05,-3@20, with a rate from {MIN_RATE:g} to {MAX_RATE:g}"
            )
        return cls(*(float(number) for number in match.groups()))


class SkewedDriver(PollDriver):
    """The driver for real sockets, with a skewed clock."""

    def __init__(self, skew: Skew) -> None:
        super().__init__()
        self.skew = skew
        self.started_at = time.monotonic()

    def now(self) -> float:  # type: ignore[override]
        """Return the time of the skewed clock."""
        return self.skew.skewed_time(self.started_at, time.monotonic())

    def poll(self, timeout: float | None) -> None:
        """Poll with a timeout that is measured by the skewed clock."""
        super().poll(None if timeout is None else timeout / self.skew.rate)
