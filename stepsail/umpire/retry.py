"""How soon a failed call to release control or the roster is made again. No I/O; chance is given."""

from __future__ import annotations

FIRST, LONGEST = 0.2, 3.0  # s; a stall of seconds is common and hundreds of umpires see it at once
SPREAD = 0.5  # share of a pause that chance may take off, so that umpires do not call in step


class Backoff:
    """Doubling pauses with chance in them; `well` after a success begins anew."""

    def __init__(self) -> None:
        self.pause = FIRST

    def well(self) -> None:
        self.pause = FIRST

    def next(self, chance: float) -> float:
        """Seconds to wait after a failure; `chance` is from 0 to 1."""
        now, self.pause = self.pause, min(LONGEST, self.pause * 2)
        return now * (1 - SPREAD * chance)
