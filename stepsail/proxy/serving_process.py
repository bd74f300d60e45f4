"""The base class of serving processes: the router's commands, signals, readiness and graceful shutdown."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import NoReturn

from stepsail.decisions.interface import MakeRouter, ServerHandle, Verdict
from stepsail.http.buffer_budget import UNLIMITED, BufferBudget
from stepsail.loop import Event, Loop, Task
from stepsail.proxy.client_protocol import ClientProtocol
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.health_check import HealthChecker
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.proxy.listener import ClientListener
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.upstream_attempt import AttemptSender
from stepsail.proxy.upstream_pool import UpstreamPool
from stepsail.proxy.upstream_protocol import UpstreamProtocol
from stepsail.settings import InstanceSettings

POLL_INTERVAL = 0.02  # seconds between two checks of a condition that no event signals
# Seconds between two log lines with the counts of requests, attempts and closed connections, and between two
# with the resources in use.
COUNTERS_INTERVAL = 5.0
# Requests that are still in flight this many seconds before the end of the shutdown timeout are failed.
FINAL_ANSWER_MARGIN = 0.1
EXIT_ALL_ANSWERED = 0
EXIT_UNANSWERED = 3  # the shutdown timeout expired before every request was answered


def _unknown_size() -> int:
    return 0


class ServingProcess(ABC):
    """Carries out the router's commands with one listener and one pool of connections to servers.

    Each subclass has its own release control, endpoint discovery and peer messages. A subclass creates its
    protocols and then calls `connect_protocols`.

    Attributes:
        resident_bytes: Returns the memory that this process has resident, in bytes; 0 if it is not known.
    """

    upstream_pool: UpstreamPool
    attempt_sender: AttemptSender
    health_checker: HealthChecker
    listener: ClientListener
    buffer_budget: BufferBudget

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        make_router: MakeRouter,
        log: Logger,
        log_attempts: bool = False,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.make_router = make_router
        self.log = log
        self.host = DecisionHost(loop, settings, log, log_attempts)
        self.stop_requested = Event(loop)
        self.resident_bytes: Callable[[], int] = _unknown_size

    def connect_protocols(
        self, client_protocol: ClientProtocol, upstream_protocol: UpstreamProtocol, audit: RequestAudit
    ) -> None:
        """Create the components that communicate with clients and servers."""
        self.buffer_budget = BufferBudget(self.settings.max_total_buffered_bytes or UNLIMITED)
        self.upstream_pool = UpstreamPool(self.loop, self.settings, upstream_protocol, self.buffer_budget)
        self.attempt_sender = AttemptSender(
            self.loop, self.settings, self.host, self.upstream_pool, upstream_protocol
        )
        self.health_checker = HealthChecker(self.loop, self.host, upstream_protocol)
        self.listener = ClientListener(
            self.loop, self.settings, self.host, self.log, audit, client_protocol, self.buffer_budget
        )

    # -- commands of the router --------------------------------------------------------------------------

    def send_attempt(self, in_flight: InFlightRequest, server: ServerHandle, deadline: float) -> Task:
        """Start an attempt that ends by `deadline`."""
        return self.attempt_sender.send_attempt(in_flight, server, deadline)

    def check_health(self, server: ServerHandle) -> None:
        """Send a health check to a server, which answers with its load."""
        self.health_checker.check_health(server)

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Close the idle connections to a server."""
        self.upstream_pool.close_idle_connections(server)

    @abstractmethod
    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send release control a vote to promote, pause or roll back a build."""

    @abstractmethod
    def poll_endpoints(self) -> None:
        """Request the endpoint list once."""

    @abstractmethod
    def watch_endpoints(self) -> None:
        """Start receiving changes of the endpoint list."""

    @abstractmethod
    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send the outcomes of observed attempts to one peer."""

    @abstractmethod
    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict on a build to all peers."""

    @abstractmethod
    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """Send the stalled request classes to all peers."""

    # -- startup -----------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Request a shutdown; a second call has no effect."""
        self.stop_requested.set()

    def stop_on_signals(self) -> None:
        """Request a shutdown on SIGTERM and SIGINT."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.driver.on_signal(signal_number, self.stop)

    def start_sweep(self) -> Task:
        """Start the task that closes connections to servers that have been idle too long."""
        return self.loop.spawn(self.upstream_pool.sweep, name="sweep idle connections", essential=True)

    def accept_requests(self, servers: int) -> None:
        """Start passing requests to the router; until then each one is rejected."""
        self.listener.state.ready = True
        self.log.info("ready", listen="{}:{}".format(*self.settings.listen), servers=servers)

    # -- shutdown ----------------------------------------------------------------------------------------

    @abstractmethod
    def stop_accepting(self) -> None:
        """Stop accepting new connections, in the subclass's own way; requests in flight continue."""

    @abstractmethod
    def release_resources(self) -> None:
        """Stop what is still running after the last answer."""

    def shut_down(self) -> int:
        """Answer the requests in flight, release the resources and return the exit code."""
        stop_requested_at = self.loop.now()
        self.log.info("shutting_down", in_flight=len(self.host.in_flight))
        self.stop_accepting()
        in_time = self.finish_in_flight(stop_requested_at)
        self.release_resources()
        self.log_shutdown()
        return EXIT_ALL_ANSWERED if in_time else EXIT_UNANSWERED

    def finish_in_flight(self, stop_requested_at: float) -> bool:
        """Wait until all requests are answered and all client connections are closed.

        FINAL_ANSWER_MARGIN before the shutdown timeout expires, each request that is still in flight fails,
        so that no client is left without an answer. A failure promises the client nothing, because a server
        may have run the request.

        Returns:
            Whether all requests were answered and all client connections were closed FINAL_ANSWER_MARGIN
            before the timeout, so that no request had to fail.
        """
        deadline = stop_requested_at + self.settings.shutdown_timeout
        if self._wait_until_finished(deadline - FINAL_ANSWER_MARGIN):
            return True
        self.listener.state.rejects_all = True
        unanswered = [
            in_flight for in_flight in self.host.in_flight.values() if in_flight.finish(FinalAnswer.FAILED)
        ]
        for in_flight in unanswered:
            self.log.warning("answer_forced", request=in_flight.request_id)
        self._wait_until_finished(deadline)
        return False

    def _wait_until_finished(self, deadline: float) -> bool:
        """Wait until no client is owed an answer; return False if one still is at the deadline."""
        while not self.listener.close_finished_connections() or self._unanswered_count():
            if self.loop.now() >= deadline:
                return False
            self.loop.sleep(POLL_INTERVAL)
        return True

    def _unanswered_count(self) -> int:
        return sum(not in_flight.finished for in_flight in self.host.in_flight.values())

    # -- log ---------------------------------------------------------------------------------------------

    def log_counters_periodically(self) -> NoReturn:
        """Log counts and the resources in use every COUNTERS_INTERVAL seconds; never return."""
        while True:
            self.loop.sleep(COUNTERS_INTERVAL)
            self.log_counters()
            self.log_resources()

    def log_counters(self) -> None:
        """Log the counts of requests, attempts and closes since the last such log line, if any is nonzero."""
        if counts := self.host.counters.collect_and_reset():
            self.log.info("counters", **counts)

    def log_resources(self) -> None:
        """Log how many connections, requests in flight and bytes of memory this process has now."""
        self.log.info(
            "resources",
            client_connections=self.listener.connection_count(),
            server_connections=self.upstream_pool.open_connections,
            in_flight=len(self.host.in_flight),
            buffered_bytes=self.buffer_budget.used,
            resident_bytes=self.resident_bytes(),
        )

    def log_shutdown(self) -> None:
        """Log the counts not logged yet, and the number of requests for each kind of final answer."""
        self.log_counters()
        final_answers = {answer.name.lower(): count for answer, count in self.host.final_answers.items()}
        self.log.info(
            "stopped", accepted=self.host.accepted, unanswered=self._unanswered_count(), **final_answers
        )
