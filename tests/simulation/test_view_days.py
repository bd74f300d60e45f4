"""Tests of the membership view on the real daemon, on days in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from stepsail.membership import MemberRecord
from stepsail.membership.failure_detector import FailureDetector
from stepsail.membership.local_member import LocalMember
from stepsail.simulation.play import play
from stepsail.standins.day import Day, read_day
from stepsail.verify import read_history, verify
from stepsail.verify.membership import MembershipViolation, read_membership_checker

DAYS = Path(__file__).parents[2] / "days" / "fleet"


def load_day(file: str, seed: int) -> Day:
    return read_day(DAYS / file, seed)


def find_violations(tmp_path: Path, seed: int, file: str = "anything.conf") -> list[MembershipViolation]:
    play(load_day(file, seed), tmp_path / str(seed))
    return read_membership_checker(tmp_path / str(seed)).violations()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_violations_on_days_with_random_faults(tmp_path: Path, seed: int) -> None:
    assert find_violations(tmp_path, seed) == []
    assert verify(read_history(tmp_path / str(seed) / "transcript.jsonl")) == []


def refute_nothing(self: LocalMember, claim: MemberRecord) -> None:
    """Refute no suspicion of this instance."""


def ignore_start_time(self: MemberRecord) -> tuple[int, int, int]:
    """Compare records without the start time, so that those of an earlier process may override later ones."""
    return 0, self.incarnation, self.state


def probe_no_dead_members(self: FailureDetector) -> None:
    """Never probe dead members again."""


@pytest.mark.parametrize(
    ("patched_class", "name", "faulty"),
    [
        (LocalMember, "handle_claim", refute_nothing),
        (MemberRecord, "precedence", property(ignore_start_time)),
        (FailureDetector, "probe_dead", probe_no_dead_members),
    ],
)
def test_faulty_membership_protocol_is_detected_within_a_few_days(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, patched_class: type, name: str, faulty: Any
) -> None:
    monkeypatch.setattr(patched_class, name, faulty)
    assert any(find_violations(tmp_path, seed) for seed in range(1, 13))
