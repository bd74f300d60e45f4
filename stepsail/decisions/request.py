"""This module handles the life cycle of one request: its attempts, its deadline and its final answer.

Once a server may have run an attempt, the idempotency of the request's class decides whether the request may
be sent again. An idempotent request may be sent to any server. A request with an idempotency key may be sent
only to servers in the key's deduplication scope, and only within the key's window. A non-idempotent request
may not be sent to any server.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import TYPE_CHECKING

from stepsail.decisions.attempt import Attempt
from stepsail.decisions.averages import DecayingMean
from stepsail.decisions.histogram import EDGES
from stepsail.decisions.interface import (
    AttemptOutcome,
    DeduplicationScope,
    Idempotency,
    RejectionReason,
    RequestClass,
)
from stepsail.decisions.selection import BAD_PATH_LATENCY_RATIO
from stepsail.decisions.server import LOAD_REPORT_TTL
from stepsail.decisions.timing import CLOCK_MARGIN, TICK_INTERVAL, TICK_INTERVAL_WHILE_WAITING

if TYPE_CHECKING:
    from stepsail.decisions.router import Router
    from stepsail.decisions.server import Server

# Seconds that may pass between the check that an attempt is still in time and the attempt's first byte.
SEND_DELAY = 0.2
# Multiple of the class's usual latency that must remain before the latency objective at the first attempt.
MIN_REMAINING_LATENCIES = 2.0
# Share of the latency objective for which a request may wait for its first attempt even if its class is slow.
MIN_WAIT_SHARE = 0.25
# If at least this share of recent attempts was rejected, servers count as overloaded, and the outcomes of
# attempts are no evidence on a build.
OVERLOAD_REJECTION_SHARE = 0.2

DID_NOT_RUN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
NOT_PATH_EVIDENCE = (AttemptOutcome.FAILED, AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT)


class Request:
    """One accepted request; `number` is the host's identifier for it."""

    def __init__(
        self,
        router: Router,
        number: int,
        class_index: int,
        tenant_index: int,
        deadline: float,
        key: int,
        is_retry: bool,
        age: float,
    ) -> None:
        self.router = router
        self.number = number
        self.deadline = deadline
        self.key = key
        self.is_retry = is_retry
        # Whether the client has its final answer or has disconnected, so that no more attempts are sent.
        self.closed = False
        self.arrived_at: float = router.host.clock - age
        # One random number in [0, 1) that is used for all random decisions on this request.
        self.draw: float = router.next_random()
        self.request_class: RequestClass = router.settings.request_classes[class_index]
        self.attempts: list[Attempt] = []
        self.usual_latency: DecayingMean = router.admission.usual_latency[class_index]
        self.stall_detectors = router.stalls.detectors_for(class_index, tenant_index)
        self.rejection_reason: RejectionReason | None = None

    @property
    def stalled(self) -> bool:
        """Whether the request's class or tenant is stalled."""
        # A list is faster than a generator here.
        return any([d.stalled for d in self.stall_detectors])

    def finished(self) -> bool:
        """Return whether the request is closed and all its attempts have ended."""
        return self.closed and all(a.ended for a in self.attempts)

    # -- whether an attempt is allowed -------------------------------------------------------------------

    def may_be_sent_to(self, server: Server) -> bool:
        """Return whether another attempt may be sent to this server, given the attempts that may have run."""
        first = next((a for a in self.attempts if a.may_have_run), None)
        if first is None:
            return True
        request_class = self.request_class
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return request_class.idempotency is Idempotency.IDEMPOTENT
        if request_class.deduplication_scope is DeduplicationScope.ZONE and server.zone != first.zone:
            return False
        if request_class.deduplication_scope is DeduplicationScope.CELL and server.cell != first.cell:
            return False
        return self.router.host.clock < first.sent_at + request_class.key_window - CLOCK_MARGIN

    def attempt_still_allowed(self, attempt_index: int) -> bool:
        """Return whether an attempt may still be sent.

        The host calls this method right before it sends the attempt's first byte. Since the server was
        chosen, a later build may have answered a request with the same key, the exposure limit of a build on
        canary may have dropped to 0, or the window of the idempotency key may have ended. The call changes no
        state.
        """
        attempt = self.attempts[attempt_index]
        router = self.router
        if attempt.build < router.exposure.earliest_allowed_build(self.key):
            return False
        release = router.release
        if attempt.build == release.build and router.exposure.is_canary(attempt.build) and release.limit <= 0:
            return False
        first = next((a for a in self.attempts[:attempt_index] if a.may_have_run), None)
        if first is None or self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return True
        return router.host.clock < first.sent_at + self.request_class.key_window - SEND_DELAY

    # -- the next attempt, or giving up ------------------------------------------------------------------

    def dispatch(self) -> None:
        """Send the request's next attempt, let the request wait for capacity, or give the request up."""
        router = self.router
        now = router.host.clock
        reason = self._reason_to_give_up(now)
        if reason is not None:
            self.give_up(reason)
            return
        server = router.pool.choose(self) if router.admission.has_capacity(self.draw) else None
        router.schedule_tick(TICK_INTERVAL if server else TICK_INTERVAL_WHILE_WAITING)
        if server is None:
            router.admission.waiting.append(self)
            return
        if router.exposure.is_canary(server.build):
            router.exposure.window_for_class(self.request_class.index).sent.append(now)
        attempt = Attempt(self, server, now)
        router.admission.in_flight.append(attempt)
        self.attempts.append(attempt)
        server.attempts.append(attempt)
        # A server with enough consecutive failures is ejected anew by this call, so that the server gets only
        # one attempt at a time until it has served an attempt.
        server.record_failures(0)
        router.host.send_attempt(self, server, self.deadline)

    def _reason_to_give_up(self, now: float) -> RejectionReason | None:
        if self._too_late(now):
            return RejectionReason.TOO_LATE
        if now >= self.deadline - TICK_INTERVAL_WHILE_WAITING - CLOCK_MARGIN:
            return RejectionReason.DEADLINE
        if len(self.attempts) >= self.router.settings.max_attempts:
            return RejectionReason.ATTEMPTS_EXHAUSTED
        if not any(self.may_be_sent_to(s) for s in self.router.pool.servers):
            return RejectionReason.NO_ELIGIBLE_SERVER
        if self.stalled and not self.router.admission.may_dispatch_stalled(self):
            return RejectionReason.CLASS_STALLED
        return None

    def may_cancel_attempts(self) -> bool:
        """Return whether the request's attempts at an unresponsive server may be cancelled.

        Another server must be available for the request. If the request would be given up rather than
        retried, the client must be able to repeat it safely. Otherwise the request would fail, although the
        unresponsive server may still answer it.
        """
        if self.closed or not (
            self.retry_is_safe() or self._reason_to_give_up(self.router.host.clock) is None
        ):
            return False
        return any(s.available() and self.may_be_sent_to(s) for s in self.router.pool.ready)

    def _too_late(self, now: float) -> bool:
        """Return whether it is too late to send an attempt that could still be useful.

        When the first attempt is sent, at least `MIN_REMAINING_LATENCIES` usual latencies of the class must
        be left before the latency objective. During the first `MIN_WAIT_SHARE` of the objective, a first
        attempt is always allowed. A retry may be sent until the objective, or later if a late answer still
        has weight.
        """
        objective = self.request_class.latency_objective
        if self.attempts:
            return now > self.arrived_at + objective and not self.request_class.late_weight_share
        max_wait = max(
            objective - MIN_REMAINING_LATENCIES * self.usual_latency.mean(), MIN_WAIT_SHARE * objective
        )
        return now > self.arrived_at + max_wait

    def give_up(self, reason: RejectionReason) -> None:
        """End the request without an answer from a server.

        If the client may safely send the request again, the request is rejected; otherwise it fails.
        """
        self.rejection_reason = reason
        self.closed = True
        if self.retry_is_safe():
            self.router.host.reject(self, self.router.settings.max_retry_after)
        else:
            self.router.host.fail(self)

    def retry_is_safe(self) -> bool:
        """Return whether the client may safely repeat the request, given the attempts that may have run."""
        request_class = self.request_class
        return (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or (
                request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and request_class.deduplication_scope is DeduplicationScope.ALL
            )
            or not any(a.may_have_run for a in self.attempts)
        )

    def client_disconnected(self) -> None:
        """Close the request because its client has disconnected, so that no further attempt is sent."""
        self.closed = True

    # -- the end of an attempt ---------------------------------------------------------------------------

    def attempt_ended(
        self,
        attempt_index: int,
        outcome: AttemptOutcome,
        is_final: bool,
        duration: float,
        report: Sequence[float],
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt_index: Index of the attempt in the request, from 0.
            outcome: How the attempt ended.
            is_final: Whether the client received its answer from this attempt.
            duration: Duration of the attempt in seconds.
            report: The server's load report; empty if there was none.
        """
        attempt = self.attempts[attempt_index]
        router = self.router
        attempt.ended = True
        attempt.may_have_run = outcome not in DID_NOT_RUN
        attempt.server.attempts.remove(attempt)
        router.admission.in_flight.remove(attempt)
        attempt.server.report_received(report)
        # If a connect fails within half the connect timeout, the server has refused it; the connect was not
        # lost or slow.
        was_refused = (
            outcome is AttemptOutcome.CONNECT_FAILED and duration < router.settings.connect_timeout / 2
        )
        router.pool.record_connection_outcome(attempt, outcome, was_refused)
        process_was_paused = router.process_was_paused()
        self._record_latency(attempt, outcome, duration, process_was_paused)
        if not process_was_paused:
            self._record_evidence(attempt, outcome, duration)
        if outcome is AttemptOutcome.SERVED:
            router.exposure.record_answer(self.key, attempt.build)
        self.closed = self.closed or is_final
        if not self.closed and all(a.ended for a in self.attempts):
            self.dispatch()
        if router.admission.waiting and router.admission.has_capacity():
            router.admission.dispatch_waiting(False)

    def _record_latency(
        self, attempt: Attempt, outcome: AttemptOutcome, duration: float, process_was_paused: bool
    ) -> None:
        """Record the attempt's latency in the statistics of its request class, network path and server."""
        pool = self.router.pool
        stalled = self.stalled
        if not process_was_paused and not stalled:
            if outcome is AttemptOutcome.SERVED:
                self.usual_latency.add(duration)
            if outcome not in NOT_PATH_EVIDENCE:
                pool.record_path_latency(attempt.zone, outcome, duration / self.usual_latency.mean())
        latency_is_valid = not process_was_paused and attempt.server_started
        ratio = duration / self.usual_latency.mean()
        attempt.server.attempt_ended(outcome, ratio, latency_is_valid, stalled)

    def _record_evidence(self, attempt: Attempt, outcome: AttemptOutcome, duration: float) -> None:
        """Record the outcome as evidence on stalls, on overload and on the build, as far as it is valid."""
        server = attempt.server
        if (
            not self._caused_by_server(attempt, outcome, duration)
            or server.path_latency_ratio() >= BAD_PATH_LATENCY_RATIO
        ):
            return
        router = self.router
        in_time = outcome is not AttemptOutcome.TIMED_OUT and duration <= self.request_class.latency_objective
        self.record_for_stall_detection(attempt, not in_time)
        timeout_share = (
            duration / self.request_class.client_timeout if outcome is AttemptOutcome.SERVED else 1.0
        )
        observation = (server, attempt.build, self.request_class.index, bisect_left(EDGES, timeout_share))

        if self.stalled:
            # The outcome is still sent to the judging instances, so that they notice the end of the stall.
            router.gossip.add(observation)
            return
        # A server that answers late although no requests are queued at it is slow, not overloaded. Sending it
        # fewer attempts would not help, so the late answer does not shrink the concurrency window.
        queue_unknown = router.host.clock - server.last_response_at > LOAD_REPORT_TTL
        if in_time or server.reported_queue > 0 or queue_unknown:
            router.admission.adjust_window(in_time)
        is_evidence = (
            attempt.server_started
            and router.pool.rejected_attempts < OVERLOAD_REJECTION_SHARE
            and attempt.sent_at >= router.observations.evidence_from
        )
        if is_evidence:
            router.observe(*observation)

    def _caused_by_server(self, attempt: Attempt, outcome: AttemptOutcome, duration: float) -> bool:
        """Return whether the server itself caused the outcome.

        The server counts as the cause of a timeout if it has sent any response or load report since the
        attempt was sent, unless the client gave up before the latency objective.
        """
        if outcome is AttemptOutcome.TIMED_OUT:
            was_cut_short = duration <= self.request_class.latency_objective
            return attempt.server.last_response_at > attempt.sent_at and not was_cut_short
        return outcome in (AttemptOutcome.SERVED, AttemptOutcome.FAILED)

    def record_for_stall_detection(self, attempt: Attempt, is_late: bool) -> None:
        """Count an attempt for the stall detectors of its class and tenant.

        Each attempt counts once: when it passes the latency objective, or when it ends, if it ends earlier.
        """
        if not attempt.counted_for_stalls:
            attempt.counted_for_stalls = True
            self.router.stalls.record_local(self.stall_detectors, is_late)
