"""Tests of arrival rates and of the open-loop load generator, which does not wait for answers."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import polars
import pytest

from stepsail.experiment.load import LoadGenerator, RequestSpec, Step, knee, make_row
from stepsail.experiment.report import day_cells, html_page, summarize_by_day
from stepsail.http import ConnectionLimits, ServerConnection, encode_response
from stepsail.loop import Listener, Loop, Stream
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.network import Network
from stepsail.simulation.simulator import SimulatedProcess, Simulator
from stepsail.standins.arrivals import arrivals, burst, curve, shift, steady

SERVER_ADDRESS = ("127.0.0.1", 900)


@pytest.mark.parametrize(
    ("rate", "peak", "shares"),
    [
        (steady(100.0), 100.0, (1 / 3, 1 / 3, 1 / 3)),
        (burst(100.0, 20.0, 20.0, 3.0), 300.0, (0.2, 0.6, 0.2)),
        (shift(100.0, 40.0, 4.0), 400.0, (1 / 6, 1 / 6, 2 / 3)),
        (curve(100.0, 60.0, 3.0), 300.0, (0.264, 0.471, 0.264)),
    ],
)
def test_arrivals_follow_the_rate_function(rate: Any, peak: float, shares: tuple[float, ...]) -> None:
    times = list(arrivals(Random("a"), rate, peak, 60.0))
    assert times == sorted(times) and times == list(arrivals(Random("a"), rate, peak, 60.0))
    for third, share in enumerate(shares):
        measured_share = sum(third * 20 <= at < third * 20 + 20 for at in times) / len(times)
        assert measured_share == pytest.approx(share, abs=0.02)


def test_a_rate_above_the_given_peak_is_an_error() -> None:
    with pytest.raises(ValueError, match="over the 100"):
        list(arrivals(Random(1), shift(100.0, 1.0, 2.0), 100.0, 60.0))


def run_load(rate: float, seconds: float, wait: Any, connections: int = 50) -> Step:
    """Load a simulated server that answers after `wait(now)` seconds of virtual time; return the step."""
    simulator = Simulator(1)
    network = Network(simulator, 1)

    def server(loop: Loop) -> None:
        def serve(stream: Stream) -> None:
            connection = ServerConnection(loop, stream, ConnectionLimits())
            while connection.next() is not None:
                loop.sleep(wait(loop.now() - 1000.0))
                stream.write(encode_response(200, []))

        Listener(loop, SERVER_ADDRESS, 1000).serve(serve, "server")

    def client(loop: Loop) -> Step:
        return LoadGenerator(
            loop, RequestSpec(SERVER_ADDRESS, client_timeout=5.0), connections, Random(3)
        ).step(steady(rate), rate, seconds)

    def make_process(name: str, main: Any) -> SimulatedProcess:
        return SimulatedProcess(
            simulator, SimulatedDriver(simulator, network, name), name, lambda loop: loop.run(main, loop)
        )

    make_process("server", server).start()
    step = simulator.run(make_process("client", client))
    assert isinstance(step, Step)
    return step


def test_a_server_pause_delays_all_requests_due_during_it() -> None:
    """A closed loop over as many connections would record one slow request for each of them: 50 of 2,000."""
    step = run_load(200.0, 10.0, lambda now: max(0.005, 5.0 - now) if 4.0 <= now < 5.0 else 0.005)
    row = step.row()
    assert step.due == step.served and step.due == pytest.approx(2000, rel=0.1)
    slow = sum(
        1
        for bucket in step.times.get_recorded_iterator()
        for _ in range(bucket.count_at_value_iterated_to)
        if bucket.value_iterated_to > 100_000
    )
    assert slow == pytest.approx(0.9 * 200, rel=0.2) and row["p99"] > 0.7 and row["median"] < 0.01


def test_latency_includes_the_wait_for_a_free_connection() -> None:
    step = run_load(20.0, 5.0, lambda now: 0.1, connections=1)  # twice the rate that one connection can serve
    assert step.row()["longest"] > 2.0 and not step.keeps_up


def test_the_knee_is_the_last_rate_before_the_first_that_was_too_high() -> None:
    def step(rate: float, share: float) -> Step:
        return Step(rate, 1.0, due=100, in_time=round(share * 100))

    assert knee([step(10, 1.0), step(20, 0.99), step(40, 0.9), step(80, 1.0)]) == 20
    assert knee([step(10, 0.5)]) == 0 and knee([]) == 0


def test_load_refuses_addresses_other_than_loopback(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from stepsail.cli.main import main

    done = CliRunner().invoke(main, ["load", "http://192.0.2.1:80/"])
    assert done.exit_code == 2 and "only a loopback address" in done.output


def test_experiment_tables_show_the_steps_of_a_load() -> None:
    """Rows of a load test must have all columns that the tables of experiments read."""
    rows = polars.from_dicts([make_row(run_load(20.0, 1.0, lambda now: 0.01), "x", "steady", 1, "c")])
    (cells,) = day_cells(summarize_by_day(rows))
    assert cells[0] == "load steady" and cells[4] == "1.000" and "load steady" in html_page(rows, "x")
