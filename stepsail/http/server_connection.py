"""Server side of an HTTP connection: reads one request at a time; later requests wait in a buffer."""

from __future__ import annotations

from enum import Enum

from stepsail.http.body_stream import IncomingBodyStream
from stepsail.http.buffer_budget import BufferAccount, BufferBudget
from stepsail.http.message import ConnectionLimits, InvalidMessage, Request
from stepsail.http.reader import MessageReader, State
from stepsail.loop import Loop, Semaphore, Stream, TimedOut
from stepsail.loop.tasks import Waiter

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 65536  # bytes of further requests that are read while a request is being answered
READ_SIZE = 16384  # bytes per read; larger ones would only be buffered
# Bytes of the first read of a request; most requests are smaller. What a client has pipelined behind it stays
# in the system's buffer.
FIRST_READ_SIZE = 1024
READ_AHEAD_SIZE = 4096  # bytes per read while a request is being answered
# Seconds for which a client's state stays unknown after more was unread than is read ahead. The end of its
# stream may still be on the way behind what was read since.
UNKNOWN_STATE_TIME = 0.1
TOO_SLOW = "a request took too long to arrive"
NO_ROOM = "no room to wait for the rest: trying again is harmless"


class ClientState(Enum):
    """Whether the client of a connection is still there, as far as its connection shows."""

    CONNECTED = "it has not closed its side"
    CLOSED = "it has closed its side or reset the connection"
    UNKNOWN = "more bytes are unread than are read ahead, and the end of its stream may be behind them"


class ServerConnection:
    """Reads requests from a stream.

    Pipelined requests are buffered up to MAX_PIPELINED bytes; anything beyond that is left unread.

    Attributes:
        half_closed: Whether the client has closed its sending side.
        partial_since: When the first byte of the incomplete request that is being read was handled; None
            while none is being read.
        account: The bytes held for the requests that are read, answered or read ahead.
        partial_reads: Limits how many connections go on reading an incomplete request in one round of the
            loop. Whole requests of other clients would else wait for the parts of hundreds of large ones.
    """

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        limits: ConnectionLimits,
        budget: BufferBudget | None = None,
        partial_reads: Semaphore | None = None,
    ) -> None:
        self.loop = loop
        self.stream = stream
        self.limits = limits
        self.reader = MessageReader(True, limits)
        self.half_closed = False
        self.partial_since: float | None = None
        self.account = BufferAccount(budget or BufferBudget())
        self.partial_reads = partial_reads or Semaphore(loop, 1)
        self._request_bytes = 0  # bytes held for the request that is being answered
        self._rejection: InvalidMessage | None = None
        self._state_unknown_until = 0.0
        self.first_request_deadline = (
            loop.now() + limits.first_request_timeout if limits.first_request_timeout else 0.0
        )

    def next(self) -> Request | None:
        """Return the next request; None if the client has closed its side or was idle for too long.

        Raises:
            InvalidMessage: The request is invalid, truncated, exceeds a limit or arrived too slowly, or it
                was rejected to make room.
            OSError: The connection failed.
        """
        try:
            return self._read_request()
        finally:
            self.partial_since = None

    def _read_request(self) -> Request | None:
        reader = self.reader
        if reader.complete:
            reader.reset()
        self.account.set(reader.memory_size())
        if reader.buffer:
            # The bytes of this request are here already, so that reading it would not wait. A client that
            # pipelines would otherwise keep the loop until all that it has sent is answered.
            self.loop.yield_turn()
            reader.feed(b"")
            self._charge_partial()
        deadline = self.first_request_deadline
        self.first_request_deadline = 0.0
        continue_sent = False
        while not reader.complete and not reader.streaming:
            if reader.begun and not deadline:
                deadline = self.loop.now() + self.limits.request_timeout
            if reader.expects_continue and not continue_sent:
                continue_sent = True
                self.stream.write(CONTINUE, self.limits.request_timeout)
            if not self._feed_next(deadline):
                return None
        # An attempt holds the request once more, as it is encoded for the server.
        self._request_bytes = reader.memory_size() - len(reader.buffer) + len(reader.body)
        self.account.set(self._request_bytes + len(reader.buffer))
        request = reader.take_request()
        if not reader.complete:
            request.body_stream = IncomingBodyStream(self.stream, reader)
        return request

    def _feed_next(self, deadline: float) -> bool:
        """Read the next bytes and pass them to the reader; return False if no request will follow."""
        if self.partial_since is None or self.half_closed:
            return self._feed(self._read(deadline))
        while True:
            self._wait_for_more(deadline)
            with self.partial_reads:
                data = self.stream.read_now(self._read_size())
                if data is None:
                    continue
                self._feed(data)
                if not self.reader.complete:
                    self._check_deadline(deadline)
                    self.loop.yield_turn()  # holds the permit until the next round
                return True

    def _check_deadline(self, deadline: float) -> None:
        """Reject a request that is still incomplete at its deadline, however fast its bytes arrive."""
        if self.loop.now() >= deadline:
            raise InvalidMessage(408, TOO_SLOW)

    def _read_size(self) -> int:
        """Return how many bytes to read of an incomplete request; what follows it is better left unread."""
        reader = self.reader
        if reader.state is State.HEAD:
            return FIRST_READ_SIZE
        if reader.state is State.SIZED_BODY:
            return min(READ_SIZE, reader.remaining_bytes)
        return READ_SIZE

    def _wait_for_more(self, deadline: float) -> None:
        """Wait for more bytes of an incomplete request.

        Raises:
            InvalidMessage: None came by the deadline, or the request was rejected.
        """
        if self._rejection is not None:
            raise self._rejection
        try:
            self.stream.wait_readable(max(0.0, deadline - self.loop.now()))
        except TimedOut:
            # Bytes that became readable in the same iteration of the loop are still accepted.
            if not self.stream.readable():
                raise InvalidMessage(408, TOO_SLOW) from None

    def _feed(self, data: bytes | None) -> bool:
        if self._rejection is not None:
            raise self._rejection
        if not data:
            if data is not None and self.reader.begun:
                self.reader.end()
            return False
        self.reader.feed(data)
        self._charge_partial()
        return True

    def _charge_partial(self) -> None:
        """Charge the bytes received of an incomplete request, and make room if they are too many.

        Raises:
            InvalidMessage: There is no room, or this request was rejected to make room.
        """
        reader = self.reader
        if reader.complete or not reader.begun:
            return
        if self.partial_since is None:
            self.partial_since = self.loop.now()
        self.account.set(reader.memory_size())
        has_room = self.account.budget.reclaim_for_requests()
        if self._rejection is not None:
            raise self._rejection
        if not has_room:
            raise InvalidMessage(503, NO_ROOM)

    def _read(self, deadline: float) -> bytes | None:
        """Return received bytes; empty at the end of the stream, None if an idle client sent none in time."""
        if self.half_closed:
            return b""
        try:
            timeout = max(0.0, deadline - self.loop.now()) if deadline else self.limits.idle_timeout
            return self.stream.read(timeout, FIRST_READ_SIZE)
        except TimedOut:
            # Bytes that became readable in the same iteration of the loop as the timeout are still
            # accepted.
            data = self.stream.read_now(FIRST_READ_SIZE)
            if data is None and self.reader.begun:
                raise InvalidMessage(408, TOO_SLOW) from None
            return data

    def wake_on_data(self, waiter: Waiter) -> bool:
        """Wake the waiter when the client sends bytes or closes while its request is being answered.

        Returns:
            False if the waiter will not be woken, because the client is already known to have closed its side
            or no more is read ahead.
        """
        if self.half_closed or not self._may_read_ahead():
            return False
        self.stream.wake_on_read(waiter)
        return True

    def _may_read_ahead(self) -> bool:
        buffered = len(self.reader.buffer)
        return buffered < MAX_PIPELINED and (not buffered or self.account.budget.may_read_ahead())

    def has_pipelined(self) -> bool:
        """Return whether the client has sent more than one request at a time, now or a moment ago."""
        return bool(self.reader.buffer) or self.loop.now() < self._state_unknown_until

    def read_ahead(self) -> ClientState:
        """Read the bytes that have arrived, until MAX_PIPELINED bytes are buffered or there is no room.

        Returns:
            Whether the client is still there. Where it has closed its side this is mostly known even if bytes
            that it sent before are unread, unless these fill the buffers of the system.

        Raises:
            OSError: The connection failed.
        """
        is_all_read = False
        while not (self.half_closed or is_all_read) and self._may_read_ahead():
            data = self.stream.read_now(READ_AHEAD_SIZE)
            if data is None:
                is_all_read = True
                continue
            self.half_closed = not data
            self.reader.buffer += data
            self.account.set(self._request_bytes + len(self.reader.buffer))
        if self.half_closed or (not is_all_read and self.stream.peer_closed()):
            return ClientState.CLOSED
        if not is_all_read and self.stream.readable():
            self._state_unknown_until = self.loop.now() + UNKNOWN_STATE_TIME
        return ClientState.UNKNOWN if self.loop.now() < self._state_unknown_until else ClientState.CONNECTED

    def reject_request(self, error: InvalidMessage) -> None:
        """Free the received part of a request; the task that reads it gets `error` at its next turn."""
        self._rejection = error
        self.partial_since = None
        self.discard()

    def discard(self) -> None:
        """Free the received bytes; call this when no request will be read from the connection any more."""
        self.reader.discard()
        self.account.set(0)

    def is_quiet(self) -> bool:
        """Return whether no byte of a request has arrived, whether read or still unread.

        The connection may be closed only while this is true.
        """
        return not (self.reader.begun or self.stream.readable())
