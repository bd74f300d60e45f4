"""Decides when this instance votes to promote or roll back the build on canary, and when it votes again.

Hundreds of votes at once would exceed release control's rate limit, and late votes would count for the next
release stage. Where any single vote decides, the judges vote first, and the other instances vote only if the
stage has not changed by then. Where a share of the instances' votes decides, the votes are spread over the
time that the rate limit requires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.evidence import ALPHA
from stepsail.decisions.gossip import SEND_INTERVAL
from stepsail.decisions.interface import PromotionControl, Verdict, VoteReceipt

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

# A vote on the build is cast again after this share of the vote's time to live.
RENEWAL_SHARE = 0.7
# Seconds until a vote on the build is cast again if release control has not counted or not answered it.
RETRY_DELAY = 0.5
# The instances may cast as many votes at once as release control's rate limit allows in this many seconds.
BURST_TIME = 2.0
# Where any single vote decides on the build, an instance that does not have to vote first waits this many
# seconds for the votes of other instances.
STANDBY_DELAY = 3.0


class VotingRules:
    """The rules for this instance's votes to promote or roll back a build.

    The rules follow from the instances present, the judges among them, and how release control decides.
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        # This instance's share of the tolerated probability that a good build is rejected.
        self.alpha = ALPHA
        self.may_promote = True
        self.spread = 0.0  # seconds over which the instances spread their votes on a build

    def update(self) -> None:
        """Recompute the voting rules from the instances and judges that are present now."""
        router = self.router
        settings = router.settings
        instance_count = router.position()[1]
        # Where any single vote decides on the build, the probabilities of a wrong vote add up over the
        # instances. Only judges may then vote to promote, because only judges have the outcomes of all
        # instances.
        deciding_instances = (
            1 if settings.promotion_control is PromotionControl.VOTE_SHARE else instance_count
        )
        has_enough_evidence = router.gossip.is_judge or not settings.gossip_enabled or deciding_instances <= 1
        self.may_promote = has_enough_evidence and settings.promotion_control is not PromotionControl.TIMER
        self.alpha = ALPHA / (len(router.gossip.judges) if router.gossip.is_judge else deciding_instances)
        self.spread = max(0.0, instance_count / max(1.0, settings.vote_rate_limit) - BURST_TIME)


class Ballot:
    """This instance's vote to promote or roll back a build in one release stage."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.verdict = Verdict.NONE
        self.cast_at = 0.0  # time at which the vote was last cast; 0 if the vote was never cast
        self.send_at = 0.0  # time from which the vote is to be cast next
        self.paused_until = 0.0  # time until which the build is paused and gets no attempts

    def adopt(self, verdict: Verdict, from_peer: bool) -> None:
        """Adopt a verdict on the build, from this instance or from a judge, and schedule the vote for it."""
        router = self.router
        now = router.host.clock
        if verdict is Verdict.PAUSE:
            self.paused_until = now + 2 * SEND_INTERVAL
            if self.verdict is Verdict.PROMOTE:
                # All builds have slowed down since this instance voted to promote the build, so its vote
                # must be replaced.
                self.verdict = verdict
                self.send_at = now
        elif verdict not in (Verdict.NONE, self.verdict):
            self.verdict = verdict
            router.gossip.send_at = 0.0
            settings = router.settings
            is_first = not from_peer and (
                verdict is Verdict.ROLL_BACK or settings.instance_index in router.gossip.judges
            )
            standby_delay = STANDBY_DELAY if settings.promotion_control is PromotionControl.ANY_VOTE else 0.0
            delay = standby_delay + router.voting.spread * router.next_random()
            self.send_at = now if is_first else now + delay

    def cast_if_due(self, build: int, stage: int) -> None:
        """Cast the vote on the build if it is due, and schedule a repeat in case no answer arrives."""
        router = self.router
        now = router.host.clock
        if self.verdict is not Verdict.NONE and now >= self.send_at:
            router.host.cast_vote(build, stage, self.verdict)
            self.cast_at = now
            self.send_at = now + router.settings.vote_timeout + RETRY_DELAY

    def acknowledged(self, receipt: VoteReceipt) -> None:
        """Schedule when the vote is cast again, after release control has answered the vote.

        A vote that was counted is renewed before it expires. A vote that was not counted is retried after a
        short delay.
        """
        if not self.cast_at:
            return
        router = self.router
        if receipt is VoteReceipt.COUNTED:
            delay = RENEWAL_SHARE * router.settings.vote_ttl
        else:
            delay = RETRY_DELAY + router.voting.spread
        self.send_at = router.host.clock + delay * (0.75 + 0.25 * router.next_random())
