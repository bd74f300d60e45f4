"""Tests with system calls that fail, are interrupted, or transfer a part of the data, at random by a seed.

The shim wraps the sockets and the poller of the loop's driver: both ends of every connection of the tested
instance go through it.
"""

from __future__ import annotations

import errno
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from platform_configuration import SETTINGS, write_configuration
from platform_rig import PlatformRig, encode_client_request
from rig import ScriptedServer, answers

from stepsail.http import Request, ServerConnection, encode_response
from stepsail.loop import Stream
from stepsail.loop.poll import PollDriver
from stepsail.loop.socket_port import SocketPort
from stepsail.standins.instances import free_address

ROOT = Path(__file__).parents[2]
TRANSIENT_ERRORS = {
    "recv": (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS),
    "send": (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS),
    "accept": (errno.EINTR, errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH),
    "setsockopt": (errno.ENOMEM, errno.ENOBUFS, errno.EINVAL),
    "close": (errno.EINTR, errno.EIO),
    "poll": (errno.EINTR, errno.ENOMEM),
}
CONNECTION_ERRORS = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPIPE)
FAULT_RATE = 0.2  # share of calls that fail or transfer only a part


class Shim:
    """Draws at random which calls fail or are shortened, and counts the failures by call and error."""

    def __init__(self, seed: int) -> None:
        self.random, self.failures = random.Random(seed), dict[tuple[str, int], int]()

    def maybe_fail(self, call: str) -> None:
        """Raise an OSError that `call` may raise, or do nothing."""
        if self.random.random() < FAULT_RATE:
            error_number = self.random.choice(TRANSIENT_ERRORS[call])
            self.failures[call, error_number] = self.failures.get((call, error_number), 0) + 1
            raise OSError(error_number, errno.errorcode[error_number])

    def draw_size(self, max_size: int) -> int:
        """Return how many bytes a call transfers."""
        return self.random.randint(1, min(max_size, 40)) if self.random.random() < FAULT_RATE else max_size


class FaultySocket:
    """A socket whose calls go through the shim."""

    def __init__(self, real: Any, shim: Shim) -> None:
        self.real, self.shim = real, shim

    def recv(self, max_size: int) -> bytes:
        self.shim.maybe_fail("recv")
        return bytes(self.real.recv(self.shim.draw_size(max_size)))

    def send(self, data: Any) -> int:
        self.shim.maybe_fail("send")
        return int(self.real.send(memoryview(data)[: self.shim.draw_size(len(data))]))

    def accept(self) -> tuple[Any, Any]:
        self.shim.maybe_fail("accept")
        accepted, peer = self.real.accept()
        return FaultySocket(accepted, self.shim), peer

    def setsockopt(self, *arguments: Any) -> None:
        self.shim.maybe_fail("setsockopt")
        self.real.setsockopt(*arguments)

    def close(self) -> None:
        self.real.close()
        self.shim.maybe_fail("close")

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


class FaultyPoller:
    """A poller whose calls go through the shim."""

    def __init__(self, real: Any, shim: Shim) -> None:
        self.real, self.shim = real, shim

    def poll(self, timeout: float | None) -> Any:
        self.shim.maybe_fail("poll")
        return self.real.poll(timeout)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


@pytest.fixture
def shim(monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest) -> Shim:
    shim = Shim(request.param)
    init_port, init_driver = SocketPort.__init__, PollDriver.__init__

    def init_faulty_port(self: SocketPort, sock: socket.socket) -> None:
        init_port(self, sock)
        self.sock = sock if isinstance(sock, FaultySocket) else FaultySocket(sock, shim)  # type: ignore[assignment]

    def init_faulty_driver(self: PollDriver) -> None:
        init_driver(self)
        self.poller = FaultyPoller(self.poller, shim)  # type: ignore[assignment]

    monkeypatch.setattr(SocketPort, "__init__", init_faulty_port)
    monkeypatch.setattr(PollDriver, "__init__", init_faulty_driver)
    return shim


# Requests at once: so many that some have to wait for admission, and as many as the initial window admits.
MANY_REQUESTS, FEW_REQUESTS = 60, 4
# Time-out in ms of each of many requests: so long that none of them is shed on a slow machine.
LONG_TIMEOUT_MS = 20_000


@pytest.mark.parametrize("shim", range(6), indirect=True)
@pytest.mark.parametrize(
    ("concurrency", "timeout_ms"), [(MANY_REQUESTS, LONG_TIMEOUT_MS), (FEW_REQUESTS, 1400)]
)
def test_transient_system_call_errors_cost_no_request_its_response(
    tmp_path: Path, shim: Shim, concurrency: int, timeout_ms: int
) -> None:
    # With the usual time-out, many requests at once were shed on a slow machine: this is correct behavior,
    # and not caused by a system call.
    lanes = [
        dict(lane, PromiseMs=float(timeout_ms), DeadlineMs=float(timeout_ms)) for lane in SETTINGS["Lanes"]
    ]

    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())

        def send_request(number: int) -> Any:
            return rig.send_request(
                "/record", "POST", f"m{number}", timeout_ms, None, b"x" * 300, idempotency_key=f"k{number}"
            )

        responses = []
        for first in range(0, MANY_REQUESTS, concurrency):
            tasks = [rig.loop.spawn(send_request, first + number) for number in range(concurrency)]
            responses += [task.join(4.0) for task in tasks]
        assert [(response.status, response.body) for response in responses] == [(200, b"ok")] * MANY_REQUESTS
        request_ids = [request.header(b"x-call-id") for server in rig.servers for request in server.seen]
        # No request was sent to a server twice.
        assert len(request_ids) == len(set(request_ids)) == MANY_REQUESTS
        assert len(shim.failures) > 12

    overrides = {"settings": SETTINGS | {"Lanes": lanes}} if concurrency == MANY_REQUESTS else {}
    PlatformRig(tmp_path, test, [answers()] * 2, **overrides)


def send_keyed_request(rig: PlatformRig, number: int) -> Any:
    return rig.send_request("/record", "POST", f"e{number}", 900, None, b"{}", idempotency_key=f"k{number}")


@pytest.mark.parametrize("error_number", CONNECTION_ERRORS)
def test_read_error_that_ends_a_connection_counts_as_may_have_run(
    tmp_path: Path, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A request with an idempotency key is retried only in its zone and within the key window, and the
    # response never invites the client to send it again.
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        read, server = Stream.read, rig.servers[0].listener.address

        def failing_read(stream: Stream, *arguments: Any) -> bytes:
            if stream.peer == server:
                raise OSError(error_number, errno.errorcode[error_number])
            return read(stream, *arguments)

        monkeypatch.setattr(Stream, "read", failing_read)
        response = send_keyed_request(rig, error_number)
        assert (
            response.status in (502, 504) and response.header(b"retry-after") is None and rig.servers[0].seen
        )

    PlatformRig(tmp_path, test, [answers()])


def test_truncated_response_is_not_forwarded(tmp_path: Path) -> None:
    def truncate_response(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        stream.write(encode_response(200, [], b"a long answer")[:-4], 1.0)
        return None

    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        assert send_keyed_request(rig, 1).status in (502, 504)

    PlatformRig(tmp_path, test, [truncate_response])


def test_unwritable_log_costs_no_response(tmp_path: Path) -> None:
    # Writing a log line fails with ENOSPC; a rejected request logs a line, and must get its response
    # nevertheless.
    listen = free_address()
    environ = write_configuration(
        tmp_path,
        listen="{}:{}".format(*listen),
        discovery="127.0.0.1:9",
        known={"index": 1, "snapshot": True, "endpoints": []},
    )
    with open("/dev/full", "wb") as full:
        process = subprocess.Popen(
            [sys.executable, "-m", "stepsail.platform"],
            cwd=ROOT,
            stderr=full,
            env={"PATH": "/usr/bin:/bin"} | environ,
        )
    try:
        response, request_count = b"", 0
        while not response.startswith(b"HTTP/1.1 503") and request_count < 100:
            request_count += 1
            time.sleep(0.05)
            try:
                with socket.create_connection(listen, 1.0) as client:
                    client.sendall(encode_client_request(f"a{request_count}"))
                    response = client.recv(1000)
            except ConnectionRefusedError:
                continue
        assert response.startswith(b"HTTP/1.1 503") and process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()


def test_start_waits_for_its_address_and_for_a_complete_configuration(tmp_path: Path) -> None:
    listen = free_address()
    blocking_socket = socket.create_server(listen)
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    complete_file = (tmp_path / "config.json").read_bytes()
    (tmp_path / "config.json").write_bytes(complete_file[:40])
    with (tmp_path / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "stepsail.platform"],
            cwd=ROOT,
            stderr=log,
            env={"PATH": "/usr/bin:/bin"} | environ,
        )
    try:
        time.sleep(0.5)
        (tmp_path / "config.json").write_bytes(complete_file)
        deadline = time.monotonic() + 5.0
        while b"listen_failed" not in (tmp_path / "log").read_bytes():
            assert time.monotonic() < deadline and process.poll() is None, (tmp_path / "log").read_text()
            time.sleep(0.02)
        blocking_socket.close()
        while True:
            assert time.monotonic() < deadline and process.poll() is None, (tmp_path / "log").read_text()
            try:
                socket.create_connection(listen, 1.0).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.02)
    finally:
        blocking_socket.close()
        process.kill()
        process.wait()
