"""Tests that the state file keeps synced state, drops incomplete frames and reports damage and full disks."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from stepsail.consensus import LogEntry, PersistentState, StateWrite
from stepsail.consensus.state_file import StateFile
from stepsail.store.frames import DamagedFileError

WRITES = [
    StateWrite(1, 1, 0),
    StateWrite(2, 1, 0, 1, (LogEntry(1, b"one"), LogEntry(1, b"two"))),
    StateWrite(3, 2, 1),
    StateWrite(4, 2, 1, 2, (LogEntry(2, b"other"),)),
]


def write_all(folder: Path) -> PersistentState:
    file = StateFile(folder)
    file.read(77)
    for write in WRITES:
        file.write([write])
    return StateFile(folder).read(99)


def test_synced_state_is_read_back(tmp_path: Path) -> None:
    state = write_all(tmp_path)
    assert (state.identity, state.current_term, state.voted_for, state.entries) == (
        77,
        2,
        1,
        [LogEntry(1, b"one"), LogEntry(2, b"other")],
    )
    state_with_snapshot = msgspec.structs.replace(
        state, snapshot_index=2, snapshot_term=2, snapshot=b"all", entries=[]
    )
    file = StateFile(tmp_path)
    file.read(99)
    file.write(
        [
            StateWrite(5, 3, -1),
            StateWrite(6, 3, 2, replacement=msgspec.msgpack.encode(state_with_snapshot)),
            StateWrite(7, 4, 0),
        ]
    )
    stored_state = StateFile(tmp_path).read(99)
    assert (
        stored_state.snapshot_index,
        stored_state.snapshot,
        stored_state.current_term,
        stored_state.voted_for,
        stored_state.identity,
    ) == (
        2,
        b"all",
        4,
        0,
        77,
    )


def test_file_truncated_at_any_byte_is_the_state_after_some_write(tmp_path: Path) -> None:
    write_all(tmp_path)
    data, states = (tmp_path / "order.log").read_bytes(), set()
    for size in range(len(data) + 1):
        (tmp_path / "order.log").write_bytes(data[:size])
        state = StateFile(tmp_path).read(99)
        states.add((state.identity, state.current_term, state.voted_for, len(state.entries)))
        StateFile(tmp_path).write([StateWrite(8, 9, 2)])
        assert StateFile(tmp_path).read(98).current_term == 9  # later writes are stored
    assert states == {(99, 0, -1, 0), (77, 0, -1, 0), (77, 1, 0, 0), (77, 1, 0, 2), (77, 2, 1, 2)}


def test_damaged_file_is_reported_and_not_treated_as_new_storage(tmp_path: Path) -> None:
    write_all(tmp_path)
    data = bytearray((tmp_path / "order.log").read_bytes())
    data[60] ^= 1
    (tmp_path / "order.log").write_bytes(data)
    with pytest.raises(DamagedFileError):
        StateFile(tmp_path).read(99)


def test_full_disk_leaves_the_file_unchanged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = StateFile(tmp_path)
    file.read(77)
    file.write(WRITES[:2])
    data_before = (tmp_path / "order.log").read_bytes()

    def fail_with_full_disk(fd: int) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr("os.fsync", fail_with_full_disk)
        with pytest.raises(OSError, match="No space"):
            file.write(WRITES[2:])
    assert (tmp_path / "order.log").read_bytes() == data_before
    file.write(WRITES[2:])
    assert StateFile(tmp_path).read(99).current_term == 2
