"""Plays a whole rehearsal in virtual time.

The rehearsal's own code runs on one simulated process, and each instance on a process of its own.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from stepsail.decisions.interface import MakeRouter
from stepsail.decisions.router import Router
from stepsail.loop import Loop
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.instances import simulated_instances
from stepsail.simulation.network import Network
from stepsail.simulation.simulator import START_TIME, SimulatedProcess, Simulator
from stepsail.standins.day import Day
from stepsail.standins.rehearsal import Rehearsal


@dataclass
class PlayResult:
    """Costs of playing a day, and the exit codes of its instances.

    Attributes:
        emulated: Virtual time in seconds.
        wall: Real time in seconds.
        cpu: CPU time in seconds.
        turns: Number of times that the simulator resumed a process.
        messages: Number of deliveries that the network handled.
        codes: Exit codes of the instances.
    """

    emulated: float
    wall: float
    cpu: float
    turns: int
    messages: int
    codes: list[int | None]


def play(
    day: Day,
    out: Path,
    make_router: MakeRouter = Router,
    progress: Callable[[float, str], None] | None = None,
) -> PlayResult:
    """Play a day with its seed, and write the transcript to the folder `out`.

    Raises:
        SimulationStalled: The simulation cannot continue.
        InvalidSettings: The settings of the instances are invalid.
        RuntimeError: An instance did not start or did not end.
        OSError: A file cannot be written.
    """
    simulator = Simulator(day.seed)
    network = Network(simulator, day.seed)
    codes: list[int | None] = []

    def run_rehearsal(loop: Loop) -> None:
        rehearsal = Rehearsal(loop, day, out, simulated_instances(simulator, network, make_router), progress)
        try:
            loop.run(rehearsal.run)
        finally:
            codes.extend(rehearsal.codes)

    wall_started_at = time.perf_counter()
    cpu_started_at = time.process_time()
    # Exempt existing objects from garbage collection: a simulation creates few cycles, so that collections
    # cost more than they free.
    gc.collect()
    gc.freeze()
    try:
        simulator.run(
            SimulatedProcess(simulator, SimulatedDriver(simulator, network, "world"), "world", run_rehearsal)
        )
    finally:
        gc.unfreeze()
    return PlayResult(
        simulator.now - START_TIME,
        time.perf_counter() - wall_started_at,
        time.process_time() - cpu_started_at,
        simulator.turns,
        network.messages,
        codes,
    )
