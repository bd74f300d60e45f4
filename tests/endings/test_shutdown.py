"""A stop (SIGTERM) for the instants in which a request is taken and not yet read: on real sockets, forced.

The instants are held open by doing several things in one turn of the loop, in which the process's tasks cannot run:
what a client writes then lies in the system's buffers, or its connection in the backlog, when the stop comes.
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
    # A close of the listener reset what stood in its backlog.
    def test(rig: PlatformRig) -> None:
        rig.application.listener.close_after_responses()
        waiting = [raw_client(rig) for _ in range(40)]
        for at, client in enumerate(waiting):
            client.sendall(encode_client_request(f"w{at}"))
        rig.application.listener.begin_shutdown()
        assert all(b"200 OK" in read_all(rig.loop, client) for client in waiting)
        with pytest.raises(ConnectionRefusedError):
            raw_client(rig)

    PlatformRig(tmp_path, test, [answers()])


def test_connection_between_the_last_accept_and_the_close_is_not_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The close of the listener reset what the system had accepted since the accept that found none.
    real = Listener.close
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
        real(listener)

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
    def refused(port: SocketPort) -> None:
        raise OSError(errno.ENOPROTOOPT, "not here")

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(SocketPort, "stop_handshakes", refused)
        clients = [raw_client(rig) for _ in range(5)]
        for at, client in enumerate(clients):
            client.sendall(encode_client_request(f"f{at}"))
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
    real, begin = ClientListener.serve_client, list[bool]()

    def later(listener: ClientListener, stream: Stream) -> None:
        while not begin:
            listener.loop.sleep(0.001)
        real(listener, stream)

    def test(rig: PlatformRig) -> None:
        client = raw_client(rig)
        client.sendall(encode_client_request("n1"))
        rig.wait_until(lambda: rig.application.listener.listener.open_streams)  # type: ignore[union-attr]
        rig.application.listener.begin_shutdown()
        begin.append(True)
        assert b"200 OK" in read_all(rig.loop, client)

    monkeypatch.setattr(ClientListener, "serve_client", later)
    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("earlier", [0, 1])
def test_unread_request_on_an_open_connection_is_answered(tmp_path: Path, earlier: int) -> None:
    def test(rig: PlatformRig) -> None:
        client, listener = raw_client(rig), rig.application.listener
        for at in range(earlier):
            client.sendall(encode_client_request(f"e{at}"))
            assert b"200 OK" in read_all(rig.loop, client, one_response=True)
        rig.wait_until(lambda: listener.reaper.idle if earlier else listener.reaper.awaiting_first_request)
        client.sendall(encode_client_request("u1"))
        listener.begin_shutdown()
        assert b"200 OK" in read_all(rig.loop, client)

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("earlier", [0, 1])
def test_partial_request_is_read_to_its_end_and_answered(
    tmp_path: Path, earlier: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, fed = MessageReader.feed, list[bytes]()

    def feed(reader: MessageReader, data: bytes) -> None:
        fed.append(data)
        real(reader, data)

    def test(rig: PlatformRig) -> None:
        monkeypatch.setattr(MessageReader, "feed", feed)
        client, listener = raw_client(rig), rig.application.listener
        for at in range(earlier):
            client.sendall(encode_client_request(f"e{at}"))
            assert b"200 OK" in read_all(rig.loop, client, one_response=True)
        said = encode_client_request("p1", body=b"{}")
        client.sendall(said[:30])
        rig.wait_until(lambda: said[:30] in fed)
        listener.begin_shutdown()
        rig.loop.sleep(0.05)
        client.sendall(said[30:])
        assert b"200 OK" in read_all(rig.loop, client)

    PlatformRig(tmp_path, test, [answers()])


def test_idle_connection_closes_at_once_and_silent_new_one_soon(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        quiet, silent = raw_client(rig), raw_client(rig)
        quiet.sendall(encode_client_request("q1"))
        read_all(rig.loop, quiet, one_response=True)
        rig.wait_until(
            lambda: rig.application.listener.reaper.idle
            and rig.application.listener.reaper.awaiting_first_request
        )
        start = rig.loop.now()
        rig.application.stop_requested.set()
        assert read_all(rig.loop, quiet) == b"" and rig.loop.now() - start < 0.8
        assert read_all(rig.loop, silent) == b"" and rig.loop.now() - start < 1.5
        assert rig.task.join(3.0) == 0

    PlatformRig(tmp_path, test, [answers()])


def test_bytes_behind_the_last_response_do_not_reset_it(tmp_path: Path) -> None:
    # A close over unread bytes resets the client, which then loses the answer that it has not read.
    def test(rig: PlatformRig) -> None:
        client = raw_client(rig)
        rig.application.listener.close_after_responses()
        client.sendall(encode_client_request("b1"))
        rig.wait_until(lambda: rig.servers[0].seen)
        client.sendall(b"x" * 70_000)  # beyond what is taken in ahead, so that some lies unread at the close
        got = read_all(rig.loop, client)
        assert b"200 OK" in got and got.endswith(b"late")

    PlatformRig(tmp_path, test, [hangs(0.3)])


def test_request_still_in_flight_at_the_end_of_shutdown_is_answered(tmp_path: Path) -> None:
    # The time after SIGTERM is the longest deadline, counted as 3 s at most: what waits longer was cut off.
    lanes = [dict(lane, DeadlineMs=9000.0) for lane in SETTINGS["Lanes"]]

    def test(rig: PlatformRig) -> None:
        response_task = rig.loop.spawn(rig.send_request, "/lookup", "GET", "long", 9000, name="held")
        rig.wait_until(lambda: rig.servers[0].seen)
        start = rig.loop.now()
        rig.application.stop_requested.set()
        answer = response_task.join(6.0)
        assert answer.status in (502, 504) and answer.header(b"retry-after") is None
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


def test_daemon_answers_accepted_and_unread_request_on_stop(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        idle, fresh = rig.plain_socket(), [rig.plain_socket() for _ in range(5)]
        idle.sendall(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n")
        read_all(rig.loop, idle, one_response=True)
        for client in (idle, *fresh):
            client.sendall(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n")
        rig.application.listener.begin_shutdown()
        assert all(b"200 OK" in read_all(rig.loop, client) for client in (idle, *fresh))

    Rig(tmp_path, test, [answers()])


def test_daemon_answers_requests_in_flight_when_shutdown_time_is_over(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        response_task = rig.loop.spawn(rig.request, "POST", "/pay", b"{}")
        rig.loop.sleep(0.05)
        rig.application.stop()
        assert response_task.join(2.0).status in (502, 504) and rig.application_task.join(2.0) == 3

    Rig(tmp_path, test, [hangs()], "leave-within 300ms")


def test_request_accepted_by_the_system_during_a_pause_is_answered_after_sigterm(tmp_path: Path) -> None:
    # The whole program, stopped between SIGTERM and the end of its listener: its accept loop does not run while
    # connections and requests come in, and as it goes on the time in which clients still come is over.
    listen, root = free_address(), Path(__file__).parents[2]
    environ = write_configuration(
        tmp_path, listen="{}:{}".format(*listen), known={"index": 1, "snapshot": True, "endpoints": []}
    )
    run = tomllib.loads((root / "deploy/balancer.toml").read_text())["run"]
    one = subprocess.Popen(
        ["/bin/sh", "-c", run], cwd=root, env={"PATH": "/usr/bin:/bin"} | environ, stderr=subprocess.PIPE
    )
    try:
        until_ready(listen)
        idle = socket.create_connection(listen, 1.0)
        idle.sendall(encode_client_request("i1"))
        assert idle.recv(4096).startswith(b"HTTP/1.1 503")
        one.send_signal(signal.SIGTERM)
        assert one.stderr
        while b'"shutting_down"' not in one.stderr.readline():
            pass
        one.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, one.pid, os.WSTOPPED | os.WNOWAIT)
        clients = [idle, *(socket.create_connection(listen, 1.0) for _ in range(60))]
        for at, client in enumerate(clients):
            client.sendall(encode_client_request(f"s{at}", time_left_ms=1400))
        time.sleep(CONNECTING_CLIENTS_GRACE + 0.1)
        one.send_signal(signal.SIGCONT)
        for client in clients:
            client.settimeout(3.0)
            # No server is known: each is denied, none is dropped.
            assert client.recv(4096).startswith(b"HTTP/1.1 503")
        assert one.wait(10) == 0
    finally:
        one.kill()
        assert one.stderr
        one.stderr.close()


def until_ready(listen: tuple[str, int]) -> None:
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

    for longest, most in ((800.0, 1.5), (2500.0, 3.2), (20_000.0, 3.7)):
        lanes = [dict(lane, DeadlineMs=longest) for lane in SETTINGS["Lanes"]]
        post = read_configuration(write_configuration(tmp_path, settings=SETTINGS | {"Lanes": lanes}))
        assert most - 0.2 <= post.settings.shutdown_timeout < most
