"""Makes health checks, which ask a server for its load, each on a connection of its own."""

from __future__ import annotations

from contextlib import closing
from dataclasses import dataclass, field

from stepsail.decisions.interface import ServerHandle
from stepsail.http import ClientConnection, InvalidMessage, Progress, Response
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.proxy.attempt_outcome import ExchangeEnd
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.upstream_protocol import UpstreamProtocol
from stepsail.settings.model import Address

# Seconds after which a health check that has not ended is given up.
HEALTH_CHECK_TIMEOUT = 0.25
# Largest number of health checks that run at once. Further health checks are reported as not sent.
MAX_HEALTH_CHECKS = 64


@dataclass(slots=True)
class HealthCheckResult:
    """Holds the state and result of a health check, updated while the check runs."""

    end: ExchangeEnd = ExchangeEnd.NOT_STARTED
    response: Response | None = None
    progress: Progress = field(default_factory=Progress)


class HealthChecker:
    """Sends the health checks that the router commands, and reports their outcomes to the router."""

    def __init__(self, loop: Loop, host: DecisionHost, protocol: UpstreamProtocol) -> None:
        self.loop = loop
        self.host = host
        self.protocol = protocol
        self.open_checks = 0

    def check_health(self, server: ServerHandle) -> None:
        """Start a health check, which asks a server for its load."""
        location = self.protocol.locate(server.address)[0]
        self.loop.spawn(self._run, server, location, name="health check")

    def _run(self, server: ServerHandle, location: Address) -> None:
        started_at = self.loop.now()
        result = HealthCheckResult()
        if self.open_checks < MAX_HEALTH_CHECKS:
            self.open_checks += 1
            try:
                self._exchange(server, location, result, started_at + HEALTH_CHECK_TIMEOUT)
            finally:
                self.open_checks -= 1
        load_report = self.protocol.health_check_report(result.response) if result.response else ()
        outcome = self.protocol.classify_outcome(result.end, result.progress, result.response)
        duration = self.loop.now() - started_at
        self.host.call_router(server.health_check_finished, duration, outcome, load_report)

    def _exchange(
        self, server: ServerHandle, location: Address, result: HealthCheckResult, deadline: float
    ) -> None:
        result.end = ExchangeEnd.CONNECT_FAILED
        try:
            stream = Stream.connect(self.loop, location, HEALTH_CHECK_TIMEOUT)
            result.end = ExchangeEnd.CONNECTION_BROKEN
            with closing(ClientConnection(self.loop, stream, self.protocol.bounds)) as connection:
                data = self.protocol.encode_health_check(server.address)
                result.response = connection.exchange(data, deadline, result.progress)
                result.end = ExchangeEnd.COMPLETED
        except TimedOut:
            if result.progress.written:
                result.end = ExchangeEnd.TIMED_OUT
        except (OSError, Closed, InvalidMessage):
            pass  # `result.end` is already set to the stage that failed
