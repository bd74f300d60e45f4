"""Segments of a capture: blocks with checksums, an index at the end, and a reader that never guesses.

A segment begins with a line of text, `stepsail capture N`. Each block has a header with a checksum of its own, so
that a header that was cut short (a torn tail, normal after a crash) is told from one that was changed (damage).
The last block holds the offsets and times of the others; a segment without it was not closed.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
import xxhash
import zstandard

from stepsail.capture.entries import DECODER, OLD_DECODER, Entry

VERSION = 2  # 2: entries hold the error that the module raised
OLDEST = 1
TITLE = b"stepsail capture %d\n"
MARK = b"\xa5SB\x01"
HEADER = struct.Struct("<4sB3xIQdQ")  # mark, kind, bytes, first entry, its clock, checksum of the payload
CHECK = struct.Struct("<I")  # checksum of the header
HEAD = HEADER.size + CHECK.size
LENGTH = struct.Struct("<I")
MOST_BLOCK = 64 << 20  # bytes of a block, unpacked; a larger claim is damage


class Kind(IntEnum):
    """What a block holds."""

    META = 1
    STATE = 2
    ENTRIES = 3
    END = 5


class Damaged(Exception):
    """Bytes that are not what was written: file, offset, and why."""

    def __init__(self, file: Path, offset: int, why: str) -> None:
        super().__init__(f"{file}: damaged at byte {offset}: {why}")
        self.file, self.offset = file, offset


def block(kind: Kind, payload: bytes, first: int, clock: float) -> bytes:
    """The bytes of one block; the payload is compressed here."""
    packed = zstandard.ZstdCompressor(level=3).compress(payload)
    head = HEADER.pack(MARK, kind, len(packed), first, clock, xxhash.xxh64_intdigest(packed))
    return head + CHECK.pack(xxhash.xxh32_intdigest(head)) + packed


@dataclass
class Block:
    """One block found: where, what kind, its first entry and that one's clock."""

    offset: int
    kind: int
    first: int
    clock: float
    start: int
    end: int


@dataclass
class Segment:
    """One file, checked whole. `torn_at`: where a tail begins that a crash cut short, else None."""

    file: Path
    version: int
    data: bytes
    meta: dict[str, Any] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    sealed: bool = False
    torn_at: int | None = None

    def payload(self, found: Block) -> bytes:
        """Raises Damaged."""
        packed = self.data[found.start:found.end]
        try:
            return zstandard.ZstdDecompressor().decompress(packed, max_output_size=MOST_BLOCK)
        except zstandard.ZstdError as trouble:
            raise Damaged(self.file, found.offset, str(trouble)) from None

    def state(self) -> bytes | None:
        """The snapshot at its start; None where the segment begins with an umpire's own start."""
        return next((self.payload(b) for b in self.blocks if b.kind == Kind.STATE), None)

    def entries(self, since: float | None = None) -> Iterator[tuple[int, Entry]]:
        """Numbered entries; from the last block that begins by then, if a clock reading is given."""
        wanted = [b for b in self.blocks if b.kind == Kind.ENTRIES]
        if since is not None:
            earlier = [b for b in wanted if b.clock <= since]
            wanted = earlier[-1:] + [b for b in wanted if b.clock > since]
        for found in wanted:
            payload, at, number = self.payload(found), 0, found.first
            while at < len(payload):
                try:
                    (size,) = LENGTH.unpack_from(payload, at)
                    yield number, self._entry(payload[at + LENGTH.size:at + LENGTH.size + size])
                except (struct.error, msgspec.MsgspecError) as trouble:
                    raise Damaged(self.file, found.offset, f"entry {number}: {trouble}") from None
                at, number = at + LENGTH.size + size, number + 1

    def _entry(self, data: bytes) -> Entry:
        return Entry(*OLD_DECODER.decode(data)) if self.version == 1 else Entry(*DECODER.decode(data))

    def count(self) -> int:
        return sum(1 for _ in self.entries())


def read_segment(file: Path) -> Segment:
    """Check every byte. Raises Damaged, OSError; a torn tail is no damage and is told by `torn_at`."""
    data = file.read_bytes()
    line_end = data.find(b"\n", 0, 64)
    title = data[:line_end + 1]
    versions = {TITLE % v: v for v in range(OLDEST, VERSION + 1)}
    if line_end < 0 or title not in versions:
        if len(data) < len(TITLE % VERSION) and (TITLE % VERSION).startswith(data):
            return Segment(file, VERSION, data, torn_at=0)
        if title.startswith(b"stepsail capture ") and title[17:-1].isdigit() and int(title[17:-1]) > VERSION:
            raise Damaged(file, 0, f"format {int(title[17:-1])} is newer than this program's {VERSION}")
        raise Damaged(file, 0, "this is no capture")
    segment = Segment(file, versions[title], data)
    at = len(title)
    while at < len(data):
        found = _block_at(segment, at)
        if found is None:
            segment.torn_at = at
            break
        if segment.sealed:
            raise Damaged(file, at, "bytes behind the end block")
        if found.kind == Kind.META:
            segment.meta = msgspec.msgpack.decode(segment.payload(found))
        elif not segment.meta:
            raise Damaged(file, at, "the first block is not what a segment begins with")
        segment.blocks.append(found)
        if found.kind == Kind.END:
            _check_index(segment, found)
            segment.sealed = True
        at = found.end
    return segment


def _block_at(segment: Segment, at: int) -> Block | None:
    """The block there; None for a tail that a crash cut short."""
    data = segment.data
    head = data[at:at + HEAD]
    if len(head) < HEAD or not any(data[at:]):  # cut inside a header, or space that was never written
        if len(head) < HEAD and not MARK.startswith(head[:4]) and any(head):
            raise Damaged(segment.file, at, "this begins no block")
        return None
    mark, kind, size, first, clock, check = HEADER.unpack(head[:HEADER.size])
    if CHECK.unpack(head[HEADER.size:])[0] != xxhash.xxh32_intdigest(head[:HEADER.size]) or mark != MARK:
        raise Damaged(segment.file, at, "a block's header is not what was written")
    start, end = at + HEAD, at + HEAD + size
    if end > len(data):
        return None
    if xxhash.xxh64_intdigest(data[start:end]) != check:
        if end == len(data) and not any(data[end - 16:end]):
            return None  # the length reached the disk and the last bytes did not
        raise Damaged(segment.file, at, "a block's payload is not what was written")
    return Block(at, kind, first, clock, start, end)


def _check_index(segment: Segment, end: Block) -> None:
    told = msgspec.msgpack.decode(segment.payload(end))
    seen = [[b.offset, b.first, b.clock] for b in segment.blocks if b.kind == Kind.ENTRIES]
    if told.get("blocks") != seen:
        raise Damaged(segment.file, end.offset, "the index names other blocks than there are")
