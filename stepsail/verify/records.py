"""What a transcript tells, as records: requests, attempts, notifications, and stretches of time."""

from __future__ import annotations

from dataclasses import dataclass, field

from stepsail.verify.transcript_names import Line

FOREVER = float("inf")
DELIVERY_SLACK = (
    0.15  # s that a message between this machine's processes may take, a busy event loop included
)


class InvalidTranscript(Exception):
    """A transcript that cannot be judged; the message names the line and the fault."""


@dataclass
class Attempt:
    """One attempt as its server saw it; `ended_at` is infinite while the server works on it."""

    line: Line
    instance: int
    server: str
    zone: str
    build: int
    request_class: str
    sent_at: float
    ended_at: float = FOREVER
    rejected: bool = False

    @property
    def request_id(self) -> str:
        """The request that the attempt belongs to."""
        return str(self.line["id"])


@dataclass
class Request:
    """One request of a client to one instance, with its answers and attempts."""

    line: Line
    instance: int
    request_class: str
    sent_at: float
    deadline: float
    answers: list[Line] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Notifications:
    """What one instance was notified of, in order of time."""

    release_states: list[Line] = field(default_factory=list)
    endpoint_lists: list[Line] = field(default_factory=list)


@dataclass
class Interval:
    """A stretch of time with both ends included; `delay` is what a slow link adds during it."""

    start: float
    end: float = FOREVER
    delay: float = 0.0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the two stretches share a moment."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True)
class ReleaseNotification:
    """A release state sent to an instance, and what is known of its arrival."""

    line: Line
    received_by: float | None  # when it had surely arrived; None where that is not known
    may_have_arrived: bool
    may_have_arrived_at: float  # the earliest; an instance that was stopped meanwhile may have read it before
