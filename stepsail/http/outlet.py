"""The asking end of a connection, and how far an exchange got: what an ending is told by."""

from __future__ import annotations

from dataclasses import dataclass

from stepsail.http.message import BadMessage, Bounds, Response
from stepsail.http.reader import Reader
from stepsail.loop import Loop, Stream


@dataclass(slots=True)
class Progress:
    """Bytes of a request that this process's system took, of how many, and bytes of its answer."""

    written: int = 0
    whole: int = 0
    read: int = 0


class Outlet:
    """One connection to a server, one exchange at a time."""

    def __init__(self, loop: Loop, stream: Stream, bounds: Bounds) -> None:
        self.loop, self.stream, self.bounds = loop, stream, bounds
        self.reader = Reader(False, bounds)
        self.used_at, self.fresh, self.usable = loop.now(), True, True

    def stale(self) -> bool:
        """Whether an idle connection has ended, or has said something that nobody asked for."""
        try:
            return self.stream.read_now() is not None
        except OSError:
            return True

    def exchange(self, data: bytes, until: float, progress: Progress, no_body: bool = False) -> Response:
        """Send a request and read its answer. Raises TimedOut at `until`, OSError, BadMessage, Closed.

        An answer that comes before the request was all sent counts: writing and reading take turns.
        """
        loop, stream, reader = self.loop, self.stream, self.reader
        self.fresh, self.usable = False, False
        before, progress.whole = stream.sent, len(data)
        reader.reset(no_body)
        try:
            try:
                self._send(data, until, progress)
            except (BrokenPipeError, ConnectionResetError):
                if stream.sent == before:
                    raise
                # The server closed while we wrote: its answer may still be there to read.
            finally:
                progress.written = stream.sent - before
            while True:
                while not reader.whole:
                    part = stream.read(max(0.0, until - loop.now()))
                    progress.read += len(part)
                    if part:
                        reader.feed(part)
                    else:
                        reader.end()
                if reader.status >= 200:
                    break
                if reader.status == 101:
                    raise BadMessage(400, "an upgrade that nobody asked for")
                reader.reset(no_body)
                reader.feed(b"")
        finally:
            self.used_at = loop.now()
        answer = reader.response_read()
        # Bytes behind the answer belong to nothing that was asked: such a connection is not used again.
        self.usable = answer.keep_alive and not reader.buffer and progress.written == progress.whole
        return answer

    def _send(self, data: bytes, until: float, progress: Progress) -> None:
        """Send until all is sent or the answer is there, whichever is first."""
        rest = memoryview(data)
        while rest and not self.reader.whole:
            sent = self.stream.write_some(rest, max(0.0, until - self.loop.now()))
            rest = rest[sent:]
            part = None if sent else self.stream.read_now()
            if part == b"":
                return  # closed at its end: what it said before that is read next
            if part:
                progress.read += len(part)
                self.reader.feed(part)

    def close(self) -> None:
        self.usable = False
        self.stream.close()

    def abort(self) -> None:
        self.usable = False
        self.stream.abort()
