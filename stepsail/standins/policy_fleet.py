"""Simulates participants and voters of policy changes on one clock, and checks every accepted request.

Faults occur between participants and voters. The check uses only the requests that instances accept and the
times at which commands were first committed, and none of the instances' own records.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from math import inf

from stepsail.consensus import RaftReplica, Role
from stepsail.policy import (
    Message,
    PolicyCoordinator,
    PolicyParticipant,
    PolicyStateMachine,
    decode,
    encode,
)
from stepsail.policy.commands import Abort, AdmitVoter, Commit, encode_command
from stepsail.policy.parameters import max_staleness
from stepsail.standins.raft_cluster import TIMER_DELAY, RaftCluster, SimulatedVoter

REQUEST_INTERVAL = 0.05  # s between requests to each instance


class SimulatedInstance:
    """One instance's process.

    Attributes:
        participant: Its part in policy changes; None while the process is down.
        clock_rate: How many times as fast as the simulated time its clock runs.
        clock_offset: How far its clock is ahead (s).
        stopped: Whether the process is paused; messages that arrive meanwhile wait in `unread`.
        timer: Number of the current timer; earlier timers do nothing when they expire.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.participant: PolicyParticipant | None = None
        self.stopped = False
        self.clock_rate = 1.0
        self.clock_offset = 0.0
        self.timer = 0
        self.unread: list[tuple[int, bytes]] = []

    def clock(self, now: float) -> float:
        """Return the time that the instance's clock shows."""
        return now * self.clock_rate + self.clock_offset


class PolicyFleet(RaftCluster):
    """A simulated fleet of `size` voters and `instance_count` instances.

    Attributes:
        state_machines: By voter number.
        coordinators: By voter number.
        committed_at: By version, when its commit was first applied (s).
        aborted_at: By version, when its abort was first applied (s).
        accepted: Time, instance and policy version of every accepted request.
        unreachable: Instances that are cut off from all voters.
    """

    def __init__(self, size: int, instance_count: int, seed: int) -> None:
        self.state_machines: dict[int, PolicyStateMachine] = {}
        self.coordinators: dict[int, PolicyCoordinator] = {}
        self.start_counts: dict[int, int] = {}
        self.instances = {number: SimulatedInstance(number) for number in range(instance_count)}
        self.committed_at: dict[int, float] = {}
        self.aborted_at: dict[int, float] = {}
        self.accepted: list[tuple[float, int, int]] = []
        self.unreachable: set[int] = set()
        super().__init__(size, seed)
        for number in self.instances:
            self.start_instance(number)
        self.at(self.now + REQUEST_INTERVAL, self._send_requests)

    # Instances

    def start_instance(self, number: int) -> None:
        """Start an instance's process, which has no state of earlier processes."""
        instance = self.instances[number]
        self.start_counts[number] = self.start_counts.get(number, 0) + 1
        incarnation = 1000 * self.start_counts[number]
        instance.participant = PolicyParticipant(
            number, incarnation, "umpire", number, self.voter_numbers, instance.clock(self.now)
        )
        instance.stopped = False
        instance.unread = []
        self._carry_out_for_instance(instance)

    def kill_instance(self, number: int) -> None:
        """End an instance's process without notice."""
        self.instances[number].participant = None

    def resume_instance(self, number: int) -> None:
        """Continue a stopped process: it accepts a waiting request first, then reads its messages."""
        instance = self.instances[number]
        instance.stopped = False
        self._request(instance)
        unread = instance.unread
        instance.unread = []
        for voter, data in unread:
            self._arrive_at_instance(instance, voter, data)
        if instance.participant:
            self._carry_out_for_instance(instance)

    def propose_policy(self, text: str, timeout: float = 0.0) -> int | None:
        """Propose a policy to the leader; see `PolicyCoordinator.propose`."""
        leader = self.leader()
        if leader is None:
            return None
        version = self.coordinators[leader].propose(text, "somebody", "a reason", timeout)
        voter = self.voters[leader]
        if voter.replica:
            self._carry_out(voter)
        return version

    def heal_network(self) -> None:
        """Deliver all messages from now on, without faults and extra delay."""
        super().heal_network()
        self.unreachable = set()

    def _send_requests(self) -> None:
        for instance in self.instances.values():
            self._request(instance)
        self.at(self.now + REQUEST_INTERVAL, self._send_requests)

    def _request(self, instance: SimulatedInstance) -> None:
        """Send a request to an instance, and check the version of the policy under which it is accepted."""
        if instance.participant is None or instance.stopped:
            return
        version = instance.participant.version_at(instance.clock(self.now))
        if version is None:
            return
        self.accepted.append((self.now, instance.number, version))
        if version and self.committed_at.get(version, inf) > self.now:
            self.violations.append(
                f"{self.now:.2f}: instance {instance.number} accepts a request under version {version}, "
                "which is not committed"
            )
        later = [v for v, at in self.committed_at.items() if v > version and at + max_staleness() < self.now]
        if later:
            self.violations.append(
                f"{self.now:.2f}: instance {instance.number} accepts a request under version {version}; "
                f"version {later[0]} was committed at {self.committed_at[later[0]]:.2f}"
            )

    def _carry_out_for_instance(self, instance: SimulatedInstance) -> None:
        """Send the participant's messages and set its timer."""
        participant = instance.participant
        assert participant
        participant.tick(instance.clock(self.now))
        for voter, message in participant.take_messages():
            if instance.number not in self.unreachable:
                self._deliver(partial(self._arrive_at_voter, voter, message))
        instance.timer += 1
        wait = (participant.next_timeout - instance.clock(self.now)) / instance.clock_rate
        if wait < inf:
            tick = partial(self._tick_instance, instance, participant, instance.timer)
            self.at(self.now + max(0.0, wait) + TIMER_DELAY, tick)

    def _tick_instance(self, instance: SimulatedInstance, participant: PolicyParticipant, timer: int) -> None:
        is_current = instance.participant is participant and instance.timer == timer
        if is_current and not instance.stopped:
            self._carry_out_for_instance(instance)

    # Messages between instances and voters

    def _deliver(self, arrive: Callable[[], None]) -> None:
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            self.at(self._arrival_time(), arrive)

    def _arrive_at_voter(self, number: int, message: Message) -> None:
        voter = self.voters[number]
        if voter.replica:
            self.coordinators[number].receive(decode(encode(message)))
            self._carry_out(voter)

    def _arrive_at_instance(self, instance: SimulatedInstance, voter: int, data: bytes) -> None:
        if instance.participant is None:
            return
        if instance.stopped:
            instance.unread.append((voter, data))
            return
        instance.participant.receive(decode(data), voter, instance.clock(self.now))
        self._carry_out_for_instance(instance)

    # Voters

    def start(self, number: int) -> None:
        """Start a voter's process with a new state machine and coordinator."""
        state_machine = PolicyStateMachine()
        self.state_machines[number] = state_machine
        self.coordinators[number] = PolicyCoordinator(state_machine, partial(self._append, number))
        super().start(number)

    def _append(self, number: int, data: bytes) -> int | None:
        replica = self.voters[number].replica
        return replica.propose(data) if replica else None

    def restore(self, voter: SimulatedVoter, snapshot: bytes) -> None:
        """Restore the voter's state machine from a snapshot."""
        self.state_machines[voter.number].restore(snapshot)

    def apply(self, voter: SimulatedVoter, replica: RaftReplica, index: int, data: bytes) -> None:
        """Apply a committed command, and record when a commit or abort is first applied by any voter."""
        state_machine = self.state_machines[voter.number]
        pending = state_machine.state.pending
        command = state_machine.apply(data)
        if isinstance(command, AdmitVoter):
            replica.admit_identity(command.voter, command.identity, index)
        elif isinstance(command, Commit) and pending and pending.version == command.version:
            self.committed_at.setdefault(command.version, self.now)
        elif isinstance(command, Abort) and pending and pending.version == command.version:
            self.aborted_at.setdefault(command.version, self.now)

    def take_snapshot(self, voter: SimulatedVoter) -> bytes:
        """Return a snapshot of the voter's state machine."""
        return self.state_machines[voter.number].snapshot()

    def identity_command(self, number: int, identity: int) -> bytes:
        """Return the command that admits a voter with a new storage identity."""
        return encode_command(AdmitVoter(number, identity))

    def _carry_out(self, voter: SimulatedVoter) -> None:
        replica = voter.replica
        assert replica
        coordinator = self.coordinators[voter.number]
        coordinator.update(replica.role is Role.LEADER, self.now)
        coordinator.tick(self.now)
        for (_, number), message in coordinator.take_messages():
            if number not in self.unreachable:
                instance = self.instances[number]
                self._deliver(partial(self._arrive_at_instance, instance, voter.number, encode(message)))
        super()._carry_out(voter)
