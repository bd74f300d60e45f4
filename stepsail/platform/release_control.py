"""Receives release control's events over an open stream and sends votes to it, each in a separate call."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import msgspec

from stepsail.decisions.interface import Verdict, VoteReceipt
from stepsail.http import Response
from stepsail.loop import Loop, Task
from stepsail.platform import wire_names
from stepsail.platform.errors import InvalidField, PlatformError
from stepsail.platform.json_fields import require, require_integer, require_number
from stepsail.platform.streaming_response import StreamingResponse, call
from stepsail.proxy.backoff import Backoff
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.json_client import CallError
from stepsail.settings.model import Address, InstanceSettings

# Longest time in seconds until the response begins. The release state is the first event of the stream.
FIRST_EVENT_TIMEOUT = 3.0
# Time in seconds without an event after which the stream is closed. Keep-alives arrive every second.
SILENCE_TIMEOUT = 4.0
# Largest number of votes that may wait for their responses. A further vote fails without a call.
MAX_OPEN_VOTES = 4
MAX_BUILD = 65535
MAX_STAGE = 255
MAX_LOGGED_ERROR = 200  # longest error text in a log line, in characters


class PlatformReleaseControl:
    """Passes release control's events to the router, and the router's votes to release control.

    Attributes:
        address: Current address of release control; `set_address` changes it.
        open_votes: Number of votes waiting for their responses.
        states_received: Number of release states received as events.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        address: Address,
        seed: int,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.log = log
        self.address = address
        self.seed = seed
        self.open_votes = 0
        self.states_received = 0
        self.task: Task | None = None

    def start(self) -> None:
        """Start to receive events of release control."""
        self.task = self.loop.spawn(self._receive_events, name="events")

    def set_address(self, address: Address) -> None:
        """Apply release control's address from a new configuration; if changed, reopen the event stream."""
        if address == self.address:
            return
        self.address = address
        if self.task:
            self.task.cancel()
            self.start()

    def release_state_received(self, message: Any) -> None:
        """Pass the state of the newest build to the router.

        Raises:
            InvalidField: The message is not a valid release state.
        """
        phase_name = require(message, wire_names.RELEASE_PHASE, str)
        phase = wire_names.PHASES.get(phase_name)
        if phase is None:
            raise InvalidField(wire_names.RELEASE_PHASE, f"one of {', '.join(wire_names.PHASES)}", phase_name)
        self.host.call_router(
            self.host.router.release_state_received,
            require_number(message, wire_names.RELEASE_AGE) / 1000.0,
            require_number(message, wire_names.RELEASE_EXPOSURE_LIMIT, 0.0, 1.0),
            require_integer(message, wire_names.RELEASE_BUILD, MAX_BUILD),
            require_integer(message, wire_names.RELEASE_STAGE, MAX_STAGE),
            phase,
        )

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a vote on a build in the background and report the vote's receipt to the router."""
        self.loop.spawn(self._vote, build, stage, verdict, name="vote")

    def _receive_events(self) -> None:
        """Keep a stream of events open until cancelled."""
        backoff = Backoff("events", self.seed)
        while True:
            try:
                with StreamingResponse(
                    self.loop, self.address, wire_names.EVENTS_PATH, FIRST_EVENT_TIMEOUT
                ) as response:
                    while True:
                        event = response.next_message(SILENCE_TIMEOUT)
                        if event:
                            self._handle_event(event)
                        backoff.reset()
            except (CallError, PlatformError) as error:
                self.log.warning("release_events_ended", error=str(error)[:MAX_LOGGED_ERROR])
            self.loop.sleep(backoff.next_delay())

    def _handle_event(self, event: Any) -> None:
        event_type = require(event, wire_names.EVENT_TYPE, str)
        body = require(event, wire_names.EVENT_BODY, dict)
        if event_type == wire_names.RELEASE_STATE_EVENT:
            self.states_received += 1
            self.release_state_received(body)
        elif event_type == wire_names.RELEASE_COUNTS_EVENT:
            self._handle_counts(body)
        elif event_type == wire_names.ANSWER_DISPUTED_EVENT:
            self._handle_dispute(body)

    def _handle_counts(self, body: dict[str, Any]) -> None:
        class_index = self._class_index(body)
        build = require_integer(body, wire_names.RELEASE_BUILD, MAX_BUILD)
        count = require_integer(body, wire_names.RELEASE_COUNT)
        failed = require_integer(body, wire_names.RELEASE_FAILED)
        mean = require_number(body, wire_names.RELEASE_MEAN) / 1000.0
        age = require_number(body, wire_names.RELEASE_AGE) / 1000.0
        if class_index is not None:
            self.host.call_router(
                self.host.router.release_counts_received, build, class_index, count, failed, mean, age
            )

    def _handle_dispute(self, body: dict[str, Any]) -> None:
        server = self.host.servers.get(require(body, wire_names.RELEASE_SERVER, str).encode())
        class_index = self._class_index(body)
        if server is not None and class_index is not None:
            age = require_number(body, wire_names.RELEASE_AGE) / 1000.0
            self.host.call_router(server.answer_disputed, class_index, age)

    def _class_index(self, body: dict[str, Any]) -> int | None:
        """Return the index of the request class that a message names; None if it is not in the settings."""
        name = require(body, wire_names.RELEASE_CLASS, str)
        class_names = self.settings.class_names
        return class_names.index(name) if name in class_names else None

    def _vote(self, build: int, stage: int, verdict: Verdict) -> None:
        receipt = VoteReceipt.ERROR
        if self.open_votes < MAX_OPEN_VOTES:
            self.open_votes += 1
            try:
                receipt = self._send_vote(build, stage, verdict)
            except CallError as error:
                receipt = VoteReceipt.UNKNOWN if error.may_have_run else VoteReceipt.ERROR
            finally:
                self.open_votes -= 1
        self.log.info("vote_acknowledged", build=build, stage=stage, receipt=receipt.name.lower())
        self.host.call_router(self.host.router.vote_acknowledged, receipt)

    def _send_vote(self, build: int, stage: int, verdict: Verdict) -> VoteReceipt:
        vote = {
            wire_names.RELEASE_BUILD: build,
            wire_names.RELEASE_STAGE: stage,
            wire_names.VOTE_VERDICT: wire_names.VERDICTS[verdict],
        }
        states_before = self.states_received
        address = self.address
        response = call(
            self.loop, address, b"POST", wire_names.VOTES_PATH, vote, self.settings.router.vote_timeout
        )
        superseded = (states_before, address) != (self.states_received, self.address)
        try:
            return self._read_receipt(response, superseded)
        except (msgspec.DecodeError, InvalidField):
            return VoteReceipt.UNKNOWN

    def _read_receipt(self, response: Response, superseded: bool) -> VoteReceipt:
        """Derive a vote's receipt from the response; if its body does not match its status, return UNKNOWN.

        The response to a counted vote also contains the release state. The release state is passed to the
        router unless an event or a change of release control's address has superseded it.
        """
        body = msgspec.json.decode(response.body)
        if response.status == HTTPStatus.OK:
            if superseded:
                require(body, wire_names.RELEASE_PHASE, str)
            else:
                self.release_state_received(body)
            return VoteReceipt.COUNTED
        error = wire_names.VOTE_ERRORS.get(response.status)
        if error is None or require(body, wire_names.VOTE_ERROR, str) != error:
            return VoteReceipt.UNKNOWN
        return wire_names.VOTE_RECEIPTS[response.status]
