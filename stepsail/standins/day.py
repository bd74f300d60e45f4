"""A day as data: fleet, traffic, offers and troubles, in the same line-based form as the settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stepsail.charter.read import Faults, Reader
from stepsail.charter.words import SHARE, TIME, Word, arg
from stepsail.standins.box import Shape
from stepsail.standins.builds import KINDS, Build
from stepsail.standins.clients import Manners

TROUBLES = {
    "kill-box": "A box's process dies and comes back cold.", "stall-box": "A box stands still.",
    "drain-box": "A box is drained, leaves, and a new one takes its place.",
    "cut-zone": "A zone is cut off from the others.", "kill-umpire": "An umpire is killed and started again.",
    "stop-umpire": "An umpire's process stands still.", "stall-conveyor": "Release control answers nothing.",
    "break-conveyor": "Release control answers with errors.", "late-news": "News comes later by so much.",
    "slow-all": "Every box is slower by so much.", "burst": "Traffic grows by so much.",
    "stall-roster": "The roster answers nothing."}

BOXES = (
    Word("count", "Places for boxes, spread over the zones.", (arg("count", "whole", minimum=1, maximum=500),),
         needed=True),
    Word("cores", "Cores of each.", (arg("cores", "whole", minimum=1, maximum=256),), absent=3),
    Word("queue", "Transactions that may wait in each; more are turned away unrun.", (arg("most", "whole"),),
         absent=40),
    Word("fall-for", "A cold box that is sent too much for this time falls over.",
         (arg("time", "time", **TIME),), absent=1.5),
    Word("report-every", "Age that a load report may have.", (arg("time", "time", **TIME),), absent=0.3),
    Word("boot", "Time that a new process takes to run.", (arg("time", "time", **TIME),), absent=1.5),
    Word("drain-for", "Time that a drained box still runs.", (arg("time", "time", **TIME),), absent=2.0))

WORDS = (
    Word("site", "File of the umpires' common settings, beside this one.", (arg("file", "text"),), needed=True),
    Word("length", "Time during which clients arrive.", (arg("time", "time", **TIME),), needed=True),
    Word("seed", "Seed of the day's chance.", (arg("number", "whole"),), absent=1),
    Word("umpires", "How many, spread over the zones.", (arg("count", "whole", minimum=1, maximum=1000),),
         needed=True),
    Word("boxes", "The fleet.", (), BOXES, needed=True),
    Word("demand", "A product's share of the traffic and its mean work on one core.", (
        arg("product", "text"), arg("share", "share", keyword="share", **SHARE),
        arg("work", "time", keyword="work", **TIME)), many=True, needed=True),
    Word("traffic", "Transactions a second.", (arg("rate", "number", exclusiveMinimum=0),), needed=True),
    Word("roster-late", "Time from a change to its listing.", (arg("time", "time", **TIME),), absent=0.8),
    Word("news-late", "Time from a change to its news.", (arg("time", "time", **TIME),), absent=0.4),
    Word("cross-delay", "Time one way between zones.", (arg("time", "time", **TIME),), absent=0.001),
    Word("notice", "Time that the front goes on sending to a dead umpire.", (arg("time", "time", **TIME),),
         absent=1.5),
    Word("retries", "Tries beyond the first.", (arg("count", "whole", maximum=10),), absent=2),
    Word("offer", "A build is offered: what it does, how much, to which product, its speed.", (
        arg("time", "time", keyword="at", **TIME), arg("kind", "text", enum=list(KINDS)),
        arg("size", "number", keyword="size", optional=True),
        arg("product", "text", keyword="product", optional=True),
        arg("speed", "number", keyword="speed", optional=True, exclusiveMinimum=0)), many=True),
    Word("trouble", "Something goes wrong.", (
        arg("kind", "text", enum=list(TROUBLES)), arg("time", "time", keyword="at", **TIME),
        arg("length", "time", keyword="for", **TIME), arg("of", "whole", keyword="of", optional=True),
        arg("size", "number", keyword="size", optional=True)), many=True))


@dataclass
class Trouble:
    """One trouble: when it begins and how long it lasts (s), which one it meets, how strong it is."""

    kind: str
    at: float
    length: float
    of: int = 0
    size: float = 1.0


@dataclass
class Day:
    """One day. Times in seconds."""

    name: str
    site: Path
    length: float
    seed: int
    umpires: int
    places: int
    shape: Shape
    boot: float
    drain_for: float
    demand: dict[str, tuple[float, float]]
    traffic: float
    roster_late: float
    news_late: float
    cross_delay: float
    notice: float
    manners: Manners
    offers: list[tuple[float, Build]] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)


def read_day(file: Path) -> Day:
    """Raises Faults with everything that is wrong."""
    tree = Reader(WORDS).read(file)
    top: dict[str, Any] = {w.name: w.absent for w in WORDS} | tree.values
    boxes = {w.name: w.absent for w in BOXES} | top["boxes"]
    demand = {d["product"]: (d["share"], d["work"]) for d in top["demand"]}
    for at, trouble in enumerate(top["trouble"] or []):
        most = {"box": boxes["count"], "umpire": top["umpires"]}.get(trouble["kind"].split("-")[-1], 1 << 30)
        if trouble.get("of", 0) >= most:
            tree.complain(tree.at("trouble", at, "of"), f"there are only {most}, numbered from 0")
    for at, offer in enumerate(top["offer"] or []):
        if (offer["kind"] == "product") != ("product" in offer) or offer.get("product", "") not in ("", *demand):
            tree.complain(tree.at("offer", at), "kind 'product' names a product that is asked for; others none")
    if tree.faults:
        raise Faults(tree.faults)
    offers = [(o["time"], Build(at + 2, o["kind"], o.get("size", 0.0), o.get("product", ""), o.get("speed", 1.0)))
              for at, o in enumerate(sorted(top["offer"] or [], key=lambda o: float(o["time"])))]
    troubles = [Trouble(t["kind"], t["time"], t["length"], t.get("of", 0), t.get("size", 1.0))
                for t in top["trouble"] or []]
    return Day(
        file.parent.name if file.stem == "day" else file.stem, file.parent / top["site"], top["length"],
        top["seed"], top["umpires"], boxes["count"],
        Shape(boxes["cores"], boxes["queue"], fall_for=boxes["fall-for"], report_every=boxes["report-every"]),
        boxes["boot"], boxes["drain-for"], demand, top["traffic"], top["roster-late"], top["news-late"],
        top["cross-delay"], top["notice"], Manners(retries=top["retries"]), offers, troubles)
