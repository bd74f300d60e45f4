"""Sequential tests on latency distributions: is the new build worse than the earlier builds?

The notation is that of the paper "Rapid Regression Detection in Software Deployments through Sequential
Testing". Both tests, the confidence sequence and the mixture of likelihood ratios, may be evaluated after
every outcome without raising the probability that a good build is rejected.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate
from math import exp, log, sqrt
from typing import NamedTuple

from stepsail.decisions.histogram import EDGES, FAILURE_EDGE, HistogramsByClass

ALPHA = 0.01  # probability of rejecting a good build
# A build does not count as worse than earlier builds if its attempts take at most this many times as long.
TOLERATED_SLOWDOWN = 1.35
TOLERATED_FAILURE_SHARE = 0.004  # share of attempts that may fail on any build
# Alternative hypotheses in the mixture of likelihood ratios. Each is a share of attempts by which the new
# build is worse than earlier builds, from rare failures to the failure of a whole request class.
EXCESS_SHARES = (0.04, 0.12, 0.35, 0.75)
# Upper bound on the share of the earlier builds' attempts that exceed a bin edge of the latency histogram. At
# a share of 1, the likelihood ratio is not defined.
MAX_BASELINE_SHARE = 0.99


def confidence_radius(n: float, alpha: float) -> float:
    """Return the half-width of the confidence sequence on a distribution function after `n` outcomes.

    This is the bound of Howard and Ramdas on the error of an empirical distribution function, which holds
    uniformly over time and over all quantiles: equation 19 in section 4 of the paper "Rapid Regression
    Detection in Software Deployments through Sequential Testing".
    """
    if n < 1:
        return 1.0
    return 0.85 * sqrt((log(1 + log(n)) + 0.8 * log(1612 / alpha)) / n)


class Gap(NamedTuple):
    """The largest excess of the baseline's distribution function over the canary's, and the sample sizes.

    The distribution functions are those of the attempt latencies.
    """

    excess: float
    n: float  # number of outcomes of the canary
    m: float  # number of outcomes of the baseline (earlier builds)


def largest_gap(baseline: HistogramsByClass, canary: HistogramsByClass) -> Gap:
    """Compare the latencies of the baseline and the canary in the request classes that both have served.

    Request classes are weighted by their shares of the canary's outcomes, so that a different mix of classes
    alone causes no gap between the latency distributions.
    """
    shared_classes = _shared_classes(baseline, canary)
    n = sum(canary[c].count for c in shared_classes)
    m = sum(baseline[c].count for c in shared_classes)
    steps = (
        sum(
            baseline[c].bins[edge] / baseline[c].count * canary[c].count - canary[c].bins[edge]
            for c in shared_classes
        )
        / n
        for edge in range(len(EDGES) if n and m else 0)
    )
    return Gap(max([0.0, *accumulate(steps)]), n, m)


def log_evidence(baseline: HistogramsByClass, canary: HistogramsByClass, edges: Sequence[int]) -> float:
    """Return the logarithm of a mixture of likelihood ratios, as evidence that the canary is worse.

    The null hypothesis is that the share of attempts that exceed a bin edge of the latency histogram is no
    larger for the canary than for the baseline. The test detects rare failures and the failure of a single
    request class, for which the confidence sequence is still too wide after one release stage. The mixture
    contains one likelihood ratio for each bin edge in `edges` (indices of bin edges) and each share in
    `EXCESS_SHARES`. If the null hypothesis is true, then by Ville's inequality the probability that the
    mixture ever exceeds 1/alpha is at most alpha.
    """
    shared_classes = _shared_classes(baseline, canary)
    if not shared_classes:
        return 0.0
    n = sum(canary[c].count for c in shared_classes)
    m = sum(baseline[c].count for c in shared_classes)
    log_ratios: list[float] = []
    for edge in edges:
        k = sum(sum(canary[c].bins[edge + 1 :]) for c in shared_classes)
        share = (
            sum(
                sum(baseline[c].bins[edge + 1 :]) / baseline[c].count * canary[c].count
                for c in shared_classes
            )
            / n
        )
        upper_share = share + sqrt(max(0.0, share * (1 - share)) / m)
        share = min(MAX_BASELINE_SHARE, max(TOLERATED_FAILURE_SHARE, upper_share) + 0.5 / m)
        if edge != FAILURE_EDGE:
            share = share ** (1 / TOLERATED_SLOWDOWN)
        log_ratios += [
            k * log(1 + excess * (1 - share) / share) + (n - k) * log(1 - excess) for excess in EXCESS_SHARES
        ]
    largest = max(log_ratios)
    return largest + log(sum(exp(ratio - largest) for ratio in log_ratios) / len(log_ratios))


def _shared_classes(baseline: HistogramsByClass, canary: HistogramsByClass) -> list[int]:
    """Return the indices of the request classes in which both the baseline and the canary have outcomes."""
    return [c for c in sorted(canary) if c in baseline and canary[c].count and baseline[c].count]
