"""Kills instances repeatedly under load, and compares their audit trails with what the clients received.

    python bench/trail_kills.py --kills 500 --at-once 6 --out FOLDER --table docs/measurements/trail-kills.md

Several instances run in parallel, each with its own audit trail, servers and clients: one process for the
stand-ins and one for the instance. At random times the instance is killed with SIGKILL and restarted.
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import click

from stepsail.loop import Loop, PollDriver
from stepsail.standins.day import read_day
from stepsail.standins.rehearsal import Rehearsal
from stepsail.trail.audit import audit_trail
from stepsail.trail.keys import read_public_key
from stepsail.trail.reader import read_entries
from stepsail.trail.reconcile import reconcile
from stepsail.verify import read_history, verify

DAY = """
site site.conf
length {length}s
umpires 1
boxes {{
    count 3
}}
demand lookup share 60% work 15ms
demand record share 25% work 20ms
demand refund share 15% work 20ms
traffic 120
notice 200ms
"""


def run_instance(folder: Path, seed: int, kills: int) -> dict[str, Any]:
    """Run one instance from this process, and return its results."""
    folder.mkdir(parents=True)
    site_text = Path("days/bad-day/site.conf").read_text()
    random, at, troubles = Random(seed), 1.0, []
    for _ in range(kills):
        troubles.append(f"trouble kill-umpire at {at:.3f}s for 10ms of 0")
        at += random.uniform(1.0, 1.6)
    (folder / "site.conf").write_text(site_text + "\ntrail kept {\n    segment 256k\n}\n")
    (folder / "day.conf").write_text(DAY.format(length=round(at + 2)) + "\n".join(troubles) + "\n")
    day = read_day(folder / "day.conf")
    day.seed = seed
    driver = PollDriver()
    rehearsal = Rehearsal(Loop(driver, lambda event, **fields: None), day, folder / "out")
    rehearsal.loop.run(rehearsal.run)
    driver.shutdown()
    transcript_lines = [
        json.loads(line) for line in (folder / "out/transcript.jsonl").read_bytes().splitlines()
    ]
    received = [line for line in transcript_lines if line["at"] == "client" and line["what"] == "answer"]
    trail = folder / "out/kept"
    agreement = reconcile(read_entries(trail), received)
    audit = audit_trail(trail, read_public_key(trail))
    violations = verify(read_history(folder / "out/transcript.jsonl"))
    return {
        "kills": sum(line["at"] == "umpire" and line["what"] == "killed" for line in transcript_lines),
        "received": agreement.received,
        "kept": agreement.recorded,
        "agree": agreement.matching,
        "open": agreement.unconfirmed,
        "faults": agreement.discrepancies[:5],
        "findings": [str(finding) for finding in audit.findings[:5]],
        "entries": audit.entries,
        "breaches": len(violations),
        "breach": [str(violation) for violation in violations[:2]],
        "bytes": sum(file.stat().st_size for file in trail.glob("*.trail")),
        "notes": sum("torn" in note for note in audit.notes),
    }


@click.command()
@click.option("--kills", default=500)
@click.option("--at-once", default=6)
@click.option("--out", required=True, type=click.Path(path_type=Path))
@click.option("--table", type=click.Path(path_type=Path))
@click.option("--seed", type=int, hidden=True)
def main(kills: int, at_once: int, out: Path, table: Path | None, seed: int | None) -> None:
    if seed is not None:
        click.echo(json.dumps(run_instance(out, seed, kills)))
        return
    kills_per_instance = -(-kills // at_once)

    def run_process(number: int) -> dict[str, Any]:
        process = subprocess.run(
            [
                sys.executable,
                __file__,
                "--kills",
                str(kills_per_instance),
                "--out",
                str(out / f"umpire-{number}"),
                "--seed",
                str(number),
            ],
            capture_output=True,
            text=True,
        )
        if process.returncode:
            click.echo(process.stderr[-2000:], err=True)
            raise SystemExit(1)
        result: dict[str, Any] = json.loads(process.stdout.splitlines()[-1])
        return result

    with ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(run_process, range(1, at_once + 1)))
    totals = {
        key: sum(result[key] for result in results)
        for key in ("kills", "received", "kept", "agree", "open", "entries", "breaches", "bytes", "notes")
    }
    faults = [
        fault for result in results for fault in (*result["faults"], *result["findings"], *result["breach"])
    ]
    text = "\n".join(
        (
            f"{at_once} instances in parallel, each killed (SIGKILL) {kills_per_instance} times at "
            f"random times under 120 requests per second, on {os.cpu_count()} cores, Python "
            f"{platform.python_version()}; servers and clients are stand-ins; each answer "
            "is synced to disk before it is sent (`survives power-loss`).",
            "",
            f"- kills: {totals['kills']}; answers received by clients: {totals['received']}; "
            f"answers recorded: {totals['kept']}",
            f"- received, and recorded exactly once and unaltered: "
            f"**{totals['agree']} of {totals['received']}**",
            f"- recorded, but neither confirmed as sent nor received (killed in between): {totals['open']}",
            f"- torn writes at the ends of trails: {totals['notes']}; entries audited: {totals['entries']}; "
            f"{totals['bytes'] / max(1, totals['entries']):.0f} bytes per entry",
            f"- rules violated in the same runs: {totals['breaches']}",
            "",
            "Faults: " + ("none." if not faults else "; ".join(faults[:10])),
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Five hundred kills\n\n" + text)
    raise SystemExit(1 if faults else 0)


if __name__ == "__main__":
    main()
