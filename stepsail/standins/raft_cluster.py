"""Simulates a Raft cluster on one clock, with faults.

Disks lose unsynced writes; links lose, duplicate and delay messages.
"""

from __future__ import annotations

from itertools import count
from random import Random

import msgspec

from stepsail.consensus import (
    LogEntry,
    Message,
    PersistentState,
    RaftReplica,
    Role,
    StateWrite,
    decode,
    encode,
)
from stepsail.consensus.persistent_state import apply_write
from stepsail.standins.clock import Clock

SYNC_DURATION = 0.002  # s
BASE_LATENCY = 0.001  # s; the latency of a message is drawn from one to two times this
TIMER_DELAY = 1e-6  # s from a timeout until its handler runs


class SimulatedDisk:
    """The state on stable storage, and the writes that are not synced yet."""

    def __init__(self, identity: int) -> None:
        self.state = PersistentState(identity)
        self.unsynced: list[StateWrite] = []

    def sync(self) -> int:
        """Sync all writes and return the number of the last one; 0 if there are none."""
        last_number = self.unsynced[-1].number if self.unsynced else 0
        for write in self.unsynced:
            self.state = apply_write(self.state, write)
        self.unsynced.clear()
        return last_number

    def crash(self, random: Random) -> None:
        """Lose the unsynced writes, except for a random number of the oldest, which reached the disk."""
        survivors = random.randrange(len(self.unsynced) + 1) if self.unsynced else 0
        for write in self.unsynced[:survivors]:
            self.state = apply_write(self.state, write)
        self.unsynced.clear()


class SimulatedVoter:
    """One voter's process and disk.

    Attributes:
        replica: Its replica of the log; None while the process is down.
        applied: The commands that the state machine has applied, by log index.
        timer: Number of the current timer; earlier timers do nothing when they expire.
    """

    def __init__(self, number: int, disk: SimulatedDisk) -> None:
        self.number = number
        self.disk = disk
        self.replica: RaftReplica | None = None
        self.applied: dict[int, bytes] = {}
        self.timer = 0


class RaftCluster(Clock):
    """A simulated cluster of voters 0 to `size` - 1 with empty storage, and the faults between them.

    Attributes:
        loss: Share of messages lost.
        duplication: Share of messages delivered twice.
        max_extra_delay: Longest extra delay of a message (s).
        sync_duration: Typical time that a disk takes to sync (s).
        cut_links: Pairs of sender and receiver between which messages are lost.
        committed: Every entry that any voter applied, by log index.
        leaders: The leader of each term.
        violations: Descriptions of the guarantees that were broken.
    """

    def __init__(self, size: int, seed: int) -> None:
        super().__init__()
        self.random = Random(f"{seed} keepers")
        self.seed = seed
        self.process_numbers = count()
        self.voter_numbers = tuple(range(size))
        self.loss = 0.0
        self.duplication = 0.0
        self.max_extra_delay = 0.0
        self.sync_duration = SYNC_DURATION
        self.cut_links: set[tuple[int, int]] = set()
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, int] = {}
        self.violations: list[str] = []
        self.voters = {
            number: SimulatedVoter(number, SimulatedDisk(1 + number)) for number in self.voter_numbers
        }
        for number in self.voter_numbers:
            self.start(number)

    # Faults and commands

    def start(self, number: int) -> None:
        """Start a voter's process with the state on its disk."""
        voter = self.voters[number]
        stored = msgspec.msgpack.decode(msgspec.msgpack.encode(voter.disk.state), type=PersistentState)
        seed = self.seed * 1000 + next(self.process_numbers)
        voter.replica = RaftReplica(number, self.voter_numbers, stored, seed, self.now)
        voter.applied = {}
        self._carry_out(voter)

    def crash(self, number: int) -> None:
        """End a voter's process; its disk loses unsynced writes."""
        voter = self.voters[number]
        voter.replica = None
        voter.disk.crash(self.random)

    def lose_storage(self, number: int) -> None:
        """Replace the disk of a voter that is down with an empty one."""
        self.voters[number].disk = SimulatedDisk(1000 + next(self.process_numbers))

    def heal_network(self) -> None:
        """Deliver all messages from now on, without faults and extra delay."""
        self.cut_links = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.max_extra_delay = 0.0

    def start_all(self) -> None:
        """Start all voters that are down."""
        for number, voter in self.voters.items():
            if voter.replica is None:
                self.start(number)

    def propose(self, number: int, data: bytes) -> int | None:
        """Propose a command to a voter; see `RaftReplica.propose`."""
        voter = self.voters[number]
        if voter.replica is None:
            return None
        index = voter.replica.propose(data)
        self._carry_out(voter)
        return index

    def leader(self) -> int | None:
        """Return the leader with the highest term, if there is a leader."""
        leaders = [
            (voter.replica.current_term, number)
            for number, voter in self.voters.items()
            if voter.replica and voter.replica.role is Role.LEADER
        ]
        return max(leaders)[1] if leaders else None

    # The state machine, which keeps a copy of all commands; subclasses override it

    def restore(self, voter: SimulatedVoter, snapshot: bytes) -> None:
        """Restore the voter's state machine from a snapshot."""
        voter.applied = msgspec.msgpack.decode(snapshot, type=dict[int, bytes])

    def apply(self, voter: SimulatedVoter, replica: RaftReplica, index: int, data: bytes) -> None:
        """Apply a committed command."""
        voter.applied[index] = data
        if data.startswith(b"files "):
            number, identity = map(int, data.split()[1:])
            replica.admit_identity(number, identity, index)

    def take_snapshot(self, voter: SimulatedVoter) -> bytes:
        """Return a snapshot of the voter's state machine."""
        return msgspec.msgpack.encode(voter.applied)

    def identity_command(self, number: int, identity: int) -> bytes:
        """Return the command that admits a voter with a new storage identity."""
        return b"files %d %d" % (number, identity)

    # The host of each voter

    def _carry_out(self, voter: SimulatedVoter) -> None:
        """Perform the writes and sends of the voter's replica, check its guarantees, and set its timer."""
        replica = voter.replica
        assert replica
        self._check_leader(voter.number, replica)
        for write in replica.take_writes():
            duration = self.sync_duration * (0.5 + self.random.random())
            self._write(voter, replica, write, duration)
        for to, message in replica.take_messages():
            self._send(voter.number, to, message)
        self._apply_committed(voter, replica)
        voter.timer += 1
        timer = voter.timer
        self.at(
            max(self.now, replica.next_timeout) + TIMER_DELAY,
            lambda: self._tick(voter, replica) if timer == voter.timer else None,
        )

    def _check_leader(self, number: int, replica: RaftReplica) -> None:
        if replica.role is not Role.LEADER:
            return
        if self.leaders.setdefault(replica.current_term, number) != number:
            self.violations.append(f"two leaders of term {replica.current_term}")

    def _apply_committed(self, voter: SimulatedVoter, replica: RaftReplica) -> None:
        snapshot = replica.take_snapshot()
        if snapshot:
            self.restore(voter, snapshot)
        for index, entry in replica.take_committed():
            self._check_entry(voter.number, index, entry)
            self.apply(voter, replica, index, entry.data)
        replica.compact(self.take_snapshot(voter))
        for number, identity in replica.take_new_identities():
            replica.propose(self.identity_command(number, identity))
        for write in replica.take_writes():
            self._write(voter, replica, write, self.sync_duration)

    def _check_entry(self, number: int, index: int, entry: LogEntry) -> None:
        committed = self.committed.setdefault(index, entry.data)
        if committed != entry.data:
            self.violations.append(
                f"entry {index} is committed as {committed!r}, but is {entry.data!r} at voter {number}"
            )

    def _write(self, voter: SimulatedVoter, replica: RaftReplica, write: StateWrite, duration: float) -> None:
        voter.disk.unsynced.append(write)
        self.at(self.now + duration, lambda: self._sync(voter, replica))

    def _sync(self, voter: SimulatedVoter, replica: RaftReplica) -> None:
        if voter.replica is replica and voter.disk.unsynced:
            replica.writes_synced(voter.disk.sync())
            self._carry_out(voter)

    def _tick(self, voter: SimulatedVoter, replica: RaftReplica) -> None:
        if voter.replica is replica:
            replica.tick(self.now)
            self._carry_out(voter)

    # The network

    def _send(self, sender: int, to: int, message: Message) -> None:
        data = encode(message)
        if (sender, to) in self.cut_links or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            self.at(self._arrival_time(), lambda: self._arrive(to, data))

    def _arrival_time(self) -> float:
        latency = BASE_LATENCY * (1 + self.random.random())
        return self.now + latency + self.max_extra_delay * self.random.random()

    def _arrive(self, to: int, data: bytes) -> None:
        voter = self.voters[to]
        if voter.replica is not None:
            voter.replica.receive(decode(data), self.now)
            self._carry_out(voter)
