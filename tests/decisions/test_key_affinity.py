"""Key affinity: the home servers of keys."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from helpers import FakeHost
from scenarios import accept_with_key, servers_of_keys

from stepsail.decisions.interface import (
    AttemptOutcome,
)


def test_instances_without_gossip_send_a_key_to_the_same_server() -> None:
    changed_settings: Sequence[dict[str, Any]] = (
        {"load_report_columns": ("q",), "key_affinity": True},
        {"load_report_columns": ("q",)},
        {"load_report_columns": ("q",), "load_reports_by_health_check": True, "key_affinity": True},
    )
    for changed, homes_agree in zip(changed_settings, (True, False, False), strict=True):
        first, second = (
            servers_of_keys(
                FakeHost(builds=(1,) * 12, seed=seed, instance_index=seed % 3, idle_timeout=100.0, **changed),
                range(1, 61),
            )
            for seed in (3, 4)
        )
        same = sum(a == b for a, b in zip(first, second, strict=True))
        assert same > 50 if homes_agree else same < 20
        assert len(set(first)) > 8  # keys are spread over the servers


def test_removed_server_moves_no_keys_of_other_servers() -> None:
    changed: dict[str, Any] = {"load_report_columns": ("q",), "key_affinity": True}
    before = servers_of_keys(FakeHost(builds=(1,) * 12, **changed), range(1, 61))
    host = FakeHost(builds=(1,) * 12, **changed)
    host.servers[5].update_endpoint(0, 0, 1, 0, 0.0, 1.0)
    host.router.endpoint_list_received(False, False)
    after = servers_of_keys(host, range(1, 61))
    removed = host.servers[5].address
    assert (
        sum(a != b for a, b in zip(before, after, strict=True) if a != removed) <= 6 and removed not in after
    )


def test_hot_key_overloads_neither_its_home_nor_a_server_in_slow_start() -> None:
    # A key with a tenth of all requests has the same home server at all instances: nine times the capacity of
    # a server in slow start.
    host = FakeHost(builds=(1,) * 12, load_report_columns=("q",), key_affinity=True)
    home = accept_with_key(host, 7).attempts[0].server
    host.router.admission.window = 99.0
    for _ in range(40):
        accept_with_key(host, 7)
    servers = [s for _, s, _, _ in host.sent]
    assert servers.count(home) < 20 and len(set(servers)) > 4
    slow_start_host = FakeHost(builds=(1,) * 12, load_report_columns=("q",), key_affinity=True)
    home_in_slow_start = next(s for s in slow_start_host.servers if s.address == home.address)
    home_in_slow_start.update_endpoint(0, 0, 1, 1, slow_start_host.clock, 1.0)
    for _ in range(100):
        accept_with_key(slow_start_host, 7).attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, (0.0,))
    assert sum(s is home_in_slow_start for _, s, _, _ in slow_start_host.sent) <= 0.1 * 100
