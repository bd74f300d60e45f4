"""The driver for real sockets: it uses `select.poll`, the monotonic clock and a wakeup pipe for signals."""

from __future__ import annotations

import contextlib
import errno
import os
import queue
import select
import signal
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import cast

from stepsail.loop.driver import READ, WRITE, Address, Port
from stepsail.loop.socket_port import OUT_OF_MEMORY, WOULD_BLOCK, SocketPort
from stepsail.loop.waiting import Wakeable

POLL_EVENTS = {READ: select.POLLIN | select.POLLPRI, WRITE: select.POLLOUT}
# These events wake every waiter; a reader gets the unread data first.
HANGUP_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL
# Seconds to wait after a poll that failed; without this pause the loop would retry in a busy loop.
POLL_RETRY_PAUSE = 0.005


class PollDriver:
    """Drives a loop with real sockets.

    Bounds: at most one poller registration per open socket, and one waiter per socket and direction.
    """

    def __init__(self) -> None:
        self.poller = select.poll()
        # Maps file descriptors to the ports registered with the poller.
        self.ports: dict[int, SocketPort] = {}
        self.signal_callbacks: dict[int, Callable[[], object]] = {}
        # This is a pipe rather than a socket pair because a platform may support only IPv4 sockets.
        self.wakeup_read_fd, self.wakeup_write_fd = os.pipe()
        os.set_blocking(self.wakeup_write_fd, False)
        os.set_blocking(self.wakeup_read_fd, False)
        self.poller.register(self.wakeup_read_fd, select.POLLIN)
        self.previous_wakeup_fd: int | None = None
        self.posted_callbacks: deque[Callable[[], object]] = deque()
        self.blocking_functions: queue.SimpleQueue[Callable[[], object] | None] | None = None

    now = staticmethod(time.monotonic)
    wall_clock = staticmethod(time.time)

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the timeout expires, then wake the waiters of all ready ports."""
        # Rounded up to whole milliseconds: after a poll that ends a fraction early, the loop would spin until
        # the timer is due.
        for fd, revents in self._poll_ready(None if timeout is None else -(-timeout * 1000 // 1)):
            if fd == self.wakeup_read_fd:
                self._run_posted_callbacks()
                continue
            port = self.ports.get(fd)
            if port is None:
                continue
            if revents & select.POLLNVAL:
                self.close(cast(Port, port))
                continue
            waiters = port.waiters
            woken = False
            for direction in tuple(waiters):
                if revents & (POLL_EVENTS[direction] | HANGUP_EVENTS):
                    woken = waiters.pop(direction).wake(direction)
            if not woken:
                # No task waits for this event. Unless the registration is updated, a peer that has hung up
                # would end every poll at once. After a wake-up the port stays registered, because the same
                # wait usually follows, and each change of a registration makes `select.poll` rebuild its
                # table for the next poll.
                self._register(port)

    def _poll_ready(self, milliseconds: float | None) -> list[tuple[int, int]]:
        """Return the ready descriptors and their events; none if poll was interrupted or out of memory."""
        try:
            return self.poller.poll(milliseconds)
        except OSError as error:
            if error.errno not in WOULD_BLOCK and error.errno not in OUT_OF_MEMORY:
                raise
            time.sleep(POLL_RETRY_PAUSE)
            return []

    def _run_posted_callbacks(self) -> None:
        with contextlib.suppress(OSError):
            while numbers := os.read(self.wakeup_read_fd, 64):
                for number in numbers:
                    if number in self.signal_callbacks:
                        self.signal_callbacks[number]()
        while self.posted_callbacks:
            self.posted_callbacks.popleft()()

    def call_threadsafe(self, callback: Callable[[], object]) -> None:
        """Run a callback between rounds of the loop; may be called from any thread.

        The queue has no bound of its own: callers limit how many callbacks they have outstanding.
        """
        self.posted_callbacks.append(callback)
        # If the pipe is full, this write fails, but the bytes already in the pipe wake the loop.
        with contextlib.suppress(BlockingIOError, OSError):
            os.write(self.wakeup_write_fd, b"\0")

    def run_blocking(self, function: Callable[[], object]) -> None:
        """Run a function that may block, on a thread that is started at the first call.

        The queue has no bound of its own: callers limit how many functions they have outstanding.
        """
        if self.blocking_functions is None:
            self.blocking_functions = queue.SimpleQueue()
            thread_args = (self.blocking_functions,)
            thread = threading.Thread(
                target=self._run_blocking_functions, args=thread_args, name="aside", daemon=True
            )
            thread.start()
        self.blocking_functions.put(function)

    @staticmethod
    def _run_blocking_functions(functions: queue.SimpleQueue[Callable[[], object] | None]) -> None:
        while function := functions.get():
            function()

    def _register(self, port: SocketPort) -> None:
        """Register the port for the directions that have a waiter, or unregister it if none has."""
        mask = sum(POLL_EVENTS[d] for d in port.waiters)
        if mask == port.mask:
            return
        if not mask:
            self.poller.unregister(port.fd)
            self.ports.pop(port.fd, None)
        else:
            self.poller.register(port.fd, mask)
            self.ports[port.fd] = port
        port.mask = mask

    def add_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Register a waiter to be woken when the port is ready."""
        assert isinstance(port, SocketPort)
        port.add_waiter(direction, waiter)
        if not port.mask & POLL_EVENTS[direction]:
            self._register(port)

    def remove_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Remove a waiter.

        The port stays registered with the poller until a poll reports an event that no waiter is waiting for.
        """
        assert isinstance(port, SocketPort)
        if not port.closed and port.waiters.get(direction) is waiter:
            del port.waiters[direction]

    def readable(self, port: Port) -> bool:
        """Return whether a read or an accept would return without blocking; True if the poll fails."""
        # If the poll fails, unread bytes may be pending, and a port must not be closed over unread bytes.
        return self._has_event(port, POLL_EVENTS[READ] | HANGUP_EVENTS, on_poll_error=True)

    def peer_closed(self, port: Port) -> bool:
        """Return whether the peer has closed its end, even if earlier bytes are still unread."""
        return self._has_event(port, HANGUP_EVENTS | select.POLLRDHUP, on_poll_error=False)

    @staticmethod
    def _has_event(port: Port, mask: int, on_poll_error: bool) -> bool:
        """Return whether one of the events in the mask is pending, or `on_poll_error` if the poll fails."""
        assert isinstance(port, SocketPort)
        if port.closed:
            return True
        poller = select.poll()
        poller.register(port.fd, mask)
        try:
            return bool(poller.poll(0))
        except OSError:
            return on_poll_error

    def close(self, port: Port) -> None:
        """Close a port and raise Closed in the tasks that wait on it."""
        assert isinstance(port, SocketPort)
        if port.closed:
            return
        port.closed = True
        # The port is unregistered before the next open can reuse the descriptor's number.
        if port.mask:
            self.poller.unregister(port.fd)
            self.ports.pop(port.fd, None)
        with contextlib.suppress(OSError):  # the descriptor is closed even if close fails (close(2))
            port.sock.close()
        port.fail_waiters()

    def listen(self, address: Address, backlog: int) -> Port:
        """Create a port that accepts connections. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return SocketPort(sock)

    def connect(self, address: Address, source: Address | None = None) -> Port:
        """Begin to connect; the port becomes writable when that has succeeded or failed. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        port = SocketPort(sock)
        try:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if source:
                sock.bind(source)
            code = sock.connect_ex(address)
        except OSError:
            sock.close()
            raise
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # an interrupted connect continues (connect(2))
            sock.close()
            raise OSError(code, os.strerror(code))
        return port

    def datagrams(self, address: Address) -> Port:
        """Create a port that sends and receives datagrams. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return SocketPort(sock)

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Run a callback, between rounds of the loop, each time the signal arrives."""
        if self.previous_wakeup_fd is None:
            self.previous_wakeup_fd = signal.set_wakeup_fd(self.wakeup_write_fd, warn_on_full_buffer=False)
        self.signal_callbacks[number] = callback
        signal.signal(number, lambda *_: None)  # the signal's number in the wakeup pipe runs the callback

    def shutdown(self) -> None:
        """Close everything that is open and restore the default signal handlers."""
        if self.previous_wakeup_fd is not None:
            signal.set_wakeup_fd(self.previous_wakeup_fd)
            for number in self.signal_callbacks:
                signal.signal(number, signal.SIG_DFL)
        for port in list(self.ports.values()):
            self.close(cast(Port, port))
        if self.blocking_functions is not None:
            self.blocking_functions.put(None)
        # A late `call_threadsafe` of another thread must not write to a file that reuses the descriptor.
        fds, self.wakeup_write_fd, self.wakeup_read_fd = (self.wakeup_write_fd, self.wakeup_read_fd), -1, -1
        for fd in fds:
            os.close(fd)
