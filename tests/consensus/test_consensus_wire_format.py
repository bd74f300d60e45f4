"""Tests that messages and state files of an earlier version are read, and written with the same bytes.

The examples were made before identifiers in the code were renamed, so that a rename cannot change the
formats.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import msgspec
import pytest

from stepsail.consensus import LogEntry, Message, PersistentState, StateWrite, decode, encode
from stepsail.consensus.messages import MessageKind
from stepsail.consensus.state_file import StateFile

EXAMPLE_FOLDER = Path(__file__).parent / "before-names"
EXAMPLES = json.loads((EXAMPLE_FOLDER / "messages.json").read_text())
ENTRIES = (LogEntry(3, b""), LogEntry(4, b"change \x00\xff"))
STATE = PersistentState(
    identity=0,
    current_term=0,
    voted_for=-1,
    snapshot_index=2,
    snapshot_term=3,
    snapshot=b"state",
    identities={0: 11, 1: 12, 2: 13},
    identities_index=5,
    entries=list(ENTRIES),
)
WITH_PAYLOAD = (MessageKind.INSTALL_SNAPSHOT, MessageKind.PRE_VOTE_RESPONSE)
WRITES = [
    StateWrite(number=1, current_term=1, voted_for=0),
    StateWrite(number=2, current_term=1, voted_for=0, first_index=1, entries=ENTRIES),
    StateWrite(number=3, current_term=2, voted_for=-1, replacement=msgspec.msgpack.encode(STATE)),
]


@pytest.mark.parametrize("kind", list(MessageKind))
def test_message_has_the_same_bytes(kind: MessageKind) -> None:
    message = Message(
        version=1,
        kind=kind,
        sender=2,
        identity=1_700_000_000_123,
        term=4,
        log_index=7 + kind,
        log_term=3,
        commit_index=6,
        success=bool(kind % 2),
        entries=ENTRIES if kind is MessageKind.APPEND_ENTRIES else (),
        payload=msgspec.msgpack.encode(STATE) if kind in WITH_PAYLOAD else b"",
    )
    stored = bytes.fromhex(EXAMPLES["messages"][kind])
    assert encode(message) == stored
    assert decode(stored) == message


def test_every_kind_has_an_example() -> None:
    assert len(EXAMPLES["messages"]) == len(MessageKind)


def test_persistent_state_has_the_same_bytes() -> None:
    stored = bytes.fromhex(EXAMPLES["whole"])
    assert msgspec.msgpack.encode(STATE) == stored
    assert msgspec.msgpack.decode(stored, type=PersistentState) == STATE


@pytest.mark.parametrize("number", [1, 2, 3])
def test_write_has_the_same_bytes(number: int) -> None:
    write = WRITES[number - 1]
    stored = bytes.fromhex(EXAMPLES["writes"][number - 1])
    assert msgspec.msgpack.encode(write) == stored
    assert msgspec.msgpack.decode(stored, type=StateWrite) == write


def test_state_file_with_appended_writes(tmp_path: Path) -> None:
    shutil.copy(EXAMPLE_FOLDER / "order.log", tmp_path / "order.log")
    assert StateFile(tmp_path).read(99) == PersistentState(
        identity=77,
        current_term=2,
        voted_for=1,
        entries=[LogEntry(1, b"one"), LogEntry(2, b"other")],
    )
    new_folder = tmp_path / "new"
    file = StateFile(new_folder)
    file.read(77)
    file.write([StateWrite(1, 1, 0)])
    file.write([StateWrite(2, 1, 0, 1, (LogEntry(1, b"one"), LogEntry(1, b"two")))])
    file.write([StateWrite(3, 2, 1)])
    file.write([StateWrite(4, 2, 1, 2, (LogEntry(2, b"other"),))])
    assert (new_folder / "order.log").read_bytes() == (EXAMPLE_FOLDER / "order.log").read_bytes()


def test_state_file_with_a_snapshot(tmp_path: Path) -> None:
    shutil.copy(EXAMPLE_FOLDER / "order-with-snapshot.log", tmp_path / "order.log")
    state = PersistentState(
        identity=77,
        current_term=3,
        voted_for=2,
        snapshot_index=2,
        snapshot_term=2,
        snapshot=b"all",
        identities={0: 77, 1: 78, 2: 79},
        identities_index=4,
        entries=[LogEntry(3, b"three")],
    )
    after_last_write = msgspec.structs.replace(state, current_term=4, voted_for=0)
    assert StateFile(tmp_path).read(99) == after_last_write
    new_folder = tmp_path / "new"
    file = StateFile(new_folder)
    file.read(77)
    replacement = msgspec.msgpack.encode(state)
    file.write([StateWrite(5, 3, -1), StateWrite(6, 3, 2, replacement=replacement), StateWrite(7, 4, 0)])
    assert (new_folder / "order.log").read_bytes() == (
        EXAMPLE_FOLDER / "order-with-snapshot.log"
    ).read_bytes()
