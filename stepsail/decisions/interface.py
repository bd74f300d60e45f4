"""This module defines the interface between a router and its host: events, commands and settings.

A host (the proxy, or the adapter of a simulator) creates a router from the settings. The host handles one
event at a time. For each event, the host calls a method of the router, or of a handle that the router has
returned, and executes the commands that the router issues during the call. Times are fractional seconds on
the host's only clock. The interface is one module, because host and router must agree on all of it; most
lines document arguments.
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
    """The reason for which a request is given up without an answer from a server."""

    TOO_LATE = "too little of its latency objective is left"
    DEADLINE = "its deadline is near"
    ATTEMPTS_EXHAUSTED = "it has had as many attempts as the limits allow"
    NO_ELIGIBLE_SERVER = "no server may take it"
    CLASS_STALLED = "its class is late wherever it goes, and enough of it are being tried"
    LIST_EXPIRED = "the list of servers is too old to go by"
    NOT_READY = "this instance has not begun to serve"
    SHUTTING_DOWN = "this instance is about to stop"
    IN_FLIGHT_LIMIT = "as many requests are open as the limits allow"
    MEMORY_LIMIT = "the messages in progress hold as much memory as the limits allow"
    PIPELINE_LIMIT = "its client has sent so much at once that its leaving could not be noticed"
    NO_POLICY = "no policy is in force to take it by"
    TRAIL_UNAVAILABLE = "the audit trail takes nothing new"


class EndpointState(IntEnum):
    """The state of a server according to the endpoint list."""

    DRAINING = 0
    READY = 1
    GONE = 2


class Verdict(IntEnum):
    """An instance's verdict on the build that is on canary."""

    NONE = 0
    PROMOTE = 1
    PAUSE = 2
    ROLL_BACK = 3


class ReleasePhase(IntEnum):
    """The phase of the newest build's release."""

    CANARY = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class VoteReceipt(IntEnum):
    """The answer of release control to a vote on a build."""

    COUNTED = 0
    ERROR = 1
    RATE_LIMITED = 2
    UNKNOWN = 3
    OUTDATED = 7


class Idempotency(Enum):
    """Whether a request may be sent again after a server may have run an attempt of it."""

    IDEMPOTENT = "redoable"
    IDEMPOTENCY_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(Enum):
    """The group of servers that recognise a repeated idempotency key, so that the request runs only once."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PromotionControl(Enum):
    """The way in which it is decided whether a stage of a release is promoted or rolled back.

    Any single vote decides, or the votes of a certain share of the instances decide, or a timer
    decides and votes can only stop the timer.
    """

    ANY_VOTE = "any"
    VOTE_SHARE = "share"
    TIMER = "clock"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The service level and the retry rules of one request class; times are in seconds.

    Attributes:
        index: Index of the class in `RouterSettings.request_classes`, from 0.
        latency_objective: Time from a request's arrival within which an answer has its full weight.
        client_timeout: Time after which clients stop waiting for an answer.
        priority_weight: Weight of an answer within the latency objective, relative to other classes.
        late_weight_share: Share of the priority weight that an answer after the latency objective still has.
        idempotency: Whether a request may be sent again after a server may have run it.
        deduplication_scope: Group of servers that recognise a repeated idempotency key.
        key_window: Time for which servers remember an idempotency key, counted from the first attempt.
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
    """The settings with which a router is created; times are in seconds.

    Attributes:
        request_classes: The request classes, in the order of their indices.
        instance_index: Number of this instance in the fleet, from 0.
        instance_count: Number of instances in the fleet.
        zone: Number of this instance's zone.
        cross_zone_cost: Cost of an attempt at a server of another zone, as a share of the request's weight.
        health_check_cost: Cost of a health check, as a share of a request's weight.
        health_checks_allowed: Whether servers may be health-checked.
        gossip_enabled: Whether instances may send messages to each other.
        cancel_allowed: Whether an attempt in flight may be cancelled.
        hedging_allowed: Whether a second attempt may be sent while one is in flight.
        max_attempts: Largest number of attempts that a request may have.
        max_retry_after: Longest time that a rejected client may be told to wait.
        must_poll_endpoints: Whether the endpoint list must be polled, because discovery doesn't push it.
        load_report_columns: Names of the numbers in a load report, such as `q` (queue length) and `rif`
            (requests in flight).
        load_reports_by_health_check: Whether only health checks return load reports, and answers to requests
            don't.
        drain_grace: Time after the order to drain a server from which the server must get no new requests.
        slow_start_floor: Share of its full capacity that a server has when it starts.
        slow_start_duration: Time from a server's start until it has its full capacity.
        overload_multiple: A server in slow start fails if its load exceeds this multiple of its capacity.
        idle_timeout: Time after which servers close an idle connection.
        promotion_control: How votes decide whether a stage is promoted or rolled back.
        replaces_servers: Whether servers of a new build replace old servers, rather than being added to them.
        bake_time: Minimum duration of a release stage.
        stage_shares: Share of servers that run the new build, one number per release stage.
        exposure_limits: Share of requests that the new build may get, one number per release stage.
        idempotent_only_stages: Number of initial release stages in which a new build gets only idempotent
            requests.
        sticky_keys: Whether a request must not be sent to an earlier build than the build that has answered
            a request with the same key.
        exposure_per_class: Whether the exposure limit applies to each request class, rather than to all
            classes together.
        burst_allowance: Number of attempts that a new build may get beyond its share of the requests.
        exposure_window: Length of the sliding time window in which the exposure limit is applied.
        vote_ttl: Time after which a vote expires.
        vote_timeout: Time after which a vote that release control has not answered counts as lost.
        vote_rate_limit: Number of votes per second that release control accepts from the whole fleet.
        tenant_shares: Share of the requests that each tenant sends; empty if there are no tenants.
        tenant_quotas: Number of requests per second that each tenant may send.
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
    # Capture files in the first format lack the two settings below, so these have defaults.
    connect_timeout: float = 0.25
    key_affinity: bool = False


class ServerHandle(Protocol):
    """The router's handle of a server; `address` is the host's identifier for the server."""

    address: bytes

    def update_endpoint(
        self, zone: int, cell: int, build: int, state: int, started_at: float, size: float
    ) -> None:
        """Apply an entry of an endpoint list to this server.

        The host calls `RouterHandle.endpoint_list_received` after it has applied all entries of the list.

        Args:
            zone: Number of the server's zone.
            cell: Number of the server's cell, a group of servers that share the deduplication of keys.
            build: Number of the build that the server runs.
            state: Number of an `EndpointState`; any other number means that the server is gone.
            started_at: Time at which the server's process was started; 0 if the start was long ago.
            size: Capacity of the server relative to other servers.
        """
        ...

    def health_check_finished(
        self, duration: float, outcome: AttemptOutcome, report: Sequence[float]
    ) -> None:
        """Handle the end of a health check after `duration` seconds; the load report may be empty."""
        ...

    def answer_disputed(self, class_index: int, since: float) -> None:
        """Handle a client's report that an answer was wrong.

        Args:
            class_index: Index of the class of the answered request.
            since: Seconds since the answer was sent.
        """
        ...


class RequestHandle(Protocol):
    """The router's handle of an accepted request; `number` is the host's identifier for the request."""

    number: int

    @property
    def rejection_reason(self) -> RejectionReason | None:
        """The reason for which the router has given the request up; None if it has not given it up."""
        ...

    def finished(self) -> bool:
        """Return whether the host may drop the request, because the router needs no more events on it."""
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
            outcome: How the attempt ended.
            is_final: Whether the client got its answer from this attempt, so that it needs no other attempt.
            duration: Seconds from `RouterHost.send_attempt` to the end of the attempt.
            report: The numbers of the server's load report, in the order of
                `RouterSettings.load_report_columns`; empty if there was no load report.
        """
        ...

    def attempt_still_allowed(self, attempt: int) -> bool:
        """Return whether an attempt may still be sent, given all events since the router ordered it.

        The call changes no state of the router.
        """
        ...

    def client_disconnected(self) -> None:
        """Handle the disconnect of the client, which no longer needs an answer."""
        ...


class RouterHandle(Protocol):
    """The router of one instance: accepts requests, and receives events on endpoints, releases and peers."""

    def add_server(self, address: bytes) -> ServerHandle:
        """Add a server that the host has not added before."""
        ...

    def endpoint_list_received(self, is_complete: bool, is_cached: bool) -> None:
        """Handle the end of an endpoint list, after all its entries were applied to their servers.

        Args:
            is_complete: Whether the list contains all servers, so that servers missing from it are gone;
                otherwise the list contains only changes.
            is_cached: Whether the list was stored before a restart and is not yet confirmed by discovery.
        """
        ...

    def endpoint_poll_failed(self) -> None:
        """Handle the failure of a call to discovery for the endpoint list."""
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
            number: The host's identifier for the request.
            class_index: Index of the request's class in the settings.
            tenant_index: Index of the request's tenant in the settings. For a tenant that is not in
                the settings, this argument is the number of tenants in the settings.
            effort: Seconds of work that the request is expected to take; None if unknown.
            deadline: Time at which the client stops waiting for an answer.
            key: The key that the request shares with related requests; 0 if the request has no key.
            is_retry: Whether the client has sent the request before.
            age: Seconds since the last byte of the request arrived; above 0 if the host has read it late.
        """
        ...

    def release_state_received(
        self, age: float, exposure_limit: float, build: int, stage: int, phase: ReleasePhase
    ) -> None:
        """Handle the state of the newest build's release, as reported by release control.

        Args:
            age: Seconds since the release stage or phase began.
            exposure_limit: Share of requests that the newest build may get.
            build: Number of the newest build.
            stage: Index of the release stage.
            phase: The release phase.
        """
        ...

    def vote_acknowledged(self, receipt: VoteReceipt) -> None:
        """Handle release control's answer to this instance's vote, or the lack of an answer in time."""
        ...

    def release_counts_received(
        self, build: int, class_index: int, count: int, failed: int, mean_latency: float, age: float
    ) -> None:
        """Handle counts by release control of the whole fleet's attempts at a build in one request class.

        Args:
            build: Number of the build.
            class_index: Index of the request class.
            count: Number of attempts that have ended.
            failed: Number of attempts that have ended with a failure.
            mean_latency: Mean latency of the attempts in seconds.
            age: Seconds since the end of the period in which the attempts were counted.
        """
        ...

    def peer_outcome_received(self, server: Any, build: int, class_index: int, bin_index: int) -> None:
        """Handle a peer's report of the outcome of an attempt.

        `bin_index` is the index of a histogram bin with the edges `histogram.EDGES`, or `histogram.OVERDUE`.
        """
        ...

    def peer_stalled_classes_received(self, peer: int, class_indices: Sequence[int]) -> None:
        """Handle a peer's report of the request classes that the peer has found stalled."""
        ...

    def peer_verdict_received(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        """Handle a peer's verdict on a build in a release stage."""
        ...

    def membership_changed(self, present: Sequence[int]) -> None:
        """Handle a change of the fleet's membership.

        A host that does not know the membership never calls this method. All instances in the settings then
        count as present.

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
        """Send the request's next attempt to a server, and end the attempt at the time `deadline`."""
        ...

    def cancel_attempt(self, request: RequestHandle, attempt: int) -> None:
        """Cancel an attempt in flight; its end is reported to the router like that of any other attempt."""
        ...

    def reject(self, request: RequestHandle, retry_after: float) -> None:
        """Answer the client that it may send the request again after `retry_after` seconds."""
        ...

    def fail(self, request: RequestHandle) -> None:
        """Answer the client that the request has failed.

        The client must not repeat the request without a check, because a server may have run it.
        """
        ...

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        ...

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a vote on a build in a release stage to release control."""
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
        """Send outcomes to a peer, each as a tuple of server, build, class index and bin index."""
        ...

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict on a build in a release stage to all peers."""
        ...

    def gossip_stalled_classes(self, class_indices: Sequence[int]) -> None:
        """Send the indices of the request classes that were found stalled to all peers."""
        ...

    def log_decision(self, text: str) -> None:
        """Log the evidence on which a decision is based."""
        ...


# A function that creates a router. Its arguments are the settings, the host and the seed of the random draws.
MakeRouter = Callable[[RouterSettings, RouterHost, int], RouterHandle]
