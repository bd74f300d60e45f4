"""The interface that the loop needs from its platform: clock, sockets and readiness.

Code that runs on the loop must not be able to detect which driver is in use.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stepsail.loop.waiting import Wakeable

# Direction of a wait that ends when bytes, a connection, the end of the stream or an error arrive.
READ = 1
# Direction of a wait that ends when the send buffer has room or a connect has succeeded or failed.
WRITE = 2
Address = tuple[str, int]


class Port(Protocol):
    """A non-blocking socket. Calls return None where they would block; errors are OSError."""

    closed: bool

    def accept(self) -> tuple[Port, Address] | None:
        """Return the next connection of a listening port and the address of its peer."""

    def stop_handshakes(self) -> None:
        """Refuse new connections on a listening port; `accept` still returns those whose handshake has begun.

        Raises:
            OSError: The system does not support this.
        """

    def recv(self, max_bytes: int) -> bytes | None:
        """Return received bytes, or b"" at the end of the stream."""

    def send(self, data: bytes | memoryview) -> int | None:
        """Send bytes and return how many of them the system accepted."""

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address] | None:
        """Return a datagram and its sender's address."""

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram and return its size."""

    def raise_connect_error(self) -> None:
        """Raise OSError if the connect failed; to be called once the port is writable."""

    def half_close(self) -> None:
        """Shut down the sending direction; the port can still receive."""

    def abort(self) -> None:
        """Make the following close send a reset to the peer."""

    def local_address(self) -> Address:
        """Return the address that the port is bound to."""

    def seconds_since_receive(self) -> float:
        """Return the seconds since the last bytes arrived on the host, whether or not they have been read.

        Unlike the time of the read, this includes the time during which this process was paused.
        """


class Driver(Protocol):
    """Provides the clock, waits for readiness, and creates ports."""

    def now(self) -> float:
        """Return the monotonic clock, in seconds."""

    def wall_clock(self) -> float:
        """Return the system's time in seconds since 1970.

        It may jump forwards or backwards, so it is only used to distinguish starts of the process.
        """

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the timeout expires, then wake the waiters of all ready ports."""

    def add_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Register a waiter to be woken when the port is ready.

        A port has at most one waiter per direction; registering a second one is a bug in the caller.
        """

    def remove_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Remove a waiter if it is still registered."""

    def readable(self, port: Port) -> bool:
        """Return whether a read or an accept would return without blocking.

        That is so if bytes, a connection, the end of the stream or an error are pending.
        """

    def peer_closed(self, port: Port) -> bool:
        """Return whether the peer has closed its end or is gone, even if earlier bytes are still unread."""

    def close(self, port: Port) -> None:
        """Close a port and raise Closed in the tasks that wait on it.

        The system may reuse the port's descriptor number at once.
        """

    def listen(self, address: Address, backlog: int) -> Port:
        """Create a port that accepts connections."""

    def connect(self, address: Address, source: Address | None = None) -> Port:
        """Begin to connect; the port becomes writable when the connect has succeeded or failed."""

    def datagrams(self, address: Address) -> Port:
        """Create a port that sends and receives datagrams."""

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Run a callback, between rounds of the loop, each time the signal arrives."""

    def call_threadsafe(self, callback: Callable[[], object]) -> None:
        """Run a callback between rounds of the loop; the only method that other threads may call."""

    def run_blocking(self, function: Callable[[], object]) -> None:
        """Run a function that may block, such as a write to disk, on a thread where it delays no task.

        Functions run one at a time, in call order. Such a function must not raise and must not use the loop
        or its objects; it reports its result by `call_threadsafe`.
        """

    def shutdown(self) -> None:
        """Close everything that is open and restore the default signal handlers."""
