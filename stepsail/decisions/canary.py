"""Evaluates the newest build in one release stage: promote it, roll it back, pause it, or go on observing it.

The newest build is rolled back in any of three cases: the gap between its latency distribution and that of
earlier builds, minus the confidence radius of the gap, is larger than `REJECTED_GAP`; it fails significantly
more often than earlier builds; or a slowdown of all builds ends when the newest build is paused. The newest
build is promoted once the servers of the stage have run for the settling time and there is no evidence
against the build.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf, log
from typing import TYPE_CHECKING

from stepsail.decisions.evidence import ALPHA, confidence_radius, largest_gap, log_evidence
from stepsail.decisions.histogram import FAILURE_EDGE, HistogramsByClass, merge
from stepsail.decisions.interface import ReleasePhase, Verdict
from stepsail.decisions.pause import LATENCY_EDGES, PauseExperiment
from stepsail.decisions.voting import Ballot

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

# A new build is rolled back if the gap between its latency distribution and that of earlier builds, minus the
# confidence radius of the gap, is larger than this.
REJECTED_GAP = 0.15
# A new build may be promoted if the gap between its latency distribution and that of earlier builds, plus the
# confidence radius of the gap, is smaller than this.
ACCEPTED_GAP = 0.1
# If there is no evidence against a new build, this number of outcomes of its attempts suffices to promote it.
MIN_OUTCOMES = 6
# A build is suspect and is not promoted if the log evidence that it fails more often than earlier builds
# reaches this value.
SUSPICION_THRESHOLD = 1.0
# Seconds from the start of the newest server in a release stage until the build may be promoted.
STAGE_SETTLING_TIME = 3.7
# Seconds from the start of a release stage after which the stage counts as complete even if some of its
# servers are missing.
STAGE_START_TIMEOUT = 11.7
# Keeps a share of the servers that is a whole number from being rounded up because of a floating-point error.
ROUNDING_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Evidence:
    """The evidence against a build: the gap between latency distributions, and log evidence of more failures.

    Attributes:
        gap: Largest excess of the distribution function of the earlier builds' latencies over that of the
            build's latencies.
        radius: Confidence radius of the gap.
        outcome_count: Number of outcomes of the build, in the request classes that the build and earlier
            builds have both served.
        baseline_outcome_count: Number of outcomes of earlier builds in the same request classes.
        failure_evidence: Log evidence that the build fails more often than earlier builds.
        failure_evidence_elsewhere: Log evidence that the build fails more often than earlier builds, without
            the outcomes of the server that fails most, because that server alone may be defective.
        counted_failure_evidence: Log evidence that the build fails more often than earlier builds, according
            to release control's counts of attempts and failures, which include losses on the network.
        threshold: Log evidence above which a difference between the builds counts as proven.
    """

    gap: float
    radius: float
    outcome_count: float
    baseline_outcome_count: float
    failure_evidence: float
    failure_evidence_elsewhere: float
    counted_failure_evidence: float
    threshold: float


class Canary:
    """One release stage of a build, with the outcomes of this build and of earlier builds."""

    def __init__(
        self, router: Router, build: int, stage: int, phase: ReleasePhase, started_at: float
    ) -> None:
        self.router = router
        self.build = build
        self.stage = stage
        self.phase = phase
        self.started_at = started_at
        self.outcomes: HistogramsByClass = {}  # outcomes of the build in this stage
        self.baseline: HistogramsByClass = {}  # outcomes of earlier builds in this stage
        # Outcomes of earlier builds over all release stages of the build.
        self.long_baseline: HistogramsByClass = {}
        self.finding = Verdict.NONE  # the verdict that this instance's own evidence supports
        self.ballot = Ballot(router)
        self.pause = PauseExperiment(router)
        previous = router.canary
        if previous is not None and previous.build == build:
            self.long_baseline = previous.long_baseline
            self.pause.times_helped = previous.pause.times_helped

    def discard_evidence(self) -> None:
        """Discard the outcomes of this stage because something other than the builds has caused them."""
        self.outcomes = {}
        self.baseline = {}

    def review(self) -> None:
        """Evaluate the build if there are new outcomes, and cast this instance's vote on the build if due."""
        router = self.router
        if self.ballot.verdict is not Verdict.ROLL_BACK and router.observations.changed:
            self.finding = self.evaluate(self.settled())
            router.observations.changed = False
            if router.voting.may_promote or self.finding is not Verdict.PROMOTE:
                self.ballot.adopt(self.finding, from_peer=False)
        self.ballot.cast_if_due(self.build, self.stage)

    def evaluate(self, is_settled: bool) -> Verdict:
        """Return the verdict on the build that this instance's evidence supports.

        Args:
            is_settled: Whether the servers of the stage have run for the settling time, so that the build may
                be promoted.
        """
        evidence = self.evidence()
        if self._must_roll_back(evidence):
            self.router.host.log_decision(
                f"back: gap {evidence.gap:.2f} ± {evidence.radius:.2f}, "
                f"faults {evidence.failure_evidence:.1f}, counts {evidence.counted_failure_evidence:.1f}"
            )
            return Verdict.ROLL_BACK
        slowdown_evidence, slow_latencies = self._overall_slowdown()
        if self.pause.started_at:
            return self.pause.evaluate(
                slowdown_evidence, evidence.threshold, self.started_at + STAGE_START_TIMEOUT
            )
        can_pause = self._can_pause()
        if slowdown_evidence > evidence.threshold and can_pause and self.settled(self._warm_up_time()):
            self.pause.start(slow_latencies)
            return Verdict.NONE
        is_slow = can_pause and slowdown_evidence >= evidence.threshold / 2
        if is_settled and not is_slow and self._may_promote(evidence):
            return Verdict.PROMOTE
        return Verdict.NONE

    def evidence(self) -> Evidence:
        """Compute the evidence against the build from the outcomes so far."""
        router = self.router
        alpha = router.voting.alpha
        uses_long_baseline = self.phase is ReleasePhase.RELEASED or router.settings.replaces_servers
        gap = largest_gap(self.long_baseline if uses_long_baseline else self.baseline, self.outcomes)
        by_server = [s.outcomes for s in router.pool.servers if s.build == self.build and s.outcomes]
        by_server.sort(key=lambda outcomes: sum(h.bins[-1] for h in outcomes.values()))
        failure_evidence = log_evidence(self.long_baseline, merge(by_server), (FAILURE_EDGE,))
        failure_evidence_elsewhere = failure_evidence
        if len(by_server) > 1:
            failure_evidence_elsewhere = log_evidence(
                self.long_baseline, merge(by_server[:-1]), (FAILURE_EDGE,)
            )
        counts = router.observations.counts_by_build
        baseline_counts = merge([c for build, c in counts.items() if build < self.build])
        return Evidence(
            gap=gap.excess,
            radius=confidence_radius(gap.n, alpha / 2) + confidence_radius(gap.m, alpha / 2),
            outcome_count=gap.n,
            baseline_outcome_count=gap.m,
            failure_evidence=failure_evidence,
            failure_evidence_elsewhere=failure_evidence_elsewhere,
            counted_failure_evidence=log_evidence(
                baseline_counts, counts.get(self.build, {}), (FAILURE_EDGE,)
            ),
            threshold=log(2 / alpha),
        )

    def _must_roll_back(self, evidence: Evidence) -> bool:
        # A stalled request class occupies the servers and delays other classes as well. Even if only the new
        # build shows this delay, the delay is not caused by a defect of the build.
        if evidence.gap - evidence.radius > REJECTED_GAP and not self.router.stalls.any_stalled():
            return True
        if evidence.failure_evidence > evidence.threshold and evidence.failure_evidence_elsewhere > 0:
            return True
        return (
            evidence.counted_failure_evidence > log(2 / ALPHA)
            and evidence.failure_evidence > SUSPICION_THRESHOLD
        )

    def _may_promote(self, evidence: Evidence) -> bool:
        has_few_failures = (
            evidence.failure_evidence_elsewhere < SUSPICION_THRESHOLD
            and evidence.failure_evidence < evidence.threshold / 2
            and evidence.counted_failure_evidence < SUSPICION_THRESHOLD
        )
        counts = self.router.observations.counts_by_build.get(self.build, {})
        largest_sample = max(evidence.outcome_count, sum(h.count for h in counts.values()))
        has_enough_evidence = evidence.gap + evidence.radius < ACCEPTED_GAP or largest_sample >= MIN_OUTCOMES
        return (
            has_few_failures
            and has_enough_evidence
            and self.router.host.clock >= self.pause.promote_not_before
        )

    def _overall_slowdown(self) -> tuple[float, HistogramsByClass]:
        """Return the log evidence that all builds have slowed down, and the outcomes with most evidence."""
        observations = self.router.observations
        samples = [
            (log_evidence(observations.normal, sample, LATENCY_EDGES), sample)
            for sample in (observations.recent, observations.newest)
        ]
        return max(samples, key=lambda pair: pair[0])

    def _can_pause(self) -> bool:
        """Whether a pause of the build may begin.

        The build must be on canary, and the last pause in this stage must not have failed to end a slowdown.
        This instance must be a judge, whose verdict all other instances follow, or the instances must not
        exchange verdicts by gossip. The servers of earlier builds must be able to take over the build's load.
        """
        router = self.router
        is_authoritative = router.gossip.is_judge or not router.settings.gossip_enabled
        return (
            self.phase is ReleasePhase.CANARY
            and is_authoritative
            and not self.pause.failed
            and router.pool.earlier_build_suffices()
        )

    def _warm_up_time(self) -> float:
        """Return the seconds from a server's start after which its slow start cannot explain a slowdown."""
        return min(STAGE_SETTLING_TIME, self.router.settings.slow_start_duration)

    def settled(self, settling_time: float = STAGE_SETTLING_TIME) -> bool:
        """Whether all servers of the stage are ready and were started at least `settling_time` seconds ago.

        Servers that are still missing `STAGE_START_TIMEOUT` seconds after the start of the stage are no
        longer waited for. The result is false if the build is not on canary.
        """
        ready = self.router.pool.ready
        settings = self.router.settings
        now = self.router.host.clock
        start_times = [s.started_at for s in ready if s.build == self.build]
        share = settings.stage_shares[: self.stage + 1][-1]
        base_count = len(ready) if settings.replaces_servers else len(ready) - len(start_times)
        is_complete = len(start_times) >= max(1, ceil(share * base_count - ROUNDING_TOLERANCE))
        has_timed_out = now - self.started_at >= STAGE_START_TIMEOUT
        newest_start = max(start_times, default=inf)
        return (
            self.phase is ReleasePhase.CANARY
            and (is_complete or has_timed_out)
            and now - newest_start >= settling_time
        )
