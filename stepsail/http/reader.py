"""Reads messages from bytes with the httptools parser and enforces the limits on their size. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import Any

import httptools

from stepsail.http.chunk_limits import is_mostly_framing
from stepsail.http.message import (
    BODYLESS_STATUSES,
    FIRST_FINAL_STATUS,
    ConnectionLimits,
    Headers,
    InvalidMessage,
    Request,
    Response,
    TruncatedMessage,
    find_header,
    parse_list_header,
)
from stepsail.http.strict import body_length, check_head

# Number of bytes of a chunked body that are parsed before the limits on it are checked.
CHUNKED_PART = 1024
# Largest number of empty lines that are skipped before a request (RFC 9112 section 2.2).
MAX_EMPTY_LINES = 2
# Number of bytes that the objects of one header take in memory beside its text.
HEADER_OVERHEAD = 160
CR = 13


class State(Enum):
    """The part of a message that is to be read next."""

    HEAD = "head"
    SIZED_BODY = "body of a known length"
    CHUNKED_BODY = "body in chunks"
    BODY_UNTIL_CLOSE = "body that lasts until the close"
    COMPLETE = "none: the message is complete"


# Aliases for speed: in Python 3.11, looking up a member of an enumeration costs more than the operations that
# the reader performs with it.
HEAD = State.HEAD
SIZED_BODY = State.SIZED_BODY
CHUNKED_BODY = State.CHUNKED_BODY
BODY_UNTIL_CLOSE = State.BODY_UNTIL_CLOSE
COMPLETE = State.COMPLETE


class MessageReader:
    """Reads one message at a time from bytes and enforces the limits on its size.

    Call `feed` until the message is `complete` or its body is `streaming`, then take the message. Call
    `reset` before the next message.

    Attributes:
        reads_requests: Whether the messages are requests; otherwise, they are responses.
        buffer: Received bytes that were not assigned to a message yet.
        body: The part of the body that was read and not taken yet. It is one array: bodies may arrive in parts
            of a few bytes, and objects for each of them would take many times their size.
        body_bytes: Number of bytes of the body that were read.
        chunks: Number of parts in which the parser has reported a chunked body.
        complete: Whether the message was read in full.
        wire_bytes: Number of bytes received for a chunked body, including its framing. Before the head is
            read, the number of empty lines that were skipped.
    """

    def __init__(self, reads_requests: bool, limits: ConnectionLimits) -> None:
        self.reads_requests = reads_requests
        self.limits = limits
        self.buffer = bytearray()
        self.reset()

    def reset(self, no_body: bool = False) -> None:
        """Prepare to read the next message, which begins with the bytes left in the buffer.

        Args:
            no_body: Whether the message is the response to a HEAD request.
        """
        self.state = HEAD
        self.complete = False
        self.no_body = no_body
        self.remaining_bytes = 0  # bytes of a body of known length that were not read yet
        self.wire_bytes = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.body_bytes = 0
        self.chunks = 0
        self.parser_finished = False  # the parser has reached the end of the message
        # The parser has received the start of another message after the end of this one.
        self.overrun = False
        self.url = b""
        self.status = 0
        self.keep_alive = True
        self.expects_continue = False  # the client waits for 100 Continue before it sends the body
        self.method = b""
        self.version = "1.1"
        self.length: int | None = None
        self.parser: Any = None
        self.head_cost = 0  # number of bytes of memory that the head takes once it is read

    def memory_size(self) -> int:
        """Return about how many bytes of memory the reader holds."""
        return len(self.buffer) + len(self.body) + self.head_cost

    def discard(self) -> None:
        """Free all received bytes; the reader cannot be used afterwards.

        The parser refers to the reader, so without this a reader in the middle of a chunked body would keep
        its buffers until the garbage collector runs.
        """
        self.buffer = bytearray()
        self.reset()

    # -- callbacks of the parser ---------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the start of a message."""
        self.overrun = self.overrun or self.parser_finished

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""
        if not self.parser_finished:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header line."""
        if self.state is HEAD:  # trailer fields are ignored
            self.headers.append((name.lower(), value))

    def on_body(self, part: bytes) -> None:
        """Handle a part of the body."""
        if not self.parser_finished:
            self.chunks += 1
            self.body_bytes += len(part)
            self.body += part

    def on_message_complete(self) -> None:
        """Handle the end of the message."""
        self.parser_finished = True

    @property
    def streaming(self) -> bool:
        """Whether the body is too large to be buffered, so that its parts must be taken as they arrive."""
        return self.body_bytes > self.limits.buffered_bytes and self.state not in (HEAD, COMPLETE)

    def take_body(self) -> bytes:
        """Return the parts of the body that were read, and remove them from the reader."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    @property
    def begun(self) -> bool:
        """Whether any byte of an incomplete message, or of the message after a complete one, was received."""
        return bool(self.buffer) or self.state not in (HEAD, COMPLETE)

    def feed(self, data: bytes) -> None:
        """Process received bytes.

        Raises:
            InvalidMessage: The message is invalid or exceeds a limit; the connection is then unusable.
        """
        self.buffer += data
        try:
            if self.state is HEAD:
                self._read_head()
            if self.state is SIZED_BODY:
                self._read_sized_body()
            elif self.state is CHUNKED_BODY:
                self._read_chunked_body()
            elif self.state is BODY_UNTIL_CLOSE:
                self._add_body_part(bytes(self.buffer))
                self.buffer.clear()
        except httptools.HttpParserUpgrade:
            raise InvalidMessage(501, "no other protocol is spoken here") from None
        except httptools.HttpParserError as error:
            raise InvalidMessage(400, str(error) or "malformed") from None

    def end(self) -> None:
        """Handle the end of the stream.

        Raises:
            TruncatedMessage: The response is not complete.
            InvalidMessage: The request is not complete.
        """
        if self.state is BODY_UNTIL_CLOSE:
            self.keep_alive = False
            self._complete()
        elif self.state is not COMPLETE and self.reads_requests:
            raise InvalidMessage(400, "the stream ended inside a request")
        elif self.state is not COMPLETE:
            raise TruncatedMessage(400, "the stream ended before the message was complete")

    def _read_head(self) -> None:
        head = self._take_head()
        if head is None:
            return
        check_head(head, self.reads_requests)
        parser_class = httptools.HttpRequestParser if self.reads_requests else httptools.HttpResponseParser
        self.parser = parser_class(self)
        self.parser.feed_data(head)
        self.head_cost = len(head) + HEADER_OVERHEAD * len(self.headers)
        self.version = self.parser.get_http_version()
        connection = parse_list_header(self.headers, b"connection")
        self.keep_alive = b"close" not in connection and (
            self.version == "1.1" or b"keep-alive" in connection
        )
        length = body_length(self.headers, self.reads_requests, self.version)
        if self.reads_requests:
            self._check_request_head()
        else:
            self.status = self.parser.get_status_code()
            if self.no_body or self.status < FIRST_FINAL_STATUS or self.status in BODYLESS_STATUSES:
                length = 0
        if length is not None:
            self.parser = None
        self._begin_body(length)

    def _take_head(self) -> bytes | None:
        """Remove the head from the buffer and return it; return None if it is not complete."""
        if self.reads_requests:
            while self.buffer[:2] == b"\r\n" and self.wire_bytes < MAX_EMPTY_LINES:
                del self.buffer[:2]
                self.wire_bytes += 1
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or end + 4 > self.limits.head_bytes:
            if len(self.buffer) >= self.limits.head_bytes:
                raise InvalidMessage(431, f"a head of over {self.limits.head_bytes} bytes")
            line_feed = self.buffer.find(b"\n")
            if line_feed == 0 or (line_feed > 0 and self.buffer[line_feed - 1] != CR):
                raise InvalidMessage(400, "a line that ends in a bare LF")
            return None
        head = bytes(self.buffer[: end + 4])
        del self.buffer[: end + 4]
        return head

    def _check_request_head(self) -> None:
        self.method = self.parser.get_method()
        if self.method == b"CONNECT":
            raise InvalidMessage(501, "no tunnels are made here")
        host_count = sum(name == b"host" for name, _ in self.headers)
        if host_count > 1 or (self.version == "1.1" and not host_count):
            raise InvalidMessage(400, "no Host, or several")
        expectation = (find_header(self.headers, b"expect") or b"").lower()
        self.expects_continue = expectation == b"100-continue" and self.version == "1.1"

    def _begin_body(self, length: int | None) -> None:
        """Start the body; `length` is a result of `body_length`."""
        self.length = length if length is None or length >= 0 else None
        if length is None:
            self.state = CHUNKED_BODY
            self.wire_bytes = 0
        elif length < 0:
            if not self.limits.allow_until_close:
                raise InvalidMessage(
                    400, "the response has neither a content length nor the chunked transfer coding"
                )
            self.state = BODY_UNTIL_CLOSE
        elif length > self.limits.body_bytes:
            raise InvalidMessage(413, f"a body of over {self.limits.body_bytes} bytes")
        else:
            self.remaining_bytes = length
            self.state = SIZED_BODY
            if not length:
                self._complete()

    def _complete(self) -> None:
        self.state = COMPLETE
        self.complete = True
        self.parser = None

    def _read_sized_body(self) -> None:
        part = bytes(self.buffer[: self.remaining_bytes])
        del self.buffer[: self.remaining_bytes]
        self.remaining_bytes -= len(part)
        self.body += part
        self.body_bytes += len(part)
        if not self.remaining_bytes:
            self._complete()

    def _read_chunked_body(self) -> None:
        data = memoryview(bytes(self.buffer))
        self.buffer.clear()
        for start in range(0, len(data), CHUNKED_PART):
            part = data[start : start + CHUNKED_PART]
            self.wire_bytes += len(part)
            self.parser.feed_data(part)
            if self._exceeds_body_limits():
                raise InvalidMessage(413, f"a body of over {self.limits.body_bytes} bytes, or mostly framing")
        if self.parser_finished:
            # Bytes after the end of a chunked message in the same read have already gone to the parser and
            # are lost, so the connection must end with this message.
            self.keep_alive = self.keep_alive and not self.overrun
            self._complete()

    def _exceeds_body_limits(self) -> bool:
        return self.body_bytes > self.limits.body_bytes or is_mostly_framing(
            self.reads_requests, self.body_bytes, self.wire_bytes, self.chunks
        )

    def _add_body_part(self, part: bytes) -> None:
        self.on_body(part)
        if self.body_bytes > self.limits.body_bytes:
            raise InvalidMessage(413, f"a body of over {self.limits.body_bytes} bytes")

    def take_request(self) -> Request:
        """Return the request with the part of its body that was read, and remove that part."""
        return Request(
            self.method,
            self.url,
            self.headers,
            self.take_body(),
            self.keep_alive,
            None,
            self.length,
            self.version == "1.1",
        )

    def take_response(self) -> Response:
        """Return the response with the part of its body that was read, and remove that part."""
        return Response(self.status, self.headers, self.take_body(), self.keep_alive, None, self.length)
