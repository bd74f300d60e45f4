"""What keepers say to each other: msgpack, versioned, bounded; lost, doubled, late and reordered at will."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from stepsail.consensus.entries import Entry
from stepsail.consensus.terms import MOST_BATCH

VERSION = 1
Whole = Annotated[int, msgspec.Meta(ge=0, le=1 << 60)]


class Kind(IntEnum):
    """Questions and answers."""

    NEW = 0  # my files are new, or I know of no order yet
    ASK_PRE = 1  # would you vote for me?
    PRE = 2
    ASK_VOTE = 3
    VOTE = 4
    APPEND = 5  # entries behind `index`, and how far all is decided; none: a leader's beat
    APPENDED = 6
    INSTALL = 7  # a snapshot in place of entries that are not at hand any more


class BadMessage(Exception):
    """Not a message of this version, or out of bounds."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """`files`: of the sender; `index`, `index_term`: the entry before those sent, the sender's last one, or up to
    which a follower has all; `yes`: a vote, or that entries fit; `whole`: a durable state."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: Kind
    sender: Whole
    files: Whole
    term: Whole
    index: Whole = 0
    index_term: Whole = 0
    decided: Whole = 0
    yes: bool = False
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MOST_BATCH)] = ()
    whole: bytes = b""


DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    return ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Raises BadMessage."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as trouble:
        raise BadMessage(str(trouble)) from None
