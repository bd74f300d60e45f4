"""Feeds captured events to a router, and compares its commands with the captured ones.

A replay does no I/O, and its clock shows the times in the capture.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from types import ModuleType
from typing import Any

from stepsail.capture.entries import ENCODER, Entry, Event, entry_lines
from stepsail.capture.replay_host import ReplayHost, Response
from stepsail.capture.stored_names import read_settings
from stepsail.decisions.interface import RouterSettings

# Number of entries before a difference that are shown with it as context.
ENTRIES_BEFORE_DIFFERENCE = 12

# A function that is called with the number of an entry before the entry is fed to the router.
Observer = Callable[[int, Entry, ReplayHost], None]


class ReplayError(Exception):
    """A capture cannot be replayed because its beginning or entries in between are missing."""


@dataclass
class Difference:
    """An entry as captured and as replayed, with the entries before it."""

    number: int
    captured: Entry
    replayed: Entry
    before: list[tuple[int, Entry]]

    def lines(self, servers: list[str]) -> list[str]:
        """Format as lines: earlier entries, then the difference.

        `servers` is the list of server addresses; its index is the server number.
        """
        before = [
            f"  {number}: {line}" for number, entry in self.before for line in entry_lines(entry, servers)
        ]
        captured = ["  " + line for line in entry_lines(self.captured, servers)]
        replayed = ["  " + line for line in entry_lines(self.replayed, servers)[1:]]
        return [
            *before,
            f"entry {self.number} as captured:",
            *captured,
            "as replayed:",
            *(replayed or ["  (no commands)"]),
        ]


@dataclass
class ReplayResult:
    """The number of entries fed in a replay, how many differed from the capture, and the first difference."""

    host: ReplayHost
    entries: int = 0
    differing: int = 0
    first_difference: Difference | None = None
    event_counts: dict[str, int] = field(default_factory=dict)  # number of events of each name

    def count_entry(self, entry: Entry) -> None:
        """Count an entry that was fed."""
        name = Event(entry.kind).name.lower()
        self.entries += 1
        self.event_counts[name] = self.event_counts.get(name, 0) + 1

    def add_difference(self, difference: Difference) -> None:
        """Count a difference, and keep it if it is the first."""
        self.differing += 1
        if self.first_difference is None:
            self.first_difference = difference


def captured_settings(meta: dict[str, Any]) -> RouterSettings:
    """Return the router's settings from a segment's header."""
    return read_settings(meta["charter"])


def replay(
    meta: dict[str, Any],
    snapshot: bytes | None,
    entries: Iterable[tuple[int, Entry]],
    module: ModuleType,
    until: float | None = None,
    continue_after_difference: bool = False,
    observer: Observer | None = None,
) -> ReplayResult:
    """Feed entries to a router and compare its commands with the captured ones.

    Args:
        meta: Header of the first segment.
        snapshot: Snapshot at the start of the first segment, if it has one.
        entries: The entries with their numbers.
        module: The build of the decision module whose router is replayed.
        until: Reading of the instance's clock after which to stop.
        continue_after_difference: Whether to continue after the first difference.
        observer: Called before each entry is fed.

    Raises:
        ReplayError: Entries are missing, at the start or in between.
        SnapshotError: The snapshot does not fit the module.
    """
    host = ReplayHost(module, captured_settings(meta))
    result = ReplayResult(host)
    before: deque[tuple[int, Entry]] = deque(maxlen=ENTRIES_BEFORE_DIFFERENCE)
    if snapshot is not None:
        host.restore(snapshot)
    expected: int | None = None
    for number, entry in entries:
        _check_follows(host, number, entry, expected)
        expected = number + 1
        if until is not None and entry.clock > until:
            break
        if observer:
            observer(number, entry, host)
        response = host.feed(entry)
        result.count_entry(entry)
        if not _matches(response, entry):
            replayed = entry._replace(commands=response.commands, error=response.error)
            result.add_difference(Difference(number, entry, replayed, list(before)))
            if not continue_after_difference:
                break
        before.append((number, entry))
    return result


def _check_follows(host: ReplayHost, number: int, entry: Entry, expected: int | None) -> None:
    """Raise ReplayError if an entry cannot be fed next because entries before it are missing."""
    if host.router is None and entry.kind != Event.STARTED:
        raise ReplayError(f"entry {number}: neither a start nor a snapshot precedes it")
    if expected is not None and number != expected:
        raise ReplayError(
            f"entries {expected} to {number - 1} are missing, so that the replay cannot continue"
        )


def _matches(response: Response, entry: Entry) -> bool:
    """Return whether a response equals the captured one.

    The encoded bytes are compared, because times must match to the last bit.
    """
    replayed = ENCODER.encode((response.commands, response.error))
    return replayed == ENCODER.encode((entry.commands, entry.error))
