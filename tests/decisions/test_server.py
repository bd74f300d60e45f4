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
    # An overloaded day lost so many relays in a row that the doubled rest overflowed.
    host = FakeHost()
    for _ in range(3000):
        host.servers[0].attempt_ended(AttemptOutcome.TIMED_OUT, 1.0, True)
    assert 0 < host.servers[0].ejected_until - host.clock <= 4.0


def test_failing_or_unresponsive_server_is_ejected() -> None:
    host = FakeHost(builds=(1, 1))
    for _ in range(2):
        host.servers[0].attempt_ended(AttemptOutcome.FAILED, 1.0, True)
    assert not host.servers[0].available()
    stalled = FakeHost(builds=(1, 1, 1))
    held = stalled.accept(0)
    stalled.advance(1.0)
    assert not held.attempts[0].server.available() and held.attempts[0].server.attempts


def test_two_broken_connections_in_a_row_eject_a_server_and_one_does_not() -> None:
    # A tenth of all relays broke with their connections: ten to twenty of twenty servers rested at any time, and the
    # few awake ones held up to 27 relays of one router.
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


def test_attempt_at_a_silent_server_is_cancelled_only_where_that_does_not_fail_the_request() -> None:
    # An attempt was cancelled for another server; its request was too late for that, and failed as it may have run.
    def cancelled(objective: float, idempotency: Idempotency, scope: DeduplicationScope) -> bool:
        kind = RequestClass(0, objective, 3.0, 1.0, 0.0, idempotency, scope, 9.0)
        host = FakeHost(builds=(1,) * 6, request_classes=(kind,))
        request = host.accept(0)
        host.advance(1.4)
        assert not request.attempts[0].server.available() and not host.failed and not host.rejected
        return request in host.cancelled

    keyed, zone = Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE
    assert not cancelled(0.4, keyed, zone)  # another attempt would come too late
    assert cancelled(1.2, keyed, zone)
    assert not cancelled(1.2, Idempotency.NON_IDEMPOTENT, zone)
    for objective in (0.4, 1.2):
        assert cancelled(objective, keyed, DeduplicationScope.ALL)
        assert cancelled(objective, Idempotency.IDEMPOTENT, zone)
