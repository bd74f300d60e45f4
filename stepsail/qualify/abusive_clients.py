"""Clients that break the protocol: they stall in the middle of requests, or flood an instance with requests.

Nothing is recorded about them: they are owed an error or a close, which the checks do not cover. What they do
to the instance shows in its memory and in the records of the other clients.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial

from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.loop.driver import Address

CONNECT_TIMEOUT = 1.0  # s
RECONNECT_PAUSE = 0.02  # s, after a connection that could not be made
STALL_TIMEOUT = 3.5  # s for which a stalled client waits for the close that it is owed within 3 s
READ_SIZE = 1 << 20  # bytes
BODY_BYTES = 65536  # the largest body that the protocol allows
MISSING_BODY_BYTES = 536  # bytes of the body that a stalled client never sends
HEAD_FIELDS = 4000  # short header lines; more bytes than a head may have
ALLOWED_FIELDS = 90  # short header lines that a head may have
PIPELINED_REQUESTS = 500  # requests per write of a flooding client
UNREAD_REQUESTS = 30  # requests of a client that reads no response
SLOW_WRITE_BYTES = 400  # bytes per write of a slow client
SLOW_WRITE_PAUSE = 0.02  # s between two writes of a slow client


class Stall(Enum):
    """The part of a request that a client sends before it stalls."""

    HALF_BODY = "a body that lacks its end"
    TINY_CHUNKS = "a body in chunks of two bytes that lacks its end"
    SHORT_FIELDS = "a head of very many short fields that has no end"
    FIELDS_AND_HALF_BODY = "a head of many short fields and a body that lacks its end"
    SLOW_WRITES = "a large body, written slowly"
    UNREAD_RESPONSES = "many whole requests, whose responses it never reads"


class Flood(Enum):
    """The requests that a client sends on one connection at full speed."""

    HEALTH_CHECKS = "health checks"
    EXPIRED = "requests with no time left, each with a new ID"
    NEW_NAMES = "requests with a new ID, path and key each"
    UNKNOWN_PATHS = "requests with a new path each, which no route matches"


def encode_head(request_id: str, *fields: bytes) -> bytes:
    """Return the head of a keyed request without the empty line that ends it."""
    lines = [
        b"POST /record HTTP/1.1",
        b"host: service.internal",
        b"x-call-id: " + request_id.encode(),
        b"x-budget-ms: 2400",
        b"idempotency-key: key-" + request_id.encode(),
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n"


def encode_stalled_request(stall: Stall, request_id: str) -> bytes:
    """Return the bytes that a client sends before it stalls."""
    sized = b"content-length: %d" % BODY_BYTES
    half_body = b"b" * (BODY_BYTES - MISSING_BODY_BYTES)
    match stall:
        case Stall.UNREAD_RESPONSES:
            requests = (_encode_get(b"/lookup", request_id.encode(), n, 1400) for n in range(UNREAD_REQUESTS))
            return b"".join(requests)
        case Stall.TINY_CHUNKS:
            chunks = b"2\r\nbb\r\n" * (len(half_body) // 2)
            return encode_head(request_id, b"transfer-encoding: chunked") + b"\r\n" + chunks
        case Stall.SHORT_FIELDS:
            return encode_head(request_id) + b"a:\r\n" * HEAD_FIELDS
        case Stall.FIELDS_AND_HALF_BODY:
            return encode_head(request_id, *[b"a:"] * ALLOWED_FIELDS, sized) + b"\r\n" + half_body
        case _:
            return encode_head(request_id, sized) + b"\r\n" + half_body


def encode_flood(flood: Flood, client: str, number: int) -> bytes:
    """Return the requests of one write of a flooding client; `number` is the number of the write."""
    numbers = range(number * PIPELINED_REQUESTS, (number + 1) * PIPELINED_REQUESTS)
    return b"".join(_encode_flood_request(flood, client.encode(), number) for number in numbers)


def _encode_flood_request(flood: Flood, client: bytes, number: int) -> bytes:
    path, budget = b"/lookup", 0
    match flood:
        case Flood.HEALTH_CHECKS:
            path = b"/_health"
        case Flood.NEW_NAMES:
            path, budget = b"/lookup/%d?obj=%d" % (number, number), 300
        case Flood.UNKNOWN_PATHS:
            path = b"/unknown-%d" % number
    return _encode_get(path, client, number, budget)


def _encode_get(path: bytes, client: bytes, number: int, budget: int) -> bytes:
    head = b"GET %s HTTP/1.1\r\nhost: service.internal\r\nx-call-id: %s-%d\r\nx-budget-ms: %d\r\n\r\n"
    return head % (path, client, number, budget)


class AbusiveClients:
    """Clients of one instance that break the protocol until `is_over` is set.

    Attributes:
        is_over: Set this to end all clients, which `start` starts as tasks.
    """

    def __init__(self, loop: Loop, listen: Address, name: str) -> None:
        self.loop = loop
        self.listen = listen
        self.name = name
        self.is_over = False
        self._next_number = 0

    def start(self, kind: Stall | Flood, connections: int) -> None:
        """Start clients that each use one connection after another as `kind` says.

        A client that stalls does so in the middle of a request. A client that floods sends requests at full
        speed as long as its connection lasts.
        """
        for _ in range(connections):
            if isinstance(kind, Stall):
                self.loop.spawn(self._repeat, partial(self._stall_once, kind), name="stalled client")
            else:
                self.loop.spawn(self._repeat, partial(self._flood_once, kind), name="flooding client")

    def _repeat(self, use_connection: Callable[[Stream], None]) -> None:
        while not self.is_over:
            try:
                stream = Stream.connect(self.loop, self.listen, CONNECT_TIMEOUT)
            except (OSError, TimedOut):
                self.loop.sleep(RECONNECT_PAUSE)
                continue
            try:
                use_connection(stream)
            except (OSError, Closed, TimedOut):
                pass
            finally:
                stream.close()

    def _stall_once(self, stall: Stall, stream: Stream) -> None:
        self._next_number += 1
        data = encode_stalled_request(stall, f"{self.name}-{self._next_number}")
        with self.loop.timeout(STALL_TIMEOUT):
            if stall is Stall.SLOW_WRITES:
                self._write_slowly(stream, data)
            else:
                stream.write(data)
            if stall is Stall.UNREAD_RESPONSES:
                self.loop.sleep(STALL_TIMEOUT)
            self._read_until_over(stream)

    def _write_slowly(self, stream: Stream, data: bytes) -> None:
        for start in range(0, len(data), SLOW_WRITE_BYTES):
            stream.write(data[start : start + SLOW_WRITE_BYTES])
            if stream.readable() or self.is_over:
                return
            self.loop.sleep(SLOW_WRITE_PAUSE)

    def _flood_once(self, flood: Flood, stream: Stream) -> None:
        reader = self.loop.spawn(self._read_until_over, stream, name="flooding client's reader")
        try:
            while not self.is_over:
                self._next_number += 1
                stream.write(encode_flood(flood, self.name, self._next_number), STALL_TIMEOUT)
                self.loop.yield_turn()
        finally:
            reader.cancel()

    def _read_until_over(self, stream: Stream) -> None:
        try:
            while not self.is_over and stream.read(max_bytes=READ_SIZE):
                pass
        except (OSError, Closed):
            pass
