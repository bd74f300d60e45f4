"""Clients of the instances under test; each keeps its connection open and reuses it as long as possible."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from stepsail.http import (
    ClientConnection,
    ConnectionLimits,
    InvalidMessage,
    Progress,
    Response,
    encode_request,
)
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.loop.driver import Address
from stepsail.qualify.records import ClientEnd, ClientRecord, Records, RequestClass

CONNECT_TIMEOUT = 0.5  # s
CONNECT_ATTEMPTS = 3
BUDGETS = (0.3, 0.6, 1.2)  # s, the client timeouts to choose from
# Seconds that a client waits beyond its budget, to distinguish a late answer from a missing one.
EXTRA_WAIT = 1.0
DISCONNECT_PROBABILITY = 0.03  # probability that a client disconnects before it gets its answer
DISCONNECT_AFTER = 0.02  # s
THINK_TIME = (0.01, 0.08)  # s, range of the pause between two requests of one client
SEEDS_PER_RUN = 1000  # must exceed the number of clients per instance
MILLISECONDS = 1000  # in a second
BODY = b"x" * 200


@dataclass(frozen=True, slots=True)
class _PlannedRequest:
    """A request to send, and whether its client disconnects before the answer."""

    request_id: str
    request_class: RequestClass
    budget: float
    disconnects: bool


class Client:
    """One client of one instance.

    Attributes:
        is_over: Set this to end `run` after the request in flight.
    """

    def __init__(
        self, loop: Loop, records: Records, instance: str, listen: Address, number: int, seed: int
    ) -> None:
        self.loop = loop
        self.records = records
        self.instance = instance
        self.listen = listen
        self.number = number
        self.is_over = False
        self._random = Random(seed * SEEDS_PER_RUN + number)
        self._request_count = 0
        self._connection: ClientConnection | None = None

    def run(self) -> None:
        """Send requests one after the other until `is_over` is set."""
        while not self.is_over:
            self._send_next()
            self.loop.sleep(self._random.uniform(*THINK_TIME))
        self._disconnect()

    def _send_next(self) -> None:
        request = self._draw_request()
        end = self._send(request)
        if end is ClientEnd.CLOSED_REUSED:
            # The idle connection was closed while the request was on its way: send it again on a new one.
            self._send(request)

    def _draw_request(self) -> _PlannedRequest:
        self._request_count += 1
        return _PlannedRequest(
            request_id=f"{self.instance}-{self.number}-{self._request_count}",
            request_class=self._random.choice(list(RequestClass)),
            budget=self._random.choice(BUDGETS),
            disconnects=self._random.random() < DISCONNECT_PROBABILITY,
        )

    def _send(self, request: _PlannedRequest) -> ClientEnd:
        """Send a request, wait for its answer, and record the outcome."""
        is_reused = self._connection is not None
        sent_at = self.loop.now()
        if self._connection is None:
            try:
                self._connection = self._connect()
            except (OSError, TimedOut):
                return self._record(request, sent_at, ClientEnd.NOT_CONNECTED)
            sent_at = self.loop.now()
        status = 0
        progress = Progress()
        try:
            status = self._exchange(self._connection, request, progress).status
            end = ClientEnd.ANSWERED
        except TimedOut:
            end = ClientEnd.LEFT if request.disconnects else ClientEnd.TIMED_OUT
        except (OSError, Closed, InvalidMessage):
            if progress.read:
                end = ClientEnd.CUT_SHORT
            else:
                end = ClientEnd.CLOSED_REUSED if is_reused else ClientEnd.CLOSED_NEW
        if end is not ClientEnd.ANSWERED or not self._connection.usable:
            self._disconnect()
        return self._record(request, sent_at, end, status)

    def _connect(self) -> ClientConnection:
        """Return a new connection that is still open.

        An instance without room may close a connection that is silent after it was made, as it is here while
        this process stands still. Nothing was sent on it, so nothing is owed on it.
        """
        for _ in range(CONNECT_ATTEMPTS):
            stream = Stream.connect(self.loop, self.listen, CONNECT_TIMEOUT)
            if not stream.peer_closed():
                return ClientConnection(self.loop, stream, ConnectionLimits())
            stream.close()
        raise ConnectionResetError

    def _exchange(
        self, connection: ClientConnection, request: _PlannedRequest, progress: Progress
    ) -> Response:
        timeout = DISCONNECT_AFTER if request.disconnects else request.budget + EXTRA_WAIT
        return connection.exchange(_encode(request), self.loop.now() + timeout, progress)

    def _record(self, request: _PlannedRequest, sent_at: float, end: ClientEnd, status: int = 0) -> ClientEnd:
        self.records.clients.append(
            ClientRecord(
                request.request_id,
                self.instance,
                request.request_class,
                sent_at,
                request.budget,
                self.loop.now(),
                end,
                status,
            )
        )
        return end

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _encode(request: _PlannedRequest) -> bytes:
    headers = [
        (b"host", b"service.internal"),
        (b"x-call-id", request.request_id.encode()),
        (b"x-budget-ms", b"%d" % (request.budget * MILLISECONDS)),
    ]
    path = b"/" + request.request_class.value.encode()
    if request.request_class is RequestClass.IDEMPOTENT:
        return encode_request(b"GET", path, headers)
    headers.append((b"idempotency-key", b"key-" + request.request_id.encode()))
    return encode_request(b"POST", path, headers, BODY)
