"""Discovery: the list asked for and watched as the module wishes, and where each server is."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from stepsail.charter.shape import Address, Orders
from stepsail.interface import Listed
from stepsail.loop import Loop, Task
from stepsail.platform import words
from stepsail.platform.fields import Misfit, address, number, part, whole
from stepsail.platform.lines import Lines, call
from stepsail.umpire.caller import CallFailed
from stepsail.umpire.host import Host, Log

FIRST_LINE, SILENT = 3.0, 3.0  # s for a watch to begin; between two of its lines, which come every 2 s
ASK_WITHIN = 2.0  # s for a list that is asked for once
FORGET = 30.0  # s after which a server that is gone is forgotten; what is told of it late has come by then


class Entry:
    """One server as it was last listed."""

    __slots__ = ("build", "gone_at", "key", "since", "state", "to", "zone")

    def __init__(self, to: Address, zone: int, state: Listed, since: float, build: int) -> None:
        self.to, self.zone, self.state, self.since, self.build = to, zone, state, since, build
        self.key = (to, state, since, build)
        self.gone_at = 0.0


class Discovery:
    """Hands each list to the module, whole or as changes, in order. A call that fails is told as that."""

    def __init__(self, loop: Loop, orders: Orders, host: Host, log: Log, at: Address, ahead: float) -> None:
        self.loop, self.orders, self.host, self.log, self.at, self.ahead = loop, orders, host, log, at, ahead
        self.zones = {name: at for at, name in enumerate(orders.zones)}
        self.index = 0
        self.entries: dict[bytes, Entry] = {}
        self.watching: Task | None = None
        self.moved: Callable[[bytes], None] = lambda server: None  # its connections are of no use any more

    def place(self, server: bytes) -> tuple[Address, object]:
        """Where a server is, and what it was listed as."""
        entry = self.entries[server]
        return entry.to, entry.key

    def recall(self, known: Any) -> None:
        """The list of before the start, which may be old."""
        if known is not None:
            self._hear(known, cached=True)

    def move(self, to: Address) -> None:
        """Discovery has another address: what is watched goes on from there, by version."""
        if to == self.at:
            return
        self.at = to
        if self.watching and not self.watching.done:
            self.watching.cancel()
            self.watching = None
            self.watch()

    def watch(self) -> None:
        if self.watching is None or self.watching.done:
            self.watching = self.loop.spawn(self._watch, name="discovery")

    def _watch(self) -> None:
        """Until it fails. One that broke off is begun again at once, from the version it had come to: what is
        missed meanwhile counts as told. Only if that fails too does the module hear of it, and asks when it likes."""
        stood = True
        while stood:
            stood, lines = False, None
            try:
                lines = Lines(self.loop, self.at, words.WATCH % self.index, FIRST_LINE)
                while True:
                    said = lines.next(SILENT)
                    if said is not None:
                        self._hear(said, cached=False)
                    stood = True
            except (CallFailed, Misfit) as trouble:
                self.log.warning("watch_ended", error=str(trouble)[:200], stood=stood)
            finally:
                if lines:
                    lines.close()
        self.host.tell(self.host.umpire.roster_failed)

    def ask(self) -> None:
        self.loop.spawn(self._ask, name="discovery asked once")

    def _ask(self) -> None:
        try:
            answer = call(self.loop, self.at, b"GET", words.MEMBERS, None, ASK_WITHIN)
            if answer.status != 200:
                raise CallFailed(f"status {answer.status}")
            self._hear(msgspec.json.decode(answer.body), cached=False)
        except (CallFailed, Misfit, msgspec.DecodeError) as trouble:
            self.log.warning("list_failed", error=str(trouble)[:200])
            self.host.tell(self.host.umpire.roster_failed)

    def _hear(self, said: Any, cached: bool) -> None:
        """All of one list, or nothing of it where any part is not as it should be."""
        index, full = whole(said, "index"), part(said, "snapshot", bool)
        lines = [self._entry(line) for line in part(said, "endpoints", list)]
        if not cached and full is False and index < self.index:
            return  # older than what is known
        self.index = index
        self.host.tell(self._tell, lines, full, cached)
        self._forget()

    def _entry(self, line: Any) -> tuple[bytes, Entry, int, float]:
        name, zone, state = (part(line, field, str) for field in ("name", "zone", "status"))
        if zone not in self.zones or state not in words.STATES:
            raise Misfit(f"zone or status: {zone[:40]!r}, {state[:40]!r}")
        since = number(line, "since_ms") / 1000.0
        entry = Entry(address(line.get("address")), self.zones[zone], words.STATES[state],
                      since - self.ahead if since else 0.0, whole(line, "revision_no", 65535))
        return name.encode(), entry, whole(line, "group", 65535), number(line, "weight")

    def _tell(self, lines: list[tuple[bytes, Entry, int, float]], full: bool, cached: bool) -> None:
        listed = {name for name, *_ in lines}
        for name in [n for n in self.entries if full and n not in listed]:
            self._gone(name, self.entries[name])
        for name, entry, cell, size in lines:
            before = self.entries.get(name)
            if before is None and entry.state is Listed.GONE:
                continue
            if before is not None and before.key != entry.key:
                self.moved(name)
            self.entries[name] = entry
            self.host.meet(name).listed(entry.zone, cell, entry.build, entry.state, entry.since, size)
            if entry.state is Listed.GONE:
                entry.gone_at = self.host.clock
        self.host.umpire.roster_read(full, cached)

    def _gone(self, name: bytes, entry: Entry) -> None:
        if entry.state is not Listed.GONE:
            entry.state, entry.gone_at = Listed.GONE, self.host.clock
            entry.key = (entry.to, entry.state, entry.since, entry.build)
            self.moved(name)

    def _forget(self) -> None:
        """Guards against ever new names: those long gone leave no trace here nor in the host."""
        before = self.loop.now() - FORGET
        for name in [n for n, e in self.entries.items() if e.state is Listed.GONE and e.gone_at < before]:
            if not any(name.decode() == at for held in self.host.held.values() for at, _ in held.story):
                del self.entries[name]
                self.host.servers.pop(name, None)
