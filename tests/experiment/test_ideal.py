"""Tests of the upper bound on service: only demand beyond the capacity is lost, least weight first."""

from __future__ import annotations

from typing import Any

import pytest

from stepsail.experiment.ideal import cumulative_capacity, least_loss, service_bound
from stepsail.verify import History

FACTS: dict[str, Any] = {
    "t": 0.0,
    "at": "day",
    "what": "facts",
    "name": "made",
    "seed": 1,
    "second_copies": False,
    "drain_grace": 0.5,
    "cold_from": 0.2,
    "cold_for": 4.0,
    "falls_at": 3.0,
    "fall_for": 1.5,
    "cores": 2,
    "window": 4.0,
    "free": 1.0,
    "caps": [1.0],
    "guarded": 0,
    "by_product": False,
    "umpire_zones": ["a"],
    "work": 0.1,
    "products": {
        name: {
            "repeats": "redoable",
            "group": "all",
            "window": 0.0,
            "target": 1.0,
            "revenue": revenue,
            "late_share": 0.0,
        }
        for name, revenue in (("look", 1.0), ("pay", 4.0))
    },
}


def make_history(
    count: int, work: float, extra_lines: list[dict[str, Any]] | None = None, cold: bool = False
) -> History:
    """Return a history of `count` simultaneous requests at 2.0 s for one server with two cores.

    Every second request has four times the priority weight of the others.
    """
    lines = [
        FACTS,
        {"t": 0.0, "at": "box", "what": "start", "box": "b", "zone": "a", "build": 1, "cold": cold},
    ]
    for index in range(count):
        product = ("look", "pay")[index % 2]
        fields = {"id": f"{index}-0", "umpire": 0, "product": product}
        lines.append({"t": 2.0, "at": "client", "what": "send", **fields, "visit": index, "until": 5.0})
        lines.append(
            {
                "t": 2.0,
                "at": "box",
                "what": "relay",
                **fields,
                "box": "b",
                "zone": "a",
                "build": 1,
                "work": work,
            }
        )
    return History(sorted([*lines, *(extra_lines or [])], key=lambda line: float(line["t"])))


def test_work_that_fits_the_capacity_can_all_be_served() -> None:
    assert service_bound(make_history(20, 0.1)) == pytest.approx(
        1.0
    )  # 2 core seconds of work; 2 cores have 1 s
    assert service_bound(make_history(0, 0.1)) == 1.0


def test_beyond_the_capacity_the_requests_of_least_weight_are_lost() -> None:
    """4 core seconds of work for a capacity of 2: all ten `look` requests are lost, a weight of 10 of 50."""
    assert service_bound(make_history(20, 0.2)) == pytest.approx(0.8)
    assert service_bound(make_history(20, 0.4)) == pytest.approx(1 - (10 + 5 * 4) / 50)


def test_slow_stalled_and_failed_servers_lower_the_bound() -> None:
    slowdown = {
        "t": 1.9,
        "at": "day",
        "what": "trouble",
        "kind": "slow-all",
        "of": 0,
        "length": 3.0,
        "size": 2.0,
    }
    stall = {"t": 2.0, "at": "box", "what": "stalled", "box": "b", "seconds": 0.5}
    failure = {"t": 2.5, "at": "box", "what": "end", "box": "b"}
    for fault in (slowdown, stall, failure):  # each removes half of the capacity within the second
        assert service_bound(make_history(20, 0.1, [fault])) == pytest.approx(0.8)
    assert cumulative_capacity(make_history(20, 0.1, cold=True), 4.0)[-1] < 2 * 4.0 * 0.7


def test_a_job_can_be_lost_in_part() -> None:
    assert least_loss([(1.0, 1.0), (1.0, 3.0)], 1.5) == pytest.approx(0.5)
    assert least_loss([(1.0, 1.0), (1.0, 3.0)], 0.5) == pytest.approx(2.5)
    assert least_loss([(0.0, 5.0)], 0.0) == 0.0
