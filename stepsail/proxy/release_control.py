"""Calls release control: receives the release state and request counts, and sends votes.

The state and the counts of requests and errors are received by long polling. A vote is this instance's
verdict on a build at one stage of its release.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepsail.decisions.interface import Verdict, VoteReceipt
from stepsail.loop import Loop
from stepsail.proxy.backoff import Backoff
from stepsail.proxy.control_messages import RELEASE_UPDATE, VOTE_RECEIPT
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.json_client import CallError, JsonClient
from stepsail.proxy.trail_recorder import TrailRecorder
from stepsail.proxy.wire_names import PHASES, RECEIPT_NAMES, RECEIPTS, VERDICT_NAMES
from stepsail.settings import InstanceSettings
from stepsail.trail.entries import EntryKind

# Longest time in seconds that release control may delay its response to wait for a change.
LONG_POLL_WAIT = 5.0
# Seconds by which the timeout of a call exceeds the time that release control may delay its response.
LONG_POLL_SLACK = 2.0
# Largest number of votes that are sent and not acknowledged yet. Further votes fail with `VoteReceipt.ERROR`.
MAX_VOTES_IN_FLIGHT = 4
# Another value would change the random retry delays that are drawn for a given seed.
JITTER_SALT = "conveyor"


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Describes the release of the newest build, with `phase` as named by release control."""

    build: int
    stage: int
    phase: str
    exposure_limit: float


class ReleaseControlClient:
    """Passes the release state to the router and sends the router's votes to release control.

    Attributes:
        last_state: The latest release state that was received; None before the first one.
        votes_in_flight: Number of votes that were sent and not acknowledged yet.
        state_known: Whether release control has reported a release state.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        seed: int,
        trail_recorder: TrailRecorder,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.log = log
        self.seed = seed
        self.trail_recorder = trail_recorder
        self.last_state: ReleaseState | None = None
        self.votes_in_flight = 0
        self.state_known = False

    def watch(self) -> None:
        """Run forever: receive updates of the release.

        Sequence numbers keep a repeated update from being applied twice.
        """
        client = JsonClient(self.loop, self.settings.release_control_address)
        backoff = Backoff(JITTER_SALT, self.seed)
        instance = self.settings.router.instance_index
        sequence = 0
        while True:
            target = f"/news?after={sequence}&umpire={instance}&wait={LONG_POLL_WAIT:g}".encode()
            try:
                update = client.call(b"GET", target, None, RELEASE_UPDATE, LONG_POLL_WAIT + LONG_POLL_SLACK)
            except CallError as error:
                self.log.warning("release_control_call_failed", error=str(error))
                self.loop.sleep(backoff.next_delay())
                continue
            backoff.reset()
            if update["seq"] < sequence:
                self.log.warning("release_sequence_restarted", before=sequence, now=update["seq"])
            sequence = update["seq"]
            self._apply_state(update.get("state"))
            for counts in update.get("counts", []):
                self._apply_counts(counts)

    def _apply_state(self, message: dict[str, Any] | None) -> None:
        if message is None:
            return
        self.state_known = True
        state = ReleaseState(message["build"], message["stage"], message["phase"], message["cap"])
        if state != self.last_state:
            self.last_state = state
            self.trail_recorder.release_state_changed(state.build, state.phase, state.exposure_limit)
            self.trail_recorder.record(
                EntryKind.RELEASE_STATE,
                build=state.build,
                stage=state.stage,
                phase=state.phase,
                cap=state.exposure_limit,
            )
        self.host.call_router(
            self.host.router.release_state_received,
            float(message["age"]),
            float(state.exposure_limit),
            state.build,
            state.stage,
            PHASES[state.phase],
        )

    def _apply_counts(self, counts: dict[str, Any]) -> None:
        if counts["product"] not in self.settings.class_names:
            return
        self.host.call_router(
            self.host.router.release_counts_received,
            counts["build"],
            self.settings.class_names.index(counts["product"]),
            counts["count"],
            counts["errored"],
            float(counts["mean"]),
            float(counts["age"]),
        )

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a vote on a build to release control; the receipt of the vote is reported to the router."""
        self.loop.spawn(self._vote, build, stage, verdict, name="vote")

    def _vote(self, build: int, stage: int, verdict: Verdict) -> None:
        receipt = VoteReceipt.ERROR
        state: dict[str, Any] | None = None
        if self.votes_in_flight < MAX_VOTES_IN_FLIGHT:
            self.votes_in_flight += 1
            try:
                response = self._post_vote(build, stage, verdict)
                receipt = RECEIPTS[response["receipt"]]
                state = response.get("state")
            except CallError as error:
                # Release control may have counted the vote if any byte of the call was written.
                receipt = VoteReceipt.UNKNOWN if error.may_have_run else VoteReceipt.ERROR
            finally:
                self.votes_in_flight -= 1
        self.trail_recorder.record(
            EntryKind.VOTE_ACKNOWLEDGED, build=build, stage=stage, receipt=RECEIPT_NAMES[receipt]
        )
        self.log.info("vote_acknowledged", build=build, stage=stage, receipt=receipt.name.lower())
        if receipt is VoteReceipt.COUNTED:
            self._apply_state(state)
        self.host.call_router(self.host.router.vote_acknowledged, receipt)

    def _post_vote(self, build: int, stage: int, verdict: Verdict) -> dict[str, Any]:
        vote = {
            "umpire": self.settings.router.instance_index,
            "build": build,
            "stage": stage,
            "verdict": VERDICT_NAMES[verdict],
        }
        client = JsonClient(self.loop, self.settings.release_control_address)
        timeout = self.settings.router.vote_timeout
        try:
            response: dict[str, Any] = client.call(b"POST", b"/votes", vote, VOTE_RECEIPT, timeout)
            return response
        finally:
            client.close()
