"""The life of one request: its attempts, its deadline, its final answer.

What may be sent again goes by the class's idempotency: an idempotent request anywhere; one with an
idempotency key only to servers that share the deduplication of the key, within the key's window; any other
not at all once an attempt may have run.
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
from stepsail.decisions.selection import BAD_PATH
from stepsail.decisions.server import LOAD_REPORT_TTL
from stepsail.decisions.timing import CLOCK_MARGIN, TICK, TICK_WAITING

if TYPE_CHECKING:
    from stepsail.decisions.router import Router
    from stepsail.decisions.server import Server

SEND_DELAY = 0.2  # s that may pass between a look at the clock and the first byte of an attempt
SPARE_LATENCIES = 2.0  # usual latencies that must be left of the latency objective
LEAST_WAIT = 0.25  # share of the latency objective that a request may wait even in a slow class
OVERLOADED = 0.2  # share of attempts rejected, from which outcomes are no evidence on a build

DID_NOT_RUN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
TELLS_NOTHING_OF_PATH = (AttemptOutcome.FAILED, AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT)


class Request:
    """One request that was accepted. `number` is the host's."""

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
        self.closed = False  # whether it has its final answer, or its client has left
        self.arrived_at: float = router.host.clock - age
        self.draw: float = router.chance()  # one draw for all chances of the request
        self.request_class: RequestClass = router.settings.request_classes[class_index]
        self.attempts: list[Attempt] = []
        self.usual_latency: DecayingMean = router.admission.usual_latency[class_index]
        self.stall_detectors = router.stalls.of_request(class_index, tenant_index)
        self.rejection_reason: RejectionReason | None = None

    @property
    def stalled(self) -> bool:
        """Whether its class or its tenant is stalled."""
        return any([d.stalled for d in self.stall_detectors])  # a list is faster here than a generator

    def finished(self) -> bool:
        """Whether nothing more is to be heard of it."""
        return self.closed and all(a.ended for a in self.attempts)

    # -- what may be sent --------------------------------------------------------------------------------

    def may_go_to(self, server: Server) -> bool:
        """Whether another attempt may go to this server, by what may have run already."""
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

    def attempt_still_allowed(self, number: int) -> bool:
        """Whether an attempt may still be sent, asked right before its first byte. Changes nothing.

        Time has passed since it was chosen: a key may have been answered by a later build, a build on canary
        may get nothing more, the key's window may be over.
        """
        attempt = self.attempts[number]
        router = self.router
        if attempt.build < router.exposure.least_build(self.key):
            return False
        release = router.release
        if attempt.build == release.build and router.exposure.is_canary(attempt.build) and release.limit <= 0:
            return False
        first = next((a for a in self.attempts[:number] if a.may_have_run), None)
        if first is None or self.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return True
        return router.host.clock < first.sent_at + self.request_class.key_window - SEND_DELAY

    # -- the next attempt, or the end --------------------------------------------------------------------

    def dispatch(self) -> None:
        """Send an attempt, wait for a place, or give up."""
        router = self.router
        now = router.host.clock
        reason = self._reason_to_give_up(now)
        if reason is not None:
            self.give_up(reason)
            return
        server = router.pool.choose(self) if router.admission.has_capacity(self.draw) else None
        router.tick_within(TICK if server else TICK_WAITING)
        if server is None:
            router.admission.waiting.append(self)
            return
        if router.exposure.is_canary(server.build):
            router.exposure.of_class(self.request_class.index).sent.append(now)
        attempt = Attempt(self, server, now)
        router.admission.in_flight.append(attempt)
        self.attempts.append(attempt)
        server.attempts.append(attempt)
        server.record_failures(0)  # one that is ejected gets one attempt at a time
        router.host.send_attempt(self, server, self.deadline)

    def _reason_to_give_up(self, now: float) -> RejectionReason | None:
        if self._too_late(now):
            return RejectionReason.TOO_LATE
        if now >= self.deadline - TICK_WAITING - CLOCK_MARGIN:
            return RejectionReason.DEADLINE
        if len(self.attempts) >= self.router.settings.max_attempts:
            return RejectionReason.ATTEMPTS_EXHAUSTED
        if not any(self.may_go_to(s) for s in self.router.pool.servers):
            return RejectionReason.NO_ELIGIBLE_SERVER
        if self.stalled and not self.router.admission.may_try_stalled(self):
            return RejectionReason.CLASS_STALLED
        return None

    def may_leave_server(self) -> bool:
        """Whether its attempts at a server that has fallen silent may be cancelled.

        Another server must be able to have them. A request that would be given up fails if what was
        cancelled may have run: then the silent server's answer is the only one that can still come.
        """
        if self.closed or not (
            self.retry_is_safe() or self._reason_to_give_up(self.router.host.clock) is None
        ):
            return False
        return any(s.available() and self.may_go_to(s) for s in self.router.pool.ready)

    def _too_late(self, now: float) -> bool:
        """Whether an answer in time is out of reach; a first attempt needs more time than a retry."""
        objective = self.request_class.latency_objective
        if self.attempts:
            return now > self.arrived_at + objective and not self.request_class.late_weight_share
        wait = max(objective - SPARE_LATENCIES * self.usual_latency.mean(), LEAST_WAIT * objective)
        return now > self.arrived_at + wait

    def give_up(self, reason: RejectionReason) -> None:
        """End the request without an answer.

        It is rejected where a later retry by the client is safe, else failed.
        """
        self.rejection_reason = reason
        self.closed = True
        if self.retry_is_safe():
            self.router.host.reject(self, self.router.settings.max_retry_after)
        else:
            self.router.host.fail(self)

    def retry_is_safe(self) -> bool:
        """Whether the client may send the request again, whatever has run of it."""
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
        """The client has left; nothing more is sent."""
        self.closed = True

    # -- the end of an attempt ---------------------------------------------------------------------------

    def attempt_ended(
        self, number: int, outcome: AttemptOutcome, is_final: bool, duration: float, report: Sequence[float]
    ) -> None:
        """An attempt has ended after `duration`; `is_final`: the client has its answer by it."""
        attempt = self.attempts[number]
        router = self.router
        attempt.ended = True
        attempt.may_have_run = outcome not in DID_NOT_RUN
        attempt.server.attempts.remove(attempt)
        router.admission.in_flight.remove(attempt)
        attempt.server.report_received(report)
        # Neither lost nor slow: a connect that the server has refused.
        was_refused = (
            outcome is AttemptOutcome.CONNECT_FAILED and duration < router.settings.connect_timeout / 2
        )
        router.pool.connection_tried(attempt, outcome, was_refused)
        was_paused = router.was_paused()
        self._measure(attempt, outcome, duration, was_paused)
        if not was_paused:
            self._judge(attempt, outcome, duration)
        if outcome is AttemptOutcome.SERVED:
            router.exposure.answered(self.key, attempt.build)
        self.closed = self.closed or is_final
        if not self.closed and all(a.ended for a in self.attempts):
            self.dispatch()
        if router.admission.waiting and router.admission.has_capacity():
            router.admission.serve_waiting(False)

    def _measure(self, attempt: Attempt, outcome: AttemptOutcome, duration: float, was_paused: bool) -> None:
        """Enter the attempt's latency into those of its class, its path and its server."""
        pool = self.router.pool
        stalled = self.stalled
        if not was_paused and not stalled:
            if outcome is AttemptOutcome.SERVED:
                self.usual_latency.add(duration)
            if outcome not in TELLS_NOTHING_OF_PATH:
                pool.path_measured(attempt.zone, outcome, duration / self.usual_latency.mean())
        tells_latency = not was_paused and attempt.server_started
        ratio = duration / self.usual_latency.mean()
        attempt.server.attempt_ended(outcome, ratio, tells_latency, stalled)

    def _judge(self, attempt: Attempt, outcome: AttemptOutcome, duration: float) -> None:
        """Take the outcome as evidence on stalls, on overload and on the build, where it is any."""
        server = attempt.server
        if not self._answered(attempt, outcome, duration) or server.path_ratio() >= BAD_PATH:
            return
        router = self.router
        in_time = outcome is not AttemptOutcome.TIMED_OUT and duration <= self.request_class.latency_objective
        self.record_for_stalls(attempt, not in_time)
        share = duration / self.request_class.client_timeout if outcome is AttemptOutcome.SERVED else 1.0
        seen = (server, attempt.build, self.request_class.index, bisect_left(EDGES, share))
        if self.stalled:
            router.gossip.add(seen)  # so that judges hear when the stall is over
            return
        # A late answer of a server without a queue is slow, not overloaded: fewer attempts make it no faster.
        queue_unknown = router.host.clock - server.last_response_at > LOAD_REPORT_TTL
        if in_time or server.reported_queue > 0 or queue_unknown:
            router.admission.adjust_window(in_time)
        is_evidence = (
            attempt.server_started
            and router.pool.rejected_attempts < OVERLOADED
            and attempt.sent_at >= router.observations.evidence_from
        )
        if is_evidence:
            router.observe(*seen)

    def _answered(self, attempt: Attempt, outcome: AttemptOutcome, duration: float) -> bool:
        """Whether the outcome is the server's doing.

        A timeout is if the server was heard from since; it is not if the client left before the latency
        objective.
        """
        if outcome is AttemptOutcome.TIMED_OUT:
            was_cut_short = duration <= self.request_class.latency_objective
            return attempt.server.last_response_at > attempt.sent_at and not was_cut_short
        return outcome in (AttemptOutcome.SERVED, AttemptOutcome.FAILED)

    def record_for_stalls(self, attempt: Attempt, is_late: bool) -> None:
        """Count an attempt for whether its class or tenant is stalled.

        Each counts once, when it ends or becomes overdue.
        """
        if not attempt.counted_for_stalls:
            attempt.counted_for_stalls = True
            self.router.stalls.record_own(self.stall_detectors, is_late)
