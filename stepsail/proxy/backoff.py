"""Computes retry delays by exponential backoff with jitter. No I/O.

Used for the daemon's long polls of release control and endpoint discovery, which answer the calls of many
instances concurrently: delays are short. `decisions.call_pacing` is for a service that handles its calls one
after the other: its delays grow with the size of the fleet, so that calls do not queue behind calls that were
given up.
"""

from __future__ import annotations

from zlib import crc32

INITIAL_DELAY = 0.2  # s
MAX_DELAY = 3.0  # s; stalls of seconds are common, and hundreds of instances see one at the same time
JITTER = 0.5  # largest share of a delay that jitter removes, so that instances do not call in step


class Backoff:
    """Returns delays that double with each failure, less a jitter derived from salt, seed and a counter."""

    def __init__(self, salt: str, seed: int) -> None:
        self.salt = salt
        self.seed = seed
        self.draws = 0
        self.delay = INITIAL_DELAY

    def reset(self) -> None:
        """Start again with the shortest delay, after a success."""
        self.delay = INITIAL_DELAY

    def next_delay(self) -> float:
        """Return the seconds to wait after a failure."""
        self.draws += 1
        draw = crc32(b"%s %d.%d" % (self.salt.encode(), self.seed, self.draws)) / 2**32
        delay = self.delay
        self.delay = min(MAX_DELAY, self.delay * 2)
        return delay * (1 - JITTER * draw)
