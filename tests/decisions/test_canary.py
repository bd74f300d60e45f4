"""Tests of the evaluation of a build on canary."""

from __future__ import annotations

from helpers import FakeHost
from scenarios import canary_host, fill_histograms, send_requests

from stepsail.decisions.histogram import FAILURE_BIN
from stepsail.decisions.interface import (
    AttemptOutcome,
    ReleasePhase,
    Verdict,
)


def test_good_build_is_promoted_but_not_before_its_stage_has_settled() -> None:
    host = canary_host((1, 1, 2, 2))
    host.receive_endpoint_list((1, 1, 2, 2), start=host.clock - 3.2)
    send_requests(host, 2, AttemptOutcome.SERVED, 120)
    assert host.votes and set(host.votes) == {(2, 0, Verdict.PROMOTE)}
    unsettled = canary_host((1, 1, 2, 2))
    unsettled.receive_endpoint_list((1, 1, 2, 2), start=unsettled.clock)
    send_requests(unsettled, 2, AttemptOutcome.SERVED, 30)
    assert unsettled.clock - 100 < 3.3 and not unsettled.votes


def test_failing_build_is_rolled_back_but_not_for_one_failing_server() -> None:
    # In an incident, two servers failed at the same time, and a good build was rolled back because of them.
    for failing_servers, verdict in (((2, 3, 4), Verdict.ROLL_BACK), ((2,), Verdict.PROMOTE)):
        host = canary_host((1, 1, 2, 2, 2))
        for _ in range(60):
            host.router.admission.window = 9.0
            request = host.accept(0)
            while request.attempts and not request.finished():
                attempt = request.attempts[-1]
                fails = host.servers.index(attempt.server) in failing_servers
                outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.SERVED
                request.attempt_ended(len(request.attempts) - 1, outcome, not fails, 0.1, ())
            host.advance(0.1)
        assert host.votes and host.votes[-1][2] is verdict


def test_disputed_answer_of_a_class_without_outcomes_is_ignored() -> None:
    # A disputed answer left an empty histogram behind, and the next evaluation divided by its count of 0.
    host = canary_host((1, 1, 2, 2))
    for server in host.servers:
        server.answer_disputed(0, 1.0)
    host.router.peer_outcome_received(host.servers[0], 1, 1, 3)
    host.advance(1.0)
    assert not host.votes


def test_release_counts_are_evidence_where_there_is_no_gossip() -> None:
    for failed, verdict in ((0, Verdict.PROMOTE), (8, Verdict.ROLL_BACK)):
        host = canary_host((1, 1, 2, 2))
        host.router.release_counts_received(1, 0, 400, 1, 0.1, 1.0)
        host.router.release_counts_received(1, 0, 3, 9, 0.1, 1.0)  # invalid: more failures than attempts
        host.advance(13.0)
        host.router.release_counts_received(2, 0, 40, failed, 0.1, 1.0)
        for _ in range(40):
            host.router.observe(host.servers[0], 1, 0, 3, True)
        host.router.observe(host.servers[2], 2, 0, FAILURE_BIN if failed else 3, True)
        host.advance(1.0)
        assert {v for _, _, v in host.votes} == {verdict}


def test_stage_is_settled_only_with_its_share_of_servers_rounded_up() -> None:
    # Some votes to promote came less than 2 s after a stage's start, as its share of servers was rounded
    # down: 20% of 6 servers are two servers, not one.
    host = FakeHost(builds=(1, 1, 1, 1, 1, 1, 2, 2), exposure_limits=(1.0, 1.0), stage_shares=(0.2, 1.0))
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 1.0)
    host.servers[7].update_endpoint(0, 7, 2, 0, 0.0, 1.0)
    host.router.endpoint_list_received(False, False)
    canary = host.router.canary
    assert canary and not canary.settled()
    host.servers[7].update_endpoint(0, 7, 2, 1, 0.0, 1.0)
    host.router.endpoint_list_received(False, False)
    assert canary.settled()


def test_outcomes_in_overload_are_no_evidence_on_a_build() -> None:
    # An outdated endpoint list left only a third of the servers to choose from. They were overloaded, and
    # their slow attempts had a good build rolled back after its release.
    host = canary_host((1, 1, 2, 2))
    host.router.pool.rejected_attempts = 0.5
    host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 2.9, ())
    assert not host.router.observations.recent
    host.router.pool.rejected_attempts = 0.0
    host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    assert host.router.observations.recent


def test_gap_does_not_roll_back_a_build_while_a_class_is_stalled() -> None:
    # A stalled class occupied the servers just as the last stage began, and a good build was rolled back
    # because the requests of other classes had to wait.
    for is_stalled in (True, False):
        host = canary_host((2, 2))
        host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
        canary = host.router.canary
        assert canary
        fill_histograms(
            (canary.baseline, 2), (canary.long_baseline, 2), (canary.outcomes, 8), request_class=1
        )
        host.router.stalls.detectors[0].found_until = host.clock + 9 * is_stalled
        assert (canary.evaluate(True) is Verdict.ROLL_BACK) is not is_stalled
