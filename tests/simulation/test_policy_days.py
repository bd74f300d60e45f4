"""Tests of policy changes on the real daemon in virtual time, with faults on the paths between instances.

The checks use the records of clients, servers and stand-ins.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from stepsail.policy import PolicyCoordinator, PolicyParticipant
from stepsail.proxy.policy_service import PolicyService
from stepsail.simulation.play import play
from stepsail.standins.day import read_day
from stepsail.verify import read_history, verify
from stepsail.verify.policies import PolicyChecker

DAYS = Path(__file__).parents[2] / "days" / "fleet"


def play_and_check(tmp_path: Path, seed: int, file: str = "policy.conf") -> PolicyChecker:
    play(read_day(DAYS / file, seed), tmp_path / str(seed))
    return PolicyChecker(read_history(tmp_path / str(seed) / "transcript.jsonl"))


@pytest.mark.parametrize(
    ("file", "seed"), [("policy.conf", 1), ("policy.conf", 2), ("policy-cut.conf", 1), ("policy-cut.conf", 2)]
)
def test_policy_changes_apply_on_all_instances_or_on_none(tmp_path: Path, file: str, seed: int) -> None:
    policies = play_and_check(tmp_path, seed, file)
    assert (
        policies.violations() == []
        and verify(policies.history) == []
        and len(policies.requests_per_policy) > 1
    )


def never_expire(self: PolicyParticipant, now: float) -> int | None:
    """Use the old policy without a time limit, until the participant learns of another one."""
    return self.version if self.admitted and not self.left else None


def all_unprepared_but_one(self: PolicyCoordinator) -> list[int]:
    """Report all unprepared members but the last, so that a commit does not wait for that one."""
    members = sorted(self.state_machine.members.items())
    return [n for n, member in members if (n, member.incarnation) not in self.prepared][:-1]


def use_prepared_policy(self: PolicyService) -> int | None:
    """Accept requests under a prepared proposal, which may still be aborted."""
    assert self.participant
    prepared = self.participant.prepared
    return prepared.version if prepared else self.participant.version_at(self.loop.now())


@pytest.mark.parametrize(
    ("patched_class", "name", "faulty"),
    [
        (PolicyParticipant, "version_at", never_expire),
        (PolicyCoordinator, "unprepared_members", all_unprepared_but_one),
        (PolicyService, "current_version", use_prepared_policy),
    ],
)
def test_faulty_policy_protocol_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, patched_class: type, name: str, faulty: Any
) -> None:
    monkeypatch.setattr(patched_class, name, faulty)
    assert any(play_and_check(tmp_path, seed, "policy-cut.conf").violations() for seed in range(1, 25))
