"""Sends an attempt of a request to a server on the router's command and reports its outcome."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field

from stepsail.decisions.interface import AttemptOutcome, ServerHandle
from stepsail.http import ClientConnection, ClientState, InvalidMessage, Progress, Response, TruncatedMessage
from stepsail.http.message import BodyStream
from stepsail.loop import Cancelled, Channel, Closed, Loop, Task, TimedOut
from stepsail.proxy.attempt_outcome import FIRST_SERVER_ERROR, ExchangeEnd
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.proxy.upstream_pool import Upstream, UpstreamPool
from stepsail.proxy.upstream_protocol import UpstreamProtocol
from stepsail.settings import InstanceSettings

LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EPERM,
        errno.EACCES,
    )
)
"""Errors of `socket` and `connect` caused by this machine: it lacks descriptors, memory, ports or a route."""
MAX_QUEUED_PARTS = 4  # largest number of parts of a streamed response that are buffered for a slow client


class StreamedBody:
    """Passes the parts of a response body from the attempt's task to the client connection's task."""

    def __init__(self, parts: Channel[bytes]) -> None:
        self.parts = parts
        self.read_started = False
        self.done = False

    def read_part(self, timeout: float) -> bytes:
        """Return the next part, which is empty at the end.

        Raises:
            Closed: The attempt ended before the response was complete.
            TimedOut: No part arrived within `timeout` seconds.
        """
        self.read_started = True
        part = self.parts.get(timeout)
        self.done = not part
        return part


@dataclass(slots=True)
class ExchangeResult:
    """Describes how an exchange with a server ended.

    Attributes:
        end: What ended it.
        response: The response, if one was read.
        connection: Connection from which the rest of a streamed response is still to be read; None otherwise.
    """

    end: ExchangeEnd
    response: Response | None = None
    connection: ClientConnection | None = None


class AttemptSender:
    """Starts attempts, each in a task of its own."""

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        pool: UpstreamPool,
        protocol: UpstreamProtocol,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.pool = pool
        self.protocol = protocol

    def send_attempt(self, in_flight: InFlightRequest, server: ServerHandle, deadline: float) -> Task:
        """Start an attempt, whose outcome is reported to the decision host, and return its task."""
        attempt = UpstreamAttempt(
            sender=self,
            in_flight=in_flight,
            number=len(in_flight.attempts),
            upstream=self.pool.upstream(server.address),
            server_version=self.protocol.locate(server.address)[1],
            commanded_at=self.host.clock,
            deadline=deadline,
        )
        return self.loop.spawn(attempt.run, name="attempt")


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """Makes one attempt of a request at a server.

    Attributes:
        server_version: Version that `UpstreamProtocol.locate` returned when the router issued the command.
        commanded_at: Clock reading that the router had when it issued the command for this attempt.
        deadline: Time at which the attempt ends at the latest.
    """

    sender: AttemptSender
    in_flight: InFlightRequest
    number: int
    upstream: Upstream
    server_version: object
    commanded_at: float
    deadline: float
    progress: Progress = field(default_factory=Progress)

    def run(self) -> None:
        """Make the attempt and report its outcome to the decision host."""
        loop = self.sender.loop
        protocol = self.sender.protocol
        in_flight = self.in_flight
        started_at = loop.now()
        self.deadline = min(self.deadline, in_flight.deadline)
        response: Response | None = None
        try:
            result = self._exchange()
            end = result.end
            response = result.response
        except Cancelled:
            end = ExchangeEnd.CANCELLED
        else:
            if response and result.connection:
                end = self._stream_response(response, result.connection)
        outcome = protocol.classify_outcome(end, self.progress, response)
        load_report = protocol.load_report(response) if response else ()
        if response is not None:
            if protocol.is_client_error(response):
                # No other server would accept the request either. It is therefore finished as failed, and
                # the router is told that the request is finished.
                in_flight.finish(FinalAnswer.FAILED)
            if outcome is AttemptOutcome.SERVED and self.number != in_flight.streaming_attempt:
                response.headers = protocol.response_headers(response, self.upstream.address)
                self._charge_response(response)
        duration = max(0.0, loop.now() - started_at - self.progress.unread_for)
        self.sender.host.attempt_ended(in_flight, self.number, outcome, duration, load_report, response)

    def _charge_response(self, response: Response) -> None:
        """Charge a response that waits to be written, unless the request has its final answer already."""
        account = self.in_flight.account
        if account is not None and not self.in_flight.finished:
            account.set(account.size + len(response.body))

    def _stream_response(self, response: Response, connection: ClientConnection) -> ExchangeEnd:
        """Forward a large response to the client as it arrives.

        The response becomes the request's final answer before its first byte is forwarded. If it breaks off
        later, the client's connection is reset. A client that reads slowly also slows down reading from the
        server.
        """
        body_stream = response.body_stream
        assert body_stream
        parts: Channel[bytes] = Channel(self.sender.loop, MAX_QUEUED_PARTS)
        try:
            if response.status >= FIRST_SERVER_ERROR:
                return ExchangeEnd.COMPLETED
            if self.in_flight.finished:
                return ExchangeEnd.CONNECTION_BROKEN
            response.headers = self.sender.protocol.response_headers(response, self.upstream.address)
            response.body_stream = StreamedBody(parts)
            self.in_flight.streaming_attempt = self.number
            self.in_flight.finish(FinalAnswer.SERVED, response)
            self._forward_parts(body_stream, parts)
        except TimedOut:
            return ExchangeEnd.TIMED_OUT
        except (OSError, Closed, InvalidMessage):
            return ExchangeEnd.CONNECTION_BROKEN
        else:
            return ExchangeEnd.COMPLETED
        finally:
            parts.close()
            self.sender.pool.release(self.upstream, connection)

    def _forward_parts(self, body_stream: BodyStream, parts: Channel[bytes]) -> None:
        while part := body_stream.read_part(self._time_left()):
            parts.put(part, self._time_left())
        parts.put(b"", self._time_left())

    def _time_left(self) -> float:
        return max(0.0, self.deadline - self.sender.loop.now())

    def _exchange(self) -> ExchangeResult:
        """Send the request and read the response; retry on another connection only if no byte was written."""
        while True:
            body = self.in_flight.request.body_stream
            body_consumed = body is not None and body.read_started
            if self.in_flight.finished or self.sender.loop.now() >= self.deadline or body_consumed:
                return ExchangeResult(ExchangeEnd.NOT_STARTED)
            try:
                connection = self.sender.pool.acquire(self.upstream, self.deadline)
            except TimedOut:
                return ExchangeResult(ExchangeEnd.CONNECT_FAILED)
            except OSError as error:
                is_local = error.errno in LOCAL_ERRORS
                return ExchangeResult(ExchangeEnd.NOT_STARTED if is_local else ExchangeEnd.CONNECT_FAILED)
            if connection is None:
                return ExchangeResult(ExchangeEnd.NOT_STARTED)
            now = self.sender.loop.now()
            if not self._may_send(now):
                self.sender.pool.release(self.upstream, connection)
                return ExchangeResult(ExchangeEnd.NOT_STARTED)
            result = self._exchange_on(connection, now)
            if result is not None:
                return result

    def _may_send(self, now: float) -> bool:
        """Check, just before the first byte is written, whether the attempt may still be sent.

        While the connection was being made, the client may have disconnected or have sent so much that its
        close could not be noticed, another attempt may have been served, the server may have been listed as
        draining, or a later build may have answered a request with the same key.

        This process may also have been paused since the router issued the command. The endpoint list, the
        exposure limit, the windows or the key window that the router relied on may then have expired, and
        newer messages may not have been read yet. A command is therefore valid only for the drain grace period, or
        for the connect timeout if that is longer, and the router is asked again. The drawback is that, if
        connecting takes longer than the drain grace period, an attempt may be sent because of a decision that
        is older than that period.
        """
        host = self.sender.host
        settings = self.sender.settings
        if self.in_flight.finished:
            return False
        client_state = self.in_flight.client_state()
        if client_state is ClientState.CLOSED:
            # The client's close of the connection had arrived, but had not been processed yet.
            host.client_disconnected(self.in_flight)
        command_expires_at = self.commanded_at + max(settings.router.drain_grace, settings.connect_timeout)
        return (
            client_state is ClientState.CONNECTED
            and now < min(self.deadline, command_expires_at)
            and self.sender.protocol.locate(self.upstream.address)[1] == self.server_version
            and host.endpoint_list_usable()
            and host.attempt_still_allowed(self.in_flight, self.number)
        )

    def _exchange_on(self, connection: ClientConnection, now: float) -> ExchangeResult | None:
        """Make the exchange on one connection.

        Returns None if the connection was a reused one that had died before any byte of the request was
        written.
        """
        pool = self.sender.pool
        request = self.in_flight.request
        progress = self.progress
        is_new = connection.never_used
        idle_for = now - connection.used_at
        is_streaming = False
        broke = False
        try:
            response = connection.exchange(
                self.sender.protocol.encode_attempt(request, self.upstream.address, self.deadline - now),
                self.deadline,
                progress,
                request.method == b"HEAD",
                request.body_stream,
                request.length is None,
            )
            is_streaming = response.body_stream is not None
            return ExchangeResult(ExchangeEnd.COMPLETED, response, connection if is_streaming else None)
        except TimedOut:
            return ExchangeResult(ExchangeEnd.TIMED_OUT)
        except (OSError, Closed, InvalidMessage) as error:
            broke = progress.read == 0
            if progress.written == 0 and not is_new:
                return None
            is_invalid = isinstance(error, InvalidMessage) and not isinstance(error, TruncatedMessage)
            return ExchangeResult(
                ExchangeEnd.INVALID_RESPONSE if is_invalid else ExchangeEnd.CONNECTION_BROKEN
            )
        finally:
            pool.idle_timeout.record_use(now, idle_for, broke, is_new)
            if not is_streaming:
                pool.release(self.upstream, connection)
