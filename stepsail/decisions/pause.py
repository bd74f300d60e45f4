"""The pause experiment: does a slowdown of all builds end once the build on canary gets no more requests?

A build that slows down all servers leaves no gap between the builds. Crashes, bursts and shifts of load look
the same. To tell them apart, the build is paused: if the slowdown ends with the pause, the build has caused
it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.evidence import log_evidence
from stepsail.decisions.histogram import FAILURE_EDGE, HistogramsByClass, merge
from stepsail.decisions.interface import Verdict

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

DRAIN_TIME = 1.5  # s from the start of a pause in which most attempts that end were sent before it
MAX_PAUSE_TIME = 4.5  # s; also the time after a pause that helped in which the build is not promoted
DECISIVE_EXPOSURE = 0.25  # exposure limit from which one pause that helped is proof; below it, two are needed
LATENCY_EDGES = range(FAILURE_EDGE)  # all edges but the one that only failures pass


class PauseExperiment:
    """The pauses of a build in one stage; pauses that helped are counted over all stages of the build."""

    def __init__(self, router: Router, times_helped: int = 0) -> None:
        self.router = router
        self.started_at = 0.0  # 0 while no pause is in progress
        self.drained = False  # whether the attempts that were sent before the pause have ended
        self.latencies_before: HistogramsByClass = {}
        self.failed = False  # whether the last pause did not end the slowdown
        self.times_helped = times_helped
        self.promote_not_before = 0.0

    def start(self, slow_latencies: HistogramsByClass) -> None:
        """Begin a pause; it helps if attempts become faster than `slow_latencies`."""
        self.started_at = self.router.host.clock
        self.drained = False
        self.latencies_before = merge([slow_latencies])
        self.router.observations.recent = {}

    def evaluate(self, slowdown_evidence: float, threshold: float, stage_timeout_at: float) -> Verdict:
        """Continue the pause, or end it and return the verdict that follows from it.

        Args:
            slowdown_evidence: Log evidence of a slowdown of all builds.
            threshold: Log evidence that counts as proof.
            stage_timeout_at: Time from which the build may be promoted after a pause that did not help.
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
        # servers down only a little. So at a low exposure limit, two pauses have to help.
        required_pauses = 2 if self.router.release.limit < DECISIVE_EXPOSURE else 1
        return Verdict.ROLL_BACK if self.times_helped >= required_pauses else Verdict.NONE

    def _end_failed_pause(self, stage_timeout_at: float) -> None:
        """Take the present latencies for normal, and delay promotion, as they may hide the build's fault."""
        observations = self.router.observations
        self.failed = True
        self.promote_not_before = stage_timeout_at
        observations.normal = merge([observations.recent])
        observations.recent = {}
