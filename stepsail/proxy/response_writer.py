"""Writes responses to clients; resets a connection if its response cannot be written completely in time."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from http import HTTPStatus

from stepsail.http import InvalidMessage, Request, Response, encode_response
from stepsail.http.message import chunk, encode_response_start
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.proxy.admission import replace_policy_header
from stepsail.proxy.client_protocol import ClientProtocol
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.serving_state import ServingState
from stepsail.settings import InstanceSettings

# Shortest timeout in seconds for writing a response, used even if the client may have disconnected.
LATE_WRITE_TIMEOUT = 0.05
# A request that fails within this many seconds before its deadline, or later, is reported as timed out.
DEADLINE_MARGIN = 0.1
BAD_REQUEST_TIMEOUT = 1.0  # timeout in seconds for writing the response to an invalid request
MAX_LOGGED_REASON = 200  # longest reason in a log line, in characters
# Longest time in seconds for which bytes that arrive after the last response are read and discarded.
LINGER_TIMEOUT = 0.5
# Seconds that a client has to read its response before it may be cut short to free memory.
SLOW_READER_GRACE = 0.1
MAX_LINGER_BYTES = 4 << 20  # largest number of bytes read and discarded after the last response


@dataclass(frozen=True, slots=True)
class SlowReader:
    """A client that has not read its response yet.

    Attributes:
        since: When the response was written as far as the system took it.
        request_id: ID of the client's request.
        size: Number of bytes of the response.
    """

    since: float
    request_id: str
    size: int


class ResponseWriter:
    """Writes the responses on all connections.

    Attributes:
        slow_readers: Connections on which a response is being written that the system did not take at once,
            the earliest first.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        audit: RequestAudit,
        protocol: ClientProtocol,
        state: ServingState,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.log = log
        self.audit = audit
        self.protocol = protocol
        self.state = state
        self.slow_readers: dict[Stream, SlowReader] = {}

    def write_bad_request(self, stream: Stream, error: InvalidMessage) -> None:
        """Answer bytes that are not a valid request with an error; the connection is unusable afterwards."""
        client = "{}:{}".format(*stream.peer)
        reason = str(error)[:MAX_LOGGED_REASON]
        self.log.debug("bad_request", client=client, status=error.status, reason=reason)
        if not stream.port.closed:
            response = self.protocol.error_response(error.status, str(error))
            stream.write(self._encode(response, None, keep_alive=False), BAD_REQUEST_TIMEOUT)
            self._lingering_close(stream)

    def write_unforwarded(self, stream: Stream, request: Request, response: Response) -> bool:
        """Answer a request that is not forwarded, without waiting for the rest of its body.

        Returns:
            Whether the connection stays open.
        """
        is_error = response.status >= HTTPStatus.BAD_REQUEST
        keep_alive = (
            request.keep_alive
            and not self.state.ends_connections
            and not (is_error and self.protocol.close_after_client_error)
            and request.body_stream is None
        )
        stream.write(self._encode(response, request, keep_alive), self.settings.client_read_timeout)
        if request.body_stream is not None:
            self._lingering_close(stream)
        return keep_alive

    def write_final(self, stream: Stream, in_flight: InFlightRequest, request_class: int) -> bool:
        """Record and write a request's final answer.

        A client whose deadline has just passed may still be connected and gets its answer; after the
        protocol's `late_response_grace` the connection is reset. It is also reset if the audit trail could
        not record the response, because no client may receive a response that the trail lacks.

        Returns:
            Whether the connection stays open.
        """
        now = self.loop.now()
        assert in_flight.final_answer is not None
        self.host.final_answers[in_flight.final_answer] += 1
        write_deadline = in_flight.client_deadline + self.protocol.late_response_grace
        if now >= write_deadline:
            self._reset_too_late(stream, in_flight, now)
            return False
        response = self._final_response(in_flight, now)
        record_deadline = in_flight.client_deadline if now < in_flight.client_deadline else write_deadline
        if not self.audit.record_response(in_flight, request_class, response, record_deadline):
            stream.abort()
            self.log.warning("response_not_recorded", request=in_flight.request_id)
            self.host.forget_if_finished(in_flight)
            return False
        now = self.loop.now()
        if now >= write_deadline:
            self._reset_too_late(stream, in_flight, now)
            return False
        write_timeout = max(LATE_WRITE_TIMEOUT, in_flight.client_deadline - now)
        return self._send(stream, in_flight, response, write_timeout)

    def _reset_too_late(self, stream: Stream, in_flight: InFlightRequest, now: float) -> None:
        stream.abort()
        lateness = round(now - in_flight.client_deadline, 3)
        self.log.warning("response_too_late", request=in_flight.request_id, late=lateness)
        self.host.forget_if_finished(in_flight)

    def _final_response(self, in_flight: InFlightRequest, now: float) -> Response:
        response = in_flight.response
        if response is None:
            if in_flight.final_answer is FinalAnswer.REJECTED:
                response = self.protocol.rejection_response(in_flight)
            else:
                timed_out = now >= in_flight.deadline - DEADLINE_MARGIN
                response = self.protocol.failure_response(in_flight, timed_out)
        if in_flight.policy_version is not None:
            response.headers = replace_policy_header(response.headers, in_flight.policy_version)
        return response

    def _send(
        self, stream: Stream, in_flight: InFlightRequest, response: Response, write_timeout: float
    ) -> bool:
        """Write a response that has been recorded.

        Returns:
            Whether the connection stays open.
        """
        request = in_flight.request
        body_is_read = request.body_stream is None or request.body_stream.done
        keep_alive = request.keep_alive and not self.state.ends_connections and body_is_read
        complete = False
        try:
            if response.body_stream:
                has_framing = response.length is not None or request.accepts_chunks
                keep_alive = keep_alive and has_framing
                self._write_streamed(stream, in_flight, response, keep_alive)
            else:
                data = self._encode(response, request, keep_alive)
                in_flight.response = None
                response.body = b""  # it is in `data` now
                self._write_response(stream, in_flight, data, write_timeout)
            complete = True
        except TimedOut:
            stream.abort()
            self.log.warning("client_read_too_slowly", request=in_flight.request_id)
            return False
        except Closed:
            # The server's response was cut off. A reset tells the client that it is incomplete.
            stream.abort()
            return False
        finally:
            self.audit.record_sent(in_flight, complete)
            self.host.forget_if_finished(in_flight)
        if not keep_alive and (request.body_stream is not None or stream.readable()):
            self._lingering_close(stream)
        return keep_alive

    def _write_response(
        self, stream: Stream, in_flight: InFlightRequest, data: bytes, write_timeout: float
    ) -> None:
        """Write a response; if the system does not take all of it at once, its client is a slow reader."""
        sent = stream.write_now(data)
        if sent == len(data):
            return
        self.slow_readers[stream] = SlowReader(self.loop.now(), in_flight.request_id, len(data))
        try:
            stream.write(memoryview(data)[sent:], write_timeout)
        finally:
            self.slow_readers.pop(stream, None)

    def abort_slow_readers(self, excess: int) -> None:
        """Reset connections whose clients do not read their responses, to free `excess` bytes.

        The slowest client is the first. Its response is cut short, which the reset tells it.
        """
        cutoff = self.loop.now() - SLOW_READER_GRACE
        for stream, reader in tuple(self.slow_readers.items()):
            if excess <= 0 or reader.since > cutoff:
                return
            self.log.warning("client_read_too_slowly", request=reader.request_id, response_bytes=reader.size)
            stream.abort()
            del self.slow_readers[stream]
            excess -= reader.size

    def _write_streamed(
        self, stream: Stream, in_flight: InFlightRequest, response: Response, keep_alive: bool
    ) -> None:
        """Forward a large response to the client as it arrives from the server."""

        def time_left() -> float:
            return max(0.0, in_flight.client_deadline - self.loop.now())

        assert response.body_stream
        chunked = response.length is None and in_flight.request.accepts_chunks
        head = encode_response_start(
            response.status, response.headers, response.body, response.length, keep_alive, chunked
        )
        stream.write(head, time_left())
        while part := response.body_stream.read_part(time_left()):
            stream.write(chunk(part) if chunked else part, time_left())
        if chunked:
            stream.write(chunk(b""), time_left())

    def _encode(self, response: Response, request: Request | None, keep_alive: bool) -> bytes:
        head_only = request is not None and request.method == b"HEAD"
        return encode_response(response.status, response.headers, response.body, keep_alive, head_only)

    def _lingering_close(self, stream: Stream) -> None:
        """Send the end of the stream, then read and discard what the client still sends.

        Closing a connection with unread bytes resets it, maybe before the client has read the response.
        Reading stops after LINGER_TIMEOUT seconds or after MAX_LINGER_BYTES bytes.
        """
        stream.half_close()
        with contextlib.suppress(OSError), self.loop.timeout(LINGER_TIMEOUT):
            remaining = MAX_LINGER_BYTES
            while remaining > 0 and (size := len(stream.read())):
                remaining -= size
