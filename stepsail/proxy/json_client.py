"""Calls a JSON service over one persistent connection, and validates each response by a schema."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from stepsail.http import (
    ClientConnection,
    ConnectionLimits,
    InvalidMessage,
    Progress,
    Response,
    encode_request,
)
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.settings.model import Address

# The schema validator is slow to import. A caller that passes a schema has already imported it.
if TYPE_CHECKING:
    from jsonschema import Draft202012Validator

# Largest response in bytes; an endpoint list of thousands of entries fits.
MAX_RESPONSE_BYTES = 4 << 20
# Seconds after which an attempt to connect to the service is given up.
CONNECT_TIMEOUT = 1.0


class CallError(Exception):
    """Reports that a call has no usable response.

    Attributes:
        may_have_run: Whether the service may have carried out the call.
    """

    def __init__(self, text: str, may_have_run: bool = True) -> None:
        super().__init__(text)
        self.may_have_run = may_have_run


def encode_json_request(address: Address, method: bytes, target: bytes, message: Any) -> bytes:
    """Encode a request with `message` as its JSON body, or without a body if `message` is None."""
    headers = [(b"host", b"%s:%d" % (address[0].encode(), address[1]))]
    if message is None:
        return encode_request(method, target, headers)
    headers.append((b"content-type", b"application/json"))
    return encode_request(method, target, headers, msgspec.json.encode(message))


def describe_error(error: Exception) -> str:
    """Return the error's message, or the name of its class if the message is empty."""
    return str(error) or type(error).__name__


class JsonClient:
    """Makes calls to one service, one at a time; a second call must not be made before the first ends."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.connection: ClientConnection | None = None

    def call(
        self, method: bytes, target: bytes, message: Any, schema: Draft202012Validator, timeout: float
    ) -> Any:
        """Make a call and return the decoded response.

        Raises:
            CallError: There was no valid response; the connection has been closed.
        """
        deadline = self.loop.now() + timeout
        data = encode_json_request(self.address, method, target, message)
        progress = Progress()
        try:
            connection = self._connect(deadline)
            response = connection.exchange(data, deadline, progress)
            decoded = self._decode(response, schema)
        except (OSError, TimedOut, Closed, InvalidMessage, msgspec.DecodeError) as error:
            self.close()
            raise CallError(describe_error(error), progress.written > 0) from None
        except BaseException:
            self.close()
            raise
        if not connection.usable:
            self.close()
        return decoded

    def _decode(self, response: Response, schema: Draft202012Validator) -> Any:
        if response.status != HTTPStatus.OK:
            raise CallError(f"expected status 200, found {response.status}")
        decoded = msgspec.json.decode(response.body)
        validation_error = next(schema.iter_errors(decoded), None)
        if validation_error:
            raise CallError(f"{validation_error.json_path}: {validation_error.message[:200]}")
        return decoded

    def _connect(self, deadline: float) -> ClientConnection:
        if self.connection and self.connection.stale():
            self.close()
        if self.connection is None:
            timeout = min(CONNECT_TIMEOUT, max(0.0, deadline - self.loop.now()))
            stream = Stream.connect(self.loop, self.address, timeout)
            self.connection = ClientConnection(
                self.loop, stream, ConnectionLimits(body_bytes=MAX_RESPONSE_BYTES)
            )
        return self.connection

    def close(self) -> None:
        """Close the connection; the next call makes a new connection."""
        if self.connection:
            self.connection.close()
            self.connection = None
