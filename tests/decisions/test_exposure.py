"""Tests of the exposure limit of a canary, and of sticky keys."""

from __future__ import annotations

import pytest
from helpers import FakeHost
from scenarios import accept_with_key, canary_host

from stepsail.decisions.interface import (
    AttemptOutcome,
    Idempotency,
    ReleasePhase,
    Verdict,
)


def test_canary_attempts_stay_within_the_limit_and_are_idempotent_in_early_stages() -> None:
    host = FakeHost(builds=(1, 2))
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.2)
    for number in range(60):
        request = host.accept(number % 3)
        request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
        host.clock += 0.01
    exposed = [request for request, server, _, _ in host.sent if server.build == 2]
    assert 2 <= len(exposed) <= 2 + 0.2 * 60
    assert all(request.request_class.idempotency is Idempotency.IDEMPOTENT for request in exposed)


def test_restarted_instance_exposes_nothing_for_one_window() -> None:
    """The unknown attempts of the previous run and the attempts of this run together keep to the limit."""
    host = FakeHost(
        builds=(1, 2),
        burst_allowance=2.0,
        exposure_window=3.0,
        idempotent_only_stages=0,
        exposure_started_at=100.0,
    )
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.1)
    for _ in range(40):
        host.accept()
    assert all(server.build == 1 for _, server, _, _ in host.sent)
    host.advance(3.5)
    host.servers[0].state = host.servers[1].state  # both still ready
    for _ in range(9):
        host.accept()
        host.advance(0.01)
    sent_at = [clock for _, server, clock, _ in host.sent if server.build == 2]
    assert 1 <= len(sent_at) <= 2 and min(sent_at) >= 103.0


def test_sticky_key_never_goes_back_until_its_build_is_withdrawn() -> None:
    host = FakeHost(builds=(1, 1, 2, 2), sticky_keys=True, idempotent_only_stages=0, burst_allowance=1000.0)
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 1.0)
    bound = set()
    for key in range(1, 200):
        first = accept_with_key(host, key)
        build = first.attempts[0].build
        first.attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
        bound |= {key} if build == 2 else set()
        second = accept_with_key(host, key)
        assert second.attempts[0].build >= build
        bound |= {key} if second.attempts[0].build == 2 else set()
        second.attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
        host.clock += 0.01
    assert 40 < len(bound) < 160 and set(host.router.exposure.builds_by_key) == bound
    host.receive_release_state(2, 0, ReleasePhase.RELEASED, 1.0)
    # A key that was answered after the release was not bound, and could go to a server of an earlier build
    # that an outdated endpoint list still held.
    assert not host.router.exposure.builds_by_key
    for key in range(200, 260):
        request = accept_with_key(host, key)
        assert request.attempts[0].build == 2
        request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
    host.receive_release_state(2, 0, ReleasePhase.ROLLING_BACK, 0.0)
    assert {accept_with_key(host, key).attempts[0].build for key in range(200, 204)} == {1}
    host.router.admission.window = 99.0
    # Keys that the withdrawn build answered are no longer bound.
    host.receive_release_state(3, 0, ReleasePhase.CANARY, 0.1)
    assert accept_with_key(host, 5).attempts


def test_restarted_instance_uses_a_share_of_the_limit_if_all_servers_run_the_canary() -> None:
    # A restarted instance served no request for a whole window, as every server ran the build on canary.
    host = FakeHost(
        builds=(2, 2),
        burst_allowance=2.0,
        exposure_window=30.0,
        idempotent_only_stages=0,
        exposure_started_at=100.0,
        exposure_limits=(0.5, 1.0),
    )
    host.receive_release_state(2, 1, ReleasePhase.CANARY, 1.0)
    for _ in range(100):
        request = host.accept()
        if request.attempts:
            request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.01, ())
        host.advance(0.03)
    assert 60 <= len(host.sent) <= 80


@pytest.mark.parametrize(("builds", "is_withheld"), [((1, 1, 2, 2), True), ((1, 2, 2, 2), False)])
@pytest.mark.parametrize("phase", [ReleasePhase.CANARY, ReleasePhase.ROLLING_BACK])
def test_rejected_build_gets_no_attempts_while_earlier_servers_can_take_its_load(
    builds: tuple[int, ...], is_withheld: bool, phase: ReleasePhase
) -> None:
    # Votes were not answered for five seconds, during which a build found to be bad still got half of all
    # attempts.
    host = canary_host(builds)
    assert host.router.canary
    host.router.canary.ballot.adopt(Verdict.ROLL_BACK, False)
    if phase is ReleasePhase.ROLLING_BACK:
        host.receive_release_state(2, 0, phase, 1.0)
    for _ in range(40):
        host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    assert (not any(s.build == 2 for _, s, _, _ in host.sent)) is is_withheld
