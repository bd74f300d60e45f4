"""When a vote on the build on canary is cast, repeated, or left to other instances.

Hundreds of votes at once exceed release control's rate limit, and late ones count for the next stage. Where
any vote decides, judges vote first and the others follow if the stage has not moved; under a share, votes are
spread over the time that the rate limit asks for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.evidence import ALPHA
from stepsail.decisions.gossip import SEND_INTERVAL
from stepsail.decisions.interface import PromotionControl, Verdict, VoteReceipt

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

RENEWAL = 0.7  # of a vote's time to live after which it is cast again
RETRY_PAUSE = 0.5  # s until a vote that did not count, or got no answer, is cast again
BURST = 2.0  # s of the rate limit that votes may use up at once
STAND_BY = 3.0  # s for which an instance leaves the first vote to others


class VotingRules:
    """What this instance may vote, by the number of instances, the judges and release control."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.alpha = ALPHA  # chance of a false rejection that is this instance's part
        self.may_promote = True
        self.spread = 0.0  # s over which instances spread their votes

    def update(self) -> None:
        """Go by the instances and judges that are there now."""
        router = self.router
        settings = router.settings
        instance_count = router.position()[1]
        # Where any vote decides, false ones add up, and only judges, who know what all have seen, promote.
        deciders = 1 if settings.promotion_control is PromotionControl.VOTE_SHARE else instance_count
        sees_enough = router.gossip.is_judge or not settings.gossip_enabled or deciders <= 1
        self.may_promote = sees_enough and settings.promotion_control is not PromotionControl.TIMER
        self.alpha = ALPHA / (len(router.gossip.judges) if router.gossip.is_judge else deciders)
        self.spread = max(0.0, instance_count / max(1.0, settings.vote_rate_limit) - BURST)


class Ballot:
    """This instance's vote on one stage of a build."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.verdict = Verdict.NONE
        self.cast_at = 0.0  # 0: not yet
        self.send_at = 0.0  # when it is cast next
        self.paused_until = 0.0  # the build gets no attempts until then

    def reach(self, verdict: Verdict, from_peer: bool) -> None:
        """Take over a verdict, this instance's own or a judge's, and set when it is cast."""
        router = self.router
        now = router.host.clock
        if verdict is Verdict.PAUSE:
            self.paused_until = now + 2 * SEND_INTERVAL
            if self.verdict is Verdict.PROMOTE:  # all has turned slow since: the vote must not stand
                self.verdict = verdict
                self.send_at = now
        elif verdict not in (Verdict.NONE, self.verdict):
            self.verdict = verdict
            router.gossip.send_at = 0.0
            settings = router.settings
            is_first = not from_peer and (
                verdict is Verdict.ROLL_BACK or settings.instance_index in router.gossip.judges
            )
            stand_by = STAND_BY if settings.promotion_control is PromotionControl.ANY_VOTE else 0.0
            delay = stand_by + router.voting.spread * router.next_random()
            self.send_at = now if is_first else now + delay

    def cast_if_due(self, build: int, stage: int) -> None:
        """Cast the vote; it is cast again if no answer comes."""
        router = self.router
        now = router.host.clock
        if self.verdict is not Verdict.NONE and now >= self.send_at:
            router.host.cast_vote(build, stage, self.verdict)
            self.cast_at = now
            self.send_at = now + router.settings.vote_timeout + RETRY_PAUSE

    def acknowledged(self, receipt: VoteReceipt) -> None:
        """Release control has answered a vote.

        One that counted is renewed before it lapses, another is cast again.
        """
        if not self.cast_at:
            return
        router = self.router
        if receipt is VoteReceipt.COUNTED:
            pause = RENEWAL * router.settings.vote_ttl
        else:
            pause = RETRY_PAUSE + router.voting.spread
        self.send_at = router.host.clock + pause * (0.75 + 0.25 * router.next_random())
