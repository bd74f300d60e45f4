"""Determines the delay before a failed call to a service that the whole fleet shares is retried.

Discovery answers calls in the order of their arrival, including calls that their callers have given up. If a
fleet of router instances retries faster than discovery serves it, the time in the queue stays longer than any
caller waits, and no call succeeds any more: a metastable failure (Bronson et al. 2021). The delays before
retries are therefore drawn from a time window. The window grows with the size of the fleet, up to an upper
bound, and with each further failure (exponential backoff with full jitter).

The cost of a failed call to the service depends on how the call failed. A call that was rejected at once took
no place in the service's queue. However many calls are rejected, the service continues at its full rate. A
rejected call is therefore retried soon enough to be served before the lease on the endpoint list expires. A
call that waited took a place in the queue, and its retry is delayed according to the size of the fleet.

All times are in seconds. The module does no I/O.
"""

from __future__ import annotations

from enum import Enum, auto
from hashlib import blake2b

# Seconds that each instance of the fleet adds to the window from which the delay after a first failure is
# drawn.
WINDOW_PER_INSTANCE = 0.2
# Shortest window in seconds from which the delay before a retry is drawn.
MIN_WINDOW = 1.0
# Longest window in seconds for the delay after a first failure. A service that is sized for its fleet answers
# all instances in half of this time.
MAX_FIRST_WINDOW = 12.0
# Factor by which each further failed call in a row widens the window for the delay before a retry.
WINDOW_GROWTH = 1.5
# Failed calls in a row widen the window for the delay to at most this many times the first window.
MAX_WINDOW_GROWTH = 3.0
# Longest window in seconds for the delay before any retry. A longer window would leave instances without an
# endpoint list for a long time after an outage of discovery.
MAX_WINDOW = 18.0
# Number of failed calls in a row after which further failures do not widen the window for the delay.
MAX_COUNTED_FAILURES = 10
# Longest first window in seconds for the delay after a rejected call. It is half as long as the lease on an
# endpoint list.
REJECTED_WINDOW = 3.0
# A call that fails within this many seconds was rejected at once. A call that fails later has waited in the
# queue of the service.
REJECTED_WITHIN = 0.25
MIN_DELAY = 0.2  # shortest delay in seconds before a failed call is retried
# Seconds per instance of the fleet over which the first calls after a start are spread, because the whole
# fleet may be started at once.
START_SPREAD_PER_INSTANCE = 0.01


class CallFailure(Enum):
    """How a call to a service failed, which determines the cost of the failed call to the service."""

    # The service did not accept the connection, so the call cost the service nothing.
    UNREACHED = auto()
    # The service refused or reset the call at once. The call took no place in the service's queue and cost
    # the service hardly anything.
    REJECTED = auto()
    # The call took a place in the service's queue, and the service may still work on the call.
    WAITED = auto()

    @classmethod
    def classify(cls, connected: bool, duration: float) -> CallFailure:
        """Return the kind of failure of a call.

        Args:
            connected: Whether the service accepted the connection.
            duration: Seconds from the start of the call to its failure.
        """
        if not connected:
            return cls.UNREACHED
        return cls.REJECTED if duration < REJECTED_WITHIN else cls.WAITED


class CallPacing:
    """Draws the delays after failed calls of a router instance to the service `name`.

    The delays are pseudorandom: they are derived from the service's name, a seed and a counter of the draws.
    """

    def __init__(self, name: str, seed: int, fleet_size: int) -> None:
        self.name = name
        self.seed = seed
        self.fleet_size = fleet_size
        self.first_window = min(MAX_FIRST_WINDOW, max(MIN_WINDOW, WINDOW_PER_INSTANCE * fleet_size))
        self.failures = 0  # number of failed calls in a row
        self.draws = 0

    def succeeded(self) -> None:
        """Record a successful call, so that the next failed call counts as the first failure in a row."""
        self.failures = 0

    def next_delay(self, failure: CallFailure) -> float:
        """Record a failed call, and return the seconds to wait before the next call."""
        growth = min(MAX_WINDOW_GROWTH, WINDOW_GROWTH ** min(self.failures, MAX_COUNTED_FAILURES))
        window = min(MAX_WINDOW, self._first_window(failure) * growth)
        if failure is CallFailure.UNREACHED:
            # The call took no place in the service's queue, so neither the fleet size nor the number of
            # earlier failures matters for the delay.
            window = MIN_WINDOW
        self.failures += 1
        return MIN_DELAY + window * self._draw_uniform()

    def _first_window(self, failure: CallFailure) -> float:
        if failure is CallFailure.REJECTED:
            return min(REJECTED_WINDOW, self.first_window)
        return self.first_window

    def start_delay(self) -> float:
        """Return the seconds to wait before the first call after a start.

        The first calls of the instances are spread over time, because most of the fleet may have been started
        at the same time.
        """
        return self.fleet_size * START_SPREAD_PER_INSTANCE * self._draw_uniform()

    def _draw_uniform(self) -> float:
        self.draws += 1
        digest = blake2b(b"%s %d.%d" % (self.name.encode(), self.seed, self.draws), digest_size=8).digest()
        return int.from_bytes(digest, "big") / 2**64
