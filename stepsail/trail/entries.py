"""The entries of a trail, and the hash chain over them.

Each entry has a link: the hash of the previous entry's link and of the entry's bytes. Removing, inserting,
moving or changing an entry therefore changes every later link. A signed head is a signature over a link.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

LINK_BYTES = 32
DIGEST_BYTES = 16
FIRST_LINK = bytes(LINK_BYTES)  # stands in for the previous link when the first entry is hashed


class EntryKind(IntEnum):
    """The kinds of entries. Numbers and field names are part of the format; never reuse a number."""

    # The comments list the fields of each kind in braces.
    START = 1  # {umpire, run, follows, link, key, public, old, signed}: the first entry of a segment
    # {receipt, product, verdict, status, digest, relays, label, request}: a final answer, recorded before the
    # first byte of its response is sent
    ANSWER = 2
    SENT = 3  # {receipt, whole}: whether the whole response was handed to the operating system
    RELEASE_STATE = 4  # {build, stage, phase, cap}
    VOTE = 5  # {build, stage, verdict, why}
    VOTE_ACKNOWLEDGED = 6  # {build, stage, receipt}
    ENDPOINT_STATE = 7  # {server, state}
    EXPOSURE = 8  # {build, relays, taken, cap, seconds}
    GAP = 9  # {answers, why, since}: the number of answers sent while nothing could be written
    KEY_HANDOVER = 10  # {key, old, signed}: a new key, signed with the old one
    # {file, follows, link, why}: a sealed segment is removed; `follows` and `link` are the position in the
    # chain at which its successor begins
    RETIRED = 11

    @property
    def exported_name(self) -> str:
        """Return the kind's name on the command line and in exports, which other programs read."""
        return _EXPORTED_NAMES.get(self, self.name.lower())


_EXPORTED_NAMES = {
    EntryKind.RELEASE_STATE: "news",
    EntryKind.VOTE_ACKNOWLEDGED: "voted",
    EntryKind.ENDPOINT_STATE: "drain",
    EntryKind.KEY_HANDOVER: "key",
}


class Entry(NamedTuple):
    """A decoded entry."""

    kind: int
    wall_time: float
    fields: dict[str, Any]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Entry)


def encode(kind: EntryKind, wall_time: float, **fields: Any) -> bytes:
    """Return the bytes of an entry."""
    return _ENCODER.encode((int(kind), wall_time, fields))


def decode(data: bytes) -> Entry:
    """Decode an entry. Raises msgspec.MsgspecError."""
    return _DECODER.decode(data)


class ChainPosition(NamedTuple):
    """A position in the chain: the number of the next entry, and the link of the entry before it.

    Attributes:
        seq: The number of the next entry; entries are numbered from 0.
        link: The link of the entry before it; `FIRST_LINK` at the start of the chain.
    """

    seq: int
    link: bytes

    def after(self, entries: Iterable[bytes]) -> ChainPosition:
        """Return the position after appending these entries."""
        seq, link = self
        for entry in entries:
            link = next_link(link, entry)
            seq += 1
        return ChainPosition(seq, link)


CHAIN_START = ChainPosition(0, FIRST_LINK)


def next_link(link: bytes, entry: bytes) -> bytes:
    """Return the link of an entry, given the link of the entry before it."""
    return hashlib.blake2b(link + entry, digest_size=LINK_BYTES).digest()


def answer_digest(status: int, body: bytes) -> str:
    """Return the hash of a response, used to compare a client's answer with the recorded one."""
    return hashlib.blake2b(b"%d " % status + body, digest_size=DIGEST_BYTES).hexdigest()
