"""System calls that fail, are interrupted, or do a part of what they were asked, drawn from a seed.

The shim stands where the loop's driver calls the system: both ends of every connection of the stage go through it.
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
from platform_rig import PlatformRig
from platform_rig import encode_client_request as client_request
from rig import ScriptedServer, answers

from stepsail.http import Request, ServerConnection, encode_response
from stepsail.loop import Stream
from stepsail.loop.poll import PollDriver
from stepsail.loop.socket_port import SocketPort
from stepsail.standins.instances import free_address

ROOT = Path(__file__).parents[2]
PASSING = {
    "recv": (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS),
    "send": (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS),
    "accept": (errno.EINTR, errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH),
    "setsockopt": (errno.ENOMEM, errno.ENOBUFS, errno.EINVAL),
    "close": (errno.EINTR, errno.EIO),
    "poll": (errno.EINTR, errno.ENOMEM),
}
ENDING = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPIPE)
RATE = 0.2  # share of calls that fail or are short


class Shim:
    """Draws what becomes of each call, and counts the faults by call and error."""

    def __init__(self, seed: int) -> None:
        self.draw, self.seen = random.Random(seed), dict[tuple[str, int], int]()

    def fault(self, call: str) -> None:
        """Raises OSError, or does nothing."""
        if self.draw.random() < RATE:
            number = self.draw.choice(PASSING[call])
            self.seen[call, number] = self.seen.get((call, number), 0) + 1
            raise OSError(number, errno.errorcode[number])

    def size(self, most: int) -> int:
        return self.draw.randint(1, min(most, 40)) if self.draw.random() < RATE else most


class FaultySocket:
    """A socket whose calls go through the shim."""

    def __init__(self, real: Any, shim: Shim) -> None:
        self.real, self.shim = real, shim

    def recv(self, most: int) -> bytes:
        self.shim.fault("recv")
        return bytes(self.real.recv(self.shim.size(most)))

    def send(self, data: Any) -> int:
        self.shim.fault("send")
        return int(self.real.send(memoryview(data)[: self.shim.size(len(data))]))

    def accept(self) -> tuple[Any, Any]:
        self.shim.fault("accept")
        taken, peer = self.real.accept()
        return FaultySocket(taken, self.shim), peer

    def setsockopt(self, *rest: Any) -> None:
        self.shim.fault("setsockopt")
        self.real.setsockopt(*rest)

    def close(self) -> None:
        self.real.close()
        self.shim.fault("close")

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


class FaultyPoller:
    def __init__(self, real: Any, shim: Shim) -> None:
        self.real, self.shim = real, shim

    def poll(self, timeout: float | None) -> Any:
        self.shim.fault("poll")
        return self.real.poll(timeout)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


@pytest.fixture
def shim(monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest) -> Shim:
    found = Shim(request.param)
    plain_port, plain_driver = SocketPort.__init__, PollDriver.__init__

    def port(self: SocketPort, sock: socket.socket) -> None:
        plain_port(self, sock)
        self.sock = sock if isinstance(sock, FaultySocket) else FaultySocket(sock, found)  # type: ignore[assignment]

    def driver(self: PollDriver) -> None:
        plain_driver(self)
        self.poller = FaultyPoller(self.poller, found)  # type: ignore[assignment]

    monkeypatch.setattr(SocketPort, "__init__", port)
    monkeypatch.setattr(PollDriver, "__init__", driver)
    return found


CROWD, FEW = 60, 4  # requests at once: a crowd that has to wait, and what the first window lets through
PLENTY = 20_000  # ms that each of a crowd has: it is not shed, however slow the machine


@pytest.mark.parametrize("shim", range(6), indirect=True)
@pytest.mark.parametrize(("at_once", "left"), [(CROWD, PLENTY), (FEW, 1400)])
def test_transient_system_call_errors_cost_no_request_its_response(
    tmp_path: Path, shim: Shim, at_once: int, left: int
) -> None:
    # A crowd with the usual time was shed on a slow machine, which is right and no fault of a call.
    lanes = [dict(lane, PromiseMs=float(left), DeadlineMs=float(left)) for lane in SETTINGS["Lanes"]]

    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())

        def ask(number: int) -> Any:
            return rig.send_request(
                "/record", "POST", f"m{number}", left, None, b"x" * 300, idempotency_key=f"k{number}"
            )

        got = []
        for first in range(0, CROWD, at_once):
            tasks = [rig.loop.spawn(ask, first + number) for number in range(at_once)]
            got += [task.join(4.0) for task in tasks]
        assert [(answer.status, answer.body) for answer in got] == [(200, b"ok")] * CROWD
        seen = [asked.header(b"x-call-id") for box in rig.servers for asked in box.seen]
        assert len(seen) == len(set(seen)) == CROWD  # no attempt was made twice
        assert len(shim.seen) > 12

    changed = {"settings": SETTINGS | {"Lanes": lanes}} if at_once == CROWD else {}
    PlatformRig(tmp_path, test, [answers()] * 2, **changed)


def spawned(rig: PlatformRig, number: int) -> Any:
    return rig.send_request("/record", "POST", f"e{number}", 900, None, b"{}", idempotency_key=f"k{number}")


@pytest.mark.parametrize("number", ENDING)
def test_read_error_that_ends_a_connection_counts_as_may_have_run(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A keyed request goes again to its own zone and window alone, and is never called harmless to send again.
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        raw_client, server = Stream.read, rig.servers[0].listener.address

        def broken(stream: Stream, *rest: Any) -> bytes:
            if stream.peer == server:
                raise OSError(number, errno.errorcode[number])
            return raw_client(stream, *rest)

        monkeypatch.setattr(Stream, "read", broken)
        answer = spawned(rig, number)
        assert answer.status in (502, 504) and answer.header(b"retry-after") is None and rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])


def test_truncated_response_is_not_forwarded(tmp_path: Path) -> None:
    def half(
        box: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
    ) -> bytes | None:
        stream.write(encode_response(200, [], b"a long answer")[:-4], 1.0)
        return None

    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        assert spawned(rig, 1).status in (502, 504)

    PlatformRig(tmp_path, test, [half])


def test_unwritable_log_costs_no_response(tmp_path: Path) -> None:
    # Each line fails with ENOSPC; a request that is refused writes one, and gets its answer all the same.
    listen = free_address()
    environ = write_configuration(
        tmp_path,
        listen="{}:{}".format(*listen),
        discovery="127.0.0.1:9",
        known={"index": 1, "snapshot": True, "endpoints": []},
    )
    with open("/dev/full", "wb") as full:
        one = subprocess.Popen(
            [sys.executable, "-m", "stepsail.platform"],
            cwd=ROOT,
            stderr=full,
            env={"PATH": "/usr/bin:/bin"} | environ,
        )
    try:
        said, asked = b"", 0
        while not said.startswith(b"HTTP/1.1 503") and asked < 100:
            asked += 1
            time.sleep(0.05)
            try:
                with socket.create_connection(listen, 1.0) as client:
                    client.sendall(client_request(f"a{asked}"))
                    said = client.recv(1000)
            except ConnectionRefusedError:
                continue
        assert said.startswith(b"HTTP/1.1 503") and one.poll() is None
        one.send_signal(signal.SIGTERM)
        assert one.wait(10) == 0
    finally:
        one.kill()
        one.wait()


def test_start_waits_for_its_address_and_for_a_whole_configuration(tmp_path: Path) -> None:
    listen = free_address()
    holder = socket.create_server(listen)
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    whole = (tmp_path / "config.json").read_bytes()
    (tmp_path / "config.json").write_bytes(whole[:40])
    with (tmp_path / "log").open("wb") as log:
        one = subprocess.Popen(
            [sys.executable, "-m", "stepsail.platform"],
            cwd=ROOT,
            stderr=log,
            env={"PATH": "/usr/bin:/bin"} | environ,
        )
    try:
        time.sleep(0.5)
        (tmp_path / "config.json").write_bytes(whole)
        end = time.monotonic() + 5.0
        while b"listen_failed" not in (tmp_path / "log").read_bytes():
            assert time.monotonic() < end and one.poll() is None, (tmp_path / "log").read_text()
            time.sleep(0.02)
        holder.close()
        while True:
            assert time.monotonic() < end and one.poll() is None, (tmp_path / "log").read_text()
            try:
                socket.create_connection(listen, 1.0).close()
                break
            except ConnectionRefusedError:
                time.sleep(0.02)
    finally:
        holder.close()
        one.kill()
        one.wait()
