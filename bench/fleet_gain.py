"""Measures how much the decisions gain from the membership view.

Simulates days on which a third of the fleet is missing, has joined or crashes. Each seed is run twice: with
the number of instances from the membership view, and with the number from the settings.

    python bench/fleet_gain.py days/fleet/third-*.conf --seeds 1..30 --at-once 8
"""

from __future__ import annotations

import json
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from stepsail.experiment.compare import difference
from stepsail.simulation.play import play
from stepsail.standins.day import read_day
from stepsail.verify import read_history, verify
from stepsail.verify.report import summary

FIGURES = ("service", "votes", "right", "released_after", "back_after", "cold", "breaches")


def measure(file: Path, seed: int, uses_view: bool) -> dict[str, float]:
    """Simulate a day once; a release that did not end as expected counts with the length of the day."""
    day = replace(read_day(file, seed), used_by_router=uses_view)
    with tempfile.TemporaryDirectory() as out:
        play(day, Path(out))
        history = read_history(Path(out) / "transcript.jsonl")
    breaches = verify(history)
    report = summary(history, breaches)

    def mean_end_time(bad: bool, end: str) -> float:
        times = [
            release.get("after", day.length) if release["end"] == end else day.length
            for release in report["releases"]
            if release["bad"] is bad
        ]
        return sum(times) / len(times)

    return {
        "service": report["service"],
        "votes": sum(report["votes"].values()),
        "right": sum(release["right"] for release in report["releases"]) / len(report["releases"]),
        "released_after": mean_end_time(False, "released"),
        "back_after": mean_end_time(True, "reverting"),
        "cold": max(report["cold"].values(), default=0.0),
        "breaches": len(breaches),
    }


def measure_pair(job: tuple[Path, int]) -> tuple[str, int, dict[str, float], dict[str, float]]:
    file, seed = job
    return file.stem, seed, measure(file, seed, False), measure(file, seed, True)


@click.command()
@click.argument("days", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True)
@click.option("--seeds", default="1..30", help="First and last seed, as FIRST..LAST.")
@click.option("--at-once", default=8)
def main(days: tuple[Path, ...], seeds: str, at_once: int) -> None:
    first, _, last = seeds.partition("..")
    jobs = [(file, seed) for file in days for seed in range(int(first), int(last or first) + 1)]
    rows: dict[str, list[tuple[dict[str, float], dict[str, float]]]] = {}
    with ProcessPoolExecutor(at_once) as pool:
        for name, _, without_view, with_view in pool.map(measure_pair, jobs):
            rows.setdefault(name, []).append((without_view, with_view))
    for name, pairs in rows.items():
        for figure in FIGURES:
            estimate = difference(
                [with_view[figure] - without_view[figure] for without_view, with_view in pairs]
            )
            line: dict[str, Any] = {
                "day": name,
                "figure": figure,
                "pairs": len(pairs),
                "settings": round(sum(without_view[figure] for without_view, _ in pairs) / len(pairs), 4),
                "view": round(sum(with_view[figure] for _, with_view in pairs) / len(pairs), 4),
                "more": round(estimate.mean, 4),
                "from": round(estimate.low, 4),
                "to": round(estimate.high, 4),
            }
            click.echo(json.dumps(line))


if __name__ == "__main__":
    main()
