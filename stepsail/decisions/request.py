"""The life cycle of one request: its attempts, its deadline and its final answer.

Once an attempt may have run, the idempotency of the request's class decides whether the request may be sent
again: an idempotent request to any server; a request with an idempotency key only to servers in the key's
deduplication scope, and only within the key's window; a non-idempotent request to no server.
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

SEND_DELAY = 0.2  # s that may pass between the time check and the first byte of an attempt
MIN_REMAINING_LATENCIES = 2.0  # usual latencies that must remain of the objective at the first attempt
MIN_WAIT_SHARE = 0.25  # share of the objective for which a request may wait however slow its class is
# Share of rejected attempts from which servers count as overloaded, and outcomes are no evidence on a build.
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
        self.closed = False  # whether it has its final answer, or its client has disconnected
        self.arrived_at: float = router.host.clock - age
        self.draw: float = router.next_random()  # one draw for all random decisions on this request
        self.request_class: RequestClass = router.settings.request_classes[class_index]
        self.attempts: list[Attempt] = []
        self.usual_latency: DecayingMean = router.admission.usual_latency[class_index]
        self.stall_detectors = router.stalls.detectors_for(class_index, tenant_index)
        self.rejection_reason: RejectionReason | None = None

    @property
    def stalled(self) -> bool:
        """Whether the request's class or tenant is stalled."""
        return any([d.stalled for d in self.stall_detectors])  # a list is faster here than a generator

    def finished(self) -> bool:
        """Return whether the request is closed and all its attempts have ended."""
        return self.closed and all(a.ended for a in self.attempts)

    # -- whether an attempt is allowed -------------------------------------------------------------------

    def may_be_sent_to(self, server: Server) -> bool:
        """Return whether another attempt may go to this server, given the attempts that may have run."""
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
        """Return whether an attempt may still be sent; the host asks right before the attempt's first byte.

        Since its server was chosen, a later build may have answered a request with the same key, the exposure
        limit of a build on canary may have dropped to 0, or the key's window may have ended. The call changes
        no state.
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
        """Send an attempt, wait for capacity, or give the request up."""
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
        # A server with enough failures is ejected anew: it gets one attempt at a time until one is served.
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

        Another server must be available for it. If the request would be given up rather than retried, it must
        be safe to reject: else it would fail, although the unresponsive server may still answer it.
        """
        if self.closed or not (
            self.retry_is_safe() or self._reason_to_give_up(self.router.host.clock) is None
        ):
            return False
        return any(s.available() and self.may_be_sent_to(s) for s in self.router.pool.ready)

    def _too_late(self, now: float) -> bool:
        """Return whether it is too late for an answer in time.

        A first attempt must have `MIN_REMAINING_LATENCIES` usual latencies left before the latency objective,
        except within the first `MIN_WAIT_SHARE` of the objective. A retry may be sent until the objective,
        or later if a late answer still has some weight.
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

        It is rejected if the client may safely send it again, else it fails.
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
        """Close the request, so that no further attempt is sent, as its client has disconnected."""
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
        """Handle the end of an attempt after `duration`; `is_final`: the client got its answer from it."""
        attempt = self.attempts[attempt_index]
        router = self.router
        attempt.ended = True
        attempt.may_have_run = outcome not in DID_NOT_RUN
        attempt.server.attempts.remove(attempt)
        router.admission.in_flight.remove(attempt)
        attempt.server.report_received(report)
        # A connect that fails this early was refused by the server, rather than lost or slow.
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
        """Record the attempt's latency for its class, its path and its server."""
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
        """Record the outcome as evidence on stalls, overload and the build, where it is evidence."""
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
            router.gossip.add(observation)  # so that judges notice the end of the stall
            return
        # A server that answers late without a queue is slow, not overloaded: fewer attempts don't help it.
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

        It caused a timeout if it has responded to anything since the attempt was sent, unless the client gave
        up before the latency objective.
        """
        if outcome is AttemptOutcome.TIMED_OUT:
            was_cut_short = duration <= self.request_class.latency_objective
            return attempt.server.last_response_at > attempt.sent_at and not was_cut_short
        return outcome in (AttemptOutcome.SERVED, AttemptOutcome.FAILED)

    def record_for_stall_detection(self, attempt: Attempt, is_late: bool) -> None:
        """Count an attempt for the stall detectors of its class and tenant.

        Each attempt counts once: when it becomes overdue, or when it ends before that.
        """
        if not attempt.counted_for_stalls:
            attempt.counted_for_stalls = True
            self.router.stalls.record_local(self.stall_detectors, is_late)
