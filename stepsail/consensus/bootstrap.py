"""Forms the cluster from voters with new storage, and lets a voter that lost its storage rejoin it.

Each voter's storage has an identity. Only a voter whose identity the other voters have recorded may vote.
"""

from __future__ import annotations

import msgspec

from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.replica_state import ReplicaState, Role
from stepsail.consensus.snapshot import SnapshotTransfer


class Bootstrap:
    """Collects the storage identities of voters that ask to join.

    Attributes:
        new_identities: Maps the number of each voter that sent a join request to its storage identity.
    """

    def __init__(self, replica: ReplicaState, snapshots: SnapshotTransfer) -> None:
        self.replica = replica
        self.snapshots = snapshots
        self.new_identities: dict[int, int] = {}

    def request_join(self) -> None:
        """Send a join request to all peers, once per election timeout."""
        replica = self.replica
        if replica.now >= replica.election_deadline:
            replica.reset_election_timeout()
            for peer in replica.peers:
                replica.send(peer, MessageKind.JOIN_REQUEST)
        self._form_cluster()

    def handle_join(self, request: Message) -> None:
        """Handle a join request from a voter with new storage."""
        replica = self.replica
        sender = request.sender
        may_vote = replica.may_vote(sender, request.identity)
        if replica.role is Role.JOINING:
            self.new_identities[sender] = request.identity
            self._form_cluster()
        elif replica.role is Role.LEADER and may_vote:
            self.snapshots.send(sender)
        elif replica.role is Role.LEADER:
            # The host fetches the identity with `take_new_identities` and proposes a command that admits it.
            self.new_identities[sender] = request.identity
        elif may_vote and not replica.persistent.last_index:
            # The cluster has just been formed, but the sender missed the join request of some voter.
            initial_state = msgspec.msgpack.encode(replica.persistent)
            replica.send(sender, MessageKind.INSTALL_SNAPSHOT, payload=initial_state)

    def take_new_identities(self) -> list[tuple[int, int]]:
        """Return and clear the voters that asked to join under an identity that may not vote yet.

        The result is empty unless this replica is the leader.
        """
        replica = self.replica
        if replica.role is not Role.LEADER:
            return []
        not_admitted = [
            (voter, identity)
            for voter, identity in sorted(self.new_identities.items())
            if not replica.may_vote(voter, identity)
        ]
        self.new_identities = {}
        return not_admitted

    def _form_cluster(self) -> None:
        """Form the cluster once every voter has asked to join with new storage.

        A majority is not enough: if a majority of an existing cluster lost its storage, these voters would
        form a second cluster beside the first.
        """
        replica = self.replica
        already_formed = replica.role is not Role.JOINING or replica.persistent.identities
        if already_formed or set(self.new_identities) != set(replica.peers):
            return
        own_identity = {replica.voter: replica.persistent.identity}
        replica.save_identities(self.new_identities | own_identity, replica.persistent.identities_index)
        replica.role = Role.FOLLOWER
        replica.reset_election_timeout()
