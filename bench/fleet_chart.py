"""Draws charts from the output of bench/fleet_baselines.py: detection times, and datagrams per second.

python bench/fleet_chart.py LINES docs/measurements/fleet-view.svg
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "stepsail"  # makes the file reproducible
from matplotlib import pyplot as plt  # noqa: E402

PROTOCOL_LABELS = {"swim": "membership protocol", "heartbeats": "all-to-all heartbeats"}
PANELS = (
    ("one crashed", "crash known to all instances, s"),
    ("halves cut for 60 s, healed", "views agree after a partition, s"),
    ("datagrams", "datagrams per second and instance"),
)


@click.command()
@click.argument("lines", type=click.Path(exists=True, path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
def main(lines: Path, out: Path) -> None:
    rows: list[dict[str, Any]] = [
        json.loads(line) for line in lines.read_text("utf-8").splitlines() if line.startswith("{")
    ]
    figure, axes = plt.subplots(1, len(PANELS), figsize=(11, 3.2), layout="constrained")
    for axis, (key, title) in zip(axes, PANELS, strict=True):
        for protocol, protocol_label in PROTOCOL_LABELS.items():
            points = sorted(
                (row["umpires"], row[key])
                for row in rows
                if row["view"] == protocol and row.get(key) is not None
            )
            axis.plot(*zip(*points, strict=True), marker="o", label=protocol_label)
        axis.set(title=title, xlabel="instances", xscale="log")
        axis.set_ylim(bottom=0)
    axes[-1].set_yscale("log")
    axes[0].legend()
    figure.savefig(out, metadata={"Date": None})


if __name__ == "__main__":
    main()
