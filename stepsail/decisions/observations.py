"""Outcomes for the tests on the latency of all builds: the recent ones, and those from before the canary.

The weight of old outcomes fades, so that the sample of an instance with little traffic does not reach far
back, and a long record of good outcomes does not hide a new fault. A test on faded outcomes no longer keeps
exactly to its error probability: its result counts as a strong sign, not as proof.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from stepsail.decisions.histogram import HistogramsByClass, LatencyHistogram

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

MAX_FADING_INTERVAL = 3.0  # s
FADING_INTERVAL_TIMEOUTS = 0.6  # the interval in multiples of the longest client timeout, if shorter
RECENT_FADING_FACTOR = 0.5  # by which the weight of the recent outcomes is multiplied in each interval
SERVER_FADING_FACTOR = 0.8  # the same for each server's outcomes
NEWEST_WINDOW = 0.3  # fading intervals after which the newest outcomes are collected anew


class Observations:
    """The outcomes of all builds together, by class, and release control's counts, by build and class."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.normal: HistogramsByClass = {}  # outcomes from before the newest build was offered
        self.recent: HistogramsByClass = {}
        self.newest: HistogramsByClass = {}
        self.newest_until = 0.0
        self.next_fading_at = 0.0
        self.evidence_from = -inf  # attempts sent earlier are no evidence
        # Release control's counts of failed and other attempts; they hold no latencies.
        self.counts_by_build: dict[int, HistogramsByClass] = {}
        self.changed = False  # whether there are outcomes that the canary was not evaluated on yet

    def discard_recent(self) -> None:
        """Discard the recent outcomes, and ignore those of attempts in flight."""
        self.recent = {}
        self.newest = {}
        self.evidence_from = self.router.host.clock

    def new_build_offered(self) -> None:
        """Make the recent outcomes the normal ones, which those under the new build are compared with."""
        self.normal = self.recent
        self.recent = {}

    def add_release_counts(self, build: int, class_index: int, count: int, failed: int) -> None:
        """Add release control's counts of a build's attempts."""
        by_class = self.counts_by_build.setdefault(build, {})
        histogram = by_class.setdefault(class_index, LatencyHistogram())
        histogram.add(0, count - failed)
        histogram.add(len(histogram.bins) - 1, failed)
        self.changed = True

    def fade(self) -> None:
        """Reduce the weight of old outcomes if a fading interval has passed."""
        now = self.router.host.clock
        timeouts = (c.client_timeout for c in self.router.settings.request_classes)
        interval = min(MAX_FADING_INTERVAL, FADING_INTERVAL_TIMEOUTS * max(timeouts, default=1.0))
        if now >= self.newest_until:
            self.newest = {}
            self.newest_until = now + NEWEST_WINDOW * interval
        if now >= self.next_fading_at:
            self.next_fading_at = now + interval
            for histogram in self.recent.values():
                histogram.scale(RECENT_FADING_FACTOR)
            for server in self.router.pool.servers:
                for histogram in server.outcomes.values():
                    histogram.scale(SERVER_FADING_FACTOR)
