"""The datagram switch identifies senders and applies faults to datagrams in one or both directions."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from stepsail.loop import Datagrams, Loop
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.network import Network
from stepsail.simulation.play import play
from stepsail.simulation.simulator import SimulatedProcess, Simulator
from stepsail.standins.day import read_day
from stepsail.standins.switch import DatagramFaults, DatagramSwitch
from stepsail.verify.membership import read_membership_checker

HOST = "127.0.0.1"
DAY = """include {base}
length 12s
umpires 4
trouble {trouble}
"""


def with_faults(**faults: Any) -> Callable[[DatagramSwitch], None]:
    def apply(switch: DatagramSwitch) -> None:
        switch.faults = DatagramFaults(**faults)

    return apply


def delivered_datagrams(
    configure: Callable[[DatagramSwitch], None], count: int = 40
) -> list[tuple[int, int, bytes]]:
    """Let each of three instances send `count` datagrams to each other one, 10 ms apart.

    Returns the sender, receiver and content of each datagram that arrived.
    """
    simulator = Simulator(1)
    network, datagrams = Network(simulator, 1), list[tuple[int, int, bytes]]()

    def main(loop: Loop) -> None:
        instance_addresses, port_addresses = (
            {n: (HOST, 100 + n) for n in range(3)},
            {n: (HOST, 200 + n) for n in range(3)},
        )
        switch = DatagramSwitch(loop, Random(1), instance_addresses, port_addresses)
        sockets = {n: Datagrams(loop, instance_addresses[n]) for n in instance_addresses}

        def listen(number: int) -> None:
            while True:
                data, source = sockets[number].receive()
                datagrams.append(
                    (next(n for n in port_addresses if port_addresses[n] == source), number, data)
                )

        for number in instance_addresses:
            loop.spawn(listen, number, name="listen")
        configure(switch)
        for sequence in range(count):
            for a in instance_addresses:
                for b in instance_addresses:
                    if a != b:
                        sockets[a].send(b"%d" % sequence, port_addresses[b])
            loop.sleep(0.01)
        loop.sleep(2.0)

    driver = SimulatedDriver(simulator, network, "one")
    simulator.run(SimulatedProcess(simulator, driver, "one", lambda loop: loop.run(main, loop)))
    return datagrams


def test_datagrams_are_forwarded_from_the_port_of_their_sender() -> None:
    datagrams = delivered_datagrams(lambda switch: None)
    assert sorted(datagrams) == sorted(
        (a, b, b"%d" % sequence) for a in range(3) for b in range(3) if a != b for sequence in range(40)
    )


def test_cut_blocks_one_or_both_directions_only_between_the_sides() -> None:
    for outbound, inbound, open_paths in (
        (True, True, {(1, 2), (2, 1)}),
        (True, False, {(1, 2), (2, 1), (1, 0), (2, 0)}),
        (False, True, {(1, 2), (2, 1), (0, 1), (0, 2)}),
    ):
        datagrams = delivered_datagrams(
            lambda switch, o=outbound, i=inbound: switch.cut(1, switch.paths_across([0], o, i))  # type: ignore[misc]
        )
        assert {(a, b) for a, b, _ in datagrams} == open_paths


def test_path_stays_blocked_until_each_of_two_cuts_is_healed() -> None:
    def cut_twice_and_heal_once(switch: DatagramSwitch) -> None:
        for by in (1, 2):
            switch.cut(by, switch.paths_across([0]))
        switch.heal(1)

    assert {(a, b) for a, b, _ in delivered_datagrams(cut_twice_and_heal_once)} == {(1, 2), (2, 1)}


def test_datagrams_are_lost_duplicated_delayed_and_replayed() -> None:
    sent_count = 240
    assert 0.5 * sent_count < len(delivered_datagrams(with_faults(loss=0.3))) < 0.85 * sent_count
    assert 1.3 * sent_count < len(delivered_datagrams(with_faults(duplication=0.5))) < 1.7 * sent_count
    replayed = delivered_datagrams(with_faults(replay=0.5))
    assert len(replayed) > 1.3 * sent_count and len(set(replayed)) == sent_count
    reordered = delivered_datagrams(with_faults(delay=(0.0, 0.3)))
    late = [int(content) for a, b, content in reordered if (a, b) == (0, 1)]
    assert len(late) == 40 and late != sorted(late)


def test_each_fault_of_a_day_occurs_and_is_recorded(tmp_path: Path) -> None:
    base = (Path(__file__).parents[2] / "days/fleet/base.inc").resolve()
    for index, (trouble, what) in enumerate(
        (
            ("cut-umpires at 3s for 2s part 50%", "cut"),
            ("flap-umpires at 3s for 4s size 1 part 25%", "cut"),
            ("lose-words at 3s for 2s part 20%", "ways"),
            ("stop-umpires at 3s for 2s part 50%", "stopped"),
            ("kill-umpires at 3s for 2s part 50%", "killed"),
            ("leave-umpires at 3s for 2s part 50%", "told to"),
        )
    ):
        file = tmp_path / f"{index}.conf"
        file.write_text(DAY.format(base=f'"{base}"', trouble=trouble))
        day = read_day(file)
        day.common_settings = base.parent.parent / "bad-day" / "site.conf"
        play(day, tmp_path / str(index))
        membership = read_membership_checker(tmp_path / str(index))
        transcript = (tmp_path / str(index) / "transcript.jsonl").read_text()
        assert transcript.count(f'"what":"{what}') >= (
            2 if "50%" in trouble and what != "cut" else 1
        ), trouble
        assert membership.violations() == []
        if what == "cut":
            cuts = membership.history.cuts
            assert cuts and all(cut.end > cut.start for cut in cuts)
