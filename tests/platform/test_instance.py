"""A whole umpire on loopback, against boxes, discovery and a platform that do what each test scripts."""

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
        for mark in ("a1", "a2"):
            answer = rig.ask("/record?obj=3", "POST", mark, body=b"{}", idempotency_key="k1", stream=stream)
            assert (answer.status, answer.body) == (200, b"ok")
        seen = rig.servers[0].seen[0]
        assert (seen.target, seen.body, seen.header(b"x-call-id")) == (b"/record?obj=3", b"{}", b"a1")
        assert 900 < int(seen.header(b"x-budget-ms") or 0) <= 1000 and rig.ask("/_health").status == 200
        stream.close()

    PlatformRig(tmp_path, test, [answers()])


def test_invalid_responses_are_never_forwarded_and_valid_ones_with_extras_are(tmp_path: Path) -> None:
    whole = encode_response(200, [], b"good")
    spoilt = [
        b"\x00\xff noise \r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nuntil the close",
    ]
    good = [
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + whole,
        whole + whole,
        whole + b"\x00noise",
        encode_response(200, [(b"x-load-report", b"\xff=;")], b"good"),
    ]

    def test(rig: PlatformRig) -> None:
        for at, data in enumerate(spoilt + good):
            rig.servers[0].script = responds_with(data)
            answer = rig.ask("/record", "POST", f"m{at}", left=150, body=b"{}", idempotency_key=f"k{at}")
            assert (answer.status == 200 and answer.body == b"good") is (data in good), (data[:60], answer)
            rig.application.host.router.discard_evidence()  # type: ignore[attr-defined]
            rig.loop.sleep(0.01)

    PlatformRig(tmp_path, test, [answers()])


def test_invalid_clients_are_answered_or_closed_and_reach_no_server(tmp_path: Path) -> None:
    bad = [
        b"\x16\x03\x01 noise",
        b"GET /lookup HTTP/1.1\r\n" + b"a: b\r\n" * 9000,
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: 60000000\r\n\r\n" + b"x" * 100000,
        b"POST /record HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n" * 300,
        b"GET /lookup HTTP/1.1\r\nhost: x\r\n\r\n",
    ]

    def test(rig: PlatformRig) -> None:
        for data in bad:
            got = rig.send_raw(data)
            assert got[:10] in (b"HTTP/1.1 4", b"HTTP/1.1 5", b"") and got.count(b"HTTP/1.1") <= 1
        start = rig.loop.now()
        assert rig.send_raw(b"") == b"" and b" 408 " in rig.send_raw(b"GET /lookup HT")
        assert rig.loop.now() - start < 6.0
        assert not rig.servers[0].seen and rig.application.host.accepted == 0 and rig.ask().status == 200

    PlatformRig(tmp_path, test, [answers()])


def test_client_error_is_sent_once_and_counts_against_no_server(tmp_path: Path) -> None:
    # Bad clients asked for what servers answer with 400: each went to six servers, and as the errors came within
    # milliseconds on the build on trial it was sent back.
    def test(rig: PlatformRig) -> None:
        router: Any = rig.application.host.router
        for at in range(8):
            assert rig.ask("/record", "POST", f"m{at}", body=b"{}", idempotency_key=f"k{at}").status == 502
        assert [len(box.seen) for box in rig.servers] in ([a, 8 - a] for a in range(9))
        assert not router.observations.recent
        assert all(s.available() and not s.failures for s in router.pool.servers)
        for box in rig.servers:
            box.script = answers()
        assert rig.ask().status == 200

    PlatformRig(tmp_path, test, [responds_with(encode_response(400, [], b""))] * 2)


def test_silent_clients_make_room_for_active_ones(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        most = rig.application.settings.max_client_connections
        crowd = [socket.create_connection(rig.listen, 1.0) for _ in range(most + 30)]
        rig.loop.sleep(0.1)
        for at in range(5):
            assert rig.ask(mark=f"a{at}").status == 200
        assert (
            rig.application.listener.listener and len(rig.application.listener.listener.open_streams) <= most
        )
        for one in crowd:
            one.close()

    PlatformRig(tmp_path, test, [answers()], limits={"sockets": 96})


def test_client_that_closes_cancels_its_request(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        stream = Stream.connect(rig.loop, rig.listen, 1.0)
        stream.write(b"GET /lookup HTTP/1.1\r\nhost: x\r\nx-call-id: q\r\nx-budget-ms: 900\r\n\r\n", 1.0)
        rig.wait_until(lambda: rig.servers[0].seen)
        stream.close()
        rig.wait_until(lambda: rig.application.host.final_answers[FinalAnswer.CANCELLED_BY_CLIENT] == 1)

    PlatformRig(tmp_path, test, [hangs(0.3)])


def test_server_that_drains_while_it_is_connected_to_gets_no_attempt(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        discovery, box = rig.application.discovery, rig.servers[0]
        rig.wait_until(
            lambda: discovery.receiver.index == 2
        )  # the whole list must not come after the drain and undo it
        name = endpoint_record(box)["name"].encode()
        before = discovery.table.location(name)
        discovery.receiver.receive(
            {"index": 9, "snapshot": False, "endpoints": [endpoint_record(box, status="draining")]}, 1
        )
        assert (
            discovery.table.location(name) != before
            and rig.ask(left=200).status in (502, 503, 504)
            and not box.seen
        )

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize(
    "said",
    [
        {"index": 3, "endpoints": []},
        {"index": "3", "snapshot": True, "endpoints": []},
        {"index": 3, "snapshot": True, "endpoints": {}},
        [],
        b"noise\n",
        b"{]\n",
    ],
)
def test_invalid_list_changes_nothing_and_counts_as_a_failed_call(tmp_path: Path, said: Any) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 2)
        rig.discovery.messages = [said]
        assert rig.application.discovery.watcher.task
        rig.application.discovery.watcher.task.cancel()
        rig.loop.sleep(0.02)
        rig.application.discovery.watch()
        rig.wait_until(lambda: "watch_ended" in rig.log.events())
        assert rig.application.discovery.receiver.index == 2 and rig.ask().status == 200

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize(
    "odd", [{"status": "odd"}, {"zone": 7}, {"address": "here"}, {"revision_no": -1}, {"since_ms": None}]
)
def test_invalid_endpoint_record_leaves_the_others_and_drains_its_server(tmp_path: Path, odd: Any) -> None:
    # The whole list was refused for it, so that the drain in it was never heard of.
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 2)
        first, second, third = rig.servers
        rig.discovery.messages = [
            {
                "index": 3,
                "snapshot": True,
                "endpoints": [
                    endpoint_record(first) | odd,
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
        assert all(rig.ask(mark=f"o{at}").status == 200 for at in range(8))
        assert not first.seen and not second.seen and len(third.seen) == 8

    PlatformRig(tmp_path, test, [answers()] * 3)


def test_vote_responses_become_receipts(tmp_path: Path) -> None:
    rows = [
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
        def told() -> list[str]:
            return [fields["receipt"] for event, fields in rig.log if event == "vote_acknowledged"]

        for status, body, receipt in rows:
            rig.release_control.vote_response = encode_response(status, [], msgspec.json.encode(body))
            before = len(told())
            rig.application.release_control._vote(1, 1, Verdict.ROLL_BACK)
            assert told()[before:] == [receipt], (status, body)
        assert msgspec.json.decode(rig.release_control.requests[-1].body) == {
            "build": 1,
            "stage": 1,
            "verdict": "ROLLBACK",
        }
        rig.release_control.vote_response = b"\x00\x01 noise"
        rig.application.release_control._vote(1, 1, Verdict.PROMOTE)
        rig.release_control.listener.drop()
        rig.application.release_control._vote(1, 1, Verdict.PROMOTE)
        assert told()[-2:] == ["unknown", "error"]

    PlatformRig(tmp_path, test, [answers()])


def test_vote_response_overtaken_by_an_event_changes_no_release_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It was written before the build went back, and came after that was told: the build stood on trial again.
    def test(rig: PlatformRig) -> None:
        umpire, deployer = rig.application.host.router, rig.application.release_control
        rig.wait_until(lambda: deployer.states_received)
        testing = {"build": 2, "stage": 0, "phase": "testing", "cap": 0.5, "age_ms": 900}
        deployer.release_state_received(testing)
        rig.release_control.vote_response = encode_response(200, [], msgspec.json.encode(testing))

        def overtaken(*asked: Any) -> Response:
            answer = call(*asked)  # has been written; what follows is told before it is looked at
            deployer._handle_event(
                {"type": "ROLLOUT", "object": testing | {"phase": "recalling", "cap": 0.0, "age_ms": 1}}
            )
            return answer

        monkeypatch.setattr("stepsail.platform.release_control.call", overtaken)
        deployer._vote(2, 0, Verdict.ROLL_BACK)
        assert umpire.release.phase is ReleasePhase.ROLLING_BACK and umpire.release.limit == 0.0  # type: ignore[attr-defined]
        assert [f["receipt"] for event, f in rig.log if event == "vote_acknowledged"] == ["counted"]

    PlatformRig(tmp_path, test, [answers()])


def test_reload_takes_over_addresses_and_ignores_a_truncated_file(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.discovery.requests and rig.release_control.requests)
        whole = (tmp_path / "config.json").read_bytes()
        (tmp_path / "config.json").write_bytes(whole[:40])
        rig.application.reload()
        rig.wait_until(lambda: "configuration_invalid" in rig.log.events())
        old = rig.discovery
        rig.discovery, rig.release_control = (
            ScriptedService(rig.loop, *old.messages),
            ScriptedService(rig.loop, {}),
        )
        rig.write_configuration()
        rig.wait_until(lambda: rig.discovery.requests and rig.release_control.requests)
        assert b"index=2" in rig.discovery.requests[0].target and rig.ask().status == 200

    PlatformRig(tmp_path, test, [answers()])


def test_shutdown_answers_requests_in_flight_and_those_that_still_arrive(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        held = rig.loop.spawn(rig.ask, "/lookup", "GET", "held", name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        rig.application.stop_requested.set()
        rig.loop.sleep(0.1)
        rig.servers[0].script = answers()
        late = rig.ask(mark="late")
        assert late.status == 200 and late.header(b"connection") == b"close"
        assert held.join(3.0).status == 200 and rig.task.join(5.0) == 0

    PlatformRig(tmp_path, test, [hangs(0.8)])


def test_silent_server_ends_in_a_timeout_within_the_clients_time(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        start = rig.loop.now()
        answer = rig.ask("/record", "POST", left=300, body=b"{}", idempotency_key="k")
        assert answer.status == 504 and 0.2 < rig.loop.now() - start < 0.35
        assert answer.header(b"retry-after") is None

    PlatformRig(tmp_path, test, [hangs(9.0)])


def target(descriptor: Path) -> str:
    try:
        return str(descriptor.readlink())
    except (
        FileNotFoundError
    ):  # one that was closed between the listing and the look: the question's connection
        return ""


def test_run_line_starts_one_process_that_serves_stops_on_sigterm_and_reports_errors(
    tmp_path: Path,
) -> None:
    root = Path(__file__).parents[2]
    run = tomllib.loads((root / "deploy/balancer.toml").read_text())["run"]
    listen = free_address()
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    one = subprocess.Popen(
        ["/bin/sh", "-c", run], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, stderr=subprocess.PIPE
    )
    try:
        said = b""
        for _ in range(200):
            try:
                with socket.create_connection(listen, 1.0) as sock:
                    sock.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
                    said = sock.recv(1000)
                if said.startswith(b"HTTP/1.1 200"):
                    break
                # No discovery is there: ready by the known list, a while after that was found.
                assert said.startswith(b"HTTP/1.1 503")
            except OSError:
                pass
            time.sleep(0.05)
        assert said.startswith(b"HTTP/1.1 200")
        # What the fleet's page asks of it: one process by exec, linked dynamically, no other kind of socket.
        about = Path("/proc", str(one.pid))
        assert "python" in (about / "exe").readlink().name
        threads = list((about / "task").iterdir())
        assert len(threads) == 1 and not any((t / "children").read_text() for t in threads)
        assert "/libc.so" in (about / "maps").read_text()
        sockets = {target(fd) for fd in (about / "fd").iterdir()}
        unix = {f"socket:[{line.split()[6]}]" for line in (about / "net/unix").read_text().splitlines()[1:]}
        assert any(name.startswith("socket:") for name in sockets) and not sockets & unix
        one.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        one.send_signal(signal.SIGTERM)
        assert one.wait(10) == 0
    finally:
        one.kill()
        assert one.stderr
        one.stderr.close()
    (tmp_path / "config.json").write_text("{")
    bad = subprocess.run(
        ["/bin/sh", "-c", run], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, capture_output=True
    )
    assert bad.returncode == 2 and bad.stderr.count(b"\n") == 1 and b"config.json" in bad.stderr
