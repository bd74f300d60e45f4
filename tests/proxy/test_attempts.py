"""Failing attempts on real sockets: which requests are retried, and what the client receives."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest
from rig import Rig, ScriptedServer, answers, hangs, hangs_up, json_body

from stepsail.decisions.interface import AttemptOutcome
from stepsail.http import ClientConnection, Request, ServerConnection, encode_response
from stepsail.loop import Stream
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.proxy.upstream_pool import Upstream


def test_request_is_forwarded_and_its_response_comes_back_unchanged(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        response = rig.request("GET", "/look?id=7", x_mark="1", connection="x-mark")
        assert (response.status, response.body, response.header(b"x-of-box")) == (200, b"hello", b"1")
        via = response.header(b"via")
        assert via == b"1.1 umpire-0 (" + rig.servers[0].address.encode() + b")"
        seen = rig.servers[0].seen[0]
        # x-mark is hop-by-hop, because the Connection header lists it.
        assert seen.target == b"/look?id=7" and seen.header(b"x-mark") is None
        assert 1.0 < float(seen.header(b"request-timeout") or b"0") <= 1.5

    Rig(tmp_path, test, [answers(200, b"hello", ((b"x-of-box", b"1"),))])


@pytest.mark.parametrize(
    ("method", "path", "status", "max_attempts"), [("GET", "/look", 200, 6), ("POST", "/pay", 502, 1)]
)
def test_idle_connection_that_closes_during_the_write(
    tmp_path: Path, method: str, path: str, status: int, max_attempts: int
) -> None:
    """Bytes were written and none read, so the attempt may have run; only idempotent requests are retried."""

    def test(rig: Rig) -> None:
        while not all(server.seen for server in rig.servers):
            assert rig.request("GET", "/look").status == 200
        used_streams = {stream for server in rig.servers for stream in server.listener.open_streams}

        def close_reused_connections(
            server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
        ) -> bytes | None:
            return None if stream in used_streams else encode_response(200, [], b"fresh")

        for server in rig.servers:
            server.script = close_reused_connections
        requests_before = rig.requests_seen()
        response = rig.request(method, path, b"{}" if method == "POST" else b"")
        attempts = rig.requests_seen() - requests_before
        assert response.status == status and 1 <= attempts <= max_attempts
        if method == "POST":
            assert (
                response.header(b"retry-after") is None
                and "nothing is promised" in json_body(response)["again"]
            )
        else:
            assert attempts >= 2 and response.body == b"fresh"

    Rig(tmp_path, test, [answers(), answers()])


def test_closed_idle_connection_is_replaced_before_the_request_is_sent(tmp_path: Path) -> None:
    """No byte was written to the idle connection, so even a non-idempotent request is sent on another."""

    def test(rig: Rig) -> None:
        assert rig.request("POST", "/pay", b"{}").status == 200
        for stream in tuple(rig.servers[0].listener.open_streams):
            stream.close()
        rig.loop.sleep(0.01)
        assert rig.request("POST", "/pay", b"{}").status == 200
        assert rig.application.upstream_pool.connects_started == 2

    Rig(tmp_path, test, [answers()])


def test_command_issued_before_a_process_pause_is_not_executed(tmp_path: Path) -> None:
    """After a pause of 2 s, a process sent attempts that it had decided by an outdated list and limit."""

    def test(rig: Rig) -> None:
        pool, host, outcomes = rig.application.upstream_pool, rig.application.host, list[str]()
        acquire, attempt_ended = pool.acquire, host.attempt_ended

        def acquire_slowly(upstream: Upstream, deadline: float) -> ClientConnection | None:
            if not outcomes:
                time.sleep(0.6)  # longer than the drain grace
            return acquire(upstream, deadline)

        def record_outcome(
            in_flight: InFlightRequest, number: int, outcome: AttemptOutcome, *rest: Any
        ) -> None:
            outcomes.append(outcome.name)
            attempt_ended(in_flight, number, outcome, *rest)

        pool.acquire = acquire_slowly  # type: ignore[method-assign]
        host.attempt_ended = record_outcome  # type: ignore[method-assign, assignment]
        assert rig.request("GET", "/late").status == 200
        assert outcomes == ["NOT_SENT", "SERVED"] and rig.requests_seen() == 1

    Rig(tmp_path, test, [answers()] * 2)


def test_non_idempotent_request_is_retried_after_a_refused_connection(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        rig.servers[0].listener.drop()
        for _ in range(6):
            assert rig.request("POST", "/pay", b"{}").status == 200
        assert len(rig.servers[1].seen) == 6

    Rig(tmp_path, test, [answers(), answers()])


def test_attempt_with_a_truncated_response_may_have_run(tmp_path: Path) -> None:
    def truncate(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
        return None

    def test(rig: Rig) -> None:
        assert rig.request("POST", "/pay", b"{}").status == 502 and rig.requests_seen() == 1
        assert rig.request("GET", "/look").status in (502, 503) and rig.requests_seen() > 2

    Rig(tmp_path, test, [truncate, truncate])


def test_attempt_with_an_invalid_response_may_have_run(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("POST", "/pay", b"{}").status == 502 and rig.requests_seen() == 1

    Rig(tmp_path, test, [lambda *_: b"SSH-2.0-elsewhere\r\n\r\n"] * 2)


def test_non_idempotent_request_is_retried_after_a_503_with_the_not_run_header(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        for _ in range(4):
            assert rig.request("POST", "/pay", b"{}").status == 200
        assert len(rig.servers[1].seen) == 4

    Rig(tmp_path, test, [answers(503, b"", ((b"stepsail-not-run", b"1"),)), answers()])


def test_attempt_with_a_503_without_the_not_run_header_may_have_run(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("POST", "/pay", b"{}").status == 502 and rig.requests_seen() == 1

    Rig(tmp_path, test, [answers(503)] * 2)


def test_response_before_the_whole_request_was_sent(tmp_path: Path) -> None:
    """The server responds after the head and reads no further: the response counts, the connection closes."""

    def test(rig: Rig) -> None:
        listener = rig.servers[0].listener

        def respond_early(stream: Stream) -> None:
            stream.read()
            stream.write(encode_response(200, [], b"early"))
            rig.loop.sleep(1.0)

        listener.close()
        server = ScriptedServer(rig.loop, answers())
        server.listener.close()
        from stepsail.loop import Listener

        raw_listener = Listener(rig.loop, ("127.0.0.1", 0), 10)
        rig.loop.spawn(raw_listener.serve, respond_early, "early", name="early")
        server.address = "{}:{}".format(*raw_listener.address)
        rig.servers[:] = [server]
        rig.loop.sleep(0.15)
        response = rig.request("POST", "/pay", bytes(8 << 20), timeout=2.0)
        assert (response.status, response.body) == (200, b"early")
        upstream = rig.application.upstream_pool.upstream(server.address.encode())
        assert upstream.open_connections == 0 and not upstream.idle
        raw_listener.drop()

    Rig(tmp_path, test, [answers()], "door {\n    body 16m\n}")


def test_hung_server_fails_a_non_idempotent_request_within_the_client_timeout(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        start = rig.loop.now()
        response = rig.request("POST", "/pay", b"{}", time_left=0.5)
        assert response.status == 504 and rig.loop.now() - start < 0.5
        assert rig.requests_seen() == 1

    Rig(tmp_path, test, [hangs(), hangs()])


def test_late_response_of_a_hung_server_is_discarded(tmp_path: Path) -> None:
    hung_servers: list[ScriptedServer] = []

    def first_attempt_hangs(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        if hung_servers:
            return encode_response(200, [], b"ok")
        hung_servers.append(server)
        return hangs(1.2)(server, stream, request, connection)

    def test(rig: Rig) -> None:
        stream = rig.connect()
        response = rig.request("GET", "/late", stream=stream)
        assert response.body == b"ok" and rig.requests_seen() == 2
        rig.loop.sleep(1.0)  # the hung server responds now, on a closed connection
        assert stream.read_now() is None
        stream.close()

    Rig(tmp_path, test, [first_attempt_hangs] * 4)


def test_request_with_key_is_retried_only_within_its_deduplication_scope(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        for server in rig.servers[1:]:
            server.zone = "there"
        rig.loop.sleep(0.15)
        for server in rig.servers[1:]:
            server.script = answers()
        response = rig.request("POST", "/mark", b"{}", idempotency_key="k1")
        attempts = [len(server.seen) for server in rig.servers]
        # All attempts are made in the zone of the first one.
        assert (response.status == 200) == (attempts[0] == 0)
        assert attempts[0] == 0 or sum(attempts[1:]) == 0

    Rig(tmp_path, test, [hangs_up, answers(), answers()])


def test_disputed_answers_reach_the_router(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        disputes: list[tuple[int, float]] = []
        server = rig.application.host.servers[rig.servers[0].address.encode()]
        server.answer_disputed = lambda class_index, since: disputes.append((class_index, since))  # type: ignore[method-assign]
        body = b'{"server":"%s","product":"pay","age":1.5}' % rig.servers[0].address.encode()
        assert rig.request("POST", "/.stepsail/contested", body).status == 202
        assert (
            rig.request("POST", "/.stepsail/contested", b'{"server":"x","product":"pay","age":1}').status
            == 404
        )
        assert rig.request("POST", "/.stepsail/contested", b'{"server":7}').status == 400
        assert rig.request("POST", "/.stepsail/contested", b"{").status == 400
        assert disputes == [(1, 1.5)] and rig.requests_seen() == 0

    Rig(tmp_path, test, [answers()])
