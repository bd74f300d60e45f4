"""The client listener: misbehaving clients, limits, pauses of the process, shutdown and restart."""

from __future__ import annotations

import json
import os
import socket
import struct
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from rig import Rig, answers, hangs, json_body

from stepsail.loop import Stream
from stepsail.proxy.endpoint_cache import read_cache
from stepsail.proxy.in_flight import FinalAnswer, InFlightRequest
from stepsail.standins.service import ServiceFault

GET_REQUEST_HEAD = b"GET /look HTTP/1.1\r\nhost: x\r\n"


def read_all(rig: Rig, sock: socket.socket, timeout: float = 2.0) -> bytes:
    """Reads until the connection ends, without blocking the loop, and appends how it ended."""
    sock.setblocking(False)
    received, deadline = b"", rig.loop.now() + timeout
    while rig.loop.now() < deadline:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            rig.loop.sleep(0.005)
            continue
        except ConnectionResetError:
            return received + b"<reset>"
        if not data:
            return received + b"<end>"
        received += data
    return received


@pytest.mark.parametrize(
    "data",
    [
        b"GET /look HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"GET /look HTTP/1.1\nhost: x\n\n",
        b"GET /look HTTP/1.1\r\nhost : x\r\n\r\n",
        b"\x16\x03\x01\r\n\r\n",
    ],
)
def test_ambiguous_request_gets_400_and_never_reaches_the_router(tmp_path: Path, data: bytes) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(data)
        received = read_all(rig, sock)
        assert received.startswith(b"HTTP/1.1 400 ") and received.endswith(b"<end>")
        assert rig.application.host.accepted == 0 and rig.requests_seen() == 0

    Rig(tmp_path, test, [answers()])


def test_unknown_path_or_malformed_timeout_is_not_accepted(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("GET", "/lookout").status == 404
        assert rig.request("POST", "/look").status == 404
        assert rig.request("GET", "/look", request_timeout="soon").status == 400
        assert rig.application.host.accepted == 0

    Rig(tmp_path, test, [answers()])


def test_pipelined_requests_are_answered_in_order_on_one_connection(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(
            (GET_REQUEST_HEAD + b"\r\n") * 3
            + b"GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        )
        received = read_all(rig, sock)
        assert received.count(b"HTTP/1.1 200 OK") == 3 and received.count(b"HTTP/1.1 404") == 1
        assert received.index(b"HTTP/1.1 404") > received.rindex(b"HTTP/1.1 200 OK")

    Rig(tmp_path, test, [answers()])


def test_half_closed_client_still_gets_its_response(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(GET_REQUEST_HEAD + b"\r\n")
        sock.shutdown(socket.SHUT_WR)
        received = read_all(rig, sock)
        assert b"late" in received and received.endswith(b"<end>")

    Rig(tmp_path, test, [hangs(0.2)])


def test_client_reset_cancels_the_request_and_no_further_attempt_is_sent(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
        rig.loop.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        rig.loop.sleep(0.6)
        assert (
            rig.application.host.final_answers[FinalAnswer.CANCELLED_BY_CLIENT] == 1
            and rig.requests_seen() == 1
        )
        assert rig.application.host.in_flight == {}

    Rig(tmp_path, test, [hangs(0.3)] * 2)


def test_client_that_never_reads_is_disconnected_at_its_deadline(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.connect(rig.listen)
        sock.sendall(GET_REQUEST_HEAD + b"request-timeout: 0.5\r\n\r\n")
        rig.loop.sleep(0.8)
        assert "client_read_too_slowly" in rig.log.events()
        assert rig.application.listener.listener and not rig.application.listener.listener.open_streams
        sock.close()

    Rig(tmp_path, test, [answers(200, bytes(12 << 20))], "door {\n    body 16m\n}")


def test_slow_sender_gets_408(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(b"GET /look HT")
        assert read_all(rig, sock).startswith(b"HTTP/1.1 408 ")

    Rig(tmp_path, test, [answers()], "door {\n    slow-sender 200ms\n}")


def test_expect_continue_is_answered_before_the_body(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(
            b"POST /pay HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n"
            b"connection: close\r\n\r\n"
        )
        sock.setblocking(False)
        rig.loop.sleep(0.05)
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.send(b"{}")
        assert b"200 OK" in read_all(rig, sock)
        assert rig.servers[0].seen[0].body == b"{}" and rig.servers[0].seen[0].header(b"expect") is None

    Rig(tmp_path, test, [answers()])


def test_requests_over_the_in_flight_limit_are_rejected_at_once(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        first_task = rig.loop.spawn(rig.request, "GET", "/look")
        rig.loop.sleep(0.05)
        start = rig.loop.now()
        answer = rig.request("POST", "/pay", b"{}")
        assert (answer.status, answer.header(b"retry-after")) == (503, b"1")
        assert json_body(answer)["stay_away"] == 0.5 and "harmless" in json_body(answer)["again"]
        assert rig.loop.now() - start < 0.2 and rig.requests_seen() == 1
        assert first_task.join().status == 200

    Rig(tmp_path, test, [hangs(0.4)], "door {\n    open 1\n}")


@pytest.mark.parametrize(("pause", "in_time"), [(0.6, True), (1.0, False)])
def test_process_paused_past_the_client_deadline_answers_a_client_that_may_still_wait(
    tmp_path: Path, pause: float, in_time: bool
) -> None:
    # Guards against a reset of the connection, instead of a final answer, while the client still waits. Half
    # a second after its deadline, the client is assumed to have left.
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        sock.sendall(b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nrequest-timeout: 0.4\r\n\r\n")
        rig.loop.sleep(0.1)
        time.sleep(pause)  # pauses the whole process, as SIGSTOP does
        rig.loop.sleep(0.1)
        received = read_all(rig, sock)
        if in_time:
            assert (
                received.startswith((b"HTTP/1.1 200", b"HTTP/1.1 504")) and received.count(b"HTTP/1.1 ") == 1
            )
        else:
            assert received == b"<reset>" and "response_too_late" in rig.log.events()
        assert rig.requests_seen() == 1 and not rig.application.host.in_flight

    Rig(tmp_path, test, [hangs(0.3)] * 2)


@pytest.mark.parametrize(("pause", "in_time"), [(0.4, True), (0.8, False)])
def test_unread_request_ages_during_a_process_pause(tmp_path: Path, pause: float, in_time: bool) -> None:
    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        rig.loop.sleep(0.02)
        sock.sendall(GET_REQUEST_HEAD + b"request-timeout: 0.2\r\n\r\n")
        time.sleep(pause)
        received = read_all(rig, sock)
        if in_time:
            assert (
                received.startswith(b"HTTP/1.1 503")
                and b"harmless" in received
                and received.count(b"HTTP/1.1 ") == 1
            )
        else:
            assert received == b"<reset>"
        assert rig.application.host.accepted == 0 and rig.requests_seen() == 0

    Rig(tmp_path, test, [answers()])


@pytest.mark.parametrize("system_reports_age", [True, False])
def test_unread_request_counts_in_the_exposure_window_of_its_arrival(
    tmp_path: Path, system_reports_age: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against counting requests as accepted only when they are read.

    A process that had been paused then counted its whole backlog at once and broke the exposure limit (rule
    5): 13 attempts at a canary where 11.2 were allowed. If the operating system does not report when bytes
    arrived, the loop's own delays are used instead.
    """
    if not system_reports_age:
        monkeypatch.setattr(Stream, "seconds_since_receive", lambda stream: 0.0)

    def test(rig: Rig) -> None:
        sock = rig.plain_socket()
        rig.loop.sleep(0.02)
        sock.sendall(GET_REQUEST_HEAD + b"\r\n")
        sent_at = rig.loop.now()
        time.sleep(0.2)
        assert b"200 OK" in read_all(rig, sock)
        router = rig.application.host.router
        assert [
            abs(arrived_at - sent_at) < 0.1
            for arrived_at in router.pool.arrivals  # type: ignore[attr-defined]
        ] == [True]

    Rig(tmp_path, test, [answers()])


@pytest.mark.parametrize("before_deadline", [0.004, -0.02, -0.4])
def test_response_around_the_client_deadline_is_written(tmp_path: Path, before_deadline: float) -> None:
    # Guards against a reset of the connection although the server's response is there, which happened from
    # some milliseconds before the client's deadline on.
    def test(rig: Rig) -> None:
        host, original_attempt_ended = rig.application.host, rig.application.host.attempt_ended

        def delay_attempt_end(in_flight: InFlightRequest, *rest: Any) -> None:
            time.sleep(max(0.0, in_flight.client_deadline - before_deadline - rig.loop.now()))
            original_attempt_ended(in_flight, *rest)

        host.attempt_ended = delay_attempt_end  # type: ignore[method-assign, assignment]
        answer = rig.request("GET", "/look", time_left=0.3)
        assert (answer.status, answer.body) == (200, b"ok") and not rig.application.host.in_flight

    Rig(tmp_path, test, [answers()])


def test_shutdown_answers_requests_in_flight_and_accepts_nothing_new(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        idle, response_task = rig.connect(), rig.loop.spawn(rig.request, "GET", "/look")
        rig.loop.sleep(0.05)
        rig.application.stop()
        rig.loop.sleep(0.05)
        with pytest.raises(ConnectionRefusedError):
            rig.connect()
        assert idle.read(1.0) == b""
        answer = response_task.join()
        assert answer.body == b"late" and answer.header(b"connection") == b"close"
        assert rig.application_task.join(2.0) == 0

    Rig(tmp_path, test, [hangs(0.4)])


def test_shutdown_is_bounded_and_reports_unanswered_requests(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        response_task = rig.loop.spawn(rig.request, "POST", "/pay", b"{}")
        rig.loop.sleep(0.05)
        rig.application.stop()
        assert rig.application_task.join(2.0) == 3
        response_task.cancel()

    Rig(tmp_path, test, [hangs()], "leave-within 200ms")


def test_endpoint_cache_survives_a_restart_and_a_damaged_one_is_not_used(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        assert rig.request("GET", "/look").status == 200
        rig.application.stop()
        rig.application_task.join(2.0)
        cache_file = rig.folder / "kept.json"
        cached = read_cache(cache_file)
        assert cached and [entry["address"] for entry in cached["servers"]] == [rig.servers[0].address]
        rig.discovery.fault = ServiceFault.SILENT
        rig.start()  # ready with the cached list alone
        assert rig.request("GET", "/look").status == 200
        server = rig.application.host.servers[rig.servers[0].address.encode()]
        # The cached list lacks the server's age, so the server is assumed to have just started.
        assert server.started_at > rig.loop.now() - 5  # type: ignore[attr-defined]
        rig.application.stop()
        rig.application_task.join(2.0)
        intact = cache_file.read_bytes()
        for damaged in (intact[:-3], intact.replace(b"ready", b"reaby"), b"", b"\xff\xff"):
            cache_file.write_bytes(damaged)
            assert read_cache(cache_file) is None

    Rig(tmp_path, test, [answers()], "servers {\n    cold-from 95%\n}")


def test_slow_disk_during_an_endpoint_cache_write_delays_no_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against writing the endpoint cache in the event loop.

    In a run of `days/bad-day` with seed 4, beside a load on all cores, the write blocked the loop for up to
    0.87 s, and a client got no answer by its deadline.
    """
    write_started, write_allowed, real_replace = threading.Event(), threading.Event(), os.replace

    def replace_slowly(*paths: Any) -> None:
        write_started.set()
        write_allowed.wait(5.0)
        real_replace(*paths)

    def test(rig: Rig) -> None:
        monkeypatch.setattr(os, "replace", replace_slowly)
        deadline = rig.loop.now() + 5.0
        while not write_started.is_set() and rig.loop.now() < deadline:
            rig.loop.sleep(0.01)
        # The disk still blocks the write.
        assert write_started.is_set() and rig.request("GET", "/look").status == 200
        assert not (rig.folder / "kept.json").exists()
        rig.application.stop()
        rig.loop.sleep(0.05)
        write_allowed.set()
        assert rig.application_task.join(3.0) == 0 and read_cache(rig.folder / "kept.json")

    Rig(tmp_path, test, [answers()])


def test_invalid_control_messages_are_ignored(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        rig.state = json.loads('{"build": -1, "stage": 0, "phase": "somewhere", "cap": 7, "age": "old"}')
        rig.loop.sleep(0.5)
        assert "release_control_call_failed" in rig.log.events()
        assert rig.request("GET", "/look").status == 200
        assert rig.application.host.router_errors == 0

    Rig(tmp_path, test, [answers()])


def test_router_failure_still_gives_exactly_one_answer_in_time(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        def raise_error(*_: object) -> None:
            raise ValueError("a fault")

        rig.application.host.router.accept_request = raise_error  # type: ignore[method-assign, assignment]
        start = rig.loop.now()
        answer = rig.request("POST", "/pay", b"{}", time_left=0.4)
        assert answer.status == 504 and rig.loop.now() - start <= 0.45
        assert {"router_failed", "answer_forced"} <= set(rig.log.events())

    Rig(tmp_path, test, [answers()])
