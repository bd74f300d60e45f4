"""Settings of the service: request classes, releases, servers, and the limits of an instance."""

from __future__ import annotations

from stepsail.settings.schema import SHARE_BOUNDS, TIME_BOUNDS, Setting, argument

REQUEST_CLASS = (
    Setting(
        "route",
        "HTTP method and path prefix of requests of this class.",
        (argument("method", "text", pattern="^[A-Z]+$"), argument("path", "text", pattern="^/")),
        repeatable=True,
        required=True,
    ),
    Setting(
        "repeats",
        "Whether another attempt is allowed once one may have run. redoable: yes (idempotent requests); "
        "labelled: yes, with the same idempotency key, among the servers that deduplicate by key (all, "
        "zone, cell) and for as long as they do; irreversible: no (non-idempotent requests).",
        (
            argument("kind", "text", enum=["redoable", "labelled", "irreversible"]),
            argument("group", "text", optional=True, enum=["all", "zone", "cell"]),
            argument("window", "time", optional=True, **TIME_BOUNDS),
        ),
        required=True,
        field="idempotency",
    ),
    Setting(
        "target",
        "Latency objective: an answer within this time earns the full revenue.",
        (argument("time", "time", **TIME_BOUNDS),),
        required=True,
        field="latency_objective",
    ),
    Setting(
        "abandon",
        "Client timeout: longest time that a client waits; a request may give a shorter one.",
        (argument("time", "time", **TIME_BOUNDS),),
        required=True,
        field="client_timeout",
    ),
    Setting(
        "revenue",
        "Priority weight: value of a served request relative to other classes.",
        (argument("worth", "number", exclusiveMinimum=0),),
        default=1.0,
        field="priority_weight",
    ),
    Setting(
        "late-share",
        "Share of the revenue that an answer after the target still earns.",
        (argument("share", "share", **SHARE_BOUNDS),),
        default=0.0,
        field="late_weight_share",
    ),
)

RELEASE = (
    Setting(
        "control",
        "What promotes a build to its next stage. any: a single vote; share: the votes of a share of the "
        "instances; clock: a timer, which votes can pause.",
        (argument("kind", "text", enum=["any", "share", "clock"]),),
        default="any",
        field="promotion_control",
    ),
    Setting(
        "replaces",
        "Whether servers of the earlier build are drained as servers of the new build start.",
        (argument("yes", "yes"),),
        default=False,
        field="replaces_servers",
    ),
    Setting(
        "bake",
        "Minimum duration of a stage.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=2.0,
        field="bake_time",
    ),
    Setting(
        "stage",
        "One stage: the share of servers that run the new build, and the maximum share of requests that may "
        "go to it.",
        (
            argument("share", "share", exclusiveMinimum=0, maximum=1),
            argument("cap", "share", keyword="cap", **SHARE_BOUNDS),
        ),
        repeatable=True,
        required=True,
        field="stages",
    ),
    Setting(
        "guarded-stages",
        "Number of initial stages in which the new build gets only redoable (idempotent) requests.",
        (argument("stages", "whole", maximum=100),),
        default=0,
        field="idempotent_only_stages",
    ),
    Setting(
        "one-way",
        "Whether a key that the new build has answered must not go to an earlier build (sticky keys).",
        (argument("yes", "yes"),),
        default=False,
        field="sticky_keys",
    ),
    Setting(
        "count-by",
        "Whether the exposure limit applies to all request classes together (all) or to each (product).",
        (argument("what", "text", enum=["all", "product"]),),
        default="all",
        field="exposure_counted_by",
    ),
    Setting(
        "free",
        "Burst allowance: number of attempts at a canary in any window that the exposure limit does not "
        "count.",
        (argument("relays", "number"),),
        default=1.0,
        field="burst_allowance",
    ),
    Setting(
        "window",
        "Length of the sliding window over which exposure is counted.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=4.0,
        field="exposure_window",
    ),
    Setting(
        "vote-life",
        "Time after which a vote expires.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=10.0,
        field="vote_ttl",
    ),
    Setting(
        "vote-wait",
        "Time after which a vote without an answer counts as lost.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.8,
        field="vote_timeout",
    ),
    Setting(
        "votes-per-second",
        "Votes per second that release control accepts from all instances together.",
        (argument("votes", "number", exclusiveMinimum=0),),
        default=60.0,
        field="vote_rate_limit",
    ),
)

SERVERS = (
    Setting(
        "report",
        "Columns of a server's load report (queue, inflight, util, latency_ms), and whether servers send it "
        "with answers or only with health checks (probes).",
        (
            argument("how", "text", enum=["answers", "probes"]),
            argument("columns", "text", variadic=True, enum=["queue", "inflight", "util", "latency_ms"]),
        ),
        field="load_report",
    ),
    Setting(
        "cold-from",
        "Slow start: minimum share of its full capacity that a server has when it starts.",
        (argument("share", "share", **SHARE_BOUNDS),),
        default=0.3,
        field="slow_start_floor",
    ),
    Setting(
        "cold-for",
        "Slow start: longest time from a server's start until it has its full capacity.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=5.0,
        field="slow_start_duration",
    ),
    Setting(
        "falls-at",
        "Multiple of its capacity beyond which a server that is warming up fails.",
        (argument("multiple", "number", minimum=1),),
        default=3.0,
        field="overload_multiple",
    ),
    Setting(
        "drain-grace",
        "Time after which a server that was listed as draining gets no new requests.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.5,
        field="drain_grace",
    ),
    Setting(
        "idle",
        "Time after which servers close an idle connection.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=30.0,
        field="idle_timeout",
    ),
    Setting(
        "connect-wait",
        "Longest time for connecting to a server; a later connection counts as failed.",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.25,
        field="connect_timeout",
    ),
    Setting(
        "warm-keys",
        "Whether a server works faster for keys that it has recently handled (key affinity); requires "
        "subject-secret in the block door.",
        (argument("yes", "yes"),),
        default=False,
        field="key_affinity",
    ),
    Setting(
        "connections",
        "Maximum number of connections to one server; an attempt that needs a further one is not sent.",
        (argument("most", "whole", minimum=1, maximum=10000),),
        default=256,
        field="max_connections_per_server",
    ),
)

LIMITS = (
    Setting(
        "relays",
        "Maximum number of attempts of one request.",
        (argument("most", "whole", minimum=1, maximum=100),),
        default=6,
        field="max_attempts",
    ),
    Setting(
        "second-copies",
        "Whether a second attempt may be sent while the first is in flight (hedging).",
        (argument("yes", "yes"),),
        default=False,
        field="hedging_allowed",
    ),
    Setting(
        "withdraw",
        "Whether an attempt in flight may be cancelled.",
        (argument("yes", "yes"),),
        default=True,
        field="cancel_allowed",
    ),
    Setting(
        "stay-away",
        "Longest time that a rejected client is told to wait (Retry-After).",
        (argument("time", "time", **TIME_BOUNDS),),
        default=0.5,
        field="max_retry_after",
    ),
    Setting(
        "probing",
        "Whether health checks may be sent to servers.",
        (argument("yes", "yes"),),
        default=False,
        field="health_checks_allowed",
    ),
    Setting(
        "crossing-price",
        "Cost of an attempt at a server in another zone, as a share of the request's revenue.",
        (argument("price", "number"),),
        default=0.0,
        field="cross_zone_cost",
    ),
    Setting(
        "probe-price",
        "Cost of a health check, as a share of a request's revenue.",
        (argument("price", "number"),),
        default=0.0,
        field="health_check_cost",
    ),
    Setting(
        "answer-slack",
        "Time before the client's deadline by which the answer is sent at the latest.",
        (argument("time", "time", minimum=0, maximum=10),),
        default=0.03,
        field="answer_slack",
    ),
)
