"""Implements log replication: the AppendEntries requests of a leader and the responses of a follower."""

from __future__ import annotations

from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.parameters import (
    CHECK_QUORUM_TIMEOUT,
    HEARTBEAT_INTERVAL,
    MAX_ELECTION_TIMEOUT,
    MAX_ENTRIES_PER_MESSAGE,
)
from stepsail.consensus.persistent_state import LogEntry
from stepsail.consensus.replica_state import ReplicaState, Role
from stepsail.consensus.snapshot import SnapshotTransfer


class LogReplication:
    """Sends a replica's log to its followers while it leads, and appends a leader's entries while it follows.

    Attributes:
        next_index: For each follower, index of the next log entry to send to it.
        match_index: For each follower, index of the last log entry known to be on its stable storage.
        last_response: For each follower, time in seconds at which this leader last received a response.
    """

    def __init__(self, replica: ReplicaState, snapshots: SnapshotTransfer) -> None:
        self.replica = replica
        self.snapshots = snapshots
        self.next_index: dict[int, int] = {}
        self.match_index: dict[int, int] = {}
        self.last_response: dict[int, float] = {}

    # Leader

    def become_leader(self) -> None:
        """Become the leader of the current term and append a no-op entry.

        The no-op entry lets the leader commit entries of earlier terms: only an entry of the leader's own
        term is committed by counting the replicas that store it, and it commits all entries before it (Raft,
        section 5.4.2).
        """
        replica = self.replica
        replica.role = Role.LEADER
        replica.leader = replica.voter
        replica.heartbeat_due = replica.now
        self.next_index = dict.fromkeys(replica.peers, replica.persistent.last_index + 1)
        self.match_index = {}
        self.last_response = dict.fromkeys(replica.peers, replica.now)
        self.append(b"")

    def append(self, data: bytes) -> int:
        """Append an entry of the current term, send it to all followers, and return its index."""
        replica = self.replica
        entry = LogEntry(replica.persistent.current_term, data)
        replica.save_entries(replica.persistent.last_index + 1, (entry,))
        self.send_to_all()
        return replica.persistent.last_index

    def heartbeat(self) -> None:
        """Send a heartbeat if one is due, or step down if a majority has not responded recently.

        Without this rule (check quorum), a leader whose messages reach the followers while it receives none
        of theirs could commit nothing, and its heartbeats would keep the followers from electing another
        leader.
        """
        replica = self.replica
        responsive_followers = sum(
            replica.now - received_at < CHECK_QUORUM_TIMEOUT for received_at in self.last_response.values()
        )
        if responsive_followers + 1 < replica.majority:
            replica.become_follower()
            replica.leader = None
            # This time is longer than any election timeout, so that another replica starts an election first.
            replica.election_deadline = replica.now + 2 * MAX_ELECTION_TIMEOUT
        elif replica.now >= replica.heartbeat_due:
            replica.heartbeat_due = replica.now + HEARTBEAT_INTERVAL
            self.send_to_all()

    def send_to_all(self) -> None:
        """Send an AppendEntries request to each follower."""
        for peer in self.replica.peers:
            self._send_entries(peer)

    def _send_entries(self, to: int) -> None:
        """Send the entries from the follower's next index on, or a snapshot if they were compacted."""
        replica = self.replica
        persistent = replica.persistent
        if to not in persistent.identities:
            return
        previous_index = self.next_index.get(to, persistent.last_index + 1) - 1
        previous_term = persistent.term_at(previous_index)
        if previous_term is None:
            self.snapshots.send(to)
            return
        entries = tuple(persistent.entries_from(previous_index + 1)[:MAX_ENTRIES_PER_MESSAGE])
        commit_index = min(replica.commit_index, previous_index + len(entries))
        replica.send(
            to, MessageKind.APPEND_ENTRIES, previous_index, previous_term, commit_index, entries=entries
        )

    def handle_response(self, response: Message) -> None:
        """Update a follower's match index and next index from its response to AppendEntries.

        Further entries are sent at once only if the response changes one of these indices. The network may
        duplicate messages, and a reply to each duplicate would multiply them. Entries that are lost are sent
        again with the next heartbeat.
        """
        follower = response.sender
        match_index = self.match_index.get(follower, 0)
        last_index = self.replica.persistent.last_index
        self.last_response[follower] = self.replica.now
        if response.success and min(response.log_index, last_index) > match_index:
            match_index = min(response.log_index, last_index)
            self.match_index[follower] = match_index
            self.next_index[follower] = max(self.next_index.get(follower, 1), match_index + 1)
            self.advance_commit_index()
            if self.next_index[follower] <= self.replica.persistent.last_index:
                self._send_entries(follower)
        elif not response.success:
            retry_index = max(response.log_index, match_index) + 1
            if retry_index < self.next_index.get(follower, last_index + 1):
                self.next_index[follower] = retry_index
                self._send_entries(follower)

    def advance_commit_index(self) -> None:
        """Commit the entries that a majority has on stable storage.

        The last of these entries must belong to the current term (Raft, section 5.4.2).
        """
        replica = self.replica
        durable_indices = [
            replica.outbox.durable_index,
            *(self.match_index.get(peer, 0) for peer in replica.peers),
        ]
        durable_indices.sort(reverse=True)
        majority_index = durable_indices[replica.majority - 1]
        persistent = replica.persistent
        if (
            majority_index > replica.commit_index
            and persistent.term_at(majority_index) == persistent.current_term
        ):
            replica.commit_index = majority_index
            self.send_to_all()

    def reset_progress(self, follower: int) -> None:
        """Reset the match index of a follower that lost its storage and the entries in it."""
        self.match_index.pop(follower, None)

    # Follower

    def handle_append(self, request: Message) -> None:
        """Append a leader's entries if the log matches at the entry before them."""
        replica = self.replica
        if request.term < replica.persistent.current_term:
            self._respond(request, replica.persistent.last_index, success=False)
            return
        if replica.role is not Role.FOLLOWER:
            replica.become_follower()
        replica.leader = request.sender
        replica.last_heartbeat = replica.now
        replica.reset_election_timeout()
        snapshot_index = replica.persistent.snapshot_index
        if request.log_index < snapshot_index:
            # All entries up to the snapshot's index are committed, so they match the leader's log.
            self._respond(request, snapshot_index, success=True)
            return
        if replica.persistent.term_at(request.log_index) != request.log_term:
            # The hint is the last index of this log if the log is shorter than the leader assumed, otherwise
            # the index one before the mismatch. The leader retries from the entry after the hint.
            hint_index = min(replica.persistent.last_index, max(snapshot_index, request.log_index - 1))
            self._respond(request, hint_index, success=False)
            return
        self._append_missing(request)
        last_new_index = request.log_index + len(request.entries)
        replica.commit_index = max(replica.commit_index, min(request.commit_index, last_new_index))
        self._respond(request, last_new_index, success=True)

    def _append_missing(self, request: Message) -> None:
        """Replace the log from the first entry on that is missing or belongs to another term."""
        for offset, entry in enumerate(request.entries):
            index = request.log_index + 1 + offset
            if self.replica.persistent.term_at(index) != entry.term:
                self.replica.save_entries(index, request.entries[offset:])
                return

    def _respond(self, request: Message, log_index: int, success: bool) -> None:
        self.replica.send(request.sender, MessageKind.APPEND_RESPONSE, log_index, success=success)
