"""Checks the guarantees of the membership protocol, from the instances' logs and the injected faults.

The checks share no code with the membership itself. The times `complete`, `stop` and `settle` come from the
transcript.

- Completeness: `complete` seconds after a process has ended, no process that was running during that time
  lists it as present.
- Accuracy: no process that runs and is connected is listed as gone, while less than a third of the datagrams
  is lost and stops last no longer than `stop` seconds.
- Settling: `settle` seconds after the last fault the views of all processes are correct and equal, and stay
  so until the next fault.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from stepsail.verify.membership_history import (
    PRESENT_STATES,
    InstanceProcess,
    MemberChange,
    MembershipHistory,
    read_membership_history,
)
from stepsail.verify.records import FOREVER

LOG_SLACK = 0.5  # s by which a log line or a signal may be late on a busy machine
CLOCK_RESOLUTION = 1e-6  # s


class Guarantee(StrEnum):
    """The guarantees of the membership protocol."""

    COMPLETENESS = "completeness"
    ACCURACY = "accuracy"
    SETTLING = "settling"


@dataclass(frozen=True)
class MembershipViolation:
    """One violation of a guarantee, at one instance."""

    guarantee: Guarantee
    at: float
    instance: int
    message: str

    def __str__(self) -> str:
        return f"{self.guarantee} at {self.at:.3f}, instance {self.instance}: {self.message}"


class MembershipChecker:
    """Checks one run; `check_counts` is the number of checks made of each guarantee."""

    def __init__(self, history: MembershipHistory) -> None:
        self.history = history
        self.check_counts: Counter[str] = Counter()

    def violations(self) -> list[MembershipViolation]:
        """Return all violations, in the order of the guarantees."""
        return [*self._check_completeness(), *self._check_accuracy(), *self._check_settling()]

    def _had_excessive_faults(self, start: float, end: float) -> bool:
        """Whether network faults exceeded those under which completeness and accuracy are guaranteed."""
        faults = self.history.cuts + self.history.excessive_faults
        return any(fault.overlaps(start, end) for fault in faults)

    def _check_completeness(self) -> Iterator[MembershipViolation]:
        for ended_process in self.history.processes:
            detection_deadline = ended_process.ended_at + self.history.settings["complete"] + LOG_SLACK
            if detection_deadline > self.history.ended_at or self._had_excessive_faults(
                ended_process.ended_at, detection_deadline
            ):
                continue
            start_time = ended_process.start_time_at(FOREVER)
            observers = [
                process
                for process in self.history.processes
                if process.instance != ended_process.instance
                and process.was_running(ended_process.ended_at, detection_deadline)
            ]
            self.check_counts[Guarantee.COMPLETENESS.value] += len(observers)
            for process in observers:
                if process.view_at(detection_deadline).get(ended_process.instance) == start_time:
                    yield MembershipViolation(
                        Guarantee.COMPLETENESS,
                        detection_deadline,
                        process.instance,
                        f"lists instance {ended_process.instance} as present, "
                        f"although it ended at {ended_process.ended_at:.3f}",
                    )

    def _check_accuracy(self) -> Iterator[MembershipViolation]:
        for process in self.history.processes:
            for change in process.changes:
                if change.state in PRESENT_STATES or change.at > self.history.ended_at:
                    continue
                self.check_counts[Guarantee.ACCURACY.value] += 1
                for other in self.history.processes:
                    if self._is_false_positive(process, change, other):
                        yield MembershipViolation(
                            Guarantee.ACCURACY,
                            change.at,
                            process.instance,
                            f"lists instance {change.member} as {change.state}, "
                            f"although it is running ({change.reason})",
                        )

    def _is_false_positive(
        self, process: InstanceProcess, change: MemberChange, other: InstanceProcess
    ) -> bool:
        """Whether the change declares `other` gone although both processes were running and connected."""
        since = change.at - self.history.settings["settle"]
        longest_stop = self.history.settings["stop"]
        return (
            other.instance == change.member
            and other.start_time_at(change.at) == change.start_time
            and other.was_running(max(other.started_at, since), change.at, longest_stop)
            and process.was_running(max(process.started_at, since), change.at, longest_stop)
            and not self._had_excessive_faults(since, change.at)
        )

    def _check_settling(self) -> Iterator[MembershipViolation]:
        times = sorted(set(self.history.fault_times))
        for last_fault, next_fault in zip(times, [*times[1:], FOREVER], strict=True):
            start = last_fault + self.history.settings["settle"] + LOG_SLACK
            end = min(next_fault, self.history.ended_at)
            after_fault = last_fault + CLOCK_RESOLUTION
            if start <= end and not any(fault.overlaps(after_fault, end) for fault in self.history.unsettled):
                yield from self._check_views(last_fault, start, end)

    def _check_views(self, last_fault: float, start: float, end: float) -> Iterator[MembershipViolation]:
        """Report each process whose view is wrong at the interval's start or after a change within it."""
        live_processes = [
            process
            for process in self.history.processes
            if process.started_at <= last_fault < process.ended_at
            and process.shutdown_requested_at > last_fault
        ]
        expected_view = {process.instance: process.start_time_at(start) for process in live_processes}
        self.check_counts[Guarantee.SETTLING.value] += len(live_processes)
        for process in live_processes:
            times = (start, *(change.at for change in process.changes if start < change.at < end))
            wrong_at = next((at for at in times if process.view_at(at) != expected_view), None)
            if wrong_at is not None:
                view = process.view_at(wrong_at)
                missing = sorted(expected_view.keys() - view.keys())
                unexpected = sorted(view.keys() - expected_view.keys())
                yield MembershipViolation(
                    Guarantee.SETTLING,
                    wrong_at,
                    process.instance,
                    f"the last fault was at {last_fault:.3f}; missing "
                    f"{missing}, unexpected {unexpected}, {len(view)} of {len(expected_view)} members listed",
                )


def read_membership_checker(folder: Path) -> MembershipChecker:
    """Return a checker of the run in this folder; raises the same errors as `read_membership_history`."""
    return MembershipChecker(read_membership_history(folder))
