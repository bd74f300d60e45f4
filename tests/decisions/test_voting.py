"""Tests of when a vote is cast."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.decisions.interface import (
    ReleasePhase,
    Verdict,
)


def test_vote_to_roll_back_on_own_evidence_is_cast_without_standby_delay() -> None:
    # All instances but the three judges waited 3 s before they voted to roll back. With little traffic, that
    # doubled the harm of a bad build.
    host = FakeHost(builds=(1, 2), instance_count=9, instance_index=0, vote_rate_limit=50.0)
    host.router.gossip.judges = [1, 2, 3]
    for verdict, vote_count in ((Verdict.PROMOTE, 0), (Verdict.ROLL_BACK, 1)):
        host.receive_release_state(2, int(verdict), ReleasePhase.CANARY, 0.2)
        assert host.router.canary
        host.router.canary.ballot.adopt(verdict, False)
        host.advance(0.5)
        assert len(host.votes) == vote_count
