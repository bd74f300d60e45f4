"""An upper bound on a day's service, from its transcript. No I/O.

An ideal router that knows all, never fails and has no latency still has only the cores that ran. All work of
requests that arrive and fall due within an interval must be done within it; where that is more than its cores could
do, some is not done in time, and the least priority weight that can be lost is what costs least for its work (the
fractional knapsack, Dantzig 1957). The interval that forces the greatest loss gives the bound.

It is a bound and no goal: work is taken to be divisible over all cores, servers that had failed or never started
count as they were, a request that no server ever saw counts as no work, of two overloaded stretches one counts.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate

from stepsail.verify import History

STEP = 0.5  # s between the ends of the intervals looked at
SLOWDOWN_KINDS = {"slow-all"}  # troubles of a day that take capacity from all servers


@dataclass(frozen=True, slots=True)
class Demand:
    """A client's request: seconds of a core to be spent between its arrival and `due`, and its priority weight."""

    arrival: float
    due: float
    work: float
    weight: float


@dataclass(frozen=True, slots=True)
class _Slowdown:
    """All servers take `factor` times as long from `start` to `end`."""

    start: float
    end: float
    factor: float


def cumulative_capacity(history: History, end: float) -> list[float]:
    """Seconds of cores that could be used up to each step, from the transcript's beginning."""
    facts = history.settings_line
    begin = float(facts["t"])
    slowdowns = _read_slowdowns(history)
    steps = [0.0] * (int((end - begin) / STEP) + 1)
    for server, start in history.server_starts.items():
        started_at = float(start["t"])
        ended_at = history.server_ends.get(server, end)
        stalls = history.faults.stalls.get(server, [])
        for index in range(len(steps)):
            now = begin + (index + 0.5) * STEP
            if not started_at <= now < ended_at or any(stall.start <= now < stall.end for stall in stalls):
                continue
            warm_up_left = started_at + facts["cold_for"] - now if start["cold"] else 0.0
            speed = 1.0
            if warm_up_left > 0:
                speed = 1 - (1 - facts["cold_from"]) * warm_up_left / facts["cold_for"]
            factor = max([slow.factor for slow in slowdowns if slow.start <= now < slow.end], default=1.0)
            steps[index] += STEP * facts["cores"] * speed / factor
    return list(accumulate(steps, initial=0.0))


def _read_slowdowns(history: History) -> list[_Slowdown]:
    return [
        _Slowdown(float(line["t"]), float(line["t"]) + float(line["length"]), float(line["size"]))
        for line in history.lines
        if line["at"] == "day" and line["what"] == "trouble" and line["kind"] in SLOWDOWN_KINDS
    ]


def demands(history: History) -> list[Demand]:
    """What clients asked for; a client's own retries add nothing."""
    work: dict[str, float] = {}
    for attempt in history.attempts:
        work.setdefault(attempt.line["id"].split("-")[0], float(attempt.line["work"]))
    found = []
    for request_id, first_try in history.requests.items():
        visit, turn = request_id.split("-")
        if turn == "0":
            request_class = history.settings_line["products"][first_try.request_class]
            due = first_try.sent_at + request_class["target"]
            found.append(
                Demand(first_try.sent_at, due, work.get(visit, 0.0), float(request_class["revenue"]))
            )
    return found


def least_loss(jobs: list[tuple[float, float]], capacity: float) -> float:
    """The least weight that must be lost so that the rest fits; jobs are (work, weight), and may be lost in part."""
    excess = sum(work for work, _ in jobs) - capacity
    lost = 0.0
    for work, weight in sorted((job for job in jobs if job[0] > 0), key=lambda job: job[1] / job[0]):
        if excess <= 0:
            break
        share = min(1.0, excess / work)
        lost += share * weight
        excess -= share * work
    return lost


def service_bound(history: History) -> float:
    """The largest share of the priority weight asked for that could have been answered in time."""
    asked = sorted(demands(history), key=lambda demand: demand.due)
    total_weight = sum(demand.weight for demand in asked)
    if not total_weight:
        return 1.0
    begin = float(history.settings_line["t"])
    capacity = cumulative_capacity(history, max(demand.due for demand in asked))
    worst = 0.0
    for first in range(len(capacity) - 1):
        since = begin + first * STEP
        later = [demand for demand in asked if demand.arrival >= since]
        due_times = [demand.due for demand in later]
        works = list(accumulate((demand.work for demand in later), initial=0.0))
        for last in range(first + 1, len(capacity)):
            inside = bisect_right(due_times, begin + last * STEP)
            available = capacity[last] - capacity[first]
            if works[inside] > available:
                jobs = [(demand.work, demand.weight) for demand in later[:inside]]
                worst = max(worst, least_loss(jobs, available))
    return 1.0 - worst / total_weight
