"""The thread that writes a trail: commits queued entries in batches and reports the outcome of each."""

from __future__ import annotations

import contextlib
import os
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stepsail.trail.availability import Durability, FullPolicy, TrailAvailability
from stepsail.trail.disk import Disk, RealDisk
from stepsail.trail.entries import EntryKind, encode
from stepsail.trail.folder import load_or_create_key, lock_folder, new_run_id
from stepsail.trail.log import DEFAULT_SEGMENT_BYTES, TrailLog
from stepsail.trail.retention import MAX_SEGMENTS_PER_PASS, Retention
from stepsail.trail.segments import SegmentCatalog

# Maximum length of the queue of entries. An answer that finds the queue full counts as not recordable.
MAX_QUEUED_ENTRIES = 20000
MAX_BATCH_ENTRIES = 512
# The first attempt uses the open segment; the second uses a new segment in the freed space of the reserve.
MAX_WRITE_ATTEMPTS = 2
DEFAULT_RESERVE_BYTES = 4 << 20  # space for about ten thousand answers
IDLE_INTERVAL = 0.5  # seconds between maintenance passes while no entries are queued
HEAD_INTERVAL = 5.0  # seconds between signed heads while entries are written
# Maximum seconds that closing a trail waits for room in the queue, and then again for the thread to end.
CLOSE_TIMEOUT = 10.0
FOLDER_MODE = 0o700
RESERVE_FILE = "reserve"

OnCommitted = Callable[[bool], object]  # the callback's argument: whether the entry was stored
# This is a plain tuple because each answer queues several entries, and a tuple is cheap to create.
QueuedEntry = tuple[bytes, OnCommitted | None]


@dataclass(frozen=True, slots=True)
class TrailOptions:
    """How a trail is written. A `max_age` or `max_bytes` of 0 means no limit."""

    durability: Durability
    full_policy: FullPolicy
    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    reserve_bytes: int = DEFAULT_RESERVE_BYTES
    max_age: float = 0.0
    max_bytes: int = 0


class TrailWriter:
    """Writes one instance's trail in a separate thread.

    `call_on_loop` schedules a call on the event loop. The thread uses it for the callbacks of entries and for
    `report(event, **fields)`, which logs an event.
    """

    def __init__(
        self,
        folder: Path,
        instance: int,
        options: TrailOptions,
        call_on_loop: Callable[[Callable[[], object]], object],
        report: Callable[..., object],
        disk: Disk | None = None,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True, mode=FOLDER_MODE)
        self.lock = lock_folder(folder)
        self.options = options
        self.call_on_loop = call_on_loop
        self.report = report
        self.disk: Disk = disk or RealDisk(folder)
        self.availability = TrailAvailability(options.full_policy)
        self.retention = Retention(options.max_age, options.max_bytes)
        self.catalog = SegmentCatalog(self.disk, folder)
        self.run_id = new_run_id()
        try:
            key = load_or_create_key(folder, self.disk)
            self.log = TrailLog(self.disk, instance, self.run_id, key, folder)
            for note in self.log.recover():
                report("trail_recovered", detail=note)
            self._allocate_reserve()
            self.log.open_segment(time.time(), [])
        except BaseException:
            os.close(self.lock)
            raise
        self.queue: queue.Queue[QueuedEntry | None] = queue.Queue(MAX_QUEUED_ENTRIES)
        self.closing = False
        self.signed_at = time.monotonic()
        self.thread = threading.Thread(target=self._run, name="trail", daemon=True)
        self.thread.start()

    # -- Called on the event loop ------------------------------------------------------------------------

    def accepts_requests(self) -> bool:
        """Return whether new requests may be accepted."""
        return self.availability.accepts_requests()

    def enqueue(self, kind: EntryKind, on_committed: OnCommitted | None = None, **fields: Any) -> bool:
        """Queue an entry; return False if the queue is full.

        `on_committed` is called on the event loop once the entry is stored or storing it has failed.
        """
        try:
            self.queue.put_nowait((encode(kind, time.time(), **fields), on_committed))
        except queue.Full:
            return False
        return True

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Commit the queued entries, seal the segment, and unlock the folder."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=timeout)
        self.thread.join(timeout)
        os.close(self.lock)

    # -- Called on the trail's thread --------------------------------------------------------------------

    def _run(self) -> None:
        while not self.closing:
            batch = self._next_batch()
            if batch:
                self._commit(batch)
            self._maintain()
        try:
            self.log.seal_segment(time.time())
        except OSError as error:
            self._report("trail_close_failed", error=str(error))

    def _next_batch(self) -> list[QueuedEntry]:
        """Take the queued entries, up to a limit; wait up to IDLE_INTERVAL if there are none."""
        limit = 1 if self.options.durability is Durability.POWER_LOSS_EACH else MAX_BATCH_ENTRIES
        batch: list[QueuedEntry] = []
        with contextlib.suppress(queue.Empty):
            item = self.queue.get(timeout=IDLE_INTERVAL)
            while item is not None:
                batch.append(item)
                if len(batch) >= limit:
                    return batch
                item = self.queue.get_nowait()
            self.closing = True
        return batch

    def _commit(self, batch: list[QueuedEntry]) -> None:
        """Write a batch and schedule the callbacks of its entries with the outcome."""
        stored = self.availability.writable and self._write([data for data, _ in batch])
        callbacks = [callback for _, callback in batch if callback]
        if not stored and self.availability.sends_unrecorded_answers():
            self.availability.count_unrecorded(len(callbacks), time.time())
        if not callbacks:
            return

        def report_outcome() -> None:
            for callback in callbacks:
                callback(stored)

        self.call_on_loop(report_outcome)

    def _write(self, entries: list[bytes]) -> bool:
        """Write and sync entries; after a failure retry in a new segment, in the freed space of the reserve.

        Never retries in the same file: after a failed sync the operating system may have dropped the data
        that it could not write, and would report the next sync as a success.

        Returns:
            Whether the entries were stored.
        """
        position_before = self.log.position
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                self._append_durably(entries)
            except OSError as error:
                self.log.close_segment()
                self.log.rewind(position_before)
                self._report("trail_write_failed", error=str(error))
                if not self.availability.write_failed(time.monotonic(), str(error)):
                    return False
                if not self._free_reserve():
                    return False
            else:
                return True
        return False

    def _append_durably(self, entries: list[bytes]) -> None:
        if self.log.fd is None:
            self.log.open_segment(time.time(), entries)
            return
        self.log.append(entries, time.time())
        if self.options.durability.requires_sync:
            self.log.sync()

    def _allocate_reserve(self) -> bool:
        try:
            self.disk.reserve(RESERVE_FILE, self.options.reserve_bytes)
        except OSError:
            self.availability.reserve_available = False
            return False
        return True

    def _free_reserve(self) -> bool:
        try:
            self.disk.remove(RESERVE_FILE)
        except OSError:
            return False
        return True

    def _maintain(self) -> None:
        """Do what is due between batches: retry, begin a segment, sign a head, reserve space, retire."""
        now = time.monotonic()
        try:
            self._maintain_segment(now)
            if self.availability.reserve_due(now) and self._allocate_reserve():
                self.availability.reserve_available = True
            if self.availability.writable and self.log.fd is not None and self.retention.due(now):
                self._retire(now)
        except OSError as error:
            self.log.close_segment()
            self.availability.write_failed(now, str(error))
            self.availability.writable = False

    def _maintain_segment(self, now: float) -> None:
        if self.availability.retry_due(now):
            self._resume()
        elif self.log.fd is None:
            return
        elif self.log.segment_bytes >= self.options.segment_bytes:
            self.log.seal_segment(time.time())
            self.log.open_segment(time.time(), [])
            self.retention.next_pass_at = now
        elif now - self.signed_at >= HEAD_INTERVAL and self.log.signed_seq != self.log.position.seq:
            self.log.sign_head(time.time())
            self.signed_at = now

    def _resume(self) -> None:
        """Begin a new segment after a failure, with a GAP entry about unrecorded answers. Raises OSError."""
        availability = self.availability
        reported_before = availability.reported
        gap = encode(
            EntryKind.GAP,
            time.time(),
            answers=availability.take_unreported(),
            why=availability.last_error,
            since=availability.unrecorded_since,
        )
        try:
            self.log.open_segment(time.time(), [gap])
        except OSError:
            availability.reported = reported_before
            raise
        availability.resumed()
        self._report("trail_resumed")

    def _retire(self, now: float) -> None:
        """Remove the oldest segments that exceed the limits of age and size."""
        sealed = self.catalog.sealed(MAX_SEGMENTS_PER_PASS)
        for segment, reason in self.retention.choose_removals(
            sealed.oldest, sealed.total_bytes, now, time.time()
        ):
            self.log.retire(segment, reason, time.time())
            self._report("trail_retired", file=segment.name, why=reason)

    def _report(self, event: str, **fields: Any) -> None:
        def report() -> None:
            self.report(event, **fields)

        self.call_on_loop(report)
