"""Tests of what gives way when the messages in progress hold too much memory; they force the shortage."""

from __future__ import annotations

import socket
from pathlib import Path

from platform_rig import PlatformRig, encode_client_request, raw_client, read_all, responds_with
from rig import answers, hangs

from stepsail.http import encode_response
from stepsail.platform.memory_limits import LEAST_MEMORY_MB, divide_memory

HALF_REQUEST = (
    b"POST /record HTTP/1.1\r\nhost: x\r\nx-call-id: half\r\nx-budget-ms: 900\r\nidempotency-key: k\r\n"
    b"content-length: 60000\r\n\r\n" + b"b" * 50_000
)


def limit_buffers(rig: PlatformRig, size: int) -> None:
    """Let all messages in progress hold `size` bytes together."""
    budget = rig.application.buffer_budget
    budget.limit = budget.request_limit = size


def test_requests_that_arrived_first_and_hold_most_make_room(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        limit_buffers(rig, 180_000)
        small = raw_client(rig)
        small.sendall(b"GET /look")
        rig.loop.sleep(0.02)
        large = [raw_client(rig) for _ in range(3)]
        for client in large:
            client.sendall(HALF_REQUEST)
            rig.loop.sleep(0.05)
        assert rig.application.buffer_budget.used > 150_000
        large.append(raw_client(rig))
        large[-1].sendall(HALF_REQUEST)
        rejection = read_all(rig.loop, large[0])
        assert rejection.startswith(b"HTTP/1.1 503 ") and b"\r\nretry-after: 0.5" in rejection
        assert rig.application.buffer_budget.used <= 180_000
        large[-1].sendall(b"b" * 10_000)
        assert read_all(rig.loop, large[-1], one_response=True).startswith(b"HTTP/1.1 200 ")
        small.sendall(encode_client_request("small")[len(b"GET /look") :])
        assert read_all(rig.loop, small, one_response=True).startswith(b"HTTP/1.1 200 ")
        for client in (small, *large):
            client.close()
        rig.wait_until(lambda: rig.application.buffer_budget.used == 0)

    PlatformRig(tmp_path, test, [answers()])


def test_request_that_finds_no_memory_is_rejected_before_any_attempt(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        limit_buffers(rig, 130_000)
        slow = raw_client(rig)
        slow.sendall(encode_client_request("slow", body=b"b" * 60_000))
        rig.wait_until(lambda: rig.servers[0].seen)
        response = rig.send_request("/record", "POST", "late", body=b"b" * 10_000, idempotency_key="k")
        assert response.status == 503 and response.header(b"retry-after")
        assert len(rig.servers[0].seen) == 1
        assert ("request_rejected", {"request": "late", "reason": "memory_limit", "attempts": 0}) in rig.log
        assert read_all(rig.loop, slow, one_response=True).startswith(b"HTTP/1.1 200 ")
        slow.close()
        rig.wait_until(lambda: rig.application.buffer_budget.used == 0)

    PlatformRig(tmp_path, test, [hangs(0.3)])


def test_response_that_finds_no_memory_is_left_unread_until_there_is_room(tmp_path: Path) -> None:
    body = b"r" * 60_000

    def test(rig: PlatformRig) -> None:
        limit_buffers(rig, 20_000)
        rig.application.buffer_budget.used += 10_000
        rig.loop.call_later(0.2, lambda: limit_buffers(rig, 200_000))
        start = rig.loop.now()
        response = rig.send_request()
        assert response.body == body and rig.loop.now() - start >= 0.2
        assert rig.application.buffer_budget.used == 10_000

    PlatformRig(tmp_path, test, [responds_with(encode_response(200, [], body))])


def test_clients_that_do_not_read_their_responses_make_room(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        slow_readers = []
        for number in range(4):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            client.connect(rig.listen)
            # More requests than fit into the buffers of both ends, one response at a time.
            client.sendall(
                b"".join(
                    encode_client_request(f"r{number}-{index}", time_left_ms=1400) for index in range(200)
                )
            )
            slow_readers.append(client)
        rig.wait_until(lambda: rig.application.listener.writer.slow_readers)
        rig.loop.sleep(0.2)
        limit_buffers(rig, 10_000)
        rig.application.buffer_budget.reclaim_for_responses()
        rig.wait_until(lambda: rig.application.buffer_budget.used <= 10_000)
        assert "client_read_too_slowly" in rig.log.events()
        for client in slow_readers:
            client.close()

    PlatformRig(tmp_path, test, [responds_with(encode_response(200, [], b"r" * 60_000))])


def test_least_memory_allows_a_third_of_the_descriptors_and_shares_exceed_no_limit() -> None:
    limits = divide_memory(LEAST_MEMORY_MB, 0)
    assert limits.client_connections > 1024 / 3
    for memory_mb in (32, 64, 192):
        limits = divide_memory(memory_mb, 24_000_000)
        assert limits.buffered_bytes < (memory_mb - 24) * 1_000_000
    without_memory = divide_memory(1, 24_000_000)
    assert min(without_memory.client_connections, without_memory.in_flight) > 0
