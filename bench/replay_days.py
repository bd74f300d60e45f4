"""Plays a short day with many seeds, every umpire captured, and replays all; then replays with mutated modules.

python bench/replay_days.py days/short --seeds 100 --at-once 6 --out FOLDER --table docs/measurements/replay.md
"""

from __future__ import annotations

import os
import platform
import re
import shutil
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import ModuleType

import click

from stepsail import decisions
from stepsail.capture.folder import entries_of, read_runs, replay_segments
from stepsail.capture.other_builds import load_build

# One constant each, changed by little: module of the package, text, text in its place.
MUTANTS = (
    ("timing.py", "TICK_INTERVAL_WHILE_WAITING = 0.05 ", "TICK_INTERVAL_WHILE_WAITING = 0.051 "),
    ("admission.py", "MIN_WINDOW_STEP = 0.5 ", "MIN_WINDOW_STEP = 0.6 "),
    ("canary.py", "REJECTED_GAP = 0.15 ", "REJECTED_GAP = 0.14 "),
    ("server.py", "BASE_EJECTION_TIME = 0.5 ", "BASE_EJECTION_TIME = 0.55 "),
    ("admission.py", "PRIOR_LATENCY_SHARE = 0.2 ", "PRIOR_LATENCY_SHARE = 0.21 "),
    ("canary.py", "MIN_OUTCOMES = 6 ", "MIN_OUTCOMES = 7 "),
    ("voting.py", "RENEWAL_SHARE = 0.7 ", "RENEWAL_SHARE = 0.8 "),
    ("request.py", "MIN_REMAINING_LATENCIES = 2.0 ", "MIN_REMAINING_LATENCIES = 2.5 "),
)


def site_with_capture(day: Path, out: Path) -> Path:
    """The day beside a copy of its site that captures."""
    text = (day / "day.conf").read_text()
    name = re.search(r"^site (\S+)", text, re.MULTILINE)
    assert name
    site = (day / name[1]).read_text() + "\ncapture kept\n"
    out.mkdir(parents=True, exist_ok=True)
    (out / "site.conf").write_text(site)
    (out / "day.conf").write_text(re.sub(r"^site \S+", "site site.conf", text, flags=re.MULTILINE))
    return out / "day.conf"


def play(day: Path, seed: int, out: Path) -> int:
    folder = out / f"seed-{seed}"
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "stepsail",
            "rehearse",
            str(day),
            "--seed",
            str(seed),
            "--out",
            str(folder),
            "--json",
        ],
        capture_output=True,
        text=True,
    ).returncode


def mutated(folder: Path, module: str, old: str, new: str) -> ModuleType:
    """The package with one text in place of another, from a copy in a folder."""
    shutil.copytree(Path(decisions.__file__).parent, folder, ignore=shutil.ignore_patterns("__pycache__"))
    source = (folder / module).read_text()
    assert source.count(old) == 1, old
    (folder / module).write_text(source.replace(old, new))
    return load_build(folder)


def replay_all(folder: Path) -> dict[str, float]:
    """All captures of one rehearsal."""
    found = dict.fromkeys(("runs", "entries", "differ", "seconds", "took", "taken", "bytes", "damaged"), 0.0)
    captures = read_runs(folder / "kept")
    runs, damaged = captures.runs, captures.damaged
    found["damaged"] = len(damaged)
    for run in runs:
        found["runs"] += 1
        for segments in run.contiguous_segments():
            start = time.process_time()
            replayed = replay_segments(segments, decisions)
            found["took"] += time.process_time() - start
            found["entries"] += replayed.entries
            found["differ"] += replayed.differing
            found["taken"] += replayed.event_counts.get("request_accepted", 0)
            found["bytes"] += sum(len(s.data) for s in segments)
            found["seconds"] += replayed.host.clock - next(entries_of(segments))[1].clock
    return found


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--seeds", default=100)
@click.option("--at-once", default=6)
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option("--table", type=click.Path(path_type=Path))
def main(day: Path, seeds: int, at_once: int, out: Path, table: Path | None) -> None:
    captured = site_with_capture(day, out)
    with ThreadPoolExecutor(at_once) as pool:
        codes = list(pool.map(lambda seed: play(captured, seed, out), range(1, seeds + 1)))
    results = [replay_all(out / f"seed-{seed}") for seed in range(1, seeds + 1)]
    total = {key: sum(r[key] for r in results) for key in results[0]}
    rows = []
    some = [
        s
        for seed in range(1, 1 + min(5, seeds))
        for r in read_runs(out / f"seed-{seed}" / "kept").runs
        for s in r.contiguous_segments()
    ]
    for number, (module, old, new) in enumerate(MUTANTS):
        other = mutated(out / f"mutant-{number}", module, old, new)
        parted = [replay_segments(s, other).first_difference for s in some]
        firsts = sorted(d.number for d in parted if d)
        rows.append(f"| `{old}` | `{new}` | {len(firsts)} of {len(some)} | {firsts[0] if firsts else ''} |")
    text = "\n".join(
        (
            f"{seeds} rehearsals of `{day.name}` with {seeds} seeds, {at_once} at once, on {os.cpu_count()} cores, "
            f"Python {platform.python_version()}; boxes and clients are stand-ins (simulated). Exit 0 in "
            f"{sum(c == 0 for c in codes)}.",
            "",
            f"{total['runs']:.0f} captures (lives of umpires, one of them killed in each rehearsal), "
            f"{total['entries']:.0f} entries, {total['taken']:.0f} transactions: **{total['differ']:.0f} entries "
            f"differ**, {total['damaged']:.0f} files damaged.",
            "",
            f"{total['bytes'] / max(1, total['taken']):.0f} bytes a transaction on disk. Replay takes "
            f"{total['took'] / max(1, total['entries']) * 1e6:.0f} µs an entry, "
            f"{total['seconds'] / max(1e-9, total['took']):.0f} times real time for one umpire at "
            f"{total['taken'] / max(1e-9, total['seconds']):.0f} transactions a second; at 100 a second that is "
            f"{total['taken'] / max(1e-9, total['took']) / 100:.0f} times.",
            "",
            "A module with one constant changed, replayed on the captures of the first rehearsals:",
            "",
            "| constant | changed to | told apart on | first entry that differs |",
            "| --- | --- | --- | --- |",
            *rows,
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Replaying captures\n\n" + text)


if __name__ == "__main__":
    main()
