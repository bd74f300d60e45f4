"""The messages between instances: outcomes to a few judges, and the judges' verdicts to all instances.

In a fleet of hundreds, each instance sees an outcome of the canary only every few seconds. Three judges pool
the outcomes of all instances. Every instance selects the same three, by a hash of the instance numbers. So
the number of outcomes sent grows with the number of requests only.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nsmallest
from typing import TYPE_CHECKING
from zlib import crc32

from stepsail.decisions.interface import Verdict

if TYPE_CHECKING:
    from stepsail.decisions.router import Router
    from stepsail.decisions.server import Server

JUDGE_COUNT = 3  # of which one or two may be unreachable
SEND_INTERVAL = 1.0  # s between messages

Outcome = tuple["Server", int, int, int]  # server, build, class index, bin index


class Gossip:
    """The outcomes that this instance has yet to send, and the judges that it sends them to."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.outbox: list[Outcome] = []
        self.send_at = 0.0
        self.judges: list[int] = []  # instance numbers
        self.is_judge = False

    def elect_judges(self, present: Sequence[int]) -> None:
        """Select the judges among the instances present; if a judge leaves, only that judge is replaced."""
        settings = self.router.settings
        self.judges = nsmallest(JUDGE_COUNT, present, lambda number: crc32(b"%d" % number))
        self.is_judge = settings.gossip_enabled and settings.instance_index in self.judges

    def add(self, outcome: Outcome) -> None:
        """Queue an outcome of this instance for the judges."""
        if self.router.settings.gossip_enabled:
            self.outbox.append(outcome)

    def send_if_due(self) -> None:
        """Send the queued outcomes to the judges; a judge sends its verdict and stalled classes to all."""
        router = self.router
        now = router.host.clock
        if not router.settings.gossip_enabled or now < self.send_at:
            return
        if self.outbox:
            for judge in self.judges:
                if judge != router.settings.instance_index:
                    router.host.gossip_outcomes(judge, self.outbox)
        self.send_at = now + SEND_INTERVAL
        self.outbox = []
        canary = router.canary
        if self.is_judge and canary and canary.finding:
            router.host.gossip_verdict(canary.build, canary.stage, canary.finding)
        stalled_classes = router.stalls.locally_stalled_classes()
        if self.is_judge and stalled_classes:
            router.host.gossip_stalled_classes(stalled_classes)

    def verdict_received(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        """Adopt a peer's verdict if the peer is a judge and the verdict is on the current stage.

        Instances that are not judges see too few outcomes.
        """
        router = self.router
        canary = router.canary
        is_current = (build, stage) == (router.release.build, router.release.stage)
        if canary is None or peer not in self.judges or not is_current:
            return
        if verdict is not Verdict.PROMOTE or canary.ballot.verdict is Verdict.NONE:
            canary.ballot.adopt(verdict, from_peer=True)
