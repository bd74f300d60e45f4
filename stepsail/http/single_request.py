"""Single requests, each on a connection of its own."""

from __future__ import annotations

from stepsail.http.client_connection import ClientConnection, Progress
from stepsail.http.message import ConnectionLimits, InvalidMessage, Response, encode_request
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.loop.driver import Address


def request_once(
    loop: Loop,
    address: Address,
    target: bytes,
    method: bytes = b"GET",
    connect_timeout: float = 0.5,
    timeout: float = 0.5,
    body: bytes = b"",
) -> Response:
    """Send one request on a new connection and return its response.

    Raises:
        OSError: The connection was not made within `connect_timeout` seconds, or no complete, valid response
            arrived within `timeout` seconds after that.
    """
    try:
        stream = Stream.connect(loop, address, connect_timeout)
        try:
            data = encode_request(
                method, target, [(b"host", b"%s:%d" % (address[0].encode(), address[1]))], body
            )
            return ClientConnection(loop, stream, ConnectionLimits()).exchange(
                data, loop.now() + timeout, Progress()
            )
        finally:
            stream.close()
    except (TimedOut, Closed, InvalidMessage) as error:
        raise OSError(f"no complete response: {error}") from error
