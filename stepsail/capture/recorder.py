"""Records every call between a host and its router, in both directions, without changing the calls.

`with_recording(make_router, sink)` returns a factory of routers that a host uses like `make_router`. The
recorder is in turn the host of the real router. Its clock does not advance during a call, so that the router
reads exactly the time that is recorded.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from stepsail.capture.entries import Command, Event, Values
from stepsail.capture.recorded_handles import RecordedRequest, RecordedServer
from stepsail.capture.sink import Sink
from stepsail.capture.snapshot_names import names_by_id
from stepsail.capture.state import serialize
from stepsail.decisions.interface import (
    MakeRouter,
    ReleasePhase,
    RequestHandle,
    RouterHandle,
    RouterHost,
    RouterSettings,
    ServerHandle,
    Verdict,
    VoteReceipt,
)

# These are plain integers because every recorded call needs an event number, and enum members take longer
# to look up and to encode.
STARTED = int(Event.STARTED)
SERVER_ADDED = int(Event.SERVER_ADDED)
ENDPOINT_LIST_RECEIVED = int(Event.ENDPOINT_LIST_RECEIVED)
ENDPOINT_POLL_FAILED = int(Event.ENDPOINT_POLL_FAILED)
RELEASE_STATE_RECEIVED = int(Event.RELEASE_STATE_RECEIVED)
RELEASE_COUNTS_RECEIVED = int(Event.RELEASE_COUNTS_RECEIVED)
VOTE_ACKNOWLEDGED = int(Event.VOTE_ACKNOWLEDGED)
REQUEST_ACCEPTED = int(Event.REQUEST_ACCEPTED)
PEER_OUTCOME_RECEIVED = int(Event.PEER_OUTCOME_RECEIVED)
PEER_VERDICT_RECEIVED = int(Event.PEER_VERDICT_RECEIVED)
TIMER_FIRED = int(Event.TIMER_FIRED)
PEER_STALLED_CLASSES_RECEIVED = int(Event.PEER_STALLED_CLASSES_RECEIVED)
MEMBERSHIP_CHANGED = int(Event.MEMBERSHIP_CHANGED)

SEND_ATTEMPT = int(Command.SEND_ATTEMPT)
CANCEL_ATTEMPT = int(Command.CANCEL_ATTEMPT)
REJECT = int(Command.REJECT)
FAIL = int(Command.FAIL)
CALL_LATER = int(Command.CALL_LATER)
CAST_VOTE = int(Command.CAST_VOTE)
CHECK_HEALTH = int(Command.CHECK_HEALTH)
POLL_ENDPOINTS = int(Command.POLL_ENDPOINTS)
WATCH_ENDPOINTS = int(Command.WATCH_ENDPOINTS)
GOSSIP_OUTCOMES = int(Command.GOSSIP_OUTCOMES)
GOSSIP_VERDICT = int(Command.GOSSIP_VERDICT)
LOG_DECISION = int(Command.LOG_DECISION)
CLOSE_IDLE_CONNECTIONS = int(Command.CLOSE_IDLE_CONNECTIONS)
GOSSIP_STALLED_CLASSES = int(Command.GOSSIP_STALLED_CLASSES)


class Recorder:
    """The router that the real host calls, and at the same time the host that the real router calls."""

    def __init__(
        self, make_router: MakeRouter, sink: Sink, settings: RouterSettings, host: RouterHost, seed: int
    ) -> None:
        self.sink = sink
        self.host = host
        self.settings = settings
        self.clock = host.clock
        self.commands: list[Values] = []
        self.servers: list[RecordedServer] = []
        self.recorded_servers: dict[ServerHandle, RecordedServer] = {}
        self.requests: dict[int, RecordedRequest] = {}
        self.timers: dict[int, Callable[[], None]] = {}
        self.timer_count = 0
        sink.begin(settings, seed)
        self.real: RouterHandle
        self.record(STARTED, (seed,), self._make_router, make_router, seed)

    def _make_router(self, make_router: MakeRouter, seed: int) -> None:
        self.real = make_router(self.settings, self, seed)

    def record(self, event: int, values: Values, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call the router, and record the call with the commands that the router issued in it."""
        sink = self.sink
        if sink.wants_snapshot and event != STARTED:
            sink.add_snapshot(self.snapshot)
        self.clock = clock = self.host.clock
        self.commands = commands = list[Values]()
        try:
            result = call(*arguments)
        except Exception as error:
            sink.add_entry((event, clock, values, commands, f"{type(error).__name__}: {error}"))
            raise
        sink.add_entry((event, clock, values, commands, ""))
        return result

    def snapshot(self) -> bytes:
        """Return a snapshot of the router, and of the handles and timers that it has given to the host."""
        root = [
            self.real,
            [server.real for server in self.servers],
            {number: request.real for number, request in self.requests.items()},
            dict(self.timers),
            self.timer_count,
            self.clock,
        ]
        return serialize(root, names_by_id(self.settings, self))

    def forget_if_finished(self, request: RecordedRequest) -> None:
        """Drop the handle of a request if it is finished."""
        if request.real.finished():
            self.requests.pop(request.number, None)

    # -- calls from the host: events ---------------------------------------------------------------------

    def add_server(self, address: bytes) -> RecordedServer:
        """See `RouterHandle.add_server`."""
        real = self.record(SERVER_ADDED, (address,), self.real.add_server, address)
        server = RecordedServer(self, real, len(self.servers))
        self.servers.append(server)
        self.recorded_servers[real] = server
        return server

    def endpoint_list_received(self, complete: bool, cached: bool) -> None:
        """See `RouterHandle.endpoint_list_received`."""
        values = (complete, cached)
        self.record(ENDPOINT_LIST_RECEIVED, values, self.real.endpoint_list_received, *values)

    def endpoint_poll_failed(self) -> None:
        """See `RouterHandle.endpoint_poll_failed`."""
        self.record(ENDPOINT_POLL_FAILED, (), self.real.endpoint_poll_failed)

    def accept_request(
        self,
        number: int,
        request_class: int,
        tenant: int,
        effort: float | None,
        deadline: float,
        key: int,
        is_retry: bool,
        age: float = 0.0,
    ) -> RecordedRequest:
        """See `RouterHandle.accept_request`."""
        values = (number, request_class, tenant, effort, deadline, key, is_retry, age)
        request = self._recorded_request(
            self.record(REQUEST_ACCEPTED, values, self.real.accept_request, *values)
        )
        self.forget_if_finished(request)
        return request

    def release_state_received(
        self, age: float, exposure_limit: float, build: int, stage: int, phase: ReleasePhase
    ) -> None:
        """See `RouterHandle.release_state_received`."""
        values = (age, exposure_limit, build, stage, int(phase))
        call = self.real.release_state_received
        self.record(RELEASE_STATE_RECEIVED, values, call, age, exposure_limit, build, stage, phase)

    def vote_acknowledged(self, receipt: VoteReceipt) -> None:
        """See `RouterHandle.vote_acknowledged`."""
        self.record(VOTE_ACKNOWLEDGED, (int(receipt),), self.real.vote_acknowledged, receipt)

    def release_counts_received(
        self, build: int, request_class: int, count: int, failed: int, mean: float, age: float
    ) -> None:
        """See `RouterHandle.release_counts_received`."""
        values = (build, request_class, count, failed, mean, age)
        self.record(RELEASE_COUNTS_RECEIVED, values, self.real.release_counts_received, *values)

    def peer_outcome_received(self, server: Any, build: int, request_class: int, bucket: int) -> None:
        """See `RouterHandle.peer_outcome_received`."""
        values = (server.number, build, request_class, bucket)
        call = self.real.peer_outcome_received
        self.record(PEER_OUTCOME_RECEIVED, values, call, server.real, build, request_class, bucket)

    def peer_verdict_received(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        """See `RouterHandle.peer_verdict_received`."""
        values = (peer, build, stage, int(verdict))
        call = self.real.peer_verdict_received
        self.record(PEER_VERDICT_RECEIVED, values, call, peer, build, stage, verdict)

    def peer_stalled_classes_received(self, peer: int, request_classes: Sequence[int]) -> None:
        """See `RouterHandle.peer_stalled_classes_received`."""
        values = (peer, tuple(request_classes))
        call = self.real.peer_stalled_classes_received
        self.record(PEER_STALLED_CLASSES_RECEIVED, values, call, peer, request_classes)

    def membership_changed(self, members: Sequence[int]) -> None:
        """See `RouterHandle.membership_changed`."""
        self.record(MEMBERSHIP_CHANGED, (tuple(members),), self.real.membership_changed, members)

    # -- calls from the router: commands -----------------------------------------------------------------

    def _recorded_request(self, real: RequestHandle) -> RecordedRequest:
        """Return the host's handle of a request, which is created here if needed.

        The router may issue a command for the request before `accept_request` has returned it.
        """
        request = self.requests.get(real.number)
        if request is None:
            request = RecordedRequest(self, real)
            self.requests[real.number] = request
        return request

    def send_attempt(self, request: RequestHandle, server: ServerHandle, deadline: float) -> None:
        """See `RouterHost.send_attempt`."""
        recorded = self.recorded_servers[server]
        self.commands.append((SEND_ATTEMPT, request.number, recorded.number, deadline))
        self.host.send_attempt(self._recorded_request(request), recorded, deadline)

    def cancel_attempt(self, request: RequestHandle, attempt: int) -> None:
        """See `RouterHost.cancel_attempt`."""
        self.commands.append((CANCEL_ATTEMPT, request.number, attempt))
        self.host.cancel_attempt(self._recorded_request(request), attempt)

    def reject(self, request: RequestHandle, retry_after: float) -> None:
        """See `RouterHost.reject`."""
        self.commands.append((REJECT, request.number, retry_after))
        self.host.reject(self._recorded_request(request), retry_after)

    def fail(self, request: RequestHandle) -> None:
        """See `RouterHost.fail`."""
        self.commands.append((FAIL, request.number))
        self.host.fail(self._recorded_request(request))

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """See `RouterHost.call_later`."""
        self.timer_count += 1
        number = self.timer_count
        self.timers[number] = call
        self.commands.append((CALL_LATER, delay, number))
        self.host.call_later(delay, lambda: self._timer_fired(number))

    def _timer_fired(self, number: int) -> None:
        self.record(TIMER_FIRED, (number,), self._run_timer, number)

    def _run_timer(self, number: int) -> None:
        """Run a timer, and remove it within the recorded call.

        The timer is not removed earlier because a snapshot made before the call must contain it.
        """
        self.timers.pop(number)()

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """See `RouterHost.cast_vote`."""
        self.commands.append((CAST_VOTE, build, stage, int(verdict)))
        self.host.cast_vote(build, stage, verdict)

    def check_health(self, server: ServerHandle) -> None:
        """See `RouterHost.check_health`."""
        recorded = self.recorded_servers[server]
        self.commands.append((CHECK_HEALTH, recorded.number))
        self.host.check_health(recorded)

    def close_idle_connections(self, server: ServerHandle) -> None:
        """See `RouterHost.close_idle_connections`."""
        recorded = self.recorded_servers[server]
        self.commands.append((CLOSE_IDLE_CONNECTIONS, recorded.number))
        self.host.close_idle_connections(recorded)

    def poll_endpoints(self) -> None:
        """See `RouterHost.poll_endpoints`."""
        self.commands.append((POLL_ENDPOINTS,))
        self.host.poll_endpoints()

    def watch_endpoints(self) -> None:
        """See `RouterHost.watch_endpoints`."""
        self.commands.append((WATCH_ENDPOINTS,))
        self.host.watch_endpoints()

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """See `RouterHost.gossip_outcomes`."""
        recorded = [
            (self.recorded_servers[server], build, request_class, bucket)
            for server, build, request_class, bucket in outcomes
        ]
        self.commands.append((GOSSIP_OUTCOMES, peer, [(server.number, *rest) for server, *rest in recorded]))
        self.host.gossip_outcomes(peer, recorded)

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """See `RouterHost.gossip_verdict`."""
        self.commands.append((GOSSIP_VERDICT, build, stage, int(verdict)))
        self.host.gossip_verdict(build, stage, verdict)

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """See `RouterHost.gossip_stalled_classes`."""
        self.commands.append((GOSSIP_STALLED_CLASSES, tuple(request_classes)))
        self.host.gossip_stalled_classes(request_classes)

    def log_decision(self, text: str) -> None:
        """See `RouterHost.log_decision`."""
        self.commands.append((LOG_DECISION, text))
        self.host.log_decision(text)


def with_recording(make_router: MakeRouter, sink: Sink) -> MakeRouter:
    """Return a factory of routers that works like `make_router` and records all their calls to the sink."""

    def make_recording_router(settings: RouterSettings, host: RouterHost, seed: int) -> RouterHandle:
        return Recorder(make_router, sink, settings, host, seed)

    return make_recording_router
