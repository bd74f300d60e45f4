"""Compares the membership protocol with all-to-all heartbeats, on a simulated clock and network.

Measures the seconds until all instances have the true view after each fault, false alarms, and the bytes that
each instance sends per second.

    python bench/fleet_baselines.py --sizes 10,50,170,540 [--beats-up-to 170]
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, cast

import click
from beats import HeartbeatProtocol

from stepsail.membership import DetectionBounds, MembershipProtocol, MemberState, Timing
from stepsail.standins.membership_lab import MembershipLab

TRAFFIC_TIME = 20.0  # s over which bytes are counted once the views have settled
LOSS_TIME = 60.0  # s during which 30% of the datagrams are lost


def time_to_agreement(lab: MembershipLab, timeout: float) -> float | None:
    """Return the seconds until all running instances have the true view; None after the timeout."""
    duration = lab.run_until(lab.views_agree, timeout, 0.25 if len(lab.processes) < 200 else 1.0)
    return round(duration, 2) if duration < timeout else None


def count_false_alarms(lab: MembershipLab, first_change: int) -> int:
    return sum(
        change.state is MemberState.DEAD and lab.processes[change.instance].up
        for _, _, change in lab.changes[first_change:]
    )


def measure(job: tuple[str, int, int]) -> dict[str, Any]:
    protocol, size, seed = job
    HeartbeatProtocol.instance_count, cpu_start = size, time.process_time()
    make_protocol = (
        cast(Callable[..., MembershipProtocol], HeartbeatProtocol)
        if protocol == "heartbeats"
        else MembershipProtocol
    )
    timeout = 3 * DetectionBounds.of(Timing(), size).settle
    lab = MembershipLab(size, seed, make_protocol=make_protocol)
    result: dict[str, Any] = {
        "view": protocol,
        "umpires": size,
        "seed": seed,
        "joined": time_to_agreement(lab, timeout),
    }
    lab.run(timeout / 3 if protocol == "swim" else 5.0)  # until updates about the joins are no longer sent
    before = [(n.bytes_sent, n.datagrams_sent) for n in lab.processes.values()]
    lab.run(TRAFFIC_TIME)
    after = [(n.bytes_sent, n.datagrams_sent) for n in lab.processes.values()]
    result["bytes a second each"] = round(
        sum(b[0] - a[0] for a, b in zip(before, after, strict=True)) / size / TRAFFIC_TIME
    )
    result["datagrams"] = round(
        sum(b[1] - a[1] for a, b in zip(before, after, strict=True)) / size / TRAFFIC_TIME, 1
    )
    lab.crash(size - 1)
    result["one crashed"] = time_to_agreement(lab, timeout)
    lab.start(size - 1)
    result["it came back"] = time_to_agreement(lab, timeout)
    crashed = list(range(3, 3 + max(1, size // 3)))
    lab.crash(*crashed)
    result["a third crashed"] = time_to_agreement(lab, timeout)
    for number in crashed:
        lab.start(number)
    result["the third came back"] = time_to_agreement(lab, timeout)
    if size <= 170 or protocol == "swim":
        first_half = range(size // 2)
        lab.split(first_half, range(size // 2, size))
        lab.run(60.0)
        lab.heal()
        result["halves cut for 60 s, healed"] = time_to_agreement(lab, timeout)
        first_change, lab.loss = len(lab.changes), 0.3
        lab.run(LOSS_TIME)
        lab.loss = 0.0
        result["false alarms at 30% lost"] = count_false_alarms(lab, first_change)
    result["cpu s"] = round(time.process_time() - cpu_start, 1)
    return result


@click.command()
@click.option("--sizes", default="10,50,170,540")
@click.option(
    "--beats-up-to",
    default=170,
    help="Largest fleet to measure heartbeats with; their number grows with its square.",
)
@click.option("--seeds", default=1)
@click.option("--at-once", default=4)
def main(sizes: str, beats_up_to: int, seeds: int, at_once: int) -> None:
    instance_counts = sorted(map(int, sizes.split(",")), reverse=True)
    jobs = [
        (protocol, size, seed)
        for size in instance_counts
        for protocol in ("swim", "heartbeats")
        for seed in range(1, seeds + 1)
        if protocol == "swim" or size <= beats_up_to
    ]
    with ProcessPoolExecutor(at_once) as pool:
        for result in pool.map(measure, jobs):
            click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
