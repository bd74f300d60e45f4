"""Shrinks a day that shows a problem, such as a rule violation, and writes days as files.

A day is a scenario read from a file: servers, traffic, offered releases (`offers`) and faults (`troubles`).
Shrinking returns the smallest day found that still shows the problem.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

from stepsail.standins.builds import Build
from stepsail.standins.day import Day, Fault

MAX_SIMULATIONS = 60  # simulations that shrinking one day may take
MIN_LENGTH = 3.0  # s of a shortened day
MAX_LENGTH_SHARE = 0.9  # of a day's length; a smaller reduction is not tried
LENGTH_AFTER_LAST_EVENT = 2.0  # s that a shortened day continues after its last release offer or fault
MIN_HALVED_DURATION = 1.0  # s; the duration of shorter faults is not halved
INSTANCE_TROUBLES = ("kill-umpire", "stop-umpire")


def day_file_text(day: Day, site: Path) -> str:
    """Return the text of a day file with drawn values instead of ranges; reading it gives the same day."""
    lines = [
        *_general_lines(day, site),
        *_server_lines(day),
        *_traffic_lines(day),
        *_release_lines(day),
        *_trouble_lines(day),
    ]
    return "\n".join(lines) + "\n"


def _format_number(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def _general_lines(day: Day, site: Path) -> Iterator[str]:
    yield f"site {json.dumps(str(site))}"
    yield f"length {_format_number(day.length)}s"
    yield f"seed {day.seed}"
    yield f"umpires {day.instance_count}"


def _server_lines(day: Day) -> Iterator[str]:
    shape = day.shape
    yield "boxes {"
    yield f"    count {day.place_count}"
    yield f"    cores {shape.cores}"
    yield f"    queue {shape.max_queue}"
    yield f"    fall-for {_format_number(shape.overload_window)}s"
    yield f"    report-every {_format_number(shape.report_interval)}s"
    yield f"    boot {_format_number(day.boot_duration)}s"
    yield f"    drain-for {_format_number(day.drain_duration)}s"
    yield "}"


def _traffic_lines(day: Day) -> Iterator[str]:
    for name, (share, work) in day.demand.items():
        yield f"demand {name} share {_format_number(share)} work {_format_number(work)}s"
    yield f"traffic {_format_number(day.request_rate)}"
    yield f"roster-late {_format_number(day.discovery_delay)}s"
    yield f"news-late {_format_number(day.release_control_delay)}s"
    yield f"cross-delay {_format_number(day.cross_zone_delay)}s"
    yield f"notice {_format_number(day.notice)}s"
    yield f"uneven {_format_number(day.balancer_skew)}"
    yield f"retries {day.client_behavior.retries}"


def _release_lines(day: Day) -> Iterator[str]:
    for at, build in day.releases:
        request_class = f" product {build.failing_class}" if build.failing_class else ""
        yield (
            f"offer at {_format_number(at)}s {build.kind} size {_format_number(build.severity)}{request_class} "
            f"speed {_format_number(build.speed)}"
        )


def _trouble_lines(day: Day) -> Iterator[str]:
    for trouble in day.faults:
        yield (
            f"trouble {trouble.kind} at {_format_number(trouble.at)}s for {_format_number(trouble.length)}s "
            f"of {trouble.target} size {_format_number(trouble.size)} part {_format_number(trouble.share)}"
        )


def simpler_days(day: Day) -> list[Day]:
    """Return simpler variants of a day, the largest reductions first.

    This is delta debugging (Zeller and Hildebrandt 2002).
    """
    return [
        *(replace(day, faults=troubles) for troubles in _fewer_troubles(day.faults)),
        *(replace(day, releases=offers) for offers in _fewer_releases(day.releases)),
        *(replace(day, length=length) for length in _shorter_lengths(day)),
        *_fewer_instances(day),
        *(replace(day, faults=troubles) for troubles in _shorter_troubles(day.faults)),
    ]


def _fewer_troubles(troubles: list[Fault]) -> Iterator[list[Fault]]:
    if len(troubles) > 1:
        middle = len(troubles) // 2
        yield troubles[:middle]
        yield troubles[middle:]
    for index in range(len(troubles)):
        yield troubles[:index] + troubles[index + 1 :]


def _fewer_releases(offers: list[tuple[float, Build]]) -> Iterator[list[tuple[float, Build]]]:
    for index in range(len(offers)):
        yield offers[:index] + offers[index + 1 :]


def _shorter_lengths(day: Day) -> Iterator[float]:
    ends = [at for at, _ in day.releases] + [trouble.at + trouble.length for trouble in day.faults]
    last_end = max(ends, default=0.0)
    for length in (day.length / 2, last_end + LENGTH_AFTER_LAST_EVENT):
        if MIN_LENGTH <= length < MAX_LENGTH_SHARE * day.length:
            yield round(length, 3)


def _fewer_instances(day: Day) -> Iterator[Day]:
    if day.instance_count > 1 and not any(trouble.kind in INSTANCE_TROUBLES for trouble in day.faults):
        yield replace(day, instance_count=max(1, day.instance_count // 2))


def _shorter_troubles(troubles: list[Fault]) -> Iterator[list[Fault]]:
    for index, trouble in enumerate(troubles):
        if trouble.length > MIN_HALVED_DURATION:
            halved = replace(trouble, length=round(trouble.length / 2, 3))
            yield [*troubles[:index], halved, *troubles[index + 1 :]]


def shrink(day: Day, reproduces: Callable[[Day], bool], max_simulations: int = MAX_SIMULATIONS) -> Day:
    """Return the smallest day found that still reproduces the problem of the given one.

    Args:
        day: the day to shrink.
        reproduces: simulates a day and returns whether the same problem occurs.
        max_simulations: how often `reproduces` may be called.
    """
    simulations_left = max_simulations
    while simulations_left > 0:
        smaller = None
        for candidate in simpler_days(day):
            simulations_left -= 1
            if reproduces(candidate):
                smaller = candidate
                break
            if simulations_left <= 0:
                break
        if smaller is None:
            return day
        day = smaller
    return day
