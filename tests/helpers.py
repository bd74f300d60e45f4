"""Provides a host that records the calls of a router, and settings to test them with."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepsail.decisions.interface import (
    DeduplicationScope,
    Idempotency,
    PromotionControl,
    ReleasePhase,
    RequestClass,
    RouterSettings,
    Verdict,
)
from stepsail.decisions.request import Request
from stepsail.decisions.router import Router
from stepsail.decisions.server import Server

VALID_SETTINGS = """
umpire 1 of 3          # this one
zones hall-a hall-b
zone hall-b
listen 127.0.0.1:8080
conveyor 127.0.0.1:9000
roster 127.0.0.1:9001 asked keep last-list.json
product lookup {
    route GET /lookup
    repeats redoable
    target 750ms
    abandon 3s
    revenue 2
}
product record {
    route POST /record
    repeats labelled zone 10s
    target 1.2s
    abandon 5s
    revenue 6
}
release {
    stage 5% cap 8.5%
    stage 100% cap 1
    guarded-stages 1
    votes-per-second 60
    bake 1.5s
}
servers {
    report answers queue
    cold-from 31%
    cold-for 4.9s
}
"""


def router_settings(**overrides: Any) -> RouterSettings:
    """Return settings with three request classes, and `overrides` in place of their fields."""
    defaults: dict[str, Any] = {
        "request_classes": (
            RequestClass(0, 0.75, 3.0, 2.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0),
            RequestClass(1, 1.2, 5.0, 6.0, 0.0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2.0),
            RequestClass(2, 1.5, 6.0, 3.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0.0),
        ),
        "instance_index": 0,
        "instance_count": 3,
        "zone": 0,
        "cross_zone_cost": 0.0,
        "health_check_cost": 0.0,
        "health_checks_allowed": False,
        "gossip_enabled": False,
        "cancel_allowed": True,
        "hedging_allowed": False,
        "max_attempts": 4,
        "max_retry_after": 0.5,
        "must_poll_endpoints": False,
        "load_report_columns": (),
        "load_reports_by_health_check": False,
        "drain_grace": 0.5,
        "slow_start_floor": 0.4,
        "slow_start_duration": 4.0,
        "overload_multiple": 2.0,
        "idle_timeout": 15.0,
        "connect_timeout": 0.25,
        "promotion_control": PromotionControl.ANY_VOTE,
        "replaces_servers": False,
        "bake_time": 2.0,
        "stage_shares": (0.1, 1.0),
        "exposure_limits": (0.2, 1.0),
        "idempotent_only_stages": 1,
        "sticky_keys": False,
        "exposure_per_class": False,
        "burst_allowance": 2.0,
        "exposure_window": 3.0,
        "vote_ttl": 6.0,
        "vote_timeout": 1.0,
        "vote_rate_limit": 50.0,
        "tenant_shares": (),
        "tenant_quotas": (),
    }
    return RouterSettings(**(defaults | overrides))


class FakeHost:
    """A host that records the calls of its router, and fires due timers as the test advances the clock."""

    def __init__(
        self,
        builds: tuple[int, ...] = (1, 1, 1),
        start: float = 0.0,
        seed: int = 7,
        exposure_started_at: float = 0.0,
        **overrides: Any,
    ) -> None:
        self.clock = 100.0
        self.sent: list[tuple[Request, Server, float, float]] = []
        self.rejected: list[Request] = []
        self.failed: list[Request] = []
        self.cancelled: list[Request] = []
        self.stalled_classes_sent: list[list[int]] = []
        self.idle_connections_closed: list[Server] = []
        self.votes: list[tuple[int, int, Verdict]] = []
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timers_set = 0
        self.outcomes_sent: list[tuple[int, list[Any]]] = []
        self.verdicts_sent: list[tuple[int, int, Verdict]] = []
        self.router: Router = self.make_router(router_settings(**overrides), self, seed)
        # By default the exposure limits started before the first event of the test. A recorded router has no
        # `exposure` attribute.
        if isinstance(self.router, Router):
            self.router.exposure.started_at = exposure_started_at
        self.servers = [self.router.add_server(bytes([i])) for i in range(len(builds))]
        self.receive_endpoint_list(builds, start)

    def next_request_number(self) -> int:
        return len(self.sent)

    def make_router(self, *args: Any) -> Any:
        """Create the router; a subclass may return a wrapped one."""
        return Router(*args)

    def receive_endpoint_list(self, builds: tuple[int, ...], start: float = 0.0, state: int = 1) -> None:
        for index, (server, build) in enumerate(zip(self.servers, builds, strict=True)):
            server.update_endpoint(index % 2, index, build, state, start, 1.0)
        self.router.endpoint_list_received(True, False)

    def receive_release_state(self, build: int, stage: int, phase: ReleasePhase, cap: float) -> None:
        self.router.release_state_received(0.0, cap, build, stage, phase)

    def accept(self, request_class: int = 0, timeout: float = 3.0) -> Request:
        return self.router.accept_request(
            self.next_request_number(), request_class, 0, None, self.clock + timeout, 0, False
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock and fire the timers that become due, in order."""
        end = self.clock + seconds
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.clock = max(self.clock, due[0])
            due[2]()
        self.clock = end

    def send_attempt(self, request: Any, server: Any, deadline: float) -> None:
        self.sent.append((request, server, self.clock, deadline))

    def cancel_attempt(self, request: Any, attempt: int) -> None:
        self.cancelled.append(request)

    def reject(self, request: Any, retry_after: float) -> None:
        self.rejected.append(request)

    def fail(self, request: Any) -> None:
        self.failed.append(request)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        self.timers_set += 1
        self.timers.append((self.clock + delay, self.timers_set, callback))

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        self.votes.append((build, stage, verdict))

    def check_health(self, server: Any) -> None: ...

    def close_idle_connections(self, server: Any) -> None:
        self.idle_connections_closed.append(server)

    def poll_endpoints(self) -> None: ...

    def watch_endpoints(self) -> None: ...

    def gossip_outcomes(self, peer: int, outcomes: Any) -> None:
        self.outcomes_sent.append((peer, list(outcomes)))

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        self.verdicts_sent.append((build, stage, verdict))

    def gossip_stalled_classes(self, request_classes: Any) -> None:
        self.stalled_classes_sent.append(list(request_classes))

    def log_decision(self, text: str) -> None: ...
