"""Tests of the messages between instances, and of the selection of the judges."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.adapter import frames
from stepsail.adapter.frames import Reply
from stepsail.adapter.instance import Instance
from stepsail.decisions.evidence import ALPHA
from stepsail.decisions.gossip import JUDGE_COUNT
from stepsail.decisions.histogram import FAILURE_BIN
from stepsail.decisions.interface import (
    AttemptOutcome,
    PromotionControl,
    ReleasePhase,
    Verdict,
)


def test_judge_pools_the_outcomes_that_other_instances_send() -> None:
    # In a fleet of hundreds, each instance saw an outcome of the canary only every few seconds, and none had
    # enough outcomes of its own to decide.
    host = FakeHost(
        builds=(1, 2), instance_count=400, gossip_enabled=True, promotion_control=PromotionControl.VOTE_SHARE
    )
    judge = FakeHost(
        builds=(1, 2),
        instance_count=400,
        gossip_enabled=True,
        promotion_control=PromotionControl.VOTE_SHARE,
        instance_index=host.router.gossip.judges[0],
    )
    assert judge.router.gossip.is_judge and not host.router.gossip.is_judge
    for instance_host in (host, judge):
        instance_host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.2)
    host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
    host.advance(3.0)
    assert len(host.outcomes_sent) == JUDGE_COUNT and all(
        len(outcomes) == 1 for _, outcomes in host.outcomes_sent
    )
    for build, bin_index in ((1, 3), (2, FAILURE_BIN)):
        for _ in range(80):
            judge.router.peer_outcome_received(judge.servers[build - 1], build, 0, bin_index)
    judge.router.peer_outcome_received(judge.servers[0], 1, 9, 3)  # an unknown class
    judge.router.peer_outcome_received(judge.servers[0], 1, 0, 77)  # an unknown bin
    judge.advance(1.5)
    assert judge.votes == [(2, 0, Verdict.ROLL_BACK)] and judge.verdicts_sent[0] == (2, 0, Verdict.ROLL_BACK)
    for peer, stage in (
        (1, 0),
        (judge.router.settings.instance_index, 1),
        (judge.router.settings.instance_index, 0),
    ):
        assert not host.votes  # the peer is no judge, or the verdict is on another stage
        host.router.peer_verdict_received(peer, 2, stage, Verdict.ROLL_BACK)
        host.advance(9.0)
    assert set(host.votes) == {(2, 0, Verdict.ROLL_BACK)}


def test_malformed_repeated_and_unknown_messages_are_dropped_by_the_host() -> None:
    host = FakeHost(builds=(1, 2), gossip_enabled=True)
    instance = Instance(7, 5.0, Reply())
    instance.index, instance.peers, instance.router = 1, range(4), host.router
    instance.servers = {b"server": host.servers[0]}
    message = frames.OUTCOMES_HEADER.pack(b"S", 5.0) + frames.OUTCOME.pack(b"server", 1, 0, 3)
    invalid = (
        b"",
        b"S",
        b"X" + message[1:],
        message[:-1],
        frames.OUTCOMES_HEADER.pack(b"S", float("nan")) + message[9:],
        frames.VERDICT.pack(b"F", 9.0, 2, 0, 77),
        frames.OUTCOMES_HEADER.pack(b"S", 4.0) + message[9:],
    )
    for peer, text in [(1, message), (9, message), *((2, x) for x in invalid), (3, message), (3, message)]:
        instance.message_received(peer, text)
    # Only one message counts: the truncated one holds no outcome, and outdated and repeated ones are ignored.
    assert sum(x.count for x in host.router.observations.recent.values()) == 1


def test_judges_shares_and_alpha_follow_the_instances_present() -> None:
    # When only the number of instances in the settings counted, a fleet of hundreds cast no votes to promote
    # once its three judges had stopped.
    host = FakeHost(builds=(1, 1, 1, 1, 1, 1), instance_count=6, gossip_enabled=True, instance_index=4)
    judges_before, gossip = host.router.gossip.judges, host.router.gossip
    absent = judges_before[0]
    assert absent != 4
    host.router.membership_changed(tuple(n for n in range(6) if n != absent))
    assert gossip.judges[:2] == judges_before[1:] and absent not in gossip.judges  # the other judges stay
    host.router.membership_changed((1, 4))
    assert (
        gossip.is_judge
        and host.router.voting.may_promote
        and host.router.voting.alpha == ALPHA / 2
        and host.router.position() == (1, 2)
    )
    host.router.admission.window = 0.0
    host.router.admission.adjust_window(False)
    assert host.router.admission.window == 3.0  # its half of six: one attempt for each server
    host.router.membership_changed(tuple(range(600)))
    host.router.admission.adjust_window(False)
    assert (
        host.router.admission.window < 3.0
        and host.router.voting.spread > 0
        and host.router.position() == (4, 600)
    )
