"""The base class of simulated ports, and the interfaces of the network and the driver that ports use."""

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
    """The interface of the network that ports use."""

    simulator: Simulator
    random: Random

    def path(self, caller: str, to: Address) -> Path:
        """Return the path from a process to an address that it calls."""

    def delay(self, path: Path) -> float:
        """Draw the delay of the next packet on a path."""

    def deliver_at(self, path: Path, when: float, callback: Callable[[], object]) -> None:
        """Run a callback at a time, as a delivery over a path."""

    def deliver_after(self, path: Path, seconds: float, callback: Callable[[], object]) -> None:
        """Run a callback after a number of seconds, as a delivery over a path."""

    def deliver_datagram(self, to: Address, data: bytes, sender: Address) -> None:
        """Put a datagram into the inbox of the port that is bound to its address, if any."""

    def remove_listener(self, address: Address) -> None:
        """Refuse connections to an address from now on."""

    def remove_datagram_port(self, address: Address) -> None:
        """Drop datagrams to an address from now on."""


class PortOwner(Protocol):
    """The interface of the driver that a port uses; the driver belongs to the port's process."""

    name: str

    @property
    def network(self) -> NetworkServices:
        """The network that the process is connected to."""

    def mark_changed(self, port: Port) -> None:
        """Check a port in the next poll because its state has changed."""

    def register(self, port: Port) -> None:
        """Add a port to those of this process, which are closed when it ends."""


class Port(WaitingPort):
    """Base class of simulated ports: its driver, its address, its waiters and the closed flag."""

    def __init__(self, driver: PortOwner, address: Address) -> None:
        super().__init__()
        self.driver = driver
        self.address = address
        self.power_lost = False  # the port's machine has lost power, so that it answers nothing

    def ready(self, direction: int) -> bool:
        """Return whether a wait in this direction would end now."""
        raise NotImplementedError

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its end or is gone."""
        return False

    def local_address(self) -> Address:
        """Return the address that the port is bound to."""
        return self.address

    def handle_close(self, power_loss: bool) -> None:
        """Handle a close by the process or its end; after a power loss, peers are never notified."""
        self.power_lost = power_loss

    # Operations that a kind of port does not support fail with EOPNOTSUPP, as in the operating system.

    def _unsupported(self) -> OSError:
        return OSError(errno.EOPNOTSUPP, os.strerror(errno.EOPNOTSUPP))

    def accept(self) -> tuple[Port, Address] | None:
        """Return the next connection of a listener and the address of its peer."""
        raise self._unsupported()

    def stop_handshakes(self) -> None:
        """Refuse new connections on a listener; those that are pending can still be accepted."""
        raise self._unsupported()

    def recv(self, max_bytes: int) -> bytes | None:
        """Return received bytes, or b"" at the end of the stream."""
        raise self._unsupported()

    def send(self, data: bytes | memoryview) -> int | None:
        """Send bytes and return how many of them were accepted."""
        raise self._unsupported()

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address] | None:
        """Return a datagram and its sender's address."""
        raise self._unsupported()

    def sendto(self, data: bytes, to: Address) -> int | None:
        """Send a datagram and return its size."""
        raise self._unsupported()

    def raise_connect_error(self) -> None:
        """Raise OSError if the connect failed."""
        raise self._unsupported()

    def half_close(self) -> None:
        """Shut down the sending direction."""

    def abort(self) -> None:
        """Make the following close send a reset to the peer."""

    def seconds_since_receive(self) -> float:
        """Return the seconds since the last bytes arrived, read or not."""
        return 0.0
