"""Compacts the log, and sends snapshots to replicas that need entries that were compacted."""

from __future__ import annotations

import msgspec

from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.parameters import SNAPSHOT_THRESHOLD
from stepsail.consensus.persistent_state import NO_VOTE, PersistentState
from stepsail.consensus.replica_state import ReplicaState, Role


class SnapshotTransfer:
    """Compacts one replica's log, and sends and installs snapshots (Raft, InstallSnapshot)."""

    def __init__(self, replica: ReplicaState) -> None:
        self.replica = replica

    def compact(self, snapshot: bytes) -> None:
        """Replace the log's applied entries with a snapshot once there are `SNAPSHOT_THRESHOLD` of them."""
        replica = self.replica
        persistent = replica.persistent
        if replica.last_applied - persistent.snapshot_index < SNAPSHOT_THRESHOLD:
            return
        term = persistent.term_at(replica.last_applied)
        assert term is not None
        replica.persistent = msgspec.structs.replace(
            persistent,
            snapshot_index=replica.last_applied,
            snapshot_term=term,
            snapshot=snapshot,
            entries=persistent.entries_from(replica.last_applied + 1),
        )
        replica.save_all()

    def send(self, to: int) -> None:
        """Send the persistent state with the snapshot, without this replica's identity, term and vote."""
        replica = self.replica
        persistent = replica.persistent
        if replica.pending_snapshot:
            # This replica's own state machine has not restored its pending snapshot yet.
            return
        shared_state = msgspec.structs.replace(persistent, identity=0, current_term=0, voted_for=NO_VOTE)
        replica.send(
            to,
            MessageKind.INSTALL_SNAPSHOT,
            persistent.snapshot_index,
            persistent.snapshot_term,
            payload=msgspec.msgpack.encode(shared_state),
        )

    def install(self, message: Message) -> None:
        """Install a received snapshot if it is newer than this replica's own, or its first one."""
        replica = self.replica
        try:
            received = msgspec.msgpack.decode(message.payload, type=PersistentState)
        except (msgspec.MsgspecError, ValueError):
            return
        if not self._accepts(message, received):
            return
        own = replica.persistent
        term = max(own.current_term, message.term)
        entries = received.entries
        if (
            own.term_at(received.snapshot_index) == received.snapshot_term
            and own.last_index > received.last_index
        ):
            # This replica's log matches at the snapshot's index, and is longer than the received one.
            entries = own.entries_from(received.snapshot_index + 1)
        use_received_identities = not own.identities or received.identities_index >= own.identities_index
        identities_source = received if use_received_identities else own
        replica.persistent = PersistentState(
            own.identity,
            term,
            own.voted_for if term == own.current_term else NO_VOTE,
            received.snapshot_index,
            received.snapshot_term,
            received.snapshot,
            identities_source.identities,
            identities_source.identities_index,
            entries,
        )
        replica.pending_snapshot = received.snapshot
        replica.commit_index = max(replica.commit_index, received.snapshot_index)
        replica.last_applied = received.snapshot_index
        replica.outbox.log_truncated(received.snapshot_index)
        replica.save_all()
        replica.role = Role.FOLLOWER
        replica.leader = None
        replica.reset_election_timeout()

    def _accepts(self, message: Message, received: PersistentState) -> bool:
        """Return whether to install a snapshot.

        It must be addressed to this replica's storage identity. A replica that belongs to the cluster only
        accepts a snapshot that is newer than its own, from a voter, while it is not the leader.
        """
        replica = self.replica
        own = replica.persistent
        if message.term < own.current_term or received.identities.get(replica.voter) != own.identity:
            return False
        if replica.role is Role.JOINING:
            return True
        return (
            received.snapshot_index > own.snapshot_index
            and replica.role is not Role.LEADER
            and replica.may_vote(message.sender, message.identity)
        )
