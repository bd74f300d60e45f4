"""Tests that each check reports a breach in records that contain one, and none in records that comply."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stepsail.qualify.checks import Limits, find_breaches, propagation_deadline
from stepsail.qualify.faults import FaultKind, draw_abuse, draw_faults
from stepsail.qualify.records import (
    Arrival,
    ClientEnd,
    ClientRecord,
    ListChange,
    ListSent,
    MemoryPeak,
    ProcessEvent,
    ProcessRecord,
    Records,
    RequestClass,
    Span,
)

LIMITS = Limits(drain_grace=0.5, key_window=1.0)
SERVED = ClientRecord("i0-1-1", "i0", RequestClass.KEYED, 10.0, 1.0, 10.1, ClientEnd.ANSWERED, 200)
ATTEMPT = Arrival(10.01, "i0-1-1", "i0", "s0", "zone-a", True, 0.98)
START = ProcessRecord(0.0, "i0", ProcessEvent.STARTED)


def broken_rules(records: Records) -> list[str]:
    return [breach.rule for breach in find_breaches(records, LIMITS)]


def test_compliant_records_contain_no_breach() -> None:
    further = replace(
        ATTEMPT, at=10.9, stated_budget=0.1
    )  # within the key window, in the zone of the first attempt
    records = Records([SERVED], [replace(ATTEMPT, at=9.99, ran=False), ATTEMPT, further], processes=[START])
    assert broken_rules(records) == []


@pytest.mark.parametrize("end", [ClientEnd.CLOSED_NEW, ClientEnd.CUT_SHORT, ClientEnd.TIMED_OUT])
def test_request_without_complete_answer_in_time_is_lost(end: ClientEnd) -> None:
    assert broken_rules(Records([replace(SERVED, end=end, status=0)], processes=[START])) == ["lost"]
    assert broken_rules(Records([replace(SERVED, ended_at=11.6)], processes=[START])) == [
        "lost"
    ]  # later than the client's timeout and ANSWER_SLACK
    assert broken_rules(Records([replace(SERVED, ended_at=11.4)], processes=[START])) == []


def test_sigkill_excuses_requests_in_flight_unless_sigterm_preceded_it() -> None:
    lost = replace(SERVED, end=ClientEnd.CLOSED_NEW)
    kill = ProcessRecord(10.05, "i0", ProcessEvent.KILLED)
    assert broken_rules(Records([lost], processes=[START, kill])) == []
    assert broken_rules(Records([lost], processes=[START, replace(kill, instance="i1")])) == ["lost"]
    assert broken_rules(Records([lost], processes=[START, replace(kill, at=9.0)])) == ["lost"]
    sigterm = ProcessRecord(7.0, "i0", ProcessEvent.TERMINATED)
    assert broken_rules(Records([lost], processes=[START, sigterm, kill])) == ["lost"]


@pytest.mark.parametrize(
    ("request_class", "further", "expected"),
    [
        (RequestClass.IDEMPOTENT, replace(ATTEMPT, at=10.5, zone="zone-b", stated_budget=0.5), []),
        (RequestClass.KEYED, replace(ATTEMPT, at=10.5, zone="zone-b", stated_budget=0.5), ["duplicate"]),
        (RequestClass.KEYED, replace(ATTEMPT, at=11.1, stated_budget=0.0), ["duplicate"]),
        (RequestClass.NON_IDEMPOTENT, replace(ATTEMPT, at=10.5, stated_budget=0.5), ["duplicate"]),
        (RequestClass.NON_IDEMPOTENT, replace(ATTEMPT, at=10.5, ran=False, stated_budget=0.5), []),
    ],
)
def test_further_attempt_that_the_request_class_does_not_allow_is_a_duplicate(
    request_class: RequestClass, further: Arrival, expected: list[str]
) -> None:
    records = Records([replace(SERVED, request_class=request_class)], [ATTEMPT, further], processes=[START])
    assert broken_rules(records) == expected


def test_rejection_after_an_accepted_attempt_is_a_breach() -> None:
    rejected = replace(SERVED, status=503)
    assert broken_rules(Records([rejected], [ATTEMPT], processes=[START])) == ["refused"]
    assert broken_rules(Records([rejected], [replace(ATTEMPT, ran=False)], processes=[START])) == []
    idempotent = replace(rejected, request_class=RequestClass.IDEMPOTENT)
    assert broken_rules(Records([idempotent], [ATTEMPT], processes=[START])) == []


DRAIN = ListChange(20.0, 5, "s0", "draining")
ATTEMPT_AFTER_DRAIN = replace(ATTEMPT, request_id="i0-1-9", stated_budget=0.0)


@pytest.mark.parametrize(("at", "expected"), [(26.5, []), (26.6, ["drain"])])
def test_change_that_was_not_sent_must_be_known_six_seconds_later(at: float, expected: list[str]) -> None:
    assert (
        broken_rules(
            Records(arrivals=[replace(ATTEMPT_AFTER_DRAIN, at=at)], changes=[DRAIN], processes=[START])
        )
        == expected
    )
    up = ListChange(26.4, 6, "s0", "up")
    assert (
        broken_rules(
            Records(arrivals=[replace(ATTEMPT_AFTER_DRAIN, at=at)], changes=[DRAIN, up], processes=[START])
        )
        == []
    )


def test_propagation_deadline_of_a_change() -> None:
    def deadline(**extra_records: object) -> float:
        records = Records(changes=[DRAIN], processes=[START])
        for name, values in extra_records.items():
            getattr(records, name).extend(values)
        return propagation_deadline(records, DRAIN, "i0", 0.0)

    assert deadline() == 26.0
    assert deadline(lists_sent=[ListSent(20.3, "i0", 5)]) == 20.3
    assert deadline(lists_sent=[ListSent(20.3, "i1", 5), ListSent(20.4, "i0", 4)]) == 26.0
    assert deadline(outages=[Span(18.0, 22.0)]) == 28.0 and deadline(outages=[Span(25.0, 31.0)]) == 37.0
    assert deadline(outages=[Span(10.0, 19.0), Span(26.5, 31.0)]) == 26.0
    assert deadline(silences=[Span(16.0, 21.0)]) == 22.0
    assert deadline(processes=[ProcessRecord(19.0, "i0", ProcessEvent.RECONFIGURED)]) == 24.0
    assert deadline(processes=[ProcessRecord(21.0, "i0", ProcessEvent.RECONFIGURED)]) == 25.0


def test_attempts_after_a_disconnect_or_with_an_excessive_budget_are_breaches() -> None:
    disconnected = replace(SERVED, end=ClientEnd.LEFT, status=0, ended_at=10.02)
    assert broken_rules(
        Records([disconnected], [replace(ATTEMPT, at=10.25, stated_budget=0.5)], processes=[START])
    ) == ["lost"]
    assert broken_rules(Records([disconnected], [ATTEMPT], processes=[START])) == []
    assert broken_rules(Records([SERVED], [replace(ATTEMPT, stated_budget=1.25)], processes=[START])) == [
        "budget"
    ]


def test_exit_without_a_signal_is_a_crash() -> None:
    assert broken_rules(Records(processes=[START, ProcessRecord(3.0, "i0", ProcessEvent.EXITED)])) == [
        "crash"
    ]


def test_more_memory_than_the_limit_is_a_breach() -> None:
    peaks = [MemoryPeak(3.0, "i0", 32_000_000, 32_000_000), MemoryPeak(4.0, "i0", 32_000_001, 32_000_000)]
    assert broken_rules(Records(processes=[START], memory_peaks=peaks)) == ["memory"]


def test_equal_seeds_draw_equal_faults_and_different_seeds_differ() -> None:
    assert draw_faults(7, 20.0) == draw_faults(7, 20.0) != draw_faults(8, 20.0)
    assert draw_abuse(7, 20.0) == draw_abuse(7, 20.0) != draw_abuse(8, 20.0)
    kinds = {fault.kind for seed in range(20) for fault in draw_faults(seed, 20.0)}
    abuse = {fault.kind for seed in range(20) for fault in draw_abuse(seed, 20.0)}
    assert kinds | abuse == set(FaultKind) and abuse == {FaultKind.CLIENTS_ABUSE} and not kinds & abuse
    assert all(0.0 < fault.at < 20.0 and fault.duration >= 0.0 for fault in draw_faults(9, 20.0))
