"""Who is there: SWIM with Lifeguard's local health, and what both leave open. No I/O; time is an argument.

Whoever hosts it calls `heard` for each datagram, `tick` no later than `next_at`, sends what `take_out` gives, and
reads `view`. What was kept of the papers and what was changed stands in `docs/design/membership.md`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf
from zlib import crc32

from stepsail.charter.shape import Address
from stepsail.membership.known import Known, Suspicion
from stepsail.membership.news import News
from stepsail.membership.records import PRESENT, Identity, Record, Standing
from stepsail.membership.terms import (
    ASK_GONE,
    ASK_SEED,
    ASKED_SUSPECTS,
    BUCKETS,
    COMPARE,
    CONFIRMERS,
    DIRECT,
    DUEL,
    FORGET_GONE,
    FORGET_LEFT,
    HELPERS,
    MOST_BYTES,
    MOST_MEMBERS,
    MOST_STRAIN,
    PIECES,
    SETTLED,
    SILENT,
    STOOD_STILL,
    Terms,
)
from stepsail.membership.view import Change, Present, View
from stepsail.membership.words import HEAD, VERSION, BadWord, Kind, Word, decode, encode, fitting, row_size

MOST_ERRANDS = 64  # probes in others' stead at once; further ones are not done, which the asker's other helpers are
MOST_CHANGES = 10_000  # not yet read by the host; older ones are dropped and counted


@dataclass(slots=True)
class Probe:
    """One question whether somebody is there."""

    target: Identity
    serial: int
    at: float
    helpers: set[int] = field(default_factory=set)
    helped: bool = False
    answered: bool = False
    anybody: bool = False  # whether any other umpire was heard since

    def needs_help(self) -> bool:
        return not (self.helped or self.answered)


@dataclass(slots=True)
class Errand:
    """A probe in another's stead."""

    asker: Address
    serial: int
    about: int
    until: float


class Members:
    """One umpire's part in the fleet. `start`: ms, higher than that of any earlier life; `seeds`: where others may
    listen; `fleet`: a number that all of one fleet have in common."""

    def __init__(self, number: int, start: int, zone: str, address: Address, seeds: Sequence[Address], seed: int,
                 now: float, terms: Terms | None = None, fleet: int = 0) -> None:
        self.me = Record(number, start, 0, Standing.ALIVE, zone, *address)
        self.terms, self.fleet, self.seed, self.draws = terms or Terms(), fleet, seed, 0
        self.seeds = tuple(s for s in seeds if s != address)
        self.known: dict[int, Known] = {}
        self.suspects: dict[int, Known] = {}
        self.present = 1  # this umpire and all others that are
        self.news, self.order = News(), list[int]()
        self.out = list[tuple[Address, bytes]]()
        self.changes = deque[Change](maxlen=MOST_CHANGES)
        self.counts = Counter[str]()
        self.now = self.began = self.changed_at = now
        self.said = self.serial = self.strain = self.silent = self.periods = self.version = 0
        self.pieces, self.compare_at = PIECES, inf
        self.probe: Probe | None = None
        self.errands: dict[int, Errand] = {}
        self.turn_at, self.next_at = now, now
        self.joined = self.displaced = self.leaving = False
        self.duel: tuple[Record, int, float] | None = None  # the other one, the question's serial, until when
        self._digests: tuple[int, ...] | None = None
        self._view: View | None = None

    # -- what the host calls -----------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due; to be called again no later than `next_at`."""
        still = now - self.next_at > STOOD_STILL * self.terms.period
        self._clock(now)
        if self.displaced or self.leaving:
            self.next_at = inf
            return
        if still:
            self._stood_still()
        self._errands_over()
        if self.probe and self.probe.needs_help() and self.now >= self.probe.at + self._direct():
            self._ask_helpers(self.probe)
        if self.now >= self.turn_at:
            self._turn()
        self._verdicts()
        if self.now >= self.compare_at:
            self._compare()
        self.next_at = self._next()

    def heard(self, data: bytes, now: float) -> None:
        """One datagram. What is malformed, foreign, doubled or of an earlier life is counted and dropped."""
        self._clock(now)
        if self.displaced or self.leaving:
            return
        try:
            word = decode(self.fleet, data)
        except BadWord:
            self.counts["malformed"] += 1
            return
        sender = word.news[0]
        if sender.number == self.me.number:
            self._namesake(sender, word)
            return
        known = self.known.get(sender.number)
        if known and sender.start < known.record.start:
            self.counts["earlier"] += 1
            if word.kind is Kind.PING:  # it may live yet, and has to hear of its successor
                self._send(sender.address, Kind.ACK, word.serial, self.me.number, first=(known.record,))
            return
        if known and sender.start == known.record.start and not known.fresh(word.count):
            self.counts["replayed"] += 1
            return
        if self.probe:
            self.probe.anybody = True
        trusted = known is not None and known.present and self.now - known.there_since >= self._least()
        self._claim(sender, sender.number, trusted)
        known = self.known.get(sender.number)
        if known is None:
            return  # there is no room for it, or it has left and was not known
        if known.highest < 0:
            known.fresh(word.count)
        for record in word.news[1:]:
            self._claim(record, sender.number, trusted and word.kind is not Kind.PIECE)
        self._answer(known, sender, word)
        self.next_at = min(self.next_at, self._next())

    def leave(self, now: float) -> None:
        """Say that this umpire goes; nothing is said after that."""
        self._clock(now)
        if not self.displaced and not self.leaving:
            self.leaving, self.me = True, self.me.put(Standing.LEFT)
            for known in self._some([k for k in self.known.values() if k.present], self._sendings()):
                self._send(known.record.address, Kind.PING, 0, known.record.number)

    def take_out(self) -> list[tuple[Address, bytes]]:
        """The datagrams to send, each with where to."""
        out, self.out = self.out, []
        return out

    def take_changes(self) -> list[Change]:
        changes = list(self.changes)
        self.changes.clear()
        return changes

    def view(self) -> View:
        """As of the last call; the same object as long as nothing in it has changed."""
        settled = (not self.suspects and not self.displaced
                   and self.now - self.changed_at >= SETTLED * self.terms.period)
        if self._view is None or self._view.settled != settled:
            mine = Present(self.me.number, self.me.start, self.me.zone, self.me.address, self.me.standing, self.began)
            others = [Present(r.number, r.start, r.zone, r.address, r.standing, k.since)
                      for k in self.known.values() if k.present for r in (k.record,)]
            gone = sorted(k.record.number for k in self.known.values() if k.record.standing is Standing.GONE)
            self.version += 1
            members = tuple(sorted((mine, *others), key=lambda m: m.number))
            self._view = View(self.version, members, tuple(gone), settled, len(members) <= len(gone), self.displaced)
        return self._view

    # -- time and chance ---------------------------------------------------------------------------------

    def _clock(self, now: float) -> None:
        self.now = max(self.now, now)  # guards against a clock that jumps back: nothing is due twice

    def _chance(self) -> float:
        self.draws += 1
        return crc32(b"%d.%d" % (self.seed, self.draws)) / 2**32

    def _some(self, among: Sequence[Known], count: int) -> list[Known]:
        """So many by lot."""
        left = list(among)
        return [left.pop(int(self._chance() * len(left))) for _ in range(min(count, len(left)))]

    def _least(self) -> float:
        return self.terms.suspicion(self.present)[0]

    def _sendings(self) -> int:
        return self.terms.sendings(self.present)

    def _slow(self) -> float:
        return 1.0 + self.strain  # Lifeguard: an umpire that is itself unwell judges more slowly

    def _direct(self) -> float:
        return DIRECT * self.terms.period * self._slow()

    def _next(self) -> float:
        probe = self.probe
        due = [self.turn_at, self.compare_at, *(e.until for e in self.errands.values())]
        if probe and probe.needs_help():
            due.append(probe.at + self._direct())
        return max(self.now, min(due))

    def _stood_still(self) -> None:
        """Guards against an umpire that was stopped, or its clock set on: what is overdue is its own doing. Nobody is
        judged by it; it asks how it stands and hears that it was held for gone from whoever answers."""
        self.counts["stood still"] += 1
        self.probe, self.errands, self.strain = None, {}, min(MOST_STRAIN, self.strain + 1)
        for known in self.suspects.values():
            assert known.suspicion
            known.suspicion = Suspicion(self.now, known.suspicion.voices)
        if self.duel:
            self.duel = (*self.duel[:2], self.now + DUEL * self.terms.period)
        self.turn_at = self.compare_at = self.now

    # -- one period --------------------------------------------------------------------------------------

    def _turn(self) -> None:
        self.periods, self.pieces = self.periods + 1, PIECES
        self._end_probe()
        self.turn_at = self.now + self.terms.period * self._slow() * (0.9 + 0.2 * self._chance())
        if self.periods % COMPARE == 0:
            self._forget()
        if (target := self._next_target()) is not None:
            self.probe = self._begin(target)
        asked = self.probe.target if self.probe else None
        suspects = [k for k in self.suspects.values() if k.identity != asked]
        for known in self._some(suspects, ASKED_SUSPECTS):
            self._ping(known)
        if self.periods % ASK_GONE == 0:
            self._ask_lost()
        if not self.known and self.periods % ASK_SEED == 1:
            self._ask_seeds(HELPERS)
        if self.duel:
            self._ask_namesake(*self.duel)
        if self.periods % COMPARE == 0:
            self.compare_at = self.now

    def _next_target(self) -> Known | None:
        """SWIM's round robin in an order of chance, so that each is probed within a bounded time."""
        for _ in range(2):
            while self.order:
                known = self.known.get(self.order.pop())
                if known and known.present:
                    return known
            present = [k for k in self.known.values() if k.present]
            self.order = [k.record.number for k in self._some(present, len(present))]
        return None

    def _begin(self, known: Known) -> Probe:
        return Probe(known.identity, self._ping(known), self.now)

    def _ping(self, known: Known) -> int:
        self.serial += 1
        self._send(known.record.address, Kind.PING, self.serial, known.record.number, first=self._doubts_of(known))
        return self.serial

    def _doubts_of(self, known: Known | None) -> tuple[Record, ...]:
        """Lifeguard: the suspect hears of it first, from whoever speaks to it."""
        return (known.record,) if known and known.record.standing is not Standing.ALIVE else ()

    def _ask_helpers(self, probe: Probe) -> None:
        probe.helped = True
        target = self.known.get(probe.target.number)
        if target is None or not target.present:
            return
        others = [k for k in self.known.values() if k.record.standing is Standing.ALIVE and k is not target]
        for helper in self._some(others, HELPERS):
            probe.helpers.add(helper.record.number)
            self._send(helper.record.address, Kind.ASK, probe.serial, target.record.number, target.record.address)

    def _end_probe(self) -> None:
        probe, self.probe = self.probe, None
        if probe is None or probe.answered:
            self.silent = 0
            return
        # Guards against a survivor that would have to probe each of those that are gone; it may as well be cut off.
        self.silent = 0 if probe.anybody else self.silent + 1
        for other in list(self.known.values()) if self.silent >= SILENT else ():
            if other.present and not other.suspicion:
                self._suspect(other, self.me.number, "nobody is heard", False)
        # Lifeguard: helpers that say nothing at all speak of this umpire's own state.
        self._strained(1 if probe.helpers or not probe.anybody else 0)
        known = self.known.get(probe.target.number)
        if known and known.identity == probe.target and known.present:
            # Guards against one that hears nobody: it keeps to itself what it thinks of the others, who may hear it.
            self._suspect(known, self.me.number, "no answer", probe.anybody)

    def _strained(self, more: int) -> None:
        self.strain = min(MOST_STRAIN, max(0, self.strain + more))

    def _ask_lost(self) -> None:
        """Guards against a partition that healed: one of those held for gone, or a seed that nobody is known at."""
        lost = [k for k in self.known.values() if k.record.standing is Standing.GONE]
        for known in self._some(lost, 1):
            self._ping(known)
        if not lost:
            self._ask_seeds(1)

    def _ask_seeds(self, count: int) -> None:
        taken = {k.record.address for k in self.known.values() if k.present}
        left = [s for s in self.seeds if s not in taken]
        for _ in range(min(count, len(left))):
            self.serial += 1
            self._send(left.pop(int(self._chance() * len(left))), Kind.PING, self.serial, self.me.number)

    def _forget(self) -> None:
        for known in list(self.known.values()):
            kept = {Standing.GONE: FORGET_GONE, Standing.LEFT: FORGET_LEFT}.get(known.record.standing, inf)
            if self.now - known.since > kept:  # never one that is present
                del self.known[known.record.number]
                self._changed()

    # -- words -------------------------------------------------------------------------------------------

    def _send(self, to: Address, kind: Kind, serial: int, about: int, about_at: Address | None = None,
              load: tuple[int, ...] = (), first: Sequence[Record] = (), news: Sequence[Record] | None = None) -> None:
        self.said += 1
        told = [self.me, *first]
        room = MOST_BYTES - HEAD - 5 * len(load) - sum(row_size(r) for r in told)
        told += self.news.take(room, {r.number for r in told}) if news is None else fitting(news, room)
        word = Word(VERSION, kind, self.said, serial, about, about_at, list(load), told)
        self.out.append((to, encode(self.fleet, word)))
        self.counts["sent"] += 1

    def _answer(self, known: Known, sender: Record, word: Word) -> None:
        if word.kind is Kind.PING and sender.standing in PRESENT:
            self._send(sender.address, Kind.ACK, word.serial, self.me.number, first=self._doubts_of(known))
        elif word.kind is Kind.ACK:
            self._acked(known, word)
        elif word.kind is Kind.ASK and word.about_at:
            self._errand(sender.address, word, word.about_at)
        elif word.kind is Kind.NACK and self.probe and self.probe.serial == word.serial:
            self.probe.helpers.discard(sender.number)
        elif word.kind is Kind.COMPARE and word.load:
            self._compared(sender, word)

    def _acked(self, known: Known, word: Word) -> None:
        itself = word.about == known.record.number
        if itself:
            known.spoke_at = self.now
        if itself and not self.joined:
            self.joined, self.compare_at = True, self.now
        probe = self.probe
        if probe and word.serial == probe.serial and word.about == probe.target.number and not probe.answered:
            probe.answered = True
            self._strained(-1)
        errand = self.errands.get(word.serial)
        if errand and itself and word.about == errand.about:
            del self.errands[word.serial]
            self._send(errand.asker, Kind.ACK, errand.serial, errand.about)

    def _errand(self, asker: Address, word: Word, at: Address) -> None:
        if len(self.errands) >= MOST_ERRANDS or word.about == self.me.number:
            self.counts["errands refused"] += 1
            return
        self.serial += 1
        self.errands[self.serial] = Errand(asker, word.serial, word.about, self.now + self._direct() * 1.5)
        self._send(at, Kind.PING, self.serial, word.about, first=self._doubts_of(self.known.get(word.about)))

    def _errands_over(self) -> None:
        for serial, errand in [(s, e) for s, e in self.errands.items() if self.now >= e.until]:
            del self.errands[serial]
            self._send(errand.asker, Kind.NACK, errand.serial, errand.about)

    # -- lists compared ----------------------------------------------------------------------------------

    def _records(self) -> list[Record]:
        return [self.me, *(k.record for k in self.known.values())]

    def digests(self) -> tuple[int, ...]:
        """Of each part of the list: who is present and by which incarnation, a suspect as one that is."""
        if self._digests is None:
            parts: list[list[tuple[int, int, int]]] = [[] for _ in range(BUCKETS)]
            for r in self._records():
                if r.standing in PRESENT:
                    parts[r.number % BUCKETS].append((r.number, r.start, r.incarnation))
            self._digests = tuple(crc32(b"".join(b"%d.%d.%d;" % r for r in sorted(p))) for p in parts)
        return self._digests

    def _compare(self) -> None:
        self.compare_at = inf
        for known in self._some([k for k in self.known.values() if k.present], 1):
            self._send(known.record.address, Kind.COMPARE, 0, known.record.number, load=self.digests(), news=())

    def _compared(self, sender: Record, word: Word) -> None:
        """Send what differs, in bounded pieces; the rest goes with a later comparison, as parts go by lot."""
        mine = self.digests()
        parts = [b for b in range(BUCKETS) if mine[b] != word.load[b]]
        if not parts:
            return
        if word.serial == 0:  # so that it sends what it has as well; once
            self._send(sender.address, Kind.COMPARE, 1, sender.number, load=mine, news=())
        turn = int(self._chance() * len(parts))
        rank = {b: (at - turn) % len(parts) for at, b in enumerate(parts)}
        rows = sorted((r for r in self._records() if r.number % BUCKETS in rank and r is not self.me),
                      key=lambda r: (rank[r.number % BUCKETS], r.number))
        room = MOST_BYTES - HEAD - row_size(self.me)
        while rows and self.pieces > 0:
            self.pieces -= 1
            piece = fitting(rows, room)
            if not piece:
                return
            rows = rows[len(piece):]
            self._send(sender.address, Kind.PIECE, 0, sender.number, news=piece)

    # -- claims ------------------------------------------------------------------------------------------

    def _claim(self, claim: Record, by: int, trusted: bool) -> None:
        if claim.number == self.me.number:
            self._about_me(claim)
            return
        known = self.known.get(claim.number)
        if known is None:
            self._meet(claim, by)
            return
        old = known.record
        if claim.weight < old.weight:
            return
        if claim.weight == old.weight:
            if known.suspicion and claim.standing is Standing.SUSPECT:
                self._confirm(known, by)
            return
        if claim.standing is Standing.GONE and known.present and claim.start == old.start and not (
                trusted and self.now - known.spoke_at >= self._least()):
            # Guards against the verdicts of another side of a partition, and of one that was cut off alone: they are
            # a reason to ask it oneself, not to hold it for gone.
            self._suspect(known, by, f"umpire {by} holds it for gone", False)
            return
        if claim.standing is Standing.SUSPECT:
            self._put(known, claim, f"umpire {by} suspects it")
            self._doubt(known, by)
        else:
            why = {Standing.ALIVE: "a later start" if claim.start > old.start else "it says so itself",
                   Standing.GONE: f"umpire {by} says so", Standing.LEFT: "it has left"}[claim.standing]
            self._put(known, claim, why)
        self.news.add(claim, self._sendings())

    def _meet(self, claim: Record, by: int) -> None:
        if claim.standing not in PRESENT:
            return  # nobody needs to learn of one that has gone before
        if len(self.known) >= MOST_MEMBERS:
            self.counts["no room"] += 1
            return
        known = self.known[claim.number] = Known(claim, self.now, self.now)
        self.present += 1
        if claim.standing is Standing.SUSPECT:
            self._doubt(known, by)
        self.order.insert(int(self._chance() * (len(self.order) + 1)), claim.number)
        self._changed(Change(claim.number, claim.start, None, claim.standing,
                             "it spoke" if by == claim.number else f"umpire {by} told of it"))
        self.news.add(claim, self._sendings())

    def _suspect(self, known: Known, by: int, why: str, say: bool) -> None:
        """`say`: tell the others; else it is this umpire's own doubt."""
        if known.suspicion:
            self._confirm(known, by, say)
            return
        self._put(known, known.record.put(Standing.SUSPECT), why)
        self._doubt(known, by)
        if say:
            self.news.add(known.record, self._sendings())
        self._ping(known)

    def _doubt(self, known: Known, by: int) -> None:
        known.suspicion = Suspicion(self.now, {by})
        self.suspects[known.record.number] = known

    def _confirm(self, known: Known, by: int, say: bool = True) -> None:
        assert known.suspicion
        if by not in known.suspicion.voices and len(known.suspicion.voices) <= CONFIRMERS:
            known.suspicion.voices.add(by)
            if say:
                self.news.add(known.record, self._sendings())

    def _verdicts(self) -> None:
        for known in list(self.suspects.values()):
            assert known.suspicion
            if self.now >= known.suspicion.until(self.terms, self.present, known.spoke_at):
                voices = len(known.suspicion.voices)
                self._put(known, known.record.put(Standing.GONE), f"no answer in time, {voices} said so")
                if self._hears():
                    self.news.add(known.record, self._sendings())

    def _hears(self) -> bool:
        """Whether any other umpire has answered lately."""
        return any(self.now - k.spoke_at < self._least() for k in self.known.values())

    def _put(self, known: Known, record: Record, why: str) -> None:
        was, before = known.record.standing, known.present
        later_life = record.standing is Standing.ALIVE and record.start != known.record.start
        if record.start != known.record.start:
            known.highest, known.window, known.spoke_at = -1, 0, -inf
        known.record, known.suspicion = record, None
        self.suspects.pop(record.number, None)
        self.present += known.present - before
        self._digests = None
        if was is not record.standing or later_life:
            known.since = self.now
            if known.present and (not before or later_life):
                known.there_since = self.now
                self.order.insert(int(self._chance() * (len(self.order) + 1)), record.number)
            self._changed(Change(record.number, record.start, was, record.standing, why))

    def _changed(self, change: Change | None = None) -> None:
        self._view = self._digests = None
        self.changed_at = self.now
        if change:
            self.counts["changes lost"] += len(self.changes) == MOST_CHANGES
            self.changes.append(change)

    # -- this umpire as others see it --------------------------------------------------------------------

    def _about_me(self, claim: Record) -> None:
        if claim.start == self.me.start:
            if claim.incarnation > self.me.incarnation or (
                    claim.incarnation == self.me.incarnation and claim.standing is not Standing.ALIVE):
                self._strained(1 if claim.standing is Standing.SUSPECT else 0)
                self._say_again(claim.start, claim.incarnation + 1, f"held for {claim.standing.name.lower()}")
        elif claim.start < self.me.start:
            if claim.standing in PRESENT:
                self.news.add(self.me, self._sendings())  # somebody believes in an earlier life of this number
        elif not self.joined or claim.standing not in PRESENT or claim.address == self.me.address:
            # Guards against a clock set back before this start: the later life is told by where it listens, or by its
            # being gone; whoever only comes in goes above all that went before.
            self._say_again(claim.start + 1, 0, "an earlier life had a later start")
        elif self.duel is None or claim.start > self.duel[0].start:
            self.serial += 1
            self.duel = (claim, self.serial, self.now + DUEL * self.terms.period)
            self._ask_namesake(*self.duel)

    def _say_again(self, start: int, incarnation: int, why: str) -> None:
        self.me = Record(self.me.number, start, incarnation, Standing.ALIVE, self.me.zone, *self.me.address)
        if self.duel and self.duel[0].start < start:
            self.duel = None
        self.news.add(self.me, self._sendings())
        self._changed(Change(self.me.number, start, Standing.ALIVE, Standing.ALIVE, why))

    def _ask_namesake(self, other: Record, serial: int, until: float) -> None:
        """Another process is said to have this number, started later: whoever answers there has it."""
        if self.now >= until:
            self.duel = None
            self._say_again(other.start + 1, 0, "nobody answers in the later life's place")
        else:
            self._send(other.address, Kind.PING, serial, other.number)

    def _namesake(self, sender: Record, word: Word) -> None:
        if sender.start == self.me.start:
            self.counts["own words"] += 1
        elif sender.start < self.me.start:
            self.counts["earlier"] += 1
            if word.kind is Kind.PING:
                self._send(sender.address, Kind.ACK, word.serial, self.me.number)
        elif self.duel and word.kind is Kind.ACK and word.serial == self.duel[1]:
            self.displaced, self.duel = True, None
            self._changed(Change(sender.number, sender.start, Standing.ALIVE, Standing.LEFT,
                                 "another process has this number, and started later"))
        else:
            self._about_me(sender)
            if word.kind is Kind.PING:
                self._send(sender.address, Kind.ACK, word.serial, self.me.number)


