"""Stores a replica's persistent state in one file of checksummed frames.

The first frame holds the whole state, and each frame after it holds one later write. A write that replaces
the whole state creates a new file, which is then renamed over the old one.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

import msgspec

from stepsail.consensus.persistent_state import PersistentState, StateWrite, apply_write
from stepsail.store.frames import encode_frame, read_frame

FILE_NAME = "order.log"
NEW_FILE_NAME = "order.new"

# Kinds of frames.
STATE_FRAME = 1  # a `PersistentState`
WRITE_FRAME = 2  # a `StateWrite`

WRITE_DECODER = msgspec.msgpack.Decoder(StateWrite)
STATE_DECODER = msgspec.msgpack.Decoder(PersistentState)


class StateFile:
    """Reads and writes the state file in `folder`. `read` must be called before `write`.

    Attributes:
        path: Path of the file.
        new_path: Path of a new file until it is renamed to `path`.
        frame_count: Number of frames in the file.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.new_path = folder / NEW_FILE_NAME
        self.frame_count = 0

    def read(self, new_identity: int) -> PersistentState:
        """Return the stored state, or create a file with an empty state under `new_identity`.

        An incomplete frame at the end is dropped: its write was never reported as synced, so no message that
        depends on it was sent.

        Args:
            new_identity: Storage identity for a new file; a stored state keeps its own.

        Raises:
            OSError: The file cannot be read or written.
            DamagedFileError: The bytes of a frame differ from those that were written.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        data = self.path.read_bytes() if self.path.exists() else b""
        offset = 0
        state: PersistentState | None = None
        self.frame_count = 0
        while offset < len(data) and (frame := read_frame(self.path, data, offset)):
            payload = frame.payload(data)
            if frame.kind == STATE_FRAME:
                state = STATE_DECODER.decode(payload)
            elif state is not None:
                state = apply_write(state, WRITE_DECODER.decode(payload))
            offset = frame.end
            self.frame_count += 1
        if state is None:
            state = PersistentState(new_identity)
        if state.identity == new_identity or offset < len(data):
            # The file is new, or it ends with an incomplete frame, after which nothing may be appended.
            self.replace(state)
        return state

    def replace(self, state: PersistentState) -> None:
        """Write the whole state to a new file, rename it over the old file, and sync file and folder."""
        with self.new_path.open("wb") as new_file:
            new_file.write(encode_frame(STATE_FRAME, msgspec.msgpack.encode(state), 0, 0.0))
            new_file.flush()
            os.fsync(new_file.fileno())
        os.replace(self.new_path, self.path)
        folder_fd = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)
        self.frame_count = 1

    def write(self, writes: Sequence[StateWrite]) -> None:
        """Append the writes to the file and sync it.

        If one of them replaces the whole state, the writes before the last such write are skipped.

        Raises:
            OSError: None of the writes after the last replacement is stored. The caller may retry with the
                same writes.
        """
        last_replacement = max((index for index, write in enumerate(writes) if write.replacement), default=-1)
        if last_replacement >= 0:
            self.replace(STATE_DECODER.decode(writes[last_replacement].replacement))
        appended = writes[last_replacement + 1 :]
        if not appended:
            return
        size = self.path.stat().st_size
        with self.path.open("ab") as file:
            try:
                for write in appended:
                    file.write(
                        encode_frame(WRITE_FRAME, msgspec.msgpack.encode(write), self.frame_count, 0.0)
                    )
                file.flush()
                os.fsync(file.fileno())
            except OSError:
                # A full disk may leave an incomplete frame, which `read` would report as damage if
                # other frames followed it.
                os.truncate(self.path, size)
                raise
        self.frame_count += len(appended)
