"""Stand-in for release control: releases builds in stages, counts votes, and publishes the release's state.

It starts and drains servers through `ServerFleet`, which the run provides. A stage is promoted by one vote, or
by the votes of a share of the instances, once the bake time has passed since the servers of the stage ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from stepsail.decisions.interface import PromotionControl, RouterSettings
from stepsail.loop import Loop, Stream
from stepsail.standins.builds import Build
from stepsail.standins.service import Service
from stepsail.standins.transcript import Transcript

BAKE_DELAY_S = 1.0  # from the start of a stage's last server until its bake time begins
REPEAT_INTERVAL_S = 2.0  # after which the current state is published again
CHECK_INTERVAL_S = 0.05  # between checks of whether the servers of a stage run
VOTE_BURST_S = 2  # burst allowance of votes, in seconds of the vote rate limit
RECENT_STATES = 20  # number of latest published states that are compared with a state before it is published


class Phase(StrEnum):
    """Phases of a release; the values are the words of the protocol."""

    CANARY = "trial"
    RELEASED = "released"
    ROLLING_BACK = "reverting"


class VoteVerdict(StrEnum):
    """Verdicts of a vote; the values are the words of the protocol."""

    PROMOTE = "on"
    ROLL_BACK = "back"


class Receipt(StrEnum):
    """Receipts of a vote: whether it was counted; the values are the words of the protocol."""

    COUNTED = "counted"
    RATE_LIMITED = "full"
    OUTDATED = "moot"


@dataclass(frozen=True)
class Vote:
    """A vote that counts until it expires."""

    verdict: str
    expires_at: float
    stage: int


@dataclass(frozen=True)
class ReleaseChange:
    """The entry of a build into a phase or a stage."""

    at: float
    build: int
    phase: str
    stage: int


class ServerFleet(Protocol):
    """The operations of release control on servers."""

    def deploy(self, build: Build, share: float) -> None:
        """Run this build on the given share of the server places, starting servers as needed."""

    def is_deployed(self, build: Build, share: float) -> bool:
        """Return whether all servers of this share are running."""

    def roll_back(self, build: Build) -> None:
        """Replace this build by the previous one on all its server places."""

    def finish(self, build: Build) -> None:
        """Drain the remaining servers of earlier builds, as this build is released."""


class ReleaseControl:
    """Handles one release at a time; a new release rolls back a build that is still a canary."""

    def __init__(
        self,
        loop: Loop,
        transcript: Transcript,
        settings: RouterSettings,
        fleet: ServerFleet,
        delay: float,
    ) -> None:
        self.loop = loop
        self.transcript = transcript
        self.settings = settings
        self.fleet = fleet
        self.delay = delay
        self.extra_delay = 0.0
        self.build = Build(1)
        self.stage = 0
        self.phase = Phase.RELEASED
        self.state_entered_at = loop.now()
        self.history: list[ReleaseChange] = []
        self._bake_starts_at: float | None = None
        self._votes: dict[int, Vote] = {}  # by instance
        self._vote_budget = VOTE_BURST_S * settings.vote_rate_limit
        self._vote_budget_at = loop.now()
        self._states: list[dict[str, Any]] = []
        self.service = Service(loop, "conveyor", self._handle)
        self._send_state()
        loop.spawn(self._repeat_state, name="release control state repeater")
        loop.spawn(self._watch_stage, name="release control stage watcher")

    def exposure_limit(self) -> float:
        """Return the share of the requests that the build may currently receive."""
        if self.phase == Phase.RELEASED:
            return 1.0
        return self.settings.exposure_limits[self.stage] if self.phase == Phase.CANARY else 0.0

    # The release

    def offer(self, build: Build) -> None:
        """Start the release of a build."""
        if self.phase == Phase.CANARY:
            self._roll_back("the next build is due")
        self.build = build
        self.stage = 0
        self.phase = Phase.CANARY
        self.transcript.add("conveyor", "offered", build=build.number, bad=build.bad, kind=build.kind)
        self._begin_stage()

    def _begin_stage(self) -> None:
        self.state_entered_at = self.loop.now()
        self._bake_starts_at = None
        self._votes.clear()
        self.fleet.deploy(self.build, self.settings.stage_shares[self.stage])
        self._record_change()

    def _record_change(self) -> None:
        self.history.append(ReleaseChange(self.loop.now(), self.build.number, self.phase, self.stage))
        self.transcript.add(
            "conveyor",
            "state",
            build=self.build.number,
            stage=self.stage,
            phase=self.phase,
            cap=self.exposure_limit(),
        )
        self._send_state()

    def _roll_back(self, reason: str) -> None:
        self.phase = Phase.ROLLING_BACK
        self.state_entered_at = self.loop.now()
        self.transcript.add("conveyor", "back", build=self.build.number, why=reason)
        self.fleet.roll_back(self.build)
        self._votes.clear()
        self._record_change()

    def _finish(self) -> None:
        self.phase = Phase.RELEASED
        self.state_entered_at = self.loop.now()
        self._votes.clear()
        self.fleet.finish(self.build)
        self._record_change()

    def _watch_stage(self) -> None:
        while True:
            self.loop.sleep(CHECK_INTERVAL_S)
            if self.service.fault:
                continue
            if self.phase == Phase.CANARY and self._bake_starts_at is None:
                share = self.settings.stage_shares[self.stage]
                if self.fleet.is_deployed(self.build, share):
                    self._bake_starts_at = self.loop.now() + BAKE_DELAY_S
            self._decide()

    def _decide(self) -> None:
        """Roll back or promote the build if enough unexpired votes ask for it."""
        now = self.loop.now()
        unexpired = [vote for vote in self._votes.values() if vote.expires_at > now]
        roll_backs = [vote for vote in unexpired if vote.verdict == VoteVerdict.ROLL_BACK]
        promotions = [
            vote for vote in unexpired if vote.verdict == VoteVerdict.PROMOTE and vote.stage == self.stage
        ]
        needed = self._votes_needed()
        if self.phase in (Phase.CANARY, Phase.RELEASED) and len(roll_backs) >= max(1, needed // 2):
            self._roll_back("votes")
        elif self.phase == Phase.CANARY and len(promotions) >= needed and self._bake_time_passed(now):
            if self.stage + 1 < len(self.settings.stage_shares):
                self.stage += 1
                self._begin_stage()
            else:
                self._finish()

    def _votes_needed(self) -> int:
        if self.settings.promotion_control is PromotionControl.VOTE_SHARE:
            return max(1, round(self.settings.instance_count / 2))
        return 1

    def _bake_time_passed(self, now: float) -> bool:
        return self._bake_starts_at is not None and now >= self._bake_starts_at + self.settings.bake_time

    # States

    def _state(self) -> dict[str, Any]:
        return {
            "build": self.build.number,
            "stage": self.stage,
            "phase": self.phase,
            "cap": self.exposure_limit(),
            "since": self.state_entered_at,
        }

    def _send_state(self) -> None:
        state = self._state()
        self.loop.call_later(self.delay + self.extra_delay, lambda: self._publish_state(state))

    def _publish_state(self, state: dict[str, Any]) -> None:
        """Publish a state, unless a newer one has already been published."""
        recent = self._states[-RECENT_STATES:]
        if not any(other["since"] > state["since"] for other in recent):
            self._states.append(state)
            self.service.notify_change()

    def _repeat_state(self) -> None:
        while True:
            self.loop.sleep(REPEAT_INTERVAL_S)
            if not self.service.fault:
                self._send_state()

    # The protocol

    def _handle(self, path: str, query: dict[str, str], body: Any, stream: Stream) -> Any:
        if path == "/votes":
            return self._receive_vote(body)
        after = int(query.get("after", "0"))
        instance = int(query.get("umpire", "-1"))
        deadline = self.service.poll_deadline(query)
        self.service.wait_while(lambda: after >= len(self._states), deadline)
        answer: dict[str, Any] = {"seq": len(self._states)}
        has_newer_state = after < len(self._states)
        if self._states and (has_newer_state or after > len(self._states)):
            answer["state"] = self._dated_state(self._states[-1], instance, after)
        return answer

    def _dated_state(self, state: dict[str, Any], instance: int, after: int = -1) -> dict[str, Any]:
        """Return the message of a state with its age, and record the message.

        The record has the sequence number that the instance already had, `after`, and the one it gets now.
        """
        message = {name: value for name, value in state.items() if name != "since"}
        self.transcript.add(
            "conveyor", "told", umpire=instance, after=after, seq=len(self._states), **message
        )
        return message | {"age": round(max(0.0, self.loop.now() - state["since"]), 3)}

    def _receive_vote(self, body: dict[str, Any]) -> Any:
        receipt = self._count_vote(body)
        self.transcript.add("conveyor", "vote", receipt=receipt.value, **body)
        self._decide()
        answer: dict[str, Any] = {"receipt": receipt.value}
        if receipt is Receipt.COUNTED:
            answer["state"] = self._dated_state(self._state(), body["umpire"])
        return answer

    def _count_vote(self, body: dict[str, Any]) -> Receipt:
        now = self.loop.now()
        rate_limit = self.settings.vote_rate_limit
        refilled = self._vote_budget + (now - self._vote_budget_at) * rate_limit
        self._vote_budget = min(VOTE_BURST_S * rate_limit, refilled)
        self._vote_budget_at = now
        if self._vote_budget < 1:
            return Receipt.RATE_LIMITED
        self._vote_budget -= 1
        verdict = body["verdict"]
        is_outdated = body["build"] != self.build.number or self.phase not in (Phase.CANARY, Phase.RELEASED)
        if verdict == VoteVerdict.PROMOTE:
            is_outdated = is_outdated or body["stage"] != self.stage or self.phase != Phase.CANARY
        if is_outdated:
            return Receipt.OUTDATED
        self._votes[body["umpire"]] = Vote(verdict, now + self.settings.vote_ttl, body["stage"])
        return Receipt.COUNTED
