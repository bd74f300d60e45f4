"""Records built from a transcript: requests, attempts, notifications, and time intervals."""

from __future__ import annotations

from dataclasses import dataclass, field

from stepsail.verify.transcript_names import Line

FOREVER = float("inf")
# Seconds that a message between processes of one machine may take, including delays of a busy event loop.
DELIVERY_SLACK = 0.15


class InvalidTranscript(Exception):
    """The transcript cannot be checked; the message names the line and the error."""


@dataclass
class Attempt:
    """One attempt, as recorded by its server; `ended_at` is infinite if the server never ended it."""

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
    """One request from a client to one instance, with its answers and attempts."""

    line: Line
    instance: int
    request_class: str
    sent_at: float
    deadline: float
    answers: list[Line] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Notifications:
    """The notifications that were sent to one instance, in order of time."""

    release_states: list[Line] = field(default_factory=list)
    endpoint_lists: list[Line] = field(default_factory=list)


@dataclass
class Interval:
    """A closed time interval; `delay` is the latency in seconds that a slow link adds during it."""

    start: float
    end: float = FOREVER
    delay: float = 0.0

    def overlaps(self, start: float, end: float) -> bool:
        """Whether this interval has a moment in common with the one from `start` to `end`."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True)
class ReleaseNotification:
    """A release state that was sent to an instance, and when it may have arrived.

    Attributes:
        line: The line of the transcript.
        received_by: The time by which it had certainly arrived; None if that cannot be determined.
        may_have_arrived: Whether it can have arrived at all.
        may_have_arrived_at: The earliest possible arrival. If the instance was stopped shortly after the
            state was sent, this is the time of sending; `line` has the time at which the instance continued.
    """

    line: Line
    received_by: float | None
    may_have_arrived: bool
    may_have_arrived_at: float
