"""Handles one client request, from its last byte to its final answer."""

from __future__ import annotations

from functools import partial

from stepsail.decisions.interface import RejectionReason
from stepsail.http import ClientState, Request, ServerConnection
from stepsail.loop import Loop, Stream, TimedOut, Waiter
from stepsail.proxy.admission import RequestAdmission
from stepsail.proxy.client_protocol import ClientProtocol, ParsedRequest
from stepsail.proxy.counters import ConnectionClose
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.response_writer import ResponseWriter
from stepsail.settings import InstanceSettings

# Interval in seconds between checks of whether a client is still connected. Only a client that has pipelined
# more bytes than the proxy reads ahead is checked in this way.
DISCONNECT_POLL_INTERVAL = 0.05


class RequestHandler:
    """Accepts or rejects a request, waits for the router's final answer and has it written.

    Each accepted request gets exactly one final answer: the router's answer, or a failure if that is late.
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
        """Answer one request.

        Returns:
            Why the connection ends with this request; None if it stays open.
        """
        now = self.loop.now()
        # A request may have lain unread while this process was paused, or in a full backlog. Its age is
        # therefore counted from the arrival of its bytes. Where the operating system does not report that
        # time, the event loop's own delay is used instead. The age is only subtracted from the time left, so
        # it never gives a client more time.
        age = stream.seconds_since_receive() or self.loop.unread_age()
        client_deadline = now + parsed.time_left - age
        if client_deadline + self.protocol.late_response_grace <= now:
            stream.abort()  # the client has stopped waiting, and no attempt was started
            return ConnectionClose.DEADLINE_PASSED
        in_flight = self._create_in_flight(request, client_deadline)
        in_flight.account = connection.account
        try:
            reason = self.admission.rejection_reason(in_flight, now)
            if reason is None and self._is_client_unknown(connection, request):
                reason = RejectionReason.PIPELINE_LIMIT
            if reason is not None:
                self._reject(in_flight, reason)
            else:
                self.audit.accepted += 1
                in_flight.client_state = partial(self._client_state, connection, request)
                self.host.accept_request(in_flight, parsed, age)
                if not self._wait_for_answer(connection, in_flight):
                    self._log_disconnect(in_flight)
                    return ConnectionClose.CLIENT_DISCONNECTED
            keep_alive = self.writer.write_final(stream, in_flight, parsed.request_class)
            return None if keep_alive else ConnectionClose.AFTER_RESPONSE
        finally:
            self.protocol.request_ended(in_flight)

    def _create_in_flight(self, request: Request, client_deadline: float) -> InFlightRequest:
        """Create the proxy's record of a request.

        The router's deadline is earlier than the client's, so that there is time to record and write the
        answer.
        """
        slack = self.settings.answer_slack + self.settings.trail_commit_interval
        in_flight = InFlightRequest(self.next_number, request, client_deadline - slack, client_deadline)
        self.next_number += 1
        self.protocol.request_started(in_flight)
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

    def _is_client_unknown(self, connection: ServerConnection, request: Request) -> bool:
        """Return whether the client may have left unnoticed, because it has sent so many requests at once."""
        if not connection.has_pipelined():
            return False
        return self._client_state(connection, request) is ClientState.UNKNOWN

    def _client_state(self, connection: ServerConnection, request: Request) -> ClientState:
        """Return whether the client is still there, as far as its connection shows."""
        if request.body_stream is not None:
            return ClientState.CONNECTED  # the task that reads the rest of the body notices a disconnect
        try:
            state = connection.read_ahead()
        except OSError:
            return ClientState.CLOSED
        return state if self.protocol.half_close_is_disconnect else ClientState.CONNECTED

    def _has_client_left(self, connection: ServerConnection, in_flight: InFlightRequest) -> bool:
        return self._client_state(connection, in_flight.request) is ClientState.CLOSED

    def _wait_for_answer(self, connection: ServerConnection, in_flight: InFlightRequest) -> bool:
        """Wait for the final answer; return False if the client disconnected first.

        The router must answer by the request's deadline. If it does not, because of a fault in the router or
        a pause of this process, the request fails. The failure promises the client nothing, because a server
        may have run the request.
        """
        # The router may be late by half of `answer_slack`. The other half is reserved for writing the answer.
        force_answer_at = in_flight.deadline + self.settings.answer_slack / 2
        while not in_flight.finished:
            waiter = self.loop.waiter()
            in_flight.waiter = waiter
            try:
                self._wait_for_change(connection, in_flight, waiter, force_answer_at)
                if not in_flight.finished and self._has_client_left(connection, in_flight):
                    self.host.client_disconnected(in_flight)
            except TimedOut:
                if self.loop.now() < force_answer_at:
                    if self._has_client_left(connection, in_flight):
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
        self, connection: ServerConnection, in_flight: InFlightRequest, waiter: Waiter, force_answer_at: float
    ) -> None:
        """Wait until the request has its final answer, or the client sends bytes or closes its connection.

        While the body is still being read, the task that reads it notices a disconnect. If the client has
        pipelined more bytes than are read ahead, the end of its stream lies behind unread bytes and wakes no
        task, so this method returns after DISCONNECT_POLL_INTERVAL at the latest and the caller checks the
        connection.

        Raises:
            TimedOut: `force_answer_at` or the next check of the connection was reached.
            OSError: the connection is broken.
        """
        body_is_read = in_flight.request.body_stream is None
        wakes_on_data = body_is_read and connection.wake_on_data(waiter)
        must_poll = body_is_read and not wakes_on_data and not connection.half_closed
        remaining = force_answer_at - self.loop.now()
        timeout = min(remaining, DISCONNECT_POLL_INTERVAL) if must_poll else remaining
        try:
            self.loop.park(waiter, "a final answer", max(0.0, timeout))
        finally:
            if wakes_on_data:
                connection.stream.cancel_wake_on_read(waiter)
