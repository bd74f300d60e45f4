"""Defines the messages between replicas and encodes them as versioned msgpack arrays.

The network may lose, duplicate, delay and reorder messages. The order of the fields of `Message` and the
values of `MessageKind` are part of the wire format.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from stepsail.consensus.parameters import MAX_ENTRIES_PER_MESSAGE
from stepsail.consensus.persistent_state import LogEntry

VERSION = 1
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=1 << 60)]


class MessageKind(IntEnum):
    """Lists Raft's remote procedure calls and their responses, and the join request."""

    JOIN_REQUEST = 0  # from a replica whose storage is new, or that does not belong to a cluster yet
    PRE_VOTE_REQUEST = 1
    PRE_VOTE_RESPONSE = 2
    VOTE_REQUEST = 3
    VOTE_RESPONSE = 4
    APPEND_ENTRIES = 5  # a heartbeat if it has no entries
    APPEND_RESPONSE = 6
    INSTALL_SNAPSHOT = 7


class InvalidMessageError(Exception):
    """Raised if bytes are not a message of this version, or if a field is out of range."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Holds one message of any kind; fields that a kind does not use have their default.

    Attributes:
        version: Version of the message format.
        kind: The request or response that this message is.
        sender: Number of the sending voter.
        identity: Identity of the sender's storage.
        term: The sender's current term.
        log_index: In APPEND_ENTRIES, index of the entry that precedes `entries`; in PRE_VOTE_REQUEST and
            VOTE_REQUEST, of the candidate's last entry; in APPEND_RESPONSE, of the last entry at which the
            follower's log matches the leader's or, without `success`, a hint after which entry to retry; in
            PRE_VOTE_RESPONSE, of the entry that last changed the identities in `payload`; in
            INSTALL_SNAPSHOT, of the last entry that the snapshot covers.
        log_term: Term of the entry at `log_index`.
        commit_index: The leader's commit index, but at most the index of the last entry in this message.
        success: Whether the vote or pre-vote is granted, or the entries matched the follower's log.
        entries: Log entries to append.
        payload: An encoded `PersistentState` (INSTALL_SNAPSHOT) or the voters' identities
            (PRE_VOTE_RESPONSE).
    """

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: MessageKind
    sender: UnsignedInt
    identity: UnsignedInt
    term: UnsignedInt
    log_index: UnsignedInt = 0
    log_term: UnsignedInt = 0
    commit_index: UnsignedInt = 0
    success: bool = False
    entries: Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=MAX_ENTRIES_PER_MESSAGE)] = ()
    payload: bytes = b""


DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the body of the datagram that carries `message`."""
    return ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode the body of a datagram.

    Raises:
        InvalidMessageError: The bytes are not a valid message of this version.
    """
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from None
