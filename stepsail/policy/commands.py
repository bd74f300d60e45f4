"""Defines the commands in the replicated log.

Their tags and encoded field names are part of the stored log.
"""

from __future__ import annotations

import msgspec


class Propose(msgspec.Struct, frozen=True, tag="change"):
    """Proposes a policy under the next version.

    Attributes:
        version: Version of the policy.
        text: Text of the policy.
        author: Who proposed it.
        reason: Why it was proposed.
        timeout: Seconds until the proposal is aborted; 0 stands for DEFAULT_PROPOSAL_TIMEOUT.
    """

    version: int = msgspec.field(name="number")
    text: str
    author: str = msgspec.field(name="who", default="")
    reason: str = msgspec.field(name="why", default="")
    timeout: float = msgspec.field(name="patience", default=0.0)


class Commit(msgspec.Struct, frozen=True, tag="decide"):
    """Puts the pending proposal into force, after every member has prepared it."""

    version: int = msgspec.field(name="number")


class Abort(msgspec.Struct, frozen=True, tag="give up"):
    """Ends the pending proposal without putting it into force."""

    version: int = msgspec.field(name="number")
    reason: str = msgspec.field(name="why")


class AdmitMember(msgspec.Struct, frozen=True, tag="admit"):
    """Allows a process to accept requests; it replaces an earlier incarnation of its instance."""

    instance: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="start")
    host: str
    port: int


class RemoveMember(msgspec.Struct, frozen=True, tag="strike"):
    """Removes from the members a process that accepts no more requests."""

    instance: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="start")


class AdmitVoter(msgspec.Struct, frozen=True, tag="files"):
    """Allows a voter to vote under a new storage identity.

    The consensus replica carries out this command; the state machine ignores it.
    """

    voter: int = msgspec.field(name="keeper")
    identity: int = msgspec.field(name="files")


Command = Propose | Commit | Abort | AdmitMember | RemoveMember | AdmitVoter

DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command as the data of a log entry."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command | None:
    """Parse the data of a log entry; return None for the empty entry that begins a leader's term."""
    return DECODER.decode(data) if data else None
