"""The listeners and datagram ports of a network in memory."""

from __future__ import annotations

from collections import deque

from stepsail.loop.driver import READ, Address
from stepsail.simulation.port import Port, PortOwner
from stepsail.simulation.stream_port import StreamPort


class ListenerPort(Port):
    """Accepts streams; beyond the backlog a connect waits for room, as SYNs are retransmitted."""

    def __init__(self, driver: PortOwner, address: Address, backlog: int) -> None:
        super().__init__(driver, address)
        self.backlog = backlog
        self.pending: deque[StreamPort] = deque()
        self.refuses_handshakes = False

    def ready(self, direction: int) -> bool:
        """Whether a wait in a direction would end now."""
        return bool(self.pending)

    def accept(self) -> tuple[Port, Address] | None:
        """The next connection, of a listener."""
        if not self.pending:
            return None
        port = self.pending.popleft()
        assert port.peer is not None
        self.driver.adopt(port)
        return port, port.peer.address

    def stop_handshakes(self) -> None:
        """Refuse connects from now on; those that wait can be accepted."""
        self.refuses_handshakes = True

    def gone(self, power_loss: bool) -> None:
        """Close: connections that wait are reset."""
        self.silent = power_loss
        if not power_loss:
            self.driver.network.forget_listener(self.address)
        while self.pending:
            port = self.pending.popleft()
            port.reset = True
            port.closed = True
            port.gone(power_loss)


class DatagramPort(Port):
    """Datagrams: may be lost, arrive at most once, and overtake each other by their latency."""

    def __init__(self, driver: PortOwner, address: Address) -> None:
        super().__init__(driver, address)
        self.inbox: deque[tuple[bytes, Address]] = deque()

    def ready(self, direction: int) -> bool:
        """Whether a wait in a direction would end now."""
        return bool(self.inbox) if direction == READ else True

    def recvfrom(self, most: int) -> tuple[bytes, Address] | None:
        """A datagram and its sender."""
        if not self.inbox:
            return None
        data, sender = self.inbox.popleft()
        return data[:most], sender

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram."""
        network = self.driver.network
        path = network.path(self.driver.name, to)
        if not path.is_cut and not (path.loss and network.random.random() < path.loss):
            network.simulator.call_later(
                network.delay(path), lambda: network.deliver(to, bytes(data), self.address)
            )
        return len(data)

    def gone(self, power_loss: bool) -> None:
        """Close."""
        self.driver.network.forget_datagrams(self.address)
