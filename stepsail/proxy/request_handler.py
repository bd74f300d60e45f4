"""One request of a client, from its last byte to its final answer."""

from __future__ import annotations

from functools import partial

from stepsail.decisions.interface import RejectionReason
from stepsail.http import Request, ServerConnection
from stepsail.loop import Loop, Stream, TimedOut, Waiter
from stepsail.proxy.admission import RequestAdmission
from stepsail.proxy.client_protocol import ClientProtocol, ParsedRequest
from stepsail.proxy.counters import ConnectionClose
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.response_writer import ResponseWriter
from stepsail.settings import InstanceSettings

READ_AHEAD_CHECK = (
    0.05  # s between looks whether a client that has sent more ahead than is read is still there
)


class RequestHandler:
    """Accepts or rejects a request, waits for the router's final answer and has it written.

    Each accepted request gets exactly one final answer: the router's, or a failure where that does not come in time.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        audit: RequestAudit,
        protocol: ClientProtocol,
        admission: RequestAdmission,
        writer: ResponseWriter,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.log = log
        self.audit = audit
        self.protocol = protocol
        self.admission = admission
        self.writer = writer
        self.next_number = 0

    def handle(
        self, connection: ServerConnection, stream: Stream, request: Request, parsed: ParsedRequest
    ) -> ConnectionClose | None:
        """Answer one request; why the connection ends with it, None where it goes on."""
        now = self.loop.now()
        # A request that lay unread while this process stood still, or in a full backlog, is as old as its bytes.
        # Not every system tells their age; the loop's own pauses stand in for it. No client gets more time by this.
        age = stream.seconds_since_receive() or self.loop.unread_age()
        client_deadline = now + parsed.time_left - age
        if client_deadline + self.protocol.late_response_time <= now:
            stream.abort()  # nobody waits any more, and nothing was started
            return ConnectionClose.DEADLINE_PASSED
        in_flight = self._begin(request, client_deadline)
        try:
            reason = self.admission.rejection_reason(in_flight, now)
            if reason is not None:
                self._reject(in_flight, reason)
            else:
                self.audit.accepted += 1
                in_flight.client_connected = partial(self._client_connected, connection, request)
                self.host.accept_request(in_flight, parsed, age)
                if not self._wait_for_answer(connection, in_flight):
                    self._log_disconnect(in_flight)
                    return ConnectionClose.CLIENT_DISCONNECTED
            goes_on = self.writer.write_final(stream, in_flight, parsed.request_class)
            return None if goes_on else ConnectionClose.AFTER_RESPONSE
        finally:
            self.protocol.request_ended(in_flight)

    def _begin(self, request: Request, client_deadline: float) -> InFlightRequest:
        """The router gets a deadline before the client's, so that there is time to record and write the answer."""
        slack = self.settings.answer_slack + self.settings.trail_commit_interval
        in_flight = InFlightRequest(self.next_number, request, client_deadline - slack, client_deadline)
        self.next_number += 1
        self.protocol.request_accepted(in_flight)
        return in_flight

    def _reject(self, in_flight: InFlightRequest, reason: RejectionReason) -> None:
        in_flight.retry_after = self.admission.retry_after(reason)
        in_flight.finish(FinalAnswer.REJECTED)
        self.host.log_unserved("request_rejected", in_flight, reason)

    def _log_disconnect(self, in_flight: InFlightRequest) -> None:
        self.log.debug(
            "client_disconnected",
            request=in_flight.request_id,
            attempts=len(in_flight.attempts),
            open_attempts=in_flight.open_attempts,
        )

    def _client_connected(self, connection: ServerConnection, request: Request) -> bool:
        """Whether the client still waits, as far as its connection tells."""
        if request.body_stream is not None:
            return True  # whoever reads the rest of the body notices a disconnect
        try:
            return connection.read_ahead() or not self.protocol.half_close_is_disconnect
        except OSError:
            return False

    def _wait_for_answer(self, connection: ServerConnection, in_flight: InFlightRequest) -> bool:
        """Wait for the final answer; False when the client is gone.

        The router owes an answer by the request's deadline. Where it does not come, by a fault in the router or by a
        pause of this process, the request fails: whatever may have run, nothing is promised.
        """
        give_up_at = in_flight.deadline + self.settings.answer_slack / 2  # the other half is for writing
        while not in_flight.finished:
            waiter = self.loop.waiter()
            in_flight.waiter = waiter
            try:
                self._wait_for_change(connection, in_flight, waiter, give_up_at)
                if not (in_flight.finished or self._client_connected(connection, in_flight.request)):
                    self.host.client_disconnected(in_flight)
            except TimedOut:
                if self.loop.now() < give_up_at:
                    if not self._client_connected(connection, in_flight.request):
                        self.host.client_disconnected(in_flight)
                else:
                    self._force_answer(in_flight)
            except OSError:
                self.host.client_disconnected(in_flight)
        return in_flight.final_answer is not FinalAnswer.CANCELLED_BY_CLIENT

    def _force_answer(self, in_flight: InFlightRequest) -> None:
        if in_flight.finish(FinalAnswer.FAILED):
            self.log.error("answer_forced", request=in_flight.request_id)

    def _wait_for_change(
        self, connection: ServerConnection, in_flight: InFlightRequest, waiter: Waiter, give_up_at: float
    ) -> None:
        """Wait until the answer is there, or the client has sent something or closed. Raises TimedOut, OSError.

        Where the body is still being read, whoever reads it notices a disconnect. Where the client has sent more
        ahead than is read, its end arrives behind that, so the connection is looked at now and then.
        """
        body_is_read = in_flight.request.body_stream is None
        armed = body_is_read and connection.wake_on_data(waiter)
        must_poll = body_is_read and not armed and not connection.half_closed
        remaining = give_up_at - self.loop.now()
        timeout = min(remaining, READ_AHEAD_CHECK) if must_poll else remaining
        try:
            self.loop.park(waiter, "a final answer", max(0.0, timeout))
        finally:
            if armed:
                connection.stream.cancel_wake_on_read(waiter)
