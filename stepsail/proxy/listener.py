"""Accepts client connections and serves the requests on each one after another."""

from __future__ import annotations

from stepsail.http import (
    BufferBudget,
    ConnectionLimits,
    InvalidMessage,
    Request,
    Response,
    ServerConnection,
)
from stepsail.loop import Closed, Listener, Loop, Semaphore, Stream, TimedOut
from stepsail.proxy.admission import RequestAdmission
from stepsail.proxy.client_protocol import ClientProtocol
from stepsail.proxy.connection_reaper import ConnectionReaper, PendingConnection
from stepsail.proxy.counters import ConnectionClose
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.request_handler import RequestHandler
from stepsail.proxy.response_writer import ResponseWriter
from stepsail.proxy.serving_state import ServingState
from stepsail.settings import InstanceSettings

# Number of connections that read more of an incomplete request in one round of the loop.
PARTIAL_READS_PER_ROUND = 8


class ClientListener:
    """Serves up to `max_client_connections` connections and up to `max_in_flight` requests at a time.

    If `max_in_flight` requests are in flight, a further request is rejected at once. It does not reach the
    router, so that no server has run it.
    """

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        host: DecisionHost,
        log: Logger,
        audit: RequestAudit,
        protocol: ClientProtocol,
        budget: BufferBudget,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.protocol = protocol
        self.budget = budget
        self.connection_limits = ConnectionLimits(
            settings.max_head_bytes,
            settings.max_body_bytes,
            settings.max_buffered_bytes,
            settings.client_idle_timeout,
            settings.client_read_timeout,
            settings.first_request_timeout,
        )
        self.state = ServingState()
        self.reaper = ConnectionReaper(loop, settings.evictable_idle_time, host.counters)
        self.admission = RequestAdmission(settings, host, audit, self.state, budget)
        self.writer = ResponseWriter(loop, settings, host, log, audit, protocol, self.state)
        self.partial_reads = Semaphore(loop, PARTIAL_READS_PER_ROUND)
        budget.make_room = self._free_memory
        self.handler = RequestHandler(loop, settings, host, log, audit, protocol, self.admission, self.writer)
        self.listener: Listener | None = None

    def open(self) -> None:
        """Start accepting connections.

        Raises:
            OSError: the listening address is not available.
        """
        make_room = self.reaper.make_room if self.settings.evictable_idle_time else None
        self.listener = Listener(
            self.loop, self.settings.listen, self.settings.max_client_connections, make_room=make_room
        )
        self.loop.spawn(self.listener.serve, self.serve_client, "client", name="accept", essential=True)

    def connection_count(self) -> int:
        """Return the number of open client connections."""
        return len(self.listener.open_streams) if self.listener else 0

    def close_after_responses(self) -> None:
        """Continue to serve, but close each connection after its next response."""
        self.state.closes_after_response = True

    def begin_shutdown(self) -> None:
        """Accept only connections that the operating system has already accepted."""
        self.state.shutting_down = True
        self.close_finished_connections()

    def close_finished_connections(self) -> bool:
        """Close the connections on which no answer is owed; called repeatedly during shutdown.

        No answer is owed if no byte of a request has arrived, either between two requests or some time after
        the connection was made. On every other connection the request is read and answered, and the
        connection is closed after the response.

        Returns:
            Whether the listener is closed and no connection is open any more.
        """
        self.reaper.close_for_shutdown()
        return self.listener is None or (self.listener.close_gracefully() and not self.listener.open_streams)

    def _free_memory(self, excess: int) -> None:
        """Free `excess` bytes that are held for clients that send or read slowly, as far as possible."""
        still_excess = self.reaper.free_memory(excess)
        if still_excess > 0:
            self.writer.abort_slow_readers(still_excess)

    def serve_client(self, stream: Stream) -> None:
        """Serve one client's connection until it ends."""
        connection = ServerConnection(
            self.loop, stream, self.connection_limits, self.budget, self.partial_reads
        )
        try:
            self.host.counters.count_close(self._serve_requests(connection, stream))
        except Closed:  # the connection reaper closed the connection and has counted the close
            raise
        except OSError:
            self.host.counters.count_close(ConnectionClose.IO_ERROR)
            raise
        except TimedOut:  # the client does not read what it is sent
            self.host.counters.count_close(ConnectionClose.WRITE_TIMED_OUT)
            stream.abort()
        finally:
            connection.discard()

    def _serve_requests(self, connection: ServerConnection, stream: Stream) -> ConnectionClose:
        """Read and answer one request after another.

        Returns:
            Why the connection ends.
        """
        pending_connections = self.reaper.awaiting_first_request
        while True:
            pending_connections[stream] = PendingConnection(self.loop.now(), connection, self.loop.current())
            try:
                request = connection.next()
            except InvalidMessage as error:
                invalid = error.with_traceback(None)  # the traceback's frames refer to the received bytes
                break
            finally:
                pending_connections.pop(stream, None)
            if request is None:
                return ConnectionClose.FINISHED
            reason = self._serve_request(connection, stream, request)
            if reason is not None:
                return reason
            pending_connections = self.reaper.idle
        connection.discard()
        return self._answer_invalid(stream, invalid)

    def _answer_invalid(self, stream: Stream, error: InvalidMessage) -> ConnectionClose:
        """Answer an invalid request with an error; the connection may then be closed to make room."""
        self.reaper.lingering[stream] = self.loop.now()
        try:
            self.writer.write_bad_request(stream, error)
        finally:
            self.reaper.lingering.pop(stream, None)
        return ConnectionClose.BAD_REQUEST

    def _serve_request(
        self, connection: ServerConnection, stream: Stream, request: Request
    ) -> ConnectionClose | None:
        """Answer one request.

        Returns:
            Why the connection ends with this request; None if it stays open.
        """
        is_accepting = self.state.ready and not self.state.shutting_down
        parsed = self.protocol.parse_request(request, is_accepting)
        if isinstance(parsed, Response):
            keep_alive = self.writer.write_unforwarded(stream, request, parsed)
            return None if keep_alive else ConnectionClose.AFTER_RESPONSE
        return self.handler.handle(connection, stream, request, parsed)
