"""Executes a grid of runs in several processes, skipping the runs that already have a row."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterable
from pathlib import Path

from stepsail.experiment.run import Run, execute
from stepsail.experiment.table import Table

RUNS_PER_PROCESS = 50  # a process is then replaced, which frees the memory of finished simulations


def make_grid(
    days: Iterable[Path], seeds: Iterable[int], modules: Iterable[str], instance_counts: Iterable[int]
) -> list[Run]:
    """Return all runs, ordered by seed first, so that an interrupted grid has all runs of the first seeds."""
    days = list(days)
    modules = list(modules)
    counts = list(instance_counts) or [0]
    return [
        Run(str(day), seed, module, count)
        for seed in seeds
        for day in days
        for module in modules
        for count in counts
    ]


def run_grid(runs: list[Run], folder: Path, workers: int, progress: Callable[[int, int], None]) -> int:
    """Execute the runs that have no row yet, and return their number.

    If the process is killed, only the runs in progress are lost; the next call executes them.

    Args:
        runs: all runs of the experiment.
        folder: the folder of the experiment's table.
        workers: number of processes.
        progress: called with the number of runs that have a row and the number of all runs.
    """
    table = Table(folder)
    missing = [run for run in runs if run.key not in table.rows]
    done = len(runs) - len(missing)
    try:
        progress(done, len(runs))
        with multiprocessing.get_context("spawn").Pool(workers, maxtasksperchild=RUNS_PER_PROCESS) as pool:
            for row in pool.imap_unordered(execute, missing):
                table.add(row)
                done += 1
                progress(done, len(runs))
    finally:
        table.close()
    return len(missing)
