"""All decisions of one umpire: where a transaction goes, when it is denied, how a build on trial is judged.

A host makes `Umpire(charter, host, seed)` and calls it: `meet` for a new server (its handle is then told
`listed`, `probed`, `contested`), `roster_read` after each list, `take` for a transaction (its handle is told
`relay_ended`, `client_left`), and the other calls as things happen. What it wants done it asks of `host`.
Both sides' types stand in `stepsail/interface.py`; the test keeps its source's words (`docs/design.md`).
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from itertools import accumulate
from math import ceil, exp, inf, log, sqrt
from operator import add
from re import compile
from zlib import crc32

from stepsail.interface import Charter, Control, Group, Host, Listed, Outcome, Phase, Receipt, Repeat, Verdict

EDGES = (0.02, 0.03, 0.045, 0.065, 0.09, 0.13, 0.18, 0.25, 0.35, 0.5, 0.75, 0.999)  # of abandon time: x1.4
FAILED = len(EDGES) - 1  # the edge that only failed relays pass
LEVEL = 0.01  # chance of one false rejection in a stage; the design's
MARGIN = 0.15  # gap beyond the radius that votes back; the design's
TOLERANCE = 0.1  # gap plus radius that votes on; the design's
LEAST = 6  # new-build outcomes that vote on unless in doubt; the later stages, with more of them, judge again
SLOWER = 1.35  # times that a good build's relays may take longer: slow machines, cold caches, an uneven load
FAULTS = 0.004  # share of relays that fail or are contested on any build; a few times what sound servers show
GUESSES = (0.04, 0.12, 0.35, 0.75)  # excess shares that a build is tried for: rare faults to a failed product
SLOW_FOR = 3.0  # s that all servers' slowness must outlast on a trial; longer than most bursts
FADE = (3.0, 0.5, 0.8)  # s between fadings; what of the latest sample, and of a server's own, each leaves
ASKED_OVER = 4.0  # s over which first tries are counted, some tens of them, to tell load from slowness
BUSIER = 1.4  # times the calm traffic from which slowness everywhere may be the load itself
TELL_EVERY = 0.5  # s between words to the neighbours; a few dozen bytes, next to nothing in price
HEARD = compile(rb"\d{1,5}( -?\d{1,6}\.\d){4}")  # said: build, faults, spread, slowness, outcomes
LEAN = 1.0  # log of the evidence against a build above which the least sample votes nothing
YOUNG = 3.0  # s after its start in which a server gives no evidence; the design's
PATIENT = 3.7  # s after the newest start of a stage before an on: its clock starts 1 to 1.6 s later
LONGEST_START = 8.0  # s after its launch when a stage's clock starts though servers are missing
RENEW = 0.7  # share of a vote's life after which it is cast again, early enough for a lost answer
VOTE_PAUSE = 0.5  # s before a vote that release control did not count is cast again; spares its allowance
BEAT = 0.05  # s between looks at waiting transactions and at the vote; a small part of any target time
LAST_CALL = BEAT + 0.02  # s before the abandon time when one waiting is answered: a beat, a few batches
SLIP = 0.02  # s by which counts of the exposure window lean to the safe side; a few batches
ASK_AGAIN = (0.8, 4.0)  # s; first and longest pause after a failed roster call, so that calls do not pile up
REST = 0.5  # s; first rest of a silent server, doubled for each further relay lost: about a stall's length
MOST_SILENT = 4  # lost relays' worth of silence remembered: the longest rest is 1 s, a few target times
PACE_KEPT = 16  # outcomes after which a server's or a product's pace is halved: a second or two of traffic
QUEUE = 0.5  # share of the shortest target time that open relays may need at the rate of answers
RATE_OVER = 2.0  # s over which answers are counted for that rate: some tens of answers, many times a stall
FEW_OPEN = 2.5  # relays that each umpire, and each server from all, may have open however slow answers are
STALL = 4.0  # usual times without a word from a server that holds relays before it counts as stalled
SPARE = 2.0  # usual times that a waiting one must have left to its target; at once it is as likely late
WAIT = 0.25  # share of its target time that a transaction may always wait for room
KEPT = 4000  # transactions counted at most in any window; more than one umpire takes in one
COLD_FREE = 1.0  # relays that a cold server may get from each umpire beyond its share; one finds out it lives
PRIOR = 0.2  # share of a product's target time taken as usual before anything was seen
CROSSING = 0.5  # relays' worth of queue that a server near by may be longer before a far one is taken


def radius(n: float, level: float) -> float:
    """Half-width of one build's band after n outcomes (Howard and Ramdas' bound, the paper's section 4)."""
    return 0.85 * sqrt((log(1 + log(n)) + 0.8 * log(1612 / level)) / n) if n >= 1 else 1.0


class Sample:
    """Relay times of one build and product as shares of the abandon time, in few bins; a failed one is 1."""

    def __init__(self) -> None:
        self.bins, self.n = [0.0] * (len(EDGES) + 1), 0.0

    def add(self, share: float) -> None:
        self.bins[bisect_left(EDGES, share)] += 1
        self.n += 1

    def fade(self, kept: float) -> None:
        self.bins, self.n = [x * kept for x in self.bins], self.n * kept

    def contest(self) -> None:
        """A wrong answer is a failed relay: the likeliest of the outcomes becomes one."""
        if self.n >= self.bins[-1] + 1:
            self.bins[self.bins.index(max(self.bins[:-1]))] -= 1
            self.bins[-1] += 1


Samples = dict[int, Sample]


def gap(before: Samples, fresh: Samples) -> tuple[float, float, float]:
    """Largest excess of the earlier build's distribution over the new one's, and the outcomes behind each."""
    both = [p for p in sorted(fresh) if p in before]
    n, m = sum(fresh[p].n for p in both), sum(before[p].n for p in both)
    widest = below = 0.0
    for edge in range(len(EDGES) if n and m else 0):
        # each product by the new build's mix: guards against a mix that shifts within a stage
        below += sum(before[p].bins[edge] / before[p].n * fresh[p].n / n - fresh[p].bins[edge] / n
                     for p in both)
        widest = max(widest, below)
    return widest, n, m


def doubt(k: float, n: float, share: float) -> float:
    """Log of an always-valid evidence against `share` as the chance of what came k times in n: a mixture of
    likelihood ratios, which by Ville's inequality exceeds 1/level with a chance of at most the level."""
    return mean_of_logs([k * log(1 + g * (1 - share) / share) + (n - k) * log(1 - g) for g in GUESSES])


def mean_of_logs(logs: Sequence[float]) -> float:
    return max(logs) + log(sum(exp(x - max(logs)) for x in logs) / len(logs))


def doubts(before: Samples, fresh: Samples, edges: Sequence[int]) -> float:
    """Guards against what the bands are too wide for at few outcomes: rare faults, one failing product. Each
    edge is compared by itself, their mean is as valid; a share that SLOWER explains is no doubt."""
    both = [p for p in sorted(fresh) if p in before and fresh[p].n and before[p].n]
    n, m = sum(fresh[p].n for p in both), sum(before[p].n for p in both)
    logs = [0.0] if not both else []
    for edge in edges if both else ():
        k = sum(sum(fresh[p].bins[edge + 1:]) for p in both)
        share = sum(sum(before[p].bins[edge + 1:]) / before[p].n * fresh[p].n for p in both) / n
        share = min(0.99, max(FAULTS, share + sqrt(share * (1 - share) / m)) + 0.5 / m)
        logs.append(doubt(k, n, share if edge == FAILED else share ** (1 / SLOWER)))
    return mean_of_logs(logs)


def merged(servers: Sequence[Server]) -> Samples:
    total: Samples = {}
    for product, sample in ((p, x) for s in servers for p, x in s.seen.items()):
        whole = total.setdefault(product, Sample())
        whole.n, whole.bins = whole.n + sample.n, list(map(add, whole.bins, sample.bins))
    return total


class Pace:
    """How long relays take against what is usual for their product; old outcomes fade by halving."""

    def __init__(self, start: float = 1.0) -> None:
        self.n, self.total = 2.0, 2.0 * start

    def add(self, ratio: float, most: float = PACE_KEPT) -> None:
        self.n, self.total = self.n + 1, self.total + ratio
        if self.n > most:
            self.n, self.total = self.n / 2, self.total / 2

    def mean(self) -> float:
        return self.total / self.n


class Times(deque[float]):
    def since(self, start: float) -> int:
        while self and self[0] < start:
            self.popleft()
        return len(self)


class Server:
    def __init__(self, umpire: Umpire, address: bytes) -> None:
        self.umpire, self.address = umpire, address
        self.state, self.zone, self.cell, self.build, self.round = Listed.GONE, 0, 0, 0, 0
        self.since = self.load = self.rest_until = self.heard_at = 0.0
        self.open_then = self.silent = 0
        self.out: list[tuple[Transaction, Relay]] = []
        self.pace, self.sent, self.seen = Pace(), Times(), dict[int, Sample]()

    def listed(self, zone: int, cell: int, build: int, state: int, since: float, size: float) -> None:
        if since != self.since or build != self.build:  # another process, or another machine at this address
            self.pace, self.silent, self.rest_until, self.load, self.seen = Pace(), 0, 0.0, 0.0, {}
        self.zone, self.cell, self.build, self.since = zone, cell, build, since
        self.state, self.round = Listed(state) if state in (0, 1) else Listed.GONE, self.umpire.round

    def age(self) -> float:
        return self.umpire.host.clock - self.since if self.since > 0 else inf

    def warmth(self) -> float:
        """Least share of its capacity that this server can have by now."""
        charter, age = self.umpire.charter, max(0.0, self.age())
        warmed = 1.0 if age >= charter.cold_for else age / charter.cold_for
        return charter.cold_from + (1 - charter.cold_from) * warmed

    def may_push(self) -> bool:
        """Guards against all umpires pushing a cold server over: each sends it its warmth's part of an even
        share of what it takes, at most. Harms: a fleet that is cold as a whole is filled slowly."""
        umpire, start = self.umpire, self.umpire.host.clock - self.umpire.charter.fall_for
        even = umpire.taken.since(start) / max(1, sum(s.state is Listed.READY for s in umpire.servers))
        room = COLD_FREE + self.warmth() * even - self.sent.since(start)
        return room >= 1 or self.age() >= umpire.charter.cold_for

    def cost(self) -> float:
        """What one more relay would wait for here, in relays of usual pace."""
        held = self.load + len(self.out) - self.open_then
        far = self.umpire.charter.crossing_price and self.zone != self.umpire.charter.zone
        return (max(held, len(self.out)) + 1) * self.pace.mean() / self.warmth() + (CROSSING if far else 0.0)

    def heard(self, report: Sequence[float]) -> None:
        columns = self.umpire.charter.report_columns
        for held in ("q", "rif") if len(report) == len(columns) else ():
            if held in columns:
                self.load = report[columns.index(held)] + (len(self.out) if held == "q" else 0)
                self.open_then = len(self.out)

    def awake(self) -> bool:
        return self.state is Listed.READY and self.rest_until <= self.umpire.host.clock

    def stalled(self) -> bool:
        """Guards against a server that takes relays and falls silent (cut off, stopped, dead behind live
        connections) before the first of them runs out of time. Harms: one heavy relay on a quiet server."""
        now = self.umpire.host.clock
        return bool(self.out) and self.rest_until <= now and (
            now - max(self.out[0][1].at, self.heard_at) > max(REST, STALL * self.out[0][0].usual.mean()))

    def relay_ended(self, outcome: Outcome, ratio: float, old_enough: bool) -> None:
        if outcome in (Outcome.HANDLED, Outcome.ERRORED, Outcome.FULL):
            self.heard_at = self.umpire.host.clock
        if outcome is Outcome.HANDLED:
            self.silent = 0
            self.pace.add(ratio if old_enough else 1.0)
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.LATE, Outcome.ERRORED):
            # Guards against servers that are dead, cut off or stalled while the roster calls them ready, and
            # against one that errs at once and so, never busy, draws transactions. Harms: bad luck of two.
            self.rest(2 if outcome in (Outcome.UNREACHED, Outcome.BROKEN) else 1)
        elif outcome is Outcome.FULL:
            self.rest_until = self.umpire.host.clock + BEAT

    def rest(self, silence: int) -> None:
        self.silent = min(MOST_SILENT, self.silent + silence)
        if self.silent >= 2:  # and then one relay at a time finds out whether it is back
            self.rest_until = self.umpire.host.clock + REST * 2 ** (self.silent // 2 - 1)

    def probed(self, took: float, outcome: Outcome, report: Sequence[float]) -> None:
        self.heard(report)

    def contested(self, product: int, since: float) -> None:
        trial = self.umpire.trial
        for side in (self.seen, *trial.sides(self.build)) if trial else ():
            if product in side:
                side[product].contest()


class Relay:
    def __init__(self, server: Server, at: float) -> None:
        self.server, self.at = server, at
        self.build, self.zone, self.cell = server.build, server.zone, server.cell  # as they were when sent
        self.ended, self.may_have_run, self.old_enough = False, True, server.age() >= YOUNG


class Transaction:
    def __init__(self, umpire: Umpire, number: int, product: int, tenant: int, until: float,
                 key: int, again: bool) -> None:
        self.umpire, self.number, self.tenant, self.until, self.key = umpire, number, tenant, until, key
        self.again, self.closed, self.taken = again, False, umpire.host.clock
        self.product, self.relays = umpire.charter.products[product], list[Relay]()
        self.usual: Pace = umpire.usual[product]

    @property
    def finished(self) -> bool:
        return self.closed and all(r.ended for r in self.relays)

    def may_have_run(self) -> Relay | None:
        return next((r for r in self.relays if r.may_have_run), None)

    def may_go(self, server: Server) -> bool:
        """Whether no effect can happen twice if this transaction goes to that server now."""
        first = self.may_have_run()
        if first is None or self.product.repeat is not Repeat.LABELLED:
            return first is None or self.product.repeat is Repeat.REDOABLE
        same = {Group.ALL: True, Group.ZONE: server.zone == first.zone, Group.CELL: server.cell == first.cell}
        return same[self.product.group] and self.umpire.host.clock < first.at + self.product.window - SLIP

    def close(self) -> None:
        self.closed = True
        dropped = self.product.repeat is Repeat.LABELLED and self.product.group is Group.ALL
        if self.may_have_run() is None or self.product.repeat is Repeat.REDOABLE or dropped:
            return self.umpire.host.deny(self, self.umpire.charter.longest_stay_away)
        self.umpire.host.error(self)

    def dispatch(self) -> None:
        umpire, now = self.umpire, self.umpire.host.clock
        # WAIT, whatever is usual: guards against a product that was slow for a while being denied for good.
        spare = self.product.target - SPARE * self.usual.mean()
        spare = self.product.target if self.relays else max(spare, WAIT * self.product.target)
        hopeless = now > self.taken + spare and not (self.relays and self.product.late_share)
        if (hopeless or now >= self.until - LAST_CALL or len(self.relays) >= umpire.charter.most_relays
                or not any(self.may_go(s) for s in umpire.servers)):
            return self.close()
        server = umpire.choose(self) if umpire.has_room() else None
        if server is None:
            return umpire.waiting.append(self)
        if umpire.on_trial(server.build):
            umpire.allowance(self).sent.append(now)
        self.relays.append(Relay(server, now))
        server.out.append((self, self.relays[-1]))
        server.sent.append(now)
        server.rest(0)
        umpire.host.relay(self, server, self.until)

    def relay_ended(self, number: int, outcome: Outcome, final: bool, took: float,
                    report: Sequence[float]) -> None:
        relay = self.relays[number]
        relay.ended = True
        relay.may_have_run = outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT)
        relay.server.out.remove((self, relay))
        relay.server.heard(report)
        if outcome in (Outcome.HANDLED, Outcome.ERRORED):
            self.umpire.answers.append(self.umpire.host.clock)
        if outcome is Outcome.HANDLED:
            self.usual.add(took)
        relay.server.relay_ended(outcome, took / self.usual.mean(), relay.old_enough)
        self.umpire.judge(self, relay, outcome, took)
        if outcome is Outcome.HANDLED and self.key and self.umpire.on_trial(relay.build):
            self.umpire.keys[self.key] = relay.build
        self.closed = self.closed or final
        if not self.closed and all(r.ended for r in self.relays):
            self.dispatch()
        if self.umpire.waiting and self.umpire.has_room():
            self.umpire.serve_waiting()

    def client_left(self) -> None:
        self.closed = True


class Allowance:
    def __init__(self, charter: Charter) -> None:
        self.charter = charter
        self.taken, self.sent = Times(maxlen=KEPT), Times()

    def left(self, now: float, cap: float) -> float:
        start, free = now - self.charter.window, self.charter.free if cap > 0 else 0.0
        return free + cap * self.taken.since(start + SLIP) - self.sent.since(start - SLIP)


class Trial:
    def __init__(self, umpire: Umpire, build: int, stage: int, phase: Phase, began: float) -> None:
        self.umpire, self.build, self.stage, self.phase, self.began = umpire, build, stage, phase, began
        self.before, self.fresh = dict[int, Sample](), dict[int, Sample]()
        same = umpire.trial if umpire.trial and umpire.trial.build == build else None
        # Faults are too rare to forget at each stage, and earlier servers may have been replaced.
        self.all_before: Samples = same.all_before if same else {}
        self.slow_since: float = same.slow_since if same else umpire.host.clock
        self.verdict, self.cast_at, self.ask_at, self.tell_at = Verdict.NONE, 0.0, 0.0, 0.0
        self.found = (0.0, 0.0, 0.0, 0.0)

    def sides(self, build: int) -> tuple[Samples, ...]:
        if build < self.build:
            return self.before, self.all_before
        return (self.fresh,) if build == self.build else ()

    def look(self, level: float, settled: bool) -> Verdict:
        released, now = self.phase is Phase.RELEASED, self.umpire.host.clock
        before = self.all_before if released or self.umpire.charter.replaces else self.before
        wide, n, m = gap(before, self.fresh)
        if not n or not m:
            return Verdict.NONE
        around = radius(n, level / 2) + radius(m, level / 2)
        # Guards against blaming the build for one server that errs: without the worst, doubt must remain.
        mine = [s for s in self.umpire.servers if s.build == self.build and s.seen]
        mine.sort(key=lambda s: sum(x.bins[-1] for x in s.seen.values()))
        faults = doubts(self.all_before, merged(mine), (FAILED,))
        spread = doubts(self.all_before, merged(mine[:-1]), (FAILED,)) if len(mine) > 1 else faults
        everywhere = doubts(self.umpire.calm, self.umpire.lately, range(FAILED))
        self.found = (faults, spread, everywhere, n)
        faults, spread, everywhere, count = self.umpire.pooled(self.build, self.found)
        surely = log(2 / level)
        if wide - around > MARGIN or (faults > surely and spread > 0):
            return Verdict.BACK
        # Guards against a build that slows all servers in step with its traffic, which leaves no gap: all
        # relays lately against those from before it was offered, unless more is asked for. A shared
        # dependency looks alike but ends: the umpire holds meanwhile. Harms: a good build where it does not.
        asked = self.umpire.first_tries.since(now - ASKED_OVER)
        if everywhere < surely / 2 or asked > BUSIER * self.umpire.calm_asked:
            self.slow_since = now
        elif everywhere > surely and now - self.slow_since > SLOW_FOR:
            return Verdict.BACK
        sound = spread < LEAN and faults < surely / 2
        enough = wide + around < TOLERANCE or count >= LEAST
        return Verdict.ON if settled and sound and enough and self.slow_since == now else Verdict.NONE


class Umpire:
    def __init__(self, charter: Charter, host: Host, seed: int) -> None:
        self.charter, self.host, self.seed = charter, host, seed
        self.draws, self.round, self.servers, self.waiting = 0, 0, list[Server](), list[Transaction]()
        self.usual = [Pace(PRIOR * p.target) for p in charter.products]
        self.keys: dict[int, int] = {}
        self.told: dict[int, tuple[float, int, list[float]]] = {}
        self.allowances = [Allowance(charter) for _ in (charter.products if charter.by_product else (0,))]
        self.taken, self.answers, self.first_tries = (Times(maxlen=KEPT) for _ in range(3))
        self.calm, self.lately, self.calm_asked = dict[int, Sample](), dict[int, Sample](), 0
        # where any one vote decides, the chances of a false one add up over the umpires
        self.level = LEVEL / max(1, charter.umpires) if charter.control is not Control.SHARE else LEVEL
        self.shortest = min((p.target for p in charter.products), default=1.0)
        self.build, self.stage, self.phase, self.cap, self.fade_at = -1, 0, Phase.RELEASED, 0.0, 0.0
        self.trial: Trial | None = None
        self.asking, self.informed = ASK_AGAIN[0], not charter.must_ask
        self.watch()
        host.wake(BEAT, self.beat)

    def chance(self) -> float:
        self.draws += 1
        return crc32(b"%d.%d" % (self.seed, self.draws)) / 2**32

    def meet(self, address: bytes) -> Server:
        server = Server(self, address)
        self.servers.append(server)
        return server

    def roster_read(self, whole: bool, cached: bool) -> None:
        for server in self.servers:
            if whole and server.round != self.round:
                server.state = Listed.GONE
        self.round += 1
        if not cached:
            self.informed, self.asking = True, ASK_AGAIN[0]

    def roster_failed(self) -> None:
        self.informed = False

    def watch(self) -> None:
        if not self.informed:
            self.host.watch_roster()
            self.asking = min(ASK_AGAIN[1], self.asking * 1.5)
        self.host.wake(self.asking * (0.75 + 0.5 * self.chance()), self.watch)

    def release_news(self, age: float, cap: float, build: int, stage: int, phase: Phase) -> None:
        moved = (build, stage, phase) != (self.build, self.stage, self.phase)
        if build > self.build:
            self.calm, self.lately = self.lately, {}
            self.calm_asked = self.first_tries.since(self.host.clock - ASKED_OVER)
        if build < self.build:
            return  # news of a build that a later one has followed
        self.build, self.stage, self.phase, self.cap = build, stage, phase, cap
        if not moved:
            return
        seen = self.trial is not None and self.trial.build == build
        judged = phase is Phase.TRIAL or (phase is Phase.RELEASED and seen)
        self.trial = Trial(self, build, stage, phase, self.host.clock - age) if judged else None

    def vote_answered(self, receipt: Receipt) -> None:
        trial, now = self.trial, self.host.clock
        if trial and trial.cast_at:  # one that did not count, or may have, is cast again
            soon = VOTE_PAUSE * (0.75 + 0.5 * self.chance())
            trial.ask_at = now + (RENEW * self.charter.vote_life if receipt is Receipt.COUNTED else soon)

    def tallied(self, build: int, product: int, count: int, errored: int, mean: float, age: float) -> None:
        """Own outcomes are the evidence; the platform's sample of all is not used."""

    def neighbour_said(self, neighbour: int, text: bytes) -> None:
        if HEARD.fullmatch(text):
            build, *found = text.split()
            self.told[neighbour] = (self.host.clock, int(build), [float(x) for x in found])

    def pooled(self, build: int, found: Sequence[float]) -> list[float]:
        """Guards against evidence that no umpire has enough of alone. Umpires see separate outcomes, so their
        likelihood ratios multiply to one as valid. Harms: a trouble near one umpire is outweighed."""
        heard = [f for _, (at, of, f) in sorted(self.told.items())
                 if of == build and at > self.host.clock - 4 * TELL_EVERY]
        return [sum(column) for column in zip(found, *heard, strict=True)]

    def judge(self, transaction: Transaction, relay: Relay, outcome: Outcome, took: float) -> None:
        """Only answers, errors and lateness speak of a build; the rest speaks of a server or this umpire."""
        # A server that has fallen silent is one finding, not one for each relay that it held.
        mute = outcome is Outcome.LATE and (relay.server.silent > 1 or self.phase is Phase.RELEASED)
        if mute or not relay.old_enough or outcome not in (Outcome.HANDLED, Outcome.ERRORED, Outcome.LATE):
            return
        share = took / transaction.product.abandon if outcome is Outcome.HANDLED else 1.0
        product, trial = transaction.product.index, self.trial
        for side in (relay.server.seen, *trial.sides(relay.build)) if trial else ():
            side.setdefault(product, Sample()).add(share)
        self.lately.setdefault(product, Sample()).add(share)

    def consider(self) -> None:
        trial, now = self.trial, self.host.clock
        if not trial:
            return
        if trial.verdict is Verdict.NONE:
            verdict = trial.look(self.level, trial.phase is Phase.TRIAL and self.settled(trial))
            if verdict is Verdict.BACK or self.charter.control is not Control.CLOCK:
                trial.verdict = verdict
        if self.charter.neighbours and now >= trial.tell_at:
            trial.tell_at = now + TELL_EVERY
            self.host.tell_neighbours(b"%d %.1f %.1f %.1f %.1f" % (trial.build, *trial.found))
        if trial.verdict is not Verdict.NONE and now >= trial.ask_at:
            self.host.vote(trial.build, trial.stage, trial.verdict)
            trial.cast_at, trial.ask_at = now, now + self.charter.vote_wait + VOTE_PAUSE

    def settled(self, trial: Trial) -> bool:
        """Guards against an on too early: a stage's servers start, and are listed, one by one and late."""
        ready = [s for s in self.servers if s.state is Listed.READY]
        fresh = [s.since for s in ready if s.build == trial.build]
        share = self.charter.shares[min(trial.stage, len(self.charter.shares) - 1)]
        places = len(ready) if self.charter.replaces else len(ready) - len(fresh)
        complete = len(fresh) >= max(1, ceil(share * places - 1e-6))
        complete = complete or self.host.clock - trial.began >= LONGEST_START + PATIENT
        return complete and self.host.clock - max(fresh, default=inf) >= PATIENT

    def take(self, number: int, product: int, tenant: int, effort: float | None, until: float, key: int,
             again: bool) -> Transaction:
        transaction = Transaction(self, number, product, tenant, until, key, again)
        self.allowance(transaction).taken.append(self.host.clock)
        self.taken.append(self.host.clock)
        if not again:
            self.first_tries.append(self.host.clock)
        transaction.dispatch()
        return transaction

    def allowance(self, transaction: Transaction) -> Allowance:
        return self.allowances[transaction.product.index if self.charter.by_product else 0]

    def on_trial(self, build: int) -> bool:
        if self.build < 0:  # no news yet: whatever follows the earliest build listed may be on trial
            return build > min((s.build for s in self.servers if s.state is Listed.READY), default=build)
        return build > self.build or (build == self.build and self.phase is not Phase.RELEASED)

    def may_expose(self, transaction: Transaction, build: int) -> bool:
        told = (self.stage, self.cap) if build == self.build else (0, self.charter.caps[0])
        guarded = told[0] < self.charter.guarded_stages and transaction.product.repeat is not Repeat.REDOABLE
        return not guarded and self.allowance(transaction).left(self.host.clock, told[1]) >= 1

    def choose(self, transaction: Transaction) -> Server | None:
        ready = [s for s in self.servers
                 if s.state is Listed.READY and transaction.may_go(s) and s.may_push()]
        tried = [r.server for r in transaction.relays]
        if self.charter.one_way and self.phase in (Phase.TRIAL, Phase.RELEASED):
            ready = [s for s in ready if s.build >= self.keys.get(transaction.key, 0)]
        ready = ([s for s in ready if s not in tried and s.awake()]
                 or [s for s in ready if s not in tried] or ready)
        news = [s for s in ready if self.on_trial(s.build) and self.may_expose(transaction, s.build)]
        olds = [s for s in ready if not self.on_trial(s.build)]
        part = sum(s.warmth() for s in news)
        if news and (not olds or self.chance() < part / (part + sum(s.warmth() for s in olds))):
            return self.pick(news)
        return self.pick(olds) if olds else None

    def pick(self, servers: Sequence[Server]) -> Server:
        """Two random choices, weighted by warmth, so that a cold server gets no more than its warm peers."""
        edges = list(accumulate(s.warmth() for s in servers))
        places = [bisect_left(edges, self.chance() * edges[-1]) for _ in range(2)]
        return min((servers[min(place, len(servers) - 1)] for place in places), key=Server.cost)

    def has_room(self) -> bool:
        """Guards against overload of any cause (bursts, lost servers, retry storms): open relays are held to
        what is answered within part of the shortest target time. Harms: a rise after a lull must wait."""
        awake = [s for s in self.servers if s.awake()]
        few = FEW_OPEN * (1 + len(awake) / max(1, self.charter.umpires))
        timely = self.answers.since(self.host.clock - RATE_OVER) / RATE_OVER * QUEUE * self.shortest
        return sum(len(s.out) for s in awake) < max(few, timely)

    def serve_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        waiting.sort(key=lambda t: (t.again, -t.product.revenue / t.usual.mean(), -t.taken))
        for transaction in [t for t in waiting if not t.closed]:
            transaction.dispatch()

    def beat(self) -> None:
        for server in [s for s in self.servers if s.stalled()]:  # what it holds goes elsewhere where it may
            server.rest(2)
            others = [s for s in self.servers if s.awake()]
            for transaction, relay in server.out if self.charter.may_withdraw else ():
                if not transaction.closed and any(transaction.may_go(s) for s in others):
                    self.host.withdraw(transaction, transaction.relays.index(relay))

        if self.host.clock >= self.fade_at:
            self.fade_at = self.host.clock + FADE[0]
            for samples, kept in ((self.lately, FADE[1]), *((s.seen, FADE[2]) for s in self.servers)):
                for sample in samples.values():
                    sample.fade(kept)
        self.serve_waiting()
        self.consider()
        self.host.wake(BEAT, self.beat)
