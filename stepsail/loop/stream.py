"""Byte streams, listeners and datagram sockets for tasks; calls that wait take a timeout in seconds."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from stepsail.loop.driver import READ, WRITE, Address, Port
from stepsail.loop.errors import Closed, TimedOut
from stepsail.loop.scheduler import Loop
from stepsail.loop.tasks import Waiter

MAX_READ = 65536  # bytes per read
# Seconds to wait after an accept that failed because descriptors or memory ran out. Without this pause the
# accepting task would retry in a busy loop.
ACCEPT_PAUSE = 0.05
BACKLOG = 1024  # connections that the system queues for accept
# Seconds allowed for the completion of handshakes that have begun: a few round trips to a client.
HANDSHAKE_TIME = 0.01
# Seconds between attempts to make room for a waiting connection by closing an open one, while no open
# connection ends by itself.
ROOM_CHECK_INTERVAL = 0.02


class Stream:
    """A connected byte stream; `sent` counts the bytes that the system has accepted for sending."""

    def __init__(self, loop: Loop, port: Port, peer: Address) -> None:
        self.loop = loop
        self.port = port
        self.peer = peer
        self.sent = 0

    @classmethod
    def connect(cls, loop: Loop, to: Address, timeout: float, source: Address | None = None) -> Stream:
        """Connect to an address and return the stream.

        Raises:
            OSError: The connect failed; nothing was sent.
            TimedOut: The connect took longer than `timeout` seconds; nothing was sent.
        """
        port = loop.driver.connect(to, source)
        try:
            loop.wait_ready(port, WRITE, f"a connection to {to[0]}:{to[1]}", timeout)
            port.raise_connect_error()
        except BaseException:
            loop.driver.close(port)
            raise
        return cls(loop, port, to)

    def read(self, timeout: float | None = None, max_bytes: int = MAX_READ) -> bytes:
        """Wait for bytes and return them, b"" at the end of the stream. Raises TimedOut, Closed, OSError."""
        if self.port.closed:
            raise Closed("the stream is closed")
        while (data := self.port.recv(max_bytes)) is None:
            self.loop.wait_ready(self.port, READ, f"bytes from {self.peer[0]}:{self.peer[1]}", timeout)
            if self.port.closed:
                raise Closed("the stream was closed")
        self.loop.checkpoint()
        return data

    def wait_readable(self, timeout: float | None = None) -> None:
        """Wait until there are bytes, the end of the stream or an error to read. Raises TimedOut, Closed."""
        self.loop.wait_ready(self.port, READ, f"bytes from {self.peer[0]}:{self.peer[1]}", timeout)

    def read_now(self, max_bytes: int = MAX_READ) -> bytes | None:
        """Return bytes that have arrived already; None if there are none, b"" at the end of the stream."""
        return self.port.recv(max_bytes)

    def write_now(self, data: bytes) -> int:
        """Write as many bytes as the system takes without a wait; return how many. Raises Closed, OSError."""
        if self.port.closed:
            raise Closed("the stream is closed")
        count = self.port.send(data) or 0
        self.sent += count
        return count

    def write(self, data: bytes | memoryview, timeout: float | None = None) -> None:
        """Write all bytes. Raises TimedOut, Closed, OSError; `sent` includes the bytes of a partial write."""
        rest = memoryview(data)
        while rest:
            if self.port.closed:
                raise Closed("the stream is closed")
            count = self.port.send(rest)
            if count is None:
                self.loop.wait_ready(
                    self.port, WRITE, f"send buffer space to {self.peer[0]}:{self.peer[1]}", timeout
                )
                continue
            self.sent += count
            rest = rest[count:]

    def seconds_since_receive(self) -> float:
        """Return the seconds since the last bytes arrived, even unread ones; 0 if the system cannot tell."""
        try:
            return self.port.seconds_since_receive()
        except OSError:
            return 0.0

    def write_some(self, data: memoryview, timeout: float) -> int:
        """Send as many bytes as fit into the send buffer, and return how many.

        If none fit, wait until there is space or the peer has sent something, then return 0. This lets a
        sender react to a response that arrives before the whole request is sent.
        """
        if self.port.closed:
            raise Closed("the stream is closed")
        count = self.port.send(data)
        if count is None:
            waiter = self.loop.waiter()
            self.loop.driver.add_waiter(self.port, WRITE, waiter)
            try:
                self.wake_on_read(waiter)
                self.loop.park(
                    waiter, f"send buffer space to or bytes from {self.peer[0]}:{self.peer[1]}", timeout
                )
            finally:
                self.loop.driver.remove_waiter(self.port, WRITE, waiter)
                self.cancel_wake_on_read(waiter)
            return 0
        self.sent += count
        return count

    def wake_on_read(self, waiter: Waiter) -> None:
        """Also wake a waiter, with READ, when bytes or the end of the stream arrive.

        This lets a task wait for two events with one waiter.
        """
        self.loop.driver.add_waiter(self.port, READ, waiter)

    def cancel_wake_on_read(self, waiter: Waiter) -> None:
        """Undo `wake_on_read`."""
        self.loop.driver.remove_waiter(self.port, READ, waiter)

    def readable(self) -> bool:
        """Return whether bytes, the end of the stream or an error are pending, which a close would drop."""
        return self.loop.driver.readable(self.port)

    def peer_closed(self) -> bool:
        """Return whether the peer has closed its end, even if earlier bytes are still unread."""
        return self.loop.driver.peer_closed(self.port)

    def half_close(self) -> None:
        """Shut down the sending direction; the stream can still be read."""
        self.port.half_close()

    def abort(self) -> None:
        """Close the stream with a reset."""
        if not self.port.closed:
            self.port.abort()
        self.close()

    def close(self) -> None:
        """Close the stream; if bytes are unread, the peer receives a reset."""
        self.loop.driver.close(self.port)


class Listener:
    """Accepts streams and handles each in a task of its own.

    Bound: at most `max_connections` connections are open at once. Further connections wait in the backlog
    until an open connection ends or `make_room` closes one. `make_room` returns whether it closed one.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        max_connections: int,
        backlog: int = BACKLOG,
        make_room: Callable[[], bool] | None = None,
    ) -> None:
        self.make_room = make_room
        self.loop = loop
        self.port = loop.driver.listen(address, backlog)
        self.max_connections = max_connections
        self.address = self.port.local_address()
        # Kept in order of arrival, so that runs with the same seed are identical.
        self.open_streams: dict[Stream, None] = {}
        self.room_waiter: Waiter | None = None  # wakes the accepting task when a connection ends
        self.handle: Callable[[Stream], Any] = _ignore
        self.name = "client"
        self.closing_gracefully = False

    def serve(self, handle: Callable[[Stream], Any], name: str) -> None:
        """Accept connections until the listener is closed, and handle each in a task of its own."""
        self.handle = handle
        self.name = name
        while not self.port.closed:
            if len(self.open_streams) >= self.max_connections:
                self._wait_for_room()
                continue
            try:
                accepted = self._accept()
            except OSError as error:
                self._wait_for_resources(error)
                continue
            if accepted:
                self.loop.checkpoint()
                continue
            try:
                self.loop.wait_ready(self.port, READ, "a connection")
            except Closed:
                return

    def _wait_for_room(self) -> None:
        # An open connection is closed only if another one is waiting to be accepted.
        if self.make_room and self.loop.driver.readable(self.port) and self.make_room():
            self.loop.yield_turn()  # lets the task of the closed connection end
            return
        self.room_waiter = self.loop.waiter()
        with contextlib.suppress(TimedOut):  # `make_room` may succeed at a later attempt
            interval = ROOM_CHECK_INTERVAL if self.make_room else None
            self.loop.park(self.room_waiter, f"one of {self.max_connections} connections to end", interval)

    def _accept(self) -> bool:
        """Accept one connection and start its task; return False if none is waiting. Raises OSError."""
        connection = self.port.accept()
        if connection is None:
            return False
        stream = Stream(self.loop, *connection)
        self.open_streams[stream] = None
        self.loop.spawn(
            self._handle_stream, self.handle, stream, name=f"{self.name} {stream.peer[0]}:{stream.peer[1]}"
        )
        return True

    def close_gracefully(self) -> bool:
        """Close after accepting every connection whose handshake has begun; return whether that is done.

        Call it repeatedly: the first call starts a task that accepts the rest and then closes the listener.

        Closing a listener resets the connections in its backlog, with the complete requests that they may
        hold. Accept and close are separate calls, so new connections are refused before the last one is
        accepted.
        """
        if not self.closing_gracefully:
            self.closing_gracefully = True
            self._stop_handshakes()
            self.loop.spawn(self._accept_rest, name=f"close the listener for {self.name}")
        return self.port.closed

    def _stop_handshakes(self) -> None:
        if self.port.closed:
            return
        try:
            self.port.stop_handshakes()
        except OSError as error:  # connections made between the last accept and the close are reset
            self.loop.report("handshakes_not_stopped", error=str(error))

    def _accept_rest(self) -> None:
        self.loop.sleep(HANDSHAKE_TIME)
        while not self._accept_backlog():
            self.loop.sleep(ROOM_CHECK_INTERVAL)
        self.close()

    def _accept_backlog(self) -> bool:
        """Accept all connections in the backlog; return False if one is left that cannot be accepted now."""
        while not self.port.closed:
            if len(self.open_streams) >= self.max_connections:
                return False
            try:
                if not self._accept():
                    return True
            except OSError:
                return False
        return True

    def _wait_for_resources(self, error: OSError) -> None:
        """Pause after an accept that failed; the connection and its data remain in the backlog."""
        if self.port.closed:
            return
        self.loop.report("accept_failed", error=str(error), open=len(self.open_streams))
        if self.make_room:
            self.make_room()
        self.loop.sleep(ACCEPT_PAUSE)

    def _handle_stream(self, handle: Callable[[Stream], Any], stream: Stream) -> None:
        try:
            handle(stream)
        except (OSError, Closed):
            # The peer caused this error, and the handler has reported it where needed.
            pass
        finally:
            stream.close()
            self.open_streams.pop(stream, None)
            if self.room_waiter:
                self.room_waiter.wake()

    def close(self) -> None:
        """Close the listener; streams that are open stay open."""
        self.loop.driver.close(self.port)

    def drop(self) -> None:
        """Close the listener and reset all of its open streams."""
        self.close()
        for stream in tuple(self.open_streams):
            stream.abort()


def _ignore(stream: Stream) -> None:
    """Does nothing; it is the handler until `serve` is called."""


class Datagrams:
    """A datagram socket; a datagram is dropped if sending it would block."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop = loop
        self.port = loop.driver.datagrams(address)
        self.address = self.port.local_address()

    def send(self, data: bytes, to: Address) -> bool:
        """Send a datagram; return whether the system accepted it."""
        return not self.port.closed and self.port.sendto(data, to) is not None

    def receive(self, timeout: float | None = None, max_bytes: int = MAX_READ) -> tuple[bytes, Address]:
        """Wait for a datagram; return it and its sender's address. Raises TimedOut, Closed."""
        while (received := self.port.recvfrom(max_bytes)) is None:
            self.loop.wait_ready(self.port, READ, "a datagram", timeout)
        self.loop.checkpoint()
        return received

    def close(self) -> None:
        """Close the socket."""
        self.loop.driver.close(self.port)
