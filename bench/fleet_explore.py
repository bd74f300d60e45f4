"""Explores all short histories of a membership of three instances.

Each of the next datagrams is delivered, lost, duplicated, or delayed so that it arrives out of order. After
one of them the third instance crashes, pauses, restarts or is disconnected; each of these moments is tried.

    python bench/fleet_explore.py --depth 5 --at-once 4 [--broken doubts|order|lost]
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from typing import Any

import click

from stepsail.membership import MemberRecord, MemberState
from stepsail.membership.failure_detector import FailureDetector
from stepsail.membership.local_member import LocalMember
from stepsail.standins.membership_lab import Address, MembershipLab, SimulatedProcess

FATES = ("passes", "lost", "twice", "late")
LATE_DELAY = 0.7  # s; longer than a period, so that later datagrams arrive earlier
FAULTS = ("nothing", "crash", "stop", "restart", "cut", "long stop", "long cut")
# Seconds after which the others have rightly declared the third instance dead. It must rejoin afterwards.
LONG_FAULT_TIME = 20.0
DEFECTS: dict[str, tuple[type, str, Any]] = {
    "doubts": (LocalMember, "handle_claim", lambda self, claim: None),
    "order": (MemberRecord, "precedence", property(lambda self: (0, self.incarnation, self.state))),
    "lost": (FailureDetector, "probe_dead", lambda self: None),
}


class FaultInjector:
    """Applies a fate to each datagram, and starts the fault after `fault_after` datagrams."""

    def __init__(
        self, lab: MembershipLab, fates: tuple[str, ...], fault_after: int, start_fault: Callable[[], None]
    ) -> None:
        self.lab, self.fates, self.fault_after, self.start_fault, self.sent = (
            lab,
            fates,
            fault_after,
            start_fault,
            0,
        )
        self.original_send = lab._send
        lab._send = self.send  # type: ignore[method-assign]

    def send(self, process: SimulatedProcess, to: Address, data: bytes) -> None:
        fate = self.fates[self.sent] if self.sent < len(self.fates) else "passes"
        self.sent += 1
        if fate == "late":
            self.lab.at(self.lab.now + LATE_DELAY, partial(self.original_send, process, to, data))
        elif fate != "lost":
            for _ in range(1 + (fate == "twice")):
                self.original_send(process, to, data)
        if self.sent == self.fault_after:
            self.start_fault()


def run_history(fates: tuple[str, ...], fault: str, fault_after: int) -> tuple[bool, int]:
    """Return whether a history ended in the correct state, and the number of changes of views in it."""
    lab = MembershipLab(3)
    lab.run(4.0)
    lab.changes.clear()
    fault_starts: dict[str, Callable[[], None]] = {
        "nothing": lambda: None,
        "crash": lambda: lab.crash(2),
        "restart": lambda: lab.crash(2),
        "stop": lambda: lab.pause(2),
        "cut": lambda: lab.split([2], [0, 1], oneway=True),
        "long stop": lambda: lab.pause(2),
        "long cut": lambda: lab.split([2], [0, 1]),
    }
    FaultInjector(lab, fates, fault_after, fault_starts[fault])
    lab.run(LONG_FAULT_TIME if fault.startswith("long") else 1.5)
    if fault.endswith("stop"):
        lab.resume(2)
    elif fault == "restart" and not lab.processes[2].up:
        lab.start(2)
    elif fault.endswith("cut"):
        lab.heal()
    lab.run(22.0 if fault == "crash" else 9.0)
    declared_dead = {change.instance for _, _, change in lab.changes if change.state is MemberState.DEAD}
    wrongly_declared = (
        set[int]()
        if fault == "long cut"
        else declared_dead - {2}
        if fault in ("crash", "long stop")
        else declared_dead
    )
    return lab.views_agree() and not wrongly_declared and (
        fault != "crash" or lab.processes[2].up or 2 in declared_dead
    ), len(lab.changes)


def all_histories(depth: int) -> Iterator[tuple[tuple[str, ...], str, int]]:
    for fates in product(FATES, repeat=depth):
        for fault in FAULTS:
            for fault_after in range(1, depth + 1) if fault != "nothing" else (1,):
                yield fates, fault, fault_after


def check_history(
    defect: str, job: tuple[tuple[str, ...], str, int]
) -> tuple[tuple[tuple[str, ...], str, int], bool, int]:
    if defect:
        setattr(*DEFECTS[defect])
    return job, *run_history(*job)


@click.command()
@click.option("--depth", default=5, help="Number of datagrams whose fates are enumerated.")
@click.option("--at-once", default=4)
@click.option(
    "--broken",
    type=click.Choice(sorted(DEFECTS)),
    help="Inject a defect into the protocol, and stop once it is detected.",
)
def main(depth: int, at_once: int, broken: str | None) -> None:
    start, total, changes, failed = time.monotonic(), 0, 0, list[Any]()
    with ProcessPoolExecutor(at_once) as pool:
        for job, is_correct, change_count in pool.map(
            partial(check_history, broken or ""), all_histories(depth), chunksize=64
        ):
            total, changes = total + 1, changes + change_count
            if not is_correct:
                failed.append(job)
                if broken:
                    pool.shutdown(cancel_futures=True)
                    break
    click.echo(
        json.dumps(
            {
                "depth": depth,
                "histories": total,
                "changes of views": changes,
                "wrong": len(failed),
                "first": failed[:3],
                "broken": broken,
                "s": round(time.monotonic() - start, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
