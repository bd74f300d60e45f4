"""Appends entries to the segments of a trail, syncs them, signs heads and seals segments.

All calls are synchronous.

After a failed write or sync, and after a restart, nothing more is appended to the old segment. A new segment
begins instead, and its START entry states the position in the chain at which it continues; entries of the old
segment from that position on are not part of the chain. Torn tails stay in place, and no written byte is
changed.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

import msgspec

from stepsail.store.frames import encode_frame, join_entries
from stepsail.trail.disk import Disk
from stepsail.trail.entries import CHAIN_START, ChainPosition, EntryKind, decode, encode
from stepsail.trail.keys import NO_HANDOVER, SigningKey, head_message
from stepsail.trail.retention import SealedSegment
from stepsail.trail.segments import (
    SUFFIX,
    TITLE,
    FrameKind,
    Segment,
    SignedHead,
    read_required_segment,
    segment_names,
)

# This size limits the duration of a restart, because a restart reads only the last segment.
DEFAULT_SEGMENT_BYTES = 16 << 20


class TrailLog:
    """Appends to the trail of one instance.

    After an OSError the caller closes the segment and rewinds; `open_segment` then begins a new one.

    Attributes:
        position: The position at which the next entry is appended.
        next_segment: The number in the file name of the next segment.
        signed_seq: The `seq` of the last signed head; -1 before the first head is signed.
        segment_bytes: The size of the open segment.
        fd: The descriptor of the open segment; None if none is open.
    """

    def __init__(self, disk: Disk, instance: int, run_id: str, key: SigningKey, folder: Path) -> None:
        self.disk = disk
        self.instance = instance
        self.run_id = run_id
        self.key = key
        self.folder = folder
        self.position = CHAIN_START
        self.next_segment = 0
        self.signed_seq = -1
        self.segment_bytes = 0
        self.fd: int | None = None

    def recover(self) -> list[str]:
        """Set the position to the end of the trail, and return messages about torn or damaged segments.

        Reads segments from the last one backwards until one has an entry. The cost is therefore bounded by
        the size of a segment, not of the trail. The caller logs the messages.

        Raises:
            UnreadableSegmentError: A segment that is needed cannot be read.
            OSError: The folder cannot be read.
        """
        notes: list[str] = []
        names = segment_names(self.disk)
        if names:
            self.next_segment = int(names[-1].split("-")[0]) + 1
        for name in reversed(names):
            segment = read_required_segment(self.disk, name, self.folder)
            notes += _recovery_notes(segment)
            entries = list(segment.entries())
            if not entries:
                continue
            first_seq, first = entries[0]
            first_position = ChainPosition(first_seq, bytes(decode(first).fields["link"]))
            last_seq, _ = entries[-1]
            self.position = ChainPosition(
                last_seq + 1, first_position.after(data for _, data in entries).link
            )
            break
        return notes

    def open_segment(self, wall_time: float, entries: list[bytes]) -> None:
        """Begin and sync a segment with a START entry and these entries, which may not be stored yet."""
        self.close_segment()
        name = f"{self.next_segment:08d}-umpire{self.instance}{SUFFIX}"
        self.next_segment += 1
        self.fd = self.disk.create(name)
        handover = self.key.handover(self.folder) or NO_HANDOVER
        start = encode(
            EntryKind.START,
            wall_time,
            umpire=self.instance,
            run=self.run_id,
            follows=self.position.seq,
            link=self.position.link,
            key=self.key.id,
            public=self.key.public,
            old=handover.old_key_id,
            signed=handover.signature,
        )
        self.disk.write(self.fd, TITLE)
        self.segment_bytes = len(TITLE)
        self.append([start], wall_time)
        if entries:
            self.append(entries, wall_time)
        self.sign_head(wall_time)
        self.disk.sync(self.fd)
        self.disk.sync_folder()

    def append(self, entries: list[bytes], wall_time: float) -> None:
        """Write entries as one frame. The position advances only after the write has succeeded."""
        self._write(encode_frame(FrameKind.BATCH, join_entries(entries), self.position.seq, wall_time))
        self.position = self.position.after(entries)

    def sync(self) -> None:
        """Return once all appended entries are on stable storage."""
        self.disk.sync(self._open_fd())

    def sign_head(self, wall_time: float) -> SignedHead:
        """Sign the current position, and write and return the head."""
        seq, link = self.position
        signature = self.key.sign(head_message(self.instance, seq, link, wall_time))
        head = SignedHead(self.instance, seq, link, wall_time, self.key.id, signature)
        self._write(encode_frame(FrameKind.HEAD, msgspec.msgpack.encode(head), seq, wall_time))
        self.signed_seq = seq
        return head

    def rewind(self, position: ChainPosition) -> None:
        """Return to a position after a failed write or sync, so that the entries after it are written again."""
        self.position = position

    def retire(self, segment: SealedSegment, reason: str, wall_time: float) -> None:
        """Remove a sealed segment after a signed RETIRED entry about the removal has been synced."""
        position_before = self.position
        follows = segment.successor_follows
        entry = encode(
            EntryKind.RETIRED,
            wall_time,
            file=segment.name,
            follows=follows.seq,
            link=follows.link,
            why=reason,
        )
        try:
            self.append([entry], wall_time)
            self.sign_head(wall_time)
            self.sync()
        except OSError:
            self.close_segment()
            self.rewind(position_before)
            raise
        self.disk.remove(segment.name)

    def seal_segment(self, wall_time: float) -> SignedHead | None:
        """Sign, sync and close the open segment, and return its last head; None if no segment is open."""
        if self.fd is None:
            return None
        head = self.sign_head(wall_time)
        self.disk.sync(self.fd)
        self.close_segment()
        return head

    def close_segment(self) -> None:
        """Close the open segment without a final head or sync.

        Errors on closing are ignored, because nothing more is written to the segment.
        """
        if self.fd is None:
            return
        fd = self.fd
        self.fd = None
        with contextlib.suppress(OSError):
            self.disk.close(fd)

    def _write(self, data: bytes) -> None:
        self.disk.write(self._open_fd(), data)
        self.segment_bytes += len(data)

    def _open_fd(self) -> int:
        assert self.fd is not None
        return self.fd


def _recovery_notes(segment: Segment) -> list[str]:
    """Return messages about the torn tail or the damage in a segment."""
    notes: list[str] = []
    if segment.damaged:
        notes.append(
            f"{segment.damaged}; the rest of the segment is ignored, and an audit will report the damage"
        )
    if segment.torn_at is not None:
        notes.append(f"{segment.name}: ignoring a torn tail at byte {segment.torn_at}")
    return notes
