"""The wire codec: frames in, records out, and the settings text decoded into a Charter."""

from __future__ import annotations

from struct import Struct
from typing import Any, BinaryIO

from stepsail.interface import Charter, Control, Group, Product, Repeat

HEADER = Struct("<Id")
REPLY = Struct("<II")

ENTRY = Struct("<6sBHHfBfd")
POWER_ON = Struct("<HQI")
REGISTER = Struct("<HI")
DISCOVERY = Struct("<HBQH")
CALL = Struct("<HQHBddQB")
CONTESTED = Struct("<H6sBd")
NEIGHBOUR_SAYS = Struct("<HHH")
ROLLOUT_STATE = Struct("<HdfHBBHB")
ECHO = Struct("<H6sdHB")
METRICS = Struct("<HHBIIdd")
COMPLETED = Struct("<HQHBHd6sB")
STARTED = Struct("<HQdH6s")
KILLED = Struct("<H")
WITHDRAWN = Struct("<HQ")
BELL = Struct("<HQ")
REPORTS = tuple(Struct(f"<{n}f") for n in range(256))

PLACE = Struct("<BHQ6sd")
BUSY = Struct("<BHQd")
GIVE_UP = Struct("<BHQ")
WITHDRAW = Struct("<BHQH")
DEFER = Struct("<BHdQ")
SAMPLE = LET_GO = Struct("<BH6s")
PUBLISH = Struct("<BHHH")
SAY = Struct("<BHH")
KEEP_INFORMED = Struct("<BHB")
READ_LIST = Struct("<BH")
BALLOT = Struct("<BHHBB")
TEXT_MOST = 0xFFFF

SEEN_HEAD = Struct("<cd")  # an umpire's word to a judge: kind, sender's clock,
SEEN = Struct("<6sHBB")  # and outcomes: server, build, product, bin,
SEEN_MOST = (256 - SEEN_HEAD.size) // SEEN.size  # of which one message holds so many
STUCK = Struct("<cd")  # a judge's word to all: kind, sender's clock, then the stuck products, a byte each
FOUND = Struct("<cdHBB")  # a judge's word to all: kind, sender's clock, build, stage, verdict


class Malformed(Exception):
    """A frame that does not follow the wire."""


def _read(stream: BinaryIO, size: int) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        part = stream.read(size - len(parts))
        if not part:
            break
        parts += part
    return bytes(parts)


def next_frame(stream: BinaryIO) -> Frame | None:
    """Read one batch, or None at the end of input."""
    head = _read(stream, HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise Malformed(f"input ended inside a batch header ({len(head)} of {HEADER.size} bytes)")
    length, clock = HEADER.unpack(head)
    if length < HEADER.size:
        raise Malformed(f"batch length {length} is shorter than its header")
    body = _read(stream, length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise Malformed(f"input ended inside a batch ({len(body) + HEADER.size} of {length} bytes)")
    return Frame(body, clock / 1000.0)


class Frame:
    """One batch: its clock in seconds and its records, read in order."""

    __slots__ = ("body", "clock", "place")

    def __init__(self, body: bytes, clock: float) -> None:
        self.body, self.clock, self.place = body, clock, 0

    def code(self) -> int | None:
        if self.place == len(self.body):
            return None
        self.place += 1
        return self.body[self.place - 1]

    def fields(self, layout: Struct) -> tuple[Any, ...]:
        start = self.place
        self.place = start + layout.size
        if self.place > len(self.body):
            raise Malformed(f"a record at byte {start} runs past its batch")
        return layout.unpack_from(self.body, start)

    def blob(self, size: int) -> bytes:
        start = self.place
        self.place = start + size
        if self.place > len(self.body):
            raise Malformed(f"a field at byte {start} runs past its batch")
        return self.body[start:self.place]


class Reply:
    """The reply to one batch."""

    __slots__ = ("count", "records")

    def __init__(self) -> None:
        self.count, self.records = 0, bytearray()

    def add(self, layout: Struct, *values: Any, tail: bytes = b"") -> None:
        self.records += layout.pack(*values)
        self.records += tail
        self.count += 1

    def frame(self) -> bytes:
        return REPLY.pack(self.count, REPLY.size + len(self.records)) + bytes(self.records)


REPEATS = {"repeatable": Repeat.REDOABLE, "by_key": Repeat.LABELLED, "once": Repeat.IRREVERSIBLE}
CONTROLS = {"first_voice": Control.ANY, "by_count": Control.SHARE, "automatic": Control.CLOCK}


class Settings:
    """The path=value pairs, with absent paths read as absent values."""

    def __init__(self, text: str) -> None:
        self.pairs = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def word(self, path: str, absent: str = "") -> str:
        return self.pairs.get(path, absent)

    def number(self, path: str, absent: float = 0.0) -> float:
        return float(self.pairs.get(path) or absent)

    def span(self, path: str) -> float:
        return self.number(path) / 1000.0

    def whole(self, path: str) -> int:
        return int(self.number(path))

    def flag(self, path: str) -> bool:
        return self.word(path) == "true"

    def numbers(self, path: str) -> tuple[float, ...]:
        return tuple(float(x) for x in self.word(path).split(",") if x)


def _product(found: Settings, index: int) -> Product:
    at = f"Lanes.{index}."
    return Product(index, found.span(at + "PromiseMs"), found.span(at + "DeadlineMs"),
                   found.number(at + "Worth"), found.number(at + "LateWorth"),
                   REPEATS.get(found.word(at + "Idempotency"), Repeat.IRREVERSIBLE),
                   Group(found.word(at + "DedupScope", "cell") or "cell"), found.span(at + "WindowMs"))


def read_charter(text: str) -> Charter:
    """Decode the settings an instance is started with; paths the module does not read are passed over."""
    found = Settings(text)
    tenants = range(found.whole("Realms.count"))
    return Charter(
        products=tuple(_product(found, i) for i in range(found.whole("Lanes.count"))),
        me=found.whole("Me"), umpires=found.whole("Siblings"), zone=found.whole("MyZone"),
        crossing_price=found.number("Tariffs.CrossZone"), probe_price=found.number("Tariffs.Probe"),
        probing=found.flag("Limits.Probing"), neighbours=found.flag("Limits.Peers"),
        may_withdraw=found.flag("Limits.Cancel"), second_copies=found.flag("Limits.SecondCopies"),
        most_relays=found.whole("Limits.MaxAttempts"),
        longest_stay_away=found.span("Limits.MaxRetryAfterMs") if found.flag("Limits.RetryAfter") else 0.0,
        must_ask=found.word("RegistryMode") == "on_request",
        report_columns=tuple(x for x in found.word("Stats.Columns").split(",") if x),
        reports_by_probe=found.word("Stats.Source") == "probe",
        drain_grace=found.span("Rules.StopSendingWithinMs"),
        cold_from=found.number("Rules.ColdFrom"), cold_for=found.span("Rules.ColdMs"),
        fall_multiple=found.number("Rules.FallMultiple", 1.0),
        control=CONTROLS.get(found.word("Domain.DecidedBy"), Control.ANY),
        replaces=found.word("Domain.ReplaceMode") == "replace", bake=found.span("Domain.BakeMs"),
        shares=found.numbers("Domain.Shares") or (1.0,), caps=found.numbers("Domain.MostShares") or (0.0,),
        guarded_stages=found.whole("Domain.ClosedStages"), one_way=found.flag("Domain.OneWay"),
        by_product=found.word("Domain.CountedBy") == "each_class", free=found.number("Domain.Uncounted"),
        window=found.span("Domain.CountedOverMs"), vote_life=found.span("Domain.VoteStandsMs"),
        idle_for=found.span("Limits.ConnIdleMs"), connect_wait=found.span("Limits.ConnectTimeoutMs"),
        warm_keys=found.flag("Domain.WarmKeys"),
        vote_wait=found.span("Domain.ApiTimeoutMs"), votes_per_s=found.number("Domain.VoteAllowance"),
        tenant_shares=tuple(found.number(f"Realms.{i}.Share") for i in tenants),
        tenant_quotas=tuple(found.number(f"Realms.{i}.QuotaPerS") for i in tenants))
