"""Decides when this instance casts, repeats or leaves to other instances its vote on the build on canary.

Hundreds of votes at once would exceed release control's rate limit, and late votes would count for the next
stage. Where any single vote decides, the judges vote first, and the other instances vote only if the stage
has not changed by then. Where a share of the votes decides, the votes are spread over the time that the rate
limit requires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.evidence import ALPHA
from stepsail.decisions.gossip import SEND_INTERVAL
from stepsail.decisions.interface import PromotionControl, Verdict, VoteReceipt

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

RENEWAL_SHARE = 0.7  # share of a vote's time to live after which it is cast again
RETRY_DELAY = 0.5  # s until a vote that was not counted, or not answered, is cast again
BURST_TIME = 2.0  # s; as many votes as the rate limit allows in this time may be cast at once
STANDBY_DELAY = 3.0  # s for which an instance waits for other instances to vote first


class VotingRules:
    """The votes that this instance may cast, given the instances present, the judges and release control."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.alpha = ALPHA  # this instance's share of the probability of a false rejection
        self.may_promote = True
        self.spread = 0.0  # s over which the instances spread their votes

    def update(self) -> None:
        """Recompute the rules for the instances and judges that are present now."""
        router = self.router
        settings = router.settings
        instance_count = router.position()[1]
        # Where any single vote decides, the probabilities of a false vote add up over the instances, and only
        # judges may promote, as only they have the outcomes of all instances.
        deciding_instances = (
            1 if settings.promotion_control is PromotionControl.VOTE_SHARE else instance_count
        )
        has_enough_evidence = router.gossip.is_judge or not settings.gossip_enabled or deciding_instances <= 1
        self.may_promote = has_enough_evidence and settings.promotion_control is not PromotionControl.TIMER
        self.alpha = ALPHA / (len(router.gossip.judges) if router.gossip.is_judge else deciding_instances)
        self.spread = max(0.0, instance_count / max(1.0, settings.vote_rate_limit) - BURST_TIME)


class Ballot:
    """This instance's vote on one stage of a build."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.verdict = Verdict.NONE
        self.cast_at = 0.0  # when the vote was last cast; 0 if it never was
        self.send_at = 0.0  # when the vote is cast next
        self.paused_until = 0.0  # the build gets no attempts until then

    def adopt(self, verdict: Verdict, from_peer: bool) -> None:
        """Adopt a verdict, this instance's own or a judge's, and schedule the vote for it."""
        router = self.router
        now = router.host.clock
        if verdict is Verdict.PAUSE:
            self.paused_until = now + 2 * SEND_INTERVAL
            if self.verdict is Verdict.PROMOTE:
                # All builds have slowed down since the vote to promote: it must be replaced.
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
        """Cast the vote if it is due, and schedule the next cast in case no answer comes."""
        router = self.router
        now = router.host.clock
        if self.verdict is not Verdict.NONE and now >= self.send_at:
            router.host.cast_vote(build, stage, self.verdict)
            self.cast_at = now
            self.send_at = now + router.settings.vote_timeout + RETRY_DELAY

    def acknowledged(self, receipt: VoteReceipt) -> None:
        """Schedule the next cast after release control has answered a vote.

        A vote that was counted is renewed before it expires; any other is retried after a short delay.
        """
        if not self.cast_at:
            return
        router = self.router
        if receipt is VoteReceipt.COUNTED:
            delay = RENEWAL_SHARE * router.settings.vote_ttl
        else:
            delay = RETRY_DELAY + router.voting.spread
        self.send_at = router.host.clock + delay * (0.75 + 0.25 * router.next_random())
