"""Constants for the paths, headers, fields and values of the platform's protocol.

The constants are grouped by the communication partner that uses them. Their values are defined by the
platform and must not change; the names of the constants may change.
"""

from __future__ import annotations

from stepsail.decisions.interface import EndpointState, ReleasePhase, Verdict, VoteReceipt

# Environment variables
CONFIGURATION_VARIABLE = "PROXY_CONFIG"  # path of the configuration file
LISTEN_VARIABLE = "PROXY_LISTEN"  # listen address for clients; overrides CONFIG_LISTEN

# Configuration file
CONFIG_SETTINGS = "settings"  # the flat settings, as a nested object
CONFIG_LISTEN = "listen"  # listen address for clients
CONFIG_DISCOVERY = "discovery"  # address of endpoint discovery
CONFIG_RELEASE_CONTROL = "deployer"  # object with release control's address and the release state
CONFIG_RELEASE_CONTROL_ADDRESS = "address"
CONFIG_RELEASE_STATE = "news"  # release state of the newest build at the start
CONFIG_CACHED_LIST = "known"  # endpoint list from before the start
CONFIG_SEED = "seed"  # seed of random choices, as a hexadecimal number
CONFIG_LIMITS = "limits"
CONFIG_SOCKET_LIMIT = "sockets"  # maximum number of open file descriptors of the process
CONFIG_MEMORY_LIMIT = "memory_mb"  # memory in megabytes above which the process is killed

# Clients
HEALTH_PATH = b"/_health"
REQUEST_ID_HEADER = b"x-call-id"
TIME_LEFT_HEADER = b"x-budget-ms"  # milliseconds for which the sender of a request still waits
RETRY_HEADER = b"x-again"  # present on a client's retry
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
TENANT_HEADER = b"x-caller"  # name of a tenant
INFO_HEADER = b"x-call-info"  # additional values as `name=value,name=value`
INFO_KEY = "NameKey"  # in INFO_HEADER: key of the object that the request concerns, a number
INFO_TENANT = "UserGroup"  # in INFO_HEADER: index of the tenant
KEY_PARAMETER = b"obj"  # query parameter: key of the object that the request concerns

# Servers
SERVICE_HOST = b"service.internal"  # value of the host header
LOAD_REPORT_HEADER = b"x-load-report"
REJECTED_HEADER = b"x-rejected"  # The value 1 means that the server has not run the request.
PING_PATH = b"/ping"
LOAD_PATH = b"/_load"
# Maps each column in the settings to its names in load reports, in order of preference.
LOAD_REPORT_FIELDS = {
    "q": ("queue", "q"),
    "rif": ("inflight", "rif"),
    "busy": ("util", "busy"),
    "lat_ms": ("latency_ms", "lat_ms"),
    "rate": ("qps", "rate"),
    "fail_rate": ("eps", "fail_rate"),
}

# Endpoint discovery
ENDPOINTS_PATH = b"/catalog/members"
WATCH_PATH = b"/catalog/members?stream=1&index=%d"  # %d is the index of the current endpoint list.
LIST_INDEX = "index"  # version of an endpoint list; increases with every change
LIST_IS_SNAPSHOT = "snapshot"  # whether an endpoint list is complete; otherwise it contains only changes
LIST_ENDPOINTS = "endpoints"
ENDPOINT_NAME = "name"
ENDPOINT_ADDRESS = "address"
ENDPOINT_STATE = "status"
ENDPOINT_STARTED_AT = "since_ms"  # server's start, Unix time in milliseconds; 0 means long ago
ENDPOINT_BUILD = "revision_no"
ENDPOINT_ZONE = "zone"
ENDPOINT_CELL = "group"
ENDPOINT_WEIGHT = "weight"
ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}

# Release control
VOTES_PATH = b"/v2/projects/main/votes"
EVENTS_PATH = b"/v2/projects/main/events"
EVENT_TYPE = "type"
EVENT_BODY = "object"
RELEASE_STATE_EVENT = "ROLLOUT"
RELEASE_COUNTS_EVENT = "SAMPLE"
ANSWER_DISPUTED_EVENT = "DISPUTE"
RELEASE_PHASE = "phase"
RELEASE_AGE = "age_ms"  # age of the reported information in milliseconds
RELEASE_EXPOSURE_LIMIT = "cap"
RELEASE_BUILD = "build"
RELEASE_STAGE = "stage"
RELEASE_CLASS = "class"  # name of a request class
RELEASE_COUNT = "count"
RELEASE_FAILED = "failed"
RELEASE_MEAN = "mean_ms"
RELEASE_SERVER = "server"
VOTE_VERDICT = "verdict"
VOTE_ERROR = "error"
VERDICTS = {
    Verdict.NONE: "WITHDRAW",
    Verdict.PROMOTE: "PROCEED",
    Verdict.PAUSE: "HOLD",
    Verdict.ROLL_BACK: "ROLLBACK",
}
PHASES = {
    "testing": ReleasePhase.CANARY,
    "recalling": ReleasePhase.ROLLING_BACK,
    "live": ReleasePhase.RELEASED,
    "recalled": ReleasePhase.WITHDRAWN,
}
# Maps the HTTP status of the response to a vote to the vote's receipt.
VOTE_RECEIPTS = {
    200: VoteReceipt.COUNTED,
    429: VoteReceipt.RATE_LIMITED,
    409: VoteReceipt.OUTDATED,
    500: VoteReceipt.ERROR,
    400: VoteReceipt.ERROR,
}
# Maps the HTTP status of the response to a vote to the error name that its body must contain.
VOTE_ERRORS = {
    429: "Throttling",
    409: "ConditionFailed",
    500: "InternalFailure",
    400: "ValidationError",
}
