"""The life cycle of one request: retries, deadlines, and whether its attempts count as evidence."""

from __future__ import annotations

import pytest
from helpers import FakeHost
from scenarios import canary_host

from stepsail.decisions.interface import (
    AttemptOutcome,
    Idempotency,
    ReleasePhase,
)


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_request_that_may_have_run_is_retried_only_as_its_class_allows(idempotency: Idempotency) -> None:
    host = FakeHost(builds=(1, 1, 1, 1))
    class_index = list(Idempotency).index(idempotency)
    request = host.accept(class_index)
    first = host.sent[0][1]
    request.attempt_ended(0, AttemptOutcome.TIMED_OUT, False, 0.4, ())
    if idempotency is Idempotency.NON_IDEMPOTENT:
        assert host.failed == [request] and not host.rejected and len(host.sent) == 1
    else:
        assert len(host.sent) == 2
        assert idempotency is Idempotency.IDEMPOTENT or host.sent[1][1].zone == first.zone


def test_delayed_retry_is_not_sent_after_the_key_window() -> None:
    # A retry that was chosen within the key window was sent after it if its connection was slow to open.
    host = FakeHost(builds=(1, 1, 1, 1))
    request, sent_at = host.accept(1, 5.0), host.clock
    host.clock = sent_at + 1.1
    request.attempt_ended(0, AttemptOutcome.TIMED_OUT, False, 1.1, ())
    assert len(host.sent) == 2 and request.attempt_still_allowed(1)
    window = request.request_class.key_window
    host.clock = sent_at + window - 0.25
    assert request.attempt_still_allowed(1) and request.attempt_still_allowed(0)
    host.clock = sent_at + window - 0.15
    # The first attempt repeats nothing, so it stays allowed.
    assert not request.attempt_still_allowed(1) and request.attempt_still_allowed(0)


def test_delayed_attempt_is_not_sent_to_a_build_without_exposure() -> None:
    host = FakeHost(builds=(2, 2))
    host.receive_release_state(2, 1, ReleasePhase.CANARY, 1.0)
    host.clock += 4.0
    request = host.accept(0)
    assert request.attempt_still_allowed(0)
    host.receive_release_state(2, 1, ReleasePhase.ROLLING_BACK, 0.0)
    assert not request.attempt_still_allowed(0)


def test_waiting_request_is_answered_before_its_deadline() -> None:
    host = FakeHost(builds=(1,))
    host.receive_endpoint_list((1,), state=0)
    host.accept(2, 0.9)
    assert not host.sent
    host.advance(0.95)
    assert len(host.rejected) == 1  # it never ran, so rejecting it is safe


def test_latencies_across_a_pause_of_this_process_are_no_evidence() -> None:
    # Instances whose process was paused for a second or two treated their servers as unresponsive and their
    # build as slow.
    host = FakeHost(builds=(1, 1, 1))
    request = host.accept(0)
    host.clock += 2.0
    host.advance(0.0)
    assert request.attempts[0].server.available()
    request.attempt_ended(0, AttemptOutcome.SERVED, True, 2.0, ())
    assert not host.router.observations.recent and request.attempts[0].server.relative_latency.mean() == 1.0


def test_attempt_whose_client_left_early_is_no_evidence() -> None:
    # Clients' retries arrived with a tenth of their time left; each one's timeout counted as a failure of the
    # build that handled it.
    for duration, is_evidence in ((0.1, False), (2.9, True)):
        host = canary_host((2, 2))
        request = host.accept(0)
        attempt = request.attempts[0]
        host.advance(0.01)
        attempt.server.last_response_at = host.clock
        request.attempt_ended(0, AttemptOutcome.TIMED_OUT, False, duration, ())
        assert bool(host.router.observations.recent) is is_evidence


def test_attempts_sent_before_evidence_was_discarded_are_no_evidence() -> None:
    # When a stalled class was found, only the late ones of the earlier attempts were still in flight. Counted
    # as evidence, they caused the rollback of a good build.
    host = canary_host((2, 2))
    request = host.accept(0)
    host.advance(0.5)
    host.router.discard_evidence()
    request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.5, ())
    assert not host.router.observations.recent
    host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    assert host.router.observations.recent
