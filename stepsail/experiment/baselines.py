"""Routers that the present one is compared with, and never deployed: simple choices and simple votes.

Each keeps the rules and replaces one part: how a server is picked among those that may be sent to (random choice; the
power of two choices by attempts in flight, Mitzenmacher 2001; round robin), or how a build on canary is judged (by
the clock alone; by a z-test on the shares that failed, looked at again and again, which an always-valid test is to
better).
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

CLOCK_BAKE_TIME = 2.0  # s of a settled stage after which the clock promotes
Z_REJECTED = 1.96  # two-sided 5%
LEAST_OUTCOMES = 30  # of each side, for the normal approximation
LEAST_VARIANCE = 1e-9


class RandomPool(ServerPool):
    """Picks any server, alike."""

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """One drawn uniformly."""
        return servers[int(self.router.next_random() * len(servers))]


class TwoChoicesPool(ServerPool):
    """Picks the one with fewer attempts in flight of two drawn at random."""

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """The less busy of two drawn uniformly."""
        one = servers[int(self.router.next_random() * len(servers))]
        other = servers[int(self.router.next_random() * len(servers))]
        return other if len(other.attempts) < len(one.attempts) else one


class RoundRobinPool(ServerPool):
    """Picks one after the other."""

    turn = 0

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """The next in turn."""
        self.turn += 1
        return servers[self.turn % len(servers)]


class RandomChoice(Router):
    """Sends to any server, alike."""

    pool_type = RandomPool


class TwoChoices(Router):
    """Sends to the less busy of two."""

    pool_type = TwoChoicesPool


class RoundRobin(Router):
    """Sends to one server after the other."""

    pool_type = RoundRobinPool


class ClockCanary(Canary):
    """Promotes once a stage has stood for a while, whatever was seen."""

    def evaluate(self, is_settled: bool) -> Verdict:
        """By the clock alone."""
        is_due = self.router.host.clock - self.started_at >= CLOCK_BAKE_TIME
        if is_settled and is_due and self.phase is ReleasePhase.CANARY:
            return Verdict.PROMOTE
        return Verdict.NONE


class PlainTestCanary(Canary):
    """Rolls back where more of the new build's outcomes fail by a z-test of two shares, else promotes."""

    def evaluate(self, is_settled: bool) -> Verdict:
        """By the z-test."""
        failed = count_failures(self.outcomes)
        count = count_outcomes(self.outcomes)
        failed_before = count_failures(self.long_baseline)
        count_before = count_outcomes(self.long_baseline)
        if count < LEAST_OUTCOMES or count_before < LEAST_OUTCOMES:
            return Verdict.NONE
        pooled = (failed + failed_before) / (count + count_before)
        variance = pooled * (1 - pooled) * (1 / count + 1 / count_before)
        z = (failed / count - failed_before / count_before) / sqrt(max(LEAST_VARIANCE, variance))
        if z > Z_REJECTED:
            return Verdict.ROLL_BACK
        return Verdict.PROMOTE if is_settled and self.phase is ReleasePhase.CANARY else Verdict.NONE


def count_failures(outcomes: HistogramsByClass) -> float:
    """How many outcomes failed: they stand in the last bin of each histogram."""
    return sum(histogram.bins[-1] for histogram in outcomes.values())


def count_outcomes(outcomes: HistogramsByClass) -> float:
    """How many outcomes there are."""
    return sum(histogram.count for histogram in outcomes.values())


class ByClock(Router):
    """Judges builds by the clock."""

    canary_type = ClockCanary


class ByPlainTest(Router):
    """Judges builds by a plain test."""

    canary_type = PlainTestCanary


MODULES: dict[str, MakeRouter] = {
    "stepsail": Router,
    "random": RandomChoice,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
    "clock": ByClock,
    "plain-test": ByPlainTest,
}
