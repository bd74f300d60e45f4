"""How long each change of the fleet takes to be known to all, at several sizes, in virtual time or on processes.

python bench/fleet_times.py days/fleet/times.conf --sizes 10,50,170 --out FOLDER [--processes]
"""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from resource import RUSAGE_CHILDREN, RUSAGE_SELF, getrusage
from typing import Any

import click

from stepsail.loop import Loop, PollDriver
from stepsail.simulation.play import play
from stepsail.standins.day import Day, read_day
from stepsail.standins.rehearsal import Rehearsal
from stepsail.verify.membership import read_membership_checker
from stepsail.verify.membership_history import MembershipHistory


def known_after(history: MembershipHistory, event: float, until: float) -> float | None:
    """Seconds from an event until all that run hold the true view and keep it until the next event."""
    live = [
        x
        for x in history.processes
        if x.started_at <= event + 1e-9 and x.ended_at > event and x.shutdown_requested_at > event
    ]
    truth = {x.instance: x.start_time_at(until) for x in live}
    wrong_until = event
    for process in live:
        changes = sorted({event, *(change.at for change in process.changes if event < change.at < until)})
        last = max((at for at in changes if process.view_at(at + 1e-9) != truth), default=None)
        if last is not None:
            after = [at for at in changes if at > last]
            if not after:
                return None
            wrong_until = max(wrong_until, after[0])
    return wrong_until - event


def on_processes(day: Day, out: Path) -> tuple[int, float]:
    """Words that the switch carried, and seconds that the day took."""
    driver, began = PollDriver(), time.monotonic()
    loop = Loop(driver, lambda event, **fields: click.echo(f"{event} {fields}", err=True))
    rehearsal = Rehearsal(loop, day, out)
    try:
        loop.run(rehearsal.run)
    finally:
        driver.shutdown()
    assert rehearsal.switch
    return rehearsal.switch.delivered, time.monotonic() - began


def cpu() -> float:
    """Seconds of CPU of this process and of all umpires that have ended."""
    return sum(sum(getrusage(who)[:2]) for who in (RUSAGE_SELF, RUSAGE_CHILDREN))


def measure(file: Path, size: int, seed: int, out: Path, processes: bool) -> dict[str, Any]:
    day = replace(read_day(file, seed), instance_count=size)
    began = cpu()
    if processes:
        words, lasted = on_processes(day, out)
    else:
        came = play(day, out)
        words, lasted = came.messages, came.emulated
    membership = read_membership_checker(out)
    history = membership.history
    lines = [json.loads(line) for line in (out / "transcript.jsonl").read_text("utf-8").splitlines()]
    told = [
        (x["t"], x["what"])
        for x in lines
        if x["at"] in ("umpire", "words")
        and x["what"]
        in ("killed", "started", "told to leave", "ended", "cut", "healed", "stopped", "continued")
    ]
    first = max(t for t, what in told[:size])
    events = [(t, what) for t, what in told if t > first and t < history.ended_at - 1.0]
    times = {"join of all": known_after(history, first, events[0][0])}
    for at, (t, what) in enumerate(events):
        following = events[at + 1][0] if at + 1 < len(events) else history.ended_at
        if what not in ("cut", "stopped", "told to leave"):
            times.setdefault(what, known_after(history, t, following))
    false = sum(b.guarantee == "accuracy" for b in membership.violations())
    return {
        "umpires": size,
        "seed": seed,
        "known after": times,
        "promises broken": len(membership.violations()),
        "false": false,
        "cpu s": round(cpu() - began, 1),
        "s": round(lasted),
        "words a second, each": round(words / size / lasted, 1),
    }


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--sizes", default="10,50,170")
@click.option("--seed", default=1)
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--processes", is_flag=True, help="Real processes on loopback in place of the emulator.")
def main(day: Path, sizes: str, seed: int, out: Path | None, processes: bool) -> None:
    folder = out or Path(tempfile.mkdtemp())
    for size in map(int, sizes.split(",")):
        click.echo(json.dumps(measure(day, size, seed, folder / f"{size}-{seed}", processes)))


if __name__ == "__main__":
    main()
