"""What a loop asks of the world below it. Nothing above the loop may notice which driver it runs on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stepsail.loop.waiting import Wakeable

READ = 1  # direction of a wait: bytes, a connection, the end or an error
WRITE = 2  # direction of a wait: room for bytes, or the end of connecting
Address = tuple[str, int]


class Port(Protocol):
    """One non-blocking end. Calls return None where they would have to wait; errors are OSError."""

    closed: bool

    def accept(self) -> tuple[Port, Address] | None:
        """The next connection of a listening port, and its far end."""

    def stop_handshakes(self) -> None:
        """Refuse new connections on a listening port; those being made can still be accepted.

        Raises OSError where the system cannot.
        """

    def recv(self, most: int) -> bytes | None:
        """Some bytes; none at the end of the stream."""

    def send(self, data: bytes | memoryview) -> int | None:
        """How many of the bytes the system took."""

    def recvfrom(self, most: int) -> tuple[bytes, Address] | None:
        """A datagram and its sender."""

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram."""

    def connected(self) -> None:
        """Raise what became of a connect, once the port is writable."""

    def half_close(self) -> None:
        """Send the end of the stream; reading goes on."""

    def abort(self) -> None:
        """Close so that the other end sees a reset."""

    def name(self) -> Address:
        """The address of this end."""

    def seconds_since_receive(self) -> float:
        """Seconds since the last bytes arrived here, read or not: what a pause of this process hides."""


class Driver(Protocol):
    """Clock in seconds, readiness, and the making of ports."""

    def now(self) -> float:
        """The monotonic clock."""

    def wall_clock(self) -> float:
        """Seconds since 1970 as the system has them: may jump either way, and serves to tell starts apart only."""

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the time is over, and wake the waiters of ready ports."""

    def add_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Wake a waiter when a port is ready. One a port and direction; a second one is an error of the caller."""

    def remove_waiter(self, port: Port, direction: int, waiter: Wakeable) -> None:
        """Forget a waiter, if it still waits."""

    def readable(self, port: Port) -> bool:
        """Whether a read, or an accept, would give something now: bytes, a connection, the end or an error."""

    def peer_closed(self, port: Port) -> bool:
        """Whether the far end has closed or is gone, also where bytes of before lie unread."""

    def close(self, port: Port) -> None:
        """Close a port and wake whoever waits on it; its number may be used again at once."""

    def listen(self, address: Address, backlog: int) -> Port:
        """A port that accepts connections."""

    def connect(self, address: Address, source: Address | None = None) -> Port:
        """Begin to connect; the port turns writable when it is decided."""

    def datagrams(self, address: Address) -> Port:
        """A port for datagrams."""

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Make a call, between rounds of the loop, at each signal of a number."""

    def call_threadsafe(self, call: Callable[[], object]) -> None:
        """Run a call on the loop, between its rounds; the one thing another thread may ask."""

    def run_blocking(self, call: Callable[[], object]) -> None:
        """Run a call that may block, such as a write to a disk, on a thread where it holds up no task.

        Calls run one after another, in order. Such a call must not fail, touches nothing of the loop's, and reports
        what came of it by `post`.
        """

    def shutdown(self) -> None:
        """Close what is open and give signals back to their defaults."""
