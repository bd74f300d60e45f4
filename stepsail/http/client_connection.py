"""Client side of an HTTP connection, and the progress of an exchange, from which its outcome is derived."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from stepsail.http.body_stream import IncomingBodyStream
from stepsail.http.buffer_budget import BufferAccount, BufferBudget
from stepsail.http.message import (
    FIRST_FINAL_STATUS,
    BodyStream,
    ConnectionLimits,
    InvalidMessage,
    Response,
    chunk,
)
from stepsail.http.reader import MessageReader
from stepsail.loop import Loop, Stream, TimedOut

# Number of bytes of a response that are read even if there is no room, because most responses are not larger.
FREE_RESPONSE_BYTES = 4096
READ_SIZE = 16384  # bytes per read; a response that is larger may have to wait for room
ROOM_CHECK_INTERVAL = 0.01  # seconds between two checks whether there is room for more of a response


@dataclass(slots=True)
class Progress:
    """Records how much data of an exchange was transferred.

    Attributes:
        written: Number of bytes of the request that the operating system accepted.
        total: Number of bytes of the request; each part of a streamed body is added just before it is sent.
        read: Number of bytes of the response that were read before `exchange` ended.
        unread_for: Seconds that the last bytes of the response had waited until this process read them.
    """

    written: int = 0
    total: int = 0
    read: int = 0
    unread_for: float = 0.0


class ClientConnection:
    """A connection to a server that carries one exchange at a time.

    Attributes:
        used_at: Time when the last exchange ended, or when the connection was made.
        never_used: Whether no exchange was started on the connection yet.
        usable: Whether another exchange may be started on the connection.
        all_sent: Whether the last request was sent in full.
        account: The bytes held for the response that is being read.
    """

    def __init__(
        self, loop: Loop, stream: Stream, limits: ConnectionLimits, budget: BufferBudget | None = None
    ) -> None:
        self.loop = loop
        self.stream = stream
        self.limits = limits
        self.reader = MessageReader(False, limits)
        self.used_at = loop.now()
        self.never_used = True
        self.usable = True
        self.all_sent = True
        self.account = BufferAccount(budget or BufferBudget())

    def stale(self) -> bool:
        """Return whether an idle connection has ended, or has received bytes that answer no request."""
        try:
            return self.stream.read_now() is not None
        except OSError:
            return True

    def exchange(
        self,
        data: bytes,
        deadline: float,
        progress: Progress,
        no_body: bool = False,
        body_stream: BodyStream | None = None,
        chunked: bool = False,
    ) -> Response:
        """Send a request and read its response, whose body may be left to be streamed.

        Writes alternate with reads, so that a response that arrives before the request was sent in full is
        accepted.

        Args:
            data: The encoded request, or the start of it if the rest of its body is in `body_stream`.
            deadline: Time on the loop's clock at which the exchange times out.
            progress: Record to update during the exchange, even if the exchange fails.
            no_body: Whether this is a HEAD request, whose response has no body.
            body_stream: The rest of the request's body.
            chunked: Whether `body_stream` is sent in the chunked transfer coding.

        Raises:
            TimedOut: The deadline passed.
            OSError: The connection failed.
            InvalidMessage: The response is invalid or truncated.
            Closed: The connection was closed by this process.
        """
        stream = self.stream
        self.never_used = False
        self.usable = False
        sent_before = stream.sent
        progress.total = len(data)
        self.reader.reset(no_body)
        try:
            try:
                self._send_request(data, deadline, progress, body_stream, chunked)
                data = b""  # frees the copy while the response is awaited
            except (BrokenPipeError, ConnectionResetError):
                if stream.sent == sent_before:
                    raise
                # The server closed the connection during the write. A response that it sent before that may
                # still be readable.
            finally:
                progress.written = stream.sent - sent_before
            self._read_response(deadline, progress, no_body)
        finally:
            self.used_at = self.loop.now()
        progress.unread_for = stream.seconds_since_receive()
        response = self.reader.take_response()
        self.account.set(0)
        self.all_sent = progress.written == progress.total and (body_stream is None or body_stream.done)
        if self.reader.complete:
            self.end_exchange()
        else:
            response.body_stream = IncomingBodyStream(stream, self.reader, self._end_streamed_exchange)
        return response

    def _send_request(
        self, data: bytes, deadline: float, progress: Progress, body_stream: BodyStream | None, chunked: bool
    ) -> None:
        reader = self.reader
        self._send(data, deadline, progress)
        while (
            body_stream is not None and not body_stream.done and not reader.complete and not reader.streaming
        ):
            part = body_stream.read_part(max(0.0, deadline - self.loop.now()))
            data = chunk(part) if chunked else part
            progress.total += len(data)
            self._send(data, deadline, progress)

    def _read_response(self, deadline: float, progress: Progress, no_body: bool) -> None:
        """Read until the final response is complete or its body is streaming; skip interim responses."""
        reader = self.reader
        while True:
            while not reader.complete and not reader.streaming:
                self._feed_next(deadline, progress)
                if reader.memory_size() > FREE_RESPONSE_BYTES:
                    self._wait_for_room(deadline)
            if reader.status >= FIRST_FINAL_STATUS:
                return
            if reader.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise InvalidMessage(400, "the server switched protocols without being asked to")
            reader.reset(no_body)
            if reader.buffer:
                self.loop.yield_turn()  # a server may send any number of interim responses at once
            reader.feed(b"")

    def _feed_next(self, deadline: float, progress: Progress) -> None:
        part = self._read(deadline)
        progress.read += len(part)
        if part:
            self.reader.feed(part)
        else:
            self.reader.end()

    def _wait_for_room(self, deadline: float) -> None:
        """Charge the bytes received, and leave the rest of the response unread while there is no room.

        Raises:
            TimedOut: There was no room until the deadline.
        """
        self.account.set(self.reader.memory_size())
        while not (self.account.budget.reclaim_for_responses() or self.reader.complete):
            if self.loop.now() >= deadline:
                raise TimedOut
            self.loop.sleep(ROOM_CHECK_INTERVAL)

    def _read(self, deadline: float) -> bytes:
        try:
            return self.stream.read(max(0.0, deadline - self.loop.now()), self._read_size())
        except TimedOut:
            # Bytes that became readable in the same iteration of the loop as the timeout are still
            # accepted.
            data = self.stream.read_now(self._read_size())
            if data is None:
                raise
            return data

    def _end_streamed_exchange(self) -> None:
        self.used_at = self.loop.now()
        self.end_exchange()

    def _read_size(self) -> int:
        return READ_SIZE if self.reader.begun else FREE_RESPONSE_BYTES

    def end_exchange(self) -> None:
        """Decide, at the end of an exchange, whether the connection can be reused."""
        # Bytes after the response answer no request, so a connection that received any is not reused.
        self.usable = self.reader.keep_alive and not self.reader.buffer and self.all_sent

    def _send(self, data: bytes, deadline: float, progress: Progress) -> None:
        """Send until all data is sent, the response is complete or streaming, or the server closes."""
        rest = memoryview(data)
        while rest and not self.reader.complete and not self.reader.streaming:
            sent = self.stream.write_some(rest, max(0.0, deadline - self.loop.now()))
            rest = rest[sent:]
            part = None if sent else self.stream.read_now(self._read_size())
            if part == b"":
                # The server closed its side; `_read_response` evaluates the bytes that it sent before that.
                return
            if part:
                progress.read += len(part)
                self.reader.feed(part)

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self.stream.close()
        self._discard()

    def abort(self) -> None:
        """Close the connection with a reset."""
        self.usable = False
        self.stream.abort()
        self._discard()

    def _discard(self) -> None:
        self.reader.discard()
        self.account.set(0)
