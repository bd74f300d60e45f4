"""All-to-all heartbeats, a baseline for the membership protocol.

Every instance knows the addresses of all others from its settings and sends each of them a heartbeat every
period. An instance from which no heartbeat has arrived for `SILENCE_PERIODS` is considered dead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from math import inf

from stepsail.membership import (
    MemberChange,
    MemberRecord,
    MembershipView,
    MemberState,
    MemberStatus,
    Timing,
)

# Periods without a heartbeat after which an instance is considered dead; as long as the shortest suspicion
# timeout of the membership protocol.
SILENCE_PERIODS = 10
Address = tuple[str, int]


class HeartbeatProtocol:
    """Has the interface of `MembershipProtocol`."""

    instance_count = 0  # number of instances in the settings; their ports are consecutive

    def __init__(
        self,
        instance: int,
        start_time: int,
        zone: str,
        address: Address,
        seeds: Sequence[Address],
        seed: int,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.instance, self.start_time, self.period = instance, start_time, (timing or Timing()).period
        self.local = MemberRecord(instance, start_time, 0, MemberState.ALIVE, zone, *address)
        first_port = seeds[0][1]
        self.peers = [
            ("127.0.0.1", first_port + other) for other in range(self.instance_count) if other != instance
        ]
        # By instance: its start time, and when its last heartbeat arrived.
        self.last_heard: dict[int, tuple[int, float]] = {}
        self.next_timeout, self.counters = now, Counter[str]()
        self.outgoing: list[tuple[Address, bytes]] = []
        self.changes: list[MemberChange] = []
        self.now = now

    def tick(self, now: float) -> None:
        self.now = max(self.now, now)
        if self.now >= self.next_timeout:
            self.next_timeout = self.now + self.period
            heartbeat = b"%d.%d" % (self.instance, self.start_time)
            self.outgoing += [(to, heartbeat) for to in self.peers]
        for instance, (start_time, at) in list(self.last_heard.items()):
            if self.now - at > SILENCE_PERIODS * self.period:
                del self.last_heard[instance]
                self.changes.append(
                    MemberChange(instance, start_time, MemberState.ALIVE, MemberState.DEAD, "silent")
                )

    def receive(self, data: bytes, now: float) -> None:
        self.now = max(self.now, now)
        instance, start_time = map(int, data.split(b"."))
        if start_time >= self.last_heard.get(instance, (0, 0.0))[0]:
            self.last_heard[instance] = (start_time, self.now)

    def leave(self, now: float) -> None:
        self.next_timeout = inf

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def take_changes(self) -> list[MemberChange]:
        changes, self.changes = self.changes, []
        return changes

    def view(self) -> MembershipView:
        present = {self.instance: self.start_time} | {
            instance: start_time for instance, (start_time, _) in self.last_heard.items()
        }
        members = tuple(
            MemberStatus(instance, present[instance], "", ("", 0), MemberState.ALIVE, 0.0)
            for instance in sorted(present)
        )
        return MembershipView(0, members, (), True, False, False)
