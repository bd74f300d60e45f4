"""The poll driver on the loopback interface: close, hang-up, refusal, reset, lack of descriptors, signals."""

from __future__ import annotations

import errno
import os
import resource
import signal
import socket
import struct
from collections.abc import Iterator
from typing import Any

import pytest

from stepsail.loop import Closed, Datagrams, Listener, Loop, PollDriver, Stream, TimedOut
from stepsail.loop.driver import READ

LOOPBACK = ("127.0.0.1", 0)


@pytest.fixture()
def loop() -> Iterator[Loop]:
    driver = PollDriver()
    reports.clear()
    yield Loop(driver, lambda event, **fields: reports.append((event, fields)))
    driver.shutdown()


reports: list[tuple[str, dict[str, Any]]] = []


def connect_pair(loop: Loop) -> tuple[Stream, socket.socket]:
    """Return a connected stream of the loop and the plain blocking socket at its other end."""
    with socket.create_server(LOOPBACK) as server:
        stream = Stream.connect(loop, server.getsockname(), 1)
        return stream, server.accept()[0]


def test_a_descriptor_is_closed_during_a_wait_and_its_number_reused(loop: Loop) -> None:
    def main() -> None:
        old_stream, peer = connect_pair(loop)

        def read_until_closed() -> str:
            try:
                old_stream.read()
            except Closed:
                return "closed"
            return "read"

        reader = loop.spawn(read_until_closed)
        loop.yield_turn()
        fd_number = old_stream.port.fd  # type: ignore[attr-defined]
        old_stream.close()
        new_stream, new_peer = connect_pair(loop)
        assert new_stream.port.fd == fd_number  # type: ignore[attr-defined]
        new_peer.sendall(b"for the new one")
        assert new_stream.read(1) == b"for the new one"
        assert reader.join() == "closed"
        for sock in (peer, new_peer):
            sock.close()

    loop.run(main)


def test_unread_data_is_read_before_a_hang_up(loop: Loop) -> None:
    def main() -> None:
        stream, peer = connect_pair(loop)
        peer.sendall(b"last words")
        peer.close()
        loop.sleep(0.01)
        assert stream.read(1) == b"last words"
        assert stream.read(1) == b""

    loop.run(main)


def test_refused_and_hanging_connects_and_a_reset(loop: Loop) -> None:
    def main() -> None:
        with socket.create_server(LOOPBACK) as server:
            refused_address = server.getsockname()
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, refused_address, 1)
        with socket.socket() as full_listener:  # with a backlog of 0, further connects hang
            full_listener.bind(LOOPBACK)
            full_listener.listen(0)
            fillers = []
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(full_listener.getsockname())
                fillers.append(filler)
            with pytest.raises(TimedOut):
                Stream.connect(loop, full_listener.getsockname(), 0.05)
            for filler in fillers:
                filler.close()
        stream, peer = connect_pair(loop)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        with pytest.raises(ConnectionResetError):
            stream.read(1)

    loop.run(main)


def test_a_read_continues_to_wait_after_a_spurious_wake_up(loop: Loop) -> None:
    """A read that gets EAGAIN after a wake-up, as another reader took the data, waits again."""

    def main() -> bytes:
        stream, peer = connect_pair(loop)
        reader = loop.spawn(stream.read, 1)
        loop.yield_turn()
        stream.port.waiters[READ].wake()  # type: ignore[attr-defined]
        loop.sleep(0.01)
        assert not reader.done
        peer.sendall(b"now")
        return bytes(reader.join())

    assert loop.run(main) == b"now"


def test_accept_without_free_descriptors_neither_spins_nor_loses_connections(loop: Loop) -> None:
    # The failure: the connection was reset, along with the request that it may hold. A request that the
    # system has accepted must get a response.
    served: list[Stream] = []

    def main() -> None:
        listener = Listener(loop, LOOPBACK, 100)

        def serve(stream: Stream) -> None:
            served.append(stream)
            stream.read(1)

        loop.spawn(listener.serve, serve, "echo")
        loop.yield_turn()
        first, second = socket.socket(), socket.socket()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        highest_fd = max(int(name) for name in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest_fd + 1, hard))
        fillers: list[int] = []
        try:
            while True:
                fillers.append(os.open(os.devnull, os.O_RDONLY))
        except OSError:
            pass
        rounds = loop.rounds
        try:
            first.connect(listener.address)
            first.sendall(b"a request")
            loop.sleep(0.2)
            first.setblocking(False)
            with pytest.raises(BlockingIOError):
                first.recv(1)
            assert loop.rounds - rounds < 40 and not served
        finally:
            for fd in fillers:
                os.close(fd)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        second.connect(listener.address)
        loop.sleep(0.1)
        assert [stream.peer for stream in served] == [first.getsockname(), second.getsockname()]
        assert reports[0][0] == "accept_failed" and len(reports) < 6
        first.close()
        second.close()
        listener.drop()

    loop.run(main)


def test_stopping_handshakes_keeps_the_backlog_and_open_connections(loop: Loop) -> None:
    def main() -> None:
        listener = Listener(loop, LOOPBACK, 100)
        served = list[bytes]()

        def serve(stream: Stream) -> None:
            while data := stream.read():
                served.append(data)
                stream.write(data)

        loop.spawn(listener.serve, serve, "echo")
        open_client, queued_client = socket.create_connection(listener.address), socket.socket()
        loop.sleep(0.01)
        queued_client.connect(listener.address)  # is in the backlog when handshakes are stopped
        assert not listener.close_gracefully()
        late_client = socket.socket()
        late_client.setblocking(False)
        assert late_client.connect_ex(listener.address) in (errno.EINPROGRESS, errno.ECONNREFUSED)
        for client in (open_client, queued_client):
            client.sendall(b"a" * 20_000)
            client.setblocking(False)
        loop.sleep(0.2)
        assert (
            listener.close_gracefully()
            and sum(map(len, served)) == 40_000
            and len(listener.open_streams) == 2
        )
        for client in (open_client, queued_client):
            client.recv(100)
            client.shutdown(socket.SHUT_WR)  # only a SYN is refused: a FIN arrives as well
        loop.sleep(0.05)
        assert not listener.open_streams
        with pytest.raises(OSError):  # the connect was refused and no byte was accepted
            late_client.send(b"x")
        for client in (open_client, queued_client, late_client):
            client.close()

    loop.run(main)


def test_a_full_listener_accepts_the_next_connection_when_one_ends(loop: Loop) -> None:
    seen: list[bytes] = []

    def main() -> None:
        listener = Listener(loop, LOOPBACK, 1)
        loop.spawn(listener.serve, lambda stream: seen.append(stream.read(1)), "door")
        first, second = socket.create_connection(listener.address), socket.create_connection(listener.address)
        second.sendall(b"second")
        loop.sleep(0.02)
        assert seen == [] and len(listener.open_streams) == 1
        first.sendall(b"first")
        loop.sleep(0.05)
        assert seen == [b"first", b"second"]
        first.close()
        second.close()
        listener.drop()

    loop.run(main)


def test_a_signal_during_a_write_does_not_truncate_it(loop: Loop) -> None:
    received_signals: list[str] = []

    def main() -> None:
        stream, peer = connect_pair(loop)
        loop.driver.on_signal(signal.SIGTERM, lambda: received_signals.append("stop"))
        data = os.urandom(1 << 16) * 160
        writer = loop.spawn(stream.write, data, 5)
        loop.sleep(0.01)
        assert not writer.done
        os.kill(os.getpid(), signal.SIGTERM)
        loop.sleep(0.01)
        assert received_signals == ["stop"] and not writer.done
        received = bytearray()
        peer.setblocking(False)
        while len(received) < len(data):
            try:
                received += peer.recv(1 << 20)
            except BlockingIOError:
                loop.sleep(0.001)
        writer.join()
        assert received == data and stream.sent == len(data)
        peer.close()

    loop.run(main)


def test_a_write_to_a_peer_that_does_not_read_times_out(loop: Loop) -> None:
    def main() -> int:
        stream, peer = connect_pair(loop)
        with pytest.raises(TimedOut):
            stream.write(bytes(1 << 24), 0.05)
        peer.close()
        return stream.sent

    assert 0 < loop.run(main) < 1 << 24


def test_a_hung_up_peer_without_a_waiter_does_not_make_the_loop_spin(loop: Loop) -> None:
    def main() -> int:
        stream, peer = connect_pair(loop)
        peer.close()
        with pytest.raises(TimedOut):
            loop.park(loop.waiter(), "nothing", 0.05)
        rounds = loop.rounds
        loop.sleep(0.1)
        assert stream.read(1) == b""
        return loop.rounds - rounds

    assert loop.run(main) < 10


def test_a_datagram_to_a_closed_port_is_lost_without_an_error(loop: Loop) -> None:
    def main() -> tuple[bytes, bool]:
        sender, receiver = Datagrams(loop, LOOPBACK), Datagrams(loop, LOOPBACK)
        closed = Datagrams(loop, LOOPBACK)
        closed.close()
        assert sender.send(b"lost", closed.address)
        loop.sleep(0.01)
        assert sender.send(b"heard", receiver.address)
        data, peer = receiver.receive(1)
        return data, peer == sender.address

    assert loop.run(main) == (b"heard", True)
