"""Measures how long each change of the fleet takes to reach all instances, for several fleet sizes.

The day is simulated in virtual time, or run on processes with `--processes`.

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


def time_until_known(history: MembershipHistory, event: float, next_event: float) -> float | None:
    """Return the seconds from an event until all running instances have and keep the true view."""
    running = [
        process
        for process in history.processes
        if process.started_at <= event + 1e-9
        and process.ended_at > event
        and process.shutdown_requested_at > event
    ]
    true_view = {process.instance: process.start_time_at(next_event) for process in running}
    settled_at = event
    for process in running:
        changes = sorted(
            {event, *(change.at for change in process.changes if event < change.at < next_event)}
        )
        last_wrong = max((at for at in changes if process.view_at(at + 1e-9) != true_view), default=None)
        if last_wrong is not None:
            later_changes = [at for at in changes if at > last_wrong]
            if not later_changes:
                return None
            settled_at = max(settled_at, later_changes[0])
    return settled_at - event


def run_on_processes(day: Day, out: Path) -> tuple[int, float]:
    """Run the day on processes; return the number of datagrams delivered and the duration in seconds."""
    driver, start = PollDriver(), time.monotonic()
    loop = Loop(driver, lambda event, **fields: click.echo(f"{event} {fields}", err=True))
    rehearsal = Rehearsal(loop, day, out)
    try:
        loop.run(rehearsal.run)
    finally:
        driver.shutdown()
    assert rehearsal.switch
    return rehearsal.switch.delivered, time.monotonic() - start


def cpu_seconds() -> float:
    """Return the CPU seconds of this process and of all instances that have ended."""
    return sum(sum(getrusage(who)[:2]) for who in (RUSAGE_SELF, RUSAGE_CHILDREN))


def measure(file: Path, size: int, seed: int, out: Path, processes: bool) -> dict[str, Any]:
    day = replace(read_day(file, seed), instance_count=size)
    cpu_start = cpu_seconds()
    if processes:
        datagrams, duration = run_on_processes(day, out)
    else:
        played = play(day, out)
        datagrams, duration = played.messages, played.emulated
    membership = read_membership_checker(out)
    history = membership.history
    lines = [json.loads(line) for line in (out / "transcript.jsonl").read_text("utf-8").splitlines()]
    observed = [
        (line["t"], line["what"])
        for line in lines
        if line["at"] in ("umpire", "words")
        and line["what"]
        in ("killed", "started", "told to leave", "ended", "cut", "healed", "stopped", "continued")
    ]
    all_started_at = max(at for at, event in observed[:size])
    events = [(at, event) for at, event in observed if at > all_started_at and at < history.ended_at - 1.0]
    times = {"join of all": time_until_known(history, all_started_at, events[0][0])}
    for index, (at, event) in enumerate(events):
        next_event = events[index + 1][0] if index + 1 < len(events) else history.ended_at
        if event not in ("cut", "stopped", "told to leave"):
            times.setdefault(event, time_until_known(history, at, next_event))
    false_alarms = sum(violation.guarantee == "accuracy" for violation in membership.violations())
    return {
        "umpires": size,
        "seed": seed,
        "known after": times,
        "promises broken": len(membership.violations()),
        "false": false_alarms,
        "cpu s": round(cpu_seconds() - cpu_start, 1),
        "s": round(duration),
        "words a second, each": round(datagrams / size / duration, 1),
    }


@click.command()
@click.argument("day", type=click.Path(exists=True, path_type=Path))
@click.option("--sizes", default="10,50,170")
@click.option("--seed", default=1)
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--processes", is_flag=True, help="Run real processes on loopback instead of simulating them.")
def main(day: Path, sizes: str, seed: int, out: Path | None, processes: bool) -> None:
    folder = out or Path(tempfile.mkdtemp())
    for size in map(int, sizes.split(",")):
        click.echo(json.dumps(measure(day, size, seed, folder / f"{size}-{seed}", processes)))


if __name__ == "__main__":
    main()
