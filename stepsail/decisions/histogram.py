"""Distributions of attempt latencies, scaled by the client timeout.

A latency is counted as a share of the client timeout of its class, so that classes of different speed can be
pooled (section 3 of the paper that `evidence` names compares whole distributions). A failed attempt counts as
a full timeout.
"""

from __future__ import annotations

from collections.abc import Sequence

# Upper edges of the bins, as shares of the client timeout; each edge is about 1.4 times the previous one.
EDGES = (0.02, 0.03, 0.045, 0.065, 0.09, 0.13, 0.18, 0.25, 0.35, 0.5, 0.75, 0.999)
FAILURE_EDGE = len(EDGES) - 1  # index of the edge that only failed attempts pass
FAILURE_BIN = len(EDGES)
OVERDUE = 254  # in place of a bin index: an attempt is still in flight after its latency objective
DISPUTED = 255  # in place of a bin index: a client has reported an answer as wrong


class LatencyHistogram:
    """Numbers of attempts by bins of latency.

    `bins[i]` counts the attempts up to `EDGES[i]`; the last bin counts the failed attempts.
    """

    def __init__(self) -> None:
        self.bins = [0.0] * (len(EDGES) + 1)
        self.count = 0.0

    def add(self, bin_index: int, count: float = 1.0) -> None:
        """Count outcomes.

        A disputed answer has already been counted as served, so one outcome of the fullest bin becomes a
        failure.
        """
        if bin_index != DISPUTED:
            self.bins[bin_index] = self.bins[bin_index] + count
            self.count = self.count + count
        elif self.count >= self.bins[-1] + 1:
            self.bins[self.bins.index(max(self.bins[:-1]))] -= 1
            self.bins[-1] += 1

    def scale(self, factor: float) -> None:
        """Multiply all counts by a factor, so that earlier outcomes weigh less."""
        self.bins = [count * factor for count in self.bins]
        self.count = self.count * factor


HistogramsByClass = dict[int, LatencyHistogram]  # by index of the request class


def merge(parts: Sequence[HistogramsByClass]) -> HistogramsByClass:
    """Add up several sets of histograms, class by class."""
    total: HistogramsByClass = {}
    for part in parts:
        for class_index, histogram in part.items():
            merged = total.setdefault(class_index, LatencyHistogram())
            merged.count = merged.count + histogram.count
            merged.bins = [count + histogram.bins[index] for index, count in enumerate(merged.bins)]
    return total
