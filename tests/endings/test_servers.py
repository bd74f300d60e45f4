"""Tests for connections to servers that end at critical moments.

They check the outcome of the attempt, whether the request may have run, and that the connection counts are
right.
"""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest
from platform_configuration import SETTINGS
from platform_rig import (
    PlatformRig,
    encode_client_request,
    endpoint_record,
    raw_client,
    read_all,
    responds_with,
)
from rig import ScriptedServer, answers, hangs

from stepsail.decisions.exposure import Exposure
from stepsail.http import ClientConnection, Request, ServerConnection, encode_response
from stepsail.loop import Stream
from stepsail.proxy.upstream_pool import Upstream, UpstreamPool


def check_connection_counts(rig: PlatformRig) -> None:
    """Wait until all attempts have ended, then check that the pool counts only open, idle connections."""
    rig.wait_until(lambda: not rig.application.host.in_flight)
    pool = rig.application.upstream_pool
    assert (
        pool.open_connections
        == sum(upstream.open_connections for upstream in pool.upstreams.values())
        == sum(len(upstream.idle) for upstream in pool.upstreams.values())
    )


def test_idle_connection_closed_during_the_write_is_a_reset_and_sent_once(tmp_path: Path) -> None:
    """The instance cannot know whether the server closed before or after it received the request.

    A request that must not be repeated is therefore not sent again.
    """

    def test(rig: PlatformRig) -> None:
        def respond_then_reset(
            server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
        ) -> bytes | None:
            stream.write(answers()(server, stream, request, connection) or b"", 1.0)
            connection.next()  # the next request has arrived completely, and is lost with the connection
            stream.abort()
            return None

        rig.servers[0].script = respond_then_reset
        assert rig.send_request("/record", "POST", "w0", body=b"{}", idempotency_key="k").status == 200
        rig.loop.sleep(0.05)
        before = len(rig.servers[0].seen)
        rig.servers[0].script = hangs(9.0)
        response = rig.send_request(
            "/record", "POST", "w1", time_left_ms=300, body=b"{}", idempotency_key="k1"
        )
        assert response.status in (502, 504) and response.header(b"retry-after") is None
        # At most a retry within the zone of the idempotency key.
        assert len(rig.servers[0].seen) - before <= 1
        check_connection_counts(rig)

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.012, 0.018])
def test_second_response_some_milliseconds_late_is_not_forwarded(tmp_path: Path, delay: float) -> None:
    def test(rig: PlatformRig) -> None:
        def respond_twice(
            server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
        ) -> bytes | None:
            request_id = request.header(b"x-call-id") or b""
            stream.write(encode_response(200, [], request_id), 1.0)
            server.loop.sleep(delay)
            stream.write(encode_response(200, [], request_id), 1.0)
            return b""

        rig.servers[0].script = respond_twice
        client = Stream.connect(rig.loop, rig.listen, 1.0)
        for number in range(40):
            request_id = f"t{number}"
            response = rig.send_request(request_id=request_id, stream=client)
            assert (response.status, response.body) == (200, request_id.encode())
            rig.loop.sleep(0.002 * (number % 8))
        check_connection_counts(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_connection_made_after_its_timeout_is_closed_unused(tmp_path: Path) -> None:
    # The accept backlog of the server is full, so that the connection is established only after the connect
    # time-out.
    server_socket = socket.create_server(("127.0.0.77", 0), backlog=0)
    backlog_clients = [socket.socket() for _ in range(2)]
    for client in backlog_clients:
        client.setblocking(False)
        client.connect_ex(server_socket.getsockname())

    def test(rig: PlatformRig) -> None:
        server = rig.servers[0]
        server.address = "{}:{}".format(*server_socket.getsockname())
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": True, "endpoints": [endpoint_record(server)]}, 99
        )
        response = rig.send_request(
            "/record", "POST", "slow", time_left_ms=700, body=b"{}", idempotency_key="k"
        )
        assert response.status in (502, 503, 504)
        check_connection_counts(rig)
        server_socket.setblocking(False)
        deadline = rig.loop.now() + 1.5  # the kernel retransmits unanswered handshakes within this time
        while rig.loop.now() < deadline:
            try:
                accepted, _ = server_socket.accept()
                accepted.settimeout(0.01)
                received = b""
                with contextlib.suppress(TimeoutError):
                    received = accepted.recv(100)
                assert received == b""
            except BlockingIOError:
                rig.loop.sleep(0.01)
        assert rig.application.upstream_pool.open_connections == 0

    PlatformRig(tmp_path, test, [answers()])
    for sock in (*backlog_clients, server_socket):
        sock.close()


def test_response_and_cancellation_in_one_loop_iteration_give_one_response(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        host, client = rig.application.host, raw_client(rig)

        def respond_and_cancel(
            server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
        ) -> bytes | None:
            # The response is in the socket's receive buffer, and the attempt is cancelled before the loop
            # reads it.
            stream.write(answers(body=b"first")(server, stream, request, connection) or b"", 1.0)
            in_flight = next(iter(host.in_flight.values()))
            assert in_flight.router_handle is not None
            server.script = answers(body=b"second")
            host.cancel_attempt(in_flight.router_handle, 0)
            return b""

        rig.servers[0].script = respond_and_cancel
        client.sendall(encode_client_request("both"))
        received = read_all(rig.loop, client, one_response=True)
        assert received.count(b"HTTP/1.1") == 1 and (b"200 OK" in received or b" 50" in received[:14])
        rig.loop.sleep(0.1)
        client.setblocking(False)
        with pytest.raises(BlockingIOError):
            client.recv(1)
        check_connection_counts(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_server_whose_address_changes_during_an_attempt_leaves_no_connection_count(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        response_task = rig.loop.spawn(rig.send_request, "/lookup", "GET", "held", name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        new_server = ScriptedServer(rig.loop, answers(body=b"moved"), number=60)
        name = endpoint_record(rig.servers[0])["name"]
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": False, "endpoints": [endpoint_record(new_server, name=name)]}, 99
        )
        assert rig.send_request(request_id="new").body == b"moved"
        response_task.join(3.0)
        rig.loop.sleep(1.1)  # until the pool has removed unused connections
        check_connection_counts(rig)
        rig.application.discovery.receiver.receive({"index": 10, "snapshot": True, "endpoints": []}, 99)
        rig.loop.sleep(1.1)
        assert (
            rig.application.upstream_pool.open_connections == 0
            and not rig.application.upstream_pool.upstreams
        )

    PlatformRig(tmp_path, test, [hangs(0.5)])


def test_attempt_states_the_time_left_when_it_is_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_acquire = UpstreamPool.acquire

    def slow_acquire(pool: UpstreamPool, upstream: Upstream, until: float) -> ClientConnection | None:
        connection = real_acquire(pool, upstream, until)
        # Connecting takes long, and then the loop is blocked.
        pool.loop.sleep(0.15)
        time.sleep(0.05)
        return connection

    def fail(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        return encode_response(500, [], b"")

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(UpstreamPool, "acquire", slow_acquire)
        start = rig.loop.now()
        rig.send_request(time_left_ms=1000)
        stated_times_left = [
            int(request.header(b"x-budget-ms") or 0) for server in rig.servers for request in server.seen
        ]
        assert len(stated_times_left) >= 2 and rig.loop.now() > start
        for number, time_left in enumerate(sorted(stated_times_left, reverse=True), 1):
            assert time_left <= 1000 - 200 * number + 5, stated_times_left
        check_connection_counts(rig)

    PlatformRig(tmp_path, test, [fail, fail])


def test_response_before_the_request_is_complete_is_not_forwarded(tmp_path: Path) -> None:
    server_socket = socket.create_server(("127.0.0.78", 0))
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def test(rig: PlatformRig) -> None:
        server = rig.servers[0]
        server.address = "{}:{}".format(*server_socket.getsockname())
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": True, "endpoints": [endpoint_record(server)]}, 99
        )

        def serve() -> None:
            server_socket.setblocking(False)
            while True:
                try:
                    accepted, _ = server_socket.accept()
                except BlockingIOError:
                    rig.loop.sleep(0.002)
                    continue
                # Responds before it has read any byte of the request.
                accepted.sendall(encode_response(200, [], b"too early"))
                accepted.close()

        server_task = rig.loop.spawn(serve, name="early")
        response = rig.send_request(
            "/record", "POST", "early", time_left_ms=400, body=b"x" * 60000, idempotency_key="k"
        )
        # If the whole request was written before the response was read, the instance cannot detect that it
        # was early.
        assert response.body != b"too early" or response.status == 200
        check_connection_counts(rig)
        server_task.cancel()

    PlatformRig(tmp_path, test, [answers()])
    server_socket.close()


def test_key_answered_by_the_new_build_during_connect_goes_to_no_earlier_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A server of the earlier build was correctly chosen. While the connection to it was being established,
    # the new build answered another request with the same key.
    real_acquire, slow_servers = UpstreamPool.acquire, list[str]()

    def slow_acquire(pool: UpstreamPool, upstream: Upstream, until: float) -> ClientConnection | None:
        connection = real_acquire(pool, upstream, until)
        if upstream.address.decode() in slow_servers:
            slow_servers.clear()
            pool.loop.sleep(0.15)
        return connection

    def test(rig: PlatformRig) -> None:
        earlier, new = rig.servers
        router = rig.application.host.router
        rig.application.release_control.release_state_received(
            {"build": 2, "stage": 1, "phase": "testing", "cap": 0.5, "age_ms": 9000}
        )
        endpoints = [endpoint_record(earlier), endpoint_record(new, revision_no=2)]
        rig.application.discovery.receiver.receive({"index": 9, "snapshot": True, "endpoints": endpoints}, 99)
        monkeypatch.setattr(UpstreamPool, "acquire", slow_acquire)
        # The router can choose from one server at a time.
        servers = {s.address.decode(): s for s in router.pool.servers}  # type: ignore[attr-defined]
        router.pool.ready = [servers[endpoint_record(earlier)["name"]]]  # type: ignore[attr-defined]
        slow_servers.append(endpoint_record(earlier)["name"])
        first_response_task = rig.loop.spawn(rig.send_request, "/lookup?obj=k", "GET", "first", name="first")
        rig.wait_until(lambda: not slow_servers)
        router.pool.ready = [servers[endpoint_record(new)["name"]]]  # type: ignore[attr-defined]
        monkeypatch.setattr(Exposure, "may_expose", lambda *_: True)
        assert rig.send_request("/lookup?obj=k", request_id="second").status == 200 and len(new.seen) == 1
        assert first_response_task.join(3.0).status == 200
        assert not earlier.seen and len(new.seen) == 2

    one_way = SETTINGS | {"Domain": SETTINGS["Domain"] | {"OneWay": True}}
    PlatformRig(tmp_path, test, [answers(), answers()], settings=one_way)


def test_interim_responses_of_one_server_leave_a_turn_to_others_after_each(tmp_path: Path) -> None:
    interim_responses = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500

    def test(rig: PlatformRig) -> None:
        rounds = rig.loop.rounds
        assert rig.send_request().status == 200
        assert rig.loop.rounds - rounds >= 500

    PlatformRig(tmp_path, test, [responds_with(interim_responses + encode_response(200, [], b"ok"))])
