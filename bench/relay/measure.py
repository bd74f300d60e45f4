"""Transactions a second, CPU and memory of one umpire, against a bare relay and one on gevent, in one run.

    python bench/relay/measure.py --table docs/measurements/relay-cost.md [--profile]

Each relay is one process; the box and the load are processes of their own, so the relay's CPU is its own.
Rounds of the three alternate, and what is quoted is the median and the ratio within each round.
"""

from __future__ import annotations

import contextlib
import json
import os
import platform
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from statistics import median
from typing import Any

import click

from stepsail.loop import Loop, PollDriver
from stepsail.standins.rehearsal import free_address
from stepsail.standins.service import Service

PARTS = str(Path(__file__).parent / "parts.py")
TICK = os.sysconf("SC_CLK_TCK")
SETTINGS = """
umpire 0 of 1
zones here
zone here
seed 1
listen 127.0.0.1:{listen}
conveyor 127.0.0.1:{conveyor}
roster 127.0.0.1:{roster} pushed
product look {{
    route GET /look
    repeats redoable
    target 1s
    abandon 3s
}}
release {{
    stage 100% cap 1
}}
servers {{
    connections 2000
}}
log json warning
"""


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory(pid: int) -> float:
    """Resident MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


@contextlib.contextmanager
def running(*command: str) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen([sys.executable, *command], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(3)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def services(box: int) -> None:
    """Release control and roster for the umpire, in a process of their own; prints their ports."""
    loop = Loop(PollDriver())

    def news(path: str, query: dict[str, str], body: Any, stream: object) -> Any:
        if int(query.get("after", 0)):
            loop.sleep(4.0)
        return {"seq": 1, "state": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age": 100.0}}

    def roster(path: str, query: dict[str, str], body: Any, stream: object) -> Any:
        if int(query.get("after", 0)):
            loop.sleep(4.0)
        return {"seq": 1, "whole": True, "servers": [
            {"address": f"127.0.0.1:{box}", "zone": "here", "build": 1, "state": "ready", "start": "s"}]}

    def main() -> None:
        print(Service(loop, "news", news).address[1], Service(loop, "roster", roster).address[1], flush=True)
        loop.sleep(1e6)
    loop.run(main)


def loaded(port: int, connections: int, seconds: float) -> dict[str, Any]:
    done = subprocess.run([sys.executable, PARTS, "load", str(port), str(connections), str(seconds)],
                          capture_output=True, text=True, check=True)
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def one(name: str, box: int, folder: Path, sizes: list[int], seconds: float) -> dict[int, dict[str, float]]:
    """All sizes on one relay process."""
    port = free_address()[1]
    with contextlib.ExitStack() as stack:
        if name in ("umpire", "captured"):
            helper = subprocess.Popen([sys.executable, __file__, "--services", str(box)], stdout=subprocess.PIPE)
            stack.callback(helper.wait)
            stack.callback(helper.kill)
            assert helper.stdout
            conveyor, roster = helper.stdout.readline().split()
            file = folder / "umpire.conf"
            more = f"capture kept-{port}\n" if name == "captured" else ""
            file.write_text(SETTINGS.format(listen=port, conveyor=int(conveyor), roster=int(roster)) + more)
            relay = stack.enter_context(running("-m", "stepsail", "umpire", str(file)))
        else:
            relay = stack.enter_context(running(PARTS, name, str(port), str(box)))
        time.sleep(2.0)
        before = cpu(relay.pid)
        time.sleep(2.0)
        idle = (cpu(relay.pid) - before) / 2.0
        found = {}
        for size in sizes:
            before = cpu(relay.pid)
            result = loaded(port, size, seconds)
            # The load warms for a second at about the same rate before it counts.
            used = (cpu(relay.pid) - before) / (result["count"] * (seconds + 1) / seconds)
            found[size] = {"rate": result["rate"], "cpu_us": used * 1e6, "median_ms": result["median"] * 1e3,
                           "p99_ms": result["p99"] * 1e3, "mib": memory(relay.pid), "bad": result["bad"],
                           "idle_cpu": idle, "kept": _kept(folder / f"kept-{port}")}
        return found


def _kept(folder: Path) -> float:
    """Bytes of captures so far."""
    return float(sum(f.stat().st_size for f in folder.glob("*.cap")))


def _capture_table(results: list[dict[str, dict[int, dict[str, float]]]], seconds: float, table: Path | None) -> None:
    ratios = sorted(r["captured"][50]["cpu_us"] / r["umpire"][50]["cpu_us"] for r in results)
    per = median(r["captured"][50]["kept"] / (r["captured"][50]["rate"] * (seconds + 1)) for r in results)
    text = "\n".join((
        f"{len(results)} pairs of {seconds:g} s, with capture and without in turn, 50 open connections, on "
        f"{os.cpu_count()} cores, Python {platform.python_version()}, everything on loopback.", "",
        f"CPU a transaction with capture over that without, pair by pair: median {median(ratios):.3f}, from "
        f"{ratios[0]:.3f} to {ratios[-1]:.3f}. About {per:.0f} bytes a transaction on disk.", ""))
    click.echo(text)
    if table:
        table.write_text("# What capture costs\n\n" + text)


@click.command()
@click.option("--rounds", default=3)
@click.option("--seconds", default=5.0)
@click.option("--table", type=click.Path(path_type=Path))
@click.option("--capture-only", is_flag=True, help="With capture and without, in many short pairs.")
@click.option("--services", "services_for", type=int, hidden=True)
def main(rounds: int, seconds: float, table: Path | None, services_for: int | None, capture_only: bool) -> None:
    if services_for:
        services(services_for)
        return
    sizes, names = [10, 100, 1000], ["umpire", "captured", "loop", "gevent"]
    if capture_only:
        sizes, names = [50], ["umpire", "captured"]
    box = free_address()[1]
    results: list[dict[str, dict[int, dict[str, float]]]] = []
    with running(PARTS, "box", str(box)), tempfile.TemporaryDirectory() as folder:
        time.sleep(1.0)
        for at in range(rounds):
            results.append({name: one(name, box, Path(folder), sizes, seconds) for name in names})
            click.echo(f"round {at + 1}: {json.dumps(results[-1])}", err=True)
    if capture_only:
        _capture_table(results, seconds, table)
        return
    rows = []
    for size in sizes:
        for name in names:
            mine = [r[name][size] for r in results]
            ratio = median(r[name][size]["cpu_us"] / r["loop"][size]["cpu_us"] for r in results)
            rows.append(f"| {size} | {name} | {median(m['rate'] for m in mine):.0f} | "
                        f"{median(m['cpu_us'] for m in mine):.0f} | {ratio:.2f} | "
                        f"{median(m['median_ms'] for m in mine):.2f} | {median(m['p99_ms'] for m in mine):.2f} | "
                        f"{median(m['mib'] for m in mine):.0f} | {sum(m['bad'] for m in mine):.0f} |")
    captured = [r["captured"][100]["cpu_us"] / r["umpire"][100]["cpu_us"] for r in results]
    idle = ", ".join(f"{name} {median(r[name][10]['idle_cpu'] for r in results):.1%}" for name in names)
    text = "\n".join((
        f"{rounds} rounds of {seconds:g} s each, the three relays in turn, on {os.cpu_count()} cores, Python "
        f"{platform.python_version()}, everything on loopback; the box answers at once with 64 bytes.", "",
        "| open connections | relay | transactions a second | CPU a transaction, µs | CPU against `loop` | "
        "median ms | 99% ms | MiB | not 200 |", "| --- | --- | --- | --- | --- | --- | --- | --- | --- |", *rows, "",
        f"Idle CPU, of one core: {idle}.", "",
        f"Capture adds {median(captured) - 1:.1%} CPU a transaction at 100 connections.", "",
        "`umpire` is the daemon, `captured` the daemon with capture on; `loop` the same loop and parser with no "
        "module; `gevent` the same relay with the same parser on gevent. Medians of the rounds; the ratio is "
        "taken within each round.", ""))
    click.echo(text)
    if table:
        table.write_text("# What one relay costs\n\n" + text)


if __name__ == "__main__":
    main()
