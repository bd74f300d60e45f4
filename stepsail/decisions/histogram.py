"""Distributions of attempt latencies, scaled by the client timeout.

The latency of an attempt is counted as a share of the client timeout of its request class, so that classes of
different speed can be pooled. Whole distributions are compared, as in section 3 of the paper that the
docstring of the module `evidence` names. A failed attempt counts as if it had taken the full client timeout.
"""

from __future__ import annotations

from collections.abc import Sequence

# Upper edges of the bins of the latency histogram, as shares of the client timeout. Each edge is about 1.4
# times the previous edge.
EDGES = (0.02, 0.03, 0.045, 0.065, 0.09, 0.13, 0.18, 0.25, 0.35, 0.5, 0.75, 0.999)
FAILURE_EDGE = len(EDGES) - 1  # index of the bin edge that only failed attempts exceed
FAILURE_BIN = len(EDGES)
# Used in place of a bin index if an attempt is still in flight after its latency objective.
OVERDUE = 254
# Used in place of a bin index if a client has reported an answer as wrong.
DISPUTED = 255


class LatencyHistogram:
    """The number of attempts in each bin of latency.

    `bins[i]` counts the attempts whose latency, as a share of the client timeout, is above `EDGES[i - 1]` and
    at most `EDGES[i]`. The last bin counts the failed attempts.
    """

    def __init__(self) -> None:
        self.bins = [0.0] * (len(EDGES) + 1)
        self.count = 0.0

    def add(self, bin_index: int, count: float = 1.0) -> None:
        """Count outcomes of attempts in one bin, or count one disputed answer as a failure.

        A disputed answer has already been counted as served, but its bin is not known. One outcome is
        therefore moved from the fullest bin to the bin of failed attempts.
        """
        if bin_index != DISPUTED:
            self.bins[bin_index] = self.bins[bin_index] + count
            self.count = self.count + count
        elif self.count >= self.bins[-1] + 1:
            self.bins[self.bins.index(max(self.bins[:-1]))] -= 1
            self.bins[-1] += 1

    def scale(self, factor: float) -> None:
        """Multiply all counts by `factor`, so that outcomes counted before weigh less than later ones."""
        self.bins = [count * factor for count in self.bins]
        self.count = self.count * factor


HistogramsByClass = dict[int, LatencyHistogram]  # the key is the index of the request class


def merge(parts: Sequence[HistogramsByClass]) -> HistogramsByClass:
    """Add up several sets of latency histograms, separately for each request class."""
    total: HistogramsByClass = {}
    for part in parts:
        for class_index, histogram in part.items():
            merged = total.setdefault(class_index, LatencyHistogram())
            merged.count = merged.count + histogram.count
            merged.bins = [count + histogram.bins[index] for index, count in enumerate(merged.bins)]
    return total
