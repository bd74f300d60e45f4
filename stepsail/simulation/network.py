"""A network in memory, with latency, loss, bandwidth, cuts, half-open ends and resets."""

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

MAX_DATAGRAMS = 1000  # unread ones at one port; more are lost
FIRST_PORT = 20000
LAST_PORT = 65000


class Network:
    """Who listens where, and what lies between. A path is found by the caller's name and the address it calls."""

    def __init__(self, simulator: Simulator, seed: int) -> None:
        self.simulator = simulator
        self.random = Random(f"{seed} network")
        self.listeners: dict[Address, ListenerPort] = {}
        self.datagrams: dict[Address, DatagramPort] = {}
        self.default_path = Path()
        self.paths: dict[tuple[str, Address], Path] = {}
        self.next_port = FIRST_PORT
        self.messages = 0

    # -- paths -------------------------------------------------------------------------------------------

    def path(self, caller: str, to: Address) -> Path:
        """What lies between a process and an address that it calls."""
        return self.paths.get((caller, to), self.default_path)

    def delay(self, path: Path) -> float:
        """How long the next packet takes."""
        return path.latency * (1 + path.jitter * self.random.random())

    def cut(self, path: Path) -> None:
        """Let nothing pass from now on; streams hold what is sent, datagrams are lost."""
        path.is_cut = True

    def heal(self, path: Path) -> None:
        """End a cut; what streams held arrives once the sender's system has retransmitted it."""
        path.is_cut = False
        held = path.held
        path.held = []
        for call in held:
            self.simulator.call_later(RETRANSMIT_AFTER, call)

    def at(self, path: Path, when: float, call: Callable[[], object]) -> None:
        """Let something arrive at the end of a path, unless it is cut then."""
        self.messages += 1

        def arrive() -> None:
            if path.is_cut:
                path.held.append(call)
            else:
                call()

        self.simulator.call_at(when, arrive)

    def after(self, path: Path, seconds: float, call: Callable[[], object]) -> None:
        """Let something arrive at the end of a path after some time."""
        self.at(path, self.simulator.now + seconds, call)

    # -- ports -------------------------------------------------------------------------------------------

    def free_address(self, host: str = "127.0.0.1") -> Address:
        """An address that nobody has. Raises OSError where all ports are taken."""
        for _ in range(LAST_PORT - FIRST_PORT):
            self.next_port = self.next_port + 1 if self.next_port < LAST_PORT else FIRST_PORT
            if (host, self.next_port) not in self.listeners and (host, self.next_port) not in self.datagrams:
                return host, self.next_port
        raise OSError(errno.EADDRINUSE, "every port of the simulated network is taken")

    def bound(self, address: Address, taken: Mapping[Address, Port]) -> Address:
        """The address that a port is bound to; port 0 takes a free one. Raises OSError where it is taken."""
        found = address if address[1] else self.free_address(address[0])
        if found in taken and not taken[found].silent:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return found

    def connect(self, near: StreamPort, to: Address) -> None:
        """Send a SYN, and decide the connect by what becomes of it."""

        def syn() -> None:
            if near.closed:
                return  # given up meanwhile
            listener = self.listeners.get(to)
            if listener is not None and listener.silent:
                return  # nobody answers, not even to refuse
            if listener is None or listener.refuses_handshakes:
                self.at(
                    near.path,
                    self.simulator.now + self.delay(near.path),
                    lambda: self._decided(near, errno.ECONNREFUSED),
                )
            elif len(listener.pending) >= listener.backlog:
                self.at(near.path, self.simulator.now + 1.0, syn)
            else:
                far = StreamPort(listener.driver, to, near.path, is_caller=False)
                far.peer = near
                near.peer = far
                far.decided = True
                listener.pending.append(far)
                listener.driver.mark(listener)
                self.at(near.path, self.simulator.now + self.delay(near.path), lambda: self._decided(near, 0))

        self.at(near.path, self.simulator.now + self.delay(near.path), syn)

    def _decided(self, near: StreamPort, error: int) -> None:
        if near.closed:
            if near.peer is not None:
                near.decided = True
                near.reset = True
                near.gone(power_loss=False)
            return
        near.decided = True
        near.error = near.error or error
        near.driver.mark(near)

    def deliver(self, to: Address, data: bytes, sender: Address) -> None:
        """Hand a datagram to the port of its address, if there is one."""
        self.messages += 1
        port = self.datagrams.get(to)
        if port is not None and len(port.inbox) < MAX_DATAGRAMS:
            port.inbox.append((data, sender))
            port.driver.mark(port)

    def forget_listener(self, address: Address) -> None:
        """Refuse connections to an address from now on."""
        self.listeners.pop(address, None)

    def forget_datagrams(self, address: Address) -> None:
        """Drop datagrams to an address from now on."""
        self.datagrams.pop(address, None)
