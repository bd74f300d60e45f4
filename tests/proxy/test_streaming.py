"""Streaming of large bodies in both directions, with backpressure; no truncated body is taken as complete."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest
from rig import Rig, ScriptedServer, answers

from stepsail.http import InvalidMessage, Request, ServerConnection, encode_response
from stepsail.http.message import chunk
from stepsail.loop import Stream, TimedOut

LARGE_BODY = hashlib.sha256(b"big").digest() * (3 << 15)  # 3 MiB
LARGE_BODY_SETTINGS = "door {\n    body 16m\n    hold 32k\n}"


def answer_with_body_digest(
    server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
) -> bytes:
    """Reads the whole body and answers with its digest."""
    digest = hashlib.sha256(request.body)
    while request.body_stream and (part := request.body_stream.read_part(5.0)):
        digest.update(part)
    return encode_response(200, [], digest.hexdigest().encode())


def answer_in_chunks(
    server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
) -> bytes | None:
    stream.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 1.0)
    for offset in range(0, len(LARGE_BODY), 100_000):
        stream.write(chunk(LARGE_BODY[offset : offset + 100_000]), 5.0)
    return chunk(b"")


@pytest.mark.parametrize("script", [answer_in_chunks, answers(200, LARGE_BODY)])
def test_large_response_arrives_completely_and_connections_are_reused(tmp_path: Path, script: object) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        for _ in range(2):
            answer = rig.request("GET", "/look", stream=stream)
            assert answer.status == 200 and answer.body == LARGE_BODY
        rig.loop.sleep(0.05)
        assert (
            rig.application.upstream_pool.connects_started == 1
            and rig.application.host.in_flight == {}
            and all(
                len(u.idle) == u.open_connections for u in rig.application.upstream_pool.upstreams.values()
            )
        )
        stream.close()

    Rig(tmp_path, test, [script], LARGE_BODY_SETTINGS)  # type: ignore[list-item]


def test_slow_client_slows_down_the_server_and_the_proxy_buffers_little(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        stream.write(b"GET /look HTTP/1.1\r\nhost: x\r\nrequest-timeout: 1.5\r\n\r\n")
        rig.loop.sleep(0.4)
        in_flight = next(iter(rig.application.host.in_flight.values()))
        assert in_flight.response and in_flight.response.body_stream
        queued_parts = in_flight.response.body_stream.parts.items  # type: ignore[attr-defined]
        assert sum(map(len, queued_parts)) <= 5 * 65536
        server = rig.servers[0].listener
        assert next(iter(server.open_streams)).sent < 15 << 20  # the server could not send all of its 16 MiB
        rig.loop.sleep(1.3)
        assert "client_read_too_slowly" in rig.log.events()
        rig.loop.sleep(0.1)
        assert rig.application.host.in_flight == {} and not server.open_streams
        stream.close()

    Rig(tmp_path, test, [answers(200, bytes(16 << 20))], "door {\n    body 32m\n    hold 32k\n}")


def test_truncated_response_resets_the_client_and_is_not_retried(tmp_path: Path) -> None:
    def answer_partly(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n" + LARGE_BODY[:200_000], 1.0)
        return None

    def test(rig: Rig) -> None:
        with pytest.raises((OSError, InvalidMessage)):
            rig.request("POST", "/pay", b"{}")
        assert rig.requests_seen() == 1
        rig.loop.sleep(0.05)
        assert rig.application.host.in_flight == {} and rig.application.host.router_errors == 0

    Rig(tmp_path, test, [answer_partly, answer_partly], LARGE_BODY_SETTINGS)


@pytest.mark.parametrize("length_known", [True, False])
def test_large_request_is_forwarded_as_it_arrives(tmp_path: Path, length_known: bool) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        head = b"POST /pay HTTP/1.1\r\nhost: x\r\n"
        parts = [LARGE_BODY[offset : offset + 50_000] for offset in range(0, len(LARGE_BODY), 50_000)]
        if length_known:
            stream.write(head + b"content-length: %d\r\n\r\n" % len(LARGE_BODY))
        else:
            stream.write(head + b"transfer-encoding: chunked\r\n\r\n")
            parts = [*map(chunk, parts), chunk(b"")]
        for part in parts:
            stream.write(part, 2.0)
        received = b""
        while b"\r\n\r\n" not in received or len(received.split(b"\r\n\r\n")[1]) < 64:
            received += stream.read(2.0)
        assert (
            received.startswith(b"HTTP/1.1 200 OK")
            and hashlib.sha256(LARGE_BODY).hexdigest().encode() in received
        )
        assert rig.request("GET", "/look", stream=stream).status == 200  # the connection is still usable
        stream.close()

    Rig(tmp_path, test, [answer_with_body_digest, answer_with_body_digest], LARGE_BODY_SETTINGS)


def test_large_request_refused_by_one_server_is_sent_completely_to_another(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        rig.servers[0].listener.drop()
        for _ in range(4):
            answer = rig.request("POST", "/pay", LARGE_BODY)
            assert answer.status == 200 and answer.body == hashlib.sha256(LARGE_BODY).hexdigest().encode()

    Rig(tmp_path, test, [answer_with_body_digest, answer_with_body_digest], LARGE_BODY_SETTINGS)


@pytest.mark.parametrize(("method", "path", "status"), [("POST", "/pay", 502), ("GET", "/look", 503)])
def test_partly_sent_body_is_not_sent_to_a_second_server(
    tmp_path: Path, method: str, path: str, status: int
) -> None:
    def hang_up_after_first_part(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        assert request.body_stream
        request.body_stream.read_part(1.0)
        return None

    def test(rig: Rig) -> None:
        answer = rig.request(method, path, LARGE_BODY)
        assert answer.status == status and rig.requests_seen() == 1

    Rig(tmp_path, test, [hang_up_after_first_part, hang_up_after_first_part], LARGE_BODY_SETTINGS)


def test_client_that_stops_sending_its_body_costs_one_attempt_and_is_answered_in_time(
    tmp_path: Path,
) -> None:
    def test(rig: Rig) -> None:
        stream = rig.connect()
        stream.write(
            b"POST /pay HTTP/1.1\r\nhost: x\r\nrequest-timeout: 0.5\r\ncontent-length: 1000000\r\n\r\n"
            + LARGE_BODY[:100_000]
        )
        start = rig.loop.now()
        received = stream.read(2.0)
        assert received.startswith(b"HTTP/1.1 50") and rig.loop.now() - start < 0.5
        try:
            while stream.read(1.0):
                pass
        except (OSError, TimedOut):
            pass
        assert rig.requests_seen() == 1 and rig.application.host.in_flight == {}

    Rig(tmp_path, test, [answer_with_body_digest, answer_with_body_digest], LARGE_BODY_SETTINGS)


def test_request_that_is_not_forwarded_is_answered_before_its_large_body_arrives(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("POST", "/nowhere", LARGE_BODY).status == 404
        assert rig.request("POST", "/pay", LARGE_BODY, request_timeout="soon").status == 400
        assert rig.requests_seen() == 0

    Rig(tmp_path, test, [answers()], LARGE_BODY_SETTINGS)
