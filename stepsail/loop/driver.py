"""What a loop asks of the world below it. Nothing above the loop may notice which driver it runs on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stepsail.loop.hub import Waiter

READ, WRITE = 1, 2
Address = tuple[str, int]


class Port(Protocol):
    """One non-blocking end. Calls return None where they would have to wait; errors are OSError."""

    closed: bool

    def accept(self) -> tuple[Port, Address] | None: ...

    def recv(self, most: int) -> bytes | None: ...

    def send(self, data: bytes | memoryview) -> int | None: ...

    def recvfrom(self, most: int) -> tuple[bytes, Address] | None: ...

    def sendto(self, data: bytes, to: Address) -> int | None: ...

    def connected(self) -> None:
        """Raise what became of a connect, once the port is writable."""

    def half_close(self) -> None: ...

    def abort(self) -> None:
        """Close so that the other end sees a reset."""

    def name(self) -> Address: ...

    def waited(self) -> float:
        """Seconds since the last bytes arrived here, read or not: what a pause of this process hides."""


class Driver(Protocol):
    """Clock in seconds, readiness, and the making of ports."""

    def now(self) -> float: ...

    def wall(self) -> float:
        """Seconds since 1970 as the system has them: may jump either way, and serves to tell starts apart only."""

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the time is over, and wake the waiters of ready ports."""

    def want(self, port: Port, direction: int, waiter: Waiter) -> None:
        """One waiter per port and direction; a second one is an error of the caller."""

    def unwant(self, port: Port, direction: int, waiter: Waiter) -> None: ...

    def readable(self, port: Port) -> bool:
        """Whether a read, or an accept, would give something now: bytes, a connection, the end or an error."""

    def hung_up(self, port: Port) -> bool:
        """Whether the far end has closed or is gone, also where bytes of before lie unread."""

    def close(self, port: Port) -> None:
        """Close a port and wake whoever waits on it; its number may be used again at once."""

    def listen(self, address: Address, backlog: int) -> Port: ...

    def connect(self, address: Address, source: Address | None = None) -> Port:
        """Begin to connect; the port turns writable when it is decided."""

    def datagrams(self, address: Address) -> Port: ...

    def on_signal(self, number: int, call: Callable[[], object]) -> None: ...

    def post(self, call: Callable[[], object]) -> None:
        """Run a call on the loop, between its rounds; the one thing another thread may ask."""

    def aside(self, call: Callable[[], object]) -> None:
        """Run a call that may block, such as a write to a disk, where it holds up no task; one after another, in
        order. It must not fail, touches nothing of the loop's, and says what came of it by `post`."""

    def shutdown(self) -> None: ...
