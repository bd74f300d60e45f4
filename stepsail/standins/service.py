"""A stand-in service: JSON over HTTP with long polls, which can be made to stall or to fail."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec

from stepsail.http import ConnectionLimits, InvalidMessage, Request, ServerConnection, encode_response
from stepsail.loop import Event, Listener, Loop, Stream, TimedOut
from stepsail.loop.driver import Address

Handler = Callable[[str, dict[str, str], Any, Stream], Any]

JSON = (b"content-type", b"application/json")
BACKLOG = 10000
IDLE_TIMEOUT_S = 300.0
WRITE_TIMEOUT_S = 5.0
FAULT_CHECK_INTERVAL_S = 0.05
MAX_POLL_S = 20.0


class ServiceFault(Enum):
    """A fault of a service."""

    SILENT = auto()  # requests wait until the fault is over
    ERRORS = auto()  # every response has status 500


class Service:
    """Answers requests with the result of `handle(path, query, body, stream)` as JSON.

    A handler that returns None has written the response to the stream itself.
    """

    def __init__(
        self, loop: Loop, name: str, handle: Handler, listen_address: Address = ("127.0.0.1", 0)
    ) -> None:
        self.loop = loop
        self.handle = handle
        self.fault: ServiceFault | None = None
        self.listener = Listener(loop, listen_address, BACKLOG)
        self.address = self.listener.address
        self.changed = Event(loop)
        loop.spawn(self.listener.serve, self._serve, name, name=name)

    def notify_change(self) -> None:
        """Wake all long polls, because the data has changed."""
        self.changed.set()
        self.changed = Event(self.loop)

    def poll_deadline(self, query: dict[str, str]) -> float:
        """Return the time until which a long poll with this query waits."""
        return self.loop.now() + min(MAX_POLL_S, float(query.get("wait", "0")))

    def wait_while(self, unchanged: Callable[[], bool], deadline: float) -> None:
        """Block a long poll while `unchanged()` is true, at most until its deadline."""
        while unchanged() and self.loop.now() < deadline:
            try:
                self.changed.wait(deadline - self.loop.now())
            except TimedOut:
                return

    def _serve(self, stream: Stream) -> None:
        connection = ServerConnection(self.loop, stream, ConnectionLimits(idle_timeout=IDLE_TIMEOUT_S))
        while True:
            try:
                request = connection.next()
            except InvalidMessage:
                return
            if request is None:
                return
            while self.fault is ServiceFault.SILENT:
                self.loop.sleep(FAULT_CHECK_INTERVAL_S)
            if self.fault is ServiceFault.ERRORS:
                stream.write(encode_response(500, []), WRITE_TIMEOUT_S)
                continue
            answer = self._answer(request, stream)
            if answer is not None:
                stream.write(encode_response(200, [JSON], msgspec.json.encode(answer)), WRITE_TIMEOUT_S)

    def _answer(self, request: Request, stream: Stream) -> Any:
        url = urlsplit(request.target.decode("latin-1"))
        body = msgspec.json.decode(request.body) if request.body else None
        return self.handle(url.path, dict(parse_qsl(url.query)), body, stream)
