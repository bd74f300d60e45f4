"""Tests of the pause experiment, which tells whether a slowdown of all builds is the canary's fault."""

from __future__ import annotations

from math import log

import pytest
from helpers import FakeHost
from scenarios import canary_host, fill_histograms

from stepsail.decisions.evidence import log_evidence
from stepsail.decisions.histogram import FAILURE_EDGE, LatencyHistogram
from stepsail.decisions.interface import (
    PromotionControl,
    ReleasePhase,
    Verdict,
)


@pytest.mark.parametrize("build_is_slow", [True, False])
def test_slowdown_of_all_builds_is_the_canarys_fault_only_if_a_pause_ends_it(build_is_slow: bool) -> None:
    # Crashes, bursts and load shifts had good builds rolled back: a large sample detects any slowdown,
    # whatever its cause.
    host = canary_host((1, 1, 2, 2))
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.2)  # a low exposure limit
    canary = host.router.canary
    assert canary
    host.router.observations.normal[0] = LatencyHistogram()
    for _ in range(400):
        host.router.observations.normal[0].add(2)
    for step in range(600):
        has_ended = step > 150 and not build_is_slow  # an unrelated fault that ends once, during a pause
        is_fast = has_ended or (
            build_is_slow and canary.pause.started_at and host.clock > canary.pause.started_at + 0.5
        )
        host.router.observe(host.servers[0], 1, 0, 2 if is_fast else 7, False)
        host.router.observe(host.servers[2], 2, 0, 2 if is_fast else 7, False)
        if step == 50:
            assert canary.pause.started_at and not host.router.exposure.may_expose(host.accept(0), 2)
        host.advance(0.05)
    assert (Verdict.ROLL_BACK in [v for _, _, v in host.votes]) is build_is_slow


@pytest.mark.parametrize("earlier_servers", [2, 0])
def test_canary_is_paused_only_while_earlier_servers_can_do_its_work(earlier_servers: int) -> None:
    # In the last stage all servers ran the new build, and each pause rejected all requests of the fleet.
    host = canary_host((1,) * earlier_servers + (2,) * 2)
    canary, observations = host.router.canary, host.router.observations
    assert canary
    fill_histograms((observations.normal, 2), (observations.recent, 7), count=400)
    observations.changed = True
    host.advance(0.3)
    assert bool(canary.pause.started_at) is bool(earlier_servers)
    canary.ballot.adopt(Verdict.PAUSE, True)  # from a peer whose list has earlier servers
    assert host.router.exposure.may_expose(host.accept(0), 2) is not bool(earlier_servers)
    assert earlier_servers or not canary.pause.started_at and host.sent


@pytest.mark.parametrize(
    ("is_judge", "servers_started_at", "has_failed", "is_paused"),
    [
        (True, 0.0, False, True),
        (False, 0.0, False, False),
        (True, 99.5, False, False),
        (True, 0.0, True, False),
    ],
)
def test_only_a_judge_pauses_once_servers_are_warm_and_not_after_a_failed_pause(
    is_judge: bool, servers_started_at: float, has_failed: bool, is_paused: bool
) -> None:
    # Under overload, a good build was rolled back: instances that were not judges paused it again and again,
    # until one pause seemed to help.
    judges = FakeHost(
        instance_count=40, gossip_enabled=True, promotion_control=PromotionControl.VOTE_SHARE
    ).router.gossip.judges
    instance_index = judges[0] if is_judge else next(n for n in range(40) if n not in judges)
    host = FakeHost(
        builds=(1, 1, 2, 2),
        start=servers_started_at,
        instance_count=40,
        instance_index=instance_index,
        gossip_enabled=True,
        promotion_control=PromotionControl.VOTE_SHARE,
        exposure_limits=(1.0, 1.0),
        stage_shares=(0.5, 1.0),
        idempotent_only_stages=0,
    )
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 1.0)
    canary, observations = host.router.canary, host.router.observations
    assert canary
    canary.pause.failed = has_failed
    fill_histograms((observations.normal, 2), (observations.recent, 7), count=400)
    observations.changed = True
    host.advance(0.3)
    assert bool(canary.pause.started_at) is is_paused


def test_failed_pause_delays_promotion_until_the_stage_is_old() -> None:
    # After a pause that did not help, the slow latencies counted as normal, and the build that caused them
    # was promoted to all servers.
    host = canary_host((1, 1, 2, 2))
    canary, observations = host.router.canary, host.router.observations
    assert canary
    fill_histograms(
        (observations.normal, 2),
        (observations.recent, 7),
        (canary.baseline, 7),
        (canary.long_baseline, 7),
        (canary.outcomes, 7),
    )
    assert canary.evaluate(True) is Verdict.NONE and canary.pause.started_at
    for _ in range(10):
        host.clock += 0.5
        fill_histograms((observations.recent, 7), count=40)
        canary.evaluate(True)
    assert canary.pause.failed and not canary.pause.started_at and canary.evaluate(True) is Verdict.NONE
    host.clock = canary.started_at + 12.0
    assert canary.evaluate(True) is Verdict.PROMOTE


def test_unanswered_vote_to_promote_turns_into_a_pause_once_all_builds_are_slow() -> None:
    # Release control was down when a vote to promote was cast. The build slowed down all servers a moment
    # later, yet for six seconds the vote was repeated and the build received its share of the attempts.
    host = canary_host((1, 1, 2, 2))
    host.receive_endpoint_list((1, 1, 2, 2), start=host.clock - 4.0)
    canary, observations = host.router.canary, host.router.observations
    assert canary
    canary.ballot.adopt(Verdict.PROMOTE, False)
    host.advance(0.3)
    assert host.votes == [(2, 0, Verdict.PROMOTE)]
    fill_histograms((observations.normal, 2), (observations.recent, 7))
    observations.changed = True
    host.advance(0.3)
    observations.changed = True
    host.advance(0.3)
    assert (
        canary.pause.started_at
        and host.votes[-1] == (2, 0, Verdict.PAUSE)
        and host.router.exposure.withheld()
    )


def test_newest_outcomes_suffice_to_detect_a_slowdown_of_all_builds() -> None:
    # It took two seconds until the slow outcomes were detected among the many earlier fast ones.
    host = canary_host((1, 1, 2, 2))
    canary, observations = host.router.canary, host.router.observations
    assert canary
    fill_histograms((observations.normal, 2), (observations.recent, 2), count=400)
    fill_histograms((observations.recent, 7), (observations.newest, 7), count=20)
    assert log_evidence(observations.normal, observations.recent, range(FAILURE_EDGE)) < log(
        2 / host.router.voting.alpha
    )
    canary.evaluate(True)
    assert canary.pause.started_at
    fill_histograms((observations.recent, 2), (observations.newest, 2))
    host.clock += 5.0
    observations.fade()
    assert not observations.newest and observations.recent


def test_pause_ends_once_attempts_sent_during_it_are_significantly_faster() -> None:
    # A build that slowed down all servers was paused for 4.5 s though latencies were normal again after two.
    host = canary_host((1, 1, 2, 2))
    canary, observations = host.router.canary, host.router.observations
    assert canary
    fill_histograms((observations.normal, 2), (observations.recent, 7), count=400)
    assert canary.evaluate(True) is Verdict.NONE and canary.pause.started_at
    host.clock += 1.0
    fill_histograms((observations.recent, 8), count=50)  # sent before the pause: slow latencies
    assert canary.evaluate(True) is Verdict.PAUSE
    host.clock += 1.0
    assert (
        canary.evaluate(True) is Verdict.PAUSE
        and not observations.recent
        and canary.pause.latencies_before[0].bins[8] == 50
    )
    fill_histograms((observations.recent, 2), count=200)
    assert canary.evaluate(True) is Verdict.ROLL_BACK and not canary.pause.started_at
