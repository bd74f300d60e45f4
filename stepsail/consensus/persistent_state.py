"""Defines Raft's persistent state, and the writes that change it.

All types are stored and sent as msgpack arrays, so the order of their fields is part of the file and message
formats.
"""

from __future__ import annotations

import msgspec

NO_VOTE = -1  # `voted_for` of a replica that has not voted in its current term


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """Holds one log entry.

    Attributes:
        term: Term of the leader that created the entry.
        data: A command for the state machine; empty for the no-op entry at the beginning of a leader's term.
    """

    term: int
    data: bytes


class PersistentState(msgspec.Struct, array_like=True):
    """Holds the state that a replica must have on stable storage before it responds to a message.

    Attributes:
        identity: Identity of this replica's storage: the time of its creation in milliseconds. A replica that
            lost its storage gets a new identity.
        current_term: Latest term that the replica has seen.
        voted_for: Candidate that received the replica's vote in the current term, or `NO_VOTE`.
        snapshot_index: Index of the last log entry that the snapshot covers; 0 without a snapshot.
        snapshot_term: Term of the entry at `snapshot_index`.
        snapshot: State of the state machine after the entry at `snapshot_index`.
        identities: Maps each voter's number to the storage identity under which it may vote; empty until the
            cluster has been formed.
        identities_index: Log index of the entry that last changed `identities`.
        entries: Log entries after the snapshot.
    """

    identity: int
    current_term: int = 0
    voted_for: int = NO_VOTE
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot: bytes = b""
    identities: dict[int, int] = msgspec.field(default_factory=dict)
    identities_index: int = 0
    entries: list[LogEntry] = msgspec.field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last log entry; 0 for an empty log."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if the entry was compacted or does not exist."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def entries_from(self, first_index: int) -> list[LogEntry]:
        """Return the log entries from `first_index` on, which must be greater than `snapshot_index`."""
        return self.entries[first_index - self.snapshot_index - 1 :]

    def entries_before(self, first_index: int) -> list[LogEntry]:
        """Return the log entries that the snapshot does not cover and that precede `first_index`."""
        return self.entries[: first_index - self.snapshot_index - 1]


class StateWrite(msgspec.Struct, frozen=True, array_like=True):
    """Holds one change of the persistent state.

    Attributes:
        number: Number of the write. Writes are numbered from 1 in the order in which they must be synced.
        current_term: New current term.
        voted_for: New vote.
        first_index: Index from which `entries` replace the log; 0 if the log does not change.
        entries: New entries at the end of the log.
        replacement: An encoded `PersistentState` that replaces the whole stored state, including its term,
            vote and log; empty for a partial change.
    """

    number: int
    current_term: int
    voted_for: int
    first_index: int = 0
    entries: tuple[LogEntry, ...] = ()
    replacement: bytes = b""


def apply_write(state: PersistentState, write: StateWrite) -> PersistentState:
    """Return `state` as changed by `write`."""
    if write.replacement:
        return msgspec.msgpack.decode(write.replacement, type=PersistentState)
    entries = state.entries
    if write.first_index:
        entries = [*state.entries_before(write.first_index), *write.entries]
    return msgspec.structs.replace(
        state, current_term=write.current_term, voted_for=write.voted_for, entries=entries
    )
