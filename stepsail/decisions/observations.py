"""Outcomes of attempts at all builds, used to test whether all builds have slowed down.

Recent outcomes are compared with outcomes from before the newest build was offered. The weight of old
outcomes is reduced over time, so that the sample of an instance with little traffic does not contain very old
outcomes, and a long record of good outcomes does not hide a new fault. If a test uses outcomes of reduced
weight, its error probability is no longer exact. The result of such a test counts as a strong sign, not as
proof.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from stepsail.decisions.histogram import HistogramsByClass, LatencyHistogram

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

# Longest fading interval in seconds. After each fading interval, the weight of old outcomes is reduced.
MAX_FADING_INTERVAL = 3.0
# The fading interval in multiples of the longest client timeout, if this is shorter than
# `MAX_FADING_INTERVAL`.
FADING_INTERVAL_TIMEOUTS = 0.6
# Factor by which the weight of the recent outcomes of all builds is multiplied after each fading interval.
RECENT_FADING_FACTOR = 0.5
# Factor by which the weight of each server's own outcomes is multiplied after each fading interval.
SERVER_FADING_FACTOR = 0.8
# Time, in fading intervals, after which the newest outcomes are discarded and collected anew.
NEWEST_WINDOW = 0.3


class Observations:
    """The outcomes of attempts at all builds, and the numbers of attempts that release control has counted.

    The outcomes are kept for each request class, and release control's counts for each build and class.
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        # The baseline for a slowdown of all builds: outcomes from before the newest build was offered, or,
        # after a pause of the build that did not end a slowdown, the outcomes from this pause.
        self.normal: HistogramsByClass = {}
        self.recent: HistogramsByClass = {}
        self.newest: HistogramsByClass = {}
        self.newest_until = 0.0
        self.next_fading_at = 0.0
        # Attempts that were sent before this time are not used as evidence.
        self.evidence_from = -inf
        # Release control's counts of failed attempts and of all other attempts. The histograms contain no
        # latencies.
        self.counts_by_build: dict[int, HistogramsByClass] = {}
        # Whether there are outcomes that have not yet been used to evaluate the build on canary.
        self.changed = False

    def discard_recent(self) -> None:
        """Discard the recent outcomes, and ignore the outcomes of attempts that are still in flight."""
        self.recent = {}
        self.newest = {}
        self.evidence_from = self.router.host.clock

    def new_build_offered(self) -> None:
        """Use the recent outcomes as the baseline for the outcomes after the new build was offered."""
        self.normal = self.recent
        self.recent = {}

    def add_release_counts(self, build: int, class_index: int, count: int, failed: int) -> None:
        """Add release control's counts of all attempts and of failed attempts at a build."""
        by_class = self.counts_by_build.setdefault(build, {})
        histogram = by_class.setdefault(class_index, LatencyHistogram())
        histogram.add(0, count - failed)
        histogram.add(len(histogram.bins) - 1, failed)
        self.changed = True

    def fade(self) -> None:
        """Reduce the weight of old outcomes if a fading interval has passed since the last reduction.

        The newest outcomes are discarded more often, after each `NEWEST_WINDOW` of a fading interval.
        """
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
