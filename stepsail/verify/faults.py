"""Faults injected during a run: processes down or stopped, servers stalled, links cut or slow."""

from __future__ import annotations

from collections.abc import Iterable

from stepsail.verify.records import FOREVER, Interval
from stepsail.verify.transcript_names import InstanceEvent, Line, LinkEvent

DOWN_EVENTS = frozenset({InstanceEvent.KILLED, InstanceEvent.ENDED})
RESUMED_EVENTS = frozenset({InstanceEvent.CONTINUED, InstanceEvent.KILLED})
SLOWNESS_EVENTS = frozenset({LinkEvent.SLOW, LinkEvent.NORMAL_SPEED})
LINK_FAULT_EVENTS = frozenset({LinkEvent.CUT, LinkEvent.SLOW})
# Fields that are equal in the lines of a partition's start and of its end.
PARTITION_FIELDS = ("umpires", "to", "says", "hears")


def _end_last_interval(intervals: list[Interval], at: float) -> None:
    """End the last of these intervals, unless it has ended already."""
    if intervals and intervals[-1].end == FOREVER:
        intervals[-1].end = at


class InjectedFaults:
    """The intervals of each kind of fault, with queries on them."""

    def __init__(self) -> None:
        self.stalls: dict[str, list[Interval]] = {}  # by server
        self._down: dict[int, list[Interval]] = {}  # by instance, from the process's end to its next start
        self._stopped: dict[int, list[Interval]] = {}  # by instance
        self._cuts: dict[str, list[Interval]] = {}  # by zone
        self._slow: dict[str, list[Interval]] = {}  # by zone
        self._partitions: list[tuple[Line, Interval]] = []  # instances cut off from some services

    def record_stall(self, server: str, start: float, duration: float) -> None:
        """Record that a server was stalled for `duration` seconds, without answering."""
        self.stalls.setdefault(server, []).append(Interval(start, start + duration))

    def record_instance_event(self, line: Line, at: float, event: str) -> None:
        """Record the start, end, stop or continuation of an instance's process."""
        down = self._down.setdefault(line["umpire"], [])
        stopped = self._stopped.setdefault(line["umpire"], [])
        if event in DOWN_EVENTS:
            down.append(Interval(at))
        elif event == InstanceEvent.STARTED:
            _end_last_interval(down, at)
        if event == InstanceEvent.STOPPED:
            stopped.append(Interval(at))
        elif event in RESUMED_EVENTS:
            _end_last_interval(stopped, at)

    def record_link_event(self, line: Line, at: float, event: str) -> None:
        """Record the start or the end of a link fault."""
        if event == LinkEvent.PARTITIONED:
            self._partitions.append((line, Interval(at)))
        elif event == LinkEvent.REJOINED:
            self._end_partition(line, at)
        else:
            by_zone = self._slow if event in SLOWNESS_EVENTS else self._cuts
            intervals = by_zone.setdefault(line["zone"], [])
            if event in LINK_FAULT_EVENTS:
                intervals.append(Interval(at, delay=float(line.get("delay", 0.0))))
            elif intervals:
                intervals[-1].end = at

    def _end_partition(self, line: Line, at: float) -> None:
        for other, interval in self._partitions:
            if interval.end == FOREVER and all(other[name] == line[name] for name in PARTITION_FIELDS):
                interval.end = at

    def was_down(self, instance: int, start: float, end: float) -> bool:
        """Whether the instance had no running process at some moment of this interval."""
        return any(interval.overlaps(start, end) for interval in self._down.get(instance, []))

    def was_stopped(self, instance: int, start: float, end: float) -> bool:
        """Whether the instance's process was stopped (SIGSTOP) at some moment of this interval."""
        return any(interval.overlaps(start, end) for interval in self._stopped.get(instance, []))

    def resumed_at(self, instance: int, at: float, slack: float) -> float | None:
        """Return when an instance that was stopped at the time `at` continued.

        Args:
            instance: The instance.
            at: The time in question.
            slack: Seconds after `at` within which the start of a stop still counts.

        Returns:
            The time at which it continued, or None if it was not stopped or never continued.
        """
        end_times = [
            interval.end
            for interval in self._stopped.get(instance, [])
            if interval.start - slack <= at <= interval.end < FOREVER
        ]
        return max(end_times, default=None)

    def was_stalled(self, server: str, start: float, end: float) -> bool:
        """Whether the server was stalled at some moment of this interval."""
        return any(interval.overlaps(start, end) for interval in self.stalls.get(server, []))

    def was_cut(self, zones: Iterable[str], start: float, end: float) -> bool:
        """Whether the link between two zones was cut in this interval; links within a zone are never cut."""
        distinct_zones = set(zones)
        return len(distinct_zones) > 1 and any(
            interval.overlaps(start, end) for zone in distinct_zones for interval in self._cuts.get(zone, [])
        )

    def was_partitioned(
        self, instance: int, service: str, start: float, end: float, *, inbound: bool = False
    ) -> bool:
        """Whether an instance was cut off from a service during this interval.

        Args:
            instance: The instance.
            service: The service, by its name in the transcript.
            start: The start of the interval.
            end: The end of the interval.
            inbound: Whether to count only partitions that drop messages from the service to the instance.
        """
        return any(
            instance in line["umpires"]
            and service in line["to"]
            and (line["hears"] or not inbound)
            and interval.overlaps(start, end)
            for line, interval in self._partitions
        )

    def extra_delay(self, zones: Iterable[str], at: float) -> float:
        """Return the seconds that slow links added to the delay of a message between two zones at `at`."""
        distinct_zones = set(zones)
        if len(distinct_zones) == 1:
            return 0.0
        delays = (
            interval.delay
            for zone in distinct_zones
            for interval in self._slow.get(zone, [])
            if interval.overlaps(at - interval.delay, at)
        )
        return max(delays, default=0.0)
