"""A simulated network with latency, loss, limited bandwidth, cuts, half-open connections and resets."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Mapping
from random import Random

from stepsail.loop.driver import Address
from stepsail.simulation.path import RETRANSMIT_AFTER, Path
from stepsail.simulation.port import Port
from stepsail.simulation.ports import DatagramPort, ListenerPort
from stepsail.simulation.simulator import Simulator
from stepsail.simulation.stream_port import StreamPort

MAX_DATAGRAMS = 1000  # unread datagrams at one port; further ones are lost
FIRST_PORT = 20000
LAST_PORT = 65000


class Network:
    """Listeners and datagram ports by address, and the paths to them.

    A path is identified by the name of the calling process and the address that it calls.
    """

    def __init__(self, simulator: Simulator, seed: int) -> None:
        self.simulator = simulator
        self.random = Random(f"{seed} network")
        self.listeners: dict[Address, ListenerPort] = {}
        self.datagram_ports: dict[Address, DatagramPort] = {}
        self.default_path = Path()
        self.paths: dict[tuple[str, Address], Path] = {}
        self.next_port = FIRST_PORT
        self.messages = 0

    # -- paths -------------------------------------------------------------------------------------------

    def path(self, caller: str, to: Address) -> Path:
        """Return the path from a process to an address that it calls."""
        return self.paths.get((caller, to), self.default_path)

    def delay(self, path: Path) -> float:
        """Draw the delay of the next packet on a path."""
        return path.latency * (1 + path.jitter * self.random.random())

    def cut(self, path: Path) -> None:
        """Cut a path: from now on, deliveries on streams are held back and datagrams are lost."""
        path.is_cut = True

    def heal(self, path: Path) -> None:
        """End a cut; the deliveries held back arrive once the sender's system has retransmitted them."""
        path.is_cut = False
        held_deliveries = path.held_deliveries
        path.held_deliveries = []
        for callback in held_deliveries:
            self.simulator.call_later(RETRANSMIT_AFTER, callback)

    def deliver_at(self, path: Path, when: float, callback: Callable[[], object]) -> None:
        """Run a callback at a time, as a delivery over a path; if the path is cut then, hold it back."""
        self.messages += 1

        def arrive() -> None:
            if path.is_cut:
                path.held_deliveries.append(callback)
            else:
                callback()

        self.simulator.call_at(when, arrive)

    def deliver_after(self, path: Path, seconds: float, callback: Callable[[], object]) -> None:
        """Run a callback after a number of seconds, as a delivery over a path."""
        self.deliver_at(path, self.simulator.now + seconds, callback)

    # -- ports -------------------------------------------------------------------------------------------

    def free_address(self, host: str = "127.0.0.1") -> Address:
        """Return an unused address on a host.

        Raises:
            OSError: All ports are in use.
        """
        for _ in range(LAST_PORT - FIRST_PORT):
            self.next_port = self.next_port + 1 if self.next_port < LAST_PORT else FIRST_PORT
            if (host, self.next_port) not in self.listeners and (
                host,
                self.next_port,
            ) not in self.datagram_ports:
                return host, self.next_port
        raise OSError(errno.EADDRINUSE, "all ports of the simulated network are in use")

    def resolve_bind_address(self, address: Address, ports_in_use: Mapping[Address, Port]) -> Address:
        """Return the address to bind to; port 0 is replaced with a free port.

        Raises:
            OSError: The address is in use.
        """
        resolved = address if address[1] else self.free_address(address[0])
        if resolved in ports_in_use and not ports_in_use[resolved].power_lost:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return resolved

    def connect(self, client_end: StreamPort, to: Address) -> None:
        """Send a SYN, and finish the connect according to the response to it."""

        def syn() -> None:
            if client_end.closed:
                return  # the connect was abandoned meanwhile
            listener = self.listeners.get(to)
            if listener is not None and listener.power_lost:
                return  # the listener's machine has lost power and sends no refusal either
            if listener is None or listener.refuses_handshakes:
                self.deliver_at(
                    client_end.path,
                    self.simulator.now + self.delay(client_end.path),
                    lambda: self._finish_connect(client_end, errno.ECONNREFUSED),
                )
            elif len(listener.pending) >= listener.backlog:
                self.deliver_at(client_end.path, self.simulator.now + 1.0, syn)
            else:
                server_end = StreamPort(listener.driver, to, client_end.path, is_client_end=False)
                server_end.peer = client_end
                client_end.peer = server_end
                server_end.connect_finished = True
                listener.pending.append(server_end)
                listener.driver.mark_changed(listener)
                self.deliver_at(
                    client_end.path,
                    self.simulator.now + self.delay(client_end.path),
                    lambda: self._finish_connect(client_end, 0),
                )

        self.deliver_at(client_end.path, self.simulator.now + self.delay(client_end.path), syn)

    def _finish_connect(self, client_end: StreamPort, error: int) -> None:
        if client_end.closed:
            if client_end.peer is not None:
                client_end.connect_finished = True
                client_end.reset = True
                client_end.handle_close(power_loss=False)
            return
        client_end.connect_finished = True
        client_end.error = client_end.error or error
        client_end.driver.mark_changed(client_end)

    def deliver_datagram(self, to: Address, data: bytes, sender: Address) -> None:
        """Put a datagram into the inbox of the port that is bound to its address, if any."""
        self.messages += 1
        port = self.datagram_ports.get(to)
        if port is not None and len(port.inbox) < MAX_DATAGRAMS:
            port.inbox.append((data, sender))
            port.driver.mark_changed(port)

    def remove_listener(self, address: Address) -> None:
        """Refuse connections to an address from now on."""
        self.listeners.pop(address, None)

    def remove_datagram_port(self, address: Address) -> None:
        """Drop datagrams to an address from now on."""
        self.datagram_ports.pop(address, None)
