"""Connections to servers at the instant in which they end: outcome, what may have run, and counters back at zero."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest
from platform_configuration import SETTINGS
from platform_rig import PlatformRig, encode_client_request, endpoint_record, raw_client, read_all
from rig import ScriptedServer, answers, hangs

from stepsail.decisions.exposure import Exposure
from stepsail.http import ClientConnection, Request, ServerConnection, encode_response
from stepsail.loop import Stream
from stepsail.proxy.upstream_pool import Upstream, UpstreamPool


def settled(rig: PlatformRig) -> None:
    """All attempts over: no connection is counted that is not open and idle, on any entry of the pool."""
    rig.wait_until(lambda: not rig.application.host.in_flight)
    pool = rig.application.upstream_pool
    assert (
        pool.open_connections
        == sum(n.open_connections for n in pool.upstreams.values())
        == sum(len(n.idle) for n in pool.upstreams.values())
    )


def test_idle_connection_closed_during_the_write_is_a_reset_and_sent_once(tmp_path: Path) -> None:
    """Whether the server closed before or behind our bytes is not to be known: what must not be repeated is not."""

    def test(rig: PlatformRig) -> None:
        def once(
            server: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
        ) -> bytes | None:
            stream.write(answers()(server, stream, asked, connection) or b"", 1.0)
            connection.next()  # the next request has come whole, and is dropped with the connection
            stream.abort()
            return None

        rig.servers[0].script = once
        assert rig.send_request("/record", "POST", "w0", body=b"{}", idempotency_key="k").status == 200
        rig.loop.sleep(0.05)
        before = len(rig.servers[0].seen)
        rig.servers[0].script = hangs(9.0)
        again = rig.send_request("/record", "POST", "w1", time_left_ms=300, body=b"{}", idempotency_key="k1")
        assert again.status in (502, 504) and again.header(b"retry-after") is None
        assert len(rig.servers[0].seen) - before <= 1  # the repeat inside the label's group alone
        settled(rig)

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("late", [0.0, 0.002, 0.012, 0.018])
def test_second_response_some_milliseconds_late_reaches_nobody(tmp_path: Path, late: float) -> None:
    def test(rig: PlatformRig) -> None:
        def twice(
            server: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
        ) -> bytes | None:
            mark = asked.header(b"x-call-id") or b""
            stream.write(encode_response(200, [], mark), 1.0)
            server.loop.sleep(late)
            stream.write(encode_response(200, [], mark), 1.0)
            return b""

        rig.servers[0].script = twice
        client = Stream.connect(rig.loop, rig.listen, 1.0)
        for at in range(40):
            mark = f"t{at}"
            answer = rig.send_request(request_id=mark, stream=client)
            assert (answer.status, answer.body) == (200, mark.encode())
            rig.loop.sleep(0.002 * (at % 8))
        settled(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_connection_made_after_its_timeout_is_closed_unused(tmp_path: Path) -> None:
    # The backlog of a server is full, so that its answer to our connect waits, and comes when nobody wants it.
    full = socket.create_server(("127.0.0.77", 0), backlog=0)
    fillers = [socket.socket() for _ in range(2)]
    for one in fillers:
        one.setblocking(False)
        one.connect_ex(full.getsockname())

    def test(rig: PlatformRig) -> None:
        server = rig.servers[0]
        server.address = "{}:{}".format(*full.getsockname())
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": True, "endpoints": [endpoint_record(server)]}, 99
        )
        answer = rig.send_request(
            "/record", "POST", "slow", time_left_ms=700, body=b"{}", idempotency_key="k"
        )
        assert answer.status in (502, 503, 504)
        settled(rig)
        full.setblocking(False)
        end = rig.loop.now() + 1.5  # in which the system sends again what was not answered
        while rig.loop.now() < end:
            try:
                taken, _ = full.accept()
                taken.settimeout(0.01)
                got = b""
                with contextlib.suppress(TimeoutError):
                    got = taken.recv(100)
                assert got == b""
            except BlockingIOError:
                rig.loop.sleep(0.01)
        assert rig.application.upstream_pool.open_connections == 0

    PlatformRig(tmp_path, test, [answers()])
    for one in (*fillers, full):
        one.close()


def test_response_and_cancellation_in_one_turn_give_one_answer(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        host, client = rig.application.host, raw_client(rig)

        def both(
            server: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
        ) -> bytes | None:
            # The answer is in our system's buffer, and the module gives the attempt up before the loop looks.
            stream.write(answers(body=b"first")(server, stream, asked, connection) or b"", 1.0)
            in_flight = next(iter(host.in_flight.values()))
            assert in_flight.router_handle is not None
            server.script = answers(body=b"second")
            host.cancel_attempt(in_flight.router_handle, 0)
            return b""

        rig.servers[0].script = both
        client.sendall(encode_client_request("both"))
        got = read_all(rig.loop, client, one_response=True)
        assert got.count(b"HTTP/1.1") == 1 and (b"200 OK" in got or b" 50" in got[:14])
        rig.loop.sleep(0.1)
        client.setblocking(False)
        with pytest.raises(BlockingIOError):
            client.recv(1)
        settled(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_server_that_moves_during_an_attempt_leaves_no_connection_count(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        response_task = rig.loop.spawn(rig.send_request, "/lookup", "GET", "held", name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        moved = ScriptedServer(rig.loop, answers(body=b"moved"), number=60)
        name = endpoint_record(rig.servers[0])["name"]
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": False, "endpoints": [endpoint_record(moved, name=name)]}, 99
        )
        assert rig.send_request(request_id="new").body == b"moved"
        response_task.join(3.0)
        rig.loop.sleep(1.1)  # a sweep
        settled(rig)
        rig.application.discovery.receiver.receive({"index": 10, "snapshot": True, "endpoints": []}, 99)
        rig.loop.sleep(1.1)
        assert (
            rig.application.upstream_pool.open_connections == 0
            and not rig.application.upstream_pool.upstreams
        )

    PlatformRig(tmp_path, test, [hangs(0.5)])


def test_attempt_tells_the_time_left_when_its_bytes_are_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = UpstreamPool.acquire

    def slow(pool: UpstreamPool, upstream: Upstream, until: float) -> ClientConnection | None:
        found = real(pool, upstream, until)
        pool.loop.sleep(0.15)  # a dial that takes long, and a turn that stands still behind it
        time.sleep(0.05)
        return found

    def fails(
        server: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
    ) -> bytes | None:
        return encode_response(500, [], b"")

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(UpstreamPool, "acquire", slow)
        start = rig.loop.now()
        rig.send_request(time_left_ms=1000)
        times_told = [int(r.header(b"x-budget-ms") or 0) for server in rig.servers for r in server.seen]
        assert len(times_told) >= 2 and rig.loop.now() > start
        for at, left in enumerate(sorted(times_told, reverse=True), 1):
            assert left <= 1000 - 200 * at + 5, times_told
        settled(rig)

    PlatformRig(tmp_path, test, [fails, fails])


def test_response_before_the_request_is_complete_is_not_forwarded(tmp_path: Path) -> None:
    early = socket.create_server(("127.0.0.78", 0))
    early.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def test(rig: PlatformRig) -> None:
        server = rig.servers[0]
        server.address = "{}:{}".format(*early.getsockname())
        rig.application.discovery.receiver.receive(
            {"index": 9, "snapshot": True, "endpoints": [endpoint_record(server)]}, 99
        )

        def serve() -> None:
            early.setblocking(False)
            while True:
                try:
                    taken, _ = early.accept()
                except BlockingIOError:
                    rig.loop.sleep(0.002)
                    continue
                taken.sendall(encode_response(200, [], b"too early"))  # not a byte of the request was read
                taken.close()

        serving = rig.loop.spawn(serve, name="early")
        answer = rig.send_request(
            "/record", "POST", "early", time_left_ms=400, body=b"x" * 60000, idempotency_key="k"
        )
        assert (
            answer.body != b"too early" or answer.status == 200
        )  # all written is all that can be known of it
        settled(rig)
        serving.cancel()

    PlatformRig(tmp_path, test, [answers()])
    early.close()


def test_key_answered_by_the_new_build_during_connect_goes_to_no_earlier_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The choice of an earlier build was right when it was made; its connection took a while, in which another
    # request with the same key was answered by the new one.
    real, waits = UpstreamPool.acquire, list[str]()

    def slow(pool: UpstreamPool, upstream: Upstream, until: float) -> ClientConnection | None:
        found = real(pool, upstream, until)
        if upstream.address.decode() in waits:
            waits.clear()
            pool.loop.sleep(0.15)
        return found

    def test(rig: PlatformRig) -> None:
        old, new = rig.servers
        router = rig.application.host.router
        rig.application.release_control.release_state_received(
            {"build": 2, "stage": 1, "phase": "testing", "cap": 0.5, "age_ms": 9000}
        )
        both = [endpoint_record(old), endpoint_record(new, revision_no=2)]
        rig.application.discovery.receiver.receive({"index": 9, "snapshot": True, "endpoints": both}, 99)
        monkeypatch.setattr(UpstreamPool, "acquire", slow)
        # One server at a time is there for the module to choose.
        handles = {s.address.decode(): s for s in router.pool.servers}  # type: ignore[attr-defined]
        router.pool.ready = [handles[endpoint_record(old)["name"]]]  # type: ignore[attr-defined]
        waits.append(endpoint_record(old)["name"])
        first = rig.loop.spawn(rig.send_request, "/lookup?obj=k", "GET", "first", name="first")
        rig.wait_until(lambda: not waits)
        router.pool.ready = [handles[endpoint_record(new)["name"]]]  # type: ignore[attr-defined]
        monkeypatch.setattr(Exposure, "may_expose", lambda *_: True)
        assert rig.send_request("/lookup?obj=k", request_id="second").status == 200 and len(new.seen) == 1
        assert first.join(3.0).status == 200
        assert not old.seen and len(new.seen) == 2

    one_way = SETTINGS | {"Domain": SETTINGS["Domain"] | {"OneWay": True}}
    PlatformRig(tmp_path, test, [answers(), answers()], settings=one_way)
