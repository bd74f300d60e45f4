"""Compares requests per second, CPU and memory of one instance with those of two minimal proxies.

The minimal proxies forward requests without any routing decisions: `loop` uses the same event loop and parser
as the instance, `gevent` the same parser on gevent.

    python bench/relay/measure.py --table docs/measurements/relay-cost.md [--profile]

The instance and each proxy are one process each. The server and the load generator are separate processes, so
that the CPU of a proxy can be measured alone. All of them run throughout and get short slices of load in
turn, so that a temporary slowdown of the machine affects all of them. The results are medians over the
rounds, and ratios within each round.
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
from statistics import median, quantiles
from typing import Any

import click

from stepsail.loop import Loop, PollDriver
from stepsail.standins.instances import free_address
from stepsail.standins.service import Service

PARTS_SCRIPT = str(Path(__file__).parent / "parts.py")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
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


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


@contextlib.contextmanager
def running_process(*command: str) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(3)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def run_services(server_port: int) -> None:
    """Run stand-ins of release control and of endpoint discovery for the instance, and print their ports."""
    loop = Loop(PollDriver())

    def release_control(path: str, query: dict[str, str], body: Any, stream: object) -> Any:
        if int(query.get("after", 0)):
            loop.sleep(4.0)
        return {"seq": 1, "state": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age": 100.0}}

    def endpoint_list(path: str, query: dict[str, str], body: Any, stream: object) -> Any:
        if int(query.get("after", 0)):
            loop.sleep(4.0)
        return {
            "seq": 1,
            "whole": True,
            "servers": [
                {
                    "address": f"127.0.0.1:{server_port}",
                    "zone": "here",
                    "build": 1,
                    "state": "ready",
                    "start": "s",
                }
            ],
        }

    def main() -> None:
        print(
            Service(loop, "news", release_control).address[1],
            Service(loop, "roster", endpoint_list).address[1],
            flush=True,
        )
        loop.sleep(1e6)

    loop.run(main)


@contextlib.contextmanager
def running_proxy(name: str, server_port: int, folder: Path) -> Iterator[tuple[int, int]]:
    """Run an instance or a minimal proxy as a process, and provide its process id and port."""
    port = free_address()[1]
    with contextlib.ExitStack() as stack:
        if name in ("umpire", "captured"):
            stand_ins = subprocess.Popen(
                [sys.executable, __file__, "--services", str(server_port)], stdout=subprocess.PIPE
            )
            stack.callback(stand_ins.wait)
            stack.callback(stand_ins.kill)
            assert stand_ins.stdout
            control_port, discovery_port = stand_ins.stdout.readline().split()
            settings_file = folder / f"umpire-{port}.conf"
            capture_settings = f"capture kept-{port}\n" if name == "captured" else ""
            settings_file.write_text(
                SETTINGS.format(listen=port, conveyor=int(control_port), roster=int(discovery_port))
                + capture_settings
            )
            process = stack.enter_context(running_process("-m", "stepsail", "umpire", str(settings_file)))
        else:
            process = stack.enter_context(running_process(PARTS_SCRIPT, name, str(port), str(server_port)))
        yield process.pid, port


Round = dict[str, dict[str, float]]  # results of one slice of load, by proxy


def measure_proxies(
    names: list[str], server_port: int, folder: Path, sizes: list[int], seconds: float, rounds: int
) -> tuple[dict[int, list[Round]], dict[str, dict[str, float]]]:
    """Return the rounds for each number of connections, and the memory and idle CPU of each proxy."""
    with contextlib.ExitStack() as stack:
        proxies = {name: stack.enter_context(running_proxy(name, server_port, folder)) for name in names}
        time.sleep(2.0)
        cpu_before = {name: cpu_seconds(pid) for name, (pid, _) in proxies.items()}
        time.sleep(2.0)
        resource_usage = {
            name: {"idle": (cpu_seconds(pid) - cpu_before[name]) / 2.0} for name, (pid, _) in proxies.items()
        }
        rounds_by_size: dict[int, list[Round]] = {}
        for size in sizes:
            targets = [f"{name}:{pid}:{port}" for name, (pid, port) in proxies.items()]
            process = subprocess.run(
                [sys.executable, PARTS_SCRIPT, "load", str(size), str(seconds), str(rounds), *targets],
                capture_output=True,
                text=True,
                check=True,
            )
            rounds_by_size[size] = [json.loads(line) for line in process.stdout.splitlines()]
            for name, (pid, port) in proxies.items():
                resource_usage[name][f"mib{size}"] = resident_mib(pid)
                resource_usage[name]["kept"] = _capture_bytes(folder / f"kept-{port}")
        return rounds_by_size, resource_usage


def _capture_bytes(folder: Path) -> float:
    """Return the size of the captures in a folder in bytes."""
    return float(sum(f.stat().st_size for f in folder.glob("*.cap")))


def format_quartiles(values: list[float]) -> str:
    """Format the median and the quartiles of some values."""
    low, middle, high = quantiles(values, n=4)
    return f"{middle:.2f} ({low:.2f} to {high:.2f})"


def _capture_table(rounds: list[Round], capture_size: float, seconds: float, table: Path | None) -> None:
    ratios = [results["captured"]["cpu_us"] / results["umpire"]["cpu_us"] for results in rounds]
    count = sum(results["captured"]["rate"] * seconds for results in rounds)
    low, middle, high = quantiles(ratios, n=4)
    text = "\n".join(
        (
            f"{len(ratios)} pairs of {seconds:g} s, an instance with capture and one without in turn, "
            f"50 open connections, on {os.cpu_count()} cores, "
            f"Python {platform.python_version()}, everything on loopback.",
            "",
            f"CPU per request with capture relative to that without, by pair: median {middle:.3f}, quartiles "
            f"{low:.3f} and {high:.3f}. About {capture_size / count:.0f} bytes per request on disk. "
            "Goal: under 1.10.",
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Cost of capture\n\n" + text)


@click.command()
@click.option("--rounds", default=20)
@click.option("--seconds", default=0.5)
@click.option("--table", type=click.Path(path_type=Path))
@click.option(
    "--capture-only",
    is_flag=True,
    help="Compare only an instance with capture and one without, in many short pairs.",
)
@click.option("--services", "services_for", type=int, hidden=True)
def main(
    rounds: int, seconds: float, table: Path | None, services_for: int | None, capture_only: bool
) -> None:
    if services_for:
        run_services(services_for)
        return
    sizes, names = [10, 100, 1000], ["umpire", "captured", "loop", "gevent"]
    if capture_only:
        sizes, names = [50], ["umpire", "captured"]
    server_port = free_address()[1]
    with running_process(PARTS_SCRIPT, "box", str(server_port)), tempfile.TemporaryDirectory() as folder:
        time.sleep(1.0)
        results, resource_usage = measure_proxies(names, server_port, Path(folder), sizes, seconds, rounds)
    if capture_only:
        _capture_table(results[50], resource_usage["captured"]["kept"], seconds, table)
        return
    rows = []
    for size in sizes:
        for name in names:
            slices = [round_results[name] for round_results in results[size]]
            ratio = format_quartiles(
                [
                    round_results[name]["cpu_us"] / round_results["loop"]["cpu_us"]
                    for round_results in results[size]
                ]
            )
            rows.append(
                f"| {size} | {name} | {median(result['rate'] for result in slices):.0f} | "
                f"{median(result['cpu_us'] for result in slices):.0f} | {ratio} | "
                f"{median(result['median_ms'] for result in slices):.2f} | "
                f"{median(result['p99_ms'] for result in slices):.2f} | "
                f"{resource_usage[name][f'mib{size}']:.0f} | {sum(result['bad'] for result in slices):.0f} |"
            )
    idle = ", ".join(f"{name} {resource_usage[name]['idle']:.1%}" for name in names)
    text = "\n".join(
        (
            f"{rounds} rounds of slices of {seconds:g} s, the four proxies in turn, all running throughout, "
            f"on {os.cpu_count()} cores, Python {platform.python_version()}, everything on loopback; "
            "the server answers at once with 64 bytes.",
            "",
            "| open connections | proxy | requests per second | CPU per request, µs | "
            "CPU relative to `loop` | median, ms | p99, ms | MiB | not 200 |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
            f"Idle CPU, as a share of one core: {idle}.",
            "",
            "`umpire` is an instance, `captured` an instance with capture; `loop` is a proxy with the same "
            "event loop and parser but no routing decisions; `gevent` is the same proxy with the same parser "
            "on gevent. The values are medians over the rounds; the ratio is computed within each round, "
            "with its quartiles.",
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Cost of one proxied request\n\n" + text)


if __name__ == "__main__":
    main()
