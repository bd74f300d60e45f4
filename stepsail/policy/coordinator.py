"""The voter's side of policy changes.

Every voter answers the status requests of participants. The voter that leads the consensus group also
coordinates the two-phase commit.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from stepsail.policy.commands import (
    Abort,
    AdmitMember,
    Command,
    Commit,
    Propose,
    RemoveMember,
    encode_command,
)
from stepsail.policy.messages import VERSION, Message, MessageKind
from stepsail.policy.parameters import DEFAULT_PROPOSAL_TIMEOUT, PREPARE_INTERVAL
from stepsail.policy.state_machine import PolicyStateMachine

Address = tuple[str, int]


class PolicyCoordinator:
    """The coordinator of one voter.

    Attributes:
        append: Appends data to the replicated log and returns its index; None if this voter does not lead.
        is_leader: Whether this voter is the leader, which coordinates the pending proposal.
        proposal_version: Version of the proposal that this voter coordinates; 0 if there is none.
        abort_at: Time in seconds at which the proposal is aborted if it is still pending.
        prepare_at: Time in seconds of the next PREPARE to the members that have not prepared the proposal.
        next_timeout: Time in seconds by which `tick` has to be called.
        prepared: Instance number and incarnation of each member that has prepared the proposal.
        outcome_proposed: Whether the commit or abort has been appended to the log and is not applied yet.
        deferred_admissions: Maps instance numbers to admissions that are appended to the log after the
            pending proposal is finished.
    """

    def __init__(self, state_machine: PolicyStateMachine, append: Callable[[bytes], int | None]) -> None:
        self.state_machine = state_machine
        self.append = append
        self.is_leader = False
        self.proposal_version = 0
        self.abort_at = inf
        self.prepare_at = inf
        self.next_timeout = inf
        self.prepared: set[tuple[int, int]] = set()
        self.outcome_proposed = False
        self.deferred_admissions: dict[int, AdmitMember] = {}
        self.messages: list[tuple[Address, Message]] = []

    def update(self, is_leader: bool, now: float) -> None:
        """React to a change of leadership or of the state machine.

        A new leader restarts the timeout of the proposal.
        """
        if is_leader != self.is_leader:
            self.is_leader = is_leader
            self.proposal_version = 0
            self.outcome_proposed = False
            self.prepared.clear()
        pending = self.state_machine.state.pending
        if (
            self.is_leader
            and self.proposal_version
            and (pending is None or pending.version != self.proposal_version)
        ):
            self._announce_outcome(self.proposal_version)
        if not self.is_leader or pending is None:
            self._end_proposal()
        elif self.proposal_version != pending.version:
            self._begin_proposal(pending, now)
        if self.is_leader and pending is None:
            for command in self.deferred_admissions.values():
                self._append(command)
            self.deferred_admissions.clear()
        self._commit_if_prepared()
        self.next_timeout = min(self.prepare_at, self.abort_at)

    def propose(self, text: str, author: str, reason: str, timeout: float = 0.0) -> int | None:
        """Propose the next policy and return its version.

        Returns None if this voter is not the leader or another proposal is pending.
        """
        state = self.state_machine.state
        if not self.is_leader or state.pending:
            return None
        proposal = Propose(state.latest_version + 1, text, author, reason, timeout)
        return proposal.version if self._append(proposal) else None

    def tick(self, now: float) -> None:
        """Send PREPARE to members that have not prepared the proposal; abort it if it has timed out."""
        pending = self.state_machine.state.pending
        if self.is_leader and pending and not self.outcome_proposed:
            if now >= self.abort_at:
                unprepared = ", ".join(str(instance) for instance in self.unprepared_members())
                self._propose_outcome(Abort(pending.version, f"no word from umpires {unprepared}"))
            elif now >= self.prepare_at:
                self.prepare_at = now + PREPARE_INTERVAL
                for instance in self.unprepared_members():
                    self._send_to_member(MessageKind.PREPARE, instance, pending.version, pending.text)
        if self.outcome_proposed:
            self.next_timeout = now + PREPARE_INTERVAL
        else:
            self.next_timeout = min(self.prepare_at, self.abort_at)

    def receive(self, message: Message) -> None:
        """Handle a message of a participant.

        Only a status request may come from a process that is not a member. Other messages of such a process
        are dropped. Answers about a proposal other than the current one are dropped too.
        """
        if message.kind is MessageKind.STATUS_REQUEST:
            self._answer_status(message)
            return
        if self.state_machine.incarnation_of(message.instance) != message.incarnation:
            return
        if message.kind is MessageKind.LEAVE:
            self._append(RemoveMember(message.instance, message.incarnation))
        elif message.policy_version != self.proposal_version:
            return
        elif message.kind is MessageKind.PREPARED:
            self.prepared.add((message.instance, message.incarnation))
            self._commit_if_prepared()
        elif message.kind is MessageKind.REFUSED and not self.outcome_proposed:
            reason = f"umpire {message.instance} cannot use it: {message.text}"
            self._propose_outcome(Abort(message.policy_version, reason))

    def take_messages(self) -> list[tuple[Address, Message]]:
        """Return the messages to send, each with the address of its receiver, and clear the outbox."""
        messages = self.messages
        self.messages = []
        return messages

    def unprepared_members(self) -> list[int]:
        """Return the instance numbers of the members whose PREPARED has not been received."""
        return [
            instance
            for instance, member in sorted(self.state_machine.members.items())
            if (instance, member.incarnation) not in self.prepared
        ]

    def _begin_proposal(self, pending: Propose, now: float) -> None:
        self.proposal_version = pending.version
        self.prepare_at = now
        self.abort_at = now + (pending.timeout or DEFAULT_PROPOSAL_TIMEOUT)
        self.outcome_proposed = False
        self.prepared.clear()

    def _end_proposal(self) -> None:
        self.proposal_version = 0
        self.prepare_at = inf
        self.abort_at = inf
        self.outcome_proposed = False

    def _commit_if_prepared(self) -> None:
        pending = self.state_machine.state.pending
        if not self.is_leader or pending is None or self.proposal_version != pending.version:
            return
        if not self.outcome_proposed and not self.unprepared_members():
            self._propose_outcome(Commit(pending.version))

    def _propose_outcome(self, outcome: Commit | Abort) -> None:
        self.outcome_proposed = self._append(outcome)

    def _append(self, command: Command) -> bool:
        return self.append(encode_command(command)) is not None

    def _answer_status(self, request: Message) -> None:
        """Answer a status request from this voter's state machine.

        The state machine may lag behind those of other voters, but any outcome in it is final.
        """
        state = self.state_machine.state
        sender_address = (request.host, request.port)
        incarnation = self.state_machine.incarnation_of(request.instance)
        if incarnation < request.incarnation:
            self._admit(AdmitMember(request.instance, request.incarnation, request.host, request.port))
        elif incarnation > request.incarnation:
            self._send(sender_address, MessageKind.STALE_INCARNATION, request.instance, incarnation)
        elif request.policy_version == 0:
            self._send(
                sender_address, MessageKind.ADMITTED, request.instance, incarnation, state.version, state.text
            )
        elif state.version >= request.policy_version:
            self._send(
                sender_address,
                MessageKind.COMMITTED,
                request.instance,
                incarnation,
                state.version,
                state.text,
            )
        elif self.state_machine.outcome(request.policy_version) is False:
            self._send(
                sender_address,
                MessageKind.ABORTED,
                request.instance,
                incarnation,
                request.policy_version,
                state.text,
                state.version,
            )

    def _admit(self, command: AdmitMember) -> None:
        """Append an admission now or, if a proposal is pending, after that proposal is finished.

        Only the leader appends admissions; other voters ignore the command.
        """
        if self.is_leader and self.state_machine.state.pending is None:
            self._append(command)
        elif self.is_leader:
            self.deferred_admissions[command.instance] = command

    def _announce_outcome(self, version: int) -> None:
        """Send a proposal's outcome to all members; a member that does not receive it asks for it."""
        state = self.state_machine.state
        committed = self.state_machine.outcome(version)
        for instance in sorted(self.state_machine.members):
            if committed:
                self._send_to_member(MessageKind.COMMITTED, instance, state.version, state.text)
            elif committed is False:
                self._send_to_member(
                    MessageKind.ABORTED, instance, version, state.text, committed_version=state.version
                )

    def _send_to_member(
        self, kind: MessageKind, instance: int, policy_version: int, text: str, committed_version: int = 0
    ) -> None:
        member = self.state_machine.members[instance]
        address = (member.host, member.port)
        self._send(address, kind, instance, member.incarnation, policy_version, text, committed_version)

    def _send(
        self,
        address: Address,
        kind: MessageKind,
        instance: int,
        incarnation: int,
        policy_version: int = 0,
        text: str = "",
        committed_version: int = 0,
    ) -> None:
        message = Message(
            VERSION,
            kind,
            instance,
            incarnation,
            policy_version,
            text,
            committed_version=committed_version,
        )
        self.messages.append((address, message))
