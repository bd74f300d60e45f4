"""Faulty links to servers: at whichever byte a fault occurs, a non-idempotent request runs at most once."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from rig import Rig, answers

from stepsail.loop import Datagrams
from stepsail.standins.link import DatagramLink, Link, LinkFaults


def put_links_before_servers(rig: Rig, faults: LinkFaults) -> list[Link]:
    """Put a link with these faults before each server."""
    links = [Link(rig.loop, server.listener.address, faults) for server in rig.servers]
    for server, link in zip(rig.servers, links, strict=True):
        server.address = "{}:{}".format(*link.address)
    rig.loop.sleep(0.15)
    return links


@pytest.mark.parametrize("direction", ["up", "down"])
def test_reset_at_any_byte_runs_a_non_idempotent_request_at_most_once(tmp_path: Path, direction: str) -> None:
    def test(rig: Rig) -> None:
        for fault_at in (0, 1, 20, 80, 150, 200):
            put_links_before_servers(
                rig, LinkFaults(reset_up=fault_at) if direction == "up" else LinkFaults(reset_down=fault_at)
            )
            before = rig.requests_seen()
            answer = rig.request("POST", "/pay", b'{"a":1}', time_left=1.0)
            assert rig.requests_seen() - before <= 1
            assert answer.status in (200, 502, 504) or rig.requests_seen() == before

    Rig(tmp_path, test, [answers(), answers()])


HALF_OPEN = [
    LinkFaults(stall_up=0),
    LinkFaults(stall_up=50),
    LinkFaults(stall_down=0),
    LinkFaults(stall_down=20),
]


@pytest.mark.parametrize("faults", HALF_OPEN)
def test_request_over_a_half_open_link_gets_one_answer_within_the_client_timeout(
    tmp_path: Path, faults: LinkFaults
) -> None:
    # Runs in virtual time: on real sockets, a pause of the test process could exceed the time limit although the
    # link and the instance are correct.
    def test(rig: Rig) -> None:
        put_links_before_servers(rig, faults)
        start = rig.loop.now()
        assert rig.request("POST", "/pay", b"{}", time_left=0.5).status == 504
        assert rig.loop.now() - start < 0.5 and rig.requests_seen() <= 1

    Rig(tmp_path, test, [answers(), answers()], simulated=True)


@pytest.mark.parametrize("faults", HALF_OPEN)
def test_request_over_a_half_open_link_gets_one_answer_on_sockets(tmp_path: Path, faults: LinkFaults) -> None:
    # Guards against this failure: a process that was paused while the request's deadline passed reset the
    # client's connection instead of responding.
    def test(rig: Rig) -> None:
        put_links_before_servers(rig, faults)
        assert rig.request("POST", "/pay", b"{}", time_left=0.5).status == 504
        assert rig.requests_seen() <= 1

    Rig(tmp_path, test, [answers(), answers()])


def test_slow_link_delays_a_request_and_loses_nothing(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        put_links_before_servers(rig, LinkFaults(delay=0.02, rate=20000))
        assert rig.request("POST", "/pay", bytes(2000)).status == 200
        assert rig.servers[0].seen[0].body == bytes(2000)

    Rig(tmp_path, test, [answers()])


def test_connections_during_a_cut_are_lost_and_later_ones_served(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        links = put_links_before_servers(rig, LinkFaults())
        assert rig.request("GET", "/look").status == 200
        for link in links:
            link.cut()
        assert rig.request("POST", "/pay", b"{}", time_left=0.4).status == 504
        seen = rig.requests_seen()
        for link in links:
            link.heal()
        rig.loop.sleep(0.1)
        assert rig.requests_seen() == seen  # no request sent during the cut arrives late
        rig.loop.sleep(2.5)  # after this the router uses the unresponsive servers again
        assert rig.request("POST", "/pay", b"{}").status == 200

    Rig(tmp_path, test, [answers(), answers()])


@pytest.mark.parametrize(("up", "expected_runs"), [(True, 0), (False, 1)])
def test_cut_in_one_direction_loses_the_request_or_the_response(
    tmp_path: Path, up: bool, expected_runs: int
) -> None:
    def test(rig: Rig) -> None:
        links = put_links_before_servers(rig, LinkFaults())
        assert rig.request("POST", "/pay", b"{}").status == 200  # leaves a connection open for reuse
        before = rig.requests_seen()
        for link in links:
            link.cut(up=up, down=not up)
        assert (
            rig.request("POST", "/pay", b"{}", time_left=0.4).status == 504
        )  # the instance cannot know whether the request ran
        assert rig.requests_seen() - before == expected_runs
        links[0].cut(up=not up)  # the cut now includes the other direction: still no further request runs
        assert (
            rig.request("POST", "/pay", b"{}", time_left=0.4).status == 504
            and rig.requests_seen() - before == expected_runs
        )

    Rig(tmp_path, test, [answers()])


def test_datagrams_are_lost_duplicated_and_reordered(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        near, far = Datagrams(rig.loop, ("127.0.0.1", 0)), Datagrams(rig.loop, ("127.0.0.1", 0))
        link = DatagramLink(rig.loop, far.address, Random(3), loss=0.2, duplication=0.2)
        for number in range(100):
            near.send(b"%d" % number, link.address)
            rig.loop.sleep(0.001)
        rig.loop.sleep(0.05)
        received = []
        while (found := far.port.recvfrom(100)) is not None:
            received.append(int(found[0]))
        assert (
            len(set(received)) < 100 < len(received) + 40
            and len(received) > len(set(received))
            and received != sorted(received)
        )

    Rig(tmp_path, test, [answers()])
