"""Runs the participant in policy changes, and on a voter also the consensus replica and the coordinator.

Does nothing if the settings have no policy. Messages are sent from the membership's port, but to the
addresses that the settings and the instances themselves give, because the membership view may be wrong.
"""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from stepsail import consensus, policy
from stepsail.consensus import RaftReplica, Role, StateWrite
from stepsail.consensus.state_file import StateFile
from stepsail.loop import Loop
from stepsail.loop.driver import Address
from stepsail.policy import PolicyCoordinator, PolicyParticipant, PolicyStateMachine
from stepsail.policy.commands import Abort, AdmitVoter, Command, Commit, Propose, encode_command
from stepsail.policy.parameters import MAX_TEXT_LENGTH
from stepsail.proxy.decision_host import Logger
from stepsail.proxy.membership import MembershipService
from stepsail.proxy.policy_status import participant_status, voter_status
from stepsail.settings import InstanceSettings

# First byte of a policy message, which states the component that receives the message.
TO_VOTER = b"k"
TO_PARTICIPANT = b"u"
BETWEEN_VOTERS = b"o"
# Size in bytes of the sender's instance number, which follows the first byte of a policy message.
SENDER_BYTES = 4

# Seconds after a failed write of the consensus state until the write is tried again.
WRITE_RETRY_INTERVAL = 1.0
# Longest timeout in seconds that an operator may give a policy proposal.
MAX_PROPOSAL_TIMEOUT = 3600
# Largest number of characters kept of a proposal's author, and of its reason.
MAX_NOTE_LENGTH = 200

HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409


class ProposalResponse(NamedTuple):
    """Holds the HTTP response to a proposal.

    Attributes:
        status: The status code.
        body: The content of the body, which is sent as JSON.
    """

    status: int
    body: dict[str, Any]


class PolicyService:
    """Does the I/O of the participant and, on a voter, of the Raft replica and the coordinator."""

    def __init__(
        self,
        loop: Loop,
        settings: InstanceSettings,
        membership: MembershipService,
        log: Logger,
        seed: int,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.membership = membership
        self.log = log
        self.instance = settings.router.instance_index
        self.participant: PolicyParticipant | None = None
        self.raft: RaftReplica | None = None
        self.state_machine = PolicyStateMachine()
        self.coordinator = PolicyCoordinator(self.state_machine, self._append)
        self.write_running = False
        self.pending_writes: list[StateWrite] = []
        self.timer_at = inf
        self.logged_version = 0
        if not settings.policy or not settings.membership:
            return
        incarnation = int(loop.driver.wall_clock() * 1000)
        self.voters = settings.policy.voters
        self.participant = PolicyParticipant(
            self.instance,
            incarnation,
            *settings.membership.advertised_address,
            sorted(self.voters),
            loop.now(),
        )
        if settings.policy.folder and self.instance in self.voters:
            self.state_file = StateFile(settings.policy.folder)
            persistent = self.state_file.read(incarnation)
            self.raft = RaftReplica(self.instance, tuple(self.voters), persistent, seed, loop.now())
        membership.on_policy_message = self._receive

    @property
    def enabled(self) -> bool:
        """Whether the settings have a policy."""
        return self.participant is not None

    @property
    def ready(self) -> bool:
        """Whether the rules for policy changes allow this instance to accept requests."""
        return self.participant is None or self.participant.admitted

    def current_version(self) -> int | None:
        """Return the policy version under which a request is accepted now; None if no policy is valid.

        This method reads the clock itself, because the loop's last reading is out of date if the process was
        paused.
        """
        assert self.participant
        return self.participant.version_at(self.loop.driver.now())

    def retry_after(self) -> float:
        """Return the seconds after which a client that was rejected for lack of a policy may try again."""
        assert self.participant
        return self.participant.retry_after(self.loop.now())

    def start(self) -> None:
        """Start to request admission and, on a voter, to take part in consensus."""
        if self.participant:
            self._tick()

    def leave(self) -> None:
        """Announce to the voters that this process accepts no more requests."""
        if self.participant:
            self.participant.leave()
            self._handle_output()

    def propose(self, body: dict[str, Any]) -> ProposalResponse:
        """Handle an operator's proposal of a new policy."""
        text = body.get("text")
        timeout = body.get("patience", 0.0)
        if not isinstance(text, str) or len(text.encode()) > MAX_TEXT_LENGTH:
            error = f"'text' is a policy's text, {MAX_TEXT_LENGTH} bytes at most"
            return ProposalResponse(HTTP_BAD_REQUEST, {"error": error})
        if not isinstance(timeout, int | float) or not 0 <= timeout <= MAX_PROPOSAL_TIMEOUT:
            error = "'patience' is in seconds, up to an hour"
            return ProposalResponse(HTTP_BAD_REQUEST, {"error": error})
        author = str(body.get("who", ""))[:MAX_NOTE_LENGTH]
        reason = str(body.get("why", ""))[:MAX_NOTE_LENGTH]
        version = self.coordinator.propose(text, author, reason, timeout)
        self._handle_output()
        if version is None:
            error = "a change is pending, or another keeper leads"
            leader = self.raft.leader if self.raft else None
            return ProposalResponse(HTTP_CONFLICT, {"error": error, "leader": leader})
        return ProposalResponse(HTTP_ACCEPTED, {"number": version})

    def status_page(self) -> dict[str, Any]:
        """Return the content of the status page about policies."""
        if self.participant is None:
            return {"policy": None}
        status = participant_status(self.participant)
        if self.raft:
            status["keeper"] = voter_status(self.raft, self.coordinator)
        return {"policy": status}

    # Messages

    def _receive(self, data: bytes) -> None:
        """Handle one policy message.

        The message is dropped if it is malformed, or if only a voter may send it and its sender is no voter.
        """
        now = self.loop.now()
        receiver = data[:1]
        sender = int.from_bytes(data[1 : 1 + SENDER_BYTES], "big")
        body = data[1 + SENDER_BYTES :]
        try:
            if receiver == BETWEEN_VOTERS and self.raft and sender in self.voters:
                self.raft.receive(consensus.decode(body), now)
            elif receiver == TO_VOTER and self.raft:
                self.coordinator.receive(policy.decode(body))
            elif receiver == TO_PARTICIPANT and self.participant and sender in self.voters:
                self.participant.receive(policy.decode(body), sender, now)
        except (policy.InvalidMessageError, consensus.InvalidMessageError):
            self.membership.dropped += 1
            return
        self._handle_output()

    def _send(self, receiver: bytes, to: Address, body: bytes) -> None:
        sender = self.instance.to_bytes(SENDER_BYTES, "big")
        self.membership.send_policy_message(to, receiver + sender + body)

    # Timers

    def _tick(self) -> None:
        self.timer_at = inf
        now = self.loop.now()
        if self.raft and now >= self.raft.next_timeout:
            self.raft.tick(now)
        self._handle_output()

    def _set_timer(self, participant: PolicyParticipant, now: float) -> None:
        due_at = participant.next_timeout
        if self.raft:
            due_at = min(due_at, self.raft.next_timeout, self.coordinator.next_timeout)
        due_at = max(now, due_at)
        if due_at < self.timer_at:
            self.timer_at = due_at
            self.loop.call_at(due_at, self._timer_expired)

    def _timer_expired(self) -> None:
        if self.loop.now() >= self.timer_at:
            self._tick()

    # Output of the participant, the Raft replica and the coordinator

    def _handle_output(self) -> None:
        participant = self.participant
        assert participant
        now = self.loop.now()
        if self.raft:
            self._handle_voter_output(self.raft, now)
        participant.tick(now)
        for voter, message in participant.take_messages():
            self._send(TO_VOTER, self.voters[voter], policy.encode(message))
        if participant.version != self.logged_version:
            self.log.info("policy_changed", version=participant.version, previous_version=self.logged_version)
            self.logged_version = participant.version
        self._set_timer(participant, now)

    def _handle_voter_output(self, raft: RaftReplica, now: float) -> None:
        if snapshot := raft.take_snapshot():
            self.state_machine.restore(snapshot)
        for index, entry in raft.take_committed():
            self._apply(raft, index, entry.data)
        raft.compact(self.state_machine.snapshot())
        for voter, identity in raft.take_new_identities():
            raft.propose(encode_command(AdmitVoter(voter, identity)))
        self.coordinator.update(raft.role is Role.LEADER, now)
        self.coordinator.tick(now)
        for address, policy_message in self.coordinator.take_messages():
            self._send(TO_PARTICIPANT, address, policy.encode(policy_message))
        self.pending_writes += raft.take_writes()
        if self.pending_writes and not self.write_running:
            self._write(raft)
        for voter, raft_message in raft.take_messages():
            self._send(BETWEEN_VOTERS, self.voters[voter], consensus.encode(raft_message))

    def _apply(self, raft: RaftReplica, index: int, data: bytes) -> None:
        pending = self.state_machine.state.pending
        command = self.state_machine.apply(data)
        if isinstance(command, AdmitVoter):
            raft.admit_identity(command.voter, command.identity, index)
        elif pending:
            self._log_outcome(pending, command)

    def _log_outcome(self, pending: Propose, command: Command | None) -> None:
        if isinstance(command, Commit) and command.version == pending.version:
            self.log.info("policy_committed", version=command.version, reason="")
        elif isinstance(command, Abort) and command.version == pending.version:
            self.log.info("policy_aborted", version=command.version, reason=command.reason)

    def _append(self, data: bytes) -> int | None:
        return self.raft.propose(data) if self.raft else None

    # Stable storage

    def _write(self, raft: RaftReplica) -> None:
        """Sync pending writes in a thread, so that a slow disk delays only messages that depend on them."""
        self.write_running = True
        driver = self.loop.driver
        writes = self.pending_writes
        self.pending_writes = []

        def write() -> None:
            error: OSError | None = None
            try:
                self.state_file.write(writes)
            except OSError as write_error:
                error = write_error
            driver.call_threadsafe(lambda: self._write_finished(raft, writes, error))

        driver.run_blocking(write)

    def _write_finished(self, raft: RaftReplica, writes: list[StateWrite], error: OSError | None) -> None:
        if error:
            self.log.error("consensus_write_failed", error=str(error))
            self.pending_writes = writes + self.pending_writes
            self.loop.call_later(WRITE_RETRY_INTERVAL, lambda: self._write(raft))
            return
        self.write_running = False
        raft.writes_synced(writes[-1].number)
        self._handle_output()
