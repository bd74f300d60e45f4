"""Queues writes to stable storage, and messages that must not be sent before those writes are synced."""

from __future__ import annotations

from dataclasses import dataclass

from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.persistent_state import LogEntry, PersistentState, StateWrite

# Messages of all other kinds commit this replica to its persistent state (such as a vote that it granted), so
# they are sent only after that state is synced.
SENT_WITHOUT_SYNC = frozenset(
    {MessageKind.JOIN_REQUEST, MessageKind.APPEND_ENTRIES, MessageKind.INSTALL_SNAPSHOT}
)


@dataclass(frozen=True, slots=True)
class PendingMessage:
    """Holds a message to send once write number `after_write` is synced; 0 means that it may go at once."""

    after_write: int
    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class UnsyncedWrite:
    """Describes a write that is not known to be synced.

    Attributes:
        number: Number of the write.
        last_index: Index of the last log entry on stable storage once the write is synced.
    """

    number: int
    last_index: int


class Outbox:
    """Numbers the writes of one replica, and holds its messages back until the writes before them are synced.

    Attributes:
        durable_index: Index up to which the log is on stable storage.
        last_write: Number of the last write that was queued; the first one is 1.
        last_synced: Number of the last write that is known to be synced.
        writes: Queued writes that the host has not taken yet.
        unsynced: Writes that are not known to be synced, whether the host has taken them or not.
        messages: Messages that the host has not taken yet.
    """

    def __init__(self, last_index: int) -> None:
        self.durable_index = last_index
        self.last_write = 0
        self.last_synced = 0
        self.writes: list[StateWrite] = []
        self.unsynced: list[UnsyncedWrite] = []
        self.messages: list[PendingMessage] = []

    def write(
        self,
        state: PersistentState,
        first_index: int = 0,
        entries: tuple[LogEntry, ...] = (),
        replacement: bytes = b"",
    ) -> None:
        """Queue a write of the term and vote of `state`.

        Args:
            state: The new persistent state.
            first_index: Index from which `entries` replace the log; 0 if the log does not change.
            entries: New entries at the end of the log.
            replacement: The encoded `state` if the write replaces all of the stored state; empty otherwise.
        """
        self.last_write += 1
        self.writes.append(
            StateWrite(
                self.last_write, state.current_term, state.voted_for, first_index, entries, replacement
            )
        )
        self.unsynced.append(UnsyncedWrite(self.last_write, state.last_index))

    def log_truncated(self, last_index: int) -> None:
        """Limit the durable index, now and after pending writes, to the end of a truncated log."""
        self.durable_index = min(self.durable_index, last_index)
        self.unsynced = [
            UnsyncedWrite(write.number, min(write.last_index, last_index)) for write in self.unsynced
        ]

    def synced(self, number: int) -> None:
        """Record that all writes up to this number are on stable storage."""
        self.last_synced = max(self.last_synced, number)
        while self.unsynced and self.unsynced[0].number <= self.last_synced:
            self.durable_index = self.unsynced.pop(0).last_index

    def send(self, to: int, message: Message) -> None:
        """Queue a message, which waits for all earlier writes unless its kind is in `SENT_WITHOUT_SYNC`."""
        after_write = 0 if message.kind in SENT_WITHOUT_SYNC else self.last_write
        self.messages.append(PendingMessage(after_write, to, message))

    def take_writes(self) -> list[StateWrite]:
        """Return and clear the queued writes, which the caller must sync in order."""
        writes = self.writes
        self.writes = []
        return writes

    def take_messages(self) -> list[tuple[int, Message]]:
        """Return and dequeue the messages that may be sent now, each with the number of its receiver."""
        ready = [message for message in self.messages if message.after_write <= self.last_synced]
        self.messages = [message for message in self.messages if message.after_write > self.last_synced]
        return [(pending.to, pending.message) for pending in ready]
