"""Listeners and datagram ports of the simulated network."""

from __future__ import annotations

from collections import deque

from stepsail.loop.driver import READ, Address
from stepsail.simulation.port import Port, PortOwner
from stepsail.simulation.stream_port import StreamPort


class ListenerPort(Port):
    """Accepts streams. While the backlog is full, connects wait, because their SYNs are retransmitted."""

    def __init__(self, driver: PortOwner, address: Address, backlog: int) -> None:
        super().__init__(driver, address)
        self.backlog = backlog
        self.pending: deque[StreamPort] = deque()
        self.refuses_handshakes = False

    def ready(self, direction: int) -> bool:
        """Return whether a wait in this direction would end now."""
        return bool(self.pending)

    def accept(self) -> tuple[Port, Address] | None:
        """Return the next connection and the address of its peer."""
        if not self.pending:
            return None
        port = self.pending.popleft()
        assert port.peer is not None
        self.driver.register(port)
        return port, port.peer.address

    def stop_handshakes(self) -> None:
        """Refuse new connections; those that are pending can still be accepted."""
        self.refuses_handshakes = True

    def handle_close(self, power_loss: bool) -> None:
        """Close the listener and reset the pending connections."""
        self.power_lost = power_loss
        if not power_loss:
            self.driver.network.remove_listener(self.address)
        while self.pending:
            port = self.pending.popleft()
            port.reset = True
            port.closed = True
            port.handle_close(power_loss)


class DatagramPort(Port):
    """Sends and receives datagrams.

    A datagram may be lost, arrives at most once, and may arrive before datagrams that were sent earlier.
    """

    def __init__(self, driver: PortOwner, address: Address) -> None:
        super().__init__(driver, address)
        self.inbox: deque[tuple[bytes, Address]] = deque()

    def ready(self, direction: int) -> bool:
        """Return whether a wait in this direction would end now."""
        return bool(self.inbox) if direction == READ else True

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address] | None:
        """Return a datagram and its sender's address."""
        if not self.inbox:
            return None
        data, sender = self.inbox.popleft()
        return data[:max_bytes], sender

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram and return its size."""
        network = self.driver.network
        path = network.path(self.driver.name, to)
        if not path.is_cut and not (path.loss and network.random.random() < path.loss):
            network.simulator.call_later(
                network.delay(path), lambda: network.deliver_datagram(to, bytes(data), self.address)
            )
        return len(data)

    def handle_close(self, power_loss: bool) -> None:
        """Release the address."""
        self.driver.network.remove_datagram_port(self.address)
