"""Computes an upper bound on the service of a day from its transcript. No I/O.

Even an ideal router, with full knowledge, no failures and no latency, has only the cores that were running.
Requests that both arrive and fall due within an interval must be executed within that interval. If their work
exceeds the capacity of the cores in it, some are not answered in time; the smallest priority weight that can
be lost is found by dropping the work with the least weight per second first (fractional knapsack, Dantzig
1957). The interval with the largest unavoidable loss gives the bound.

The bound is optimistic and not meant as a target: it assumes that work can be divided over all cores, it
takes the times at which servers failed or started as given, it assumes no work for a request that no server
received, and it counts the loss of only one overloaded interval.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate

from stepsail.verify import History

STEP = 0.5  # s between the possible ends of an interval
SLOWDOWN_KINDS = {"slow-all"}  # kinds of faults that reduce the capacity of all servers


@dataclass(frozen=True, slots=True)
class Demand:
    """A client's request: work in core seconds, the times when it arrives and is due, and priority weight."""

    arrival: float
    due: float
    work: float
    weight: float


@dataclass(frozen=True, slots=True)
class _Slowdown:
    """All servers need `factor` times as long for their work from `start` to `end`."""

    start: float
    end: float
    factor: float


def cumulative_capacity(history: History, end: float) -> list[float]:
    """Return the core seconds available from the beginning of the transcript to each step."""
    facts = history.settings_line
    begin = float(facts["t"])
    slowdowns = _read_slowdowns(history)
    capacities = [0.0] * (int((end - begin) / STEP) + 1)
    for server, start in history.server_starts.items():
        started_at = float(start["t"])
        ended_at = history.server_ends.get(server, end)
        stalls = history.faults.stalls.get(server, [])
        for index in range(len(capacities)):
            now = begin + (index + 0.5) * STEP
            if not started_at <= now < ended_at or any(stall.start <= now < stall.end for stall in stalls):
                continue
            warm_up_left = started_at + facts["cold_for"] - now if start["cold"] else 0.0
            speed = 1.0
            if warm_up_left > 0:
                speed = 1 - (1 - facts["cold_from"]) * warm_up_left / facts["cold_for"]
            factor = max([slow.factor for slow in slowdowns if slow.start <= now < slow.end], default=1.0)
            capacities[index] += STEP * facts["cores"] * speed / factor
    return list(accumulate(capacities, initial=0.0))


def _read_slowdowns(history: History) -> list[_Slowdown]:
    return [
        _Slowdown(float(line["t"]), float(line["t"]) + float(line["length"]), float(line["size"]))
        for line in history.lines
        if line["at"] == "day" and line["what"] == "trouble" and line["kind"] in SLOWDOWN_KINDS
    ]


def demands(history: History) -> list[Demand]:
    """Return the requests of all clients; retries by a client are not counted again."""
    work: dict[str, float] = {}
    for attempt in history.attempts:
        work.setdefault(attempt.line["id"].split("-")[0], float(attempt.line["work"]))
    found = []
    for request_id, first_try in history.requests.items():
        visit, try_index = request_id.split("-")
        if try_index == "0":
            request_class = history.settings_line["products"][first_try.request_class]
            due = first_try.sent_at + request_class["target"]
            found.append(
                Demand(first_try.sent_at, due, work.get(visit, 0.0), float(request_class["revenue"]))
            )
    return found


def least_loss(jobs: list[tuple[float, float]], capacity: float) -> float:
    """Return the least weight to drop so that the rest fits; a job is (work, weight), droppable in part."""
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
    """Return the largest share of the requested priority weight that could have been answered in time."""
    requested = sorted(demands(history), key=lambda demand: demand.due)
    total_weight = sum(demand.weight for demand in requested)
    if not total_weight:
        return 1.0
    begin = float(history.settings_line["t"])
    capacity = cumulative_capacity(history, max(demand.due for demand in requested))
    largest_loss = 0.0
    for first in range(len(capacity) - 1):
        interval_start = begin + first * STEP
        later = [demand for demand in requested if demand.arrival >= interval_start]
        due_times = [demand.due for demand in later]
        works = list(accumulate((demand.work for demand in later), initial=0.0))
        for last in range(first + 1, len(capacity)):
            count = bisect_right(due_times, begin + last * STEP)
            available = capacity[last] - capacity[first]
            if works[count] > available:
                jobs = [(demand.work, demand.weight) for demand in later[:count]]
                largest_loss = max(largest_loss, least_loss(jobs, available))
    return 1.0 - largest_loss / total_weight
