"""The membership checker reports each violated guarantee in altered histories, and none in the original."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from stepsail.verify.membership import MembershipChecker
from stepsail.verify.membership_history import MembershipHistory

SETTINGS = {
    "t": 0.0,
    "at": "day",
    "what": "view",
    "umpires": 3,
    "wall": 0.0,
    "complete": 10.0,
    "stop": 2.0,
    "settle": 20.0,
}
Logs = dict[int, list[dict[str, Any]]]
Lines = list[dict[str, Any]]


def member_changed(at: float, number: int, state: str, start: int | None = None) -> dict[str, Any]:
    return {
        "at": at,
        "event": "member_changed",
        "number": number,
        "start": start or number,
        "state": state,
        "previous_state": "x",
        "reason": "y",
    }


def instance_event(t: float, number: int, what: str) -> dict[str, Any]:
    return {"t": t, "at": "umpire", "what": what, "umpire": number}


def checker(lines: Lines, logs: Logs) -> MembershipChecker:
    return MembershipChecker(MembershipHistory(lines, logs))


def clean_history() -> tuple[Lines, Logs]:
    """Three instances start and discover each other; the third is killed at 40 s and starts again at 70 s."""
    lines = [
        SETTINGS,
        *(instance_event(1.0, n, "started") for n in (1, 2, 3)),
        instance_event(40.0, 3, "killed"),
        instance_event(70.0, 3, "started"),
        {"t": 150.0, "at": "day", "what": "ends"},
    ]
    logs: Logs = {
        n: [
            {"at": 1.5, "event": "membership_started", "number": n, "start": n},
            *(member_changed(2.0, m, "alive") for m in (1, 2, 3) if m != n),
        ]
        for n in (1, 2, 3)
    }
    for n in (1, 2):
        logs[n] += [
            member_changed(45.0, 3, "suspect"),
            member_changed(48.0, 3, "dead"),
            member_changed(72.0, 3, "alive", 33),
        ]
    logs[3] += [
        {"at": 70.5, "event": "membership_started", "number": 3, "start": 33},
        member_changed(71.0, 1, "alive"),
        member_changed(71.0, 2, "alive"),
    ]
    return lines, logs


def test_clean_history_has_no_violation_and_checks_each_guarantee() -> None:
    membership = checker(*clean_history())
    assert membership.violations() == []
    assert membership.check_counts == {"completeness": 2, "accuracy": 2, "settling": 8}


def test_log_of_an_earlier_version_is_read_the_same() -> None:
    events = {"membership_started": "view_begins", "member_changed": "member"}
    fields = {"state": "now", "previous_state": "was", "reason": "why"}
    lines, logs = clean_history()
    earlier_logs = {
        n: [{fields.get(k, k): events.get(v, v) if k == "event" else v for k, v in x.items()} for x in log]
        for n, log in logs.items()
    }
    membership = checker(lines, earlier_logs)
    assert membership.violations() == []
    assert membership.check_counts == {"completeness": 2, "accuracy": 2, "settling": 8}


def death_noticed_too_late(lines: Lines, logs: Logs) -> None:
    logs[1] = [x for x in logs[1] if x["at"] != 48.0]


def running_member_declared_dead(lines: Lines, logs: Logs) -> None:
    logs[1] += [member_changed(110.0, 2, "dead"), member_changed(111.0, 2, "alive")]


def running_member_declared_left(lines: Lines, logs: Logs) -> None:
    logs[1] += [member_changed(110.0, 2, "left"), member_changed(111.0, 2, "alive")]


def member_never_discovered(lines: Lines, logs: Logs) -> None:
    logs[3] = [x for x in logs[3] if not (x["at"] == 71.0 and x["number"] == 2)]


def earlier_process_still_present(lines: Lines, logs: Logs) -> None:
    logs[2][-1] = member_changed(72.0, 3, "alive", 3)


def unknown_member_present(lines: Lines, logs: Logs) -> None:
    logs[1].append(member_changed(80.0, 9, "alive"))


def false_positive_long_after_a_stop(lines: Lines, logs: Logs) -> None:
    lines[-1:-1] = [instance_event(74.0, 2, "stopped"), instance_event(79.0, 2, "continued")]
    logs[1] += [member_changed(120.0, 2, "dead"), member_changed(120.2, 2, "alive")]


def false_positive_after_a_short_stop(lines: Lines, logs: Logs) -> None:
    lines[-1:-1] = [instance_event(100.0, 2, "stopped"), instance_event(101.5, 2, "continued")]
    logs[1] += [member_changed(101.0, 2, "dead"), member_changed(102.0, 2, "alive")]


@pytest.mark.parametrize(
    ("alter", "violated_guarantees"),
    [
        (death_noticed_too_late, {"completeness", "settling"}),
        (running_member_declared_dead, {"accuracy", "settling"}),
        (running_member_declared_left, {"accuracy", "settling"}),
        (member_never_discovered, {"settling"}),
        (earlier_process_still_present, {"settling"}),
        (unknown_member_present, {"settling"}),
        (false_positive_long_after_a_stop, {"accuracy", "settling"}),
        (false_positive_after_a_short_stop, {"accuracy"}),
    ],
)
def test_violated_guarantee_is_reported(
    alter: Callable[[Lines, Logs], None], violated_guarantees: set[str]
) -> None:
    lines, logs = clean_history()
    alter(lines, logs)
    assert {violation.guarantee for violation in checker(lines, logs).violations()} == violated_guarantees


def long_stop(lines: Lines, logs: Logs) -> None:
    lines[-1:-1] = [instance_event(100.0, 2, "stopped"), instance_event(112.0, 2, "continued")]


def network_cut(lines: Lines, logs: Logs) -> None:
    lines[-1:-1] = [
        {"t": 100.0, "at": "words", "what": "cut", "side": [2], "says": True, "hears": True},
        {"t": 112.0, "at": "words", "what": "healed", "side": [2]},
    ]


def heavy_loss(lines: Lines, logs: Logs) -> None:
    lines[-1:-1] = [
        {"t": t, "at": "words", "what": "ways", "lose": lose, "twice": 0.0, "delay": 0.001, "again": 0.0}
        for t, lose in ((100.0, 0.6), (112.0, 0.0))
    ]


def test_log_line_belongs_to_the_process_that_ran_when_it_was_written() -> None:
    # An instance was asked to shut down while it was stopped, and logged a line on itself when it continued,
    # 0.4 s before its next start. If the checker assigned that line to the next process, the "left" that the
    # others logged would be about a running process.
    lines, logs = clean_history()
    events = (
        (100.0, "stopped"),
        (105.0, "told to leave"),
        (110.0, "continued"),
        (110.1, "ended"),
        (110.4, "started"),
    )
    lines[-1:-1] = [instance_event(t, 2, what) for t, what in events]
    logs[2] += [
        member_changed(110.0, 2, "alive", 2),
        {"at": 110.5, "event": "membership_started", "number": 2, "start": 22},
        member_changed(110.6, 1, "alive"),
        member_changed(110.6, 3, "alive", 33),
    ]
    for n in (1, 3):
        logs[n] += [member_changed(110.05, 2, "left"), member_changed(110.5, 2, "alive", 22)]
    assert checker(lines, logs).violations() == []


@pytest.mark.parametrize("add_fault", [long_stop, network_cut, heavy_loss])
def test_false_positive_during_an_excessive_fault_is_no_violation(
    add_fault: Callable[[Lines, Logs], None],
) -> None:
    lines, logs = clean_history()
    add_fault(lines, logs)
    logs[1] += [member_changed(108.0, 2, "dead"), member_changed(114.0, 2, "alive")]
    assert checker(lines, logs).violations() == []


def test_run_without_membership_is_rejected() -> None:
    with pytest.raises(ValueError, match="no membership settings"):
        MembershipHistory([{"t": 0.0, "at": "day", "what": "begins"}], {})
