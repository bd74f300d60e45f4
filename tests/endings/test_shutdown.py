"""Tests, on real sockets, a shutdown (SIGTERM) while requests are accepted but not read yet.

To force this order, a test does several things in one iteration of the loop, in which the instance's tasks
cannot run: the bytes that a client writes are then in the kernel's buffers, or its connection is in the
accept backlog, when the shutdown begins.
"""

from __future__ import annotations

import errno
import os
import select
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

import pytest
from platform_configuration import SETTINGS, write_configuration
from platform_rig import PlatformRig, encode_client_request, raw_client, read_all
from rig import Rig, answers, hangs

from stepsail.http.reader import MessageReader
from stepsail.loop import Listener, Stream
from stepsail.loop.socket_port import SocketPort
from stepsail.platform.application import CONNECTING_CLIENTS_GRACE
from stepsail.proxy.listener import ClientListener
from stepsail.standins.instances import free_address


def test_request_in_the_accept_backlog_is_answered(tmp_path: Path) -> None:
    # Closing the listener reset the connections in its accept backlog.
    def test(rig: PlatformRig) -> None:
        rig.application.listener.close_after_responses()
        clients = [raw_client(rig) for _ in range(40)]
        for number, client in enumerate(clients):
            client.sendall(encode_client_request(f"w{number}"))
        rig.application.listener.begin_shutdown()
        assert all(b"200 OK" in read_all(rig.loop, client) for client in clients)
        with pytest.raises(ConnectionRefusedError):
            raw_client(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_connection_between_the_last_accept_and_the_close_is_not_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Closing the listener reset the connections that the kernel had accepted since the last call to `accept`,
    # which had found none.
    real_close = Listener.close
    clients: list[tuple[socket.socket, bool]] = []

    def close(listener: Listener) -> None:
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.address)
        select.select([], [client], [], 1.0)
        connected = client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        if connected:
            client.sendall(encode_client_request("l1"))
        clients.append((client, connected))
        real_close(listener)

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(Listener, "close", close)
        rig.application.listener.close_after_responses()
        rig.application.listener.begin_shutdown()
        rig.wait_until(lambda: clients)
        monkeypatch.undo()
        ((client, connected),) = clients
        assert not connected or b"200 OK" in read_all(rig.loop, client)
        with pytest.raises(ConnectionRefusedError):
            raw_client(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_listener_that_cannot_stop_handshakes_closes_after_the_backlog(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(port: SocketPort) -> None:
        raise OSError(errno.ENOPROTOOPT, "not supported")

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(SocketPort, "stop_handshakes", fail)
        clients = [raw_client(rig) for _ in range(5)]
        for number, client in enumerate(clients):
            client.sendall(encode_client_request(f"f{number}"))
        listener = rig.application.listener
        listener.close_after_responses()
        listener.begin_shutdown()
        assert all(b"200 OK" in read_all(rig.loop, client) for client in clients)
        rig.wait_until(listener.close_finished_connections)
        assert "handshakes_not_stopped" in rig.log.events()
        with pytest.raises(ConnectionRefusedError):
            raw_client(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_request_whose_connection_task_has_not_started_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_serve_client, may_start = ClientListener.serve_client, list[bool]()

    def delayed_serve_client(listener: ClientListener, stream: Stream) -> None:
        while not may_start:
            listener.loop.sleep(0.001)
        real_serve_client(listener, stream)

    def test(rig: PlatformRig) -> None:
        client = raw_client(rig)
        client.sendall(encode_client_request("n1"))
        rig.wait_until(lambda: rig.application.listener.listener.open_streams)  # type: ignore[union-attr]
        rig.application.listener.begin_shutdown()
        may_start.append(True)
        assert b"200 OK" in read_all(rig.loop, client)

    monkeypatch.setattr(ClientListener, "serve_client", delayed_serve_client)
    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("earlier_requests", [0, 1])
def test_unread_request_on_an_open_connection_is_answered(tmp_path: Path, earlier_requests: int) -> None:
    def test(rig: PlatformRig) -> None:
        client, listener = raw_client(rig), rig.application.listener
        for number in range(earlier_requests):
            client.sendall(encode_client_request(f"e{number}"))
            assert b"200 OK" in read_all(rig.loop, client, one_response=True)
        rig.wait_until(
            lambda: listener.reaper.idle if earlier_requests else listener.reaper.awaiting_first_request
        )
        client.sendall(encode_client_request("u1"))
        listener.begin_shutdown()
        assert b"200 OK" in read_all(rig.loop, client)

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("earlier_requests", [0, 1])
def test_partial_request_is_read_to_its_end_and_answered(
    tmp_path: Path, earlier_requests: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_feed, received = MessageReader.feed, list[bytes]()

    def feed(reader: MessageReader, data: bytes) -> None:
        received.append(data)
        real_feed(reader, data)

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(MessageReader, "feed", feed)
        client, listener = raw_client(rig), rig.application.listener
        for number in range(earlier_requests):
            client.sendall(encode_client_request(f"e{number}"))
            assert b"200 OK" in read_all(rig.loop, client, one_response=True)
        request = encode_client_request("p1", body=b"{}")
        client.sendall(request[:30])
        rig.wait_until(lambda: request[:30] in received)
        listener.begin_shutdown()
        rig.loop.sleep(0.05)
        client.sendall(request[30:])
        assert b"200 OK" in read_all(rig.loop, client)

    PlatformRig(tmp_path, test, [answers()])


def test_idle_connection_closes_at_once_and_silent_new_one_soon(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        idle_client, silent_client = raw_client(rig), raw_client(rig)
        idle_client.sendall(encode_client_request("q1"))
        read_all(rig.loop, idle_client, one_response=True)
        rig.wait_until(
            lambda: rig.application.listener.reaper.idle
            and rig.application.listener.reaper.awaiting_first_request
        )
        start = rig.loop.now()
        rig.application.stop_requested.set()
        assert read_all(rig.loop, idle_client) == b"" and rig.loop.now() - start < 0.8
        assert read_all(rig.loop, silent_client) == b"" and rig.loop.now() - start < 1.5
        assert rig.task.join(3.0) == 0

    PlatformRig(tmp_path, test, [answers()])


def test_unread_bytes_after_the_last_request_do_not_reset_its_response(tmp_path: Path) -> None:
    # Closing a socket with unread bytes sends a reset, and the client then loses a response that it has not
    # read.
    def test(rig: PlatformRig) -> None:
        client = raw_client(rig)
        rig.application.listener.close_after_responses()
        client.sendall(encode_client_request("b1"))
        rig.wait_until(lambda: rig.servers[0].seen)
        # More bytes than the instance reads ahead, so that some are unread when the connection is closed.
        client.sendall(b"x" * 70_000)
        received = read_all(rig.loop, client)
        assert b"200 OK" in received and received.endswith(b"late")

    PlatformRig(tmp_path, test, [hangs(0.3)])


def test_request_still_in_flight_at_the_end_of_shutdown_is_answered(tmp_path: Path) -> None:
    # The time for the shutdown is the longest deadline, but at most 3 s. Requests that were in flight longer
    # were cut off without a response.
    lanes = [dict(lane, DeadlineMs=9000.0) for lane in SETTINGS["Lanes"]]

    def test(rig: PlatformRig) -> None:
        response_task = rig.loop.spawn(rig.send_request, "/lookup", "GET", "long", 9000, name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        start = rig.loop.now()
        rig.application.stop_requested.set()
        response = response_task.join(6.0)
        assert response.status in (502, 504) and response.header(b"retry-after") is None
        assert rig.task.join(1.0) == 3 and 3.0 < rig.loop.now() - start < 3.7

    PlatformRig(tmp_path, test, [hangs(20.0)], settings=SETTINGS | {"Lanes": lanes})


def test_second_sigterm_and_sigterm_during_reload_change_nothing(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        response_task = rig.loop.spawn(rig.send_request, "/lookup", "GET", "held", name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        (tmp_path / "config.json").write_bytes(b"{")
        rig.application.reload()
        rig.wait_until(lambda: "configuration_invalid" in rig.log.events())
        rig.application.stop_requested.set()
        rig.loop.sleep(0.05)
        rig.application.stop_requested.set()
        assert response_task.join(3.0).status == 200 and rig.task.join(5.0) == 0

    PlatformRig(tmp_path, test, [hangs(0.8)])


def test_daemon_answers_accepted_and_unread_requests_on_shutdown(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        idle_client, new_clients = rig.plain_socket(), [rig.plain_socket() for _ in range(5)]
        idle_client.sendall(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n")
        read_all(rig.loop, idle_client, one_response=True)
        for client in (idle_client, *new_clients):
            client.sendall(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n")
        rig.application.listener.begin_shutdown()
        assert all(b"200 OK" in read_all(rig.loop, client) for client in (idle_client, *new_clients))

    Rig(tmp_path, test, [answers()])


def test_daemon_answers_requests_in_flight_when_the_shutdown_timeout_expires(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        response_task = rig.loop.spawn(rig.request, "POST", "/pay", b"{}")
        rig.loop.sleep(0.05)
        rig.application.stop()
        assert response_task.join(2.0).status in (502, 504) and rig.application_task.join(2.0) == 3

    Rig(tmp_path, test, [hangs()], "leave-within 300ms")


def test_request_accepted_by_the_kernel_during_a_pause_is_answered_after_sigterm(tmp_path: Path) -> None:
    # The process is paused between SIGTERM and the close of its listener: its accept loop does not run while
    # connections and requests arrive. When the process resumes, the grace period for connecting clients is
    # over.
    listen, root = free_address(), Path(__file__).parents[2]
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    command = tomllib.loads((root / "deploy/balancer.toml").read_text())["run"]
    process = subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, stderr=subprocess.PIPE
    )
    try:
        wait_until_ready(listen)
        idle_client = socket.create_connection(listen, 1.0)
        idle_client.sendall(encode_client_request("i1"))
        assert idle_client.recv(4096).startswith(b"HTTP/1.1 503")
        process.send_signal(signal.SIGTERM)
        assert process.stderr
        while b'"shutting_down"' not in process.stderr.readline():
            pass
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
        clients = [idle_client, *(socket.create_connection(listen, 1.0) for _ in range(60))]
        for number, client in enumerate(clients):
            client.sendall(encode_client_request(f"s{number}", time_left_ms=1400))
        time.sleep(CONNECTING_CLIENTS_GRACE + 0.1)
        process.send_signal(signal.SIGCONT)
        for client in clients:
            client.settimeout(3.0)
            # No server is known: each request must be rejected, and none lost.
            assert client.recv(4096).startswith(b"HTTP/1.1 503")
        assert process.wait(10) == 0
    finally:
        process.kill()
        assert process.stderr
        process.stderr.close()


def wait_until_ready(listen: tuple[str, int]) -> None:
    for _ in range(400):
        try:
            with socket.create_connection(listen, 1.0) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
                if sock.recv(1000).startswith(b"HTTP/1.1 200"):
                    return
        except OSError:
            pass
        time.sleep(0.025)
    raise AssertionError("not ready")


def test_shutdown_timeout_follows_from_the_settings(tmp_path: Path) -> None:
    from stepsail.platform.configuration import read_configuration

    for deadline_ms, max_timeout in ((800.0, 1.5), (2500.0, 3.2), (20_000.0, 3.7)):
        lanes = [dict(lane, DeadlineMs=deadline_ms) for lane in SETTINGS["Lanes"]]
        configuration = read_configuration(
            write_configuration(tmp_path, settings=SETTINGS | {"Lanes": lanes})
        )
        assert max_timeout - 0.2 <= configuration.settings.shutdown_timeout < max_timeout
