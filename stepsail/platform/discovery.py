"""Discovery: the list asked for and watched as the module wishes, and where each server is."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from stepsail.charter.shape import Address, Orders
from stepsail.interface import Listed
from stepsail.loop import Event, Loop, Task
from stepsail.platform import words
from stepsail.platform.fields import Misfit, address, number, part, whole
from stepsail.platform.streaming import StreamingResponse, call
from stepsail.umpire.caller import CallFailed
from stepsail.umpire.host import Host, Log
from stepsail.umpire.retry import Backoff

# What a silent watch misses counts as told 6 s after it fell silent: the way from its last byte to a list in hand,
# one failed call included, has to end before. It takes 2.5 + 1.5 + 1.5 s.
SILENT = 2.5  # s without a word after which a watch is broken: a sign of life comes every 2 s
AGAIN_WITHIN, AGAIN = 1.5, 2  # s until the list of a watch begun in place of a broken one is whole; calls for it
LIST_WITHIN = 3.0  # s until that of any other watch is whole: many may call at once, and are answered in turn
PAUSE = 0.3  # s at least from the beginning of one watch to that of the next
ASK_WITHIN = 2.0  # s for a list that is asked for once
FORGET = 30.0  # s after which a server that is gone is forgotten; what is told of it late has come by then
LOGGED_NAMES = 12  # names of servers that one log line holds
MOST_ZONES = 1000  # names of zones that are kept; an entry with a further one is as one that cannot be read


class Entry:
    """One server as it was last listed."""

    __slots__ = ("build", "gone_at", "key", "since", "state", "to", "zone")

    def __init__(self, to: Address, zone: int, state: Listed, since: float, build: int) -> None:
        self.to, self.zone, self.state, self.since, self.build = to, zone, state, since, build
        self.key = (to, state, since, build)
        self.gone_at = 0.0


class Discovery:
    """Hands each list to the module, whole or as changes, in the order of their index. A call that fails is told as
    that; where lists are pushed, and so never asked for, the watch is begun again until it stands."""

    def __init__(self, loop: Loop, orders: Orders, host: Host, log: Log, at: Address, ahead: float) -> None:
        self.loop, self.orders, self.host, self.log, self.at, self.ahead = loop, orders, host, log, at, ahead
        self.zones = {name: at for at, name in enumerate(orders.zones)}
        self.index, self.heard = 0, 0  # of the newest list; how many lists have been taken
        self.entries: dict[bytes, Entry] = {}
        self.first = Event(loop)  # a list that is not of before the start is here
        self.watching: Task | None = None
        self.asking: Task | None = None
        self.silent = False  # whether the last watch ended as nothing was heard on it
        self.backoff = Backoff("discovery", orders.seed or 0)
        self.moved: Callable[[bytes], None] = lambda server: None  # its connections are of no use any more

    def place(self, server: bytes) -> tuple[Address, object]:
        """Where a server is, and what it was listed as."""
        entry = self.entries[server]
        return entry.to, entry.key

    def recall(self, known: Any) -> None:
        """The list of before the start, which may be old."""
        if known is not None:
            self._hear(known, True, self.heard)

    def move(self, to: Address) -> None:
        """Discovery has another address: what is watched goes on from there, by version."""
        if to == self.at:
            return
        self.at = to
        if self.watching:
            self.watching.cancel()
        self._begin(AGAIN, AGAIN_WITHIN)

    def watch(self) -> None:
        if self.watching is None or self.watching.done:
            self._begin(1, LIST_WITHIN)

    def _begin(self, calls: int, within: float) -> None:
        self.watching = self.loop.spawn(self._watch, calls, within, name="discovery")

    def _watch(self, calls: int, within: float) -> None:
        """Until it fails. One that broke off is begun again at once, from the version it had come to: what is
        missed meanwhile counts as told. Only if that fails too does the module hear of it, and asks when it likes."""
        while calls:
            calls, began = calls - 1, self.loop.now()
            stood, took = self._watched(within), self.loop.now() - began
            if stood:
                self.backoff.well()
                # One that ended has cost no time: its call may wait in turn, and is not given up for another one.
                calls, within = (AGAIN, AGAIN_WITHIN) if self.silent else (1, LIST_WITHIN)
            elif not calls and not self.orders.charter.must_ask:
                # Guards against a list that is never heard again: nobody asks for one where they are pushed.
                self.loop.sleep(self.backoff.next())
                calls = 1
            if calls:
                self.loop.sleep(max(0.0, PAUSE - took))
        self.host.tell(self.host.umpire.roster_failed)

    def _watched(self, within: float) -> bool:
        """One watch until its end; whether it began well."""
        stood, answer, by, begun = False, None, self.loop.now() + within, self.heard
        called_at = since = self.loop.now()
        called_with = self.index
        try:
            answer = StreamingResponse(self.loop, self.at, words.WATCH % self.index, within)
            while True:
                said = answer.next(SILENT if stood else max(0.0, by - self.loop.now()))
                if said is not None:
                    self._hear(said, False, begun)
                    begun = self.heard
                if not stood:
                    self.log.info("watch_stands", called_with=called_with, took=round(self.loop.now() - called_at, 3))
                stood, since = True, self.loop.now()
        except (CallFailed, Misfit) as trouble:
            now = self.loop.now()
            self.log.warning("watch_ended", error=str(trouble)[:200], stood=stood, lasted=round(now - called_at, 3),
                             last_heard=round(now - since, 3), index=self.index)
        except Exception as trouble:  # guards against a fault of ours that would leave the list as it is for ever
            self.log.error("watch_failed", error=repr(trouble)[:500])
        finally:
            if answer:
                answer.close()
        self.silent = self.loop.now() >= since + SILENT
        return stood

    def ask(self) -> None:
        """One call at a time: of a second one nothing is to be had that the first does not bring."""
        if self.asking is None or self.asking.done:
            self.asking = self.loop.spawn(self._ask, name="discovery asked once")

    def _ask(self) -> None:
        begun, called_at = self.heard, self.loop.now()
        try:
            answer = call(self.loop, self.at, b"GET", words.MEMBERS, None, ASK_WITHIN)
            if answer.status != 200:
                raise CallFailed(f"status {answer.status}")
            self._hear(msgspec.json.decode(answer.body), False, begun)
        except (CallFailed, Misfit, msgspec.DecodeError) as trouble:
            self.log.warning("list_failed", error=str(trouble)[:200], took=round(self.loop.now() - called_at, 3))
            self.host.tell(self.host.umpire.roster_failed)

    def _hear(self, said: Any, cached: bool, begun: int) -> None:
        """Take one list; `begun` is how many had been taken when it was called for. Raises Misfit for none.

        Guards against an answer that was overtaken: a whole list of before, taken for the newest, puts a draining
        server up again. One with an earlier index counts only where nothing was heard since it was called for: then
        discovery counts anew. Changes of before what is known are none: all is called for again.
        """
        index, full = whole(said, "index"), part(said, "snapshot", bool)
        lines = [entry for line in part(said, "endpoints", list) if (entry := self._entry(line)) is not None]
        if not cached and index < self.index:
            if self.heard > begun:
                return
            if not full:
                self.index = 0
                raise Misfit("changes of before what is known")
            self.log.warning("list_anew", before=self.index, index=index)
        unavailable = [name.decode() for name, entry, *_ in lines if entry.state is not Listed.READY]
        self.log.info("list_taken", index=index, before=self.index, whole=full, cached=cached, entries=len(lines),
                      unavailable=len(unavailable), first=unavailable[:LOGGED_NAMES])
        self.index = index
        self.heard += 1
        self.host.tell(self._tell, lines, full, cached)
        self._forget()
        if not cached:
            self.first.set()

    def _entry(self, line: Any) -> tuple[bytes, Entry, int, float] | None:
        """One server; None for what names none. Guards against one entry that cannot be read and takes the drains of
        all others with it: its server, where it is known, gets nothing new until it is told of again."""
        name = line.get("name") if isinstance(line, dict) else None
        if not isinstance(name, str) or not name:
            self.log.warning("entry_passed_over", entry=str(line)[:200])
            return None
        try:
            zone, state = part(line, "zone", str), part(line, "status", str)
            if state not in words.STATES:
                raise Misfit(f"status: {state[:40]!r}")
            if zone not in self.zones and len(self.zones) >= MOST_ZONES:
                raise Misfit(f"zone: over {MOST_ZONES} names")
            since = number(line, "since_ms") / 1000.0
            to, build = address(line.get("address")), whole(line, "revision_no", 65535)
            entry = Entry(to, self.zones.setdefault(zone, len(self.zones)), words.STATES[state],
                          since - self.ahead if since else 0.0, build)
            return name.encode(), entry, whole(line, "group", 65535), number(line, "weight")
        except Misfit as trouble:
            self.log.warning("entry_not_read", server=name[:80], error=str(trouble)[:200])
            known = self.entries.get(name.encode())
            if known is None:
                return None
            return name.encode(), Entry(known.to, known.zone, Listed.DRAINING, known.since, known.build), 0, 1.0

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
