"""Buffers the entries of a running router in memory and queues them for the thread that writes them.

If the disk fails or is too slow, all entries are dropped until it recovers. The header of the next segment
describes this gap, and a replay does not continue across it. If the process is killed, the buffered entries
(those of at most FLUSH_INTERVAL seconds) and the queued blocks are lost; what has been written stays valid.
"""

from __future__ import annotations

import contextlib
import hashlib
import inspect
import os
import platform
import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from stepsail.capture.blocks import VERSION
from stepsail.capture.entries import ENCODER, RecordedCall
from stepsail.capture.segment_writer import (
    MAX_QUEUED_BLOCKS,
    RETRY_INTERVAL,
    CloseCapture,
    EntryBlock,
    OpenSegment,
    RetentionLimits,
    SegmentWriter,
)
from stepsail.capture.state import SnapshotError
from stepsail.capture.stored_names import stored_settings
from stepsail.decisions.interface import RouterSettings
from stepsail.store.frames import join_entries

MAX_BUFFERED_ENTRIES = 1000  # about 60 kB
# Seconds of the instance's clock after which buffered entries are queued, even if there are few.
FLUSH_INTERVAL = 1.0
# Approximate ratio of the size of encoded entries to their compressed size on disk.
COMPRESSION_RATIO = 4
RESUME_QUEUE_LENGTH = MAX_QUEUED_BLOCKS // 4  # entries are dropped until at most this many blocks are queued
# Maximum seconds that closing a capture waits for room in the queue, and then again for the thread to end.
CLOSE_TIMEOUT = 5.0
RUN_ID_BYTES = 6
DEFAULT_SEGMENT_BYTES = 16 << 20
DEFAULT_MAX_BYTES = 256 << 20
DEFAULT_MAX_AGE = 86400.0  # default maximum age of a segment in seconds


def fingerprint(make_router: Callable[..., Any]) -> str:
    """Return a hash of the code of the router: of all files in the package that defines its factory.

    The files are hashed in the order of their names, and each name is hashed with its content. If the factory
    is defined outside a package, only its own file is hashed. Without source files, the result is empty.
    """
    module = inspect.getmodule(make_router)
    file = inspect.getsourcefile(module) if module else None
    if module is None or file is None:
        return ""
    files = sorted(Path(file).parent.glob("*.py")) if module.__package__ else [Path(file)]
    digest = hashlib.sha256()
    try:
        for source in files:
            digest.update(b"%s\0%s\0" % (source.name.encode(), source.read_bytes()))
    except OSError:
        return ""
    return digest.hexdigest()[:16]


class CaptureWriter:
    """A `Sink` that writes a run to files.

    `report(event, **fields)` is called when entries are dropped or writing fails, in the router's thread or
    in the writing thread.
    """

    def __init__(
        self,
        folder: Path,
        instance: int,
        module_fingerprint: str,
        report: Callable[..., object],
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_age: float = DEFAULT_MAX_AGE,
    ) -> None:
        self.instance = instance
        self.module_fingerprint = module_fingerprint
        self.report = report
        self.segment_bytes = segment_bytes
        self.run = os.urandom(RUN_ID_BYTES).hex()
        self.buffered: list[RecordedCall] = []
        self.wants_snapshot = False  # see `Sink`
        self.first_buffered = 0  # number of the first buffered entry
        self.next_entry = 0
        self.clock = 0.0
        self.first_clock = 0.0  # clock reading of the first buffered entry
        self.next_segment = 0
        self.bytes_in_segment = 0  # uncompressed bytes of entries queued for the current segment
        # The time since which entries are being dropped, and the reason; None if none are being dropped.
        self.gap: dict[str, Any] | None = None
        self.settings: dict[str, Any] = {}
        self.seed = 0
        folder.mkdir(parents=True, exist_ok=True)
        limits = RetentionLimits(segment_bytes, max_bytes, max_age)
        self.segment_writer = SegmentWriter(folder, instance, self.run, limits, report)
        self.queue = self.segment_writer.queue
        self.thread = threading.Thread(target=self.segment_writer.run, name="capture", daemon=True)
        self.thread.start()

    @property
    def bytes_written(self) -> int:
        """Number of bytes written to files."""
        return self.segment_writer.progress.bytes_written

    def begin(self, settings: RouterSettings, seed: int) -> None:
        """See `Sink.begin`."""
        self.settings = stored_settings(settings)
        self.seed = seed
        self._open_segment(None)

    def add_entry(self, call: RecordedCall) -> None:
        """See `Sink.add_entry`. Entries are encoded later in batches because the router waits."""
        self.next_entry += 1
        self.clock = clock = call[1]
        buffered = self.buffered
        if not buffered:
            if self.gap is None and self.segment_writer.progress.failed_segment == self.next_segment - 1:
                self._drop("the disk failed")
            if self.gap is not None:
                self.wants_snapshot = self._may_resume()
                return
            self.first_buffered = self.next_entry - 1
            self.first_clock = clock
        buffered.append(call)
        if len(buffered) >= MAX_BUFFERED_ENTRIES or clock - self.first_clock >= FLUSH_INTERVAL:
            self._flush()

    def add_snapshot(self, make_snapshot: Callable[[], bytes]) -> None:
        """See `Sink.add_snapshot`."""
        if self.gap is None:
            self._flush()
        self.wants_snapshot = False
        try:
            snapshot = make_snapshot()
        except SnapshotError as error:
            self.report("capture_snapshot_failed", why=str(error))
            self.bytes_in_segment = 0
            return
        gap: dict[str, Any] | None = None
        if self.gap is not None:
            written = self.segment_writer.progress.next_entry
            gap = self.gap | {"from": written, "lost": self.next_entry - written, "until": self.clock}
        if self._open_segment(gap, snapshot):
            if gap:
                self.report("capture_resumed", lost=gap["lost"])
            self.gap = None

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Write the buffered entries, close the segment and end the writing thread."""
        if self.gap is None:
            self._flush()
        with contextlib.suppress(queue.Full):
            self.queue.put(CloseCapture(), timeout=timeout)
        self.thread.join(timeout)

    def _open_segment(self, gap: dict[str, Any] | None, snapshot: bytes | None = None) -> bool:
        """Queue the start of a segment; return False if the queue is full. The keys of `meta` are stored."""
        meta = {
            "format": VERSION,
            "run": self.run,
            "segment": self.next_segment,
            "umpire": self.instance,
            "seed": self.seed,
            "charter": self.settings,
            "module": self.module_fingerprint,
            "first": self.next_entry,
            "clock": self.clock,
            "gap": gap,
            "wall": time.time(),
            "python": platform.python_version(),
        }
        header = msgspec.msgpack.encode(meta)
        try:
            self.queue.put_nowait(
                OpenSegment(self.next_segment, header, snapshot, self.next_entry, self.clock)
            )
        except queue.Full:
            return False
        self.next_segment += 1
        self.bytes_in_segment = 0
        return True

    def _flush(self) -> None:
        """Queue the buffered entries as a block."""
        if not self.buffered:
            return
        payload = join_entries([ENCODER.encode(call) for call in self.buffered])
        self.buffered = []
        block = EntryBlock(payload, self.first_buffered, self.first_clock, self.next_entry)
        try:
            self.queue.put_nowait(block)
        except queue.Full:
            self._drop("the disk is too slow")
            return
        self.bytes_in_segment += len(payload)
        self.wants_snapshot = self.bytes_in_segment >= self.segment_bytes * COMPRESSION_RATIO

    def _drop(self, why: str) -> None:
        """Drop all entries from now on, until a new segment can begin with a snapshot."""
        self.gap = {"clock": self.clock, "why": why}
        self.buffered = []
        self.wants_snapshot = False
        self.report("capture_dropping", why=why)

    def _may_resume(self) -> bool:
        """Whether entries may be written again: few blocks are queued, and no write failed recently."""
        since_failure = time.monotonic() - self.segment_writer.progress.failed_at
        return self.queue.qsize() <= RESUME_QUEUE_LENGTH and since_failure >= RETRY_INTERVAL
