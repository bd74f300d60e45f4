"""How soon a failed call to a service that the whole fleet shares is made again.

Discovery answers calls in turn and works through those that their callers have given up, so that a fleet that
calls again faster than it is served keeps the queue longer than any caller waits, and no call succeeds any
more: a metastable failure (Bronson et al. 2021). The pauses are therefore drawn over a window that grows with
the size of the fleet up to a bound, and with each further failure (exponential back-off, full jitter).

How a call failed tells what it has cost. One that was turned away at once stood in no queue; however many
do so, the service goes on at its full rate. Such a call is made again soon enough to be served before the
lease on the list ends. One that waited has had a turn in the queue, and the next one is paced by the size of
the fleet.

Seconds. No I/O.
"""

from __future__ import annotations

from enum import Enum, auto
from hashlib import blake2b

WINDOW_PER_INSTANCE = 0.2  # s of the first window for each instance of the fleet
LEAST_WINDOW = 1.0  # s
LARGEST_FIRST_WINDOW = 12.0  # s; a service sized for its fleet answers all of it in half of that
GROWTH = 1.5  # factor of the window with each further failure
LARGEST_GROWTH = 3.0  # factor of the first window
LARGEST_WINDOW = 18.0  # s; a longer one would leave instances without a list for long after an outage
MOST_FAILURES_COUNTED = 10
TURNED_AWAY_WINDOW = 3.0  # s of the first window after a refusal at once: half of the lease on a list
TURNED_AWAY_WITHIN = 0.25  # s; a call that fails later has waited for its turn
LEAST_PAUSE = 0.2  # s
START_SPREAD_PER_INSTANCE = 0.01  # s over which the first calls of a fleet that starts at once are spread


class CallFailure(Enum):
    """What a failed call has cost the service."""

    UNREACHED = auto()  # nothing: the service did not accept the connection
    TURNED_AWAY = auto()  # next to nothing: refused or reset at once, without a turn in the queue
    WAITED = auto()  # a turn in the queue, which may still be worked through

    @classmethod
    def of_call(cls, reached: bool, duration: float) -> CallFailure:
        """Tell a failure's kind by whether the connection was accepted, and how long the call took."""
        if not reached:
            return cls.UNREACHED
        return cls.TURNED_AWAY if duration < TURNED_AWAY_WITHIN else cls.WAITED


class CallPacing:
    """Pauses between failed calls of one instance to the service `name`, drawn by seed and counter."""

    def __init__(self, name: str, seed: int, fleet_size: int) -> None:
        self.name = name
        self.seed = seed
        self.fleet_size = fleet_size
        self.first_window = min(LARGEST_FIRST_WINDOW, max(LEAST_WINDOW, WINDOW_PER_INSTANCE * fleet_size))
        self.failures = 0  # in a row
        self.draws = 0

    def succeeded(self) -> None:
        """A call succeeded: the next failure is a first one."""
        self.failures = 0

    def next_pause(self, failure: CallFailure) -> float:
        """A call failed; how long to wait before the next one."""
        growth = min(LARGEST_GROWTH, GROWTH ** min(self.failures, MOST_FAILURES_COUNTED))
        window = min(LARGEST_WINDOW, self._first_window(failure) * growth)
        if failure is CallFailure.UNREACHED:
            window = LEAST_WINDOW  # waits for no turn in the fleet, however often
        self.failures += 1
        return LEAST_PAUSE + window * self._chance()

    def _first_window(self, failure: CallFailure) -> float:
        if failure is CallFailure.TURNED_AWAY:
            return min(TURNED_AWAY_WINDOW, self.first_window)
        return self.first_window

    def start_delay(self) -> float:
        """How long to wait before the first call after a start.

        Most of a fleet may have been started at once.
        """
        return self.fleet_size * START_SPREAD_PER_INSTANCE * self._chance()

    def _chance(self) -> float:
        self.draws += 1
        drawn = blake2b(b"%s %d.%d" % (self.name.encode(), self.seed, self.draws), digest_size=8).digest()
        return int.from_bytes(drawn, "big") / 2**64
