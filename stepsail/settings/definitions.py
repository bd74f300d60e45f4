"""Definitions of all settings of an instance, and the settings that version 2 of the format requires."""

from __future__ import annotations

from stepsail.settings.process_definitions import CAPTURE, GOSSIP, LISTENER, MEMBERSHIP, POLICY, TRAIL
from stepsail.settings.schema import SHARE_BOUNDS, TIME_BOUNDS, Setting, argument
from stepsail.settings.service_definitions import LIMITS, RELEASE, REQUEST_CLASS, SERVERS

FORMAT_WITHOUT_DEFAULTS = 2
# The router's rules and its votes to promote or roll back a build depend on these settings, whose right
# values differ between deployments. Settings files with `shape 2` therefore have to contain these settings.
REQUIRED_IN_FORMAT_2 = {
    "release": (
        "control",
        "replaces",
        "bake",
        "guarded-stages",
        "one-way",
        "count-by",
        "free",
        "window",
        "vote-life",
        "vote-wait",
        "votes-per-second",
    ),
    "servers": ("cold-from", "cold-for", "falls-at", "drain-grace", "idle", "connect-wait", "warm-keys"),
}

INSTANCE = (
    Setting(
        "shape",
        "Version of the file format. 1: absent settings have their defaults. 2: all settings that rules "
        "and votes depend on are required; see migration.md.",
        (argument("version", "whole", minimum=1, maximum=2),),
        default=1,
    ),
    Setting(
        "umpire",
        "Number of this instance, counted from 0, and number of instances in the fleet.",
        (argument("number", "whole"), argument("count", "whole", keyword="of", minimum=1, maximum=100000)),
        required=True,
    ),
    Setting(
        "zones",
        "Names of all zones.",
        (argument("names", "text", variadic=True),),
        required=True,
    ),
    Setting(
        "zone",
        "Zone of this instance.",
        (argument("name", "text"),),
        required=True,
    ),
    Setting(
        "listen",
        "Address on which clients connect.",
        (argument("address", "address"),),
        required=True,
    ),
    Setting(
        "seed",
        "Seed of this instance's random choices; if absent, drawn at each start.",
        (argument("number", "whole"),),
    ),
    Setting(
        "product",
        "A request class.",
        (argument("name", "text"),),
        block=REQUEST_CLASS,
        repeatable=True,
        required=True,
        field="request_classes",
    ),
    Setting(
        "tenant",
        "A tenant, its share of the requests, and its quota of requests per second.",
        (
            argument("name", "text"),
            argument("share", "share", keyword="share", **SHARE_BOUNDS),
            argument("quota", "number", keyword="quota", optional=True),
        ),
        repeatable=True,
        field="tenants",
    ),
    Setting(
        "release",
        "Settings of releases.",
        (),
        block=RELEASE,
        required=True,
    ),
    Setting(
        "servers",
        "Settings of the servers.",
        (),
        block=SERVERS,
    ),
    Setting(
        "limits",
        "What an instance may do, and the costs of cross-zone attempts and health checks.",
        (),
        block=LIMITS,
    ),
    Setting(
        "door",
        "Limits on clients' connections and requests, and the headers of requests.",
        (),
        block=LISTENER,
        field="listener",
    ),
    Setting(
        "conveyor",
        "Address of release control.",
        (argument("address", "address"),),
        required=True,
        field="release_control",
    ),
    Setting(
        "roster",
        "Address of endpoint discovery. asked: it is polled; pushed: it sends changes by itself. "
        "'keep' names the file that caches the last list across a restart.",
        (
            argument("address", "address"),
            argument("how", "text", enum=["asked", "pushed"]),
            argument("keep", "text", keyword="keep", optional=True),
        ),
        required=True,
        field="discovery",
    ),
    Setting(
        "neighbours",
        "Address on which this instance receives gossip from its peers; if absent, it has no such address.",
        (argument("address", "address"),),
        block=GOSSIP,
        field="gossip",
    ),
    Setting(
        "view",
        "Address on which this instance takes part in the fleet's membership, and the address at which "
        "the others reach it if it is a different one; if absent, the number of instances is that in "
        "'umpire'. See fleet.md.",
        (argument("address", "address"), argument("reached", "address", keyword="reached", optional=True)),
        block=MEMBERSHIP,
        field="membership",
    ),
    Setting(
        "policy",
        "Policy changes, which take effect at all instances or at none; their messages use the ports of "
        "'view'.",
        (),
        block=POLICY,
    ),
    Setting(
        "log",
        "Format (json, console) and minimum level of the log.",
        (
            argument("form", "text", enum=["json", "console"]),
            argument("level", "text", optional=True, enum=["debug", "info", "warning", "error"]),
        ),
    ),
    Setting(
        "capture",
        "Folder in which all events and commands of the router are recorded, in a ring of segments.",
        (argument("folder", "text"),),
        block=CAPTURE,
    ),
    Setting(
        "trail",
        "Folder of this instance's audit trail; see trail.md.",
        (argument("folder", "text"),),
        block=TRAIL,
    ),
    Setting(
        "leave-within",
        "Longest time after a stop signal for answering the requests in flight.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=15.0,
        field="shutdown_timeout",
    ),
)
