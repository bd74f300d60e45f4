"""Plays a short day with the whole program: a correct instance passes, and a broken one fails."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent.parent
DAY = """
site {site}
length 6s
umpires 2
boxes {{
    count 6
    boot 300ms
    drain-for 500ms
}}
demand lookup share 60% work 40ms
demand record share 25% work 60ms
demand refund share 15% work 60ms
traffic 40
offer at 1s good speed 1
trouble stall-box at 2s for 1500ms of 2
trouble stall-box at 2500ms for 1500ms of 4
trouble kill-box at 3500ms for 1s of 3
"""


BROKEN_INSTANCE_COMMAND = [sys.executable, str(ROOT / "tests/broken_umpire.py")]


def play(folder: Path, program: list[str], *options: str) -> tuple[int, dict[str, Any]]:
    day = folder / "day.conf"
    day.write_text(DAY.format(site=ROOT / "days/bad-day/site.conf"))
    command = [*program, "rehearse", str(day), "--json", "--out", str(folder / "out"), *options]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=90, env=os.environ | {"PYTHONPATH": str(ROOT)}
    )
    assert completed.returncode in (0, 1), completed.stderr
    return completed.returncode, json.loads(completed.stdout)


def test_run_of_a_correct_instance_passes(tmp_path: Path) -> None:
    code, report = play(tmp_path, [sys.executable, "-m", "stepsail"])
    assert (code, report["breaches"], report["umpires_that_left_badly"]) == (0, [], 0)
    assert report["answers"]["handled"] > 150 and report["relays"] >= report["answers"]["handled"]


def test_run_of_a_broken_instance_fails(tmp_path: Path) -> None:
    options = [
        option
        for argument in [*BROKEN_INSTANCE_COMMAND, "answers", "umpire"]
        for option in ("--umpire-command", argument)
    ]
    code, report = play(tmp_path, [sys.executable, "-m", "stepsail"], *options)
    assert code == 1 and any(breach.startswith("rule 1") for breach in report["breaches"])


# In virtual time: with processes on sockets it depends on chance whether a server is killed while it runs one of
# the few non-idempotent requests, and on a busy machine this may never happen.
@pytest.mark.parametrize(
    ("fault", "rule"), [("exposure", "rule 5"), ("answers", "rule 1"), ("repeats", "rule 2")]
)
def test_each_broken_rule_is_reported(tmp_path: Path, fault: str, rule: str) -> None:
    code, report = play(tmp_path, [*BROKEN_INSTANCE_COMMAND, fault], "--emulated", "--seed", "2")
    assert code == 1 and any(breach.startswith(rule) for breach in report["breaches"])
