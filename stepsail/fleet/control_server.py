"""HTTP server at the control address of a running fleet: returns its status, restarts it and stops it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from stepsail.http import ConnectionLimits, InvalidMessage, Request, ServerConnection, encode_response
from stepsail.loop import Loop, Stream

MAX_CONNECTIONS = 16
WRITE_TIMEOUT = 0.5  # s within which the client has to receive a response
LIMITS = ConnectionLimits(head_bytes=4096, body_bytes=4096)
JSON = (b"content-type", b"application/json")
EMPTY_OBJECT = b"{}"


class ControlServer:
    """Answers control requests, which come from this machine only."""

    def __init__(
        self,
        loop: Loop,
        status: Callable[[], dict[str, Any]],
        restart: Callable[[], None],
        stop: Callable[[], None],
    ) -> None:
        """Create a server.

        Args:
            loop: The event loop.
            status: Returns the status page.
            restart: Begins a rolling restart.
            stop: Stops the fleet.
        """
        self.loop = loop
        self.status = status
        self.restart = restart
        self.stop = stop

    def serve(self, stream: Stream) -> None:
        """Answer the requests on one connection until it is closed."""
        connection = ServerConnection(self.loop, stream, LIMITS)
        while True:
            try:
                request = connection.next()
            except InvalidMessage as error:
                stream.write(encode_response(error.status, [], str(error).encode()), WRITE_TIMEOUT)
                return
            if request is None:
                return
            stream.write(self._response(request), WRITE_TIMEOUT)

    def _response(self, request: Request) -> bytes:
        match request.method, request.target:
            case b"GET", b"/status":
                return encode_response(200, [JSON], msgspec.json.encode(self.status()))
            case b"POST", b"/restart":
                self.restart()
                return encode_response(202, [JSON], EMPTY_OBJECT)
            case b"POST", b"/stop":
                self.loop.call_later(0.0, self.stop)
                return encode_response(202, [JSON], EMPTY_OBJECT)
            case _:
                return encode_response(404, [JSON], EMPTY_OBJECT)
