"""What umpires and keepers say to each other about policies: msgpack, versioned, bounded, lost at will."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from stepsail.policy.terms import MOST_TEXT

VERSION = 1
Whole = Annotated[int, msgspec.Meta(ge=0, le=1 << 60)]


class Kind(IntEnum):
    """Questions and answers."""

    ASK = 0  # admit me; or, admitted: what became of this change?
    ADMITTED = 1  # you are, and this policy is in force
    LATER = 2  # ask again; `start`: above which a start must be
    PREPARE = 3  # a change is pending: confirm it
    CONFIRM = 4
    CANNOT = 5  # I cannot use it, and why
    HELD = 6  # this policy was decided
    GIVEN_UP = 7  # this one never will be
    LEAVE = 8  # I take nothing any more


class BadWord(Exception):
    """Not a word of this version, or out of bounds."""


class Word(msgspec.Struct, frozen=True, array_like=True):
    """`umpire`, `start`: the life that speaks or is spoken to; `number`, `text`: of the policy; `held`: the one in
    force where `number` was given up."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: Kind
    umpire: Whole
    start: Whole
    number: Whole = 0
    text: Annotated[str, msgspec.Meta(max_length=MOST_TEXT)] = ""
    host: Annotated[str, msgspec.Meta(max_length=64)] = ""
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    held: Whole = 0


DECODER = msgspec.msgpack.Decoder(Word)


def encode(word: Word) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> Word:
    """Raises BadWord."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as trouble:
        raise BadWord(str(trouble)) from None
