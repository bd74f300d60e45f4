"""Calls discovery and release control for a complete response or a stream of JSON messages."""

from __future__ import annotations

from http import HTTPStatus
from types import TracebackType
from typing import Any

from stepsail.http import ClientConnection, ConnectionLimits, InvalidMessage, Progress, Response
from stepsail.http.message import BodyStream
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.platform.errors import InvalidJson
from stepsail.platform.json_stream import KEEP_ALIVE, JsonValueStream
from stepsail.proxy.json_client import (
    CONNECT_TIMEOUT,
    MAX_RESPONSE_BYTES,
    CallError,
    describe_error,
    encode_json_request,
)
from stepsail.settings.model import Address

STREAM_LIMITS = ConnectionLimits(body_bytes=1 << 60, buffered_bytes=0, allow_until_close=False)
RESPONSE_LIMITS = ConnectionLimits(body_bytes=MAX_RESPONSE_BYTES, allow_until_close=False)


def call(loop: Loop, address: Address, method: bytes, target: bytes, body: Any, timeout: float) -> Response:
    """Make one call on a new connection.

    On a new connection, a failure shows most clearly whether the call was executed.

    Raises:
        CallError: No valid response arrived in time.
    """
    deadline = loop.now() + timeout
    progress = Progress()
    connection = None
    try:
        connection = _connect(loop, address, deadline, RESPONSE_LIMITS)
        return connection.exchange(encode_json_request(address, method, target, body), deadline, progress)
    except (OSError, TimedOut, Closed, InvalidMessage) as error:
        fully_sent = 0 < progress.total <= progress.written
        raise CallError(describe_error(error), fully_sent) from None
    finally:
        if connection:
            connection.close()


def _connect(loop: Loop, address: Address, deadline: float, limits: ConnectionLimits) -> ClientConnection:
    timeout = max(0.0, min(CONNECT_TIMEOUT, deadline - loop.now()))
    return ClientConnection(loop, Stream.connect(loop, address, timeout), limits)


def _require_stream(response: Response) -> BodyStream:
    if response.status != HTTPStatus.OK or response.body_stream is None:
        body_kind = "complete" if response.body_stream is None else "streaming"
        raise CallError(
            f"expected status 200 and a streaming body, found status {response.status} and a {body_kind} body"
        )
    return response.body_stream


class StreamingResponse:
    """A response that streams JSON messages until the first invalid message; usable as a context manager.

    Attributes:
        received_at: Earliest time at which the message last returned by `next_message` may have arrived.
    """

    def __init__(self, loop: Loop, address: Address, target: bytes, timeout: float) -> None:
        """Make the call and wait for the head of the response.

        Raises:
            CallError: No response arrived in time, or the response is not a stream.
        """
        self.loop = loop
        self.messages = JsonValueStream(MAX_RESPONSE_BYTES)
        deadline = loop.now() + timeout
        self.received_at = loop.now()
        self.connection: ClientConnection | None = None
        try:
            self.connection = _connect(loop, address, deadline, STREAM_LIMITS)
            response = self.connection.exchange(
                encode_json_request(address, b"GET", target, None), deadline, Progress()
            )
            self.body_stream = _require_stream(response)
            self.messages.feed(response.body)
        except InvalidJson as error:
            self.close()
            raise CallError(str(error)) from None
        except (OSError, TimedOut, Closed, InvalidMessage) as error:
            self.close()
            raise CallError(describe_error(error), may_have_run=self.connection is not None) from None
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> StreamingResponse:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def next_message(self, timeout: float) -> Any:
        """Return the next message; None for a keep-alive.

        The timeout applies to the whole message, so that a message that arrives byte by byte does not prolong
        the timeout.

        Raises:
            CallError: The response ended, is invalid, or delivered no complete message in time.
        """
        deadline = self.loop.now() + timeout
        try:
            while (message := self.messages.next()) is None:
                data = self.body_stream.read_part(max(0.0, deadline - self.loop.now()))
                if not data:
                    raise CallError("expected a message, found the end of the stream")
                if not self.messages.has_partial_value:
                    self.received_at = self._data_received_at()
                self.messages.feed(data)
        except (OSError, TimedOut, Closed, InvalidMessage, InvalidJson) as error:
            raise CallError(describe_error(error)) from None
        return None if message is KEEP_ALIVE else message

    def close(self) -> None:
        """Close the connection."""
        if self.connection:
            self.connection.close()

    def _data_received_at(self) -> float:
        """Estimate when the last data arrived.

        The data may have been buffered while the process was suspended.
        """
        assert self.connection
        return self.loop.now() - (self.connection.stream.seconds_since_receive() or self.loop.unread_age())
