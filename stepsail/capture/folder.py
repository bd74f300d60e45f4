"""Reads the runs and segments of captures from files, replays them, and cuts a period out of a run."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import zip_longest
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from stepsail.capture.blocks import TITLE, VERSION, BlockKind, Segment, encode_block, read_segment
from stepsail.capture.entries import ENCODER, Entry, Event
from stepsail.capture.replay import ReplayError, ReplayResult, replay
from stepsail.capture.segment_writer import FILE_MODE, SUFFIX
from stepsail.store.frames import DamagedFileError, join_entries

# Uncompressed size at which `write_segment` ends a block of entries.
MAX_BLOCK_BYTES = 256 << 10


class NoEntriesInPeriodError(ReplayError):
    """No entry of the segments lies within the requested period."""

    def __init__(self) -> None:
        super().__init__("no entry lies within the requested period")


@dataclass
class Run:
    """The captures of one process of one instance: its readable segments, in order."""

    name: str
    instance: int
    segments: list[Segment] = field(default_factory=list)

    def contiguous_segments(self) -> Iterator[list[Segment]]:
        """Yield lists of segments without a gap between them.

        Each list begins with a router's start or a snapshot.
        """
        segments: list[Segment] = []
        expected = -1
        for segment in self.segments:
            first = int(segment.meta["first"])
            if segments and (segment.meta["gap"] is not None or first != expected):
                yield segments
                segments = []
            segments.append(segment)
            expected = first + segment.count()
        if segments:
            yield segments


@dataclass
class CaptureFiles:
    """All runs in a file or folder, and the errors of the files that are damaged."""

    runs: list[Run] = field(default_factory=list)
    damaged: list[DamagedFileError] = field(default_factory=list)


def capture_files(path: Path) -> list[Path]:
    """Return the capture files in a folder, or the path itself if it is a file."""
    return sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]


def read_runs(path: Path) -> CaptureFiles:
    """Read all runs in a file or folder. Raises OSError."""
    captures = CaptureFiles()
    runs: dict[str, Run] = {}
    for file in capture_files(path):
        try:
            segment = read_segment(file)
        except DamagedFileError as error:
            captures.damaged.append(error)
            continue
        if not segment.meta:
            continue  # a crash cut the file short before its first block, so it has no entries
        name = segment.meta["run"]
        run = runs.setdefault(name, Run(name, segment.meta["umpire"]))
        run.segments.append(segment)
    for run in runs.values():
        run.segments.sort(key=lambda segment: int(segment.meta["segment"]))
    captures.runs = list(runs.values())
    return captures


def entries_of(segments: list[Segment], since: float | None = None) -> Iterator[tuple[int, Entry]]:
    """Yield the entries of consecutive segments with their numbers.

    Args:
        segments: The segments, in order.
        since: Clock reading. Blocks before the one that contains it are skipped without being uncompressed,
            so the first entries yielded may still be earlier. None: all entries.

    Raises:
        DamagedFileError: A block of entries cannot be decoded.
    """
    for segment, follower in zip_longest(segments, segments[1:]):
        if since is None or follower is None or follower.meta["clock"] >= since:
            yield from segment.entries(since)


def replay_segments(segments: list[Segment], module: ModuleType, **options: Any) -> ReplayResult:
    """Replay consecutive segments; see `replay`. Raises ReplayError, SnapshotError, DamagedFileError."""
    first = segments[0]
    return replay(first.meta, first.snapshot(), entries_of(segments), module, **options)


def server_addresses(segments: list[Segment]) -> list[str]:
    """Return the addresses of the servers that were added in these segments, ordered by server number."""
    return [entry.values[0].decode() for _, entry in entries_of(segments) if entry.kind == Event.SERVER_ADDED]


class _SegmentBuilder:
    """Builds the bytes of a whole segment, block by block."""

    def __init__(self, meta: dict[str, Any], snapshot: bytes | None) -> None:
        self.parts = [TITLE % VERSION]
        self.index: list[list[float]] = []
        first = meta["first"]
        clock = meta["clock"]
        self.parts.append(encode_block(BlockKind.META, msgspec.msgpack.encode(meta), first, clock))
        if snapshot is not None:
            self.parts.append(encode_block(BlockKind.SNAPSHOT, snapshot, first, clock))

    def add_block(self, first: int, clock: float, payload: bytes) -> None:
        """Add a block of entries; `first` and `clock` are the number and clock reading of its first entry."""
        self.index.append([sum(map(len, self.parts)), first, clock])
        self.parts.append(encode_block(BlockKind.ENTRIES, payload, first, clock))

    def seal(self) -> bytes:
        """Add the index, and return the segment's bytes."""
        self.parts.append(encode_block(BlockKind.END, msgspec.msgpack.encode({"blocks": self.index}), 0, 0.0))
        return b"".join(self.parts)


def write_segment(
    file: Path, meta: dict[str, Any], snapshot: bytes | None, entries: Iterable[tuple[int, Entry]]
) -> int:
    """Write a whole segment to a temporary file, rename it to `file`, and return the number of entries."""
    builder = _SegmentBuilder(meta, snapshot)
    payload = bytearray()
    first = 0
    clock = 0.0
    count = 0
    for number, entry in entries:
        if not payload:
            first = number
            clock = entry.clock
        payload += join_entries([ENCODER.encode(entry)])
        count += 1
        if len(payload) >= MAX_BLOCK_BYTES:
            builder.add_block(first, clock, bytes(payload))
            payload.clear()
    if payload:
        builder.add_block(first, clock, bytes(payload))
    temporary = file.with_name(file.name + ".new")
    fd = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, FILE_MODE)
    with os.fdopen(fd, "wb") as out:
        out.write(builder.seal())
        out.flush()
        os.fsync(out.fileno())
    temporary.replace(file)
    return count


def cut(segments: list[Segment], module: ModuleType, start: float, end: float, file: Path) -> int:
    """Write the entries of a period to a file of their own, which begins with a snapshot.

    The snapshot is made by a replay of the earlier entries.

    Args:
        segments: Consecutive segments, in order.
        module: The decision module to replay with.
        start: Clock reading at the beginning of the period.
        end: Clock reading at the end of the period.
        file: The file to write.

    Returns:
        The number of entries written.

    Raises:
        NoEntriesInPeriodError: The segments have no entry in the period.
        ReplayError: In the entries before the period, the module's commands differ from the captured ones.
    """
    selected = [(number, entry) for number, entry in entries_of(segments) if start <= entry.clock <= end]
    if not selected:
        raise NoEntriesInPeriodError
    first, first_entry = selected[0]
    before = ((number, entry) for number, entry in entries_of(segments) if number < first)
    result = replay(segments[0].meta, segments[0].snapshot(), before, module)
    if result.first_difference:
        raise ReplayError(
            f"the replay differs at entry {result.first_difference.number}, before the requested period"
        )
    snapshot = result.host.snapshot() if result.host.router is not None else None
    meta = segments[0].meta | {
        "format": VERSION,
        "first": first,
        "clock": first_entry.clock,
        "gap": None,
        "segment": 0,
        "cut": [start, end],
    }
    return write_segment(file, meta, snapshot, selected)
