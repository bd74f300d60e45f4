"""A transcript in order: requests, attempts, notifications, and the faults during them."""

from __future__ import annotations

import bisect
import json
from collections.abc import Iterable
from pathlib import Path

from stepsail.verify.faults import InjectedFaults
from stepsail.verify.records import (
    DELIVERY_SLACK,
    FOREVER,
    Attempt,
    InvalidTranscript,
    Notifications,
    ReleaseNotification,
    Request,
)
from stepsail.verify.run_settings import RunSettings
from stepsail.verify.transcript_names import (
    ATTEMPT_ENDS,
    ClientEvent,
    DiscoveryEvent,
    Line,
    ReleaseEvent,
    RunEvent,
    ServerEvent,
    Source,
)

ANSWER_EVENTS = frozenset({ClientEvent.ANSWER, ClientEvent.EXTRA_ANSWER, ClientEvent.LATE_ANSWER})


class History:
    """All that a transcript tells.

    Raises:
        InvalidTranscript: A line lacks what every line of its kind has, its time is before the line above it,
            or there is no line of settings.
    """

    def __init__(self, lines: Iterable[Line]) -> None:
        self.lines = list(lines)
        self.facts: Line = {}
        self.faults = InjectedFaults()
        self.requests: dict[str, Request] = {}
        self.attempts: list[Attempt] = []
        self.notifications: dict[int, Notifications] = {}  # by instance
        self.server_starts: dict[str, Line] = {}
        self.server_ends: dict[str, float] = {}
        self.unmatched_answers: list[Line] = []
        self._open_attempts: dict[tuple[str, str], list[Attempt]] = {}  # by server and request
        self._release_notifications: dict[int, list[ReleaseNotification]] = {}
        self._read()
        if not self.facts:
            raise InvalidTranscript("no facts of the day: is this a whole transcript?")
        self.settings = RunSettings(self.facts)
        self._match_attempts()
        for instance, told in self.notifications.items():
            told.release_states = [self._delivered(instance, line) for line in told.release_states]
            told.endpoint_lists = [self._delivered(instance, line) for line in told.endpoint_lists]

    # Reading

    def _read(self) -> None:
        previous = -FOREVER
        for number, line in enumerate(self.lines, 1):
            try:
                at = float(line["t"])
                source = str(line["at"])
                event = str(line["what"])
                if at < previous:
                    raise InvalidTranscript(f"line {number}: its time is before the line above it")
                previous = at
                self._read_line(line, at, source, event)
            except (KeyError, TypeError, ValueError) as error:
                raise InvalidTranscript(f"line {number}: {type(error).__name__} {error}") from None

    def _read_line(self, line: Line, at: float, source: str, event: str) -> None:
        match source:
            case Source.RUN if event == RunEvent.SETTINGS:
                self.facts = line
            case Source.CLIENT:
                self._read_client_line(line, at, event)
            case Source.SERVER:
                self._read_server_line(line, at, event)
            case Source.RELEASE_CONTROL if event == ReleaseEvent.NOTIFIED:
                self._notifications_of(line["umpire"]).release_states.append(line)
            case Source.DISCOVERY if event == DiscoveryEvent.NOTIFIED:
                self._notifications_of(line["umpire"]).endpoint_lists.append(line)
            case Source.INSTANCE:
                self.faults.record_instance_event(line, at, event)
            case Source.LINK:
                self.faults.record_link_event(line, at, event)

    def _notifications_of(self, instance: int) -> Notifications:
        return self.notifications.setdefault(instance, Notifications())

    def _read_client_line(self, line: Line, at: float, event: str) -> None:
        if event == ClientEvent.SENT:
            self.requests[line["id"]] = Request(
                line, line["umpire"], line["product"], at, deadline=float(line["until"])
            )
        elif event in ANSWER_EVENTS:
            request = self.requests.get(line["id"])
            if request is None:
                self.unmatched_answers.append(line)
            else:
                request.answers.append(line)

    def _read_server_line(self, line: Line, at: float, event: str) -> None:
        server = line["box"]
        if event == ServerEvent.STARTED:
            self.server_starts[server] = line
        elif event == ServerEvent.ENDED:
            self.server_ends[server] = at
            self._end_open_attempts(server, at)
        elif event == ServerEvent.STALLED:
            self.faults.record_stall(server, at, line["seconds"])
        elif event == ServerEvent.ATTEMPT:
            attempt = Attempt(line, line["umpire"], server, line["zone"], line["build"], line["product"], at)
            self.attempts.append(attempt)
            self._open_attempts.setdefault((server, line["id"]), []).append(attempt)
        elif event in ATTEMPT_ENDS:
            waiting = self._open_attempts.get((server, line["id"]), [])
            if waiting:
                attempt = waiting.pop(0)
                attempt.ended_at = at
                attempt.rejected = event == ServerEvent.REJECTED

    def _end_open_attempts(self, server: str, at: float) -> None:
        for (name, _), waiting in self._open_attempts.items():
            if name == server:
                for attempt in waiting:
                    attempt.ended_at = at

    def _match_attempts(self) -> None:
        """Give each attempt to its request, and estimate when it was sent.

        Servers report when an attempt arrived. Over a slow link it was sent earlier, but not before its client
        had sent the request.
        """
        for attempt in self.attempts:
            request = self.requests.get(attempt.line["id"])
            requested_at = 0.0
            if request is not None:
                request.attempts.append(attempt)
                requested_at = request.sent_at
            arrived_at = attempt.sent_at
            delay = self.faults.extra_delay((self.zone_of(attempt.instance), attempt.zone), arrived_at)
            attempt.sent_at = min(arrived_at, max(requested_at, arrived_at - delay))

    def _delivered(self, instance: int, line: Line) -> Line:
        """Date what was sent to a stopped instance by when the instance went on: only then it could read it."""
        resumed_at = self.faults.resumed_at(instance, line["t"], DELIVERY_SLACK)
        if resumed_at is None:
            return line
        return {**line, "t": resumed_at, "said": line["t"]}

    # Zones

    @property
    def control_zone(self) -> str:
        """The zone in which release control and endpoint discovery run."""
        return self.settings.control_zone

    def zone_of(self, instance: int) -> str:
        """The zone of an instance; empty for a number that is not in the settings."""
        zones = self.settings.instance_zones
        return zones[instance] if 0 <= instance < len(zones) else ""

    # Notifications

    def endpoint_lists(self, instance: int) -> list[Line]:
        """The endpoint lists sent to an instance, in order."""
        return self.notifications.get(instance, Notifications()).endpoint_lists

    def release_states(self, instance: int) -> list[Line]:
        """The release states sent to an instance, in order."""
        return self.notifications.get(instance, Notifications()).release_states

    def release_notifications(self, instance: int) -> list[ReleaseNotification]:
        """The release states sent to an instance, with what is known of their arrival."""
        known = self._release_notifications.get(instance)
        if known is None:
            states = self.release_states(instance)
            known = [
                ReleaseNotification(
                    line,
                    self.received_by(instance, line, states),
                    self._may_have_arrived(instance, line),
                    self._earliest_arrival(instance, line),
                )
                for line in states
            ]
            self._release_notifications[instance] = known
        return known

    def release_state_at(self, instance: int, at: float) -> Line | None:
        """The latest release state that this instance was sent by then."""
        states = self.release_states(instance)
        place = bisect.bisect_right(states, at, key=lambda line: float(line["t"]))
        return states[place - 1] if place else None

    def received_by(self, instance: int, line: Line, lines: list[Line]) -> float | None:
        """When a notification had surely arrived, or None where that is not known.

        Over a slow link, which also loses messages, it has arrived once the instance asks for what follows it.
        `lines` are all notifications of this kind to the instance.
        """
        if self.was_lost(instance, line):
            return None
        sent_at = float(line["t"])
        zones = (self.zone_of(instance), self.control_zone)
        if not self.faults.extra_delay(zones, sent_at + DELIVERY_SLACK) or "seq" not in line:
            return sent_at
        confirmations = (
            float(other["t"])
            for other in lines
            if other["t"] > sent_at and other.get("after", -1) >= line["seq"]
        )
        return next(confirmations, None)

    def was_lost(self, instance: int, line: Line) -> bool:
        """Whether a notification may have been lost: a link was cut, or the instance down, around its time."""
        at = line["t"]
        start = at - DELIVERY_SLACK
        end = at + DELIVERY_SLACK
        return (
            self.faults.was_cut((self.zone_of(instance), self.control_zone), start, end)
            or self.faults.was_partitioned(instance, line["at"], start, end, inbound=True)
            or self.faults.was_down(instance, at, end)
        )

    def _may_have_arrived(self, instance: int, line: Line) -> bool:
        """Whether the instance can have received it when it was sent.

        One that was killed or stopped within the slack after that may have acted on it before.
        """
        at = self._earliest_arrival(instance, line)
        return not (
            self.faults.was_down(instance, at, at)
            or self.faults.was_cut((self.zone_of(instance), self.control_zone), at, at)
            or self.faults.was_partitioned(instance, line["at"], at, at, inbound=True)
        )

    def _earliest_arrival(self, instance: int, line: Line) -> float:
        """When a notification was sent, or when the instance went on, if it stood still as it was sent."""
        sent_at = float(line.get("said", line["t"]))
        return float(line["t"]) if self.faults.was_stopped(instance, sent_at, sent_at) else sent_at

    def was_read_late(self, attempt: Attempt, since: float) -> bool:
        """Whether the server stalled between that moment and the attempt, and so read late what came in time."""
        return self.faults.was_stalled(attempt.server, since - DELIVERY_SLACK, attempt.sent_at)


def read_history(file: Path) -> History:
    """Read a transcript.

    Raises:
        OSError: The file cannot be read.
        InvalidTranscript: A line is no JSON, or the lines make no transcript.
    """
    lines = []
    with file.open("rb") as source:
        for number, raw in enumerate(source, 1):
            try:
                lines.append(json.loads(raw))
            except ValueError:
                raise InvalidTranscript(f"{file}:{number}: not JSON; a torn line?") from None
    return History(lines)
