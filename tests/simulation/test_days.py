"""Tests of whole days in virtual time: rules are kept, and equal seeds give byte-identical transcripts."""

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


def test_short_day_breaks_no_rule_and_all_instances_exit_with_0(tmp_path: Path) -> None:
    day = read_day(DAYS / "short/day.conf")
    result = play(day, tmp_path)
    assert result.codes == [0] * day.instance_count and result.emulated > day.length
    history = read_history(tmp_path / "transcript.jsonl")
    assert verify(history) == []


def test_transcript_does_not_depend_on_the_process_or_its_hash_seed(tmp_path: Path) -> None:
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


def test_different_seeds_give_different_transcripts(tmp_path: Path) -> None:
    day = read_day(DAYS / "short/day.conf")
    day.length = 5.0
    transcripts = []
    for seed in (1, 2):
        day.seed = seed
        play(day, tmp_path / str(seed))
        transcripts.append((tmp_path / str(seed) / "transcript.jsonl").read_bytes())
    assert transcripts[0] != transcripts[1]


def test_trail_is_refused_because_its_thread_runs_in_real_time(tmp_path: Path) -> None:
    site = (DAYS / "bad-day/site.conf").read_text() + "trail kept\n"
    (tmp_path / "site.conf").write_text(site)
    text = (DAYS / "short/day.conf").read_text()
    (tmp_path / "day.conf").write_text(
        "\n".join("site site.conf" if line.startswith("site ") else line for line in text.splitlines()) + "\n"
    )
    with pytest.raises(RuntimeError, match="not ready"):
        play(read_day(tmp_path / "day.conf"), tmp_path / "out")
    # The error message refers to this log.
    assert "keeps no trail" in (tmp_path / "out/umpire-0.log").read_text()


def test_day_with_540_instances_fits_into_600_mib(tmp_path: Path) -> None:
    """Run in a process of its own; the program itself takes about 90 of the 600 MiB. No rule is broken."""
    code = (
        "import resource; from pathlib import Path; from stepsail.simulation.play import play; "
        "from stepsail.standins.day import read_day; from stepsail.verify import read_history, verify; "
        f"day = read_day(Path({str(DAYS / 'grown/quiet.conf')!r})); day.instance_count = 540; day.place_count = 12; "
        f"day.request_rate, day.length, out = 60.0, 1.0, Path({str(tmp_path)!r}); result = play(day, out); "
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024, len(result.codes), "
        "sum(map(bool, result.codes)), "
        "len(verify(read_history(out / 'transcript.jsonl'))))"
    )
    completed = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    mib, instances, failed_exits, breaches = map(int, completed.stdout.split())
    assert (instances, failed_exits, breaches) == (540, 0, 0) and mib < 600
