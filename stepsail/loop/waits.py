"""What the ports of every driver have: whether they are closed, and at most one waiter for each direction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.loop.errors import Closed

if TYPE_CHECKING:
    from stepsail.loop.hub import Waiter


class Waits:
    """The waiting part of a port."""

    def __init__(self) -> None:
        self.closed = False
        self.waiters: dict[int, Waiter] = {}

    def admit(self, direction: int, waiter: Waiter) -> None:
        """Raises Closed; RuntimeError where somebody waits for that already, which is an error of the caller."""
        if self.closed:
            raise Closed("the descriptor is closed")
        if direction in self.waiters:
            raise RuntimeError("two tasks wait on one descriptor for the same thing")
        self.waiters[direction] = waiter

    def dismiss(self) -> None:
        """The port is closed: whoever waits is told so."""
        for waiter in self.waiters.values():
            waiter.throw(Closed("the descriptor was closed while waited on"))
        self.waiters.clear()
