"""The daemon's use of the audit trail: what it records and when, and which responses may be sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepsail.http import Response
from stepsail.loop import Event, Loop, TimedOut
from stepsail.proxy.decision_host import Logger
from stepsail.proxy.in_flight import Attempt, InFlightRequest
from stepsail.proxy.wire_names import CANARY_PHASES, FINAL_ANSWER_NAMES, OPEN_ATTEMPT, OUTCOME_NAMES
from stepsail.settings import InstanceSettings
from stepsail.trail.availability import Durability, FullPolicy
from stepsail.trail.committer import TrailOptions, TrailWriter
from stepsail.trail.entries import EntryKind, answer_digest

RECEIPT_HEADER = b"stepsail-receipt"
MAX_ATTEMPTS_RECORDED = 20  # largest number of attempts that the audit trail records for one request
# Recorded in place of a digest if the response body is forwarded as it arrives.
STREAMED_DIGEST = "flow"


@dataclass(frozen=True, slots=True)
class Canary:
    """The canary build and its exposure limit, as last reported by release control."""

    build: int
    exposure_limit: float


def _attempt_entry(attempt: Attempt) -> tuple[str, str]:
    outcome = attempt.outcome
    return attempt.server, OPEN_ATTEMPT if outcome is None else OUTCOME_NAMES[outcome]


class TrailRecorder:
    """Implements `RequestAudit`; does nothing if the settings name no trail folder.

    Attributes:
        canary: The canary build; None if there is none.
        canary_attempts: Number of attempts at servers that run the canary build or a later build, in the
            current exposure window.
        accepted: Number of requests accepted in the current exposure window.
    """

    def __init__(self, loop: Loop, settings: InstanceSettings, log: Logger) -> None:
        self.loop = loop
        self.settings = settings
        self.log = log
        self.trail: TrailWriter | None = None
        self.canary: Canary | None = None
        self.canary_attempts = 0
        self.accepted = 0
        if settings.trail_folder:
            options = TrailOptions(
                Durability(settings.trail_durability),
                FullPolicy(settings.trail_full_policy),
                segment_bytes=settings.trail_segment_bytes,
                reserve_bytes=settings.trail_reserve_bytes,
                max_age=settings.trail_max_age,
                max_bytes=settings.trail_max_bytes,
            )
            self.trail = TrailWriter(
                settings.trail_folder,
                settings.router.instance_index,
                options,
                loop.driver.call_threadsafe,
                self._warn,
            )

    def _warn(self, event: str, **fields: Any) -> None:
        self.log.warning(event, **fields)

    def accepts_requests(self) -> bool:
        """Return whether new requests may be accepted, given the state of the trail."""
        return self.trail is None or self.trail.accepts_requests()

    def release_state_changed(self, build: int, phase: str, exposure_limit: float) -> None:
        """Handle a new release state of the newest build."""
        self.canary = Canary(build, exposure_limit) if phase in CANARY_PHASES else None

    def attempt_sent(self, build: int) -> None:
        """Count an attempt at a server of this build, if it is the canary build or a later one."""
        if self.canary is not None and build >= self.canary.build:
            self.canary_attempts += 1

    def record_exposure(self) -> None:
        """Record one entry at the end of each exposure window while there is a canary build; never return.

        No entry is recorded for a window without attempts at the canary build and without accepted requests.
        """
        while True:
            self.loop.sleep(self.settings.router.exposure_window)
            if self.canary is not None and (self.canary_attempts or self.accepted):
                self.record(
                    EntryKind.EXPOSURE,
                    build=self.canary.build,
                    cap=self.canary.exposure_limit,
                    relays=self.canary_attempts,
                    taken=self.accepted,
                    seconds=self.settings.router.exposure_window,
                )
            self.canary_attempts = 0
            self.accepted = 0

    def record(self, kind: EntryKind, **fields: Any) -> None:
        """Record a decision, or a change reported to this instance, without waiting for the disk."""
        if self.trail:
            self.trail.enqueue(kind, **fields)

    def record_response(
        self, in_flight: InFlightRequest, request_class: int, response: Response, deadline: float
    ) -> bool:
        """Record a response before its first byte is sent, and wait for the disk until `deadline` at most.

        A response that is recorded only after `deadline` has an ANSWER entry but no SENT entry, and the
        client gets no response.

        Returns:
            Whether the response may be sent.
        """
        trail = self.trail
        if trail is None:
            return True
        receipt = self._receipt(trail, in_flight)
        response.headers = [*response.headers, (RECEIPT_HEADER, receipt.encode())]
        committed = False
        commit_finished = Event(self.loop)

        def commit_ended(succeeded: bool) -> None:
            nonlocal committed
            committed = succeeded
            commit_finished.set()

        queued = trail.enqueue(
            EntryKind.ANSWER, commit_ended, **self._answer_entry(in_flight, request_class, response, receipt)
        )
        if queued:
            try:
                commit_finished.wait(max(0.0, deadline - self.loop.now()), "the audit trail")
            except TimedOut:
                return False
        elif trail.availability.sends_unrecorded_answers():
            trail.availability.not_queued += 1
        return committed or trail.availability.sends_unrecorded_answers()

    def _answer_entry(
        self, in_flight: InFlightRequest, request_class: int, response: Response, receipt: str
    ) -> dict[str, Any]:
        assert in_flight.final_answer is not None
        request = in_flight.request
        key = request.header(b"idempotency-key") or b""
        request_id = request.header(b"x-request-id") or b""
        streamed = response.body_stream is not None
        return {
            "receipt": receipt,
            "product": self.settings.class_names[request_class],
            "verdict": FINAL_ANSWER_NAMES[in_flight.final_answer],
            "status": response.status,
            "digest": STREAMED_DIGEST if streamed else answer_digest(response.status, response.body),
            "relays": [_attempt_entry(attempt) for attempt in in_flight.attempts[:MAX_ATTEMPTS_RECORDED]],
            "label": key.decode("latin-1"),
            "request": request_id.decode("latin-1"),
        }

    def _receipt(self, trail: TrailWriter, in_flight: InFlightRequest) -> str:
        return f"{self.settings.router.instance_index}-{trail.run_id}-{in_flight.number}"

    def record_sent(self, in_flight: InFlightRequest, complete: bool) -> None:
        """Record that a response was sent, and whether it was sent completely."""
        if self.trail:
            self.trail.enqueue(EntryKind.SENT, receipt=self._receipt(self.trail, in_flight), whole=complete)

    def close(self) -> None:
        """Commit the queued entries and close the trail."""
        if self.trail:
            self.trail.close()
