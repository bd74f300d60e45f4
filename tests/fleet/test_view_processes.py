"""Tests membership and policy changes with real processes and network faults between them."""

from __future__ import annotations

from pathlib import Path

from stepsail.loop import Loop, PollDriver
from stepsail.standins.day import read_day
from stepsail.standins.rehearsal import Rehearsal
from stepsail.verify import read_history, verify
from stepsail.verify.membership import read_membership_checker
from stepsail.verify.policies import PolicyChecker

DAY = Path(__file__).parents[2] / "days" / "fleet" / "processes.conf"


def test_short_day_on_processes_violates_no_promise(tmp_path: Path) -> None:
    """A day is a scripted run: faults, requests and policy changes at given times."""
    driver = PollDriver()
    loop = Loop(driver, lambda event, **fields: None)
    rehearsal = Rehearsal(loop, read_day(DAY), tmp_path)
    try:
        loop.run(rehearsal.run)
    finally:
        driver.shutdown()
    membership = read_membership_checker(tmp_path)
    assert membership.violations() == [] and rehearsal.codes == [0] * 5
    assert membership.check_counts["completeness"] >= 3 and membership.check_counts["settling"] >= 5
    history = read_history(tmp_path / "transcript.jsonl")
    policies = PolicyChecker(history)
    assert policies.violations() == [] and verify(history) == []
    (finished,) = (line for line in history.lines if line["at"] == "policy" and line["what"] == "past")
    assert (finished["held"], finished["given_up"]) == ([2], [1]) and sorted(
        policies.requests_per_policy
    ) == [0, 2]
