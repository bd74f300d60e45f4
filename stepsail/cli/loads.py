"""`stepsail load`: sends requests to a running instance in an open loop, at one rate after another."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import urlsplit

import click

from stepsail.cli.experiments import parse_numbers
from stepsail.cli.parameters import FOLDER
from stepsail.experiment.load import LoadGenerator, RequestSpec, Step, knee, make_row
from stepsail.experiment.run import current_commit
from stepsail.experiment.table import Table
from stepsail.loop import Loop, PollDriver
from stepsail.standins.arrivals import Rate, burst, curve, shift, steady

STEADY = "steady"

# If a smaller share of a step's requests is served in time, the steps after it are left out.
MIN_IN_TIME_SHARE_TO_CONTINUE = 0.5

# Load profiles: functions that return the rate over time. Their arguments are the base rate of a step, its
# duration in seconds, and the factor by which the profile changes the rate.
PROFILES: dict[str, Callable[[float, float, float], Rate]] = {
    STEADY: lambda rate, seconds, factor: steady(rate),
    "burst": lambda rate, seconds, factor: burst(rate, seconds / 3, seconds / 3, factor),
    "curve": curve,
    "shift": lambda rate, seconds, factor: shift(rate, seconds / 2, factor),
}


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The options of `stepsail load`, under the names of its parameters."""

    rates: str
    seconds: float
    profile: str
    times: float
    method: str
    body: str
    client_timeout: float
    latency_objective: float
    connections: int
    seed: int


@click.command()
@click.argument("url")
@click.option(
    "--rates", default="50,100,200,400,800,1600", show_default=True, help="Requests per second, by step."
)
@click.option("--seconds", default=5.0, show_default=True, help="Duration of a step.")
@click.option("--form", "profile", type=click.Choice(list(PROFILES)), default=STEADY, show_default=True)
@click.option("--times", default=2.5, show_default=True, help="Factor of a burst, curve or shift.")
@click.option("--method", default="GET", show_default=True)
@click.option("--body", default="")
@click.option(
    "--patience", "client_timeout", default=3.0, show_default=True, help="Client timeout in seconds."
)
@click.option(
    "--target",
    "latency_objective",
    default=1.0,
    show_default=True,
    help="Latency objective: seconds within which an answer is in time.",
)
@click.option("--connections", default=500, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--rows", type=FOLDER, help="Folder to store the steps in, as rows of an experiment.")
def load(url: str, rows: Path | None, **options: Any) -> None:
    """Send load in an open loop to a running instance on loopback, and find the highest rate it sustains."""
    load_options = LoadOptions(**options)
    spec = _make_spec(url, load_options)
    driver = PollDriver()
    loop = Loop(driver)
    try:
        steps = loop.run(_run_steps, loop, spec, load_options)
    finally:
        driver.shutdown()
    click.echo(f"highest sustained rate: {knee(steps):g} requests per second")
    if rows:
        _store_steps(rows, steps, url, load_options)


def _make_spec(url: str, options: LoadOptions) -> RequestSpec:
    """Return the request to send; raises click.BadParameter for a URL that is not on loopback."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname or not parts.port:
        raise click.BadParameter("expected a URL such as http://127.0.0.1:8080/lookup", param_hint="URL")
    if not ipaddress.ip_address(parts.hostname).is_loopback:
        raise click.BadParameter("only a loopback address may be load-tested", param_hint="URL")
    return RequestSpec(
        address=(parts.hostname, parts.port),
        method=options.method.encode(),
        path=(parts.path or "/").encode(),
        body=options.body.encode(),
        client_timeout=options.client_timeout,
        latency_objective=options.latency_objective,
    )


def _run_steps(loop: Loop, spec: RequestSpec, options: LoadOptions) -> list[Step]:
    """Run the steps in turn and print each, until one has too few answers in time."""
    generator = LoadGenerator(loop, spec, options.connections, Random(f"{options.seed} load"))
    steps: list[Step] = []
    for rate in parse_numbers(options.rates):
        profile = PROFILES[options.profile](rate, options.seconds, options.times)
        peak = rate * (1.0 if options.profile == STEADY else max(1.0, options.times))
        step = generator.step(profile, peak, options.seconds, rate)
        steps.append(step)
        click.echo(_step_text(rate, step))
        if step.in_time < step.due * MIN_IN_TIME_SHARE_TO_CONTINUE:
            break
    return steps


def _step_text(rate: int, step: Step) -> str:
    row = step.row()
    return (
        f"{rate} requests per second: {step.in_time / max(1, step.due):.1%} in time, "
        f"{step.rejected} rejected, {step.failed + step.lost} failed or lost, "
        f"median {row['median'] * 1e3:.1f} ms, 99th percentile {row['p99'] * 1e3:.1f} ms, "
        f"maximum {row['longest'] * 1e3:.1f} ms"
    )


def _store_steps(folder: Path, steps: list[Step], url: str, options: LoadOptions) -> None:
    name = f"{url} {options.profile} {options.seed}"
    table = Table(folder)
    for step in steps:
        table.add(make_row(step, name, options.profile, options.seed, current_commit()))
    table.close()
