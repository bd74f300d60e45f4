"""A capture that can be walked in both directions: replay forward, and from kept states back. No terminal."""

from __future__ import annotations

from types import ModuleType

from stepsail.capture.blocks import Segment
from stepsail.capture.entries import Command, Entry, Event, entry_lines
from stepsail.capture.explain import Row, admission_lines, canary_lines, server_rows
from stepsail.capture.folder import entries_of
from stepsail.capture.replay import ReplayError, captured_settings
from stepsail.capture.replay_host import ReplayHost

STATE_INTERVAL = 500  # entries between cached states; a step back replays at most so many
MOST_STATES = 200  # cached; beyond that every second one goes
DECISIONS = (Command.SEND_ATTEMPT, Command.REJECT, Command.FAIL, Command.CANCEL_ATTEMPT, Command.CAST_VOTE)


class Track:
    """A position in a capture: `at` is the entry that comes next, `stage` holds the router as it stood before it."""

    def __init__(self, segments: list[Segment], module: ModuleType) -> None:
        self.module = module
        self.entries: list[Entry] = [e for _, e in entries_of(segments)]
        if not self.entries:
            raise ReplayError("the capture holds no entries")
        self.first = int(segments[0].meta["first"])
        self.settings = captured_settings(segments[0].meta)
        self.state = segments[0].snapshot()
        if self.state is None and self.entries[0].kind != Event.STARTED:
            raise ReplayError("neither a start nor a snapshot stands at its beginning")
        self.cached: dict[int, bytes] = {}
        self.every = STATE_INTERVAL
        self.differs: set[int] = set()
        self._restart()

    def _restart(self) -> None:
        self.at = 0
        self.stage = ReplayHost(self.module, self.settings)
        if self.state is not None:
            self.stage.restore(self.state)

    def go(self, to: int) -> None:
        """Stand before an entry, counted from the capture's first."""
        to = max(0, min(len(self.entries), to))
        if to < self.at:
            earlier = max((k for k in self.cached if k <= to), default=None)
            if earlier is None:
                self._restart()
            else:
                self.at = earlier
                self.stage = ReplayHost(self.module, self.settings)
                self.stage.restore(self.cached[earlier])
        while self.at < to:
            if (
                self.at
                and self.at % self.every == 0
                and self.at not in self.cached
                and self.stage.router is not None
            ):
                self._cache_state()
            entry = self.entries[self.at]
            response = self.stage.feed(entry)
            expected = (list(map(list, entry.commands)), entry.error)
            if (list(map(list, response.commands)), response.error) != expected:
                self.differs.add(self.at)
            self.at += 1

    def _cache_state(self) -> None:
        self.cached[self.at] = self.stage.snapshot()
        if len(self.cached) > MOST_STATES:
            self.every *= 2
            self.cached = {k: v for k, v in self.cached.items() if k % self.every == 0}

    def next_decision(self, forward: bool = True) -> int:
        """The nearest entry in which the router decided on a request or a vote; the end if there is none."""
        numbers = range(self.at + 1, len(self.entries)) if forward else range(self.at - 1, -1, -1)
        wanted = [int(kind) for kind in DECISIONS]
        return next(
            (n for n in numbers if any(command[0] in wanted for command in self.entries[n].commands)),
            len(self.entries) - 1 if forward else 0,
        )

    # -- what to show ------------------------------------------------------------------------------------

    def clock(self) -> float:
        """The reading of the instance's clock at the next entry."""
        return self.entries[min(self.at, len(self.entries) - 1)].clock

    def names(self) -> list[str]:
        """The servers' addresses, in the order in which they were added."""
        return [s.address.decode("latin-1") for s in self.stage.servers]

    def line(self, number: int) -> str:
        """One entry in one line, with how much it led to."""
        entry = self.entries[number]
        text = entry_lines(entry, self.names())[0]
        commands = [Command(c[0]).name.lower() for c in entry.commands if c[0] != Command.CALL_LATER]
        mark = "!" if number in self.differs else " "
        return f"{mark}{self.first + number:>7} {text}" + (f"  -> {', '.join(commands)}" if commands else "")

    def detail(self) -> list[str]:
        """The entry that comes next, in full."""
        return (
            entry_lines(self.entries[self.at], self.names()) if self.at < len(self.entries) else ["the end"]
        )

    def servers(self) -> list[Row]:
        """How the servers stand for the router."""
        self.stage.clock = self.clock()
        return server_rows(self.stage) if self.stage.router is not None else []

    def evidence(self) -> list[str]:
        """How admission and the canary stand."""
        if self.stage.router is None:
            return ["not begun"]
        self.stage.clock = self.clock()
        return [*admission_lines(self.stage), *canary_lines(self.stage)]
