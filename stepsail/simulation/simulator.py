"""Virtual time: processes, each with a loop of its own, that take turns in one Python process.

A process runs the real loop. Where the loop would wait in `poll`, it switches to the simulator, which resumes
another process that is due at this instant, and advances the clock only if there is none. Code takes no
virtual time: the CPU time of a process is not simulated.

Where the order of events is arbitrary, the seed determines it: the order of processes that are due at one
instant, and of ports that are ready in one poll.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Protocol

from greenlet import getcurrent, greenlet

from stepsail.loop import Loop
from stepsail.loop.driver import Driver

START_TIME = 1000.0  # s, initial time of the clock; not 0, which means "unknown" in endpoint lists

KILLED_PROCESSES: list[SimulatedProcess] = []
"""References to killed processes, which keep their greenlets from being collected.

As after kill -9, the tasks of a killed process must never run again, not even to clean up, but Python would
run their cleanup when it collects the greenlets. The list grows by one entry per kill during the life of this
Python process.
"""


class SimulationStalled(Exception):
    """The simulation cannot continue: no event is left, or a task never waits."""


class ProcessDriver(Driver, Protocol):
    """The interface of the driver that a simulated process needs, in addition to what its loop needs."""

    process: SimulatedProcess

    def deliver_signal(self, number: int) -> None:
        """Queue a signal; its handler runs in the next poll."""

    def release(self, power_loss: bool) -> None:
        """Close all ports after the end of the process; after a power loss, the peers are not notified."""


class Simulator:
    """The clock that all processes share, its events, and the processes that are due now."""

    def __init__(self, seed: int) -> None:
        self.now = START_TIME
        self.random = Random(f"{seed} schedule")
        self.main_greenlet = getcurrent()
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.sequence = count()
        self.due: list[SimulatedProcess] = []
        self.turns = 0

    def call_at(self, when: float, callback: Callable[[], object]) -> None:
        """Run a callback at a time; callbacks for the same time run in the order of these calls."""
        heappush(self.events, (max(when, self.now), next(self.sequence), callback))

    def call_later(self, seconds: float, callback: Callable[[], object]) -> None:
        """Run a callback after a number of seconds."""
        self.call_at(self.now + seconds, callback)

    def run(self, process: SimulatedProcess) -> Any:
        """Start a process, run the simulation until it has ended, and return its result or raise its error.

        Raises:
            SimulationStalled: The process has not ended and no event is left.
        """
        self.main_greenlet = getcurrent()
        process.start()
        events = self.events
        while not process.done:
            self._run_due()
            if process.done:
                break
            if not events:
                waits = process.loop.list_tasks()
                raise SimulationStalled(f"no event is left, but {process.name} still waits on: {waits}")
            self.now = events[0][0]
            while events and events[0][0] <= self.now:
                heappop(events)[2]()
        if process.error is not None:
            raise process.error
        return process.result

    def _run_due(self) -> None:
        """Run the processes that are due at this instant, in random order."""
        due = self.due
        while due:
            chosen = self.random.randrange(len(due)) if len(due) > 1 else 0
            due[chosen], due[-1] = due[-1], due[chosen]
            process = due.pop()
            process.is_due = False
            if process.is_alive() and not process.suspended:
                self.turns += 1
                process.greenlet.switch()


class SimulatedProcess:
    """A process that runs `main` with its loop. It can be suspended, sent a signal, and killed."""

    def __init__(
        self,
        simulator: Simulator,
        driver: ProcessDriver,
        name: str,
        main: Callable[[Loop], Any],
        report: Callable[..., object] | None = None,
    ) -> None:
        self.simulator = simulator
        self.driver = driver
        self.name = name
        self.main = main
        self.report = report
        self.greenlet = greenlet(self._run)
        self.loop: Loop
        self.started = False
        self.done = False
        self.killed = False
        self.suspended = False
        self.is_due = False
        self.parked = False  # waits in `park` or for its first turn
        self.wake_at = math.inf  # time when its wait ends
        self.wakeup_event_at = math.inf  # time of its wakeup event in the simulator
        self.result: Any = None
        self.error: BaseException | None = None
        driver.process = self

    def start(self) -> None:
        """Start the process at this instant."""
        self.greenlet.parent = self.simulator.main_greenlet
        self.started = True
        self.parked = True
        self.make_due()

    def _run(self) -> None:
        self.parked = False
        self.loop = Loop(self.driver, self.report)
        try:
            self.result = self.main(self.loop)
        except Exception as error:
            self.error = error
        self.done = True
        self.driver.release(power_loss=False)

    def is_alive(self) -> bool:
        """Return whether it has started and not ended."""
        return self.started and not self.done and not self.killed

    def make_due(self) -> None:
        """Schedule the process to run at this instant, unless it is running, scheduled or killed."""
        if self.parked and not self.is_due and not self.killed:
            self.is_due = True
            self.simulator.due.append(self)

    def park(self, until: float) -> None:
        """Wait until `make_due` is called or until a time; the driver calls this inside the process."""
        simulator = self.simulator
        self.wake_at = until
        # All waits of a process share one event, so that waits that end early leave no events in the heap.
        if until < self.wakeup_event_at:
            self.wakeup_event_at = until
            simulator.call_at(until, lambda: self._handle_wakeup_event(until))
        self.parked = True
        simulator.main_greenlet.switch()
        self.parked = False

    def _handle_wakeup_event(self, when: float) -> None:
        if when != self.wakeup_event_at:
            return  # an earlier event was scheduled since, and schedules the next one if needed
        self.wakeup_event_at = math.inf
        if not self.is_alive():
            return
        if self.wake_at <= self.simulator.now:
            self.make_due()
        elif self.parked and self.wake_at < math.inf:
            until = self.wake_at
            self.wakeup_event_at = until
            self.simulator.call_at(until, lambda: self._handle_wakeup_event(until))

    # -- signals and kills ---------------------------------------------------------------------------------

    def suspend(self) -> None:
        """Stop the process as SIGSTOP does; data that arrives is kept in the system's buffers."""
        self.suspended = True

    def resume(self) -> None:
        """Continue the process as SIGCONT does."""
        self.suspended = False
        if self.is_alive():
            self.make_due()

    def signal(self, number: int) -> None:
        """Send a signal for which the process has a handler."""
        if self.is_alive():
            self.driver.deliver_signal(number)

    def kill(self, power_loss: bool = False) -> None:
        """Kill the process as `kill -9` does; after a power loss, the peers are not notified."""
        if self.is_alive():
            self.killed = True
            self.driver.release(power_loss)
            KILLED_PROCESSES.append(self)
