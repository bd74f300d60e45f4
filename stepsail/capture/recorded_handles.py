"""The handles that a recording router gives to its host. They record each call and pass it on."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from stepsail.capture.entries import Event, Values
from stepsail.decisions.interface import AttemptOutcome, RejectionReason, RequestHandle, ServerHandle

# These are plain integers because every recorded call needs an event number, and enum members take longer
# to look up and to encode.
ENDPOINT_UPDATED = int(Event.ENDPOINT_UPDATED)
HEALTH_CHECK_FINISHED = int(Event.HEALTH_CHECK_FINISHED)
ANSWER_DISPUTED = int(Event.ANSWER_DISPUTED)
ATTEMPT_ENDED = int(Event.ATTEMPT_ENDED)
CLIENT_DISCONNECTED = int(Event.CLIENT_DISCONNECTED)


class EventRecorder(Protocol):
    """The methods of the recorder that the handles use."""

    def record(self, event: int, values: Values, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call the router, and record the call. Returns what the router returned."""
        ...

    def forget_if_finished(self, request: RecordedRequest) -> None:
        """Drop the handle of a request if it is finished."""
        ...


class RecordedServer:
    """The handle of a server that the host uses."""

    __slots__ = ("address", "number", "real", "recorder")

    def __init__(self, recorder: EventRecorder, real: ServerHandle, number: int) -> None:
        self.recorder = recorder
        self.real = real
        self.number = number
        self.address = real.address

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def update_endpoint(
        self, zone: int, cell: int, build: int, state: int, since: float, size: float
    ) -> None:
        """See `ServerHandle.update_endpoint`."""
        arguments = (zone, cell, build, state, since, size)
        self.recorder.record(
            ENDPOINT_UPDATED, (self.number, *arguments), self.real.update_endpoint, *arguments
        )

    def health_check_finished(self, elapsed: float, outcome: AttemptOutcome, report: Sequence[float]) -> None:
        """See `ServerHandle.health_check_finished`."""
        values = (self.number, elapsed, int(outcome), tuple(report))
        call = self.real.health_check_finished
        self.recorder.record(HEALTH_CHECK_FINISHED, values, call, elapsed, outcome, report)

    def answer_disputed(self, request_class: int, since: float) -> None:
        """See `ServerHandle.answer_disputed`."""
        values = (self.number, request_class, since)
        self.recorder.record(ANSWER_DISPUTED, values, self.real.answer_disputed, request_class, since)


class RecordedRequest:
    """The handle of a request that the host uses."""

    __slots__ = ("number", "real", "recorder")

    def __init__(self, recorder: EventRecorder, real: RequestHandle) -> None:
        self.recorder = recorder
        self.real = real
        self.number = real.number

    @property
    def rejection_reason(self) -> RejectionReason | None:
        """See `RequestHandle.rejection_reason`."""
        return self.real.rejection_reason

    def finished(self) -> bool:
        """See `RequestHandle.finished`."""
        return self.real.finished()

    def attempt_ended(
        self, attempt: int, outcome: AttemptOutcome, final: bool, elapsed: float, report: Sequence[float]
    ) -> None:
        """See `RequestHandle.attempt_ended`."""
        values = (self.number, attempt, int(outcome), final, elapsed, tuple(report))
        call = self.real.attempt_ended
        self.recorder.record(ATTEMPT_ENDED, values, call, attempt, outcome, final, elapsed, report)
        self.recorder.forget_if_finished(self)

    def attempt_still_allowed(self, attempt: int) -> bool:
        """See `RequestHandle.attempt_still_allowed`. Not recorded, because it changes no router state."""
        return self.real.attempt_still_allowed(attempt)

    def client_disconnected(self) -> None:
        """See `RequestHandle.client_disconnected`."""
        self.recorder.record(CLIENT_DISCONNECTED, (self.number,), self.real.client_disconnected)
        self.recorder.forget_if_finished(self)
