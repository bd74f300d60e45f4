"""Messages, log entries and snapshots have the same bytes as before the identifiers were renamed."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from stepsail.policy import Message, PolicyStateMachine, decode, encode
from stepsail.policy.commands import (
    Abort,
    AdmitMember,
    AdmitVoter,
    Command,
    Commit,
    Propose,
    RemoveMember,
    decode_command,
    encode_command,
)
from stepsail.policy.messages import MessageKind

EXAMPLES = json.loads((Path(__file__).parent / "before-names" / "messages.json").read_text())
COMMANDS: list[Command] = [
    AdmitMember(instance=1, incarnation=5, host="127.0.0.1", port=9301),
    Propose(version=1, text="one", author="somebody", reason="a reason", timeout=2.5),
    Abort(version=1, reason="silent"),
    Propose(version=2, text="two"),
    Commit(version=2),
    AdmitMember(instance=2, incarnation=6, host="127.0.0.1", port=9302),
    RemoveMember(instance=2, incarnation=6),
    AdmitVoter(voter=1, identity=1_700_000_000_456),
    Propose(version=3, text="three", author="somebody", reason="again", timeout=20.0),
]


@pytest.mark.parametrize("kind", list(MessageKind))
def test_message_has_the_same_bytes(kind: MessageKind) -> None:
    message = Message(
        version=1,
        kind=kind,
        instance=4,
        incarnation=1_700_000_000_123,
        policy_version=9,
        text=f"text {kind.value}",
        host="127.0.0.1",
        port=9300,
        committed_version=8,
    )
    stored = bytes.fromhex(EXAMPLES["words"][kind])
    assert encode(message) == stored
    assert decode(stored) == message


def test_every_kind_has_an_example() -> None:
    assert len(EXAMPLES["words"]) == len(MessageKind)


@pytest.mark.parametrize("number", range(len(COMMANDS)))
def test_command_has_the_same_bytes(number: int) -> None:
    stored = bytes.fromhex(EXAMPLES["steps"][number])
    assert encode_command(COMMANDS[number]) == stored
    assert decode_command(stored) == COMMANDS[number]


def test_every_kind_of_command_has_an_example() -> None:
    kinds = {type(command) for command in COMMANDS}
    assert kinds == {Abort, AdmitMember, AdmitVoter, Commit, Propose, RemoveMember}
    assert len(EXAMPLES["steps"]) == len(COMMANDS)


def test_snapshots_have_the_same_bytes() -> None:
    machine = PolicyStateMachine()
    for command, stored in zip(COMMANDS, EXAMPLES["states"], strict=True):
        machine.apply(encode_command(command))
        assert machine.snapshot() == bytes.fromhex(stored)
        copy = PolicyStateMachine()
        copy.restore(bytes.fromhex(stored))
        assert copy.state == machine.state
