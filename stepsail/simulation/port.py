"""What the ports of a network in memory have in common, and what they ask of their network and their process."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from random import Random
from typing import Protocol

from stepsail.loop.driver import Address
from stepsail.loop.waiting import WaitingPort
from stepsail.simulation.path import Path
from stepsail.simulation.simulator import Simulator


class NetworkServices(Protocol):
    """What a port asks of its network."""

    simulator: Simulator
    random: Random

    def path(self, caller: str, to: Address) -> Path:
        """What lies between a process and an address."""

    def delay(self, path: Path) -> float:
        """How long the next packet takes."""

    def at(self, path: Path, when: float, call: Callable[[], object]) -> None:
        """Let something arrive at the end of a path."""

    def after(self, path: Path, seconds: float, call: Callable[[], object]) -> None:
        """Let something arrive at the end of a path after some time."""

    def deliver(self, to: Address, data: bytes, sender: Address) -> None:
        """Hand a datagram to the port of its address."""

    def forget_listener(self, address: Address) -> None:
        """Refuse connections to an address from now on."""

    def forget_datagrams(self, address: Address) -> None:
        """Drop datagrams to an address from now on."""


class PortOwner(Protocol):
    """What a port asks of the driver of its process."""

    name: str

    @property
    def network(self) -> NetworkServices:
        """The network that it is part of."""

    def mark(self, port: Port) -> None:
        """Look at a port in the next poll."""

    def adopt(self, port: Port) -> None:
        """Count a port among those of this process."""


class Port(WaitingPort):
    """What all ports have: an owner, an address, waiters, and whether somebody closed them."""

    def __init__(self, driver: PortOwner, address: Address) -> None:
        super().__init__()
        self.driver = driver
        self.address = address
        self.silent = False  # its machine has lost power: it answers nothing

    def ready(self, direction: int) -> bool:
        """Whether a wait in a direction would end now."""
        raise NotImplementedError

    @property
    def peer_closed(self) -> bool:
        """Whether the far end has closed or is gone."""
        return False

    def local_address(self) -> Address:
        """The address of this end."""
        return self.address

    def gone(self, power_loss: bool) -> None:
        """The owner has closed it or ended; after a power loss nobody is told, then or later."""
        self.silent = power_loss

    # What a kind of port cannot do fails as it would by the system.

    def _unsupported(self) -> OSError:
        return OSError(errno.EOPNOTSUPP, os.strerror(errno.EOPNOTSUPP))

    def accept(self) -> tuple[Port, Address] | None:
        """The next connection, of a listener."""
        raise self._unsupported()

    def stop_handshakes(self) -> None:
        """Refuse new connections, on a listener."""
        raise self._unsupported()

    def recv(self, most: int) -> bytes | None:
        """Some bytes, of a stream."""
        raise self._unsupported()

    def send(self, data: bytes | memoryview) -> int | None:
        """How many bytes a stream took."""
        raise self._unsupported()

    def recvfrom(self, most: int) -> tuple[bytes, Address] | None:
        """A datagram and its sender."""
        raise self._unsupported()

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram."""
        raise self._unsupported()

    def raise_connect_error(self) -> None:
        """Raise what became of a connect."""
        raise self._unsupported()

    def half_close(self) -> None:
        """Send the end of a stream."""

    def abort(self) -> None:
        """Make the close of a stream a reset."""

    def seconds_since_receive(self) -> float:
        """Seconds since the last bytes arrived."""
        return 0.0
