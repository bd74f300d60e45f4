"""How long each change of the fleet takes to be known to all, at several sizes, in virtual time.

    python bench/fleet_times.py days/fleet/times.conf --sizes 10,50,170 --out FOLDER
"""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from stepsail.emulate.play import play
from stepsail.standins.day import read_day
from stepsail.verify.fleet import Fleet, read_fleet


def known_after(fleet: Fleet, event: float, until: float) -> float | None:
    """Seconds from an event until all that run hold the true view and keep it until the next event."""
    live = [x for x in fleet.lives if x.begins <= event + 1e-9 and x.ends > event and x.told_to_leave > event]
    truth = {x.umpire: x.start_at(until) for x in live}
    wrong_until = event
    for life in live:
        changes = sorted({event, *(h[0] for h in life.held if event < h[0] < until)})
        last = max((at for at in changes if life.view_at(at + 1e-9) != truth), default=None)
        if last is not None:
            after = [at for at in changes if at > last]
            if not after:
                return None
            wrong_until = max(wrong_until, after[0])
    return wrong_until - event


def measure(file: Path, size: int, seed: int, out: Path) -> dict[str, Any]:
    day = replace(read_day(file, seed), umpires=size)
    began = time.process_time()
    came = play(day, out)
    fleet = read_fleet(out)
    lines = [json.loads(line) for line in (out / "transcript.jsonl").read_text("utf-8").splitlines()]
    told = [(x["t"], x["what"]) for x in lines if x["at"] in ("umpire", "words") and x["what"] in (
        "killed", "started", "told to leave", "ended", "cut", "healed", "stopped", "continued")]
    first = max(t for t, what in told[:size])
    events = [(t, what) for t, what in told if t > first and t < fleet.ends_at - 1.0]
    times = {"join of all": known_after(fleet, first, events[0][0])}
    for at, (t, what) in enumerate(events):
        following = events[at + 1][0] if at + 1 < len(events) else fleet.ends_at
        if what not in ("cut", "stopped", "told to leave"):
            times.setdefault(what, known_after(fleet, t, following))
    false = sum(b.promise == "accuracy" for b in fleet.judge())
    return {"umpires": size, "seed": seed, "s": times, "promises broken": len(fleet.judge()), "false": false,
            "cpu s": round(time.process_time() - began, 1),
            "words a second, each": round(came.messages / size / came.emulated, 1)}


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--sizes", default="10,50,170")
@click.option("--seed", default=1)
@click.option("--out", type=click.Path(path_type=Path))
def main(day: Path, sizes: str, seed: int, out: Path | None) -> None:
    folder = out or Path(tempfile.mkdtemp())
    for size in map(int, sizes.split(",")):
        click.echo(json.dumps(measure(day, size, seed, folder / f"{size}-{seed}")))


if __name__ == "__main__":
    main()
