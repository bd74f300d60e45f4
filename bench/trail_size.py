"""Measures the time and memory needed to open and to verify audit trails of up to ten million entries.

python bench/trail_size.py --entries 10000000 --table docs/measurements/trail-size.md
"""

from __future__ import annotations

import os
import platform
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from stepsail.trail.availability import Durability, FullPolicy
from stepsail.trail.committer import TrailOptions, TrailWriter
from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import EntryKind, encode
from stepsail.trail.keys import SigningKey
from stepsail.trail.log import TrailLog

MEASURE_CODE = """
import resource, sys, time
from pathlib import Path
start = time.perf_counter()
{code}
print(time.perf_counter() - start, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, found)
"""
VERIFY_CODE = """
report = audit_trail(Path(sys.argv[1]))
found = f"{report.entries} entries, {report.valid_heads} heads, {len(report.findings)} findings"
"""
IMPORT_CODE = "import stepsail.trail.audit\nfound = 'nothing but the program'"


def measure(code: str, folder: Path) -> tuple[float, float, str]:
    """Run code in a process of its own; return the seconds, the peak MiB and the value of `found`."""
    process = subprocess.run(
        [sys.executable, "-c", MEASURE_CODE.format(code=code), str(folder)],
        capture_output=True,
        text=True,
        check=True,
    )
    seconds, mib, found = process.stdout.strip().split(" ", 2)
    return float(seconds), float(mib), found


@click.command()
@click.option("--entries", default=10_000_000)
@click.option("--table", type=click.Path(path_type=Path))
def main(entries: int, table: Path | None) -> None:
    rows = []
    with tempfile.TemporaryDirectory(dir=".") as folder_name:
        folder = Path(folder_name)
        log = TrailLog(RealDisk(folder), 0, "run", SigningKey.create(folder), folder)
        written = 0
        for divisor in (100, 10, 1):
            while written < entries // divisor:
                if log.fd is None or log.segment_bytes >= 16 << 20:
                    log.seal_segment(1.0)
                    log.open_segment(1.0, [])
                batch = [
                    encode(
                        EntryKind.ANSWER,
                        1.0,
                        receipt=f"0-abcdef012345-{written + n}",
                        product="look",
                        verdict="handled",
                        status=200,
                        digest="0" * 32,
                        relays=[("127.0.0.1:8001", "handled")],
                        label="",
                        request="",
                    )
                    for n in range(500)
                ]
                log.append(batch, 1.0)
                written += 500
            log.close_segment()  # leaves the segment as a kill would
            start = time.perf_counter()
            options = TrailOptions(Durability.POWER_LOSS, FullPolicy.REJECT)
            trail = TrailWriter(folder, 0, options, lambda call: call(), lambda event, **fields: None)
            opening_time = time.perf_counter() - start
            trail.close()
            log.recover()
            seconds, mib, found = measure(VERIFY_CODE, folder)
            size = sum(file.stat().st_size for file in folder.iterdir()) / 2**20
            rows.append(f"| {found} | {size:.0f} | {opening_time:.2f} | {seconds:.1f} | {mib:.0f} |")
    _, import_mib, _ = measure(IMPORT_CODE, Path("."))
    text = "\n".join(
        (
            f"Answers of one instance in files of 16 MiB, on {os.cpu_count()} cores, "
            f"Python {platform.python_version()}; "
            "the trail of each size is opened as after a kill, then verified by a process of its own.",
            "",
            "| trail | MiB | opening after a kill, s | verification, s | peak memory of verification, MiB |",
            "| --- | --- | --- | --- | --- |",
            *rows,
            "",
            f"A process that only imports the program takes {import_mib:.0f} MiB.",
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# A trail of ten million entries\n\n" + text)


if __name__ == "__main__":
    main()
