"""The driver for simulated processes; `stepsail.loop` cannot distinguish it from the one for real sockets."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import cast

from stepsail.loop import driver as loop_driver
from stepsail.loop.driver import READ, WRITE, Address
from stepsail.loop.skew import Skew
from stepsail.loop.waiting import Wakeable
from stepsail.simulation.network import Network
from stepsail.simulation.port import Port
from stepsail.simulation.ports import DatagramPort, ListenerPort
from stepsail.simulation.simulator import SimulatedProcess, SimulationStalled, Simulator
from stepsail.simulation.stream_port import StreamPort

# Rounds of one loop at one instant; a loop that exceeds the limit has a task that never waits.
MAX_ROUNDS = 1_000_000
NO_SKEW = Skew()


class SimulatedDriver:
    """Gives one process access to the clock and the network.

    A simulation has a single thread, so `call_threadsafe` is not called from other threads.
    """

    process: SimulatedProcess

    def __init__(self, simulator: Simulator, network: Network, name: str) -> None:
        self.simulator = simulator
        self.network = network
        self.name = name
        self.ports: dict[Port, None] = {}
        self.changed_ports: dict[Port, None] = {}  # ports that may have become ready
        self.pending_signals: deque[int] = deque()
        self.signal_handlers: dict[int, Callable[[], object]] = {}
        self.posted_callbacks: deque[Callable[[], object]] = deque()
        self.rounds = 0  # polls at `round_instant`
        self.round_instant = 0.0
        self.skew = Skew()
        self.started_at = simulator.now
        self.released = False

    def now(self) -> float:
        """Return the process's monotonic clock, which may be skewed."""
        if self.skew == NO_SKEW:
            return self.simulator.now
        return self.skew.skewed_time(self.started_at, self.simulator.now)

    def wall_clock(self) -> float:
        """Return the clock of the simulation, which all processes share."""
        return self.simulator.now

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the timeout expires, then wake the waiters of all ready ports."""
        if timeout != 0 and not self.changed_ports and not self.pending_signals and not self.posted_callbacks:
            # Wait at least until the next time that the clock can represent. By rounding, the loop's timeout
            # may end just before a timer is due; the loop would then poll forever without waiting.
            now = self.simulator.now
            until = math.inf if timeout is None else now + timeout / self.skew.rate
            self.process.park(max(until, math.nextafter(now, math.inf)))
        self._count_round()
        self._wake_waiters()
        while self.pending_signals:
            number = self.pending_signals.popleft()
            if number in self.signal_handlers:
                self.signal_handlers[number]()
        while self.posted_callbacks:
            self.posted_callbacks.popleft()()

    def _count_round(self) -> None:
        if self.round_instant != self.simulator.now:
            self.round_instant = self.simulator.now
            self.rounds = 0
        self.rounds += 1
        if self.rounds > MAX_ROUNDS:
            raise SimulationStalled(
                f"a task of {self.process.name} never waits: {self.process.loop.list_tasks()}"
            )

    def _wake_waiters(self) -> None:
        changed_ports = list(self.changed_ports)
        self.changed_ports.clear()
        if len(changed_ports) > 1:
            self.simulator.random.shuffle(changed_ports)
        for port in changed_ports:
            for direction in (READ, WRITE):
                if direction in port.waiters and port.ready(direction):
                    port.waiters.pop(direction).wake(direction)

    def mark_changed(self, port: Port) -> None:
        """Check a port in the next poll because its state has changed."""
        if not self.released:
            self.changed_ports[port] = None
            self.process.make_due()

    def deliver_signal(self, number: int) -> None:
        """Queue a signal; its handler runs in the next poll."""
        self.pending_signals.append(number)
        self.process.make_due()

    def call_threadsafe(self, callback: Callable[[], object]) -> None:
        """Run a callback between rounds of the loop."""
        self.posted_callbacks.append(callback)
        self.process.make_due()

    def run_blocking(self, function: Callable[[], object]) -> None:
        """Run a function that may block on a real system; here it runs at once and takes no virtual time."""
        function()

    # -- waits -------------------------------------------------------------------------------------------

    def add_waiter(self, port: loop_driver.Port, direction: int, waiter: Wakeable) -> None:
        """Register a waiter to be woken when the port is ready."""
        assert isinstance(port, Port)
        port.add_waiter(direction, waiter)
        if port.ready(direction):
            self.changed_ports[port] = None

    def remove_waiter(self, port: loop_driver.Port, direction: int, waiter: Wakeable) -> None:
        """Remove a waiter if it is still registered."""
        assert isinstance(port, Port)
        if port.waiters.get(direction) is waiter:
            del port.waiters[direction]

    def readable(self, port: loop_driver.Port) -> bool:
        """Return whether a read or an accept would return without blocking."""
        assert isinstance(port, Port)
        return port.closed or port.ready(READ)

    def peer_closed(self, port: loop_driver.Port) -> bool:
        """Return whether the peer has closed its end or is gone."""
        assert isinstance(port, Port)
        return port.closed or port.peer_closed

    # -- ports -------------------------------------------------------------------------------------------

    def register(self, port: Port) -> None:
        """Add a port to those of this process, which are closed when it ends."""
        self.ports[port] = None

    def close(self, port: loop_driver.Port) -> None:
        """Close a port and raise Closed in the tasks that wait on it."""
        assert isinstance(port, Port)
        if port.closed:
            return
        port.closed = True
        self.ports.pop(port, None)
        self.changed_ports.pop(port, None)
        port.fail_waiters()
        port.handle_close(power_loss=False)

    def listen(self, address: Address, backlog: int) -> loop_driver.Port:
        """Create a port that accepts connections.

        Raises:
            OSError: The address is in use.
        """
        port = ListenerPort(self, self.network.resolve_bind_address(address, self.network.listeners), backlog)
        self.network.listeners[port.address] = port
        self.register(port)
        return cast(loop_driver.Port, port)

    def connect(self, address: Address, source: Address | None = None) -> loop_driver.Port:
        """Begin to connect; the port becomes writable when the connect has succeeded or failed."""
        own_address = source or self.network.free_address()
        port = StreamPort(self, own_address, self.network.path(self.name, address), is_client_end=True)
        self.register(port)
        self.network.connect(port, address)
        return cast(loop_driver.Port, port)

    def datagrams(self, address: Address) -> loop_driver.Port:
        """Create a port that sends and receives datagrams.

        Raises:
            OSError: The address is in use.
        """
        port = DatagramPort(self, self.network.resolve_bind_address(address, self.network.datagram_ports))
        self.network.datagram_ports[port.address] = port
        self.register(port)
        return cast(loop_driver.Port, port)

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Run a callback, between rounds of the loop, each time the signal arrives."""
        self.signal_handlers[number] = callback

    def release(self, power_loss: bool) -> None:
        """Close all ports after the end of the process; after a power loss, the peers are not notified."""
        self.released = True
        for port in tuple(self.ports):
            port.closed = True
            port.waiters.clear()
            port.handle_close(power_loss)
        self.ports.clear()
        self.changed_ports.clear()

    def shutdown(self) -> None:
        """Close all open ports."""
        self.release(power_loss=False)
