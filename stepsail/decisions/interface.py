"""The interface between a router and its host: incoming events, outgoing commands and settings.

A host (the proxy, or the adapter of a simulator) creates a router from the settings. For each event it calls
a method of the router, or of a handle that the router has returned, one event at a time, and executes the
commands that the router issues during the call. Times are fractional seconds on the host's only clock. The
interface is one module, as host and router must agree on all of it; most lines document arguments.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any, Protocol


class AttemptOutcome(IntEnum):
    """How an attempt ended."""

    SERVED = 0
    FAILED = 1
    REJECTED = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_LOST = 5
    CANCELLED = 6
    NOT_SENT = 7


class RejectionReason(Enum):
    """Why a request is given up without an answer from a server."""

    TOO_LATE = "too little of its latency objective is left"
    DEADLINE = "its deadline is near"
    ATTEMPTS_EXHAUSTED = "it has had as many attempts as the limits allow"
    NO_ELIGIBLE_SERVER = "no server may take it"
    CLASS_STALLED = "its class is late wherever it goes, and enough of it are being tried"
    LIST_EXPIRED = "the list of servers is too old to go by"
    NOT_READY = "this instance has not begun to serve"
    SHUTTING_DOWN = "this instance is about to stop"
    IN_FLIGHT_LIMIT = "as many requests are open as the limits allow"
    NO_POLICY = "no policy is in force to take it by"
    TRAIL_UNAVAILABLE = "the audit trail takes nothing new"


class EndpointState(IntEnum):
    """The state of a server by the endpoint list."""

    DRAINING = 0
    READY = 1
    GONE = 2


class Verdict(IntEnum):
    """The verdict on the build on canary."""

    NONE = 0
    PROMOTE = 1
    PAUSE = 2
    ROLL_BACK = 3


class ReleasePhase(IntEnum):
    """The release phase of the newest build."""

    CANARY = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class VoteReceipt(IntEnum):
    """How release control has answered a vote."""

    COUNTED = 0
    ERROR = 1
    RATE_LIMITED = 2
    UNKNOWN = 3
    OUTDATED = 7


class Idempotency(Enum):
    """Whether a request may be sent again after an attempt that may have run."""

    IDEMPOTENT = "redoable"
    IDEMPOTENCY_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(Enum):
    """The group of servers that recognise a repeated idempotency key, so that the request runs only once."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PromotionControl(Enum):
    """How a stage is promoted or rolled back.

    Any single vote decides, or the votes of a share of the instances, or a timer that votes can only stop.
    """

    ANY_VOTE = "any"
    VOTE_SHARE = "share"
    TIMER = "clock"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The service level and the retry rules of one request class. Times are in seconds.

    Attributes:
        index: Index of the class in the settings, from 0.
        latency_objective: Time from a request's arrival within which an answer has its full weight.
        client_timeout: Time after which clients give up.
        priority_weight: Weight of an answer in time, relative to other classes.
        late_weight_share: Share of that weight that an answer after the objective still has.
        idempotency: Whether a request may be sent again after it may have run.
        deduplication_scope: Group of servers that recognise a repeated idempotency key.
        key_window: Time from the first attempt for which servers remember an idempotency key.
    """

    index: int
    latency_objective: float
    client_timeout: float
    priority_weight: float
    late_weight_share: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    key_window: float


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The settings that a router is created with. Times are in seconds.

    Attributes:
        request_classes: The classes, by index.
        instance_index: Number of this instance in the fleet, from 0.
        instance_count: Number of instances.
        zone: Number of this instance's zone.
        cross_zone_cost: Cost of an attempt at a server of another zone, as a share of the request's weight.
        health_check_cost: Cost of a health check, as a share of a request's weight.
        health_checks_allowed: Whether servers may be health-checked.
        gossip_enabled: Whether instances may send messages to each other.
        cancel_allowed: Whether an attempt in flight may be cancelled.
        hedging_allowed: Whether a second attempt may be sent while one is in flight.
        max_attempts: Attempts that a request may have.
        max_retry_after: Longest time that a rejected client may be told to wait.
        must_poll_endpoints: Whether the endpoint list must be polled, as discovery doesn't push it.
        load_report_columns: Names of the numbers in a load report, such as `q` (queue length) and `rif`
            (requests in flight).
        load_reports_by_health_check: Whether only health checks return load reports, and answers don't.
        drain_grace: Time after a server was told to drain from which it must get no new requests.
        slow_start_floor: Share of its full capacity that a server has when it starts.
        slow_start_duration: Time from a server's start until it has its full capacity.
        overload_multiple: Multiple of its capacity beyond which a server in slow start fails.
        idle_timeout: Time after which servers close an idle connection.
        promotion_control: How votes decide on a stage.
        replaces_servers: Whether servers of a new build replace old ones, rather than being added.
        bake_time: Minimum duration of a stage.
        stage_shares: Share of servers that run the new build, by stage.
        exposure_limits: Share of requests that the new build may get, by stage.
        idempotent_only_stages: Number of initial stages in which a new build gets only idempotent requests.
        sticky_keys: Whether requests with a key that a build has answered must not go to an earlier build.
        exposure_per_class: Whether the exposure limit applies to each class, rather than to all together.
        burst_allowance: Attempts that a new build may get beyond its share.
        exposure_window: Length of the sliding window of the exposure limit.
        vote_ttl: Time after which a vote expires.
        vote_timeout: Time after which a vote without an answer counts as lost.
        vote_rate_limit: Votes per second that release control accepts from the fleet.
        tenant_shares: Share of the requests that each tenant sends; empty if there are no tenants.
        tenant_quotas: Requests per second that each tenant may send.
        connect_timeout: Time within which a server must accept a connection.
        key_affinity: Whether servers work faster for keys that they have recently handled.
    """

    request_classes: tuple[RequestClass, ...]
    instance_index: int
    instance_count: int
    zone: int
    cross_zone_cost: float
    health_check_cost: float
    health_checks_allowed: bool
    gossip_enabled: bool
    cancel_allowed: bool
    hedging_allowed: bool
    max_attempts: int
    max_retry_after: float
    must_poll_endpoints: bool
    load_report_columns: tuple[str, ...]
    load_reports_by_health_check: bool
    drain_grace: float
    slow_start_floor: float
    slow_start_duration: float
    overload_multiple: float
    idle_timeout: float
    promotion_control: PromotionControl
    replaces_servers: bool
    bake_time: float
    stage_shares: tuple[float, ...]
    exposure_limits: tuple[float, ...]
    idempotent_only_stages: int
    sticky_keys: bool
    exposure_per_class: bool
    burst_allowance: float
    exposure_window: float
    vote_ttl: float
    vote_timeout: float
    vote_rate_limit: float
    tenant_shares: tuple[float, ...]
    tenant_quotas: tuple[float, ...]
    # Captures of the first format lack these settings.
    connect_timeout: float = 0.25
    key_affinity: bool = False


class ServerHandle(Protocol):
    """The router's handle of a server; `address` is the host's identifier for it."""

    address: bytes

    def update_endpoint(
        self, zone: int, cell: int, build: int, state: int, started_at: float, size: float
    ) -> None:
        """Apply an entry of an endpoint list, before `RouterHandle.endpoint_list_received` is called.

        Args:
            zone: Number of its zone.
            cell: Number of its cell, a group of servers that share the deduplication of keys.
            build: Number of the build that it runs.
            state: An `EndpointState`; any other number counts as gone.
            started_at: When its process was started; 0 if that was long ago.
            size: Its capacity relative to other servers.
        """
        ...

    def health_check_finished(
        self, duration: float, outcome: AttemptOutcome, report: Sequence[float]
    ) -> None:
        """Handle the end of a health check after `duration` seconds; its load report may be empty."""
        ...

    def answer_disputed(self, class_index: int, since: float) -> None:
        """Handle a client's report that an answer was wrong.

        Args:
            class_index: Index of the class of the answered request.
            since: Seconds since the answer was sent.
        """
        ...


class RequestHandle(Protocol):
    """The router's handle of an accepted request; `number` is the host's identifier for it."""

    number: int

    @property
    def rejection_reason(self) -> RejectionReason | None:
        """Why the router has given the request up; None if it has not."""
        ...

    def finished(self) -> bool:
        """Return whether the router needs no more events on the request; the host may then drop it."""
        ...

    def attempt_ended(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        is_final: bool,
        duration: float,
        report: Sequence[float],
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt: Index of the attempt in the request, from 0.
            outcome: How it ended.
            is_final: Whether the client got its answer from it, so that no other attempt is needed.
            duration: Seconds from `RouterHost.send_attempt` to the end of the attempt.
            report: The server's load report, in the order of the settings' columns; empty if there was none.
        """
        ...

    def attempt_still_allowed(self, attempt: int) -> bool:
        """Return whether a commanded attempt may still be sent, given all events since the command.

        The call changes no state.
        """
        ...

    def client_disconnected(self) -> None:
        """Handle the disconnect of the client, which needs no answer any more."""
        ...


class RouterHandle(Protocol):
    """The router of one instance: accepts requests, and receives events on endpoints, releases and peers."""

    def add_server(self, address: bytes) -> ServerHandle:
        """Add a server that the host has not added before."""
        ...

    def endpoint_list_received(self, is_complete: bool, is_cached: bool) -> None:
        """Handle the end of an endpoint list, after all its entries were applied to their servers.

        Args:
            is_complete: Whether servers missing from the list are gone; else the list contains only changes.
            is_cached: Whether the list was stored before a restart, and discovery has not confirmed it yet.
        """
        ...

    def endpoint_poll_failed(self) -> None:
        """Handle a failed call for the endpoint list."""
        ...

    def accept_request(
        self,
        number: int,
        class_index: int,
        tenant_index: int,
        effort: float | None,
        deadline: float,
        key: int,
        is_retry: bool,
        age: float = 0.0,
    ) -> RequestHandle:
        """Accept a request that has arrived.

        Args:
            number: The host's identifier for it.
            class_index: Index of its class.
            tenant_index: Index of its tenant in the settings; the number of tenants for any other tenant.
            effort: Seconds of work that it is expected to take, if known.
            deadline: When its client gives up.
            key: The key that it shares with related requests; 0 if it has none.
            is_retry: Whether its client has sent it before.
            age: Seconds since its last byte arrived, as the host may have read it late.
        """
        ...

    def release_state_received(
        self, age: float, exposure_limit: float, build: int, stage: int, phase: ReleasePhase
    ) -> None:
        """Handle release control's state of the newest build.

        Args:
            age: Seconds since the stage or phase began.
            exposure_limit: Share of requests that the build may get.
            build: Number of the build.
            stage: Index of the stage.
            phase: The release phase.
        """
        ...

    def vote_acknowledged(self, receipt: VoteReceipt) -> None:
        """Handle release control's answer to a vote, or the lack of an answer in time."""
        ...

    def release_counts_received(
        self, build: int, class_index: int, count: int, failed: int, mean_latency: float, age: float
    ) -> None:
        """Handle release control's counts of the whole fleet's attempts at a build, for one class.

        Args:
            build: Number of the build.
            class_index: Index of the class.
            count: Number of attempts that ended.
            failed: Number of these attempts that failed.
            mean_latency: Mean latency in seconds.
            age: Seconds since the end of the period that the counts cover.
        """
        ...

    def peer_outcome_received(self, server: Any, build: int, class_index: int, bin_index: int) -> None:
        """Handle a peer's report of an outcome: a bin index of `histogram.EDGES`, or `histogram.OVERDUE`."""
        ...

    def peer_stalled_classes_received(self, peer: int, class_indices: Sequence[int]) -> None:
        """Handle a peer's report of the classes that it has found stalled."""
        ...

    def peer_verdict_received(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        """Handle a peer's verdict on a stage of a build."""
        ...

    def membership_changed(self, present: Sequence[int]) -> None:
        """Handle a change of the fleet's membership.

        Hosts without membership never call this; then all instances of the settings count as present.

        Args:
            present: Numbers of all instances present, including this one, in ascending order.
        """
        ...


class RouterHost(Protocol):
    """The commands that a router may issue to its host.

    Attributes:
        clock: Current time in seconds, which does not change while an event is handled.
    """

    clock: float

    def send_attempt(self, request: RequestHandle, server: ServerHandle, deadline: float) -> None:
        """Send the request's next attempt to a server, and end the attempt at the deadline."""
        ...

    def cancel_attempt(self, request: RequestHandle, attempt: int) -> None:
        """Cancel an attempt in flight; its end is reported like that of any other attempt."""
        ...

    def reject(self, request: RequestHandle, retry_after: float) -> None:
        """Answer that the client may send the request again after `retry_after` seconds."""
        ...

    def fail(self, request: RequestHandle) -> None:
        """Answer that the request has failed; it must not be repeated without a check, as it may have run."""
        ...

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        ...

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a vote to release control."""
        ...

    def check_health(self, server: ServerHandle) -> None:
        """Send a health check to a server."""
        ...

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Close all idle connections to a server."""
        ...

    def poll_endpoints(self) -> None:
        """Ask discovery for the endpoint list once."""
        ...

    def watch_endpoints(self) -> None:
        """Ask discovery for the endpoint list, and for changes if discovery pushes them."""
        ...

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send outcomes to a peer: server, build, class index and bin index of each."""
        ...

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict to all peers."""
        ...

    def gossip_stalled_classes(self, class_indices: Sequence[int]) -> None:
        """Send the classes found stalled to all peers."""
        ...

    def log_decision(self, text: str) -> None:
        """Log the evidence behind a decision."""
        ...


# Arguments: settings, host, seed of the random draws.
MakeRouter = Callable[[RouterSettings, RouterHost, int], RouterHandle]
