"""What every entrance of the umpire does alike: relays by the pool, and answering what it holds before it leaves."""

from __future__ import annotations

from stepsail.charter import Orders
from stepsail.interface import ServerHandle
from stepsail.loop import Loop, Task
from stepsail.umpire.door import Door
from stepsail.umpire.host import Held, Host, Log
from stepsail.umpire.nodes import Nodes

LOOK = 0.02  # s between looks whether all that was held is answered


class Serving:
    """The part of an umpire's life that its door, host and pool share; votes and lists are each entrance's own."""

    loop: Loop
    orders: Orders
    log: Log
    host: Host
    nodes: Nodes
    door: Door

    def relay(self, held: Held, server: ServerHandle, until: float) -> Task:
        return self.nodes.relay(held, server, until)

    def probe(self, server: ServerHandle) -> None:
        self.nodes.probe(server)

    def let_go(self, server: ServerHandle) -> None:
        self.nodes.let_go(server)

    def answer_held(self) -> bool:
        """Wait until all that is held is answered and every client gone; whether that was in time."""
        open_streams = self.door.listener.open if self.door.listener else {}
        with self.loop.timeout(self.orders.leave_within) as scope:
            while open_streams or any(not h.closed for h in self.host.held.values()):
                self.loop.sleep(LOOK)
        return not scope.expired

    def tell_left(self) -> None:
        left = sum(not h.closed for h in self.host.held.values())
        self.log.info("left", taken=self.host.taken, unanswered=left, **self.host.counts)
