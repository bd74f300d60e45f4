"""A datagram switch with faults between instances: one port per instance, which receives its datagrams.

An instance reaches instance B by sending to B's port on the switch. The switch identifies the sender by its
source address and forwards the datagram from the sender's own port, so that B answers through the switch as
well. In this way N ports serve N squared paths, each of which can be cut in one direction.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

from stepsail.loop import Datagrams, Loop
from stepsail.loop.driver import Address

MAX_IN_TRANSIT = 20_000  # datagrams in transit at once; further ones are dropped
MAX_REPLAYABLE_DATAGRAMS = 400  # number of recent datagrams from which replays are chosen

NetworkPath = tuple[int, int]  # numbers of the sending and the receiving instance


@dataclass
class DatagramFaults:
    """Faults of every datagram. Probabilities range from 0 to 1; delays are one-way, in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.0003, 0.001)
    replay: float = 0.0  # probability that a datagram also triggers a replay of a recent one on any path


class DatagramSwitch:
    """Forwards datagrams between instances.

    Attributes:
        instance_addresses: The address on which each instance listens, by instance number.
        port_addresses: The address of each instance's port on the switch, to which the other instances send.
    """

    def __init__(
        self,
        loop: Loop,
        random: Random,
        instance_addresses: dict[int, Address],
        port_addresses: dict[int, Address],
    ) -> None:
        self.loop = loop
        self.random = random
        self.instance_addresses = instance_addresses
        self.faults = DatagramFaults()
        self.delivered = 0
        self.unknown_senders = 0
        self._senders = {address: number for number, address in instance_addresses.items()}
        self._cuts: dict[int, frozenset[NetworkPath]] = {}  # by owner
        self._recent: deque[tuple[int, int, bytes]] = deque(maxlen=MAX_REPLAYABLE_DATAGRAMS)
        self._in_transit = 0
        self._ports = {number: Datagrams(loop, port_addresses[number]) for number in instance_addresses}
        self.port_addresses = {number: port.address for number, port in self._ports.items()}
        for number in instance_addresses:
            loop.spawn(self._forward, number, name=f"switch {number}")

    def cut(self, owner: int, paths: Iterable[NetworkPath]) -> None:
        """Block these paths until `heal(owner)`; replaces an earlier cut of the same owner."""
        self._cuts[owner] = frozenset(paths)

    def heal(self, owner: int) -> None:
        """End the cut of this owner; cuts of other owners remain."""
        self._cuts.pop(owner, None)

    def paths_across(
        self, side: Collection[int], outbound: bool = True, inbound: bool = True
    ) -> list[NetworkPath]:
        """Return the paths from the instances of `side` to all others (outbound) and back (inbound)."""
        others = [number for number in self.instance_addresses if number not in side]
        paths: list[NetworkPath] = []
        if outbound:
            paths += [(a, b) for a in side for b in others]
        if inbound:
            paths += [(b, a) for a in side for b in others]
        return paths

    def _forward(self, receiver: int) -> None:
        port = self._ports[receiver]
        while True:
            data, source = port.receive()
            sender = self._senders.get(source)
            if sender is None:
                self.unknown_senders += 1
                continue
            self._send(sender, receiver, data)
            if self.faults.replay and self._recent and self.random.random() < self.faults.replay:
                self._send(*self._recent[self.random.randrange(len(self._recent))])
            self._recent.append((sender, receiver, data))

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        copies = 2 if self.random.random() < self.faults.duplication else 1
        for _ in range(copies):
            if self._in_transit < MAX_IN_TRANSIT and self.random.random() >= self.faults.loss:
                self._in_transit += 1
                delay = self.random.uniform(*self.faults.delay)
                self.loop.call_later(delay, partial(self._deliver, sender, receiver, data))

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        self._in_transit -= 1
        if not any((sender, receiver) in paths for paths in self._cuts.values()):
            self.delivered += 1
            self._ports[sender].send(data, self.instance_addresses[receiver])
