"""Ejection of servers."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.decisions.interface import (
    AttemptOutcome,
    DeduplicationScope,
    Idempotency,
    RequestClass,
)


def test_ejection_lasts_a_bounded_time() -> None:
    # Under overload so many consecutive attempts failed that the repeatedly doubled ejection time overflowed.
    host = FakeHost()
    for _ in range(3000):
        host.servers[0].attempt_ended(AttemptOutcome.TIMED_OUT, 1.0, True)
    assert 0 < host.servers[0].ejected_until - host.clock <= 4.0


def test_failing_or_unresponsive_server_is_ejected() -> None:
    host = FakeHost(builds=(1, 1))
    for _ in range(2):
        host.servers[0].attempt_ended(AttemptOutcome.FAILED, 1.0, True)
    assert not host.servers[0].available()
    other_host = FakeHost(builds=(1, 1, 1))
    request = other_host.accept(0)
    other_host.advance(1.0)
    assert not request.attempts[0].server.available() and request.attempts[0].server.attempts


def test_two_consecutive_lost_connections_eject_a_server_and_one_does_not() -> None:
    # A tenth of all attempts lost their connections, and one lost connection ejected a server: ten to twenty
    # of twenty servers were ejected at any time, and the few others had up to 27 attempts of one router in
    # flight.
    server = FakeHost(builds=(1, 1)).servers[0]
    server.attempt_ended(AttemptOutcome.CONNECTION_LOST, 1.0, True)
    assert server.available()
    server.attempt_ended(AttemptOutcome.SERVED, 1.0, True)
    server.attempt_ended(AttemptOutcome.CONNECTION_LOST, 1.0, True)
    assert server.available()
    server.attempt_ended(AttemptOutcome.CONNECTION_LOST, 1.0, True)
    assert not server.available()
    other = FakeHost(builds=(1, 1)).servers[0]
    other.attempt_ended(AttemptOutcome.CONNECT_FAILED, 1.0, True)
    assert not other.available()


def test_attempt_at_an_unresponsive_server_is_cancelled_only_if_the_request_does_not_fail() -> None:
    # An attempt was cancelled for a retry at another server, but the request was too late for one, and failed
    # as it may have run.
    def cancelled(objective: float, idempotency: Idempotency, scope: DeduplicationScope) -> bool:
        request_class = RequestClass(0, objective, 3.0, 1.0, 0.0, idempotency, scope, 9.0)
        host = FakeHost(builds=(1,) * 6, request_classes=(request_class,))
        request = host.accept(0)
        host.advance(1.4)
        assert not request.attempts[0].server.available() and not host.failed and not host.rejected
        return request in host.cancelled

    with_key, zone = Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE
    assert not cancelled(0.4, with_key, zone)  # another attempt would come too late
    assert cancelled(1.2, with_key, zone)
    assert not cancelled(1.2, Idempotency.NON_IDEMPOTENT, zone)
    for objective in (0.4, 1.2):
        assert cancelled(objective, with_key, DeduplicationScope.ALL)
        assert cancelled(objective, Idempotency.IDEMPOTENT, zone)
