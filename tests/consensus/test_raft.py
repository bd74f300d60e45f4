"""Tests Raft under random faults.

Each term has at most one leader, each log index at most one committed entry, and no committed entry is lost.
"""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from stepsail.consensus import InvalidMessageError, Role, decode, encode
from stepsail.consensus.election import Election
from stepsail.consensus.messages import Message, MessageKind
from stepsail.consensus.outbox import Outbox
from stepsail.consensus.replica_state import ReplicaState
from stepsail.standins.raft_cluster import SYNC_DURATION, RaftCluster, SimulatedDisk

# Numbers of the actions in `RandomFaultRun._step`. With slow disks, only proposals, crashes, restarts and
# repairs of the network are chosen; an action that is listed twice is twice as likely.
ALL_ACTIONS = range(12)
ACTIONS_WITH_SLOW_DISKS = (0, 1, 2, 4, 4, 5, 5, 6, 8)


class RandomFaultRun:
    """Runs a cluster with random faults and proposals, then lets it recover and checks its logs.

    `cluster.violations` lists the guarantees that were broken.
    """

    def __init__(self, seed: int, size: int, slow_disks: bool) -> None:
        self.random = Random(f"{seed} history")
        self.cluster = RaftCluster(size, seed)
        self.slow_disks = slow_disks
        self.proposals = 0

    def run(self, steps: int) -> RaftCluster:
        self.cluster.run(4.0)
        if self.slow_disks:
            self.cluster.sync_duration = 0.5
        for _ in range(steps):
            self._step()
            self.cluster.run(self.random.choice([0.01, 0.1, 0.3, 0.7, 2.0]))
        self._recover()
        return self.cluster

    def _step(self) -> None:
        random, cluster = self.random, self.cluster
        action = random.choice(ACTIONS_WITH_SLOW_DISKS) if self.slow_disks else random.choice(ALL_ACTIONS)
        number = random.randrange(len(cluster.voters))
        replica = cluster.voters[number].replica
        if action < 4:
            self.proposals += 1
            cluster.propose(number, b"change %d" % self.proposals)
        elif action == 4 and replica:
            cluster.crash(number)
        elif action in (5, 6) and not replica:
            cluster.start(number)
        elif action == 7:
            self._cut_random_links()
        elif action == 8:
            cluster.cut_links, cluster.loss, cluster.max_extra_delay = set(), 0.0, 0.0
        elif action == 9:
            cluster.loss, cluster.duplication = 0.3, 0.3
            cluster.max_extra_delay = random.choice([0.0, 0.4, 2.0])
        elif action == 10:
            cluster.sync_duration = random.choice([0.0005, 0.05, 0.5])
        elif action == 11 and replica and self._all_joined():
            cluster.crash(number)
            # The protocol tolerates the loss of storage by one voter at a time only.
            cluster.lose_storage(number)
            cluster.start(number)

    def _cut_random_links(self) -> None:
        numbers = self.cluster.voter_numbers
        self.cluster.cut_links = {
            (a, b) for a in numbers for b in numbers if a != b and self.random.random() < 0.4
        }

    def _all_joined(self) -> bool:
        replicas = [voter.replica for voter in self.cluster.voters.values()]
        return all(replica and replica.role is not Role.JOINING for replica in replicas)

    def _recover(self) -> None:
        cluster = self.cluster
        cluster.heal_network()
        cluster.sync_duration = SYNC_DURATION
        cluster.start_all()
        cluster.run(12.0)
        leader = cluster.leader()
        if leader is None or cluster.propose(leader, b"the last") is None:
            cluster.violations.append("no voter is the leader, although all links work")
            return
        cluster.run(3.0)
        logs = [voter.applied for voter in cluster.voters.values()]
        if any(log != logs[0] for log in logs) or b"the last" not in logs[0].values():
            cluster.violations.append("not all voters applied the same log in the end")
        if any(logs[0].get(index) != data for index, data in cluster.committed.items()):
            cluster.violations.append("a committed entry was lost")


def run_random_faults(seed: int, size: int = 3, steps: int = 60, slow_disks: bool = False) -> RaftCluster:
    return RandomFaultRun(seed, size, slow_disks).run(steps)


@pytest.mark.parametrize(("seed", "size"), [(1, 3), (2, 3), (3, 3), (4, 5), (5, 5)])
def test_committed_entries_survive_and_all_voters_apply_the_same_log(seed: int, size: int) -> None:
    cluster = run_random_faults(seed, size)
    assert cluster.violations == [] and len(cluster.committed) >= 5


def sync_without_writing(self: SimulatedDisk) -> int:
    """Reports all writes as synced and loses them in a crash."""
    return self.unsynced[-1].number if self.unsynced else 0


def take_unsynced_messages(self: Outbox) -> list[tuple[int, Message]]:
    """Sends votes and acknowledgements before they are synced."""
    messages, self.messages = self.messages, []
    return [(pending.to, pending.message) for pending in messages]


def let_any_identity_vote(self: ReplicaState, voter: int, identity: int) -> bool:
    """Lets a voter that lost its storage vote as before."""
    return True


def accept_any_log(self: Election, request: Message) -> bool:
    """Elects a leader that lacks committed entries."""
    return True


@pytest.mark.parametrize(
    ("target", "method", "replacement"),
    [
        (SimulatedDisk, "sync", sync_without_writing),
        (Outbox, "take_messages", take_unsynced_messages),
        (ReplicaState, "may_vote", let_any_identity_vote),
        (Election, "is_up_to_date", accept_any_log),
    ],
)
def test_fault_injection_finds_a_broken_replica(
    monkeypatch: pytest.MonkeyPatch, target: type, method: str, replacement: Any
) -> None:
    monkeypatch.setattr(target, method, replacement)
    assert any(
        run_random_faults(seed, slow_disks=method == "take_messages").violations for seed in range(1, 120)
    )


def test_minority_commits_nothing_and_majority_continues() -> None:
    cluster = RaftCluster(3, 1)
    cluster.run(4.0)
    old_leader = cluster.leader()
    assert old_leader is not None
    cluster.cut_links = {(a, b) for a in range(3) for b in range(3) if a != b and old_leader in (a, b)}
    assert cluster.propose(old_leader, b"never") is not None
    cluster.run(4.0)
    new_leader = cluster.leader()
    assert new_leader is not None and new_leader != old_leader
    assert cluster.propose(new_leader, b"this") is not None
    cluster.run(1.0)
    cluster.cut_links = set()
    cluster.run(4.0)
    assert (
        b"never" not in cluster.committed.values() and b"this" in cluster.voters[old_leader].applied.values()
    )


def test_leader_without_responses_steps_down() -> None:
    cluster = RaftCluster(3, 2)
    cluster.run(4.0)
    isolated = cluster.leader()
    assert isolated is not None
    cluster.cut_links = {(n, isolated) for n in range(3) if n != isolated}
    cluster.run(8.0)
    assert cluster.leader() not in (None, isolated)


def test_invalid_bytes_are_rejected() -> None:
    message = Message(1, MessageKind.JOIN_REQUEST, 1, 5, 0)
    other_version = Message(2, MessageKind.JOIN_REQUEST, 1, 5, 0)
    encoded = encode(message)
    assert decode(encoded) == message
    for data in (b"", b"\xc1", encoded[:-1], encoded + b"x", encode(other_version)):
        with pytest.raises(InvalidMessageError):
            decode(data)
