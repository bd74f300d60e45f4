"""Baseline routers that the current router is compared with in experiments; they are never deployed.

Each one obeys the same rules as the current router and replaces one part of it. Three of them replace the
choice among the eligible servers: random choice, the power of two choices by attempts in flight (Mitzenmacher
2001), and round robin. Two replace the evaluation of a canary: promotion after a fixed time, and a z-test on
the failure rates. The z-test is repeated as outcomes arrive; the current router's always-valid test should do
better than that.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt

from stepsail.decisions.canary import Canary
from stepsail.decisions.histogram import HistogramsByClass
from stepsail.decisions.interface import MakeRouter, ReleasePhase, Verdict
from stepsail.decisions.router import Router
from stepsail.decisions.selection import ServerPool
from stepsail.decisions.server import Server

TIMED_BAKE_TIME = 2.0  # s in a settled stage before the timed canary is promoted
CRITICAL_Z = 1.96  # two-sided 5%
MIN_OUTCOMES = 30  # of each build, needed for the normal approximation
MIN_VARIANCE = 1e-9


class RandomServerPool(ServerPool):
    """Picks a server uniformly at random."""

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """Return a server drawn uniformly."""
        return servers[int(self.router.next_random() * len(servers))]


class TwoChoicesServerPool(ServerPool):
    """Draws two servers at random and picks the one with fewer attempts in flight."""

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """Return the less loaded of two servers drawn uniformly."""
        first = servers[int(self.router.next_random() * len(servers))]
        second = servers[int(self.router.next_random() * len(servers))]
        return second if len(second.attempts) < len(first.attempts) else first


class RoundRobinServerPool(ServerPool):
    """Picks the servers in rotation."""

    last_index = 0

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """Return the next server in the rotation."""
        self.last_index += 1
        return servers[self.last_index % len(servers)]


class RandomRouter(Router):
    """Routes to a server chosen uniformly at random."""

    pool_type = RandomServerPool


class TwoChoicesRouter(Router):
    """Routes to the less loaded of two random servers."""

    pool_type = TwoChoicesServerPool


class RoundRobinRouter(Router):
    """Routes to the servers in rotation."""

    pool_type = RoundRobinServerPool


class TimedCanary(Canary):
    """Promotes after a fixed time in a settled stage, whatever the outcomes are."""

    def evaluate(self, is_settled: bool) -> Verdict:
        """Vote to promote once the bake time of a settled stage has passed."""
        is_due = self.router.host.clock - self.started_at >= TIMED_BAKE_TIME
        if is_settled and is_due and self.phase is ReleasePhase.CANARY:
            return Verdict.PROMOTE
        return Verdict.NONE


class ZTestCanary(Canary):
    """Rolls back if a two-proportion z-test finds a higher failure rate in the new build, else promotes."""

    def evaluate(self, is_settled: bool) -> Verdict:
        """Vote by the z-test, or not at all while either build has too few outcomes."""
        failed = count_failures(self.outcomes)
        count = count_outcomes(self.outcomes)
        baseline_failed = count_failures(self.long_baseline)
        baseline_count = count_outcomes(self.long_baseline)
        if count < MIN_OUTCOMES or baseline_count < MIN_OUTCOMES:
            return Verdict.NONE
        pooled_rate = (failed + baseline_failed) / (count + baseline_count)
        variance = pooled_rate * (1 - pooled_rate) * (1 / count + 1 / baseline_count)
        z = (failed / count - baseline_failed / baseline_count) / sqrt(max(MIN_VARIANCE, variance))
        if z > CRITICAL_Z:
            return Verdict.ROLL_BACK
        return Verdict.PROMOTE if is_settled and self.phase is ReleasePhase.CANARY else Verdict.NONE


def count_failures(outcomes: HistogramsByClass) -> float:
    """Return the number of failed outcomes, which each histogram counts in its last bin."""
    return sum(histogram.bins[-1] for histogram in outcomes.values())


def count_outcomes(outcomes: HistogramsByClass) -> float:
    """Return the number of outcomes in all histograms."""
    return sum(histogram.count for histogram in outcomes.values())


class TimedCanaryRouter(Router):
    """Evaluates a canary by elapsed time alone."""

    canary_type = TimedCanary


class ZTestRouter(Router):
    """Evaluates a canary by a repeated two-proportion z-test."""

    canary_type = ZTestCanary


MODULES: dict[str, MakeRouter] = {
    "stepsail": Router,
    "random": RandomRouter,
    "two-choices": TwoChoicesRouter,
    "round-robin": RoundRobinRouter,
    "clock": TimedCanaryRouter,
    "plain-test": ZTestRouter,
}
