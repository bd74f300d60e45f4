"""Tests a whole instance on loopback, with scripted servers, discovery and release control."""

from __future__ import annotations

import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_configuration import write_configuration
from platform_rig import PlatformRig, ScriptedService, endpoint_record, responds_with
from rig import answers, hangs

from stepsail.decisions.interface import ReleasePhase, Verdict
from stepsail.http import Response, encode_response
from stepsail.loop import Stream
from stepsail.platform.streaming_response import call
from stepsail.proxy.in_flight import FinalAnswer
from stepsail.qualify.platform_stand_in import RELEASE_STATE
from stepsail.standins.instances import free_address


def test_request_is_served_and_the_connection_stays_open(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        stream = Stream.connect(rig.loop, rig.listen, 1.0)
        for request_id in ("a1", "a2"):
            response = rig.send_request(
                "/record?obj=3", "POST", request_id, body=b"{}", idempotency_key="k1", stream=stream
            )
            assert (response.status, response.body) == (200, b"ok")
        forwarded = rig.servers[0].seen[0]
        assert (forwarded.target, forwarded.body, forwarded.header(b"x-call-id")) == (
            b"/record?obj=3",
            b"{}",
            b"a1",
        )
        assert (
            900 < int(forwarded.header(b"x-budget-ms") or 0) <= 1000
            and rig.send_request("/_health").status == 200
        )
        stream.close()

    PlatformRig(tmp_path, test, [answers()])


def test_invalid_responses_are_never_forwarded_and_valid_ones_with_extra_bytes_are(tmp_path: Path) -> None:
    complete = encode_response(200, [], b"good")
    invalid = [
        b"\x00\xff noise \r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nuntil the close",
    ]
    valid = [
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + complete,
        complete + complete,
        complete + b"\x00noise",
        encode_response(200, [(b"x-load-report", b"\xff=;")], b"good"),
    ]

    def test(rig: PlatformRig) -> None:
        for number, data in enumerate(invalid + valid):
            rig.servers[0].script = responds_with(data)
            response = rig.send_request(
                "/record", "POST", f"m{number}", time_left_ms=150, body=b"{}", idempotency_key=f"k{number}"
            )
            assert (response.status == 200 and response.body == b"good") is (data in valid), (
                data[:60],
                response,
            )
            rig.application.host.router.discard_evidence()  # type: ignore[attr-defined]
            rig.loop.sleep(0.01)

    PlatformRig(tmp_path, test, [answers()])


def test_invalid_clients_are_answered_or_closed_and_reach_no_server(tmp_path: Path) -> None:
    invalid_inputs = [
        b"\x16\x03\x01 noise",
        b"GET /lookup HTTP/1.1\r\n" + b"a: b\r\n" * 9000,
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: 60000000\r\n\r\n" + b"x" * 100000,
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n" * 300,
        b"GET /lookup HTTP/1.1\r\nhost: x\r\n\r\n",
    ]

    def test(rig: PlatformRig) -> None:
        for data in invalid_inputs:
            received = rig.send_raw(data)
            assert received[:10] in (b"HTTP/1.1 4", b"HTTP/1.1 5", b"") and received.count(b"HTTP/1.1") <= 1
        start = rig.loop.now()
        assert rig.send_raw(b"") == b"" and b" 408 " in rig.send_raw(b"GET /lookup HT")
        assert rig.loop.now() - start < 6.0
        assert (
            not rig.servers[0].seen
            and rig.application.host.accepted == 0
            and rig.send_request().status == 200
        )

    PlatformRig(tmp_path, test, [answers()])


def test_client_error_is_sent_once_and_counts_against_no_server(tmp_path: Path) -> None:
    # Guards against retries of invalid requests, to which servers respond with 400: each was sent to six
    # servers, and as the errors arrived within milliseconds and counted against the canary build, it was
    # rolled back.
    def test(rig: PlatformRig) -> None:
        router: Any = rig.application.host.router
        for number in range(8):
            assert (
                rig.send_request(
                    "/record", "POST", f"m{number}", body=b"{}", idempotency_key=f"k{number}"
                ).status
                == 502
            )
        assert [len(server.seen) for server in rig.servers] in ([count, 8 - count] for count in range(9))
        assert not router.observations.recent
        assert all(server.available() and not server.failures for server in router.pool.servers)
        for server in rig.servers:
            server.script = answers()
        assert rig.send_request().status == 200

    PlatformRig(tmp_path, test, [responds_with(encode_response(400, [], b""))] * 2)


def test_silent_clients_make_room_for_active_ones(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        max_connections = rig.application.settings.max_client_connections
        silent_clients = [socket.create_connection(rig.listen, 1.0) for _ in range(max_connections + 30)]
        rig.loop.sleep(0.1)
        for number in range(5):
            assert rig.send_request(request_id=f"a{number}").status == 200
        assert (
            rig.application.listener.listener
            and len(rig.application.listener.listener.open_streams) <= max_connections
        )
        for client in silent_clients:
            client.close()

    PlatformRig(tmp_path, test, [answers()], limits={"sockets": 96})


def test_client_that_closes_cancels_its_request(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        stream = Stream.connect(rig.loop, rig.listen, 1.0)
        stream.write(b"GET /lookup HTTP/1.1\r\nhost: x\r\nx-call-id: q\r\nx-budget-ms: 900\r\n\r\n", 1.0)
        rig.wait_until(lambda: rig.servers[0].seen)
        stream.close()
        rig.wait_until(lambda: rig.application.host.final_answers[FinalAnswer.CANCELLED_BY_CLIENT] == 1)

    PlatformRig(tmp_path, test, [hangs(0.3)])


def test_server_that_starts_draining_during_the_connect_gets_no_attempt(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        discovery, server = rig.application.discovery, rig.servers[0]
        # The snapshot must not arrive after the drain, as it would make the server ready again.
        rig.wait_until(lambda: discovery.receiver.index == 2)
        name = endpoint_record(server)["name"].encode()
        previous_location = discovery.table.locate(name)
        discovery.receiver.receive(
            {"index": 9, "snapshot": False, "endpoints": [endpoint_record(server, status="draining")]}, 1
        )
        assert (
            discovery.table.locate(name) != previous_location
            and rig.send_request(time_left_ms=200).status in (502, 503, 504)
            and not server.seen
        )

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize(
    "message",
    [
        {"index": 3, "endpoints": []},
        {"index": "3", "snapshot": True, "endpoints": []},
        {"index": 3, "snapshot": True, "endpoints": {}},
        [],
        b"noise\n",
        b"{]\n",
    ],
)
def test_invalid_list_changes_nothing_and_counts_as_a_failed_call(tmp_path: Path, message: Any) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 2)
        rig.discovery.messages = [message]
        assert rig.application.discovery.watcher.task
        rig.application.discovery.watcher.task.cancel()
        rig.loop.sleep(0.02)
        rig.application.discovery.watch()
        rig.wait_until(lambda: "watch_ended" in rig.log.events())
        assert rig.application.discovery.receiver.index == 2 and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize(
    "invalid_fields",
    [{"status": "odd"}, {"zone": 7}, {"address": "here"}, {"revision_no": -1}, {"since_ms": None}],
)
def test_invalid_endpoint_record_leaves_the_others_and_drains_its_server(
    tmp_path: Path, invalid_fields: Any
) -> None:
    # Guards against rejecting a whole list because of one invalid record: a drain in it was then missed.
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 2)
        first, second, third = rig.servers
        rig.discovery.messages = [
            {
                "index": 3,
                "snapshot": True,
                "endpoints": [
                    endpoint_record(first) | invalid_fields,
                    endpoint_record(second, status="draining"),
                    endpoint_record(third),
                    {"zone": "hall-a"},
                    5,
                ],
            }
        ]
        assert rig.application.discovery.watcher.task
        rig.application.discovery.watcher.task.cancel()
        rig.loop.sleep(0.02)
        rig.application.discovery.watch()
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 3)
        assert all(rig.send_request(request_id=f"o{number}").status == 200 for number in range(8))
        assert not first.seen and not second.seen and len(third.seen) == 8

    PlatformRig(tmp_path, test, [answers()] * 3)


def test_vote_responses_become_receipts(tmp_path: Path) -> None:
    cases = [
        (200, RELEASE_STATE, "counted"),
        (429, {"error": "Throttling"}, "rate_limited"),
        (409, {"error": "ConditionFailed"}, "outdated"),
        (500, {"error": "InternalFailure"}, "error"),
        (400, {"error": "ValidationError"}, "error"),
        (200, {"error": "x"}, "unknown"),
        (429, {}, "unknown"),
        (302, {}, "unknown"),
    ]

    def test(rig: PlatformRig) -> None:
        def receipts() -> list[str]:
            return [fields["receipt"] for event, fields in rig.log if event == "vote_acknowledged"]

        for status, body, receipt in cases:
            rig.release_control.vote_response = encode_response(status, [], msgspec.json.encode(body))
            count_before = len(receipts())
            rig.application.release_control._vote(1, 1, Verdict.ROLL_BACK)
            assert receipts()[count_before:] == [receipt], (status, body)
        assert msgspec.json.decode(rig.release_control.requests[-1].body) == {
            "build": 1,
            "stage": 1,
            "verdict": "ROLLBACK",
        }
        rig.release_control.vote_response = b"\x00\x01 noise"
        rig.application.release_control._vote(1, 1, Verdict.PROMOTE)
        rig.release_control.listener.drop()
        rig.application.release_control._vote(1, 1, Verdict.PROMOTE)
        assert receipts()[-2:] == ["unknown", "error"]

    PlatformRig(tmp_path, test, [answers()])


def test_vote_response_superseded_by_an_event_changes_no_release_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a vote response that was written before a rollback and arrived after the rollback's
    # event: it made the build a canary again.
    def test(rig: PlatformRig) -> None:
        router, release_control = rig.application.host.router, rig.application.release_control
        rig.wait_until(lambda: release_control.states_received)
        canary_state = {"build": 2, "stage": 0, "phase": "testing", "cap": 0.5, "age_ms": 900}
        release_control.release_state_received(canary_state)
        rig.release_control.vote_response = encode_response(200, [], msgspec.json.encode(canary_state))

        def call_then_handle_event(*arguments: Any) -> Response:
            response = call(*arguments)  # the response is complete; the next event is handled before it
            release_control._handle_event(
                {"type": "ROLLOUT", "object": canary_state | {"phase": "recalling", "cap": 0.0, "age_ms": 1}}
            )
            return response

        monkeypatch.setattr("stepsail.platform.release_control.call", call_then_handle_event)
        release_control._vote(2, 0, Verdict.ROLL_BACK)
        assert router.release.phase is ReleasePhase.ROLLING_BACK and router.release.limit == 0.0  # type: ignore[attr-defined]
        assert [fields["receipt"] for event, fields in rig.log if event == "vote_acknowledged"] == ["counted"]

    PlatformRig(tmp_path, test, [answers()])


def test_reload_applies_addresses_and_ignores_a_truncated_file(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.discovery.requests and rig.release_control.requests)
        content = (tmp_path / "config.json").read_bytes()
        (tmp_path / "config.json").write_bytes(content[:40])
        rig.application.reload()
        rig.wait_until(lambda: "configuration_invalid" in rig.log.events())
        old_discovery = rig.discovery
        rig.discovery, rig.release_control = (
            ScriptedService(rig.loop, *old_discovery.messages),
            ScriptedService(rig.loop, {}),
        )
        rig.write_configuration()
        rig.wait_until(lambda: rig.discovery.requests and rig.release_control.requests)
        assert b"index=2" in rig.discovery.requests[0].target and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()])


def test_shutdown_answers_requests_in_flight_and_those_that_still_arrive(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        pending = rig.loop.spawn(rig.send_request, "/lookup", "GET", "held", name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        rig.application.stop_requested.set()
        rig.loop.sleep(0.1)
        rig.servers[0].script = answers()
        late = rig.send_request(request_id="late")
        assert late.status == 200 and late.header(b"connection") == b"close"
        assert pending.join(3.0).status == 200 and rig.task.join(5.0) == 0

    PlatformRig(tmp_path, test, [hangs(0.8)])


def test_silent_server_ends_in_a_timeout_within_the_clients_time(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        start = rig.loop.now()
        response = rig.send_request("/record", "POST", time_left_ms=300, body=b"{}", idempotency_key="k")
        assert response.status == 504 and 0.2 < rig.loop.now() - start < 0.35
        assert response.header(b"retry-after") is None

    PlatformRig(tmp_path, test, [hangs(9.0)])


def link_target(descriptor: Path) -> str:
    try:
        return str(descriptor.readlink())
    except FileNotFoundError:
        # The descriptor, such as that of the health check's connection, was closed after the directory was
        # listed.
        return ""


def test_run_command_starts_one_process_that_serves_stops_on_sigterm_and_reports_errors(
    tmp_path: Path,
) -> None:
    root = Path(__file__).parents[2]
    command = tomllib.loads((root / "deploy/balancer.toml").read_text())["run"]
    listen = free_address()
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    process = subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, stderr=subprocess.PIPE
    )
    try:
        response = b""
        for _ in range(200):
            try:
                with socket.create_connection(listen, 1.0) as connection:
                    connection.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
                    response = connection.recv(1000)
                if response.startswith(b"HTTP/1.1 200"):
                    break
                # Discovery is unreachable: the instance becomes ready with the cached list after a timeout.
                assert response.startswith(b"HTTP/1.1 503")
            except OSError:
                pass
            time.sleep(0.05)
        assert response.startswith(b"HTTP/1.1 200")
        # The platform requires a single process, started by exec and dynamically linked, without Unix
        # sockets.
        proc = Path("/proc", str(process.pid))
        assert "python" in (proc / "exe").readlink().name
        threads = list((proc / "task").iterdir())
        assert len(threads) == 1 and not any((thread / "children").read_text() for thread in threads)
        assert "/libc.so" in (proc / "maps").read_text()
        sockets = {link_target(descriptor) for descriptor in (proc / "fd").iterdir()}
        unix_sockets = {
            f"socket:[{line.split()[6]}]" for line in (proc / "net/unix").read_text().splitlines()[1:]
        }
        assert any(name.startswith("socket:") for name in sockets) and not sockets & unix_sockets
        process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        assert process.stderr
        process.stderr.close()
    (tmp_path / "config.json").write_text("{")
    failed_run = subprocess.run(
        ["/bin/sh", "-c", command], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, capture_output=True
    )
    assert (
        failed_run.returncode == 2
        and failed_run.stderr.count(b"\n") == 1
        and b"config.json" in failed_run.stderr
    )
