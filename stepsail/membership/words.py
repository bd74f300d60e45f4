"""The words that umpires say about each other: msgpack, versioned, bounded, lost at will."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated
from zlib import crc32

import msgspec

from stepsail.membership.records import Count, Host, Number, PortNumber, Record
from stepsail.membership.terms import BUCKETS, MOST_BYTES

VERSION = 1
MARK = b"tell"  # begins what is not a word of the view; a word's checksum is the same once in 2^32
HEAD = 70  # bytes of a word without news and load, at most
ROW = 45  # bytes of a record without its zone and host, with all numbers at their longest
MOST_NEWS = MOST_BYTES // 10


class Kind(IntEnum):
    """What a word asks or tells."""

    PING = 0  # are you there?
    ACK = 1  # yes; to a probe, or in another's stead
    ASK = 2  # probe that one for me
    NACK = 3  # it has not answered me either
    COMPARE = 4  # digests of my list's buckets
    PIECE = 5  # records, for a list that differs


class BadWord(Exception):
    """Not a word of this fleet and version, or out of bounds."""


Digest = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]


class Word(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `count`: of the sender's words, within its life; `serial`: of the probe that it belongs to;
    `about`: number of the one asked for, `about_at` its address; `load`: buckets' digests; `news`: claims, the
    sender's own first."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: Kind
    count: Count
    serial: Count
    about: Number
    about_at: tuple[Host, PortNumber] | None
    load: Annotated[list[Digest], msgspec.Meta(max_length=BUCKETS)]
    news: Annotated[list[Record], msgspec.Meta(min_length=1, max_length=MOST_NEWS)]


DECODER = msgspec.msgpack.Decoder(Word)


def sealed(mark: bytes, fleet: int, body: bytes) -> bytes:
    """What goes over the view's port beside the view's own words: a mark of four bytes, and a checksum as theirs."""
    return mark + crc32(body, fleet).to_bytes(4, "big") + body


def opened(fleet: int, data: bytes, least: int) -> bytes:
    """What was sealed, of so many bytes at least. Raises BadWord."""
    body = data[8:]
    if len(body) < least or crc32(body, fleet) != int.from_bytes(data[4:8], "big"):
        raise BadWord("not of this fleet, or not whole")
    return body


def wrap(fleet: int, number: int, start: int, text: bytes) -> bytes:
    """What one umpire tells another beside the view's own words, under the name of its present life."""
    return sealed(MARK, fleet, number.to_bytes(4, "big") + start.to_bytes(8, "big") + text)


def unwrap(fleet: int, data: bytes) -> tuple[int, int, bytes]:
    """Number and start of who tells it, and what it is. Raises BadWord."""
    body = opened(fleet, data, 12)
    return int.from_bytes(body[:4], "big"), int.from_bytes(body[4:12], "big"), body[12:]


def row_size(record: Record) -> int:
    """Bytes that a record takes in a word, at most."""
    return ROW + len(record.zone.encode()) + len(record.host)


def encode(fleet: int, word: Word) -> bytes:
    """The word under a checksum, which begins with the fleet's own number: words of others never fit."""
    body = msgspec.msgpack.encode(word)
    return crc32(body, fleet).to_bytes(4, "big") + body


def decode(fleet: int, data: bytes) -> Word:
    """Raises BadWord for whatever is not a whole word of this fleet and version."""
    if len(data) > MOST_BYTES or crc32(data[4:], fleet) != int.from_bytes(data[:4], "big"):
        raise BadWord("not of this fleet, or not whole")
    try:
        word = DECODER.decode(data[4:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as trouble:
        raise BadWord(str(trouble)) from None
    if len(word.load) not in (0, BUCKETS):
        raise BadWord("not as many digests as there are buckets")
    return word


def fitting(records: Sequence[Record], room: int) -> list[Record]:
    """The first of these that fit into so many bytes."""
    found = []
    for record in records:
        room -= row_size(record)
        if room < 0:
            break
        found.append(record)
    return found
