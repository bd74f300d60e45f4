"""Measures what the audit trail costs: latency and rate of one instance without it and with each durability.

    python bench/trail_cost.py --rounds 3 --table docs/measurements/trail-cost.md

The load is open-loop: requests are sent at a fixed rate, independently of the answers, and latency is
measured from the time at which each request was due.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

import click

sys.path.insert(0, str(Path(__file__).parent / "relay"))

from measure import PARTS_SCRIPT, SETTINGS, cpu_seconds, running_process

from stepsail.standins.instances import free_address

MODES = ("none", "process-crash", "power-loss", "power-loss-each")
REQUEST = b"GET /look HTTP/1.1\r\nhost: x\r\nrequest-timeout: 3.0\r\n\r\n"


async def generate_load(port: int, rate: float, seconds: float) -> list[float]:
    """Send requests, and return the latencies of those answered with 200, from when each was due."""
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    latencies: list[float] = []

    async def send_request(due: float) -> None:
        reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        if head.startswith(b"HTTP/1.1 200"):
            latencies.append(time.perf_counter() - due)
        idle.append((reader, writer))

    start, tasks = time.perf_counter(), []
    for number in range(int(rate * seconds)):
        due = start + number / rate
        if due > time.perf_counter():
            await asyncio.sleep(due - time.perf_counter())
        tasks.append(asyncio.create_task(send_request(due)))
    await asyncio.wait(tasks, timeout=5.0)
    return latencies


def measure_mode(
    mode: str, server_port: int, folder: Path, rates: list[float], seconds: float
) -> dict[float, tuple[float, ...]]:
    port = free_address()[1]
    script = str(Path(__file__).parent / "relay/measure.py")
    stand_ins = subprocess.Popen(
        [sys.executable, script, "--services", str(server_port)], stdout=subprocess.PIPE
    )
    try:
        assert stand_ins.stdout
        control_port, discovery_port = stand_ins.stdout.readline().split()
        trail_folder = folder / f"kept-{port}"
        trail_settings = f"trail {trail_folder} {{\n    survives {mode}\n}}\n" if mode != "none" else ""
        settings_file = folder / f"umpire-{port}.conf"
        settings_file.write_text(
            SETTINGS.format(listen=port, conveyor=int(control_port), roster=int(discovery_port))
            + trail_settings
        )
        results = {}
        with running_process("-m", "stepsail", "umpire", str(settings_file)) as instance:
            time.sleep(2.0)
            for rate in rates:
                cpu_before = cpu_seconds(instance.pid)
                latencies = sorted(asyncio.run(generate_load(port, rate, seconds)))
                cpu_used = cpu_seconds(instance.pid) - cpu_before
                count = len(latencies)
                results[rate] = (
                    count / seconds,
                    latencies[count // 2] * 1e3,
                    latencies[int(count * 0.99)] * 1e3,
                    cpu_used / max(1, count) * 1e6,
                )
        return results
    finally:
        stand_ins.kill()
        stand_ins.wait()


def measure_recovery(folder: Path) -> list[tuple[int, float]]:
    """Return the number of entries and the seconds to open the trail, for trails of 1, 8 and 32 segments."""
    from stepsail.trail.availability import Durability, FullPolicy
    from stepsail.trail.committer import TrailOptions, TrailWriter
    from stepsail.trail.entries import CHAIN_START, EntryKind, encode

    times = []
    for count in (1, 8, 32):
        trail_folder = folder / f"recover-{count}"

        def open_trail(trail_folder: Path = trail_folder) -> TrailWriter:
            options = TrailOptions(Durability.PROCESS_CRASH, FullPolicy.REJECT)
            return TrailWriter(trail_folder, 0, options, lambda call: call(), lambda event, **fields: None)

        trail = open_trail()
        trail.close()
        trail = open_trail()
        entry = encode(
            EntryKind.ANSWER,
            1.0,
            receipt="0-abcdef-12345",
            product="look",
            verdict="handled",
            status=200,
            digest="0" * 32,
            relays=[("127.0.0.1:1", "handled")],
            label="",
            request="",
        )
        trail.close()
        log = trail.log
        log.position = CHAIN_START
        log.recover()
        for _ in range(count):
            log.open_segment(1.0, [])
            while log.segment_bytes < 16 << 20:
                log.append([entry] * 2000, 1.0)
        log.close_segment()  # leaves the segment as a kill would
        start = time.perf_counter()
        trail = open_trail()
        times.append((log.position.seq, time.perf_counter() - start))
        trail.close()
    return times


@click.command()
@click.option("--rounds", default=3)
@click.option("--seconds", default=3.0)
@click.option("--table", type=click.Path(path_type=Path))
def main(rounds: int, seconds: float, table: Path | None) -> None:
    rates = [10.0, 100.0, 1000.0]
    server_port = free_address()[1]
    with contextlib.ExitStack() as stack:
        stack.enter_context(running_process(PARTS_SCRIPT, "box", str(server_port)))
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        time.sleep(1.0)
        results = [
            {mode: measure_mode(mode, server_port, folder, rates, seconds) for mode in MODES}
            for _ in range(rounds)
        ]
        recovery_times = measure_recovery(folder)
    rows = []
    for rate in rates:
        for mode in MODES:
            mode_results = [result[mode][rate] for result in results]
            ratio = median(result[mode][rate][1] / result["none"][rate][1] for result in results)
            rows.append(
                f"| {rate:g} | {mode} | "
                + " | ".join(
                    f"{median(figures[index] for figures in mode_results):.{digits}f}"
                    for index, digits in ((0, 0), (1, 2), (2, 2), (3, 0))
                )
                + f" | {ratio:.2f} |"
            )
    text = "\n".join(
        (
            f"{rounds} rounds of {seconds:g} s per rate, the four durabilities in turn, on "
            f"{os.cpu_count()} cores, Python {platform.python_version()}, everything on loopback; "
            "the server answers at once.",
            "",
            "| requests per second | survives | served per second | median, ms | p99, ms | "
            "CPU per request, µs | median relative to none |",
            "| --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
            "Time to open a trail after a kill, by its size:",
            "",
            "| entries | s |",
            "| --- | --- |",
            *(f"| {count} | {duration:.2f} |" for count, duration in recovery_times),
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Cost of the audit trail\n\n" + text)


if __name__ == "__main__":
    main()
