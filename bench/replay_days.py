"""Runs a short day with many seeds and replays all captures, also with mutated decision code.

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

# Mutants, each with one constant changed slightly: module of the package, original text, replacement.
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


def write_captured_day(day: Path, out: Path) -> Path:
    """Write a copy of the day whose site enables capture, and return its file."""
    day_text = (day / "day.conf").read_text()
    site_match = re.search(r"^site (\S+)", day_text, re.MULTILINE)
    assert site_match
    site_text = (day / site_match[1]).read_text() + "\ncapture kept\n"
    out.mkdir(parents=True, exist_ok=True)
    (out / "site.conf").write_text(site_text)
    (out / "day.conf").write_text(re.sub(r"^site \S+", "site site.conf", day_text, flags=re.MULTILINE))
    return out / "day.conf"


def run_day(day: Path, seed: int, out: Path) -> int:
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


def load_mutant(folder: Path, module: str, old: str, new: str) -> ModuleType:
    """Load a copy of the decisions package in which one text is replaced."""
    shutil.copytree(Path(decisions.__file__).parent, folder, ignore=shutil.ignore_patterns("__pycache__"))
    source = (folder / module).read_text()
    assert source.count(old) == 1, old
    (folder / module).write_text(source.replace(old, new))
    return load_build(folder)


def replay_all(folder: Path) -> dict[str, float]:
    """Replay all captures of one run and return its totals."""
    totals = dict.fromkeys(("runs", "entries", "differ", "seconds", "took", "taken", "bytes", "damaged"), 0.0)
    captures = read_runs(folder / "kept")
    runs, damaged = captures.runs, captures.damaged
    totals["damaged"] = len(damaged)
    for run in runs:
        totals["runs"] += 1
        for segments in run.contiguous_segments():
            start = time.process_time()
            replayed = replay_segments(segments, decisions)
            totals["took"] += time.process_time() - start
            totals["entries"] += replayed.entries
            totals["differ"] += replayed.differing
            totals["taken"] += replayed.event_counts.get("request_accepted", 0)
            totals["bytes"] += sum(len(s.data) for s in segments)
            totals["seconds"] += replayed.host.clock - next(entries_of(segments))[1].clock
    return totals


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--seeds", default=100)
@click.option("--at-once", default=6)
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option("--table", type=click.Path(path_type=Path))
def main(day: Path, seeds: int, at_once: int, out: Path, table: Path | None) -> None:
    captured_day = write_captured_day(day, out)
    with ThreadPoolExecutor(at_once) as pool:
        codes = list(pool.map(lambda seed: run_day(captured_day, seed, out), range(1, seeds + 1)))
    results = [replay_all(out / f"seed-{seed}") for seed in range(1, seeds + 1)]
    total = {key: sum(run[key] for run in results) for key in results[0]}
    rows = []
    segments = [
        capture_segments
        for seed in range(1, 1 + min(5, seeds))
        for run in read_runs(out / f"seed-{seed}" / "kept").runs
        for capture_segments in run.contiguous_segments()
    ]
    for number, (module, old, new) in enumerate(MUTANTS):
        mutant = load_mutant(out / f"mutant-{number}", module, old, new)
        first_differences = [
            replay_segments(capture_segments, mutant).first_difference for capture_segments in segments
        ]
        entry_numbers = sorted(difference.number for difference in first_differences if difference)
        rows.append(
            f"| `{old}` | `{new}` | {len(entry_numbers)} of {len(segments)} | "
            f"{entry_numbers[0] if entry_numbers else ''} |"
        )
    text = "\n".join(
        (
            f"{seeds} runs of `{day.name}` with {seeds} seeds, {at_once} at a time, on "
            f"{os.cpu_count()} cores, Python {platform.python_version()}; servers and clients are stand-ins "
            f"(simulated). Exit code 0 in {sum(code == 0 for code in codes)}.",
            "",
            f"{total['runs']:.0f} captures (instance processes, one of them killed in each run), "
            f"{total['entries']:.0f} entries, {total['taken']:.0f} requests: **{total['differ']:.0f} entries "
            f"differ**, {total['damaged']:.0f} files damaged.",
            "",
            f"{total['bytes'] / max(1, total['taken']):.0f} bytes per request on disk. Replay takes "
            f"{total['took'] / max(1, total['entries']) * 1e6:.0f} µs per entry, "
            f"{total['seconds'] / max(1e-9, total['took']):.0f} times real time for one instance at "
            f"{total['taken'] / max(1e-9, total['seconds']):.0f} requests per second; at 100 per second "
            f"that is {total['taken'] / max(1e-9, total['took']) / 100:.0f} times.",
            "",
            "Decision code with one constant changed, replayed on the captures of the first runs:",
            "",
            "| constant | changed to | detected on | first entry that differs |",
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
