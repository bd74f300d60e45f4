"""Determines the delay before a failed call to a service that the whole fleet shares is retried.

Discovery answers calls in the order of their arrival, including those that their callers have given up. If a
fleet retries faster than it is served, the queue stays longer than any caller waits, and no call succeeds any
more: a metastable failure (Bronson et al. 2021). The delays are therefore drawn from a window that grows with
the size of the fleet, up to a bound, and with each further failure (exponential backoff with full jitter).

The cost of a failed call depends on how it failed. A call that was rejected at once took no place in the
queue, and however many of these there are, the service continues at its full rate. Such a call is retried
soon enough to be served before the lease on the endpoint list expires. A call that waited took a place in the
queue, and its retry is delayed according to the size of the fleet.

All times are in seconds. The module does no I/O.
"""

from __future__ import annotations

from enum import Enum, auto
from hashlib import blake2b

WINDOW_PER_INSTANCE = 0.2  # s that each instance of the fleet adds to the first window
MIN_WINDOW = 1.0  # s
MAX_FIRST_WINDOW = 12.0  # s; a service sized for its fleet answers all instances in half of that
WINDOW_GROWTH = 1.5  # factor by which each further failure in a row widens the window
MAX_WINDOW_GROWTH = 3.0  # largest factor of the first window
MAX_WINDOW = 18.0  # s; a longer one would leave instances without a list for long after an outage
MAX_COUNTED_FAILURES = 10  # in a row; further failures do not widen the window
REJECTED_WINDOW = 3.0  # s; longest first window after a rejection: half of the lease on a list
REJECTED_WITHIN = 0.25  # s; a call that fails after a longer time has waited in the queue
MIN_DELAY = 0.2  # s
# Seconds per instance over which the first calls are spread, as the whole fleet may be started at once.
START_SPREAD_PER_INSTANCE = 0.01


class CallFailure(Enum):
    """How a call failed, which determines its cost to the service."""

    UNREACHED = auto()  # no cost: the service did not accept the connection
    REJECTED = auto()  # hardly any cost: refused or reset at once, without a place in the queue
    WAITED = auto()  # a place in the queue; the service may still work on the call

    @classmethod
    def classify(cls, connected: bool, duration: float) -> CallFailure:
        """Return the kind of a failure, by whether the connection was accepted and how long the call took."""
        if not connected:
            return cls.UNREACHED
        return cls.REJECTED if duration < REJECTED_WITHIN else cls.WAITED


class CallPacing:
    """Draws the delays after failed calls of an instance to the service `name`, by a seed and a counter."""

    def __init__(self, name: str, seed: int, fleet_size: int) -> None:
        self.name = name
        self.seed = seed
        self.fleet_size = fleet_size
        self.first_window = min(MAX_FIRST_WINDOW, max(MIN_WINDOW, WINDOW_PER_INSTANCE * fleet_size))
        self.failures = 0  # in a row
        self.draws = 0

    def succeeded(self) -> None:
        """Record a successful call: the next failure counts as the first in a row."""
        self.failures = 0

    def next_delay(self, failure: CallFailure) -> float:
        """Record a failed call, and return the seconds to wait before the next call."""
        growth = min(MAX_WINDOW_GROWTH, WINDOW_GROWTH ** min(self.failures, MAX_COUNTED_FAILURES))
        window = min(MAX_WINDOW, self._first_window(failure) * growth)
        if failure is CallFailure.UNREACHED:
            window = MIN_WINDOW  # no place in the queue: neither fleet size nor earlier failures matter
        self.failures += 1
        return MIN_DELAY + window * self._draw_uniform()

    def _first_window(self, failure: CallFailure) -> float:
        if failure is CallFailure.REJECTED:
            return min(REJECTED_WINDOW, self.first_window)
        return self.first_window

    def start_delay(self) -> float:
        """Return the seconds to wait before the first call after a start.

        Most of the fleet may have been started at the same time.
        """
        return self.fleet_size * START_SPREAD_PER_INSTANCE * self._draw_uniform()

    def _draw_uniform(self) -> float:
        self.draws += 1
        digest = blake2b(b"%s %d.%d" % (self.name.encode(), self.seed, self.draws), digest_size=8).digest()
        return int.from_bytes(digest, "big") / 2**64
