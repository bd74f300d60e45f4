"""Reads day files: the servers, instances, traffic, releases and faults of a run.

Day files have the same line-based syntax as settings files.
"""

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

FAULTS = {
    "kill-box": "A server's process is killed and starts again cold.",
    "stall-box": "A server stalls.",
    "drain-box": "A server is drained and stops, and a new one replaces it.",
    "cut-zone": "A zone is cut off from the others.",
    "kill-umpire": "An instance is killed and started again.",
    "stop-umpire": "An instance's process is paused.",
    "stall-conveyor": "Release control answers nothing.",
    "break-conveyor": "Release control answers with errors.",
    "late-news": "States of release control arrive later (size, s).",
    "slow-all": "All servers are slower (size, a factor).",
    "burst": "Traffic grows (size, a factor).",
    "stall-roster": "Endpoint discovery answers nothing.",
    "kill-boxes": "A share of the servers is killed at once and starts again cold.",
    "kill-zone": "All servers of a zone are killed at once and start again cold.",
    "pause-boxes": "A share of the servers is paused repeatedly (size, s for each pause).",
    "noisy-boxes": "A share of the servers loses capacity (size, a share) to a noisy neighbour.",
    "heavy-work": "A share of the requests takes more work (size, a factor).",
    "restart-umpires": "A share of the instances is killed one after the other; each is back within 2 s.",
    "pause-umpires": "A share of the instances is paused (size, s), every 2 to 4 s.",
    "slow-zone": "Links to a zone take longer (size, s) and lose a share of what is sent.",
    "leave-umpires": "A share of the instances shuts down one after the other; each is back within 2 s of "
    "its exit.",
    "kill-umpires": "A share of the instances is killed at once, and started again at the end of the fault.",
    "stop-umpires": "A share of the instances is paused at once.",
    "cut-umpires": "A share of the instances can neither send datagrams to the others nor receive theirs.",
    "mute-umpires": "Datagrams from a share of the instances do not reach the others.",
    "deafen-umpires": "Datagrams from the other instances do not reach a share of the instances.",
    "flap-umpires": "A share of the instances is alternately cut off and reconnected (size, s for each).",
    "cut-ways": "A share of the instances can exchange nothing with servers, release control and endpoint "
    "discovery; of 1, 2, 3: with only one of these.",
    "mute-ways": "Data from a share of the instances to these targets is lost, and connections fail.",
    "deafen-ways": "Data from these targets to a share of the instances is lost, and connections fail.",
    "lose-kept": "An instance is killed, its endpoint cache is deleted, and it starts again.",
    "tear-kept": "An instance is killed, its endpoint cache is truncated, and it starts again.",
    "fill-kept": "An instance's disk is full: it cannot write its endpoint cache.",
    "lose-words": "A share of all datagrams between instances is lost.",
    "double-words": "A share of all datagrams between instances is delivered twice.",
    "late-words": "Datagrams between instances are delayed by up to so much more (size, s) and reordered.",
    "old-words": "A share of all datagrams between instances is accompanied by the replay of an old one.",
    "retry-storm": "Clients retry more often (size, a number of retries), and at once.",
    "curve": "Traffic rises to a multiple of the usual (size) and falls again, like a daily curve.",
}
# Faults of the datagrams between instances.
DATAGRAM_FAULTS = (
    "cut-umpires",
    "mute-umpires",
    "deafen-umpires",
    "flap-umpires",
    "lose-words",
    "double-words",
    "late-words",
    "old-words",
)
# Faults of the links from an instance to servers, release control and endpoint discovery.
LINK_FAULTS = ("cut-ways", "mute-ways", "deafen-ways")
# Faults of the file in which an instance caches the endpoint list.
ENDPOINT_CACHE_FAULTS = ("lose-kept", "tear-kept", "fill-kept")
MAX_FAULTS = 64  # in one day

SERVER_SETTINGS = (
    Setting(
        "count",
        "Number of places for servers, spread over the zones.",
        (argument("count", "whole", minimum=1, maximum=500),),
        required=True,
    ),
    Setting(
        "cores", "Cores of each server.", (argument("cores", "whole", minimum=1, maximum=256),), default=3
    ),
    Setting(
        "queue",
        "Requests that may wait in each server; more are rejected.",
        (argument("most", "whole"),),
        default=40,
    ),
    Setting(
        "fall-for",
        "Time of overload after which a server that is warming up fails.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "report-every",
        "Age at which a load report is renewed.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.3,
    ),
    Setting(
        "boot",
        "Time that a new server takes to start.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "drain-for",
        "Time that a drained server still runs.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=2.0,
    ),
)

DAY_SETTINGS = (
    Setting(
        "site",
        "File of the instances' common settings, in the same folder as this one.",
        (argument("file", "text"),),
        required=True,
    ),
    Setting(
        "length",
        "Time during which clients arrive.",
        (argument("time", "time", **TIME_BOUNDS),),
        required=True,
    ),
    Setting("seed", "Seed of all random choices of the day.", (argument("number", "whole"),), default=1),
    Setting(
        "umpires",
        "Number of instances, spread over the zones.",
        (argument("count", "wholes", minimum=1, maximum=1000),),
        required=True,
    ),
    Setting("boxes", "The servers.", (), SERVER_SETTINGS, required=True),
    Setting(
        "demand",
        "A request class's share of the traffic and its mean work on one core.",
        (
            argument("product", "text"),
            argument("share", "share", keyword="share", **SHARE_BOUNDS),
            argument("work", "time", keyword="work", **TIME_BOUNDS),
        ),
        repeatable=True,
        required=True,
    ),
    Setting(
        "traffic", "Requests per second.", (argument("rate", "numbers", exclusiveMinimum=0),), required=True
    ),
    Setting(
        "troubles",
        "Number of the faults below that occur, chosen at random; if absent, all.",
        (argument("count", "wholes", maximum=MAX_FAULTS),),
    ),
    Setting(
        "roster-late",
        "Time from a change of a server to its entry in the endpoint list.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.8,
    ),
    Setting(
        "news-late",
        "Time from a change of a release to its state message.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.4,
    ),
    Setting(
        "cross-delay",
        "One-way network delay between zones.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.001,
    ),
    Setting(
        "notice",
        "Time for which the load balancer goes on sending to an instance that has died.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=1.5,
    ),
    Setting(
        "view",
        "Whether instances take part in the fleet's membership; their datagrams pass a simulated network.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "view-period",
        "Time between two membership probes by an instance.",
        (argument("time", "time", **TIME_BOUNDS),),
    ),
    Setting(
        "heeded",
        "Whether the router uses the current members; 'no': it uses the number of instances in the settings.",
        (argument("yes", "yes"),),
        default=True,
    ),
    Setting(
        "speak",
        "Whether instances also gossip the outcomes of attempts to the members.",
        (argument("yes", "yes"),),
        default=False,
    ),
    Setting(
        "told",
        "Number of instances in the settings, in place of the true number; an instance with a higher number "
        "has the settings for one more than its own number.",
        (argument("count", "whole", minimum=1, maximum=1000),),
    ),
    Setting(
        "keepers",
        "Number of instances that vote on policy changes; their messages use the ports of 'view'.",
        (argument("count", "whole", minimum=3, maximum=5),),
    ),
    Setting(
        "change",
        "A policy change is proposed, with a timeout. After its proposal was accepted and a delay, a share "
        "of the instances may be cut off from the others for a time.",
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
        "An instance's clock runs at this rate, and at a time after each start it jumps forward or back by "
        "so much.",
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
        "How many times as many connections a zone's first instance gets as its last.",
        (argument("times", "number", minimum=1, maximum=1000),),
        default=1.0,
    ),
    Setting(
        "retries",
        "Retries of a client after its first try.",
        (argument("count", "whole", maximum=10),),
        default=2,
    ),
    Setting(
        "offer",
        "A build is released: its kind, the size of its effect, the request class affected, and its speed.",
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
        "A fault that occurs during the day.",
        (
            argument("kind", "text", enum=list(FAULTS)),
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
class Fault:
    """One fault of a day. Times in seconds.

    Attributes:
        kind: A key of FAULTS.
        at: Time from the start of the day.
        length: How long the fault lasts.
        target: Number of the server, instance or zone affected, or the kind of link target.
        size: Strength of the fault, as described in FAULTS.
        share: Share of the servers, instances, requests or datagrams affected.
    """

    kind: str
    at: float
    length: float
    target: int = 0
    size: float = 1.0
    share: float = 0.5


@dataclass
class Proposal:
    """A policy change that is proposed during the day. Times in seconds.

    Attributes:
        at: Time from the start of the day.
        timeout: Time after which the change is given up.
        cut_share: Share of the instances that is cut off from the others after the proposal was accepted.
        cut_delay: Time from the acceptance until they are cut off.
        length: How long they are cut off.
    """

    at: float
    timeout: float
    cut_share: float
    cut_delay: float
    length: float


@dataclass
class Day:
    """One day, with all random choices made. Times in seconds.

    Attributes:
        common_settings: Settings file that the instances include.
        place_count: Number of places for servers.
        demand: By request class, its share of the traffic and its mean work on one core.
        request_rate: Requests per second.
        notice: Time for which load balancers go on sending to an instance that has died.
        balancer_skew: How many times as many connections a zone's first instance gets as its last.
        probe_period: Time between two membership probes; 0: the default.
        releases: Builds, with the times of their release.
        used_by_router: Whether the router uses the current members.
        carries_gossip: Whether instances also gossip the outcomes of attempts to the members.
        configured_instance_count: Number of instances in the settings; 0: the true number.
    """

    name: str
    common_settings: Path
    length: float
    seed: int
    instance_count: int
    place_count: int
    shape: ServerShape
    boot_duration: float
    drain_duration: float
    demand: dict[str, tuple[float, float]]
    request_rate: float
    discovery_delay: float
    release_control_delay: float
    cross_zone_delay: float
    notice: float
    client_behavior: ClientBehavior
    balancer_skew: float = 1.0
    has_membership: bool = False
    probe_period: float = 0.0
    releases: list[tuple[float, Build]] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    clock_skews: dict[int, Skew] = field(default_factory=dict)
    used_by_router: bool = True
    carries_gossip: bool = False
    voter_count: int = 0
    proposals: list[Proposal] = field(default_factory=list)
    configured_instance_count: int = 0


def _draw(random: Random, bounds: list[Any] | None, default: float) -> Any:
    """Draw a value from a range; an integer if both bounds are integers.

    Consumes one random number even without a range, so that adding or removing a range does not change the
    values drawn for others.
    """
    draw = random.random()
    if bounds is None:
        return default
    low, high = bounds
    if isinstance(low, int) and isinstance(high, int):
        return low + min(high - low, int(draw * (high - low + 1)))
    return low + draw * (high - low)


def _draw_releases(definitions: list[dict[str, Any]], random: Random) -> list[tuple[float, Build]]:
    drawn = []
    for definition in definitions:
        at, size = _draw(random, definition["time"], 0.0), _draw(random, definition.get("size"), 0.0)
        speed = _draw(random, definition.get("speed"), 1.0)
        if random.random() < definition.get("chance", 1.0):
            drawn.append((at, definition["kind"], size, definition.get("product", ""), speed))
    return [(at, Build(index + 2, *rest)) for index, (at, *rest) in enumerate(sorted(drawn))]


def _draw_faults(
    definitions: list[dict[str, Any]], count_range: list[int] | None, random: Random
) -> list[Fault]:
    drawn = []
    for definition in definitions:
        fault = Fault(
            definition["kind"],
            _draw(random, definition["time"], 0.0),
            _draw(random, definition["length"], 0.0),
            _draw(random, definition.get("of"), 0),
            _draw(random, definition.get("size"), 1.0),
            _draw(random, definition.get("part"), 0.5),
        )
        if random.random() < definition.get("chance", 1.0):
            drawn.append(fault)
    if count_range is not None:
        count = _draw(random, count_range, 0)
        while len(drawn) > count:
            drawn.pop(random.randrange(len(drawn)))
    return drawn


def _draw_clock_skews(definitions: list[dict[str, Any]], random: Random) -> dict[int, Skew]:
    drawn = {}
    for definition in definitions:
        ahead, back = _draw(random, definition.get("ahead"), 0.0), _draw(random, definition.get("back"), 0.0)
        skew = Skew(
            round(_draw(random, definition.get("rate"), 1.0), 4),
            round(ahead - back, 3),
            round(_draw(random, definition.get("time"), 0.0), 3),
        )
        if random.random() < definition.get("chance", 1.0):
            drawn[definition["of"]] = skew
    return drawn


def read_day(file: Path, seed: int | None = None) -> Day:
    """Read a day file and draw a value from each range, with this seed or that in the file.

    Raises:
        InvalidSettings: The file is invalid; contains all errors.
    """
    tree = SettingsReader(DAY_SETTINGS).read(file)
    values: dict[str, Any] = {setting.name: setting.default for setting in DAY_SETTINGS} | tree.values
    servers = {setting.name: setting.default for setting in SERVER_SETTINGS} | values["boxes"]
    demand = {
        request_class["product"]: (request_class["share"], request_class["work"])
        for request_class in values["demand"]
    }
    for index, fault in enumerate(values["trouble"] or []):
        min_instances = values["umpires"][0]
        target_count = {
            "box": servers["count"],
            "umpire": min_instances,
            "kept": min_instances,
            "ways": 4,
        }.get(fault["kind"].split("-")[-1], 1 << 30)
        if fault.get("of", [0, 0])[1] >= target_count:
            tree.add_error(
                tree.location_of("trouble", index, "of"), f"there are only {target_count}, numbered from 0"
            )
    for index, clock in enumerate(values["clock"] or []):
        if clock["of"] >= values["umpires"][0]:
            tree.add_error(
                tree.location_of("clock", index),
                f"there are only {values['umpires'][0]} instances, numbered from 0",
            )
    for index, offer in enumerate(values["offer"] or []):
        if (offer["kind"] == "product") != ("product" in offer) or offer.get("product", "") not in (
            "",
            *demand,
        ):
            tree.add_error(
                tree.location_of("offer", index),
                "kind 'product' needs a product that has a 'demand'; other kinds take none",
            )
    for index, fault in enumerate(values["trouble"] or []):
        if fault["kind"] in DATAGRAM_FAULTS and not values["view"]:
            tree.add_error(
                tree.location_of("trouble", index),
                "this fault needs 'view yes': without it instances exchange no datagrams",
            )
    if values["keepers"] and (
        not values["view"] or values["keepers"] > values["umpires"][0] or values["keepers"] == 4
    ):
        tree.add_error(
            tree.location_of("keepers"),
            "there must be three or five voters, no more than instances, and 'view yes'",
        )
    if tree.errors:
        raise InvalidSettings(tree.errors)
    seed = values["seed"] if seed is None else seed
    random = Random(f"{seed} draw")
    day = Day(
        file.parent.name if file.stem == "day" else file.stem,
        file.parent / values["site"],
        values["length"],
        seed,
        _draw(Random(f"{seed} umpires"), values["umpires"], 1),
        servers["count"],
        ServerShape(
            servers["cores"],
            servers["queue"],
            overload_window=servers["fall-for"],
            report_interval=servers["report-every"],
        ),
        servers["boot"],
        servers["drain-for"],
        demand,
        _draw(random, values["traffic"], 0.0),
        values["roster-late"],
        values["news-late"],
        values["cross-delay"],
        values["notice"],
        ClientBehavior(retries=values["retries"]),
        values["uneven"],
        values["view"],
        values["view-period"] or 0.0,
        _draw_releases(values["offer"] or [], random),
        _draw_faults(values["trouble"] or [], values["troubles"], random),
    )
    day.voter_count, proposal_random = values["keepers"] or 0, Random(f"{seed} changes")
    for definition in values["change"] or []:
        proposal = Proposal(
            _draw(proposal_random, definition["time"], 0.0),
            _draw(proposal_random, definition.get("patience"), 0.0),
            _draw(proposal_random, definition.get("cut"), 0.0),
            _draw(proposal_random, definition.get("soon"), 0.0),
            _draw(proposal_random, definition.get("length"), 0.0),
        )
        day.proposals += [proposal] if proposal_random.random() < definition.get("chance", 1.0) else []
    day.used_by_router, day.carries_gossip, day.configured_instance_count = (
        values["heeded"],
        values["speak"],
        values["told"] or 0,
    )
    day.clock_skews = _draw_clock_skews(values["clock"] or [], random)
    return day
