"""Tests on real processes that clients that break the protocol neither exhaust the memory nor stop service.

The processes have the least memory that the platform gives, and the most descriptors.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from process_fleet import ProcessFleet

from stepsail.qualify.abusive_clients import Flood, Stall
from stepsail.qualify.abusive_process import start_abusive_clients
from stepsail.qualify.checks import find_crashes, find_unanswered
from stepsail.qualify.instances import BYTES_PER_MB, LEAST_MEMORY

STALLED_CLIENTS = 600  # more than an instance has places for
FLOODING_CLIENTS = 300
UNREADING_CLIENTS = 320  # about as many as an instance has places for
STALLS_IN_REQUESTS = [stall for stall in Stall if stall is not Stall.UNREAD_RESPONSES]
ABUSE_TIME = 4.0  # s
LEAST_SHARE_SERVED = 0.5  # of the other clients' requests


def run_beside_other_clients(
    folder: Path, kind: Stall | Flood, connections: int, response_bytes: int = 6
) -> None:
    """Run one instance with abusive clients; check its memory, and the answers of the other clients."""

    def test(fleet: ProcessFleet) -> None:
        instance = fleet.instances[0]
        for server in (fleet.drained, fleet.other):
            server.body = b"r" * response_bytes
        started_at = fleet.loop.now()
        abusive = start_abusive_clients(instance.listen, kind, connections, ABUSE_TIME, instance.name)
        try:
            fleet.wait_until(lambda: abusive.poll() is not None, 3 * ABUSE_TIME)
        finally:
            abusive.kill()
            abusive.wait()
        ended_at = fleet.loop.now()
        fleet.wait_until(lambda: fleet.served_since(instance, ended_at), 3.0)
        requests = [client for client in fleet.records.clients if client.sent_at >= started_at]
        served = sum(request.status == 200 for request in requests)
        instance.record_unexpected_exit()
        assert not list(find_crashes(fleet.records)), fleet.logs()
        assert "task_failed" not in instance.log.read_text()
        assert instance.peak_memory() <= LEAST_MEMORY.memory_mb * BYTES_PER_MB
        assert not list(find_unanswered(fleet.records))
        assert served >= LEAST_SHARE_SERVED * len(requests) and served > 20, (served, len(requests))

    ProcessFleet(folder, 1, test, LEAST_MEMORY)


@pytest.mark.parametrize("stall", STALLS_IN_REQUESTS, ids=lambda stall: stall.name.lower())
def test_stalled_requests_of_hundreds_of_clients_stay_within_the_memory_limit(
    tmp_path: Path, stall: Stall
) -> None:
    run_beside_other_clients(tmp_path, stall, STALLED_CLIENTS)


@pytest.mark.parametrize("clients", [UNREADING_CLIENTS, STALLED_CLIENTS])
def test_responses_that_hundreds_of_clients_do_not_read_stay_within_the_memory_limit(
    tmp_path: Path, clients: int
) -> None:
    run_beside_other_clients(tmp_path, Stall.UNREAD_RESPONSES, clients, response_bytes=60_000)


@pytest.mark.parametrize("flood", [Flood.HEALTH_CHECKS, Flood.EXPIRED], ids=lambda flood: flood.name.lower())
def test_floods_on_hundreds_of_connections_leave_other_clients_their_answers(
    tmp_path: Path, flood: Flood
) -> None:
    run_beside_other_clients(tmp_path, flood, FLOODING_CLIENTS)


@pytest.mark.parametrize("flood", Flood, ids=lambda flood: flood.name.lower())
def test_flood_on_one_connection_leaves_other_clients_their_answers(tmp_path: Path, flood: Flood) -> None:
    run_beside_other_clients(tmp_path, flood, 1)
