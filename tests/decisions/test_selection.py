"""Selection of the server for an attempt."""

from __future__ import annotations

from helpers import FakeHost
from scenarios import canary_host

from stepsail.decisions.interface import (
    AttemptOutcome,
)


def test_server_in_slow_start_gets_no_more_than_its_share() -> None:
    host = FakeHost(builds=(1, 1, 1, 1))
    host.servers[0].update_endpoint(0, 0, 1, 1, host.clock, 1.0)
    for _ in range(100):
        host.accept().attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
    assert len(host.sent) == 100
    assert 0 < sum(s is host.servers[0] for _, s, _, _ in host.sent) <= 1 + 0.4 * 100 / 4


def test_slow_path_is_avoided_and_is_no_evidence() -> None:
    # A slow, lossy path between zones caused the rollback of a good build, and half of all answers were late.
    host = canary_host((1, 1, 1, 1))
    for _ in range(200):
        request = host.accept(0)
        is_remote = request.attempts[0].server.zone == 1
        host.clock += 0.05
        request.attempt_ended(0, AttemptOutcome.SERVED, True, 1.1 if is_remote else 0.1, ())
    zones = [s.zone for _, s, _, _ in host.sent[50:]]
    assert sum(zones) < 0.2 * len(zones)
    assert sum(h.bins[-2] + h.bins[-3] + h.bins[-4] for h in host.router.observations.recent.values()) < 8


def test_instance_with_few_requests_uses_few_servers_and_keeps_them_connected() -> None:
    # When each server was used only twice a minute, and connections were slow to open, connects failed for
    # half of all attempts.
    host = FakeHost(builds=(1,) * 40, instance_count=40, instance_index=3)
    for _ in range(60):
        host.accept(0).attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
        host.advance(1.0)
    used = {id(s): s for _, s, at, _ in host.sent if at > host.clock - 10}
    assert 1 < len(used) < 12
    # Each new connection costs both ends: when each server was used twice within the idle timeout, 3 of 4
    # attempts opened a connection.
    assert len({id(s) for _, s, at, _ in host.sent if at > host.clock - 40}) <= 5
    for _ in range(30):
        host.router.pool.connect_failures.add(1.0)
    unused = [s for s in host.servers if s.last_response_at < 0]
    assert min(s.weight() for s in used.values()) > 2 * max(s.weight() for s in unused)


def test_server_in_slow_start_is_not_overloaded_by_any_number_of_instances() -> None:
    # Each of hundreds of instances sent an attempt of its own to a server in slow start: in total, many times
    # the server's capacity.
    sent, accepted = 0, 0
    for seed in range(200):
        host = FakeHost(builds=(1,) * 10, seed=seed, instance_count=200, instance_index=seed)
        host.servers[0].update_endpoint(0, 0, 1, 1, host.clock, 1.0)
        for _ in range(2):
            host.accept().attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, ())
            accepted += 1
        sent += sum(s is host.servers[0] for _, s, _, _ in host.sent)
    assert 0 < sent <= 0.5 * accepted / 10


def test_idle_connections_are_closed_where_connects_are_refused_and_kept_where_slow() -> None:
    # Servers that accepted few connections refused new ones because of idle ones: two thirds of all attempts
    # failed to connect. If connections are only slow to open, or servers are lost, open connections are kept.
    for duration, is_closed in ((0.001, True), (0.25, False)):
        host = FakeHost(builds=(1,) * 30, instance_count=30)
        for round_number in range(120):
            request = host.accept(0)
            last_attempt = request.attempts[-1]
            if last_attempt.opens_connection and round_number > 15:
                request.attempt_ended(0, AttemptOutcome.CONNECT_FAILED, False, duration, ())
            for attempt_index, attempt in enumerate(request.attempts):
                if not attempt.ended:
                    request.attempt_ended(attempt_index, AttemptOutcome.SERVED, True, 0.1, ())
            host.advance(0.07)  # about 14 servers are in use
        assert bool(host.idle_connections_closed) is is_closed
        connected = [s for s in host.servers if s.connected()]
        assert len(connected) <= 3 if is_closed else len(connected) > 4
        recent = [s for _, s, at, _ in host.sent if at > host.clock - 5]
        assert not is_closed or sum(s in connected for s in recent) > 0.3 * len(recent)
