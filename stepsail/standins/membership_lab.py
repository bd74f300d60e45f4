"""Simulates the membership protocol of many instances on one clock, over a network with faults.

The network loses, delays and duplicates datagrams, and links can be cut.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from math import isinf
from random import Random
from typing import NamedTuple

from stepsail.membership import MemberChange, MembershipProtocol, MembershipView, Timing
from stepsail.membership.parameters import MAX_DATAGRAM_BYTES
from stepsail.standins.clock import Clock

Address = tuple[str, int]

FIRST_PORT = 10000
SEED_COUNT = 3
ZONE_COUNT = 3
BASE_LATENCY = 0.001  # s; the latency of a datagram is drawn from one to two times this
TIMER_DELAY = 1e-6  # s from a timeout until its handler runs
MAX_UNREAD = 1000  # datagrams that wait for a paused process
SECOND_PROCESS_OFFSET = 100_000  # added to an instance's number for the key of its second process


class ObservedChange(NamedTuple):
    """A change of the membership view of one instance, the observer, and its time (s)."""

    at: float
    observer: int
    change: MemberChange


@dataclass
class SimulatedProcess:
    """One instance's process.

    Its clock runs `clock_rate` times as fast as the simulated time and is `clock_offset` seconds ahead.
    """

    instance: int
    address: Address
    protocol: MembershipProtocol
    up: bool = True
    paused: bool = False
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    unread: list[bytes] = field(default_factory=list)
    timer: int = 0
    bytes_sent: int = 0
    datagrams_sent: int = 0


class MembershipLab(Clock):
    """A simulated fleet of instances that run the membership protocol.

    Attributes:
        make_protocol: Creates an instance's protocol; classes other than `MembershipProtocol` serve as
            baselines.
        processes: The latest process of each instance, by instance; second processes by
            instance + SECOND_PROCESS_OFFSET.
        processes_by_address: By address, the process that is reached there.
        cut_links: Pairs of sender and receiver between which datagrams are lost.
        loss: Share of datagrams lost.
        duplication: Share of datagrams delivered twice.
        latency: Minimum latency of a datagram (s).
        max_extra_delay: Longest extra delay of a datagram (s).
        changes: All changes of the instances' views.
        recorded: All datagrams sent since a test set this to a list; None: they are not recorded.
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        timing: Timing | None = None,
        start: bool = True,
        make_protocol: Callable[..., MembershipProtocol] = MembershipProtocol,
    ) -> None:
        super().__init__()
        self.make_protocol = make_protocol
        self.random = Random(f"{seed} lab")
        self.seed = seed
        self.timing = timing or Timing()
        self.start_numbers = count(1)
        self.processes: dict[int, SimulatedProcess] = {}
        self.processes_by_address: dict[Address, SimulatedProcess] = {}
        self.cut_links: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.latency = BASE_LATENCY
        self.max_extra_delay = 0.0
        self.changes: list[ObservedChange] = []
        self.recorded: list[tuple[Address, bytes]] | None = None
        for instance in range(size if start else 0):
            self.start(instance)

    @staticmethod
    def address(instance: int) -> Address:
        """Return the address of an instance."""
        return "127.0.0.1", FIRST_PORT + instance

    # Faults

    def start(
        self, instance: int, start_time: int | None = None, address: Address | None = None
    ) -> SimulatedProcess:
        """Start a process of an instance.

        With an explicit address it runs beside the instance's earlier process, otherwise it replaces it.
        """
        reached_at = address or self.address(instance)
        started = start_time if start_time is not None else 1000 * next(self.start_numbers)
        protocol = self.make_protocol(
            instance,
            started,
            f"hall-{instance % ZONE_COUNT}",
            reached_at,
            [self.address(seed) for seed in range(SEED_COUNT)],
            self.seed * 7919 + instance + started,
            self.now,
            self.timing,
        )
        process = SimulatedProcess(instance, reached_at, protocol)
        earlier = self.processes.get(instance)
        if address is None and earlier is not None:
            earlier.up = False
        key = instance if address is None else instance + SECOND_PROCESS_OFFSET
        self.processes[key] = process
        self.processes_by_address[reached_at] = process
        self._tick(process)
        return process

    def leave(self, instance: int) -> None:
        """Let an instance announce that it leaves, and end its process."""
        process = self.processes[instance]
        process.protocol.leave(self.now)
        self._carry_out(process)
        self.crash(instance)

    def crash(self, *instances: int) -> None:
        """End processes without notice."""
        for instance in instances:
            self.processes[instance].up = False

    def pause(self, instance: int) -> None:
        """Pause a process; datagrams that arrive meanwhile wait in `unread`."""
        self.processes[instance].paused = True

    def resume(self, instance: int) -> None:
        """Continue a paused process, which reads its datagrams before its timer expires."""
        process = self.processes[instance]
        process.paused = False
        unread = process.unread
        process.unread = []
        for data in unread:
            self._receive(process, data)
        self._tick(process)

    def split(self, *sides: Iterable[int], oneway: bool = False) -> None:
        """Cut the links between the sides; with `oneway`, only those from the first side to the others."""
        groups = [set(side) for side in sides]

        def groups_of(instance: int) -> set[int]:
            return {number for number, group in enumerate(groups) if instance in group}

        for sender in self.processes:
            for receiver in self.processes:
                if groups_of(sender) != groups_of(receiver) and (not oneway or 0 in groups_of(sender)):
                    self.cut_links.add((sender, receiver))

    def heal(self) -> None:
        """Restore all links; loss and delays stay."""
        self.cut_links.clear()

    def heal_network(self) -> None:
        """Deliver all datagrams from now on, without faults and extra delay."""
        self.heal()
        self.loss = 0.0
        self.duplication = 0.0
        self.max_extra_delay = 0.0

    # Views

    def running_processes(self) -> list[SimulatedProcess]:
        """Return the processes that are up and not paused."""
        return [process for process in self.processes.values() if process.up and not process.paused]

    def views(self) -> dict[int, MembershipView]:
        """Return the views of all running instances, by instance."""
        return {process.instance: process.protocol.view() for process in self.running_processes()}

    def views_agree(self) -> bool:
        """Return whether the view of every running instance consists of exactly the processes that are up."""
        expected = {
            process.instance: process.protocol.local.start_time
            for process in self.processes.values()
            if process.up
        }
        views = [process.protocol.view() for process in self.running_processes()]
        return all(
            {member.instance: member.start_time for member in view.members} == expected for view in views
        )

    def run_until(self, condition: Callable[[], bool], timeout: float, step: float = 0.1) -> float:
        """Run until the condition is true, and return how long that took (s); `timeout` if it never was."""
        started_at = self.now
        while not condition():
            if self.now - started_at >= timeout:
                return timeout
            self.run(step)
        return self.now - started_at

    # Processes

    def _clock(self, process: SimulatedProcess) -> float:
        return self.now * process.clock_rate + process.clock_offset

    def _tick(self, process: SimulatedProcess) -> None:
        if process.up and not process.paused:
            process.protocol.tick(self._clock(process))
            self._carry_out(process)

    def _receive(self, process: SimulatedProcess, data: bytes) -> None:
        process.protocol.receive(data, self._clock(process))
        self._carry_out(process)

    def _carry_out(self, process: SimulatedProcess) -> None:
        """Record the changes of the view, send datagrams and set the timer."""
        for change in process.protocol.take_changes():
            self.changes.append(ObservedChange(self.now, process.instance, change))
        for to, data in process.protocol.take_datagrams():
            assert len(data) <= MAX_DATAGRAM_BYTES
            process.bytes_sent += len(data)
            process.datagrams_sent += 1
            self._send(process, to, data)
        process.timer += 1
        timer = process.timer
        wait = (process.protocol.next_timeout - self._clock(process)) / process.clock_rate
        if not isinf(wait):
            self.at(
                self.now + max(0.0, wait) + TIMER_DELAY,
                lambda: self._tick(process) if process.timer == timer else None,
            )

    # The network

    def _send(self, process: SimulatedProcess, to: Address, data: bytes) -> None:
        if self.recorded is not None:
            self.recorded.append((to, data))
        receiver = self.processes_by_address.get(to)
        if receiver is None or (process.instance, receiver.instance) in self.cut_links:
            return
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay = self.latency * (1 + self.random.random()) + self.random.random() * self.max_extra_delay
            self.at(self.now + delay, lambda: self._arrive(to, data))

    def _arrive(self, to: Address, data: bytes) -> None:
        process = self.processes_by_address[to]
        if process.up and process.paused:
            process.unread = [*process.unread, data][-MAX_UNREAD:]
        elif process.up:
            self._receive(process, data)
