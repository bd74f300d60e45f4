"""Compares two routers or commits by paired differences on the same days and seeds. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf, sqrt

import polars
from scipy import stats

RELEVANT_DIFFERENCE = 0.01  # in service, a share between 0 and 1
SIGNIFICANCE_LEVEL = 0.05
POWER = 0.8
MIN_PAIRS = 2  # needed to compute a standard deviation


@dataclass
class Difference:
    """The mean of paired differences with its confidence interval.

    Attributes:
        pairs: number of pairs.
        mean: mean of the differences.
        low: lower end of the confidence interval.
        high: upper end of the confidence interval.
        sd: standard deviation of the differences.
        needed: number of pairs needed to detect a difference of RELEVANT_DIFFERENCE with probability POWER.
    """

    pairs: int
    mean: float
    low: float
    high: float
    sd: float
    needed: float

    def cells(self) -> list[str]:
        """Return the cells of a table row: pairs, mean, interval, pairs needed."""
        return [
            str(self.pairs),
            f"{self.mean:+.4f}",
            f"{self.low:+.4f} to {self.high:+.4f}",
            f"{self.needed:g}",
        ]

    @property
    def is_significant(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return self.low > 0 or self.high < 0


def difference(values: list[float]) -> Difference:
    """Return the mean with its interval by Student's t; `needed` is computed by the normal approximation."""
    count = len(values)
    mean = sum(values) / count if count else 0.0
    if count < MIN_PAIRS:
        return Difference(count, mean, -inf, inf, 0.0, inf)
    sd = sqrt(sum((value - mean) ** 2 for value in values) / (count - 1))
    half_width = float(stats.t.ppf(1 - SIGNIFICANCE_LEVEL / 2, count - 1)) * sd / sqrt(count)
    z = float(stats.norm.ppf(1 - SIGNIFICANCE_LEVEL / 2) + stats.norm.ppf(POWER))
    needed = max(MIN_PAIRS, ceil((z * sd / RELEVANT_DIFFERENCE) ** 2))
    return Difference(count, mean, mean - half_width, mean + half_width, sd, needed)


def paired_differences(
    rows: polars.DataFrame, by: str, one: str, other: str, measure: str = "service"
) -> dict[str, Difference]:
    """Return the differences `other` - `one` for each day, and for all days together under the key "".

    Runs that failed are excluded.

    Args:
        rows: the runs of an experiment.
        by: the column in which the two runs of a pair differ: module or commit. Day, seed, number of
            instances and the other one of these two columns are equal.
        one: the value of that column whose runs are subtracted.
        other: the value of that column whose runs are subtracted from.
        measure: the column whose values are compared.
    """
    succeeded = rows.filter(polars.col("failed") == "")
    keys = ["day", "seed", "umpires"]
    keys += [column for column in ("module", "commit") if column != by]
    one_rows = succeeded.filter(polars.col(by) == one).select([*keys, polars.col(measure).alias("one")])
    other_rows = succeeded.filter(polars.col(by) == other).select([*keys, polars.col(measure).alias("other")])
    pairs = (
        one_rows.join(other_rows, on=keys)
        .sort(keys)
        .with_columns((polars.col("other") - polars.col("one")).alias("difference"))
    )
    differences = {"": difference(pairs["difference"].to_list())}
    for (day,), group in sorted(pairs.group_by(["day"]), key=lambda item: str(item[0][0])):
        differences[str(day)] = difference(group["difference"].to_list())
    return differences
