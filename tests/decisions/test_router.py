"""Invalid and contradictory input to the router."""

from __future__ import annotations

from helpers import FakeHost

from stepsail.decisions.interface import (
    AttemptOutcome,
    ReleasePhase,
    VoteReceipt,
)


def test_unknown_or_contradictory_input_is_ignored() -> None:
    host = FakeHost(builds=(1, 1))
    host.receive_release_state(2, 9, ReleasePhase.CANARY, 0.5)  # a stage beyond those in the settings
    host.receive_release_state(1, 0, ReleasePhase.RELEASED, 1.0)  # an older build than the newest one known
    assert (host.router.release.build, host.router.release.stage) == (2, 9)
    host.router.vote_acknowledged(VoteReceipt.OUTDATED)
    host.router.release_counts_received(77, 0, 5, 1, 0.1, 1.0)
    host.router.release_counts_received(1, 9, 5, 1, 0.1, 1.0)  # an unknown class
    host.servers[0].answer_disputed(0, 1.0)
    host.servers[0].health_check_finished(0.1, AttemptOutcome.SERVED, (float("nan"),))
    expired = host.accept(0, timeout=-1.0)
    assert expired in host.rejected  # its deadline had passed already
    host.router.endpoint_list_received(True, False)  # an empty complete list: all servers are gone
    waiting = host.accept(0, timeout=0.5)
    assert not waiting.attempts and waiting not in host.rejected
    host.advance(0.6)
    assert waiting in host.rejected
