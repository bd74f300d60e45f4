"""Writes the segments of a capture in a thread: compresses their blocks, and removes the oldest files."""

from __future__ import annotations

import contextlib
import os
import queue
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stepsail.capture.blocks import TITLE, VERSION, BlockKind, encode_block

SUFFIX = ".cap"
FILE_MODE = 0o600
MAX_QUEUED_BLOCKS = 32
RETRY_INTERVAL = 2.0  # seconds from a failed write until a new segment may begin


@dataclass(frozen=True, slots=True)
class OpenSegment:
    """Close the open segment and begin another."""

    number: int
    meta: bytes
    snapshot: bytes | None
    first_entry: int
    clock: float


@dataclass(frozen=True, slots=True)
class EntryBlock:
    """Write a block of entries; `next_entry` is the number of the first entry after it."""

    payload: bytes
    first_entry: int
    clock: float
    next_entry: int


@dataclass(frozen=True, slots=True)
class CloseCapture:
    """Close the open segment and end the thread."""


WorkItem = OpenSegment | EntryBlock | CloseCapture


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """The maximum size of a segment, and the maximum total size and age of an instance's segments on disk."""

    segment_bytes: int
    max_bytes: int
    max_age: float  # maximum age of a segment in seconds


@dataclass
class WriteProgress:
    """Progress of the writing thread. Only this thread changes it; the thread of the router reads it.

    Attributes:
        bytes_written: Bytes written to files.
        next_entry: Number of the first entry after the last one written.
        failed_segment: Number of the last segment whose writing failed; -1 if no write has failed.
        failed_at: Time of the last failed write on the monotonic clock.
    """

    bytes_written: int = 0
    next_entry: int = 0
    failed_segment: int = -1
    failed_at: float = field(default_factory=lambda: -RETRY_INTERVAL)


class SegmentWriter:
    """Takes work items from a queue and writes the segments of one run."""

    def __init__(
        self, folder: Path, instance: int, run: str, limits: RetentionLimits, report: Callable[..., object]
    ) -> None:
        self.folder = folder
        self.instance = instance
        self.run_name = run
        self.limits = limits
        self.report = report
        self.queue: queue.Queue[WorkItem] = queue.Queue(MAX_QUEUED_BLOCKS)
        self.progress = WriteProgress()
        self._fd: int | None = None
        self._offset = 0
        self._index: list[list[float]] = []
        self._segment = -1

    def run(self) -> None:
        """Process work items from the queue until the capture is closed."""
        while True:
            work = self.queue.get()
            try:
                self._process(work)
            except OSError as error:
                self._fail(error)
            if isinstance(work, CloseCapture):
                return

    def _process(self, work: WorkItem) -> None:
        match work:
            case OpenSegment():
                # The number is set before the previous segment is closed, so that the new segment counts
                # as failed, too, if closing the previous one fails.
                self._segment = work.number
                self._seal()
                self._open(work)
            case EntryBlock():
                if self._fd is not None:
                    self._index.append([self._offset, work.first_entry, work.clock])
                    self._write(encode_block(BlockKind.ENTRIES, work.payload, work.first_entry, work.clock))
                    self.progress.next_entry = work.next_entry
            case CloseCapture():
                self._seal()

    def _fail(self, error: OSError) -> None:
        if self._fd is not None:
            with contextlib.suppress(OSError):
                os.close(self._fd)
            self._fd = None
        self.progress.failed_at = time.monotonic()
        self.progress.failed_segment = self._segment
        self.report("capture_write_failed", error=str(error))

    def _open(self, work: OpenSegment) -> None:
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        name = f"{stamp}-umpire{self.instance}-{self.run_name}-{work.number:06d}{SUFFIX}"
        self._fd = os.open(self.folder / name, os.O_CREAT | os.O_EXCL | os.O_WRONLY, FILE_MODE)
        self._offset = 0
        self._index = []
        self._write(TITLE % VERSION)
        self._write(encode_block(BlockKind.META, work.meta, work.first_entry, work.clock))
        if work.snapshot is not None:
            self._write(encode_block(BlockKind.SNAPSHOT, work.snapshot, work.first_entry, work.clock))
        self._remove_old_segments()

    def _write(self, data: bytes) -> None:
        assert self._fd is not None
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._fd, remaining) :]
        self._offset += len(data)
        self.progress.bytes_written += len(data)

    def _seal(self) -> None:
        """Write the index of the open segment, if there is one, and close its file."""
        if self._fd is None:
            return
        index = msgspec.msgpack.encode({"blocks": self._index})
        self._write(encode_block(BlockKind.END, index, 0, 0.0))
        fd = self._fd
        self._fd = None
        os.close(fd)

    def _remove_old_segments(self) -> None:
        """Remove this instance's oldest segments beyond the size or age limit, but never the open segment."""
        limits = self.limits
        files = sorted(self.folder.glob(f"*-umpire{self.instance}-*{SUFFIX}"))[:-1]
        stats = {file: file.stat() for file in files}
        total = sum(stat.st_size for stat in stats.values())
        now = time.time()
        for file, stat in stats.items():
            if total <= limits.max_bytes - limits.segment_bytes and now - stat.st_mtime <= limits.max_age:
                break
            with contextlib.suppress(OSError):
                file.unlink()
            total -= stat.st_size
