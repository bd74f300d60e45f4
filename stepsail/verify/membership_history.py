"""Reads the processes of a run, the faults between them, and the membership changes that each logged."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from stepsail.verify.records import FOREVER, Interval
from stepsail.verify.transcript_names import GossipEvent, InstanceEvent, Line, RunEvent, Source

# Names of the membership's log events: the current name, and the one in logs of earlier versions.
STARTED_EVENTS = ("membership_started", "view_begins")
CHANGED_EVENTS = ("member_changed", "member")

PRESENT_STATES = ("alive", "suspect")

# Completeness and accuracy are guaranteed up to this share of lost datagrams and this delay.
MAX_LOSS = 0.3
MAX_DELAY_S = 0.3
# Views need not settle while datagrams are delayed by more than this.
NOTICEABLE_DELAY_S = 0.01


class NoMembership(ValueError):
    """The run has no membership: its transcript contains no membership settings."""


@dataclass(frozen=True)
class MemberChange:
    """A change of another member's state, as logged by a process."""

    at: float
    member: int
    start_time: int  # ms; identifies the member's process
    state: str
    reason: str


@dataclass
class InstanceProcess:
    """One process of an instance, from its start to its end."""

    instance: int
    started_at: float
    ended_at: float = FOREVER
    shutdown_requested_at: float = FOREVER
    # Times of log lines, each with the start time (ms) that the line states.
    start_times: list[tuple[float, int]] = field(default_factory=list)
    stops: list[Interval] = field(default_factory=list)
    changes: list[MemberChange] = field(default_factory=list)

    def start_time_at(self, when: float) -> int | None:
        """The start time (ms) that identified this process to other instances at that moment."""
        return next((start for at, start in reversed(self.start_times) if at <= when), None)

    def view_at(self, when: float) -> dict[int, int]:
        """The members that this process listed as present, including itself: start time (ms) by instance."""
        view: dict[int, int] = {}
        for change in self.changes:
            if change.at > when:
                break
            if change.state in PRESENT_STATES:
                view[change.member] = change.start_time
            else:
                view.pop(change.member, None)
        own_start = self.start_time_at(when)
        if own_start is not None:
            view[self.instance] = own_start
        return view

    def was_running(self, start: float, end: float, longest_stop: float = 0.0) -> bool:
        """Whether the process ran throughout the interval, ignoring stops of up to `longest_stop` seconds."""
        if start > end or self.started_at > start or min(self.ended_at, self.shutdown_requested_at) < end:
            return False
        return all(
            stop.end < start or stop.start > end or stop.end - stop.start <= longest_stop
            for stop in self.stops
        )


class MembershipHistory:
    """The contents of one run's transcript and of its instances' logs.

    Raises:
        NoMembership: The run has no membership.
    """

    def __init__(self, lines: Iterable[Line], logs: dict[int, list[Line]]) -> None:
        self.processes: list[InstanceProcess] = []
        self.fault_times: list[float] = []  # of every event after which the views have to settle
        self.unsettled: list[Interval] = []  # stops, cuts, and faulty datagrams
        self.cuts: list[Interval] = []
        self.excessive_faults: list[Interval] = []  # more loss or delay than accuracy is guaranteed under
        self.ended_at = 0.0
        self.settings: dict[str, Any] = {}
        self._running: dict[int, InstanceProcess] = {}
        self._stopped_since: dict[int, float] = {}
        self._cut_since: dict[str, float] = {}
        self._faulty_since = FOREVER
        self._excessive_since = FOREVER
        self._read(lines)
        if not self.settings:
            raise NoMembership("the transcript contains no membership settings")
        for instance, log in logs.items():
            self._read_log(instance, log)

    def _read(self, lines: Iterable[Line]) -> None:
        for line in lines:
            at = line["t"]
            event = line["what"]
            self.ended_at = max(self.ended_at, at)
            match line["at"]:
                case Source.RUN if event == RunEvent.MEMBERSHIP_SETTINGS:
                    self.settings = line
                case Source.RUN if event == RunEvent.ENDING:
                    self.fault_times.append(at)  # all instances shut down from here on
                    break
                case Source.INSTANCE:
                    self.fault_times.append(at)
                    self._read_instance_event(line, at, event)
                case Source.GOSSIP if event in (GossipEvent.CUT, GossipEvent.HEALED):
                    self.fault_times.append(at)
                    self._read_cut(line, at, event)
                case Source.GOSSIP if event == GossipEvent.DATAGRAM_FAULTS:
                    self.fault_times.append(at)
                    self._read_datagram_faults(line, at)
        self._end_open_faults()

    def _read_instance_event(self, line: Line, at: float, event: str) -> None:
        instance = line["umpire"]
        process = self._running.get(instance)
        if event == InstanceEvent.STARTED:
            self._running[instance] = InstanceProcess(instance, at)
            self.processes.append(self._running[instance])
        elif process is None:
            return
        elif event == InstanceEvent.STOPPED:
            self._stopped_since.setdefault(instance, at)
        elif event == InstanceEvent.CONTINUED:
            self._end_stop(process, at)
        elif event == InstanceEvent.SHUTDOWN_REQUESTED:
            process.shutdown_requested_at = min(process.shutdown_requested_at, at)
        elif event in (InstanceEvent.KILLED, InstanceEvent.ENDED):
            process.ended_at = min(process.ended_at, at)
            self._end_stop(process, at)

    def _end_stop(self, process: InstanceProcess, at: float) -> None:
        if process.instance in self._stopped_since:
            process.stops.append(Interval(self._stopped_since.pop(process.instance), at))

    def _read_cut(self, line: Line, at: float, event: str) -> None:
        key = repr((line["side"], line.get("zone")))
        if event == GossipEvent.CUT:
            self._cut_since.setdefault(key, at)
        elif key in self._cut_since:
            self.cuts.append(Interval(self._cut_since.pop(key), at))

    def _read_datagram_faults(self, line: Line, at: float) -> None:
        is_faulty = (
            line["lose"] > 0 or line["twice"] > 0 or line["again"] > 0 or line["delay"] > NOTICEABLE_DELAY_S
        )
        is_excessive = line["lose"] > MAX_LOSS or line["delay"] > MAX_DELAY_S
        if is_faulty:
            self._faulty_since = min(self._faulty_since, at)
        elif self._faulty_since < FOREVER:
            self.unsettled.append(Interval(self._faulty_since, at))
            self._faulty_since = FOREVER
        if is_excessive:
            self._excessive_since = min(self._excessive_since, at)
        elif self._excessive_since < FOREVER:
            self.excessive_faults.append(Interval(self._excessive_since, at))
            self._excessive_since = FOREVER

    def _end_open_faults(self) -> None:
        """Extend faults that are still open at the end of the transcript to infinity."""
        for instance, since in self._stopped_since.items():
            self._running[instance].stops.append(Interval(since))
        self.cuts += [Interval(since) for since in self._cut_since.values()]
        if self._faulty_since < FOREVER:
            self.unsettled.append(Interval(self._faulty_since))
        if self._excessive_since < FOREVER:
            self.excessive_faults.append(Interval(self._excessive_since))
        self.unsettled += self.cuts
        self.unsettled += [stop for process in self.processes for stop in process.stops]

    def _read_log(self, instance: int, log: list[Line]) -> None:
        processes = [process for process in self.processes if process.instance == instance]
        for line in log:
            if line.get("event") not in (*STARTED_EVENTS, *CHANGED_EVENTS):
                continue
            at = line.get("at")  # logs of emulated instances use the transcript's clock
            if at is None:
                at = datetime.fromisoformat(line["timestamp"]).timestamp() - self.settings["wall"]
            # The transcript records the start of a process before the process can log anything.
            process = next((process for process in reversed(processes) if process.started_at <= at), None)
            if process is None:
                continue
            if line["event"] in STARTED_EVENTS or line["number"] == instance:
                process.start_times.append((at, line["start"]))
            else:
                state = line.get("state", line.get("now"))
                reason = line.get("reason", line.get("why"))
                process.changes.append(MemberChange(at, line["number"], line["start"], state, reason))


def read_membership_history(folder: Path) -> MembershipHistory:
    """Read the transcript and the instances' logs of one run.

    Raises:
        OSError: A file cannot be read.
        ValueError: A line is not valid JSON.
        NoMembership: The run has no membership.
    """
    transcript = (folder / "transcript.jsonl").read_text("utf-8")
    lines = [json.loads(line) for line in transcript.splitlines()]
    logs = {}
    for file in sorted(folder.glob("umpire-*.log")):
        rows = [line for line in file.read_text("utf-8", "replace").splitlines() if line.startswith("{")]
        instance = int(file.stem.split("-")[1])
        logs[instance] = [json.loads(row) for row in rows]
    return MembershipHistory(lines, logs)
