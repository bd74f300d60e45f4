"""Runs a day (a scenario) with many seeds, several at a time, and writes a table of the results by seed.

python bench/bad_days.py days/bad-day --seeds 20 --at-once 4 --out FOLDER --table docs/measurements/bad-day.md
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click


def run_day(day: Path, seed: int, out: Path) -> dict[str, Any]:
    """Run the day in a process of its own and return its report, or the error output if there is none."""
    folder = out / f"seed-{seed}"
    process = subprocess.run(
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
    )
    try:
        return {"exit": process.returncode, **json.loads(process.stdout)}
    except ValueError:
        return {"exit": process.returncode, "seed": seed, "failed": process.stderr[-400:]}


def table_row(report: dict[str, Any]) -> str:
    if "failed" in report:
        return f"| {report['seed']} | failed: exit code {report['exit']} | | | | | | |"
    good_release = next((release for release in report["releases"] if not release["bad"]), {})
    bad_release = next((release for release in report["releases"] if release["bad"]), {})
    closest_window = max((exposure["closest"] for exposure in report["exposure"].values()), default=0.0)
    slow_start_load = max(report["cold"].values(), default=0.0)
    worst_class = min(request_class["service"] for request_class in report["products"].values())
    return (
        f"| {report['seed']} | {report['service']:.3f} | {worst_class:.3f} | {good_release.get('end')} "
        f"{good_release.get('after', '')} | {bad_release.get('end')} {bad_release.get('after', '')} | "
        f"{closest_window:.2f} | {slow_start_load:.2f} | "
        f"{len(report['breaches'])} |"
    )


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--seeds", default=20)
@click.option("--at-once", default=4)
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option("--table", type=click.Path(path_type=Path))
def main(day: Path, seeds: int, at_once: int, out: Path, table: Path | None) -> None:
    with ThreadPoolExecutor(at_once) as pool:
        reports = list(pool.map(lambda seed: run_day(day, seed, out), range(1, seeds + 1)))
    completed = [report for report in reports if "failed" not in report]
    all_correct = [all(release["right"] for release in report["releases"]) for report in completed]
    good_released = sum(
        any(not release["bad"] and release["right"] for release in report["releases"]) for report in completed
    )
    bad_rolled_back = sum(
        any(release["bad"] and release["right"] for release in report["releases"]) for report in completed
    )
    text = "\n".join(
        (
            f"{len(completed)} of {seeds} seeds completed, {at_once} at a time, on {os.cpu_count()} cores, "
            f"Python {platform.python_version()}; servers, release control and clients are "
            "stand-ins (simulated).",
            "",
            f"Rules violated in {sum(bool(report['breaches']) for report in completed)} runs; "
            f"good build released in {good_released}, "
            f"bad build rolled back in {bad_rolled_back}, both in {sum(all_correct)}; service from "
            f"{min(report['service'] for report in completed):.3f} to "
            f"{max(report['service'] for report in completed):.3f}.",
            "",
            "| seed | service | worst request class | good build, s | bad build, s | "
            "window closest to its exposure limit | highest load in slow start | violations |",
            "| --- | --- | --- | --- | --- | --- | --- | --- |",
            *map(table_row, reports),
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text(f"# {day.name} with {seeds} seeds\n\n{text}")


if __name__ == "__main__":
    main()
