"""The driver of simulated processes: the second one beneath `stepsail.loop`, which cannot tell it from the first."""

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

MAX_ROUNDS = 1_000_000  # rounds of one loop in one instant; more is a task that never waits
NO_SKEW = Skew()


class SimulatedDriver:
    """One process's view of clock and network. `post` is for this one thread: a simulation has no other."""

    process: SimulatedProcess

    def __init__(self, simulator: Simulator, network: Network, name: str) -> None:
        self.simulator = simulator
        self.network = network
        self.name = name
        self.ports: dict[Port, None] = {}
        self.marked: dict[Port, None] = {}  # ports of which something may have changed
        self.signals: deque[int] = deque()
        self.signal_calls: dict[int, Callable[[], object]] = {}
        self.posted: deque[Callable[[], object]] = deque()
        self.rounds = 0  # polls in this instant
        self.instant = 0.0
        self.skew = Skew()
        self.began = simulator.now
        self.released = False

    def now(self) -> float:
        """The process's monotonic clock."""
        if self.skew == NO_SKEW:
            return self.simulator.now
        return self.skew.skewed_time(self.began, self.simulator.now)

    def wall_clock(self) -> float:
        """The one clock of the simulation."""
        return self.simulator.now

    def poll(self, timeout: float | None) -> None:
        """Wait until a port is ready or the time is over, and wake the waiters of ready ports."""
        if timeout != 0 and not self.marked and not self.signals and not self.posted:
            # At least to the next instant that the clock can show: the loop's sums may fall short of a timer by a
            # rounding, and would then wait for no time at all, for ever.
            now = self.simulator.now
            until = math.inf if timeout is None else now + timeout / self.skew.rate
            self.process.park(max(until, math.nextafter(now, math.inf)))
        self._count_round()
        self._wake()
        while self.signals:
            number = self.signals.popleft()
            if number in self.signal_calls:
                self.signal_calls[number]()
        while self.posted:
            self.posted.popleft()()

    def _count_round(self) -> None:
        if self.instant != self.simulator.now:
            self.instant = self.simulator.now
            self.rounds = 0
        self.rounds += 1
        if self.rounds > MAX_ROUNDS:
            raise SimulationStalled(
                f"a task of {self.process.name} never waits: {self.process.loop.list_tasks()}"
            )

    def _wake(self) -> None:
        marked = list(self.marked)
        self.marked.clear()
        if len(marked) > 1:
            self.simulator.random.shuffle(marked)
        for port in marked:
            for direction in (READ, WRITE):
                if direction in port.waiters and port.ready(direction):
                    port.waiters.pop(direction).wake(direction)

    def mark(self, port: Port) -> None:
        """Look at a port in the next poll, as something about it has changed."""
        if not self.released:
            self.marked[port] = None
            self.process.make_due()

    def deliver_signal(self, number: int) -> None:
        """A signal has arrived."""
        self.signals.append(number)
        self.process.make_due()

    def call_threadsafe(self, call: Callable[[], object]) -> None:
        """Run a call between rounds of the loop."""
        self.posted.append(call)
        self.process.make_due()

    def run_blocking(self, call: Callable[[], object]) -> None:
        """Run a call that may block elsewhere, at once: nothing takes time here but what the simulator says."""
        call()

    # -- waits -------------------------------------------------------------------------------------------

    def add_waiter(self, port: loop_driver.Port, direction: int, waiter: Wakeable) -> None:
        """Wake a waiter when a port is ready."""
        assert isinstance(port, Port)
        port.add_waiter(direction, waiter)
        if port.ready(direction):
            self.marked[port] = None

    def remove_waiter(self, port: loop_driver.Port, direction: int, waiter: Wakeable) -> None:
        """Forget a waiter, if it still waits."""
        assert isinstance(port, Port)
        if port.waiters.get(direction) is waiter:
            del port.waiters[direction]

    def readable(self, port: loop_driver.Port) -> bool:
        """Whether a read, or an accept, would give something now."""
        assert isinstance(port, Port)
        return port.closed or port.ready(READ)

    def peer_closed(self, port: loop_driver.Port) -> bool:
        """Whether the far end has closed or is gone."""
        assert isinstance(port, Port)
        return port.closed or port.peer_closed

    # -- ports -------------------------------------------------------------------------------------------

    def adopt(self, port: Port) -> None:
        """Count a port among those of this process."""
        self.ports[port] = None

    def close(self, port: loop_driver.Port) -> None:
        """Close a port and wake whoever waits on it."""
        assert isinstance(port, Port)
        if port.closed:
            return
        port.closed = True
        self.ports.pop(port, None)
        self.marked.pop(port, None)
        port.fail_waiters()
        port.gone(power_loss=False)

    def listen(self, address: Address, backlog: int) -> loop_driver.Port:
        """A port that accepts connections. Raises OSError."""
        port = ListenerPort(self, self.network.bound(address, self.network.listeners), backlog)
        self.network.listeners[port.address] = port
        self.adopt(port)
        return cast(loop_driver.Port, port)

    def connect(self, address: Address, source: Address | None = None) -> loop_driver.Port:
        """Begin to connect; the port turns writable when it is decided."""
        own_address = source or self.network.free_address()
        near = StreamPort(self, own_address, self.network.path(self.name, address), is_caller=True)
        self.adopt(near)
        self.network.connect(near, address)
        return cast(loop_driver.Port, near)

    def datagrams(self, address: Address) -> loop_driver.Port:
        """A port for datagrams. Raises OSError."""
        port = DatagramPort(self, self.network.bound(address, self.network.datagrams))
        self.network.datagrams[port.address] = port
        self.adopt(port)
        return cast(loop_driver.Port, port)

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Make a call between rounds of the loop at each signal of a number."""
        self.signal_calls[number] = call

    def release(self, power_loss: bool) -> None:
        """The process has ended: the system closes its ports; after a power loss nobody is told."""
        self.released = True
        for port in tuple(self.ports):
            port.closed = True
            port.waiters.clear()
            port.gone(power_loss)
        self.ports.clear()
        self.marked.clear()

    def shutdown(self) -> None:
        """Close what is open."""
        self.release(power_loss=False)
