"""Streams the rest of a body that is too large to be buffered, at either end of a connection."""

from __future__ import annotations

from collections.abc import Callable

from stepsail.http.reader import MessageReader
from stepsail.loop import Stream


class IncomingBodyStream:
    """Implements `message.BodyStream` for the message that a reader is reading from a stream.

    Once reading has begun, only one recipient can get the body.
    """

    def __init__(
        self, stream: Stream, reader: MessageReader, on_end: Callable[[], object] | None = None
    ) -> None:
        """Create a stream for the rest of a body; `on_end` is called once its end was read."""
        self.read_started = False
        self.done = False
        self._stream = stream
        self._reader = reader
        self._on_end = on_end

    def read_part(self, timeout: float) -> bytes:
        """Return the next part of the body, which is empty at the end.

        Raises:
            TimedOut: No bytes arrived within `timeout` seconds.
            OSError: The connection failed.
            Closed: The connection was closed by this process.
            InvalidMessage: The rest of the message is invalid or truncated.
        """
        reader = self._reader
        self.read_started = True
        while not reader.body and not reader.complete:
            data = self._stream.read(timeout)
            if data:
                reader.feed(data)
            else:
                reader.end()
        part = reader.take_body()
        if not part:
            self.done = True
            if self._on_end:
                self._on_end()
        return part
