"""The messages between instances: outcomes to a few judges, and the judges' verdicts to all instances.

In a fleet of hundreds of instances, each instance sees an outcome of the build on canary only every few
seconds. Therefore, three instances act as judges and pool the outcomes of all instances. Every instance
selects the same three judges, according to a hash of the instance numbers. The number of outcomes sent thus
grows only with the number of requests, and not with the number of instances.
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

JUDGE_COUNT = 3  # number of judges in the fleet, of which one or two may be unreachable
SEND_INTERVAL = 1.0  # seconds between the gossip messages of an instance

# The outcome of an attempt: the server, the build, the index of the request class, and the index of the bin
# in the latency histogram.
Outcome = tuple["Server", int, int, int]


class Gossip:
    """The outcomes of attempts that this instance has yet to send, and the judges that receive them."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.outbox: list[Outcome] = []
        self.send_at = 0.0
        self.judges: list[int] = []  # instance numbers of the judges
        self.is_judge = False

    def elect_judges(self, present: Sequence[int]) -> None:
        """Select the judges among the instances present.

        If a judge is no longer present, only that judge is replaced.
        """
        settings = self.router.settings
        self.judges = nsmallest(JUDGE_COUNT, present, lambda number: crc32(b"%d" % number))
        self.is_judge = settings.gossip_enabled and settings.instance_index in self.judges

    def add(self, outcome: Outcome) -> None:
        """Queue the outcome of one of this instance's attempts for sending to the judges."""
        if self.router.settings.gossip_enabled:
            self.outbox.append(outcome)

    def send_if_due(self) -> None:
        """Send the queued outcomes to the judges if the send interval has passed.

        If this instance is a judge, it also sends its verdict on the build and the request classes that it
        found stalled to all instances.
        """
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
        """Adopt a peer's verdict if the peer is a judge and the verdict is on the current build and stage.

        Verdicts of other peers are ignored, because instances that are not judges see too few outcomes. A
        verdict to promote is adopted only if this instance has no verdict yet.
        """
        router = self.router
        canary = router.canary
        is_current = (build, stage) == (router.release.build, router.release.stage)
        if canary is None or peer not in self.judges or not is_current:
            return
        if verdict is not Verdict.PROMOTE or canary.ballot.verdict is Verdict.NONE:
            canary.ballot.adopt(verdict, from_peer=True)
