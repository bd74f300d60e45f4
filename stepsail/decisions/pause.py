"""The pause experiment: does a slowdown of all builds end once the build on canary gets no more requests?

If a new build slows down the servers of all builds, their latency distributions do not differ from each
other. Server crashes, bursts of requests and shifts of load look the same. To tell these causes apart, the
new build is paused, which means that it gets no requests. If the slowdown ends during the pause, the build
has caused the slowdown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.evidence import log_evidence
from stepsail.decisions.histogram import FAILURE_EDGE, HistogramsByClass, merge
from stepsail.decisions.interface import Verdict

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

# Seconds after the start of a pause during which most of the attempts that end were sent before the pause.
DRAIN_TIME = 1.5
# Longest pause in seconds. After a pause that ended a slowdown, the build is not promoted for the same time.
MAX_PAUSE_TIME = 4.5
# If the build's exposure limit is at least this share of the requests, one pause that ended a slowdown is
# proof against the build. At a lower exposure limit, two such pauses are needed.
DECISIVE_EXPOSURE = 0.25
# Indices of all bin edges of the latency histogram, except the edge that only failed attempts exceed.
LATENCY_EDGES = range(FAILURE_EDGE)


class PauseExperiment:
    """The pauses of a build in one release stage.

    The pauses that ended a slowdown are counted over all stages of the build.
    """

    def __init__(self, router: Router, times_helped: int = 0) -> None:
        self.router = router
        self.started_at = 0.0  # start time of the current pause; 0 while no pause is in progress
        # Whether `DRAIN_TIME` has passed, so that most attempts sent before the pause have ended.
        self.drained = False
        self.latencies_before: HistogramsByClass = {}
        self.failed = False  # whether the last pause did not end the slowdown
        self.times_helped = times_helped
        self.promote_not_before = 0.0

    def start(self, slow_latencies: HistogramsByClass) -> None:
        """Begin a pause, which ends the slowdown if later attempts are faster than `slow_latencies`."""
        self.started_at = self.router.host.clock
        self.drained = False
        self.latencies_before = merge([slow_latencies])
        self.router.observations.recent = {}

    def evaluate(self, slowdown_evidence: float, threshold: float, stage_timeout_at: float) -> Verdict:
        """Continue the pause, or end the pause and return the verdict on the build that follows from it.

        Args:
            slowdown_evidence: Log evidence of a slowdown of all builds.
            threshold: Log evidence above which a change of the latencies counts as proven.
            stage_timeout_at: Time from which the build may be promoted after a pause that did not end the
                slowdown.
        """
        observations = self.router.observations
        now = self.router.host.clock
        if not self.drained and now > self.started_at + DRAIN_TIME:
            self.drained = True
            self.latencies_before = merge([self.latencies_before, observations.recent])
            observations.discard_recent()
        is_faster = (
            self.drained
            and log_evidence(observations.recent, self.latencies_before, LATENCY_EDGES) > threshold
        )
        if now < self.started_at + MAX_PAUSE_TIME and not is_faster:
            return Verdict.PAUSE
        self.started_at = 0.0
        if not is_faster and slowdown_evidence >= 0:
            self._end_failed_pause(stage_timeout_at)
            return Verdict.NONE
        self.failed = False
        self.times_helped += 1
        self.promote_not_before = now + MAX_PAUSE_TIME
        observations.recent = {}
        # One pause may coincide with the end of an unrelated fault, and a build with little traffic slows the
        # servers down only a little. Therefore, at a low exposure limit, the build is rolled back only after
        # two pauses that ended a slowdown.
        required_pauses = 2 if self.router.release.limit < DECISIVE_EXPOSURE else 1
        return Verdict.ROLL_BACK if self.times_helped >= required_pauses else Verdict.NONE

    def _end_failed_pause(self, stage_timeout_at: float) -> None:
        """Use the present latencies as the new baseline, and delay the promotion of the build.

        Promotion is delayed because the new baseline may hide a defect of the build.
        """
        observations = self.router.observations
        self.failed = True
        self.promote_not_before = stage_timeout_at
        observations.normal = merge([observations.recent])
        observations.recent = {}
