"""The concurrency window."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.decisions.interface import (
    AttemptOutcome,
)


def test_late_answers_shrink_the_concurrency_window() -> None:
    # At two requests a second the rate of answers is no usable signal: hundreds of instances overloaded their
    # servers.
    host = FakeHost(builds=(1, 1), instance_count=2)
    requests = [host.accept(0) for _ in range(8)]
    assert len(host.sent) <= 4
    for request in [r for r in requests if r.attempts]:
        request.attempt_ended(0, AttemptOutcome.SERVED, True, 2.0, ())
    assert host.router.admission.window == 1.0 and len(host.router.admission.in_flight) <= 3
    for _ in range(40):
        for attempt in list(host.router.admission.in_flight):
            attempt.request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
        host.accept(0)
        host.accept(0)
    assert host.router.admission.window > 3


def test_late_answers_of_servers_without_a_queue_do_not_shrink_the_window() -> None:
    # All servers became slow although none had a queue: the window shrank until almost nothing was forwarded.
    for queue in (0.0, 5.0):
        host = FakeHost(builds=(1, 1), instance_count=2, load_report_columns=("q",))
        initial_window = host.router.admission.window
        for _ in range(12):
            host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 2.0, (queue,))
        assert (host.router.admission.window < initial_window) is (queue > 0)


def test_attempts_are_checked_one_by_one_only_if_the_window_seems_full() -> None:
    # A busy router spent a third of its CPU time on counting its attempts in flight, several times at the end
    # of each attempt. The time from a request's arrival to its attempt was 10 ms at the median, and 0.9 s at
    # the 99th percentile.
    host = FakeHost(builds=(1, 1))
    host.router.admission.window = 3.0
    host.router.admission.in_flight = [None, None]  # type: ignore[list-item]
    assert host.router.admission.has_capacity()
    host.router.admission.in_flight = []
    for _ in range(3):
        host.accept(0)
    assert len(host.router.admission.in_flight) == 3 and not host.router.admission.has_capacity()
    host.router.admission.in_flight[0].server.ejected_until = host.clock + 1.0
    assert host.router.admission.has_capacity()  # attempts at an ejected server don't count
