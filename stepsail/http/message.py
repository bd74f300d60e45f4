"""Data types for requests and responses, the limits on their size and duration, and their encoding."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

Headers = list[tuple[bytes, bytes]]  # names in lower case, in the order received

NO_CONTENT = 204
NOT_MODIFIED = 304
BODYLESS_STATUSES = frozenset((NO_CONTENT, NOT_MODIFIED))  # RFC 9110 sections 15.3.5 and 15.4.5
FIRST_FINAL_STATUS = 200  # a response with a lower status is interim

# RFC 9110 section 7.6.1: these headers apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
    )
)


class InvalidMessage(Exception):
    """Reports received bytes that are not a valid message or exceed a limit.

    Attributes:
        status: HTTP status of the error response to a client. The exception's text is the reason.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class TruncatedMessage(InvalidMessage):
    """Reports that the stream ended in the middle of a message that was valid so far."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_bytes: Maximum size of a message head.
        body_bytes: Maximum size of a body.
        buffered_bytes: Maximum size of a body that is buffered in memory. A message with a larger body has a
            `body_stream` for the rest.
        idle_timeout: Maximum seconds without a request.
        request_timeout: Maximum seconds from the first byte of a request to its last.
        first_request_timeout: Maximum seconds from the start of the connection to the last byte of the first
            request. If it is 0, the first request has the same timeouts as any other.
        allow_until_close: Whether a response without a length, whose body ends when the connection closes, is
            accepted.
    """

    head_bytes: int = 16384
    body_bytes: int = 1 << 20
    buffered_bytes: int = 1 << 62
    idle_timeout: float = 60.0
    request_timeout: float = 10.0
    first_request_timeout: float = 0.0
    allow_until_close: bool = True


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with this lower-case name; None if it is absent."""
    return next((value for header_name, value in headers if header_name == name), None)


def parse_list_header(headers: Headers, name: bytes) -> set[bytes]:
    """Return the members of all comma-separated headers with this lower-case name, in lower case."""
    return {
        member.strip().lower()
        for header_name, value in headers
        if header_name == name
        for member in value.split(b",")
    }


class BodyStream(Protocol):
    """Streams the rest of a body as it arrives.

    Attributes:
        read_started: Whether reading has started, after which the body can be sent to one recipient only.
        done: Whether the end of the body was read.
    """

    read_started: bool
    done: bool

    def read_part(self, timeout: float) -> bytes:
        """Return the next part of the body, which is empty at the end.

        Raises:
            TimedOut: No bytes arrived within `timeout` seconds.
            OSError: The connection failed.
            Closed: The source of the body was closed by this process.
            InvalidMessage: The rest of the message is invalid or truncated.
        """


@dataclass(slots=True)
class Request:
    """A request, which is complete unless it has a `body_stream`.

    Attributes:
        length: Size of the body in bytes; None if the body is chunked.
        accepts_chunks: Whether the client speaks HTTP/1.1 and therefore accepts a chunked response.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    body_stream: BodyStream | None = None
    length: int | None = None
    accepts_chunks: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header with this lower-case name; None if it is absent."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A response, which is complete unless it has a `body_stream`.

    Attributes:
        length: Size of the body in bytes; None if it is not known in advance.
    """

    status: int
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    body_stream: BodyStream | None = None
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header with this lower-case name; None if it is absent."""
        return find_header(self.headers, name)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward: those neither hop-by-hop nor listed in the Connection header."""
    connection_options = parse_list_header(headers, b"connection")
    return [
        (name, value) for name, value in headers if name not in HOP_BY_HOP and name not in connection_options
    ]


def _encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join(b"%s: %s\r\n" % pair for pair in headers)


def chunk(part: bytes) -> bytes:
    """Encode a part of a body as one chunk; an empty part gives the chunk that ends the body."""
    return b"%x\r\n%s\r\n" % (len(part), part)


def _framing_header(length: int | None) -> bytes:
    return b"transfer-encoding: chunked\r\n" if length is None else b"content-length: %d\r\n" % length


def encode_request_start(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes, length: int | None
) -> bytes:
    """Encode the head of a request and the first part of its body, whose length of None means chunked."""
    first_part = chunk(body) if length is None else body
    return b"%s %s HTTP/1.1\r\n%s%s\r\n%s" % (
        method,
        target,
        _encode_headers(headers),
        _framing_header(length),
        first_part,
    )


def encode_response_start(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    length: int | None,
    keep_alive: bool,
    chunked: bool,
) -> bytes:
    """Encode the head of a response and the first part of its body.

    Without a length or chunks, the body ends when the connection closes.
    """
    status_line = STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
    framing_header = _framing_header(length) if chunked or length is not None else b""
    connection_header = b"" if keep_alive else b"connection: close\r\n"
    return b"%s%s%s%s\r\n%s" % (
        status_line,
        _encode_headers(headers),
        framing_header,
        connection_header,
        chunk(body) if length is None and chunked else body,
    )


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """Encode a complete request with its content length; `headers` must include Host."""
    length_header = b"content-length: %d\r\n" % len(body) if body or method not in (b"GET", b"HEAD") else b""
    return b"%s %s HTTP/1.1\r\n%s%s\r\n%s" % (method, target, _encode_headers(headers), length_header, body)


STATUS_LINES = {int(s): b"HTTP/1.1 %d %s\r\n" % (s, s.phrase.encode()) for s in HTTPStatus}


def encode_response(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes = b"",
    keep_alive: bool = True,
    head_only: bool = False,
) -> bytes:
    """Encode a complete response with its content length; 204, 304 and responses to HEAD have no body."""
    status_line = STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
    length_header = (
        b"" if status == NO_CONTENT or status < FIRST_FINAL_STATUS else b"content-length: %d\r\n" % len(body)
    )
    connection_header = b"" if keep_alive else b"connection: close\r\n"
    sent_body = b"" if head_only or status in BODYLESS_STATUSES else body
    return b"%s%s%s%s\r\n%s" % (
        status_line,
        _encode_headers(headers),
        length_header,
        connection_header,
        sent_body,
    )
