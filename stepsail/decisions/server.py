"""This module keeps the state of one server: its endpoint record, slow start, ejection, load and latency.

A server is ejected for some time after consecutive failures (outlier ejection). While a server is ejected, it
gets one attempt at a time, and only if no other server may be chosen.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import TYPE_CHECKING

from stepsail.decisions.averages import DecayingMean
from stepsail.decisions.histogram import DISPUTED, HistogramsByClass
from stepsail.decisions.interface import AttemptOutcome, EndpointState

if TYPE_CHECKING:
    from stepsail.decisions.attempt import Attempt
    from stepsail.decisions.router import Router

# Shortest ejection of a server in seconds. It is also the least time in seconds without a response after
# which a server counts as unresponsive.
BASE_EJECTION_TIME = 0.5
# Number of consecutive failures after which a server is ejected.
EJECTION_THRESHOLD = 2
# Largest number of consecutive failures that is counted; more failures don't lengthen the ejection.
MAX_COUNTED_FAILURES = 4
# Age in seconds from which a load report is stale.
LOAD_REPORT_TTL = 2.0
# A server that sends no response for longer than this multiple of the usual latency counts as unresponsive.
UNRESPONSIVE_LATENCY_MULTIPLE = 4.0
# If attempts across zones have a cost, the weight of servers in other zones is divided by this number, so
# that these servers are drawn less often.
CROSS_ZONE_WEIGHT_DIVISOR = 1.5

RESPONSE_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.FAILED, AttemptOutcome.REJECTED)
FAILURE_OUTCOMES = (
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.FAILED,
)


class Server:
    """One server of the endpoint list, with what this instance knows about the state of the server."""

    def __init__(self, router: Router, address: bytes) -> None:
        self.router = router
        self.pool = router.pool
        self.host = router.host
        self.settings = router.settings
        self.address = address
        self.state = EndpointState.GONE
        self.zone = 0
        self.cell = 0
        self.build = 0
        self.list_number = 0  # number of the last endpoint list that contained this server
        self.started_at = 0.0
        self.warm_at = 0.0  # time at which the slow start of this server ends
        self.ejected_until = 0.0
        self.failures = 0  # number of consecutive failures, up to `MAX_COUNTED_FAILURES`
        self.load = 0.0  # number of requests in flight at the server according to its last load report
        # Number of requests queued at the server according to its last load report; infinite if load reports
        # contain no queue length.
        self.reported_queue = inf
        # Number of this instance's attempts in flight at the server when the server's last load report
        # arrived.
        self.attempts_at_report = 0
        self.last_response_at = -inf  # time of the server's last answer or load report
        # Time at which the server last refused a connect, or at which idle connections to it were last
        # closed.
        self.disconnected_at = -inf
        self.attempts: list[Attempt] = []  # attempts of this instance in flight at the server
        # Mean latency of the server, as a multiple of the usual latency of the request's class.
        self.relative_latency = DecayingMean()
        # Recent outcomes of attempts at the server, collected only while this instance judges a build.
        self.outcomes: HistogramsByClass = {}

    def update_endpoint(
        self, zone: int, cell: int, build: int, state: int, started_at: float, size: float
    ) -> None:
        """Apply an entry of the endpoint list to this server.

        If the start time or the build has changed, the server is another process, so what was measured on the
        previous process is discarded.
        """
        if started_at != self.started_at or build != self.build:
            self.relative_latency = DecayingMean()
            self.failures = 0
            self.ejected_until = 0.0
            self.load = 0.0
            self.outcomes = {}
            self.warm_at = started_at + self.settings.slow_start_duration if started_at else started_at
        self.zone = zone
        self.cell = cell
        self.build = build
        self.started_at = started_at
        known_state = state in (EndpointState.DRAINING, EndpointState.READY)
        self.state = EndpointState(state) if known_state else EndpointState.GONE
        self.list_number = self.pool.list_number

    # -- availability and selection weight ---------------------------------------------------------------

    def available(self) -> bool:
        """Return whether the server is ready and not ejected."""
        return self.state is EndpointState.READY and self.ejected_until <= self.host.clock

    def capacity_share(self) -> float:
        """Return the server's present share of its full capacity; the share is below 1 only in slow start."""
        left = self.warm_at - self.host.clock
        if left <= 0:
            return 1.0
        settings = self.settings
        return 1 - (1 - settings.slow_start_floor) * min(1.0, left / settings.slow_start_duration)

    def path_latency_ratio(self) -> float:
        """Return the latency of the path to the server's zone as a multiple of the best path's latency."""
        zone_latency = self.pool.zone_latency
        best = self.pool.best_zone_latency or min((z.mean() for z in zone_latency.values()), default=1.0)
        return zone_latency[self.zone].mean() / best if self.zone in zone_latency else 1.0

    def weight(self) -> float:
        """Return the server's weight in a random draw.

        The weight depends on the slow start, the latency of the network path and the zone. If no connection
        to the server is open, the weight also depends on the share of connects that fail.
        """
        connect_failure_share = 0.0 if self.connected() else self.pool.connect_failures.mean()
        crosses_zone = self.settings.cross_zone_cost and self.zone != self.settings.zone
        zone_divisor = CROSS_ZONE_WEIGHT_DIVISOR if crosses_zone else 1.0
        return (
            self.capacity_share()
            * (1 - connect_failure_share)
            / self.path_latency_ratio() ** 2
            / zone_divisor
        )

    def connected(self) -> bool:
        """Return whether a connection to the server is probably open.

        A connection counts as open if the server has responded within the idle timeout, and if since that
        response the server has not refused a connect and idle connections to it were not closed.
        """
        return self.last_response_at > max(self.disconnected_at, self.host.clock - self.settings.idle_timeout)

    def cost(self) -> float:
        """Return an estimate of the latency of one more attempt at this server, to compare servers."""
        in_flight = len(self.attempts)
        is_fresh = self.host.clock - self.last_response_at < LOAD_REPORT_TTL
        estimated_load = self.load + in_flight - self.attempts_at_report if is_fresh else 0.0
        return (max(estimated_load, in_flight) / self.capacity_share() + 1) * self.relative_latency.mean()

    def unresponsive(self) -> bool:
        """Return whether the server has attempts in flight but has not responded for much longer than usual.

        Attempts of stalled classes and tenants are ignored, because the server does not cause their latency.
        An ejected server never counts as unresponsive.
        """
        oldest = next((a for a in self.attempts if not a.request.stalled), None)
        if oldest is None:
            return False
        now = self.host.clock
        response_timeout = (
            UNRESPONSIVE_LATENCY_MULTIPLE * oldest.request.usual_latency.mean() * self.path_latency_ratio()
        )
        time_since_response = now - max(oldest.sent_at, self.last_response_at)
        return self.ejected_until <= now and time_since_response > max(BASE_EJECTION_TIME, response_timeout)

    # -- events ------------------------------------------------------------------------------------------

    def report_received(self, report: Sequence[float]) -> None:
        """Apply a load report; ignore it unless it has one number per column named in the settings."""
        columns = self.settings.load_report_columns
        if len(report) != len(columns):
            return
        for column in ("q", "rif"):
            if column in columns:
                value = report[columns.index(column)]
                if column == "q":
                    self.load = value + len(self.attempts)
                    self.reported_queue = value
                else:
                    self.load = value
                self.attempts_at_report = len(self.attempts)
                self.last_response_at = self.host.clock

    def attempt_ended(
        self,
        outcome: AttemptOutcome,
        latency_ratio: float,
        latency_is_valid: bool,
        request_stalled: bool = False,
    ) -> None:
        """Update the server's latency and its count of failures at the end of an attempt.

        Args:
            outcome: How the attempt ended.
            latency_ratio: Latency of the attempt as a multiple of the usual latency of the request's class.
            latency_is_valid: Whether the latency is due to the server, rather than to the server's startup or
                to a pause of this process.
            request_stalled: Whether the request's class or tenant is stalled. If so, the server counts as the
                cause of neither the latency nor the failure.
        """
        if outcome in RESPONSE_OUTCOMES:
            self.last_response_at = self.host.clock
        if outcome is AttemptOutcome.SERVED:
            self.failures = 0
            self.relative_latency.add(latency_ratio if latency_is_valid and not request_stalled else 1.0)
        elif outcome in FAILURE_OUTCOMES and not request_stalled:
            # One lost connection does not eject the server, because only the connection may have failed. One
            # failed connect ejects the server.
            self.record_failures(EJECTION_THRESHOLD if outcome is AttemptOutcome.CONNECT_FAILED else 1)

    def record_failures(self, count: int) -> None:
        """Add `count` to the number of consecutive failures, and eject the server if there are enough.

        If there are at least `EJECTION_THRESHOLD` failures, each call starts the ejection anew. The ejection
        is longer after more failures.
        """
        self.failures = min(MAX_COUNTED_FAILURES, self.failures + count)
        if self.failures >= EJECTION_THRESHOLD:
            doublings = self.failures // EJECTION_THRESHOLD - 1
            self.ejected_until = self.host.clock + BASE_EJECTION_TIME * 2**doublings

    def discard_evidence(self) -> None:
        """Discard the server's outcomes and failures, because it did not cause them, and end its ejection."""
        self.outcomes = {}
        self.failures = 0
        self.ejected_until = 0.0

    def health_check_finished(
        self, duration: float, outcome: AttemptOutcome, report: Sequence[float]
    ) -> None:
        """Handle the end of a health check; only the load report in its response is used."""
        self.report_received(report)

    def answer_disputed(self, class_index: int, since: float) -> None:
        """Record that a client has reported an answer of this server as wrong."""
        self.router.observe(self, self.build, class_index, DISPUTED)
