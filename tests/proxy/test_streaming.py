"""Large bodies pass as they come, both ways, with back-pressure; what breaks off is never taken for whole."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest
from rig import Rig, ScriptedServer, answers

from stepsail.http import InvalidMessage, Request, ServerConnection, encode_response
from stepsail.http.message import chunk
from stepsail.loop import Stream, TimedOut

BIG = hashlib.sha256(b"big").digest() * (3 << 15)  # 3 MiB
MORE = "door {\n    body 16m\n    hold 32k\n}"


def digest_of_body(
    server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
) -> bytes:
    """Reads whatever comes and answers with its digest."""
    found = hashlib.sha256(request.body)
    while request.body_stream and (part := request.body_stream.read_part(5.0)):
        found.update(part)
    return encode_response(200, [], found.hexdigest().encode())


def slowly(
    server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
) -> bytes | None:
    stream.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 1.0)
    for at in range(0, len(BIG), 100_000):
        stream.write(chunk(BIG[at : at + 100_000]), 5.0)
    return chunk(b"")


@pytest.mark.parametrize("script", [slowly, answers(200, BIG)])
def test_large_response_arrives_whole_and_connections_are_reused(tmp_path: Path, script: object) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        for _ in range(2):
            answer = rig.request("GET", "/look", stream=stream)
            assert answer.status == 200 and answer.body == BIG
        rig.loop.sleep(0.05)
        assert (
            rig.application.upstream_pool.connects_started == 1
            and rig.application.host.in_flight == {}
            and all(
                len(u.idle) == u.open_connections for u in rig.application.upstream_pool.upstreams.values()
            )
        )
        stream.close()

    Rig(tmp_path, test, [script], MORE)  # type: ignore[list-item]


def test_slow_client_holds_up_the_server_and_not_our_memory(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        stream.write(b"GET /look HTTP/1.1\r\nhost: x\r\nrequest-timeout: 1.5\r\n\r\n")
        rig.loop.sleep(0.4)
        in_flight = next(iter(rig.application.host.in_flight.values()))
        assert in_flight.response and in_flight.response.body_stream
        waiting = in_flight.response.body_stream.parts.items  # type: ignore[attr-defined]
        assert sum(map(len, waiting)) <= 5 * 65536
        server = rig.servers[0].listener
        assert next(iter(server.open)).sent < 15 << 20  # it could not send all of its 16 MiB
        rig.loop.sleep(1.3)
        assert "client_read_too_slowly" in rig.log.events()
        rig.loop.sleep(0.1)
        assert rig.application.host.in_flight == {} and not server.open
        stream.close()

    Rig(tmp_path, test, [answers(200, bytes(16 << 20))], "door {\n    body 32m\n    hold 32k\n}")


def test_response_that_breaks_off_resets_the_client_and_counts_as_lost(tmp_path: Path) -> None:
    def broken(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + BIG[:200_000], 1.0)
        return None

    def test(rig: Rig) -> None:
        with pytest.raises((OSError, InvalidMessage)):
            rig.request("POST", "/pay", b"{}")
        assert rig.requests_seen() == 1
        rig.loop.sleep(0.05)
        assert rig.application.host.in_flight == {} and rig.application.host.router_errors == 0

    Rig(tmp_path, test, [broken, broken], MORE)


@pytest.mark.parametrize("length_known", [True, False])
def test_large_request_is_forwarded_as_it_arrives(tmp_path: Path, length_known: bool) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        head = b"POST /pay HTTP/1.1\r\nhost: x\r\n"
        parts = [BIG[at : at + 50_000] for at in range(0, len(BIG), 50_000)]
        if length_known:
            stream.write(head + b"content-length: %d\r\n\r\n" % len(BIG))
        else:
            stream.write(head + b"transfer-encoding: chunked\r\n\r\n")
            parts = [*map(chunk, parts), chunk(b"")]
        for part in parts:
            stream.write(part, 2.0)
        got = b""
        while b"\r\n\r\n" not in got or len(got.split(b"\r\n\r\n")[1]) < 64:
            got += stream.read(2.0)
        assert got.startswith(b"HTTP/1.1 200 OK") and hashlib.sha256(BIG).hexdigest().encode() in got
        assert rig.request("GET", "/look", stream=stream).status == 200  # the same connection goes on
        stream.close()

    Rig(tmp_path, test, [digest_of_body, digest_of_body], MORE)


def test_large_request_that_met_a_dead_server_goes_whole_to_another(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        rig.servers[0].listener.drop()
        for _ in range(4):
            answer = rig.request("POST", "/pay", BIG)
            assert answer.status == 200 and answer.body == hashlib.sha256(BIG).hexdigest().encode()

    Rig(tmp_path, test, [digest_of_body, digest_of_body], MORE)


@pytest.mark.parametrize(("method", "path", "status"), [("POST", "/pay", 502), ("GET", "/look", 503)])
def test_body_that_was_partly_sent_goes_to_no_second_server(
    tmp_path: Path, method: str, path: str, status: int
) -> None:
    def gives_up(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        assert request.body_stream
        request.body_stream.read_part(1.0)
        return None

    def test(rig: Rig) -> None:
        answer = rig.request(method, path, BIG)
        assert answer.status == status and rig.requests_seen() == 1

    Rig(tmp_path, test, [gives_up, gives_up], MORE)


def test_client_that_stops_inside_its_body_costs_one_attempt_and_its_own_time(
    tmp_path: Path,
) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        stream.write(
            b"POST /pay HTTP/1.1\r\nhost: x\r\nrequest-timeout: 0.5\r\ncontent-length: 1000000\r\n\r\n"
            + BIG[:100_000]
        )
        start = rig.loop.now()
        got = stream.read(2.0)
        assert got.startswith(b"HTTP/1.1 50") and rig.loop.now() - start < 0.5
        try:
            while stream.read(1.0):
                pass
        except (OSError, TimedOut):
            pass
        assert rig.requests_seen() == 1 and rig.application.host.in_flight == {}

    Rig(tmp_path, test, [digest_of_body, digest_of_body], MORE)


def test_large_body_for_no_request_class_is_not_waited_for(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("POST", "/nowhere", BIG).status == 404
        assert rig.request("POST", "/pay", BIG, request_timeout="soon").status == 400
        assert rig.requests_seen() == 0

    Rig(tmp_path, test, [answers()], MORE)
