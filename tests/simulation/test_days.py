"""Whole days in virtual time: the rules hold, the same seed is the same day, byte for byte."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from stepsail.simulation.play import play
from stepsail.standins.day import read_day
from stepsail.verify import read_history, verify

DAYS = Path(__file__).parent.parent.parent / "days"


def test_the_short_day_breaks_no_rule_and_ends_well(tmp_path: Path) -> None:
    day = read_day(DAYS / "short/day.conf")
    came = play(day, tmp_path)
    assert came.codes == [0] * day.instance_count and came.emulated > day.length
    history = read_history(tmp_path / "transcript.jsonl")
    assert verify(history) == []


def test_the_same_seed_is_the_same_day_under_another_hash_seed_in_another_process(tmp_path: Path) -> None:
    """Also with a capture, whose entries are all that the module was told and asked for."""
    transcripts = []
    for hash_seed in ("1", "77"):
        out = tmp_path / hash_seed
        code = (
            "import sys; from pathlib import Path; from stepsail.simulation.play import play; "
            "from stepsail.standins.day import read_day; "
            f"day = read_day(Path({str(DAYS / 'short/day.conf')!r})); day.seed = 9; day.length = 6.0; "
            f"play(day, Path({str(out)!r}))"
        )
        subprocess.run(
            [sys.executable, "-c", code], check=True, env=os.environ | {"PYTHONHASHSEED": hash_seed}
        )
        transcripts.append((out / "transcript.jsonl").read_bytes())
    assert transcripts[0] == transcripts[1] and len(transcripts[0]) > 50000


def test_another_seed_is_another_day(tmp_path: Path) -> None:
    day = read_day(DAYS / "short/day.conf")
    day.length = 5.0
    found = []
    for seed in (1, 2):
        day.seed = seed
        play(day, tmp_path / str(seed))
        found.append((tmp_path / str(seed) / "transcript.jsonl").read_bytes())
    assert found[0] != found[1]


def test_a_trail_is_refused_as_its_thread_keeps_real_time(tmp_path: Path) -> None:
    site = (DAYS / "bad-day/site.conf").read_text() + "trail kept\n"
    (tmp_path / "site.conf").write_text(site)
    text = (DAYS / "short/day.conf").read_text()
    (tmp_path / "day.conf").write_text(
        "\n".join("site site.conf" if line.startswith("site ") else line for line in text.splitlines()) + "\n"
    )
    with pytest.raises(RuntimeError, match="not ready"):
        play(read_day(tmp_path / "day.conf"), tmp_path / "out")
    assert (
        "keeps no trail" in (tmp_path / "out/umpire-0.log").read_text()
    )  # where the message sends its reader


def test_five_hundred_and_forty_umpires_fit_a_stated_memory(tmp_path: Path) -> None:
    """In a process of its own: 600 MiB, of which the program itself takes some 90; and no rule is broken."""
    code = (
        "import resource; from pathlib import Path; from stepsail.simulation.play import play; "
        "from stepsail.standins.day import read_day; from stepsail.verify import read_history, verify; "
        f"day = read_day(Path({str(DAYS / 'grown/quiet.conf')!r})); day.instance_count = 540; day.place_count = 12; "
        f"day.request_rate, day.length, out = 60.0, 1.0, Path({str(tmp_path)!r}); came = play(day, out); "
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024, len(came.codes), "
        "sum(map(bool, came.codes)), "
        "len(verify(read_history(out / 'transcript.jsonl'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    mib, umpires, badly, breaches = map(int, done.stdout.split())
    assert (umpires, badly, breaches) == (540, 0, 0) and mib < 600
