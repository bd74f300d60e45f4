"""Implements a cursor that moves through a capture in both directions, independently of the terminal.

It moves forward by replaying entries, and backward by replaying them from an earlier snapshot.
"""

from __future__ import annotations

from types import ModuleType

from stepsail.capture.blocks import Segment
from stepsail.capture.entries import Command, Entry, Event, entry_lines
from stepsail.capture.explain import Row, admission_lines, canary_lines, server_rows
from stepsail.capture.folder import entries_of
from stepsail.capture.replay import ReplayError, captured_settings
from stepsail.capture.replay_host import ReplayHost

# Initial number of entries between cached snapshots. A step back replays at most as many entries.
SNAPSHOT_INTERVAL = 500
# Beyond this number, every second cached snapshot is discarded and the interval between them is doubled.
MAX_CACHED_SNAPSHOTS = 200
DECISION_COMMANDS = (
    Command.SEND_ATTEMPT,
    Command.REJECT,
    Command.FAIL,
    Command.CANCEL_ATTEMPT,
    Command.CAST_VOTE,
)


class CaptureCursor:
    """Holds a position in consecutive segments of a capture, and the router's state at that position.

    Positions are counted from 0 at the first entry of the segments.

    Attributes:
        module: The decision module that replays the entries.
        entries: All entries of the segments.
        first_number: Number of the first entry in the capture.
        settings: The router's settings, from the header of the first segment.
        initial_snapshot: Snapshot at the start of the first segment; None if it begins with the router's
            start.
        cached_snapshots: Snapshots of the replay host, by position.
        snapshot_interval: Number of entries between cached snapshots.
        differing_positions: Positions of entries whose commands or error differed in the replay.
        position: Position of the next entry to replay.
        replay_host: Host of the router, in the state before the next entry.
    """

    def __init__(self, segments: list[Segment], module: ModuleType) -> None:
        self.module = module
        self.entries: list[Entry] = [entry for _, entry in entries_of(segments)]
        if not self.entries:
            raise ReplayError("the capture contains no entries")
        self.first_number = int(segments[0].meta["first"])
        self.settings = captured_settings(segments[0].meta)
        self.initial_snapshot = segments[0].snapshot()
        if self.initial_snapshot is None and self.entries[0].kind != Event.STARTED:
            raise ReplayError("the capture begins with neither a start nor a snapshot")
        self.cached_snapshots: dict[int, bytes] = {}
        self.snapshot_interval = SNAPSHOT_INTERVAL
        self.differing_positions: set[int] = set()
        self._restart()

    def _restart(self) -> None:
        self.position = 0
        self.replay_host = ReplayHost(self.module, self.settings)
        if self.initial_snapshot is not None:
            self.replay_host.restore(self.initial_snapshot)

    def seek(self, target: int) -> None:
        """Move to a position, or to the first or last possible one if `target` is out of range."""
        target = max(0, min(len(self.entries), target))
        if target < self.position:
            earlier = max(
                (position for position in self.cached_snapshots if position <= target), default=None
            )
            if earlier is None:
                self._restart()
            else:
                self.position = earlier
                self.replay_host = ReplayHost(self.module, self.settings)
                self.replay_host.restore(self.cached_snapshots[earlier])
        while self.position < target:
            if (
                self.position
                and self.position % self.snapshot_interval == 0
                and self.position not in self.cached_snapshots
                and self.replay_host.router is not None
            ):
                self._cache_snapshot()
            entry = self.entries[self.position]
            response = self.replay_host.feed(entry)
            expected = (list(map(list, entry.commands)), entry.error)
            if (list(map(list, response.commands)), response.error) != expected:
                self.differing_positions.add(self.position)
            self.position += 1

    def _cache_snapshot(self) -> None:
        self.cached_snapshots[self.position] = self.replay_host.snapshot()
        if len(self.cached_snapshots) > MAX_CACHED_SNAPSHOTS:
            self.snapshot_interval *= 2
            self.cached_snapshots = {
                position: snapshot
                for position, snapshot in self.cached_snapshots.items()
                if position % self.snapshot_interval == 0
            }

    def next_decision(self, forward: bool = True) -> int:
        """Return the position of the nearest entry in that direction with a decision on a request or a vote.

        Without such an entry, return the last position of that direction.
        """
        positions = (
            range(self.position + 1, len(self.entries)) if forward else range(self.position - 1, -1, -1)
        )
        decision_codes = [int(command) for command in DECISION_COMMANDS]
        return next(
            (
                position
                for position in positions
                if any(command[0] in decision_codes for command in self.entries[position].commands)
            ),
            len(self.entries) - 1 if forward else 0,
        )

    # Contents of the screen

    def clock(self) -> float:
        """Return the instance's clock reading at the next entry (s), or at the last entry at the end."""
        return self.entries[min(self.position, len(self.entries) - 1)].clock

    def server_addresses(self) -> list[str]:
        """Return the servers' addresses, in the order in which the servers were added."""
        return [server.address.decode("latin-1") for server in self.replay_host.servers]

    def summary_line(self, position: int) -> str:
        """Return an entry on one line, with the commands it led to; "!" marks a difference in the replay."""
        entry = self.entries[position]
        text = entry_lines(entry, self.server_addresses())[0]
        commands = [
            Command(command[0]).name.lower() for command in entry.commands if command[0] != Command.CALL_LATER
        ]
        mark = "!" if position in self.differing_positions else " "
        return f"{mark}{self.first_number + position:>7} {text}" + (
            f"  -> {', '.join(commands)}" if commands else ""
        )

    def detail(self) -> list[str]:
        """Return all lines of the next entry."""
        return (
            entry_lines(self.entries[self.position], self.server_addresses())
            if self.position < len(self.entries)
            else ["end of the capture"]
        )

    def server_table(self) -> list[Row]:
        """Return the router's view of the servers as a header row and a row for each server.

        The table is empty if the router has not started yet.
        """
        self.replay_host.clock = self.clock()
        return server_rows(self.replay_host) if self.replay_host.router is not None else []

    def evidence(self) -> list[str]:
        """Return lines that describe the state of admission and the evidence on the canary."""
        if self.replay_host.router is None:
            return ["the router has not started yet"]
        self.replay_host.clock = self.clock()
        return [*admission_lines(self.replay_host), *canary_lines(self.replay_host)]
