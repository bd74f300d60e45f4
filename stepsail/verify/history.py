"""Reads a transcript into requests, attempts, notifications, and injected faults."""

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
    """The contents of a transcript, as records.

    Raises:
        InvalidTranscript: A line lacks a required field, its time is before that of the previous line, or the
            transcript has no settings line.
    """

    def __init__(self, lines: Iterable[Line]) -> None:
        self.lines = list(lines)
        self.settings_line: Line = {}
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
        if not self.settings_line:
            raise InvalidTranscript("no settings line: is the transcript complete?")
        self.settings = RunSettings(self.settings_line)
        self._match_attempts()
        for instance, notifications in self.notifications.items():
            notifications.release_states = [
                self._with_delivery_time(instance, line) for line in notifications.release_states
            ]
            notifications.endpoint_lists = [
                self._with_delivery_time(instance, line) for line in notifications.endpoint_lists
            ]

    # Reading

    def _read(self) -> None:
        previous = -FOREVER
        for number, line in enumerate(self.lines, 1):
            try:
                at = float(line["t"])
                source = str(line["at"])
                event = str(line["what"])
                if at < previous:
                    raise InvalidTranscript(f"line {number}: its time is before that of the previous line")
                previous = at
                self._read_line(line, at, source, event)
            except (KeyError, TypeError, ValueError) as error:
                raise InvalidTranscript(f"line {number}: {type(error).__name__} {error}") from None

    def _read_line(self, line: Line, at: float, source: str, event: str) -> None:
        match source:
            case Source.RUN if event == RunEvent.SETTINGS:
                self.settings_line = line
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
            open_attempts = self._open_attempts.get((server, line["id"]), [])
            if open_attempts:
                attempt = open_attempts.pop(0)
                attempt.ended_at = at
                attempt.rejected = event == ServerEvent.REJECTED

    def _end_open_attempts(self, server: str, at: float) -> None:
        for (name, _), open_attempts in self._open_attempts.items():
            if name == server:
                for attempt in open_attempts:
                    attempt.ended_at = at

    def _match_attempts(self) -> None:
        """Assign each attempt to its request, and estimate when the instance sent it.

        Servers report when an attempt arrived. Over a slow link it was sent earlier, by the link's delay,
        but not before the client sent the request.
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

    def _with_delivery_time(self, instance: int, line: Line) -> Line:
        """Return a notification with the time at which the instance could read it.

        An instance that was stopped can read a notification only after it continues. The line then gets that
        time as `t`, and the time of sending as `said`.
        """
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
        """The release states sent to an instance, with estimates of their arrival."""
        notifications = self._release_notifications.get(instance)
        if notifications is None:
            states = self.release_states(instance)
            notifications = [
                ReleaseNotification(
                    line,
                    self.received_by(instance, line, states),
                    self._may_have_arrived(instance, line),
                    self._earliest_arrival(instance, line),
                )
                for line in states
            ]
            self._release_notifications[instance] = notifications
        return notifications

    def release_state_at(self, instance: int, at: float) -> Line | None:
        """The latest release state that was sent to this instance up to the time `at`, or None."""
        states = self.release_states(instance)
        count = bisect.bisect_right(states, at, key=lambda line: float(line["t"]))
        return states[count - 1] if count else None

    def received_by(self, instance: int, line: Line, lines: list[Line]) -> float | None:
        """Return the time by which a notification had certainly arrived.

        A slow link also loses messages, so over such a link a notification counts as received once the
        instance requests the notifications that follow it.

        Args:
            instance: The instance that was notified.
            line: The notification.
            lines: All notifications of this kind to the instance.

        Returns:
            The time, or None if it cannot be determined.
        """
        if self.may_have_been_lost(instance, line):
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

    def may_have_been_lost(self, instance: int, line: Line) -> bool:
        """Whether a notification may have been lost: around its time a link was cut or the instance down."""
        at = line["t"]
        start = at - DELIVERY_SLACK
        end = at + DELIVERY_SLACK
        return (
            self.faults.was_cut((self.zone_of(instance), self.control_zone), start, end)
            or self.faults.was_partitioned(instance, line["at"], start, end, inbound=True)
            or self.faults.was_down(instance, at, end)
        )

    def _may_have_arrived(self, instance: int, line: Line) -> bool:
        """Whether a notification can have reached its instance.

        An instance that was killed or stopped within the delivery slack after the notification may have acted
        on it before that.
        """
        at = self._earliest_arrival(instance, line)
        return not (
            self.faults.was_down(instance, at, at)
            or self.faults.was_cut((self.zone_of(instance), self.control_zone), at, at)
            or self.faults.was_partitioned(instance, line["at"], at, at, inbound=True)
        )

    def _earliest_arrival(self, instance: int, line: Line) -> float:
        """When a notification was sent, or when the instance continued if it was stopped at that time."""
        sent_at = float(line.get("said", line["t"]))
        return float(line["t"]) if self.faults.was_stopped(instance, sent_at, sent_at) else sent_at

    def was_read_late(self, attempt: Attempt, since: float) -> bool:
        """Whether the server stalled between `since` and the attempt, and may thus have read it late."""
        return self.faults.was_stalled(attempt.server, since - DELIVERY_SLACK, attempt.sent_at)


def read_history(file: Path) -> History:
    """Read a transcript.

    Raises:
        OSError: The file cannot be read.
        InvalidTranscript: A line is not valid JSON, or the lines are not a complete transcript.
    """
    lines = []
    with file.open("rb") as stream:
        for number, raw_line in enumerate(stream, 1):
            try:
                lines.append(json.loads(raw_line))
            except ValueError:
                raise InvalidTranscript(f"{file}:{number}: not valid JSON; was the line cut off?") from None
    return History(lines)
