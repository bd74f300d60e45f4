"""Holds the state shared by all parts of a replica: Raft's persistent and volatile state, timers, outbox."""

from __future__ import annotations

from enum import Enum
from math import inf
from zlib import crc32

import msgspec

from stepsail.consensus.messages import VERSION, Message, MessageKind
from stepsail.consensus.outbox import Outbox
from stepsail.consensus.parameters import MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT
from stepsail.consensus.persistent_state import NO_VOTE, LogEntry, PersistentState


class Role(Enum):
    """Lists Raft's roles, and a role for a replica outside the cluster. The values are shown to operators."""

    JOINING = "new"  # the replica does not belong to a cluster yet, or its storage is new
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Holds the state of one voter's replica, and queues its writes and messages.

    Attributes:
        voter: This voter's number.
        voters: Numbers of all voters, in ascending order.
        peers: Numbers of all other voters.
        majority: Number of voters that form a majority.
        persistent: State that must be on stable storage; every change of it is queued in `outbox`.
        seed: Seed of the election timeouts.
        random_draws: Number of election timeouts drawn so far.
        now: Time in seconds of the message or timeout that is being handled.
        role: The current role.
        leader: The leader of the current term; None if this replica does not know it.
        commit_index: Highest log index known to be committed.
        last_applied: Highest log index passed to the state machine.
        last_heartbeat: Time in seconds at which the last AppendEntries request from a leader was accepted.
        election_deadline: Time in seconds at which a follower or candidate starts an election if it receives
            no heartbeat before then.
        heartbeat_due: Time in seconds at which a leader sends the next heartbeat; infinite in other roles.
        outbox: Queue of writes and messages.
        pending_snapshot: Snapshot that the state machine must restore before it applies further entries;
            empty if there is none.
    """

    def __init__(
        self, voter: int, voters: tuple[int, ...], persistent: PersistentState, seed: int, now: float
    ) -> None:
        self.voter = voter
        self.voters = tuple(sorted(voters))
        self.peers = [peer for peer in self.voters if peer != voter]
        self.majority = len(voters) // 2 + 1
        self.persistent = persistent
        self.seed = seed
        self.random_draws = 0
        self.now = now
        self.role = Role.FOLLOWER if self.may_vote(voter, persistent.identity) else Role.JOINING
        self.leader: int | None = None
        self.commit_index = persistent.snapshot_index
        self.last_applied = persistent.snapshot_index
        self.last_heartbeat = -inf
        self.election_deadline = now
        self.reset_election_timeout()
        self.heartbeat_due = inf
        self.outbox = Outbox(persistent.last_index)
        self.pending_snapshot = persistent.snapshot if persistent.snapshot_index else b""

    @property
    def next_timeout(self) -> float:
        """Time in seconds at which the replica must act next unless it receives a message before then."""
        due = self.heartbeat_due if self.role is Role.LEADER else self.election_deadline
        return max(self.now, due)

    def may_vote(self, voter: int, identity: int) -> bool:
        """Return whether the voter may vote under this identity, which changes if it loses its storage."""
        return self.persistent.identities.get(voter) == identity

    def reset_election_timeout(self) -> None:
        """Restart the election timeout with a random length, drawn from the seed and the number of draws."""
        self.random_draws += 1
        fraction = crc32(b"%d.%d.%d" % (self.seed, self.voter, self.random_draws)) / 2**32
        self.election_deadline = (
            self.now + MIN_ELECTION_TIMEOUT + (MAX_ELECTION_TIMEOUT - MIN_ELECTION_TIMEOUT) * fraction
        )

    def become_follower(self) -> None:
        """End a candidacy or leadership, but keep the term, the election timeout and the known leader."""
        self.role = Role.FOLLOWER
        self.heartbeat_due = inf

    def step_down(self, term: int) -> None:
        """Become a follower in a higher term, in which this replica has no vote and no known leader."""
        self.become_follower()
        self.leader = None
        self.reset_election_timeout()
        self.save_vote(term, NO_VOTE)

    # Changes of the persistent state

    def save_vote(self, term: int, voted_for: int) -> None:
        """Set the current term and the vote."""
        self.persistent = msgspec.structs.replace(self.persistent, current_term=term, voted_for=voted_for)
        self.outbox.write(self.persistent)

    def save_entries(self, first_index: int, entries: tuple[LogEntry, ...]) -> None:
        """Replace the log from `first_index` on."""
        remaining = self.persistent.entries_before(first_index)
        if len(remaining) < len(self.persistent.entries):
            self.outbox.log_truncated(first_index - 1)
        self.persistent = msgspec.structs.replace(self.persistent, entries=[*remaining, *entries])
        self.outbox.write(self.persistent, first_index, entries)

    def save_identities(self, identities: dict[int, int], index: int) -> None:
        """Set the voters' storage identities, which the log entry at this index changed last."""
        self.persistent = msgspec.structs.replace(
            self.persistent, identities=identities, identities_index=index
        )
        self.save_all()

    def save_all(self) -> None:
        """Queue a write of the whole persistent state."""
        self.outbox.write(self.persistent, replacement=msgspec.msgpack.encode(self.persistent))

    # Messages

    def send(
        self,
        to: int,
        kind: MessageKind,
        log_index: int = 0,
        log_term: int = 0,
        commit_index: int = 0,
        success: bool = False,
        entries: tuple[LogEntry, ...] = (),
        payload: bytes = b"",
    ) -> None:
        """Queue a message to another voter, with this replica's identity and current term; see `Message`."""
        message = Message(
            VERSION,
            kind,
            self.voter,
            self.persistent.identity,
            self.persistent.current_term,
            log_index,
            log_term,
            commit_index,
            success,
            entries,
            payload,
        )
        self.outbox.send(to, message)
