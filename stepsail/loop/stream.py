"""Byte streams, listeners and datagrams on a loop; every call takes its own bound in seconds."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from stepsail.loop.driver import READ, WRITE, Address, Port
from stepsail.loop.errors import Closed, TimedOut
from stepsail.loop.scheduler import Loop
from stepsail.loop.tasks import Waiter

MAX_READ = 65536  # bytes in one read
ACCEPT_PAUSE = (
    0.05  # s after an accept that failed for want of descriptors or memory; without it accept spins
)
BACKLOG = 1024  # connections that the system holds for accept
HANDSHAKE_TIME = 0.01  # s for handshakes under way to end: some round trips to a client
ROOM_CHECK_INTERVAL = 0.02  # s between looks whether a connection can make room, where none ends by itself


class Stream:
    """A connected byte stream. `sent` counts the bytes that the system took."""

    def __init__(self, loop: Loop, port: Port, peer: Address) -> None:
        self.loop = loop
        self.port = port
        self.peer = peer
        self.sent = 0

    @classmethod
    def connect(cls, loop: Loop, to: Address, within: float, source: Address | None = None) -> Stream:
        """A stream to an address.

        Raises:
            OSError: the connection could not be made; nothing was sent.
            TimedOut: it was not made in time; nothing was sent.
        """
        port = loop.driver.connect(to, source)
        try:
            loop.wait_ready(port, WRITE, f"a connection to {to[0]}:{to[1]}", within)
            port.connected()
        except BaseException:
            loop.driver.close(port)
            raise
        return cls(loop, port, to)

    def read(self, within: float | None = None, most: int = MAX_READ) -> bytes:
        """Some bytes, or none at the end of the stream. Raises TimedOut, Closed, OSError."""
        if self.port.closed:
            raise Closed("the stream is closed")
        while (data := self.port.recv(most)) is None:
            self.loop.wait_ready(self.port, READ, f"bytes from {self.peer[0]}:{self.peer[1]}", within)
            if self.port.closed:
                raise Closed("the stream was closed")
        self.loop.checkpoint()
        return data

    def read_now(self, most: int = MAX_READ) -> bytes | None:
        """What has come in already; None if nothing has, empty at the end of the stream."""
        return self.port.recv(most)

    def write(self, data: bytes, within: float | None = None) -> None:
        """Write all of it, or raise TimedOut, Closed or OSError; `sent` tells how much left this process."""
        rest = memoryview(data)
        while rest:
            if self.port.closed:
                raise Closed("the stream is closed")
            count = self.port.send(rest)
            if count is None:
                self.loop.wait_ready(self.port, WRITE, f"room towards {self.peer[0]}:{self.peer[1]}", within)
                continue
            self.sent += count
            rest = rest[count:]

    def seconds_since_receive(self) -> float:
        """Seconds since the last bytes arrived, read or not; 0 where the system does not tell."""
        try:
            return self.port.seconds_since_receive()
        except OSError:
            return 0.0

    def write_some(self, data: memoryview, within: float) -> int:
        """Send what fits now; if nothing does, wait until some does or the far end speaks, then return 0.

        For a sender that must hear an answer which comes before all is sent.
        """
        if self.port.closed:
            raise Closed("the stream is closed")
        count = self.port.send(data)
        if count is None:
            waiter = self.loop.waiter()
            self.loop.driver.add_waiter(self.port, WRITE, waiter)
            try:
                self.wake_on_read(waiter)
                self.loop.park(waiter, f"room towards or bytes from {self.peer[0]}:{self.peer[1]}", within)
            finally:
                self.loop.driver.remove_waiter(self.port, WRITE, waiter)
                self.cancel_wake_on_read(waiter)
            return 0
        self.sent += count
        return count

    def wake_on_read(self, waiter: Waiter) -> None:
        """Wake this waiter with READ when bytes or the end arrive; for a task that waits on two things."""
        self.loop.driver.add_waiter(self.port, READ, waiter)

    def cancel_wake_on_read(self, waiter: Waiter) -> None:
        """Take back `arm`."""
        self.loop.driver.remove_waiter(self.port, READ, waiter)

    def readable(self) -> bool:
        """Whether bytes, the end or an error are here, so that a close now would drop something."""
        return self.loop.driver.readable(self.port)

    def peer_closed(self) -> bool:
        """Whether the far end has closed, also behind bytes that lie unread."""
        return self.loop.driver.peer_closed(self.port)

    def half_close(self) -> None:
        """Send the end of the stream; reading goes on."""
        self.port.half_close()

    def abort(self) -> None:
        """Close with a reset."""
        if not self.port.closed:
            self.port.abort()
        self.close()

    def close(self) -> None:
        """Close; where bytes lie unread the far end sees a reset."""
        self.loop.driver.close(self.port)


class Listener:
    """Accepts streams and gives each to a task.

    Bound: `most` open at once; more wait in the backlog, unless `make_room` closes one of them.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        most: int,
        backlog: int = BACKLOG,
        make_room: Callable[[], bool] | None = None,
    ) -> None:
        self.make_room = make_room
        self.loop = loop
        self.port = loop.driver.listen(address, backlog)
        self.most = most
        self.address = self.port.name()
        self.open: dict[Stream, None] = {}  # in the order they came, so that runs from one seed are the same
        self.room: Waiter | None = None  # the accepting task, while it waits for one of them to end
        self.handle: Callable[[Stream], Any] = _ignore
        self.name = "client"
        self.finishing = False

    def serve(self, handle: Callable[[Stream], Any], name: str) -> None:
        """Accept until closed; each connection is handled by a task of its own."""
        self.handle = handle
        self.name = name
        while not self.port.closed:
            if len(self.open) >= self.most:
                self._wait_for_room()
                continue
            try:
                took = self._accept()
            except OSError as error:
                self._wait_for_resources(error)
                continue
            if took:
                self.loop.checkpoint()
                continue
            try:
                self.loop.wait_ready(self.port, READ, "a connection")
            except Closed:
                return

    def _wait_for_room(self) -> None:
        # A connection is closed only for another one that waits.
        if self.make_room and self.loop.driver.readable(self.port) and self.make_room():
            self.loop.yield_turn()  # the one that was closed ends first
            return
        self.room = self.loop.waiter()
        with contextlib.suppress(TimedOut):  # whoever may make room may do so later
            interval = ROOM_CHECK_INTERVAL if self.make_room else None
            self.loop.park(self.room, f"one of {self.most} connections to end", interval)

    def _accept(self) -> bool:
        """Take one that waits, if one does. Raises OSError."""
        taken = self.port.accept()
        if taken is None:
            return False
        stream = Stream(self.loop, *taken)
        self.open[stream] = None
        self.loop.spawn(self._one, self.handle, stream, name=f"{self.name} {stream.peer[0]}:{stream.peer[1]}")
        return True

    def finish(self) -> bool:
        """Begin to close, after all that the system has accepted or is about to; whether it is closed by now.

        A close resets the connections that wait in the backlog, with the complete requests that they may hold. Accept
        and close are two calls, so new connections are refused before the last one is accepted.
        """
        if not self.finishing:
            self.finishing = True
            self._stop_handshakes()
            self.loop.spawn(self._accept_rest, name=f"close the listener for {self.name}")
        return self.port.closed

    def _stop_handshakes(self) -> None:
        if self.port.closed:
            return
        try:
            self.port.stop_handshakes()
        except OSError as error:  # one that comes between the last accept and the close is reset
            self.loop.report("handshakes_not_stopped", error=str(error))

    def _accept_rest(self) -> None:
        self.loop.sleep(HANDSHAKE_TIME)
        while not self._accept_backlog():
            self.loop.sleep(ROOM_CHECK_INTERVAL)
        self.close()

    def _accept_backlog(self) -> bool:
        """Accept all that waits; False while there is no room for one."""
        while not self.port.closed:
            if len(self.open) >= self.most:
                return False
            try:
                if not self._accept():
                    return True
            except OSError:
                return False
        return True

    def _wait_for_resources(self, error: OSError) -> None:
        """Pause after an accept that failed; the connection waits in the backlog with what it holds."""
        if self.port.closed:
            return
        self.loop.report("accept_failed", error=str(error), open=len(self.open))
        if self.make_room:
            self.make_room()
        self.loop.sleep(ACCEPT_PAUSE)

    def _one(self, handle: Callable[[Stream], Any], stream: Stream) -> None:
        try:
            handle(stream)
        except (OSError, Closed):
            pass  # the far end's doing; the handler has told whoever must know
        finally:
            stream.close()
            self.open.pop(stream, None)
            if self.room:
                self.room.wake()

    def close(self) -> None:
        """Accept nothing more."""
        self.loop.driver.close(self.port)

    def drop(self) -> None:
        """Stop at once: the listener is closed and every stream is reset."""
        self.close()
        for stream in tuple(self.open):
            stream.abort()


def _ignore(stream: Stream) -> None:
    """Handle no stream: `serve` has not begun."""


class Datagrams:
    """A datagram socket; a send that would wait is dropped."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop = loop
        self.port = loop.driver.datagrams(address)
        self.address = self.port.name()

    def send(self, data: bytes, to: Address) -> bool:
        """Send one datagram; whether the system took it."""
        return not self.port.closed and self.port.sendto(data, to) is not None

    def receive(self, within: float | None = None, most: int = MAX_READ) -> tuple[bytes, Address]:
        """The next datagram and its sender. Raises TimedOut, Closed."""
        while (found := self.port.recvfrom(most)) is None:
            self.loop.wait_ready(self.port, READ, "a datagram", within)
        self.loop.checkpoint()
        return found

    def close(self) -> None:
        """Close the socket."""
        self.loop.driver.close(self.port)
