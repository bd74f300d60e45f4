"""The policy checker reports each violated guarantee in altered histories, and none in the original."""

from __future__ import annotations

from typing import Any

import pytest

from stepsail.verify import History
from stepsail.verify.policies import PolicyChecker

Line = dict[str, Any]


def request(
    request_id: str, at: float, policy: int, answer_policy: int | None = None, instance: int = 0
) -> list[Line]:
    common = {"id": request_id, "umpire": instance, "product": "look"}
    return [
        {"t": at, "at": "client", "what": "send", **common, "visit": 1, "until": at + 2.0},
        {
            "t": at + 0.1,
            "at": "box",
            "what": "relay",
            **common,
            "box": "b",
            "zone": "a",
            "build": 1,
            "work": 0.1,
            "policy": policy,
        },
        {
            "t": at + 0.2,
            "at": "client",
            "what": "answer",
            **common,
            "verdict": "handled",
            "status": 200,
            "visit": 1,
            "policy": policy if answer_policy is None else answer_policy,
        },
    ]


def violated_guarantees(*more: Line, decided: tuple[int, ...] = (1, 2)) -> list[str]:
    lines: list[Line] = [
        {"t": 0.0, "at": "day", "what": "facts", "umpire_zones": ["a", "a"], "products": {}},
        {"t": 0.0, "at": "day", "what": "policy", "keepers": 3, "bound": 5.0},
        *request("a", 1.0, 0),
        *request("b", 2.0, 1),
        *request("c", 6.0, 0, instance=1),
        *request("d", 8.0, 1),
        *request("e", 20.0, 2),
        {"t": 90.0, "at": "policy", "what": "past", "held": list(decided), "given_up": [3]},
        *more,
    ]
    return [
        violation.split(":")[0]
        for violation in PolicyChecker(History(sorted(lines, key=lambda x: x["t"]))).violations()
    ]


def test_clean_history_has_no_violation() -> None:
    assert violated_guarantees() == []  # request c was sent under the old policy within the bound


@pytest.mark.parametrize(
    ("more", "guarantee"),
    [
        (request("x", 7.2, 0, instance=1), "all or none"),  # 5.1 s after policy 1 was first seen
        (request("x", 26.0, 1), "all or none"),
        (request("x", 9.0, 1, answer_policy=2), "one policy"),
        (request("x", 30.0, 3), "decided"),
        (request("x", 30.0, 4), "decided"),
    ],
)
def test_violated_guarantee_is_reported(more: list[Line], guarantee: str) -> None:
    assert guarantee in violated_guarantees(*more)


def test_run_without_policy_outcome_is_reported() -> None:
    lines: list[Line] = [
        {"t": 0.0, "at": "day", "what": "facts", "umpire_zones": ["a"], "products": {}},
        {"t": 0.0, "at": "day", "what": "policy", "keepers": 3, "bound": 5.0},
    ]
    assert PolicyChecker(History(lines)).violations() == [
        "decided: the transcript does not state the outcome of the policy changes"
    ]
