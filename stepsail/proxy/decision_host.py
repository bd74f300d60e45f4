"""The boundary between sockets and the router: passes events to the router and starts its commands.

`call_router` passes the events to the router one after another, and reads the clock once for each event. A
command that the router issues while it handles an event is started at once, but is never completed before
the router has returned. The router is therefore never reentered.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from stepsail.decisions.interface import (
    AttemptOutcome,
    MakeRouter,
    RejectionReason,
    RequestHandle,
    RouterHandle,
    ServerHandle,
    Verdict,
)
from stepsail.http import Response
from stepsail.loop import Loop
from stepsail.proxy.attempt_outcome import NEVER_RAN
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.command_executor import CommandExecutor
from stepsail.proxy.counters import Counters
from stepsail.proxy.in_flight import Attempt, FinalAnswer, InFlightRequest
from stepsail.settings import InstanceSettings

# Largest number of the router's timers that may be pending at a time; the router normally sets far fewer.
MAX_PENDING_TIMERS = 100_000


class Logger(Protocol):
    """Logs events with their fields; a structlog logger implements it."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event of a single request."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log a step in the lifecycle of the process or of a release."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log a fault outside of this process that it tolerates."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log a fault of this program."""


def _list_never_expires() -> bool:
    return True


def _ignore_finished_request(in_flight: InFlightRequest) -> None:
    """Default of `on_request_finished`."""


class DecisionHost:
    """Implements `decisions.interface.RouterHost`.

    Attributes:
        clock: The loop's time at the latest call of the router.
        in_flight: Accepted requests by number, until they have their final answer and no attempt is open.
        final_answers: Number of requests by final answer.
        router_errors: Number of calls of the router that raised an exception.
        last_decision_text: The text of the latest `log_decision`.
        endpoint_list_usable: Returns whether the endpoint list is recent enough to send attempts.
        on_request_finished: Called once a request has its final answer and no attempt is open.
    """

    def __init__(self, loop: Loop, settings: InstanceSettings, log: Logger, log_attempts: bool) -> None:
        self.loop = loop
        self.settings = settings
        self.log = log
        self.log_attempts = log_attempts
        self.clock = loop.now()
        self.router: RouterHandle
        self.executor: CommandExecutor
        self.in_flight: dict[int, InFlightRequest] = {}
        self.servers: dict[bytes, ServerHandle] = {}
        self.pending_timers = 0
        self.accepted = 0
        self.router_errors = 0
        self.last_decision_text = ""
        self.final_answers = dict.fromkeys(FinalAnswer, 0)
        self.counters = Counters()
        self.endpoint_list_usable: Callable[[], bool] = _list_never_expires
        self.on_request_finished: Callable[[InFlightRequest], object] = _ignore_finished_request

    def start(self, make_router: MakeRouter, executor: CommandExecutor, seed: int) -> None:
        """Create the router; `executor` carries out its commands."""
        self.executor = executor
        self.clock = self.loop.now()
        self.router = make_router(self.settings.router, self, seed)

    # -- events for the router ---------------------------------------------------------------------------

    def call_router(self, call: Callable[..., Any], *args: Any) -> Any:
        """Call the router; log and count an exception that it raises.

        Requests in flight get an answer by their deadline even if the router fails.
        """
        self.clock = self.loop.now()
        try:
            return call(*args)
        except Exception as error:
            self.router_errors += 1
            self._log_router_failure(call, error)
            return None

    def _log_router_failure(self, call: Callable[..., Any], error: Exception) -> None:
        self.log.error(
            "router_failed",
            call=getattr(call, "__qualname__", "?"),
            error=repr(error),
            trace="".join(traceback.format_exception(error)),
        )

    def add_server(self, address: bytes) -> ServerHandle:
        """Return the router's handle for a server, creating it at the first call for its address."""
        server = self.servers.get(address)
        if server is None:
            server = self.router.add_server(address)
            self.servers[address] = server
        return server

    def accept_request(self, in_flight: InFlightRequest, parsed: ParsedRequest, age: float) -> None:
        """Pass a request to the router.

        Args:
            in_flight: The request.
            parsed: What the client protocol parsed from it.
            age: Seconds for which the request lay unread.
        """
        self.accepted += 1
        self.in_flight[in_flight.number] = in_flight
        in_flight.router_handle = self.call_router(
            self.router.accept_request,
            in_flight.number,
            parsed.request_class,
            parsed.tenant,
            None,
            in_flight.deadline,
            parsed.key,
            parsed.is_retry,
            age,
        )
        self.forget_if_finished(in_flight)

    def attempt_ended(
        self,
        in_flight: InFlightRequest,
        number: int,
        outcome: AttemptOutcome,
        duration: float,
        load_report: Sequence[float],
        response: Response | None,
    ) -> None:
        """Report the end of an attempt to the router; the first served attempt decides the final answer."""
        in_flight.open_attempts -= 1
        attempt = in_flight.attempts[number]
        attempt.outcome = outcome
        if outcome is AttemptOutcome.SERVED:
            in_flight.finish(FinalAnswer.SERVED, response)
        handle = in_flight.router_handle
        if handle is not None:
            self.call_router(handle.attempt_ended, number, outcome, in_flight.finished, duration, load_report)
        self.counters.attempts[outcome.name.lower()] += 1
        if self.log_attempts or outcome is not AttemptOutcome.SERVED:
            self.log.debug(
                "attempt_ended",
                request=in_flight.request_id,
                attempt=number,
                server=attempt.server,
                outcome=outcome.name.lower(),
                duration=round(duration, 4),
                may_have_run=outcome not in NEVER_RAN,
            )
        self.forget_if_finished(in_flight)

    def attempt_still_allowed(self, in_flight: InFlightRequest, number: int) -> bool:
        """Return whether the router still allows an attempt, now that its connection is established."""
        handle = in_flight.router_handle
        return handle is None or bool(self.call_router(handle.attempt_still_allowed, number))

    def client_disconnected(self, in_flight: InFlightRequest) -> None:
        """Cancel a request whose client has disconnected, unless it has its final answer already."""
        if in_flight.finish(FinalAnswer.CANCELLED_BY_CLIENT):
            self.final_answers[FinalAnswer.CANCELLED_BY_CLIENT] += 1
            if in_flight.router_handle is not None:
                self.call_router(in_flight.router_handle.client_disconnected)
        self.forget_if_finished(in_flight)

    def forget_if_finished(self, in_flight: InFlightRequest) -> None:
        """Drop a request that has its final answer and no open attempt."""
        if in_flight.finished and not in_flight.open_attempts and in_flight.number in self.in_flight:
            del self.in_flight[in_flight.number]
            self.on_request_finished(in_flight)

    # -- commands of the router --------------------------------------------------------------------------

    def _in_flight_request(self, handle: RequestHandle) -> InFlightRequest:
        in_flight = self.in_flight[handle.number]
        in_flight.router_handle = handle  # the router may issue commands before `accept_request` has returned
        return in_flight

    def send_attempt(self, handle: RequestHandle, server: ServerHandle, deadline: float) -> None:
        """Start an attempt of a request at a server."""
        in_flight = self._in_flight_request(handle)
        address = server.address.decode()
        in_flight.open_attempts += 1
        task = self.executor.send_attempt(in_flight, server, deadline)
        in_flight.attempts.append(Attempt(address, task))
        if self.log_attempts:
            self.log.debug(
                "attempt_started",
                request=in_flight.request_id,
                attempt=len(in_flight.attempts) - 1,
                server=address,
                build=getattr(server, "build", None),
            )

    def cancel_attempt(self, handle: RequestHandle, number: int) -> None:
        """Cancel an attempt, unless its response is already being forwarded to the client."""
        in_flight = self._in_flight_request(handle)
        if in_flight.streaming_attempt == number:
            return
        task = in_flight.attempts[number].task
        task.cancel()
        # A task that was cancelled before it started cannot report the end of its attempt.
        if not task.started:
            self.loop.call_later(
                0.0,
                lambda: self.attempt_ended(in_flight, number, AttemptOutcome.NOT_SENT, 0.0, (), None),
            )

    def reject(self, handle: RequestHandle, retry_after: float) -> None:
        """Reject a request: nothing has run, and the client may retry after `retry_after` seconds."""
        in_flight = self._in_flight_request(handle)
        in_flight.retry_after = retry_after
        if in_flight.finish(FinalAnswer.REJECTED):
            self.log_unserved("request_rejected", in_flight, handle.rejection_reason)

    def fail(self, handle: RequestHandle) -> None:
        """Fail a request; the client is promised nothing, because a server may have run the request."""
        in_flight = self._in_flight_request(handle)
        if in_flight.finish(FinalAnswer.FAILED):
            self.log_unserved("request_failed", in_flight, handle.rejection_reason)

    def log_unserved(self, event: str, in_flight: InFlightRequest, reason: RejectionReason | None) -> None:
        """Count and log a request that gets no response of a server, with the reason."""
        reason_name = reason.name.lower() if reason else "unknown"
        self.counters.requests[reason_name] += 1
        attempts = len(in_flight.attempts)
        self.log.debug(event, request=in_flight.request_id, reason=reason_name, attempts=attempts)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Make a call into the router after a delay in seconds."""
        if self.pending_timers >= MAX_PENDING_TIMERS:
            self.log.error("timer_limit_reached", limit=MAX_PENDING_TIMERS)
            return

        def fire() -> None:
            self.pending_timers -= 1
            self.call_router(call)

        self.pending_timers += 1
        self.loop.call_later(delay, fire)

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Log a vote to promote, pause or roll back a build, and send the vote to release control."""
        self.log.info("vote_cast", build=build, stage=stage, verdict=verdict.name.lower())
        self.executor.cast_vote(build, stage, verdict)

    def check_health(self, server: ServerHandle) -> None:
        """Send a health check to a server, which answers with its load."""
        self.executor.check_health(server)

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Close the idle connections to a server."""
        self.executor.close_idle_connections(server)

    def poll_endpoints(self) -> None:
        """Request the endpoint list once."""
        self.executor.poll_endpoints()

    def watch_endpoints(self) -> None:
        """Start receiving changes of the endpoint list."""
        self.executor.watch_endpoints()

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send the outcomes of observed attempts to one peer."""
        self.executor.gossip_outcomes(peer, outcomes)

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict on a build to all peers."""
        self.executor.gossip_verdict(build, stage, verdict)

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """Send the stalled request classes to all peers."""
        self.executor.gossip_stalled_classes(request_classes)

    def log_decision(self, text: str) -> None:
        """Log a decision with its evidence; a vote's audit trail entry contains the latest such text."""
        self.last_decision_text = text
        self.log.info("decision", text=text)
