"""The emulated clock and network: the same loop on top, and all that a network may do to it."""

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

AT = ("127.0.0.1", 900)


class Lab:
    """A simulator and a network; `far` runs beside, `near` is what is waited for."""

    def __init__(self, seed: int = 1) -> None:
        self.simulator = Simulator(seed)
        self.network = Network(self.simulator, seed)
        self.machines: dict[str, SimulatedProcess] = {}

    def machine(self, name: str, main: Callable[[Loop], Any]) -> SimulatedProcess:
        driver = SimulatedDriver(self.simulator, self.network, name)
        made = self.machines[name] = SimulatedProcess(
            self.simulator, driver, name, lambda loop: loop.run(main, loop), lambda event, **fields: None
        )
        return made

    def run(self, near: Callable[[Loop], Any], far: Callable[[Loop], Any] | None = None) -> Any:
        if far:
            self.machine("far", far).start()
        return self.simulator.run(self.machine("near", near))


def serving(handle: Callable[[Stream], Any], most: int = 100, backlog: int = 100) -> Callable[[Loop], Any]:
    def main(loop: Loop) -> None:
        Listener(loop, AT, most, backlog).serve(handle, "peer")

    return main


def echo(stream: Stream) -> None:
    while data := stream.read():
        stream.write(data)


def test_a_clock_that_moves_only_when_nobody_has_anything_to_do() -> None:
    def near(loop: Loop) -> float:
        start = loop.now()
        loop.sleep(3600.0)
        return loop.now() - start

    assert Lab().run(near) == pytest.approx(3600.0)


def test_bytes_go_out_and_come_back_in_the_time_that_the_path_takes() -> None:
    lab = Lab()
    lab.network.default_path = Path(latency=0.01, jitter=0.0)

    def near(loop: Loop) -> tuple[bytes, float]:
        stream = Stream.connect(loop, AT, 1.0)
        assert loop.now() == pytest.approx(1000.02)
        stream.write(b"x" * 300000)
        got = b""
        while len(got) < 300000:
            got += stream.read(1.0)
        return got, loop.now()

    got, at = lab.run(near, serving(echo))
    assert got == b"x" * 300000 and 1000.04 <= at < 1000.1


def test_a_rate_is_kept_to() -> None:
    lab = Lab()
    lab.network.default_path = Path(latency=0.001, rate=1000.0)

    def near(loop: Loop) -> float:
        stream = Stream.connect(loop, AT, 1.0)
        start = loop.now()
        stream.write(b"x" * 500)
        stream.read(10.0)
        return loop.now() - start

    assert Lab.run(lab, near, serving(echo)) == pytest.approx(1.0, rel=0.02)


def test_lost_segments_are_late_and_still_in_order() -> None:
    lab = Lab()
    lab.network.default_path = Path(loss=0.3)

    def near(loop: Loop) -> float:
        stream, sent = Stream.connect(loop, AT, 5.0), b""
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

    assert lab.run(near, serving(echo)) > 1000.0 + RETRANSMIT_AFTER


def test_nobody_listens_nobody_answers_and_a_cut_hangs() -> None:
    lab = Lab()

    def near(loop: Loop) -> None:
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, ("127.0.0.1", 901), 1.0)
        lab.network.paths["near", AT] = path = Path()
        lab.network.cut(path)
        with pytest.raises(TimedOut):
            Stream.connect(loop, AT, 1.0)
        lab.network.heal(path)
        Stream.connect(loop, AT, 1.0).close()

    lab.run(near, serving(echo))


def test_what_a_cut_held_arrives_after_it() -> None:
    lab = Lab()
    lab.network.paths["near", AT] = path = Path()

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        lab.network.cut(path)
        stream.write(b"held")
        with pytest.raises(TimedOut):
            stream.read(5.0)
        lab.network.heal(path)
        assert stream.read(1.0) == b"held"

    lab.run(near, serving(echo))


@pytest.mark.parametrize("up", [True, False])
def test_a_reset_at_byte_n(up: bool) -> None:
    lab = Lab()
    lab.network.default_path = Path(reset_from_caller=10) if up else Path(reset_from_called=10)

    def near(loop: Loop) -> bytes:
        stream = Stream.connect(loop, AT, 1.0)
        stream.write(b"12345678")
        assert stream.read(1.0) == b"12345678"
        with pytest.raises(ConnectionResetError):
            stream.write(b"abcd")
            stream.read(1.0)
        return b""

    lab.run(near, serving(echo))


def test_a_half_open_end_says_nothing_and_a_killed_one_is_told_of() -> None:
    for power in (True, False):
        lab = Lab()

        def near(loop: Loop, lab: Lab = lab, power: bool = power) -> None:
            stream = Stream.connect(loop, AT, 1.0)
            stream.write(b"a")
            assert stream.read(1.0) == b"a"
            lab.machines["far"].kill(power)
            if power:
                stream.write(b"b")
                with pytest.raises(TimedOut):
                    stream.read(30.0)
                with pytest.raises(TimedOut):
                    Stream.connect(loop, AT, 3.0)
            else:
                assert stream.read(1.0) == b""
                with pytest.raises(ConnectionRefusedError):
                    Stream.connect(loop, AT, 3.0)

        lab.run(near, serving(echo))


def test_a_close_over_unread_bytes_is_a_reset_and_a_close_behind_read_ones_an_end() -> None:
    def rude(stream: Stream) -> None:
        stream.read(1.0, max_bytes=1)

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        stream.write(b"ab")
        with pytest.raises(ConnectionResetError):
            stream.read(1.0)

    Lab().run(near, serving(rude))

    def polite(stream: Stream) -> None:
        stream.write(stream.read(1.0))

    def reads(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        stream.write(b"ab")
        assert (stream.read(1.0), stream.read(1.0)) == (b"ab", b"")
        stream.write(b"c")  # taken by the system, and answered with a reset
        loop.sleep(0.1)
        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            stream.write(b"d")

    Lab().run(reads, serving(polite))


def test_both_ends_close_at_once() -> None:
    lab = Lab()
    lab.network.default_path = Path(latency=0.01, jitter=0.0)
    ended: list[float] = []

    def closing(stream: Stream) -> None:
        stream.loop.sleep(0.99)
        stream.close()
        ended.append(stream.loop.now())

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        loop.sleep(1001.0 - loop.now())
        stream.close()
        loop.sleep(1.0)

    lab.run(near, serving(closing))
    assert ended == [pytest.approx(1001.0)]


def test_a_window_holds_up_the_sender_until_the_other_end_reads() -> None:
    read: list[int] = []

    def slow(stream: Stream) -> None:
        stream.loop.sleep(5.0)
        while data := stream.read():
            read.append(len(data))

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        stream.write(b"x" * WINDOW, 0.0)
        with pytest.raises(TimedOut):
            stream.write(b"y", 1.0)
        stream.write(b"y" * 100, 10.0)
        stream.close()
        loop.sleep(1.0)

    Lab().run(near, serving(slow))
    assert sum(read) == WINDOW + 100


def test_a_full_backlog_holds_connects_up() -> None:
    def near(loop: Loop) -> None:
        kept = [Stream.connect(loop, AT, 1.0) for _ in range(3)]  # one accepted, two in the backlog
        with pytest.raises(TimedOut):
            Stream.connect(loop, AT, 2.0)
        kept[0].close()
        Stream.connect(loop, AT, 3.0)

    Lab().run(near, serving(echo, most=1, backlog=2))


def test_datagrams_are_lost_beyond_a_bound_and_overtake_each_other() -> None:
    lab = Lab()
    lab.network.default_path = Path(latency=0.01, jitter=1.0)

    def near(loop: Loop) -> list[int]:
        here = Datagrams(loop, AT)
        there = Datagrams(loop, ("127.0.0.1", 0))
        for number in range(MAX_DATAGRAMS + 50):
            assert there.send(b"%d" % number, AT)
        loop.sleep(1.0)
        got = []
        with pytest.raises(TimedOut):
            while True:
                got.append(int(here.receive(0.1)[0]))
        with pytest.raises(OSError) as taken:
            Datagrams(loop, AT)
        assert taken.value.errno == errno.EADDRINUSE
        return got

    got = lab.run(near)
    assert len(got) == MAX_DATAGRAMS and got != sorted(got)


def test_a_frozen_machine_finds_all_that_came_when_it_goes_on() -> None:
    lab, waited = Lab(), list[float]()

    def handle(stream: Stream) -> None:
        stream.read(100.0)
        waited.append(stream.seconds_since_receive())
        stream.write(b"here")

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        lab.machines["far"].freeze()
        stream.write(b"?")
        with pytest.raises(TimedOut):
            stream.read(2.0)
        lab.machines["far"].thaw()
        assert stream.read(1.0) == b"here"

    lab.run(near, serving(handle))
    assert waited == [pytest.approx(2.0, abs=0.01)]


def test_a_signal_reaches_a_task_that_waits() -> None:
    lab = Lab()

    def far(loop: Loop) -> None:
        waiter = loop.waiter()
        loop.driver.on_signal(signal.SIGTERM, waiter.wake)
        loop.park(waiter, "a signal")

    def near(loop: Loop) -> None:
        loop.sleep(1.0)
        assert lab.machines["far"].is_alive()
        lab.machines["far"].signal(signal.SIGTERM)
        loop.sleep(0.0)
        loop.sleep(0.001)
        assert lab.machines["far"].done

    lab.run(near, far)


def test_a_killed_machines_tasks_never_run_again_not_even_to_clean_up() -> None:
    lab, cleaned = Lab(), list[str]()

    def far(loop: Loop) -> None:
        try:
            loop.sleep(5.0)
        finally:
            cleaned.append("far")

    def near(loop: Loop) -> None:
        loop.sleep(1.0)
        lab.machines["far"].kill()
        loop.sleep(10.0)

    lab.run(near, far)
    assert cleaned == [] and not lab.machines["far"].is_alive()


def test_a_task_that_never_waits_and_a_world_in_which_nothing_will_happen_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert driver_module.MAX_ROUNDS > 1000
    monkeypatch.setattr(driver_module, "MAX_ROUNDS", 1000)

    def spins(loop: Loop) -> None:
        while True:
            loop.yield_turn()

    with pytest.raises(SimulationStalled, match="never waits"):
        Lab().run(spins)

    def hangs(loop: Loop) -> None:
        loop.park(loop.waiter(), "what never comes")

    with pytest.raises(SimulationStalled, match="what never comes"):
        Lab().run(hangs)


def test_waits_that_end_early_leave_nothing_in_the_heap() -> None:
    lab = Lab()
    longest = [0]

    def near(loop: Loop) -> None:
        stream = Stream.connect(loop, AT, 1.0)
        for _ in range(2000):
            stream.write(b"x", 60.0)
            stream.read(60.0)
            longest[0] = max(longest[0], len(lab.simulator.events))

    lab.run(near, serving(echo))
    assert longest[0] < 10


def test_the_same_seed_is_the_same_run_and_another_one_another_order() -> None:
    def trace(seed: int) -> list[tuple[float, int]]:
        lab, seen = Lab(seed), list[tuple[float, int]]()

        def handle(stream: Stream) -> None:
            while data := stream.read():
                seen.append((stream.loop.now(), int(data)))

        def near(loop: Loop) -> None:
            streams = [Stream.connect(loop, AT, 1.0) for _ in range(5)]
            for turn in range(20):
                for number, stream in enumerate(streams):
                    stream.write(b"%d" % (turn * 10 + number))
                loop.sleep(0.01)

        lab.run(near, serving(handle))
        return seen

    assert trace(1) == trace(1) and [n for _, n in trace(1)] != [n for _, n in trace(2)]


def test_machines_due_at_one_instant_take_turns_as_the_seed_says() -> None:
    def order(seed: int) -> list[int]:
        lab, seen = Lab(seed), list[int]()
        for number in range(6):

            def wait(loop: Loop, number: int = number) -> None:
                loop.sleep(1001.0 - loop.now())
                seen.append(number)

            lab.machine(str(number), wait).start()
        lab.run(lambda loop: loop.sleep(2.0))
        return seen

    assert sorted(order(1)) == list(range(6)) and order(1) == order(1)
    assert len({tuple(order(seed)) for seed in range(8)}) > 3


def test_a_listener_that_finishes_accepts_its_backlog_and_resets_nobody() -> None:
    seen: list[bytes] = []

    def far(loop: Loop) -> None:
        listener = Listener(loop, AT, 100)
        loop.spawn(listener.serve, lambda stream: seen.append(stream.read()), "peer")
        loop.sleep(1.0)
        assert not listener.close_gracefully()
        loop.sleep(5.0)
        assert listener.close_gracefully()

    def near(loop: Loop) -> None:
        loop.sleep(0.5)
        early = Stream.connect(loop, AT, 1.0)
        loop.sleep(0.505)
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, AT, 3.0)
        early.write(b"early")
        loop.sleep(0.1)

    Lab().run(near, far)
    assert seen == [b"early"]


def test_an_address_in_use_is_refused_and_free_again_after_a_kill() -> None:
    lab = Lab()

    def near(loop: Loop) -> None:
        loop.sleep(0.1)
        with pytest.raises(OSError):
            Listener(loop, AT, 1)
        lab.machines["far"].kill()
        Listener(loop, AT, 1).close()
        listener = Listener(loop, AT, 1)
        listener.close()
        with pytest.raises(Closed):
            loop.driver.add_waiter(listener.port, 1, loop.waiter())

    lab.run(near, serving(echo))
