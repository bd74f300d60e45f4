"""Tests of the virtual clock and the simulated network, through the loop that also runs on real sockets."""

from __future__ import annotations

import errno
import signal
from collections.abc import Callable
from typing import Any

import pytest

from stepsail.loop import Closed, Datagrams, Listener, Loop, Stream, TimedOut
from stepsail.simulation import driver as driver_module
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.network import MAX_DATAGRAMS, Network
from stepsail.simulation.path import RETRANSMIT_AFTER, Path
from stepsail.simulation.simulator import SimulatedProcess, SimulationStalled, Simulator
from stepsail.simulation.stream_port import WINDOW

ADDRESS = ("127.0.0.1", 900)


class SimulationRig:
    """A simulator with a network; `run` starts the process `far` and runs the process `near` to its end."""

    def __init__(self, seed: int = 1) -> None:
        self.simulator = Simulator(seed)
        self.network = Network(self.simulator, seed)
        self.processes: dict[str, SimulatedProcess] = {}

    def create_process(self, name: str, main: Callable[[Loop], Any]) -> SimulatedProcess:
        driver = SimulatedDriver(self.simulator, self.network, name)
        process = self.processes[name] = SimulatedProcess(
            self.simulator, driver, name, lambda loop: loop.run(main, loop), lambda event, **fields: None
        )
        return process

    def run(self, near: Callable[[Loop], Any], far: Callable[[Loop], Any] | None = None) -> Any:
        if far:
            self.create_process("far", far).start()
        return self.simulator.run(self.create_process("near", near))


def serve_with(
    handle: Callable[[Stream], Any], max_connections: int = 100, backlog: int = 100
) -> Callable[[Loop], Any]:
    def main(loop: Loop) -> None:
        Listener(loop, ADDRESS, max_connections, backlog).serve(handle, "peer")

    return main


def echo(stream: Stream) -> None:
    while data := stream.read():
        stream.write(data)


def test_sleep_advances_the_virtual_clock_at_once() -> None:
    def near(loop: Loop) -> float:
        start = loop.now()
        loop.sleep(3600.0)
        return loop.now() - start

    assert SimulationRig().run(near) == pytest.approx(3600.0)


def test_round_trip_takes_the_latency_of_the_path() -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(latency=0.01, jitter=0.0)

    def near(loop: Loop) -> tuple[bytes, float]:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        assert loop.now() == pytest.approx(1000.02)
        stream.write(b"x" * 300000)
        got = b""
        while len(got) < 300000:
            got += stream.read(1.0)
        return got, loop.now()

    got, at = rig.run(near, serve_with(echo))
    assert got == b"x" * 300000 and 1000.04 <= at < 1000.1


def test_bandwidth_is_limited_to_the_rate() -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(latency=0.001, rate=1000.0)

    def near(loop: Loop) -> float:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        start = loop.now()
        stream.write(b"x" * 500)
        stream.read(10.0)
        return loop.now() - start

    assert SimulationRig.run(rig, near, serve_with(echo)) == pytest.approx(1.0, rel=0.02)


def test_lost_segments_arrive_late_and_in_order() -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(loss=0.3)

    def near(loop: Loop) -> float:
        stream, sent = Stream.connect(loop, ADDRESS, 5.0), b""
        for number in range(50):
            part = b"%03d" % number
            sent += part
            stream.write(part)
            loop.sleep(0.001)
        got = b""
        while len(got) < len(sent):
            got += stream.read(5.0)
        assert got == sent
        return loop.now()

    assert rig.run(near, serve_with(echo)) > 1000.0 + RETRANSMIT_AFTER


def test_connect_is_refused_without_listener_and_times_out_over_a_cut_path() -> None:
    rig = SimulationRig()

    def near(loop: Loop) -> None:
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, ("127.0.0.1", 901), 1.0)
        rig.network.paths["near", ADDRESS] = path = Path()
        rig.network.cut(path)
        with pytest.raises(TimedOut):
            Stream.connect(loop, ADDRESS, 1.0)
        rig.network.heal(path)
        Stream.connect(loop, ADDRESS, 1.0).close()

    rig.run(near, serve_with(echo))


def test_bytes_sent_during_a_cut_arrive_after_it() -> None:
    rig = SimulationRig()
    rig.network.paths["near", ADDRESS] = path = Path()

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        rig.network.cut(path)
        stream.write(b"held")
        with pytest.raises(TimedOut):
            stream.read(5.0)
        rig.network.heal(path)
        assert stream.read(1.0) == b"held"

    rig.run(near, serve_with(echo))


@pytest.mark.parametrize("by_client", [True, False])
def test_connection_is_reset_after_n_bytes(by_client: bool) -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(client_reset_after=10) if by_client else Path(server_reset_after=10)

    def near(loop: Loop) -> bytes:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        stream.write(b"12345678")
        assert stream.read(1.0) == b"12345678"
        with pytest.raises(ConnectionResetError):
            stream.write(b"abcd")
            stream.read(1.0)
        return b""

    rig.run(near, serve_with(echo))


def test_power_loss_leaves_peers_waiting_and_a_kill_closes_their_streams() -> None:
    for power in (True, False):
        rig = SimulationRig()

        def near(loop: Loop, rig: SimulationRig = rig, power: bool = power) -> None:
            stream = Stream.connect(loop, ADDRESS, 1.0)
            stream.write(b"a")
            assert stream.read(1.0) == b"a"
            rig.processes["far"].kill(power)
            if power:
                stream.write(b"b")
                with pytest.raises(TimedOut):
                    stream.read(30.0)
                with pytest.raises(TimedOut):
                    Stream.connect(loop, ADDRESS, 3.0)
            else:
                assert stream.read(1.0) == b""
                with pytest.raises(ConnectionRefusedError):
                    Stream.connect(loop, ADDRESS, 3.0)

        rig.run(near, serve_with(echo))


def test_close_with_unread_bytes_resets_and_close_after_reading_all_ends_the_stream() -> None:
    def read_one_byte_and_close(stream: Stream) -> None:
        stream.read(1.0, max_bytes=1)

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        stream.write(b"ab")
        with pytest.raises(ConnectionResetError):
            stream.read(1.0)

    SimulationRig().run(near, serve_with(read_one_byte_and_close))

    def echo_once_and_close(stream: Stream) -> None:
        stream.write(stream.read(1.0))

    def read_until_end(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        stream.write(b"ab")
        assert (stream.read(1.0), stream.read(1.0)) == (b"ab", b"")
        stream.write(b"c")  # accepted by the system, and answered with a reset
        loop.sleep(0.1)
        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            stream.write(b"d")

    SimulationRig().run(read_until_end, serve_with(echo_once_and_close))


def test_both_ends_close_at_the_same_instant() -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(latency=0.01, jitter=0.0)
    ended: list[float] = []

    def close_at_same_instant(stream: Stream) -> None:
        stream.loop.sleep(0.99)
        stream.close()
        ended.append(stream.loop.now())

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        loop.sleep(1001.0 - loop.now())
        stream.close()
        loop.sleep(1.0)

    rig.run(near, serve_with(close_at_same_instant))
    assert ended == [pytest.approx(1001.0)]


def test_full_window_blocks_the_sender_until_the_peer_reads() -> None:
    sizes_read: list[int] = []

    def read_after_delay(stream: Stream) -> None:
        stream.loop.sleep(5.0)
        while data := stream.read():
            sizes_read.append(len(data))

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        stream.write(b"x" * WINDOW, 0.0)
        with pytest.raises(TimedOut):
            stream.write(b"y", 1.0)
        stream.write(b"y" * 100, 10.0)
        stream.close()
        loop.sleep(1.0)

    SimulationRig().run(near, serve_with(read_after_delay))
    assert sum(sizes_read) == WINDOW + 100


def test_full_backlog_delays_connects() -> None:
    def near(loop: Loop) -> None:
        kept = [Stream.connect(loop, ADDRESS, 1.0) for _ in range(3)]  # one accepted, two in the backlog
        with pytest.raises(TimedOut):
            Stream.connect(loop, ADDRESS, 2.0)
        kept[0].close()
        Stream.connect(loop, ADDRESS, 3.0)

    SimulationRig().run(near, serve_with(echo, max_connections=1, backlog=2))


def test_datagrams_are_lost_beyond_the_limit_and_may_be_reordered() -> None:
    rig = SimulationRig()
    rig.network.default_path = Path(latency=0.01, jitter=1.0)

    def near(loop: Loop) -> list[int]:
        here = Datagrams(loop, ADDRESS)
        there = Datagrams(loop, ("127.0.0.1", 0))
        for number in range(MAX_DATAGRAMS + 50):
            assert there.send(b"%d" % number, ADDRESS)
        loop.sleep(1.0)
        got = []
        with pytest.raises(TimedOut):
            while True:
                got.append(int(here.receive(0.1)[0]))
        with pytest.raises(OSError) as taken:
            Datagrams(loop, ADDRESS)
        assert taken.value.errno == errno.EADDRINUSE
        return got

    got = rig.run(near)
    assert len(got) == MAX_DATAGRAMS and got != sorted(got)


def test_suspended_process_receives_everything_after_it_is_resumed() -> None:
    rig, ages = SimulationRig(), list[float]()

    def handle(stream: Stream) -> None:
        stream.read(100.0)
        ages.append(stream.seconds_since_receive())
        stream.write(b"here")

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        rig.processes["far"].suspend()
        stream.write(b"?")
        with pytest.raises(TimedOut):
            stream.read(2.0)
        rig.processes["far"].resume()
        assert stream.read(1.0) == b"here"

    rig.run(near, serve_with(handle))
    assert ages == [pytest.approx(2.0, abs=0.01)]


def test_signal_wakes_a_waiting_task() -> None:
    rig = SimulationRig()

    def far(loop: Loop) -> None:
        waiter = loop.waiter()
        loop.driver.on_signal(signal.SIGTERM, waiter.wake)
        loop.park(waiter, "a signal")

    def near(loop: Loop) -> None:
        loop.sleep(1.0)
        assert rig.processes["far"].is_alive()
        rig.processes["far"].signal(signal.SIGTERM)
        loop.sleep(0.0)
        loop.sleep(0.001)
        assert rig.processes["far"].done

    rig.run(near, far)


def test_tasks_of_a_killed_process_never_run_again_not_even_to_clean_up() -> None:
    rig, cleaned = SimulationRig(), list[str]()

    def far(loop: Loop) -> None:
        try:
            loop.sleep(5.0)
        finally:
            cleaned.append("far")

    def near(loop: Loop) -> None:
        loop.sleep(1.0)
        rig.processes["far"].kill()
        loop.sleep(10.0)

    rig.run(near, far)
    assert cleaned == [] and not rig.processes["far"].is_alive()


def test_task_that_never_waits_and_simulation_without_events_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert driver_module.MAX_ROUNDS > 1000
    monkeypatch.setattr(driver_module, "MAX_ROUNDS", 1000)

    def spin(loop: Loop) -> None:
        while True:
            loop.yield_turn()

    with pytest.raises(SimulationStalled, match="never waits"):
        SimulationRig().run(spin)

    def hang(loop: Loop) -> None:
        loop.park(loop.waiter(), "what never comes")

    with pytest.raises(SimulationStalled, match="what never comes"):
        SimulationRig().run(hang)


def test_waits_that_end_early_leave_no_events_in_the_heap() -> None:
    rig = SimulationRig()
    longest = [0]

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, ADDRESS, 1.0)
        for _ in range(2000):
            stream.write(b"x", 60.0)
            stream.read(60.0)
            longest[0] = max(longest[0], len(rig.simulator.events))

    rig.run(near, serve_with(echo))
    assert longest[0] < 10


def test_equal_seeds_give_equal_runs_and_different_seeds_different_orders() -> None:
    def trace(seed: int) -> list[tuple[float, int]]:
        rig, seen = SimulationRig(seed), list[tuple[float, int]]()

        def handle(stream: Stream) -> None:
            while data := stream.read():
                seen.append((stream.loop.now(), int(data)))

        def near(loop: Loop) -> None:
            streams = [Stream.connect(loop, ADDRESS, 1.0) for _ in range(5)]
            for turn in range(20):
                for number, stream in enumerate(streams):
                    stream.write(b"%d" % (turn * 10 + number))
                loop.sleep(0.01)

        rig.run(near, serve_with(handle))
        return seen

    assert trace(1) == trace(1) and [n for _, n in trace(1)] != [n for _, n in trace(2)]


def test_seed_determines_the_order_of_processes_due_at_one_instant() -> None:
    def order(seed: int) -> list[int]:
        rig, seen = SimulationRig(seed), list[int]()
        for number in range(6):

            def wait(loop: Loop, number: int = number) -> None:
                loop.sleep(1001.0 - loop.now())
                seen.append(number)

            rig.create_process(str(number), wait).start()
        rig.run(lambda loop: loop.sleep(2.0))
        return seen

    assert sorted(order(1)) == list(range(6)) and order(1) == order(1)
    assert len({tuple(order(seed)) for seed in range(8)}) > 3


def test_graceful_close_of_a_listener_accepts_its_backlog_without_resets() -> None:
    seen: list[bytes] = []

    def far(loop: Loop) -> None:
        listener = Listener(loop, ADDRESS, 100)
        loop.spawn(listener.serve, lambda stream: seen.append(stream.read()), "peer")
        loop.sleep(1.0)
        assert not listener.close_gracefully()
        loop.sleep(5.0)
        assert listener.close_gracefully()

    def near(loop: Loop) -> None:
        loop.sleep(0.5)
        early = Stream.connect(loop, ADDRESS, 1.0)
        loop.sleep(0.505)
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, ADDRESS, 3.0)
        early.write(b"early")
        loop.sleep(0.1)

    SimulationRig().run(near, far)
    assert seen == [b"early"]


def test_address_in_use_is_refused_and_free_again_after_a_kill() -> None:
    rig = SimulationRig()

    def near(loop: Loop) -> None:
        loop.sleep(0.1)
        with pytest.raises(OSError):
            Listener(loop, ADDRESS, 1)
        rig.processes["far"].kill()
        Listener(loop, ADDRESS, 1).close()
        listener = Listener(loop, ADDRESS, 1)
        listener.close()
        with pytest.raises(Closed):
            loop.driver.add_waiter(listener.port, 1, loop.waiter())

    rig.run(near, serve_with(echo))
