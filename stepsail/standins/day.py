"""A day as data: fleet, traffic, offers and troubles, in the same line-based form as the settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from stepsail.loop.skew import Skew
from stepsail.settings.errors import InvalidSettings
from stepsail.settings.reader import SettingsReader
from stepsail.settings.schema import SHARE_BOUNDS, TIME_BOUNDS, Setting, argument
from stepsail.standins.builds import BUILD_KINDS, Build
from stepsail.standins.clients import ClientBehavior
from stepsail.standins.server_group import ServerShape

TROUBLES = {
    "kill-box": "A box's process dies and comes back cold.",
    "stall-box": "A box stands still.",
    "drain-box": "A box is drained, leaves, and a new one takes its place.",
    "cut-zone": "A zone is cut off from the others.",
    "kill-umpire": "An umpire is killed and started again.",
    "stop-umpire": "An umpire's process stands still.",
    "stall-conveyor": "Release control answers nothing.",
    "break-conveyor": "Release control answers with errors.",
    "late-news": "News comes later by so much.",
    "slow-all": "Every box is slower by so much.",
    "burst": "Traffic grows by so much.",
    "stall-roster": "The roster answers nothing.",
    "kill-boxes": "A part of the boxes dies at once and comes back cold.",
    "kill-zone": "All boxes of a zone die at once and come back cold.",
    "pause-boxes": "A part of the boxes stands still for so long (size, s), again and again.",
    "noisy-boxes": "A part of the boxes loses so much of its capacity (size, a share) to a neighbour.",
    "heavy-work": "A part of the transactions takes so many times the work (size).",
    "restart-umpires": "A part of the umpires is killed, one after the other, each back within 2 s.",
    "pause-umpires": "A part of the umpires stands still for so long (size, s), every 2 to 4 s.",
    "slow-zone": "The ways to a zone take longer (size, s) and lose a part of what is sent.",
    "leave-umpires": "A part of the umpires is told to leave, one after the other, each back within 2 s of its end.",
    "kill-umpires": "A part of the umpires is killed at once, and started again when it is over.",
    "stop-umpires": "A part of the umpires stands still at once.",
    "cut-umpires": "A part of the umpires can neither speak to the others nor hear them.",
    "mute-umpires": "What a part of the umpires says reaches none of the others.",
    "deafen-umpires": "What the others say reaches none of a part of the umpires.",
    "flap-umpires": "A part of the umpires is cut off and back again, by turns of so long (size, s).",
    "cut-ways": "A part of the umpires can neither reach boxes, release control and roster nor hear them; of 1, 2, "
    "3: one of these.",
    "mute-ways": "What a part of the umpires sends to them is lost, and connections are not made.",
    "deafen-ways": "What they send to a part of the umpires is lost, and connections are not made.",
    "lose-kept": "An umpire is killed, its kept files are lost, and it starts again.",
    "tear-kept": "An umpire is killed, its kept files are cut short, and it starts again.",
    "fill-kept": "An umpire's disk is full: nothing that it keeps can be written.",
    "lose-words": "A part of all words between umpires is lost.",
    "double-words": "A part of all words between umpires comes twice.",
    "late-words": "Words between umpires take up to so much longer (size, s), and overtake each other.",
    "old-words": "Beside a part of all words between umpires an old one comes again.",
    "retry-storm": "Clients try so many times more (size), at once.",
    "curve": "Traffic rises to so many times the usual and falls again, as a day does.",
}
WORD_TROUBLES = (
    "cut-umpires",
    "mute-umpires",
    "deafen-umpires",
    "flap-umpires",
    "lose-words",
    "double-words",
    "late-words",
    "old-words",
)  # of the words between umpires
WAY_TROUBLES = ("cut-ways", "mute-ways", "deafen-ways")  # of the ways from an umpire to all that is no umpire
KEPT_TROUBLES = ("lose-kept", "tear-kept", "fill-kept")  # of what an umpire keeps on disk
MOST_DRAWN = 64  # troubles of a day

BOXES = (
    Setting(
        "count",
        "Places for boxes, spread over the zones.",
        (argument("count", "whole", minimum=1, maximum=500),),
        required=True,
    ),
    Setting("cores", "Cores of each.", (argument("cores", "whole", minimum=1, maximum=256),), default=3),
    Setting(
        "queue",
        "Transactions that may wait in each; more are turned away unrun.",
        (argument("most", "whole"),),
        default=40,
    ),
    Setting(
        "fall-for",
        "A cold box that is sent too much for this time falls over.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "report-every",
        "Age that a load report may have.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.3,
    ),
    Setting(
        "boot",
        "Time that a new process takes to run.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "drain-for",
        "Time that a drained box still runs.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=2.0,
    ),
)

WORDS = (
    Setting(
        "site",
        "File of the umpires' common settings, beside this one.",
        (argument("file", "text"),),
        required=True,
    ),
    Setting(
        "length",
        "Time during which clients arrive.",
        (argument("time", "time", **TIME_BOUNDS),),
        required=True,
    ),
    Setting("seed", "Seed of the day's chance.", (argument("number", "whole"),), default=1),
    Setting(
        "umpires",
        "How many, spread over the zones.",
        (argument("count", "wholes", minimum=1, maximum=1000),),
        required=True,
    ),
    Setting("boxes", "The fleet.", (), BOXES, required=True),
    Setting(
        "demand",
        "A product's share of the traffic and its mean work on one core.",
        (
            argument("product", "text"),
            argument("share", "share", keyword="share", **SHARE_BOUNDS),
            argument("work", "time", keyword="work", **TIME_BOUNDS),
        ),
        repeatable=True,
        required=True,
    ),
    Setting(
        "traffic", "Transactions a second.", (argument("rate", "numbers", exclusiveMinimum=0),), required=True
    ),
    Setting(
        "troubles",
        "How many of the troubles below befall the day; absent: all.",
        (argument("count", "wholes", maximum=MOST_DRAWN),),
    ),
    Setting(
        "roster-late",
        "Time from a change to its listing.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.8,
    ),
    Setting(
        "news-late",
        "Time from a change to its news.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.4,
    ),
    Setting(
        "cross-delay",
        "Time one way between zones.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.001,
    ),
    Setting(
        "notice",
        "Time that the front goes on sending to a dead umpire.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "view",
        "Umpires keep a view of the fleet, and the rig carries their words.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "view-period",
        "Time between an umpire's probes of the others.",
        (argument("time", "time", **TIME_BOUNDS),),
    ),
    Setting(
        "heeded",
        "Umpires' decisions go by that view; 'no': by what the settings say.",
        (argument("yes", "yes"),),
        default=True,
    ),
    Setting(
        "speak",
        "Umpires tell each other what they saw of builds, by that view.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "told",
        "How many umpires the settings name, in place of the true number; those beyond it were told of "
        "themselves.",
        (argument("count", "whole", minimum=1, maximum=1000),),
    ),
    Setting(
        "keepers",
        "So many umpires keep an order of changes of policy, by the view's ports.",
        (argument("count", "whole", minimum=3, maximum=5),),
    ),
    Setting(
        "change",
        "A change of policy is proposed, and given up after so long; so soon after it was accepted a part "
        "of the umpires is cut off from the others for a time.",
        (
            argument("time", "times", keyword="at", **TIME_BOUNDS),
            argument("patience", "times", keyword="patience", optional=True, **TIME_BOUNDS),
            argument("cut", "shares", keyword="cut", optional=True, **SHARE_BOUNDS),
            argument("soon", "times", keyword="after", optional=True, **TIME_BOUNDS),
            argument("length", "times", keyword="for", optional=True, **TIME_BOUNDS),
            argument("chance", "share", keyword="chance", optional=True, **SHARE_BOUNDS),
        ),
        repeatable=True,
    ),
    Setting(
        "clock",
        "An umpire's clock runs so many times as fast, and from a time after each start on it is ahead or "
        "back by so much.",
        (
            argument("of", "whole"),
            argument("rate", "numbers", keyword="rate", optional=True, minimum=0.5, maximum=2),
            argument("ahead", "times", keyword="ahead", optional=True, **TIME_BOUNDS),
            argument("back", "times", keyword="back", optional=True, **TIME_BOUNDS),
            argument("time", "times", keyword="at", optional=True, **TIME_BOUNDS),
            argument("chance", "share", keyword="chance", optional=True, **SHARE_BOUNDS),
        ),
        repeatable=True,
    ),
    Setting(
        "uneven",
        "So many times more goes to a zone's first umpire than to its last.",
        (argument("times", "number", minimum=1, maximum=1000),),
        default=1.0,
    ),
    Setting("retries", "Tries beyond the first.", (argument("count", "whole", maximum=10),), default=2),
    Setting(
        "offer",
        "A build is offered: what it does, how much, to which product, its speed.",
        (
            argument("time", "times", keyword="at", **TIME_BOUNDS),
            argument("kind", "text", enum=list(BUILD_KINDS)),
            argument("size", "numbers", keyword="size", optional=True),
            argument("product", "text", keyword="product", optional=True),
            argument("speed", "numbers", keyword="speed", optional=True, exclusiveMinimum=0),
            argument("chance", "share", keyword="chance", optional=True, **SHARE_BOUNDS),
        ),
        repeatable=True,
    ),
    Setting(
        "trouble",
        "Something goes wrong.",
        (
            argument("kind", "text", enum=list(TROUBLES)),
            argument("time", "times", keyword="at", **TIME_BOUNDS),
            argument("length", "times", keyword="for", **TIME_BOUNDS),
            argument("of", "wholes", keyword="of", optional=True),
            argument("size", "numbers", keyword="size", optional=True),
            argument("part", "shares", keyword="part", optional=True, **SHARE_BOUNDS),
            argument("chance", "share", keyword="chance", optional=True, **SHARE_BOUNDS),
        ),
        repeatable=True,
    ),
)


@dataclass
class Trouble:
    """One trouble: when it begins and how long it lasts (s), which one it meets or what part, how strong it is."""

    kind: str
    at: float
    length: float
    of: int = 0
    size: float = 1.0
    part: float = 0.5


@dataclass
class Proposal:
    """A change of policy: when it is proposed, and how long it is waited for (s); the part of the umpires that is cut
    off then, how long after the proposal was accepted, and for how long."""

    at: float
    patience: float
    cut: float
    soon: float
    length: float


@dataclass
class Day:
    """One day. Times in seconds."""

    name: str
    site: Path
    length: float
    seed: int
    umpires: int
    places: int
    shape: ServerShape
    boot: float
    drain_for: float
    demand: dict[str, tuple[float, float]]
    traffic: float
    roster_late: float
    news_late: float
    cross_delay: float
    notice: float
    manners: ClientBehavior
    uneven: float = 1.0
    view: bool = False
    view_period: float = 0.0  # the usual one
    offers: list[tuple[float, Build]] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    clocks: dict[int, Skew] = field(default_factory=dict)
    heeded: bool = True
    speak: bool = False
    keepers: int = 0
    changes: list[Proposal] = field(default_factory=list)
    told: int = 0  # umpires that the settings name; 0: the true number


def _drawn(random: Random, ends: list[Any] | None, absent: float) -> Any:
    """A value from a range; a whole number from whole ones. Draws even where there is nothing to choose, so that one
    range more or less does not change what others come to."""
    luck = random.random()
    if ends is None:
        return absent
    low, high = ends
    if isinstance(low, int) and isinstance(high, int):
        return low + min(high - low, int(luck * (high - low + 1)))
    return low + luck * (high - low)


def _offers(told: list[dict[str, Any]], random: Random) -> list[tuple[float, Build]]:
    drawn = []
    for offer in told:
        at, size = _drawn(random, offer["time"], 0.0), _drawn(random, offer.get("size"), 0.0)
        speed = _drawn(random, offer.get("speed"), 1.0)
        if random.random() < offer.get("chance", 1.0):
            drawn.append((at, offer["kind"], size, offer.get("product", ""), speed))
    return [(at, Build(number + 2, *rest)) for number, (at, *rest) in enumerate(sorted(drawn))]


def _troubles(told: list[dict[str, Any]], most: list[int] | None, random: Random) -> list[Trouble]:
    drawn = []
    for t in told:
        one = Trouble(
            t["kind"],
            _drawn(random, t["time"], 0.0),
            _drawn(random, t["length"], 0.0),
            _drawn(random, t.get("of"), 0),
            _drawn(random, t.get("size"), 1.0),
            _drawn(random, t.get("part"), 0.5),
        )
        if random.random() < t.get("chance", 1.0):
            drawn.append(one)
    if most is not None:
        count = _drawn(random, most, 0)
        while len(drawn) > count:
            drawn.pop(random.randrange(len(drawn)))
    return drawn


def _clocks(told: list[dict[str, Any]], random: Random) -> dict[int, Skew]:
    drawn = {}
    for clock in told:
        ahead, back = _drawn(random, clock.get("ahead"), 0.0), _drawn(random, clock.get("back"), 0.0)
        skew = Skew(
            round(_drawn(random, clock.get("rate"), 1.0), 4),
            round(ahead - back, 3),
            round(_drawn(random, clock.get("time"), 0.0), 3),
        )
        if random.random() < clock.get("chance", 1.0):
            drawn[clock["of"]] = skew
    return drawn


def read_day(file: Path, seed: int | None = None) -> Day:
    """What is given as a range is drawn by this seed, or by the file's own. Raises Faults with all that is wrong."""
    tree = SettingsReader(WORDS).read(file)
    top: dict[str, Any] = {w.name: w.default for w in WORDS} | tree.values
    boxes = {w.name: w.default for w in BOXES} | top["boxes"]
    demand = {d["product"]: (d["share"], d["work"]) for d in top["demand"]}
    for at, trouble in enumerate(top["trouble"] or []):
        fewest = top["umpires"][0]
        most = {"box": boxes["count"], "umpire": fewest, "kept": fewest, "ways": 4}.get(
            trouble["kind"].split("-")[-1], 1 << 30
        )
        if trouble.get("of", [0, 0])[1] >= most:
            tree.add_error(tree.location_of("trouble", at, "of"), f"there are only {most}, numbered from 0")
    for at, clock in enumerate(top["clock"] or []):
        if clock["of"] >= top["umpires"][0]:
            tree.add_error(
                tree.location_of("clock", at), f"there are only {top['umpires'][0]} umpires, numbered from 0"
            )
    for at, offer in enumerate(top["offer"] or []):
        if (offer["kind"] == "product") != ("product" in offer) or offer.get("product", "") not in (
            "",
            *demand,
        ):
            tree.add_error(
                tree.location_of("offer", at), "kind 'product' names a product that is asked for; others none"
            )
    for at, trouble in enumerate(top["trouble"] or []):
        if trouble["kind"] in WORD_TROUBLES and not top["view"]:
            tree.add_error(
                tree.location_of("trouble", at), "without 'view yes' umpires say nothing to each other"
            )
    if top["keepers"] and (not top["view"] or top["keepers"] > top["umpires"][0] or top["keepers"] == 4):
        tree.add_error(tree.location_of("keepers"), "three or five of the umpires, who have 'view yes'")
    if tree.errors:
        raise InvalidSettings(tree.errors)
    seed = top["seed"] if seed is None else seed
    random = Random(f"{seed} draw")
    day = Day(
        file.parent.name if file.stem == "day" else file.stem,
        file.parent / top["site"],
        top["length"],
        seed,
        _drawn(Random(f"{seed} umpires"), top["umpires"], 1),
        boxes["count"],
        ServerShape(
            boxes["cores"],
            boxes["queue"],
            overload_window=boxes["fall-for"],
            report_interval=boxes["report-every"],
        ),
        boxes["boot"],
        boxes["drain-for"],
        demand,
        _drawn(random, top["traffic"], 0.0),
        top["roster-late"],
        top["news-late"],
        top["cross-delay"],
        top["notice"],
        ClientBehavior(retries=top["retries"]),
        top["uneven"],
        top["view"],
        top["view-period"] or 0.0,
        _offers(top["offer"] or [], random),
        _troubles(top["trouble"] or [], top["troubles"], random),
    )
    day.keepers, chances = top["keepers"] or 0, Random(f"{seed} changes")
    for c in top["change"] or []:
        change = Proposal(
            _drawn(chances, c["time"], 0.0),
            _drawn(chances, c.get("patience"), 0.0),
            _drawn(chances, c.get("cut"), 0.0),
            _drawn(chances, c.get("soon"), 0.0),
            _drawn(chances, c.get("length"), 0.0),
        )
        day.changes += [change] if chances.random() < c.get("chance", 1.0) else []
    day.heeded, day.speak, day.told = top["heeded"], top["speak"], top["told"] or 0
    day.clocks = _clocks(top["clock"] or [], random)
    return day
