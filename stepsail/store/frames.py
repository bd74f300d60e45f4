"""Encodes and decodes frames with checksums, the units of which logs, captures and audit trails consist.

A frame is a header and a payload, and each has its own checksum. The header's checksum distinguishes a header
that is incomplete (a torn tail, normal after a crash) from one that was changed (damage). It also keeps a
frame with a changed length from being taken for a frame that the end of the file cuts off.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import xxhash

MAGIC = b"\xa5SB\x01"
# Magic number, kind, payload length, number and clock reading of the first entry, payload checksum.
HEADER = struct.Struct("<4sB3xIQdQ")
HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = HEADER.size + HEADER_CHECKSUM.size
ENTRY_LENGTH = struct.Struct("<I")  # the length of an entry; it precedes each entry in a payload
# If the last payload of a file has a wrong checksum and ends with this many zero bytes, the payload is not
# treated as damaged: the new length of the file reached the disk before the payload.
UNWRITTEN_TAIL_BYTES = 16


class DamagedFileError(Exception):
    """Raised if a file contains bytes other than those that were written.

    Attributes:
        file: The damaged file.
        offset: Offset of the damage in the file; if a frame is damaged, offset of its header.
        reason: How the damage was recognized.
    """

    def __init__(self, file: Path, offset: int, reason: str) -> None:
        super().__init__(f"{file}: damaged at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


@dataclass
class Frame:
    """Holds the header of one frame and its position in the file.

    Attributes:
        offset: Offset of the header in the file.
        kind: What the payload contains; each file format has kinds of its own.
        first_entry: Number of the first entry in the payload.
        clock: Clock reading of the first entry, in seconds.
        payload_start: Offset of the payload in the file.
        end: Offset after the last byte of the payload.
    """

    offset: int
    kind: int
    first_entry: int
    clock: float
    payload_start: int
    end: int

    def payload(self, data: bytes) -> bytes:
        """Return the frame's payload; `data` is the contents of the file."""
        return data[self.payload_start : self.end]


def encode_frame(kind: int, payload: bytes, first_entry: int, clock: float) -> bytes:
    """Return a frame as bytes, with its header."""
    header = HEADER.pack(MAGIC, kind, len(payload), first_entry, clock, xxhash.xxh64_intdigest(payload))
    return header + HEADER_CHECKSUM.pack(xxhash.xxh32_intdigest(header)) + payload


def read_frame(file: Path, data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset in the contents of a file, or None for a tail that is torn after a crash.

    Raises:
        DamagedFileError: The bytes are neither a complete frame nor the beginning of one.
    """
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        if not MAGIC.startswith(header[: len(MAGIC)]) and any(header):
            raise DamagedFileError(file, offset, "these bytes are not the start of a frame")
        return None
    # Only zeros up to the end of the file are space that was allocated and never written. The rest of the
    # file is searched only if the header is all zeros, because otherwise reading each frame would scan all
    # frames after it.
    if not any(header) and not any(data[offset:]):
        return None
    magic, kind, size, first_entry, clock, payload_checksum = HEADER.unpack(header[: HEADER.size])
    (header_checksum,) = HEADER_CHECKSUM.unpack(header[HEADER.size :])
    if header_checksum != xxhash.xxh32_intdigest(header[: HEADER.size]) or magic != MAGIC:
        raise DamagedFileError(file, offset, "wrong checksum or magic number in a frame's header")
    frame = Frame(offset, kind, first_entry, clock, offset + HEADER_BYTES, offset + HEADER_BYTES + size)
    if frame.end > len(data):
        return None
    if xxhash.xxh64_intdigest(frame.payload(data)) != payload_checksum:
        if frame.end == len(data) and not any(data[frame.end - UNWRITTEN_TAIL_BYTES : frame.end]):
            return None
        raise DamagedFileError(file, offset, "wrong checksum of a frame's payload")
    return frame


def join_entries(entries: Iterable[bytes]) -> bytes:
    """Return a payload in which each entry is preceded by its length."""
    parts: list[bytes] = []
    for entry in entries:
        parts += (ENTRY_LENGTH.pack(len(entry)), entry)
    return b"".join(parts)


def split_entries(payload: bytes) -> Iterator[bytes]:
    """Yield the entries of a payload that `join_entries` returned.

    Raises:
        struct.error: The length of the last entry is incomplete.
    """
    offset = 0
    while offset < len(payload):
        (size,) = ENTRY_LENGTH.unpack_from(payload, offset)
        offset += ENTRY_LENGTH.size
        yield payload[offset : offset + size]
        offset += size
