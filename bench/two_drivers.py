"""Compares a day on sockets with the same day in virtual time, for the same seeds.

    python bench/two_drivers.py --seeds 5 --at-once 2 --table docs/measurements/two-drivers.md

The latencies of each request class are compared by the two-sample Kolmogorov-Smirnov test, which uses the
largest distance between the distributions, and by their quantiles. Service, votes and releases are compared
by their means over the seeds.
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

import click
from scipy import stats


def run_day(seed: int, emulated: bool, day: str) -> dict[str, Any]:
    """Run the day in a process of its own; return its report and the latencies by request class."""
    with tempfile.TemporaryDirectory() as folder:
        options = ["--emulated"] if emulated else []
        subprocess.run(
            [
                sys.executable,
                "-m",
                "stepsail",
                "rehearse",
                day,
                "--seed",
                str(seed),
                "--out",
                folder,
                *options,
            ],
            capture_output=True,
            check=False,
        )
        report = json.loads((Path(folder) / "report.json").read_text())
        latencies: dict[str, list[float]] = {}
        attempt_durations: list[float] = []
        attempt_starts: dict[tuple[str, str], float] = {}
        for text in (Path(folder) / "transcript.jsonl").read_bytes().splitlines():
            line = json.loads(text)
            if line["at"] == "client" and line["what"] == "answer" and line["verdict"] == "handled":
                latencies.setdefault(line["product"], []).append(line["took"])
            if line["at"] == "box" and line["what"] == "relay":
                attempt_starts[line["box"], line["id"]] = line["t"]
            if line["at"] == "box" and line["what"] == "ran" and (line["box"], line["id"]) in attempt_starts:
                attempt_durations.append(line["t"] - attempt_starts.pop((line["box"], line["id"])))
        return {"report": report, "took": latencies | {"(attempt, at its server)": attempt_durations}}


@click.command()
@click.option("--seeds", default=5)
@click.option("--at-once", default=2)
@click.option("--day", default="days/bad-day")
@click.option("--table", type=click.Path(path_type=Path))
def main(seeds: int, at_once: int, day: str, table: Path | None) -> None:
    seed_range = range(1, seeds + 1)
    with ThreadPoolExecutor(at_once) as pool:
        socket_runs = list(pool.map(lambda seed: run_day(seed, False, day), seed_range))
    with ThreadPoolExecutor(at_once) as pool:
        virtual_runs = list(pool.map(lambda seed: run_day(seed, True, day), seed_range))
    rows = []
    for request_class in sorted(socket_runs[0]["took"]):
        socket_latencies = sorted(latency for run in socket_runs for latency in run["took"][request_class])
        virtual_latencies = sorted(latency for run in virtual_runs for latency in run["took"][request_class])
        test = stats.ks_2samp(socket_latencies, virtual_latencies)
        quantiles = " | ".join(
            f"{socket_latencies[int(len(socket_latencies) * share)]:.3f} / "
            f"{virtual_latencies[int(len(virtual_latencies) * share)]:.3f}"
            for share in (0.5, 0.9, 0.99)
        )
        rows.append(
            f"| {request_class} | {len(socket_latencies)} / {len(virtual_latencies)} | "
            f"{quantiles} | {test.statistic:.3f} | {test.pvalue:.2g} |"
        )

    def format_metric(runs: list[dict[str, Any]], metric: str) -> str:
        return {
            "service": lambda: f"{mean(run['report']['service'] for run in runs):.3f}",
            "votes": lambda: f"{mean(sum(run['report']['votes'].values()) for run in runs):.1f}",
            "right": lambda: f"{sum(x['right'] for run in runs for x in run['report']['releases'])} of "
            f"{sum(len(run['report']['releases']) for run in runs)}",
            "breaches": lambda: str(sum(len(run["report"]["breaches"]) for run in runs)),
            "denied": lambda: f"{mean(run['report']['answers'].get('denied', 0) for run in runs):.0f}",
            "errored": lambda: f"{mean(run['report']['answers'].get('errored', 0) for run in runs):.0f}",
        }[metric]()

    summary_rows = [
        f"| {metric} | {format_metric(socket_runs, metric)} | {format_metric(virtual_runs, metric)} |"
        for metric in ("service", "votes", "right", "denied", "errored", "breaches")
    ]
    text = "\n".join(
        (
            f"{day}, {seeds} seeds, {at_once} at a time, on {os.cpu_count()} cores, Python "
            f"{platform.python_version()}; simulated servers in both cases.",
            "",
            "| figure | sockets | virtual time |",
            "| --- | --- | --- |",
            *summary_rows,
            "",
            "Latencies in seconds, sockets / virtual time:",
            "",
            "| request class | answers | median | p90 | p99 | KS distance | p |",
            "| --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# The same day on sockets and in virtual time\n\n" + text)


if __name__ == "__main__":
    main()
