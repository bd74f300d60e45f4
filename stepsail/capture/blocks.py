"""The file format of a capture, and its reader: segments of checksummed blocks, with an index at the end.

A segment is a file. It begins with a title line, `stepsail capture N`, where N is the version of the format;
its blocks are frames (`store/frames.py`). The last block is an index: it contains the offset, first entry and
clock reading of each block of entries. A segment without this block was not closed.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from stepsail.capture.entries import DECODER, DECODER_FORMAT_1, Entry
from stepsail.store.frames import DamagedFileError, Frame, encode_frame, read_frame, split_entries

VERSION = 2  # since version 2, an entry holds the error that the router raised
OLDEST_VERSION = 1
TITLE_PREFIX = b"stepsail capture "
TITLE = TITLE_PREFIX + b"%d\n"
MAX_TITLE_BYTES = 64
# Maximum uncompressed size of a block. A block whose header states a larger size is damaged.
MAX_BLOCK_BYTES = 64 << 20
COMPRESSION_LEVEL = 3


class BlockKind(IntEnum):
    """The kind of content of a block. The numbers are part of the format."""

    META = 1
    SNAPSHOT = 2
    ENTRIES = 3
    END = 5


def encode_block(kind: BlockKind, payload: bytes, first_entry: int, clock: float) -> bytes:
    """Compress a payload and return the bytes of its block."""
    compressed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(payload)
    return encode_frame(kind, compressed, first_entry, clock)


@dataclass
class Segment:
    """The content of one capture file, with all checksums verified.

    Attributes:
        version: Version of the file format.
        data: All bytes of the file.
        meta: The segment's header.
        blocks: All blocks, including the header and the index.
        sealed: Whether the segment was closed, so that it ends with an index.
        torn_at: Offset at which a block begins that a crash cut short; None if no block was cut short.
    """

    file: Path
    version: int
    data: bytes
    meta: dict[str, Any] = field(default_factory=dict)
    blocks: list[Frame] = field(default_factory=list)
    sealed: bool = False
    torn_at: int | None = None

    def payload(self, block: Frame) -> bytes:
        """Return the uncompressed payload of a block. Raises DamagedFileError."""
        compressed = block.payload(self.data)
        try:
            return zstandard.ZstdDecompressor().decompress(compressed, max_output_size=MAX_BLOCK_BYTES)
        except zstandard.ZstdError as error:
            raise DamagedFileError(self.file, block.offset, str(error)) from None

    def snapshot(self) -> bytes | None:
        """Return the snapshot of the router at the segment's start.

        Returns None if the segment begins with the creation of the router.
        """
        return next((self.payload(block) for block in self.blocks if block.kind == BlockKind.SNAPSHOT), None)

    def entries(self, since: float | None = None) -> Iterator[tuple[int, Entry]]:
        """Yield the entries with their numbers.

        Args:
            since: Clock reading. Blocks before the block that contains this time are skipped without being
                uncompressed, so the first entries yielded may still be earlier. None: all entries.

        Raises:
            DamagedFileError: A block of entries cannot be decoded.
        """
        decode: Callable[[bytes], tuple[Any, ...]] = (
            DECODER_FORMAT_1.decode if self.version == 1 else DECODER.decode
        )
        for block in self._entry_blocks(since):
            number = block.first_entry
            try:
                for data in split_entries(self.payload(block)):
                    yield number, Entry(*decode(data))
                    number += 1
            except (struct.error, msgspec.MsgspecError) as error:
                raise DamagedFileError(self.file, block.offset, f"entry {number}: {error}") from None

    def _entry_blocks(self, since: float | None) -> list[Frame]:
        blocks = [block for block in self.blocks if block.kind == BlockKind.ENTRIES]
        if since is None:
            return blocks
        earlier = [block for block in blocks if block.clock <= since]
        return earlier[-1:] + [block for block in blocks if block.clock > since]

    def count(self) -> int:
        """Return the number of entries. Raises DamagedFileError."""
        return sum(1 for _ in self.entries())


def read_segment(file: Path) -> Segment:
    """Read a segment and verify its checksums. Raises DamagedFileError, OSError.

    An incomplete block at the end of the file is not treated as damage.
    """
    data = file.read_bytes()
    title = data[: data.find(b"\n", 0, MAX_TITLE_BYTES) + 1]
    versions = {TITLE % version: version for version in range(OLDEST_VERSION, VERSION + 1)}
    version = versions.get(title)
    if version is None:
        return _read_without_title(file, data, title)
    segment = Segment(file, version, data)
    offset = len(title)
    while offset < len(data):
        block = read_frame(file, data, offset)
        if block is None:
            segment.torn_at = offset
            break
        _add_block(segment, block)
        offset = block.end
    return segment


def _read_without_title(file: Path, data: bytes, title: bytes) -> Segment:
    """Return a segment that a crash cut short in its first line; other files raise DamagedFileError."""
    expected = TITLE % VERSION
    if len(data) < len(expected) and expected.startswith(data):
        return Segment(file, VERSION, data, torn_at=0)
    number = title.removeprefix(TITLE_PREFIX).removesuffix(b"\n")
    if title.startswith(TITLE_PREFIX) and number.isdigit() and int(number) > VERSION:
        raise DamagedFileError(file, 0, f"format {int(number)} is newer than {VERSION}, the newest supported")
    raise DamagedFileError(file, 0, "this is not a capture")


def _add_block(segment: Segment, block: Frame) -> None:
    """Append the next block to a segment. Raises DamagedFileError if the block is not allowed there."""
    if segment.sealed:
        raise DamagedFileError(segment.file, block.offset, "the file continues after the index")
    if block.kind == BlockKind.META:
        segment.meta = msgspec.msgpack.decode(segment.payload(block))
    elif not segment.meta:
        raise DamagedFileError(segment.file, block.offset, "the first block is not the segment's header")
    segment.blocks.append(block)
    if block.kind == BlockKind.END:
        _check_index(segment, block)
        segment.sealed = True


def _check_index(segment: Segment, end: Frame) -> None:
    index = msgspec.msgpack.decode(segment.payload(end))
    expected = [[b.offset, b.first_entry, b.clock] for b in segment.blocks if b.kind == BlockKind.ENTRIES]
    if index.get("blocks") != expected:
        raise DamagedFileError(segment.file, end.offset, "the index does not match the blocks of entries")
