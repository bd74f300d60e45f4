"""Tests of the sequential tests on latency distributions."""

from __future__ import annotations

from bisect import bisect_left
from math import isclose, log, sqrt
from random import Random

from stepsail.decisions.evidence import confidence_radius, largest_gap, log_evidence
from stepsail.decisions.histogram import EDGES, FAILURE_EDGE, LatencyHistogram


def test_confidence_radius_matches_the_bound_computed_by_hand() -> None:
    expected = 0.85 * sqrt((log(1 + log(20)) + 0.8 * log(1612 / 0.005)) / 20)
    assert isclose(confidence_radius(20, 0.005), expected) and isclose(expected, 0.645, abs_tol=0.002)


def test_gap_is_the_largest_excess_of_the_earlier_distribution() -> None:
    baseline, canary = LatencyHistogram(), LatencyHistogram()
    for share in (0.05, 0.05, 0.2, 0.4):
        baseline.add(bisect_left(EDGES, share))
    for share in (0.05, 0.3, 0.4, 1.0):
        canary.add(bisect_left(EDGES, share))
    # At 0.25, 3/4 of the earlier build's outcomes are below, and 1/4 of the new build's.
    assert largest_gap({0: baseline, 1: canary}, {0: canary}) == (0.5, 4, 4)


def test_identical_builds_are_rejected_no_more_often_than_alpha() -> None:
    rejections = 0
    for seed in range(300):
        random = Random(seed)
        baseline, canary = {0: LatencyHistogram()}, {0: LatencyHistogram()}
        for _ in range(400):
            baseline[0].add(bisect_left(EDGES, random.expovariate(20)))
        for n in range(1, 150):
            canary[0].add(bisect_left(EDGES, random.expovariate(20)))
            excess, _, m = largest_gap(baseline, canary)
            radius = confidence_radius(n, 0.005) + confidence_radius(m, 0.005)
            if excess > radius or log_evidence(baseline, canary, (FAILURE_EDGE,)) > log(2 / 0.01):
                rejections += 1
                break
    assert rejections <= 0.01 * 300
