"""Runs abusive clients: `python -m stepsail.qualify HOST PORT KIND CONNECTIONS SECONDS INSTANCE`.

They run in a process of their own, so that they delay neither the clients whose answers are recorded nor the
records of the run.
"""

from __future__ import annotations

import os

import click

from stepsail.loop import Loop, PollDriver
from stepsail.qualify.abusive_clients import AbusiveClients, Flood, Stall

KINDS: dict[str, Stall | Flood] = {kind.name.lower(): kind for kind in (*Stall, *Flood)}


def _drop_event(event: str, **fields: object) -> None:
    """Discard an event of the loop."""


@click.command()
@click.argument("host")
@click.argument("port", type=int)
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.argument("connections", type=click.IntRange(1, 2000))
@click.argument("seconds", type=click.FloatRange(0.1, 600.0))
@click.argument("instance")
def main(host: str, port: int, kind: str, connections: int, seconds: float, instance: str) -> None:
    """Run CONNECTIONS clients of a kind for some SECONDS against an INSTANCE, whose name their IDs begin with."""
    driver = PollDriver()
    loop = Loop(driver, _drop_event)

    def run() -> None:
        clients = AbusiveClients(loop, (host, port), f"{instance}-{kind}-{os.getpid()}")
        clients.start(KINDS[kind], connections)
        loop.sleep(seconds)
        clients.is_over = True

    try:
        loop.run(run)
    finally:
        driver.shutdown()


if __name__ == "__main__":
    main()
