"""The replicated state machine: the policy in force, the pending proposal and the members.

Every voter applies the same commands in the same order. A command that does not fit the current state has no
effect, so the log may hold conflicting commands of two successive leaders.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from stepsail.policy.commands import (
    Abort,
    AdmitMember,
    Command,
    Commit,
    Propose,
    RemoveMember,
    decode_command,
)
from stepsail.policy.parameters import MAX_FINISHED_PROPOSALS


class Member(NamedTuple):
    """A process that may accept requests, and the address at which voters reach it."""

    incarnation: int
    host: str
    port: int


class FinishedProposal(msgspec.Struct, frozen=True):
    """The outcome of a proposal. The encoded names are part of the snapshot format."""

    version: int = msgspec.field(name="number")
    committed: bool = msgspec.field(name="held")
    reason: str = msgspec.field(name="why")
    author: str = msgspec.field(name="who")


class PolicyState(msgspec.Struct):
    """The state of the state machine. The encoded names are part of the snapshot format.

    Attributes:
        version: Version of the policy in force; 0 before the first policy is committed.
        text: Text of the policy in force.
        latest_version: Highest version proposed so far; versions of aborted proposals are not reused.
        pending: The proposal that is neither committed nor aborted yet; None if there is none.
        members: Maps instance numbers to the processes that may accept requests.
        finished: The outcomes of the last finished proposals, oldest first.
    """

    version: int = msgspec.field(name="number", default=0)
    text: str = ""
    latest_version: int = msgspec.field(name="latest", default=0)
    pending: Propose | None = None
    members: dict[int, Member] = msgspec.field(default_factory=dict)
    finished: list[FinishedProposal] = msgspec.field(name="past", default_factory=list)


STATE_DECODER = msgspec.msgpack.Decoder(PolicyState)


class PolicyStateMachine:
    """One voter's replica of the state."""

    def __init__(self) -> None:
        self.state = PolicyState()

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with the state in a snapshot."""
        self.state = STATE_DECODER.decode(snapshot)

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(self.state)

    @property
    def members(self) -> Mapping[int, Member]:
        """Mapping of instance numbers to the processes that may accept requests."""
        return self.state.members

    def incarnation_of(self, instance: int) -> int:
        """Return the incarnation of the instance's admitted process; -1 if it has none."""
        member = self.state.members.get(instance)
        return member.incarnation if member else -1

    def apply(self, data: bytes) -> Command | None:
        """Apply a committed log entry and return its command, or None if the entry is empty."""
        command = decode_command(data)
        state = self.state
        if isinstance(command, Propose):
            if state.pending is None and command.version == state.latest_version + 1:
                state.pending = command
                state.latest_version = command.version
        elif isinstance(command, Commit):
            if state.pending and state.pending.version == command.version:
                state.version = command.version
                state.text = state.pending.text
                self._finish(state.pending, committed=True, reason="")
        elif isinstance(command, Abort):
            if state.pending and state.pending.version == command.version:
                self._finish(state.pending, committed=False, reason=command.reason)
        elif isinstance(command, AdmitMember):
            self._admit(command)
        elif isinstance(command, RemoveMember):
            self._remove(command)
        return command

    def _admit(self, command: AdmitMember) -> None:
        """Admit a process unless a proposal is pending, which every member has to prepare."""
        if self.state.pending is None and command.incarnation > self.incarnation_of(command.instance):
            member = Member(command.incarnation, command.host, command.port)
            self.state.members[command.instance] = member

    def _remove(self, command: RemoveMember) -> None:
        if self.incarnation_of(command.instance) == command.incarnation:
            del self.state.members[command.instance]

    def _finish(self, proposal: Propose, committed: bool, reason: str) -> None:
        self.state.pending = None
        finished = FinishedProposal(proposal.version, committed, reason, proposal.author)
        self.state.finished = [*self.state.finished, finished][-MAX_FINISHED_PROPOSALS:]

    def outcome(self, version: int) -> bool | None:
        """Return whether a proposal was committed; None if its outcome is not known to this voter."""
        return next(
            (finished.committed for finished in self.state.finished if finished.version == version), None
        )
