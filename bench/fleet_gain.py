"""What the view gains in decisions: days on which a third of the fleet is gone, has joined or dies, with the view
heeded against the settings' number, in pairs of one seed, in virtual time.

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


def measure(file: Path, seed: int, heeded: bool) -> dict[str, float]:
    """One play; times of releases count as the day's length where they did not come."""
    day = replace(read_day(file, seed), used_by_router=heeded)
    with tempfile.TemporaryDirectory() as out:
        play(day, Path(out))
        history = read_history(Path(out) / "transcript.jsonl")
    breaches = verify(history)
    found = summary(history, breaches)

    def after(bad: bool, end: str) -> float:
        times = [
            r.get("after", day.length) if r["end"] == end else day.length
            for r in found["releases"]
            if r["bad"] is bad
        ]
        return sum(times) / len(times)

    return {
        "service": found["service"],
        "votes": sum(found["votes"].values()),
        "right": sum(r["right"] for r in found["releases"]) / len(found["releases"]),
        "released_after": after(False, "released"),
        "back_after": after(True, "reverting"),
        "cold": max(found["cold"].values(), default=0.0),
        "breaches": len(breaches),
    }


def paired(job: tuple[Path, int]) -> tuple[str, int, dict[str, float], dict[str, float]]:
    file, seed = job
    return file.stem, seed, measure(file, seed, False), measure(file, seed, True)


@click.command()
@click.argument("days", type=click.Path(exists=True, path_type=Path), nargs=-1, required=True)
@click.option("--seeds", default="1..30", help="From..to.")
@click.option("--at-once", default=8)
def main(days: tuple[Path, ...], seeds: str, at_once: int) -> None:
    first, _, last = seeds.partition("..")
    jobs = [(file, seed) for file in days for seed in range(int(first), int(last or first) + 1)]
    rows: dict[str, list[tuple[dict[str, float], dict[str, float]]]] = {}
    with ProcessPoolExecutor(at_once) as pool:
        for name, _, without, heeded in pool.map(paired, jobs):
            rows.setdefault(name, []).append((without, heeded))
    for name, pairs in rows.items():
        for figure in FIGURES:
            apart = difference([b[figure] - a[figure] for a, b in pairs])
            told: dict[str, Any] = {
                "day": name,
                "figure": figure,
                "pairs": len(pairs),
                "settings": round(sum(a[figure] for a, _ in pairs) / len(pairs), 4),
                "view": round(sum(b[figure] for _, b in pairs) / len(pairs), 4),
                "more": round(apart.mean, 4),
                "from": round(apart.low, 4),
                "to": round(apart.high, 4),
            }
            click.echo(json.dumps(told))


if __name__ == "__main__":
    main()
