"""The state of one server: its endpoint record, slow start, ejection, load and latency.

A server is ejected for some time after consecutive failures (outlier ejection). While it is ejected it gets
one attempt at a time, and only if no other server may be chosen.
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

BASE_EJECTION_TIME = 0.5  # s; also the least time without a response before a server counts as unresponsive
EJECTION_THRESHOLD = 2  # consecutive failures from which a server is ejected
MAX_COUNTED_FAILURES = 4  # consecutive failures beyond which the ejection gets no longer
LOAD_REPORT_TTL = 2.0  # s after which a load report is stale
# Multiple of the usual latency for which a server may send no response before it counts as unresponsive.
UNRESPONSIVE_LATENCY_MULTIPLE = 4.0
# Factor by which servers of other zones are drawn less often if attempts across zones have a cost.
CROSS_ZONE_WEIGHT_DIVISOR = 1.5

RESPONSE_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.FAILED, AttemptOutcome.REJECTED)
FAILURE_OUTCOMES = (
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.FAILED,
)


class Server:
    """One server of the endpoint list, with the state that this instance knows."""

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
        self.list_number = 0  # number of the last endpoint list that contained it
        self.started_at = 0.0
        self.warm_at = 0.0  # end of its slow start
        self.ejected_until = 0.0
        self.failures = 0  # consecutive
        self.load = 0.0  # requests in flight at the server, by its last load report
        # Requests queued at the server, by its last load report; infinite if reports contain no queue length.
        self.reported_queue = inf
        self.attempts_at_report = 0  # this instance's attempts in flight when that report arrived
        self.last_response_at = -inf  # time of its last answer or load report
        self.disconnected_at = -inf  # when it last refused a connect, or its idle connections were closed
        self.attempts: list[Attempt] = []  # in flight
        self.relative_latency = DecayingMean()  # as a multiple of the usual latency of the class
        self.outcomes: HistogramsByClass = {}  # recent ones, while a build is on canary

    def update_endpoint(
        self, zone: int, cell: int, build: int, state: int, started_at: float, size: float
    ) -> None:
        """Apply an entry of the endpoint list; another start time or build means another process."""
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
        """Return the share of its full capacity that the server has; below 1 only in slow start."""
        left = self.warm_at - self.host.clock
        if left <= 0:
            return 1.0
        settings = self.settings
        return 1 - (1 - settings.slow_start_floor) * min(1.0, left / settings.slow_start_duration)

    def path_latency_ratio(self) -> float:
        """Return the latency of the path to its zone as a multiple of the best path's latency."""
        zone_latency = self.pool.zone_latency
        best = self.pool.best_zone_latency or min((z.mean() for z in zone_latency.values()), default=1.0)
        return zone_latency[self.zone].mean() / best if self.zone in zone_latency else 1.0

    def weight(self) -> float:
        """Return the server's weight in a random draw.

        It depends on the slow start, the path and the zone and, without an open connection, on the share of
        connects that fail.
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

        It is if the server has responded within the idle timeout, and since then has not refused a connect or
        had its idle connections closed.
        """
        return self.last_response_at > max(self.disconnected_at, self.host.clock - self.settings.idle_timeout)

    def cost(self) -> float:
        """Return an estimate of the latency of one more attempt, for comparing servers."""
        in_flight = len(self.attempts)
        is_fresh = self.host.clock - self.last_response_at < LOAD_REPORT_TTL
        estimated_load = self.load + in_flight - self.attempts_at_report if is_fresh else 0.0
        return (max(estimated_load, in_flight) / self.capacity_share() + 1) * self.relative_latency.mean()

    def unresponsive(self) -> bool:
        """Return whether it has attempts in flight, but has sent no response for much longer than usual.

        Attempts of stalled classes and tenants are ignored, as their latency is not due to the server.
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
        """Apply a load report with the columns that the settings name; ignore one of another length."""
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
        """Update latency and failures at the end of an attempt.

        Args:
            outcome: How the attempt ended.
            latency_ratio: Its latency as a multiple of the usual latency of its class.
            latency_is_valid: Whether the latency is due to the server, rather than to the server's startup or
                to a pause of this process.
            request_stalled: Whether the request's class or tenant is stalled, so that neither latency nor
                failure is due to the server.
        """
        if outcome in RESPONSE_OUTCOMES:
            self.last_response_at = self.host.clock
        if outcome is AttemptOutcome.SERVED:
            self.failures = 0
            self.relative_latency.add(latency_ratio if latency_is_valid and not request_stalled else 1.0)
        elif outcome in FAILURE_OUTCOMES and not request_stalled:
            # One lost connection doesn't eject the server, as the connection alone may be at fault; one
            # failed connect does.
            self.record_failures(EJECTION_THRESHOLD if outcome is AttemptOutcome.CONNECT_FAILED else 1)

    def record_failures(self, count: int) -> None:
        """Count consecutive failures.

        From `EJECTION_THRESHOLD` failures on, each call starts the ejection anew, for longer after more
        failures.
        """
        self.failures = min(MAX_COUNTED_FAILURES, self.failures + count)
        if self.failures >= EJECTION_THRESHOLD:
            doublings = self.failures // EJECTION_THRESHOLD - 1
            self.ejected_until = self.host.clock + BASE_EJECTION_TIME * 2**doublings

    def discard_evidence(self) -> None:
        """Discard outcomes and failures that the server did not cause, and end its ejection."""
        self.outcomes = {}
        self.failures = 0
        self.ejected_until = 0.0

    def health_check_finished(
        self, duration: float, outcome: AttemptOutcome, report: Sequence[float]
    ) -> None:
        """Handle the end of a health check; only its load report is used."""
        self.report_received(report)

    def answer_disputed(self, class_index: int, since: float) -> None:
        """Record that a client has reported an answer of this server as wrong."""
        self.router.observe(self, self.build, class_index, DISPUTED)
