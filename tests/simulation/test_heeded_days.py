"""Tests of decisions that use the membership view, on days in virtual time: dead instances are no judges."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from stepsail.simulation.play import play
from stepsail.standins.day import read_day
from stepsail.verify import read_history, verify
from stepsail.verify.report import summary

SITE = Path(__file__).parents[2] / "days" / "bad-day" / "site.conf"
DAY = """
site {site}
view yes
speak yes
length 36s
umpires 7
boxes {{
    count 6
    boot 300ms
    drain-for 500ms
}}
demand lookup share 100% work 40ms
traffic 40
offer at 8s good speed 1
{judges}
"""
JUDGES = (2, 6, 3)  # the judges among the seven instances, by the instance number in the settings


@pytest.mark.parametrize(("heeded", "end"), [(True, "released"), (False, "on trial")])
def test_build_is_released_only_with_the_view_if_all_three_judges_were_killed(
    tmp_path: Path, heeded: bool, end: str
) -> None:
    file = tmp_path / "day.conf"
    kills = "\n".join(f"trouble kill-umpire at 1s for 90s of {n}" for n in JUDGES)
    file.write_text(DAY.format(site=SITE, judges=kills))
    play(replace(read_day(file), used_by_router=heeded), tmp_path / "out")
    history = read_history(tmp_path / "out/transcript.jsonl")
    breaches = verify(history)
    assert breaches == [] and [r["end"] for r in summary(history, breaches)["releases"]] == [end]
