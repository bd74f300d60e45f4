"""Policy changes under random faults of instances, voters and the links between them."""

from __future__ import annotations

from math import inf
from random import Random
from typing import Any

import pytest

from stepsail.policy import Message, PolicyCoordinator, PolicyParticipant, PolicyStateMachine
from stepsail.policy.commands import Abort, AdmitMember, Commit, Propose, RemoveMember, encode_command
from stepsail.policy.messages import MessageKind
from stepsail.policy.parameters import PREPARED_TIMEOUT
from stepsail.standins.policy_fleet import PolicyFleet


class RandomHistory:
    """Plays faults and proposals drawn from a seed, then heals all faults and lets the instances converge."""

    def __init__(self, seed: int) -> None:
        self.random = Random(f"{seed} policies")
        self.fleet = PolicyFleet(self.random.choice([3, 5]), self.random.randrange(2, 8), seed)
        for instance in self.fleet.instances.values():
            instance.clock_rate = self.random.uniform(0.95, 1.05)

    def play(self, steps: int) -> PolicyFleet:
        self.fleet.run(6.0)
        for step in range(steps):
            self._step(step)
            self.fleet.run(self.random.choice([0.05, 0.3, 1.0, 3.0, 6.0]))
        self._recover()
        return self.fleet

    def _step(self, step: int) -> None:
        random, fleet = self.random, self.fleet
        action = random.randrange(15)
        voter = random.choice(fleet.voter_numbers)
        number = random.choice([*fleet.instances])
        instance = fleet.instances[number]
        if action < 4:
            fleet.propose_policy(f"text {step}", random.choice([0.0, 2.0, 30.0]))
        elif action == 4 and instance.participant and not instance.stopped:
            fleet.kill_instance(number)
        elif action in (5, 6) and instance.participant is None:
            fleet.start_instance(number)
        elif action == 7 and instance.participant:
            instance.stopped = True
        elif action in (8, 9) and instance.stopped:
            fleet.resume_instance(number)
        elif action == 10:
            fleet.unreachable = {n for n in fleet.instances if random.random() < 0.4}
        elif action == 11:
            fleet.heal_network()
        elif action == 12:
            faults = random.choice([(0.3, 0.3, 0.1), (0.0, 0.5, 3.0), (0.5, 0.0, 0.0)])
            fleet.loss, fleet.duplication, fleet.max_extra_delay = faults
        elif action == 13 and all(v.replica is not None for v in fleet.voters.values()):
            fleet.crash(voter)
        elif action == 14:
            fleet.start_all()
            if random.random() < 0.3:
                # Clocks are set back rarely, and by MAX_CLOCK_STEP_BACK at most.
                instance.clock_offset += random.choice([-2.0, -1.0, 3.0])

    def _recover(self) -> None:
        fleet = self.fleet
        fleet.heal_network()
        fleet.start_all()
        for number, instance in fleet.instances.items():
            if instance.participant is None:
                fleet.start_instance(number)
            elif instance.stopped:
                fleet.resume_instance(number)
        fleet.run(45.0)
        versions = {
            i.participant.version_at(i.clock(fleet.now)) if i.participant else None
            for i in fleet.instances.values()
        }
        if versions != {max(fleet.committed_at, default=0)}:
            committed = sorted(fleet.committed_at)
            fleet.violations.append(
                f"after recovery the instances use versions {versions}; committed versions: {committed}"
            )


def play_history(seed: int, steps: int = 50) -> PolicyFleet:
    return RandomHistory(seed).play(steps)


@pytest.mark.parametrize("seed", range(1, 7))
def test_policy_takes_effect_at_all_instances_or_at_none(seed: int) -> None:
    assert play_history(seed).violations == []


def never_expire(self: PolicyParticipant, now: float) -> int | None:
    """Broken `version_at`: the old policy never expires."""
    return self.version if self.admitted and not self.left else None


def admit_itself(self: PolicyParticipant, now: float) -> None:
    """Broken `tick`: accepts requests after a start without admission by the leader."""
    self.admitted, self.next_timeout = True, inf


def all_unprepared_but_one(self: PolicyCoordinator) -> list[int]:
    """Broken `unprepared_members`: omits one member, so that a proposal is committed without it."""
    members = sorted(self.state_machine.members.items())
    return [n for n, member in members if (n, member.incarnation) not in self.prepared][:-1]


def use_proposed_policy(self: PolicyParticipant, message: Message, voter: int) -> None:
    """Broken `_prepare`: accepts requests under a proposal that is still pending."""
    self._send(MessageKind.PREPARED, voter, message.policy_version)
    self._use(message.policy_version, message.text)


@pytest.mark.parametrize(
    ("owner", "name", "broken_method"),
    [
        (PolicyParticipant, "version_at", never_expire),
        (PolicyParticipant, "tick", admit_itself),
        (PolicyCoordinator, "unprepared_members", all_unprepared_but_one),
        (PolicyParticipant, "_prepare", use_proposed_policy),
    ],
)
def test_fault_injection_detects_broken_implementation(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, broken_method: Any
) -> None:
    monkeypatch.setattr(owner, name, broken_method)
    assert any(play_history(seed).violations for seed in range(1, 60))


def test_only_the_outcome_ends_the_prepared_timeout() -> None:
    participant = PolicyParticipant(1, 10, "h", 1, (0, 1, 2), 0.0)

    def receive(kind: MessageKind, version: int, at: float, committed_version: int = 0) -> int | None:
        text = f"text {version}"
        message = Message(1, kind, 1, 10, version, text, committed_version=committed_version)
        participant.receive(message, 0, at)
        return participant.version_at(at)

    assert participant.version_at(0.0) is None and receive(MessageKind.ADMITTED, 4, 0.1) == 4
    # A duplicate of PREPARE that arrives late does not extend the validity of the old policy.
    assert (
        receive(MessageKind.PREPARE, 5, 1.0) == 4
        and receive(MessageKind.PREPARE, 5, 1.0 + PREPARED_TIMEOUT - 0.1) == 4
    )
    assert participant.version_at(1.0 + PREPARED_TIMEOUT) is None
    assert receive(MessageKind.ADMITTED, 4, 5.2) is None  # from a voter whose state machine lags behind
    # Version 5 may have been committed without the participant learning of it.
    assert receive(MessageKind.PREPARE, 6, 6.0) is None
    # Setting the clock back does not make the policy valid again either.
    assert receive(MessageKind.ABORTED, 5, 6.5) is None and participant.version_at(0.5) is None
    assert receive(MessageKind.ABORTED, 6, 7.0, committed_version=5) == 5
    assert receive(MessageKind.PREPARE, 7, 8.0) == 5 and receive(MessageKind.COMMITTED, 7, 8.1) == 7
    assert (
        receive(MessageKind.COMMITTED, 5, 9.0) == 7
        and receive(MessageKind.PREPARE, 7, 9.1) == 7
        and participant.version_at(99.0) == 7
    )


def test_commands_that_do_not_fit_the_state_have_no_effect() -> None:
    machine = PolicyStateMachine()
    for command in (
        Commit(1),
        Abort(1, ""),
        Propose(2, "x"),
        AdmitMember(1, 5, "h", 1),
        Propose(1, "one"),
        Propose(2, "two"),
        AdmitMember(2, 5, "h", 2),
        AdmitMember(1, 9, "h", 1),
        Commit(2),
        RemoveMember(1, 4),
    ):
        machine.apply(encode_command(command))
    assert (
        machine.state.pending == Propose(1, "one")
        and machine.members == {1: (5, "h", 1)}
        and machine.state.version == 0
    )
    for command in (
        Abort(1, "silent"),
        Commit(1),
        Propose(1, "again"),
        Propose(2, "two"),
        Commit(2),
        RemoveMember(1, 5),
    ):
        machine.apply(encode_command(command))
    assert (machine.state.version, machine.state.text, machine.state.latest_version, machine.members) == (
        2,
        "two",
        2,
        {},
    )
    assert machine.outcome(1) is False and machine.outcome(2) is True and machine.outcome(3) is None
    copy = PolicyStateMachine()
    copy.restore(machine.snapshot())
    assert copy.state == machine.state


def test_refused_policy_is_aborted_with_the_reason() -> None:
    fleet = PolicyFleet(3, 4, 1)
    fleet.run(6.0)
    participant = fleet.instances[2].participant
    assert participant
    participant.validate = lambda text: "line 3: 'target' is after 'abandon'"
    assert fleet.propose_policy("bad") == 1
    fleet.run(1.0)
    leader = fleet.leader()
    assert leader is not None and not fleet.committed_at
    assert (
        fleet.state_machines[leader].state.finished[0].reason
        == "umpire 2 cannot use it: line 3: 'target' is after 'abandon'"
    )
