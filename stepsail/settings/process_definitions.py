"""Settings of one process: its listener, its peers, and the folders to which it writes."""

from __future__ import annotations

from stepsail.settings.schema import AGE_BOUNDS, TIME_BOUNDS, Setting, argument

LISTENER = (
    Setting(
        "connections",
        "Maximum number of client connections at a time; further ones wait in the system's backlog.",
        (argument("most", "whole", minimum=1, maximum=100000),),
        default=4096,
        field="max_client_connections",
    ),
    Setting(
        "open",
        "Maximum number of requests in flight at a time; further ones are rejected before they reach the "
        "router.",
        (argument("most", "whole", minimum=1, maximum=1000000),),
        default=20000,
        field="max_in_flight",
    ),
    Setting(
        "head",
        "Maximum size of a request's head, in bytes.",
        (argument("size", "size", minimum=256, maximum=1048576),),
        default=16384,
        field="max_head_bytes",
    ),
    Setting(
        "body",
        "Maximum size of the body of a request or an answer, in bytes.",
        (argument("size", "size", minimum=0, maximum=1 << 28),),
        default=1048576,
        field="max_body_bytes",
    ),
    Setting(
        "hold",
        "Bodies up to this size are buffered as a whole; larger ones are streamed, and a request with a "
        "streamed body can be sent to one server only.",
        (argument("size", "size", minimum=1024, maximum=1 << 28),),
        default=65536,
        field="max_buffered_bytes",
    ),
    Setting(
        "idle",
        "Time after which a client connection without a request is closed.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=60.0,
        field="client_idle_timeout",
    ),
    Setting(
        "slow-sender",
        "Longest time from a request's first byte to its last.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=10.0,
        field="client_read_timeout",
    ),
    Setting(
        "tenant-header",
        "Name of the request header with the client's tenant.",
        (argument("name", "text"),),
        default="Tenant",
        field="tenant_header",
    ),
    Setting(
        "subject-header",
        "Name of the request header with the sticky key, which identifies the subject of the request; for "
        "one-way releases.",
        (argument("name", "text"),),
        default="Subject",
        field="key_header",
    ),
    Setting(
        "subject-secret",
        "Secret with which keys are hashed; the same at all instances, so that they choose the same "
        "server for a key; if absent, drawn at each start.",
        (argument("text", "text", minLength=16),),
        field="key_secret",
    ),
)

GOSSIP = (
    Setting(
        "neighbour",
        "Instance number and address of a peer.",
        (argument("number", "whole"), argument("address", "address")),
        repeatable=True,
        field="peers",
    ),
)

MEMBERSHIP = (
    Setting(
        "seed",
        "Address of an instance through which this one joins the membership; a few are enough, and its own "
        "may be among them.",
        (argument("address", "address"),),
        repeatable=True,
        field="seeds",
    ),
    Setting(
        "period",
        "Time between two probes by an instance; all other times of the membership protocol are derived "
        "from it.",
        (argument("time", "time", minimum=0.05, maximum=60),),
        field="probe_period",
    ),
    Setting(
        "fleet",
        "Name of the fleet; messages of other fleets are ignored.",
        (argument("name", "text"),),
        default="stepsail",
        field="cluster_name",
    ),
    Setting(
        "heeded",
        "Whether the router uses the current members; 'no': it uses the number of instances in 'umpire'.",
        (argument("yes", "yes"),),
        default=True,
        field="used_by_router",
    ),
    Setting(
        "speak",
        "Whether instances also gossip the outcomes of attempts to the members, whichever these are; "
        "instead of 'neighbours'.",
        (argument("yes", "yes"),),
        default=False,
        field="carries_gossip",
    ),
)

POLICY = (
    Setting(
        "keeper",
        "Instance number and address of a voter, an instance that votes on policy changes; three or five of "
        "them, the same in the files of all instances.",
        (argument("number", "whole"), argument("address", "address")),
        repeatable=True,
        required=True,
        field="voters",
    ),
    Setting(
        "keep",
        "Folder in which a voter stores its log; required for voters.",
        (argument("folder", "text"),),
        field="folder",
    ),
)

CAPTURE = (
    Setting(
        "size",
        "Maximum size of the ring, in bytes.",
        (argument("size", "size", minimum=1 << 16, maximum=1 << 40),),
        default=256 << 20,
        field="max_bytes",
    ),
    Setting(
        "segment",
        "Approximate size of a segment, in bytes; each segment begins with a snapshot.",
        (argument("size", "size", minimum=1 << 14, maximum=1 << 30),),
        default=16 << 20,
        field="segment_bytes",
    ),
    Setting(
        "age",
        "Age at which segments are removed from the ring.",
        (argument("time", "time", **AGE_BOUNDS),),
        default=86400.0,
        field="max_age",
    ),
)

TRAIL = (
    Setting(
        "survives",
        "What the trail's record of an answer survives once the answer has been given.",
        (argument("what", "text", enum=["process-crash", "power-loss", "power-loss-each"]),),
        default="power-loss",
        field="durability",
    ),
    Setting(
        "when-full",
        "While the trail cannot be written: deny (reject new requests), or go-on (serve them and record the "
        "gap).",
        (argument("what", "text", enum=["deny", "go-on"]),),
        default="deny",
        field="full_policy",
    ),
    Setting(
        "commit-within",
        "Longest time for writing the record of an answer; the router's deadline is earlier by this time.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.05,
        field="commit_interval",
    ),
    Setting(
        "segment",
        "Size of a file of the trail, in bytes; a restart reads the last file.",
        (argument("size", "size", minimum=1 << 14, maximum=1 << 30),),
        default=16 << 20,
        field="segment_bytes",
    ),
    Setting(
        "reserve",
        "Disk space in bytes that is reserved for use when the disk is full.",
        (argument("size", "size", minimum=1 << 16, maximum=1 << 30),),
        default=4 << 20,
        field="reserve_bytes",
    ),
    Setting(
        "age",
        "Age at which sealed files are removed, which the trail records; 0: never.",
        (argument("time", "time", **AGE_BOUNDS),),
        default=0.0,
        field="max_age",
    ),
    Setting(
        "size",
        "Maximum size of all files in bytes; above it, the oldest sealed files are removed; 0: no limit.",
        (argument("size", "size", minimum=0, maximum=1 << 50),),
        default=0,
        field="max_bytes",
    ),
)
