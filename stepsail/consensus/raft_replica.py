"""Implements one Raft replica without I/O: time is an argument, and randomness comes from a seed.

The host of a replica must

- call `receive` for each message, and `tick` at `next_timeout` at the latest;
- sync the writes that `take_writes` returns, in order, and report this by `writes_synced`;
- send the messages that `take_messages` returns: it holds messages back until the state they depend on is
  synced;
- restore the snapshot that `take_snapshot` returns, then apply the entries that `take_committed` returns.

There are two differences from the paper. Messages may be lost, duplicated, delayed and reordered, so no
decision depends on the number of messages received. Each voter's storage has an identity, so that a voter
that lost its storage neither votes nor is part of a majority until the other voters have committed its new
identity.
"""

from __future__ import annotations

from stepsail.consensus.bootstrap import Bootstrap
from stepsail.consensus.election import Election
from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.outbox import Outbox
from stepsail.consensus.parameters import MAX_ENTRY_BYTES, MAX_UNCOMMITTED_ENTRIES
from stepsail.consensus.persistent_state import LogEntry, PersistentState, StateWrite
from stepsail.consensus.replica_state import ReplicaState, Role
from stepsail.consensus.replication import LogReplication
from stepsail.consensus.snapshot import SnapshotTransfer


class RaftReplica:
    """Combines the parts of one voter's replica, and passes messages and timeouts to them.

    Log indices begin at 1.

    Attributes:
        next_timeout: Latest time at which the host must call `tick`, in seconds on the host's clock.
    """

    def __init__(
        self, voter: int, voters: tuple[int, ...], persistent: PersistentState, seed: int, now: float
    ) -> None:
        self.replica = ReplicaState(voter, voters, persistent, seed, now)
        self.snapshots = SnapshotTransfer(self.replica)
        self.bootstrap = Bootstrap(self.replica, self.snapshots)
        self.replication = LogReplication(self.replica, self.snapshots)
        self.election = Election(self.replica, self._become_leader)
        self.next_timeout = now

    @property
    def role(self) -> Role:
        """The current role."""
        return self.replica.role

    @property
    def leader(self) -> int | None:
        """The leader of the current term; None if this replica does not know it."""
        return self.replica.leader

    @property
    def current_term(self) -> int:
        """Latest term that this replica has seen."""
        return self.replica.persistent.current_term

    @property
    def commit_index(self) -> int:
        """Highest log index known to be committed."""
        return self.replica.commit_index

    @property
    def outbox(self) -> Outbox:
        """Writes and messages that the host has not taken yet."""
        return self.replica.outbox

    # Time and messages

    def tick(self, now: float) -> None:
        """Handle the timeouts that have expired."""
        replica = self.replica
        replica.now = max(replica.now, now)
        if replica.role is Role.JOINING:
            self.bootstrap.request_join()
        elif replica.role is Role.LEADER:
            self.replication.heartbeat()
        elif replica.now >= replica.election_deadline:
            self.election.start()
        self.next_timeout = replica.next_timeout

    def receive(self, message: Message, now: float) -> None:
        """Handle a message, and ignore it if its sender is not a voter.

        Messages from a storage identity that may not vote are ignored as well, except for join requests and
        snapshots.
        """
        replica = self.replica
        replica.now = max(replica.now, now)
        if message.sender not in replica.peers:
            return
        if message.kind is MessageKind.JOIN_REQUEST:
            self.bootstrap.handle_join(message)
        elif message.kind is MessageKind.INSTALL_SNAPSHOT and message.payload:
            self.snapshots.install(message)
        elif replica.role is not Role.JOINING and replica.may_vote(message.sender, message.identity):
            self._receive_from_voter(message)
        self.next_timeout = replica.next_timeout

    def _receive_from_voter(self, message: Message) -> None:
        replica = self.replica
        kind = message.kind
        if kind is MessageKind.PRE_VOTE_REQUEST:
            self.election.handle_pre_vote_request(message)
            return
        if kind is MessageKind.PRE_VOTE_RESPONSE:
            self.election.handle_pre_vote_response(message)
            return
        if message.term > replica.persistent.current_term:
            replica.step_down(message.term)
        if kind is MessageKind.VOTE_REQUEST:
            self.election.handle_vote_request(message)
        elif kind is MessageKind.VOTE_RESPONSE:
            self.election.handle_vote_response(message)
        elif kind is MessageKind.APPEND_ENTRIES:
            self.replication.handle_append(message)
        elif kind is MessageKind.APPEND_RESPONSE and self._is_current_leader(message):
            self.replication.handle_response(message)

    def _is_current_leader(self, response: Message) -> bool:
        return self.replica.role is Role.LEADER and response.term == self.replica.persistent.current_term

    def _become_leader(self) -> None:
        self.bootstrap.new_identities = {}
        self.replication.become_leader()

    # Proposals and stable storage

    def propose(self, data: bytes) -> int | None:
        """Append a command to the log and return its index.

        Returns:
            The log index. None if this replica is not the leader, if the command is longer than
            `MAX_ENTRY_BYTES`, or if `MAX_UNCOMMITTED_ENTRIES` entries are uncommitted already.
        """
        replica = self.replica
        uncommitted = replica.persistent.last_index - replica.commit_index
        if (
            replica.role is not Role.LEADER
            or len(data) > MAX_ENTRY_BYTES
            or uncommitted >= MAX_UNCOMMITTED_ENTRIES
        ):
            return None
        return self.replication.append(data)

    def take_writes(self) -> list[StateWrite]:
        """Return the writes that the caller must sync, in order.

        The caller must report the number of the last synced write by `writes_synced`.
        """
        return self.outbox.take_writes()

    def writes_synced(self, number: int) -> None:
        """Record that all writes up to this number are on stable storage, and advance the commit index."""
        self.outbox.synced(number)
        if self.replica.role is Role.LEADER:
            self.replication.advance_commit_index()

    def take_messages(self) -> list[tuple[int, Message]]:
        """Return the messages to send now, in order, each with the number of its receiver."""
        return self.outbox.take_messages()

    # State machine

    def take_snapshot(self) -> bytes:
        """Return the snapshot to restore before any entries are applied; empty if there is none."""
        snapshot = self.replica.pending_snapshot
        self.replica.pending_snapshot = b""
        return snapshot

    def take_committed(self) -> list[tuple[int, LogEntry]]:
        """Return the committed entries that the state machine has not applied yet, with their indices."""
        replica = self.replica
        first_index = replica.last_applied + 1
        count = replica.commit_index - replica.last_applied
        committed = replica.persistent.entries_from(first_index)[:count] if count > 0 else []
        replica.last_applied = replica.commit_index
        return list(enumerate(committed, first_index))

    def compact(self, snapshot: bytes) -> None:
        """Compact the log if it has reached `SNAPSHOT_THRESHOLD`.

        Args:
            snapshot: State of the state machine after all entries that `take_committed` has returned.
        """
        self.snapshots.compact(snapshot)

    # Voters' identities

    def take_new_identities(self) -> list[tuple[int, int]]:
        """Return voters with new storage and their identities, which the host must propose to admit.

        The result is empty unless this replica is the leader.
        """
        return self.bootstrap.take_new_identities()

    def admit_identity(self, voter: int, identity: int, index: int) -> None:
        """Let a voter vote under a new storage identity.

        Args:
            voter: The voter's number.
            identity: The new identity of its storage.
            index: Log index of the committed entry that admits the identity.
        """
        replica = self.replica
        if voter in replica.voters and index > replica.persistent.identities_index:
            replica.save_identities(replica.persistent.identities | {voter: identity}, index)
            self.replication.reset_progress(voter)
