"""Executes one run of a grid: simulates a day with a seed and a router, and returns the results as a row."""

from __future__ import annotations

import contextlib
import hashlib
import shutil
import subprocess
import tempfile
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from stepsail.experiment.baselines import MODULES
from stepsail.experiment.ideal import service_bound
from stepsail.experiment.table import Row
from stepsail.simulation.play import PlayResult, play
from stepsail.standins.day import Day, read_day
from stepsail.verify import read_history, verify
from stepsail.verify.report import summary

MAX_DESCRIBED_VIOLATIONS = 5  # per row
MAX_VIOLATION_LENGTH = 200  # characters
MAX_ERROR_LENGTH = 500  # characters
HASH_LENGTH = 12  # hexadecimal digits
GIT_TIMEOUT = 10  # s
KIB_PER_MIB = 1024
INCLUDE = "include "
ANSWER_KINDS = ("handled", "denied", "errored", "lost", "refused", "gave up")


@dataclass(frozen=True)
class Run:
    """One simulation: a day with a seed and a router.

    Attributes:
        day: path of the day file, which describes the scenario.
        seed: seed of all random values of the day.
        module: name of the router, a key of MODULES.
        instance_count: number of instances; 0 for the number in the day file.
    """

    day: str
    seed: int
    module: str = "stepsail"
    instance_count: int = 0

    @property
    def key(self) -> str:
        """Identifies the run in tables."""
        return f"{self.day} {self.seed} {self.module} {self.instance_count}"


@cache
def current_commit() -> str:
    """Return the current commit, marked if files have changed since; empty outside a repository."""
    try:
        process = subprocess.run(
            ["git", "describe", "--always", "--dirty", f"--abbrev={HASH_LENGTH}"],
            capture_output=True,
            text=True,
            cwd=Path(__file__).parent,
            timeout=GIT_TIMEOUT,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return process.stdout.strip()


def settings_hash(day: Day, file: Path) -> str:
    """Return a hash over the texts of a day file, the files that it includes, and its site file."""
    texts: list[str] = []
    pending = [file, day.common_settings]
    while pending:
        path = pending.pop()
        text = path.read_text("utf-8")
        texts.append(text)
        pending += [
            path.parent / line.split(None, 1)[1].strip('"')
            for line in text.splitlines()
            if line.startswith(INCLUDE)
        ]
    return hashlib.sha256("\0".join(texts).encode()).hexdigest()[:HASH_LENGTH]


def execute(run: Run) -> Row:
    """Simulate a run and check its transcript; if that fails, the row contains the error."""
    out = Path(tempfile.mkdtemp(prefix="stepsail-run-"))
    row: Row = {
        "key": run.key,
        "day": Path(run.day).stem,
        "file": run.day,
        "seed": run.seed,
        "module": run.module,
        "commit": current_commit(),
        "failed": "",
    }
    try:
        day = read_day(Path(run.day), run.seed)
        if run.instance_count:
            day.instance_count = run.instance_count
        row |= _day_columns(day, Path(run.day))
        _reset_peak_memory()
        played = play(day, out, MODULES[run.module])
        row |= _result_columns(out) | _cost_columns(played)
    except Exception as error:  # of any kind: the row records the error and the grid continues
        row["failed"] = f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]
    finally:
        shutil.rmtree(out, ignore_errors=True)
    return row


def _day_columns(day: Day, file: Path) -> Row:
    return {
        "settings": settings_hash(day, file),
        "umpires": day.instance_count,
        "boxes": day.place_count,
        "traffic": day.request_rate,
        "length": day.length,
        "troubles": " ".join(sorted({trouble.kind for trouble in day.faults})),
        "offers": " ".join(build.kind for _, build in day.releases),
    }


def _cost_columns(played: PlayResult) -> Row:
    return {
        "emulated": played.emulated,
        "wall": played.wall,
        "cpu": played.cpu,
        "turns": played.turns,
        "messages": played.messages,
        "left_badly": sum(code != 0 for code in played.codes),
        "mib": _peak_memory(),
    }


def _reset_peak_memory() -> None:
    """Reset the peak memory of this process, which executes many runs (proc(5), clear_refs)."""
    with contextlib.suppress(OSError):
        Path("/proc/self/clear_refs").write_text("5")


def _peak_memory() -> float:
    """Return the peak resident memory since the last reset, in MiB."""
    status = Path("/proc/self/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / KIB_PER_MIB


def _result_columns(out: Path) -> Row:
    """Return the columns that come from checking a transcript, and its upper bound on service."""
    history = read_history(out / "transcript.jsonl")
    violations = verify(history)
    report = summary(history, violations)
    answers = report["answers"]
    releases = report["releases"]
    classes = report["products"].values()
    descriptions = [
        str(violation).splitlines()[0][:MAX_VIOLATION_LENGTH]
        for violation in violations[:MAX_DESCRIBED_VIOLATIONS]
    ]
    return {
        "service": float(report["service"]),
        "ideal": service_bound(history),
        "breaches": len(violations),
        "breach": "; ".join(descriptions),
        "asked": sum(figures["asked"] for figures in classes),
        "median": max(figures["median"] for figures in classes),
        "p99": max(figures["p99"] for figures in classes),
        **{kind.replace(" ", "_"): int(answers.get(kind, 0)) for kind in ANSWER_KINDS},
        "votes": sum(report["votes"].values()),
        "right": sum(bool(release["right"]) for release in releases),
        "releases": len(releases),
        "cold_peak": max((float(load) for load in report["cold"].values()), default=0.0),
    }
