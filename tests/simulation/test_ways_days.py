"""Tests of one-way cuts between instances and servers, and of files that are lost, torn or not writable."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from stepsail.decisions.request import Request
from stepsail.simulation.play import play
from stepsail.standins.day import read_day
from stepsail.verify import read_history, verify
from stepsail.verify.membership import read_membership_checker

DAYS = Path(__file__).parents[2] / "days"
DAY_TEMPLATE = """
site {site}
length 16s
umpires 3
view yes
boxes {{
    count 6
    boot 300ms
    drain-for 500ms
}}
demand lookup share 40% work 40ms
demand refund share 60% work 60ms
traffic 30
"""


def play_and_find_broken_rules(tmp_path: Path, *troubles: str) -> list[int]:
    """Play a day with these faults and return the numbers of the rules that were broken."""
    file = tmp_path / "day.conf"
    file.write_text(DAY_TEMPLATE.format(site=DAYS / "bad-day/site.conf") + "\n".join(troubles) + "\n")
    play(read_day(file), tmp_path / "out")
    return [b.rule for b in verify(read_history(tmp_path / "out/transcript.jsonl"))]


def logged_events(tmp_path: Path, instance: int) -> list[str]:
    return [
        json.loads(line)["event"]
        for line in (tmp_path / f"out/umpire-{instance}.log").read_text().splitlines()
    ]


def test_lost_answers_cause_no_second_attempt_of_non_idempotent_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The fault is long and wide enough that with any seed the answer to a request that ran is lost.
    answers_lost = "trouble deafen-ways at 2s for 12s of 1 part 80%"
    assert play_and_find_broken_rules(tmp_path, answers_lost) == []
    monkeypatch.setattr(Request, "may_be_sent_to", lambda self, server: True)
    # Without this guard, a request whose answer was lost runs a second time, which breaks rule 2.
    assert 2 in play_and_find_broken_rules(tmp_path, answers_lost)


def test_instance_serves_with_a_full_disk_and_starts_without_its_kept_files(tmp_path: Path) -> None:
    assert (
        play_and_find_broken_rules(
            tmp_path,
            "trouble fill-kept at 10ms for 5s of 0",
            "trouble drain-box at 1s for 2s of 3",
            "trouble lose-kept at 7s for 500ms of 1",
            "trouble tear-kept at 8s for 500ms of 2",
        )
        == []
    )
    assert "endpoint_cache_not_written" in logged_events(
        tmp_path, 0
    ) and "endpoint_cache_not_written" not in logged_events(tmp_path, 1)
    for instance in (1, 2):
        assert logged_events(tmp_path, instance).count("ready") == 2
    # The file is written at shutdown, when the disk has space again.
    assert (tmp_path / "out/umpire-0-roster.json").exists()


@pytest.mark.parametrize("seed", [1, 2])
def test_no_violations_with_cut_paths_and_lost_files(tmp_path: Path, seed: int) -> None:
    play(read_day(DAYS / "fleet/ways.conf", seed), tmp_path)
    assert verify(read_history(tmp_path / "transcript.jsonl")) == []
    assert read_membership_checker(tmp_path).violations() == []
