"""The trail's files: segments of entries in a chain. Synchronous; a thread of its own calls it.

A segment begins with a line of text, a START entry that names the entry and link it follows, then batches, heads and,
when it is closed, a last head. Nothing is ever appended to a file that a failed write or sync has touched, nor to one
from before a restart: a new segment begins, which says what it follows, and what the old one holds beyond that does
not count. So a torn tail stays where it is, and no byte that was written is changed.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path

import msgspec

from stepsail.store.frames import LENGTH, Damaged, Frame, frame, frame_at
from stepsail.trail.disk import Disk
from stepsail.trail.entries import NO_LINK, Kind, encode, links
from stepsail.trail.keys import Key, head_message

TITLE = b"stepsail trail 1\n"
SUFFIX = ".trail"
RESERVE = "reserve"
MOST_SEGMENT = 16 << 20  # bytes; a restart reads the last one only


class Part(IntEnum):
    """What a frame of a segment holds."""

    BATCH = 1
    HEAD = 2


@dataclass
class Head:
    """A signed link: all entries before `seq` are bound by it."""

    umpire: int
    seq: int
    chain: bytes
    wall: float
    key: str
    signature: bytes

    def message(self) -> bytes:
        return head_message(self.umpire, self.seq, self.chain, self.wall)


@dataclass
class Segment:
    """One file as found: its frames, where a torn tail begins, and the entries that it begins with."""

    name: str
    data: bytes
    frames: list[Frame] = field(default_factory=list)
    torn_at: int | None = None
    damaged: Damaged | None = None

    def entries(self) -> Iterator[tuple[int, bytes]]:
        """Numbered entries as bytes."""
        for one in self.frames:
            if one.kind == Part.BATCH:
                yield from zip(range(one.first, 1 << 62), unpack(self.data[one.start:one.end]), strict=False)

    def heads(self) -> Iterator[tuple[int, Head]]:
        """Each head with the offset of its frame."""
        for one in self.frames:
            if one.kind == Part.HEAD:
                yield one.offset, msgspec.msgpack.decode(self.data[one.start:one.end], type=Head)


def unpack(payload: bytes) -> list[bytes]:
    found, at = [], 0
    while at < len(payload):
        (size,) = LENGTH.unpack_from(payload, at)
        found.append(payload[at + LENGTH.size:at + LENGTH.size + size])
        at += LENGTH.size + size
    return found


def read_segment(name: str, data: bytes, file: Path) -> Segment:
    """What can be read; `damaged` tells where that ends before the file does. A torn tail is no damage."""
    segment = Segment(name, data)
    if not data.startswith(TITLE):
        if TITLE.startswith(data):
            segment.torn_at = 0
            return segment
        segment.damaged = Damaged(file, 0, "this is no trail")
        return segment
    at = len(TITLE)
    while at < len(data):
        try:
            found = frame_at(file, data, at)
        except Damaged as trouble:
            segment.damaged = trouble
            break
        if found is None:
            segment.torn_at = at
            break
        segment.frames.append(found)
        at = found.end
    return segment


def names_of_segments(disk: Disk) -> list[str]:
    return [n for n in disk.names() if n.endswith(SUFFIX)]


class TrailLog:
    """Writes one umpire's trail. Any OSError leaves it closed; `begin` starts a new segment."""

    def __init__(self, disk: Disk, umpire: int, run: str, key: Key, folder: Path) -> None:
        self.disk, self.umpire, self.run, self.key, self.folder = disk, umpire, run, key, folder
        self.seq, self.chain, self.number = 0, NO_LINK, 0
        self.signed_at = -1
        self.fd: int | None = None
        self.size = 0
        self.start_bytes: bytes = b""

    def recover(self) -> list[str]:
        """Find where the trail stands, from its last segments; what is to be told of them. Raises OSError.

        Reads backwards only until a segment with an entry: bounded by the size of a segment, not of the trail.
        """
        told = []
        names = names_of_segments(self.disk)
        if names:
            self.number = int(names[-1].split("-")[0]) + 1
        for name in reversed(names):
            segment = read_segment(name, self.disk.read(name), self.folder / name)
            if segment.damaged:
                told.append(f"{segment.damaged}; what follows there does not count, and an audit will say so")
            if segment.torn_at is not None:
                told.append(f"{name}: a torn tail at byte {segment.torn_at} does not count")
            entries = list(segment.entries())
            if not entries:
                continue
            first = msgspec.msgpack.decode(entries[0][1])
            before = bytes(first[2]["link"])
            self.seq, self.chain = entries[-1][0] + 1, links(before, [e for _, e in entries])
            break
        return told

    def begin(self, wall: float, more: list[bytes]) -> None:
        """A new segment: START, and whatever was not yet known to be kept. Synced before it returns."""
        self.abandon()
        name = f"{self.number:08d}-umpire{self.umpire}{SUFFIX}"
        self.number += 1
        self.fd = self.disk.create(name)
        old, signed = self.key.handover(self.folder) or ("", b"")
        start = encode(Kind.START, wall, umpire=self.umpire, run=self.run, follows=self.seq, link=self.chain,
                       key=self.key.name, public=self.key.public, old=old, signed=signed)
        self.disk.write(self.fd, TITLE)
        self.size = len(TITLE)
        self.append([start, *more], wall)
        self.head(wall)
        self.disk.sync(self.fd)
        self.disk.sync_folder()

    def append(self, entries: list[bytes], wall: float) -> None:
        """Write entries as one frame. Numbers and links move only once the write has gone through."""
        assert self.fd is not None
        payload = b"".join(LENGTH.pack(len(e)) + e for e in entries)
        data = frame(Part.BATCH, payload, self.seq, wall)
        self.disk.write(self.fd, data)
        self.size += len(data)
        self.seq += len(entries)
        self.chain = links(self.chain, entries)

    def sync(self) -> None:
        assert self.fd is not None
        self.disk.sync(self.fd)

    def head(self, wall: float) -> Head:
        """Sign where the trail stands."""
        assert self.fd is not None
        head = Head(self.umpire, self.seq, self.chain, wall, self.key.name, b"")
        head.signature = self.key.sign(head.message())
        data = frame(Part.HEAD, msgspec.msgpack.encode(head), self.seq, wall)
        self.disk.write(self.fd, data)
        self.size += len(data)
        self.signed_at = self.seq
        return head

    def back_to(self, seq: int, chain: bytes) -> None:
        """After a failed sync: what came after this is not to be trusted and will be written again."""
        self.seq, self.chain = seq, chain

    def close(self, wall: float) -> None:
        if self.fd is not None:
            self.head(wall)
            self.disk.sync(self.fd)
            self.abandon()

    def abandon(self) -> None:
        if self.fd is not None:
            fd, self.fd = self.fd, None
            with contextlib.suppress(OSError):  # whatever that means, nothing more goes to this file
                self.disk.close(fd)
