"""Reads a trail, even while its instance is writing it, with at most two segments in memory."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from stepsail.trail.disk import Disk, RealDisk
from stepsail.trail.entries import Entry, decode
from stepsail.trail.segments import Segment, parse_segment, segment_names


class CommittedEntry(NamedTuple):
    """An entry that belongs to the chain: its segment's name, its number, and its bytes."""

    segment: str
    seq: int
    data: bytes


def read_segments(disk: Disk, folder: Path) -> Iterator[Segment]:
    """Yield each segment; for one that cannot be read, `read_error` is set.

    The oldest segments are skipped if their files are gone, because a live writer may have just removed
    these segments.
    """
    any_read = False
    for name in segment_names(disk):
        try:
            data = disk.read(name)
        except OSError as error:
            if any_read or not isinstance(error, FileNotFoundError):
                yield Segment(name, b"", read_error=error)
        else:
            yield parse_segment(name, data, folder / name)
            any_read = True


def committed_entries(disk: Disk, folder: Path) -> Iterator[CommittedEntry]:
    """Yield the entries that belong to the chain, in order.

    Of each segment, these are the entries before the position at which the next segment begins.

    Raises:
        OSError: A segment cannot be read.
    """
    previous: Segment | None = None
    for segment in read_segments(disk, folder):
        if segment.read_error:
            raise segment.read_error
        start = segment.start()
        if start is None:
            continue  # a crash cut the segment short before its START entry, so it adds nothing to the chain
        if previous is not None:
            end_seq = start.follows.seq
            yield from (CommittedEntry(previous.name, *e) for e in previous.entries() if e[0] < end_seq)
        previous = segment
    if previous is not None:
        yield from (CommittedEntry(previous.name, *entry) for entry in previous.entries())


def read_entries(folder: Path) -> Iterator[tuple[int, Entry]]:
    """Yield the entries that belong to the chain, with their numbers, decoded."""
    for _, seq, data in committed_entries(RealDisk(folder), folder):
        yield seq, decode(data)
