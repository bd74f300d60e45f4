"""The interface between a driver and the waits it ends, and the base class of every driver's ports."""

from __future__ import annotations

from typing import Any, Protocol

from stepsail.loop.errors import Closed


class Wakeable(Protocol):
    """A wait that can be ended once, with a value or with an error."""

    def wake(self, value: Any = None) -> bool:
        """End the wait with a value; return False if it had already ended."""

    def throw(self, error: BaseException) -> bool:
        """End the wait with an error; return False if it had already ended."""


class WaitingPort:
    """Base class of ports: keeps the closed flag and at most one waiter per direction."""

    def __init__(self) -> None:
        self.closed = False
        self.waiters: dict[int, Wakeable] = {}

    def add_waiter(self, direction: int, waiter: Wakeable) -> None:
        """Register a waiter for a direction.

        Raises:
            Closed: The port is closed.
            RuntimeError: The direction has a waiter already, which is a bug in the caller.
        """
        if self.closed:
            raise Closed("the descriptor is closed")
        if direction in self.waiters:
            raise RuntimeError("another task already waits on this descriptor in the same direction")
        self.waiters[direction] = waiter

    def fail_waiters(self) -> None:
        """Raise Closed in every task that waits on the port, which was just closed."""
        for waiter in self.waiters.values():
            waiter.throw(Closed("the descriptor was closed while a task waited on it"))
        self.waiters.clear()
