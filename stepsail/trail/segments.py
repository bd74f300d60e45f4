"""Reads the segments of a trail: files of frames that hold batches of entries or signed heads.

A segment begins with a line of text and a START entry, which states the segment's position in the chain.
Batches and heads follow; a sealed segment ends with a head.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec

from stepsail.store.frames import DamagedFileError, Frame, read_frame, split_entries
from stepsail.trail.disk import Disk
from stepsail.trail.entries import ChainPosition, EntryKind, decode
from stepsail.trail.errors import UnreadableSegmentError
from stepsail.trail.keys import head_message
from stepsail.trail.retention import SealedSegment

TITLE = b"stepsail trail 1\n"
SUFFIX = ".trail"
# Number of bytes read from the beginning of a segment; they usually include its START entry.
START_READ_BYTES = 4096


class FrameKind(IntEnum):
    """The kinds of frames in a segment. Numbers are part of the format."""

    BATCH = 1
    HEAD = 2


class SignedHead(
    msgspec.Struct,
    frozen=True,
    rename={"instance": "umpire", "link": "chain", "wall_time": "wall", "key_id": "key"},
):
    """A signature over the link before entry `seq`, and thereby over all earlier entries.

    The fields are stored under the names that they had in the first version of the format.
    """

    instance: int
    seq: int
    link: bytes
    wall_time: float
    key_id: str
    signature: bytes

    def message(self) -> bytes:
        """Return the message that the signature covers."""
        return head_message(self.instance, self.seq, self.link, self.wall_time)


@dataclass(frozen=True, slots=True)
class StartEntry:
    """The first entry of a segment.

    Each property reads its own field, because older trails lack some of the fields.
    """

    wall_time: float
    fields: dict[str, Any]

    @property
    def follows(self) -> ChainPosition:
        """Return the position in the chain at which the segment begins."""
        return ChainPosition(int(self.fields["follows"]), bytes(self.fields["link"]))

    @property
    def key_id(self) -> str:
        """Return the id of the key that signs the segment's heads."""
        key_id: str = self.fields["key"]
        return key_id

    @property
    def public_key(self) -> bytes:
        """Return the public key that belongs to `key_id`."""
        return bytes(self.fields["public"])

    @property
    def old_key_id(self) -> str:
        """Return the id of the key that preceded `key_id`; empty if there is none."""
        old_key_id: str = self.fields.get("old", "")
        return old_key_id

    @property
    def handover_signature(self) -> bytes:
        """Return the old key's signature over `public_key`; empty if there is none."""
        return bytes(self.fields.get("signed", b""))


@dataclass
class Segment:
    """A segment file as read.

    Attributes:
        frames: The frames that could be read, in the order of the file.
        torn_at: The offset of a tail that a crash cut short; None if there is none.
        damaged: The damage at which reading stopped; None if there is none.
        read_error: The error with which reading the file failed; None if the file was read.
    """

    name: str
    data: bytes
    frames: list[Frame] = field(default_factory=list)
    torn_at: int | None = None
    damaged: DamagedFileError | None = None
    read_error: OSError | None = None

    def contents(self) -> Iterator[tuple[int, bytes | SignedHead]]:
        """Yield the encoded entries with their numbers and the heads with their `seq`, in file order."""
        for frame in self.frames:
            if frame.kind == FrameKind.BATCH:
                yield from self._batch(frame)
            elif frame.kind == FrameKind.HEAD:
                head = self._head(frame)
                yield head.seq, head

    def entries(self) -> Iterator[tuple[int, bytes]]:
        """Yield the encoded entries with their numbers."""
        for frame in self.frames:
            if frame.kind == FrameKind.BATCH:
                yield from self._batch(frame)

    def start(self) -> StartEntry | None:
        """Return the START entry; None if the segment has no entry, or its first entry is of another kind."""
        first = next((decode(data) for _, data in self.entries()), None)
        if first is None or first.kind != EntryKind.START:
            return None
        return StartEntry(first.wall_time, first.fields)

    def heads(self) -> Iterator[SignedHead]:
        """Yield the heads in the order of the file."""
        return (self._head(frame) for frame in self.frames if frame.kind == FrameKind.HEAD)

    def _batch(self, frame: Frame) -> Iterator[tuple[int, bytes]]:
        entries = list(split_entries(frame.payload(self.data)))
        return zip(itertools.count(frame.first_entry), entries, strict=False)

    def _head(self, frame: Frame) -> SignedHead:
        return msgspec.msgpack.decode(frame.payload(self.data), type=SignedHead)


def parse_segment(name: str, data: bytes, file: Path) -> Segment:
    """Parse a segment as far as possible.

    A torn tail sets `torn_at` and does not count as damage; any other invalid data sets `damaged`.
    """
    segment = Segment(name, data)
    if not data.startswith(TITLE):
        if TITLE.startswith(data):
            segment.torn_at = 0
        else:
            segment.damaged = DamagedFileError(file, 0, "not a trail segment")
        return segment
    offset = len(TITLE)
    while offset < len(data):
        try:
            frame = read_frame(file, data, offset)
        except DamagedFileError as error:
            segment.damaged = error
            break
        if frame is None:
            segment.torn_at = offset
            break
        segment.frames.append(frame)
        offset = frame.end
    return segment


def segment_names(disk: Disk) -> list[str]:
    """Return the names of all segments, oldest first."""
    return [name for name in disk.names() if name.endswith(SUFFIX)]


def read_required_segment(disk: Disk, name: str, folder: Path) -> Segment:
    """Read a segment without which the trail cannot be continued. Raises UnreadableSegmentError."""
    try:
        return parse_segment(name, disk.read(name), folder / name)
    except OSError as error:
        raise UnreadableSegmentError(folder / name, error) from None


@dataclass(frozen=True, slots=True)
class SealedSegments:
    """The oldest sealed segments, and the total size of all segments."""

    oldest: list[SealedSegment]
    total_bytes: int


class SegmentCatalog:
    """Lists the segments of a trail for retention.

    The sizes of sealed segments are cached, because the files of sealed segments never change.
    """

    def __init__(self, disk: Disk, folder: Path) -> None:
        self.disk = disk
        self.folder = folder
        self._sealed_sizes: dict[str, int] = {}

    def sealed(self, limit: int) -> SealedSegments:
        """Return up to `limit` segments that have a successor, oldest first. Raises OSError."""
        names = segment_names(self.disk)
        sizes = self._sealed_sizes
        self._sealed_sizes = {name: sizes.get(name) or self.disk.size(name) for name in names[:-1]}
        total = sum(self._sealed_sizes.values()) + sum(self.disk.size(name) for name in names[-1:])
        oldest: list[SealedSegment] = []
        for index, name in enumerate(names[:-1][:limit]):
            start = self._first_start(names[index + 1 :])
            if start is None:
                break
            oldest.append(SealedSegment(name, self._sealed_sizes[name], start.wall_time, start.follows))
        return SealedSegments(oldest, total)

    def _first_start(self, names: list[str]) -> StartEntry | None:
        """Return the first START entry in these segments.

        A segment may lack its START entry, because a crash may have cut the segment short before that entry.
        """
        starts = (self._read_start(name) for name in names)
        return next((start for start in starts if start is not None), None)

    def _read_start(self, name: str) -> StartEntry | None:
        data = self.disk.read(name, START_READ_BYTES)
        segment = parse_segment(name, data, self.folder / name)
        if not segment.frames and len(data) == START_READ_BYTES:
            segment = parse_segment(name, self.disk.read(name), self.folder / name)
        return segment.start()
