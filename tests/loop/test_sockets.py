"""The poll driver on loopback: closing, hang-up, refusal, reset, running out of descriptors, signals."""

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

HERE = ("127.0.0.1", 0)


@pytest.fixture()
def loop() -> Iterator[Loop]:
    driver = PollDriver()
    reports.clear()
    yield Loop(driver, lambda event, **fields: reports.append((event, fields)))
    driver.shutdown()


reports: list[tuple[str, dict[str, Any]]] = []


def pair(loop: Loop) -> tuple[Stream, socket.socket]:
    """A stream of the loop's and a plain blocking socket at its far end."""
    with socket.create_server(HERE) as server:
        stream = Stream.connect(loop, server.getsockname(), 1)
        return stream, server.accept()[0]


def test_a_descriptor_closed_while_waited_on_and_its_number_reused(loop: Loop) -> None:
    def main() -> None:
        old, far = pair(loop)

        def reads() -> str:
            try:
                old.read()
            except Closed:
                return "closed"
            return "read"

        reader = loop.spawn(reads)
        loop.yield_turn()
        number = old.port.fd  # type: ignore[attr-defined]
        old.close()
        new, new_far = pair(loop)
        assert new.port.fd == number  # type: ignore[attr-defined]
        new_far.sendall(b"for the new one")
        assert new.read(1) == b"for the new one"
        assert reader.join() == "closed"
        for end in (far, new_far):
            end.close()

    loop.run(main)


def test_hang_up_with_unread_data_gives_the_data_first(loop: Loop) -> None:
    def main() -> None:
        stream, far = pair(loop)
        far.sendall(b"last words")
        far.close()
        loop.sleep(0.01)
        assert stream.read(1) == b"last words"
        assert stream.read(1) == b""

    loop.run(main)


def test_connect_refused_hanging_and_reset(loop: Loop) -> None:
    def main() -> None:
        with socket.create_server(HERE) as server:
            nobody = server.getsockname()
        with pytest.raises(ConnectionRefusedError):
            Stream.connect(loop, nobody, 1)
        with socket.socket() as full:  # a backlog of none: further connects hang
            full.bind(HERE)
            full.listen(0)
            fillers = []
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
                fillers.append(filler)
            with pytest.raises(TimedOut):
                Stream.connect(loop, full.getsockname(), 0.05)
            for filler in fillers:
                filler.close()
        stream, far = pair(loop)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        far.close()
        with pytest.raises(ConnectionResetError):
            stream.read(1)

    loop.run(main)


def test_readiness_that_was_taken_by_another_reader_is_waited_for_again(loop: Loop) -> None:
    """EAGAIN after readiness: the wake-up is spurious, the read goes on waiting."""

    def main() -> bytes:
        stream, far = pair(loop)
        reader = loop.spawn(stream.read, 1)
        loop.yield_turn()
        stream.port.waiters[READ].wake()  # type: ignore[attr-defined]
        loop.sleep(0.01)
        assert not reader.done
        far.sendall(b"now")
        return bytes(reader.join())

    assert loop.run(main) == b"now"


def test_no_descriptors_left_at_accept_waits_without_spinning_and_loses_none(loop: Loop) -> None:
    # It was reset, with the request that it may hold; a request that the system has taken is owed its answer.
    served: list[Stream] = []

    def main() -> None:
        listener = Listener(loop, HERE, 100)

        def serve(stream: Stream) -> None:
            served.append(stream)
            stream.read(1)

        loop.spawn(listener.serve, serve, "echo")
        loop.yield_turn()
        one, two = socket.socket(), socket.socket()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        used = max(int(name) for name in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (used + 1, hard))
        fillers: list[int] = []
        try:
            while True:
                fillers.append(os.open(os.devnull, os.O_RDONLY))
        except OSError:
            pass
        rounds = loop.rounds
        try:
            one.connect(listener.address)
            one.sendall(b"a request")
            loop.sleep(0.2)
            one.setblocking(False)
            with pytest.raises(BlockingIOError):
                one.recv(1)
            assert loop.rounds - rounds < 40 and not served
        finally:
            for fd in fillers:
                os.close(fd)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        two.connect(listener.address)
        loop.sleep(0.1)
        assert [stream.peer for stream in served] == [one.getsockname(), two.getsockname()]
        assert reports[0][0] == "accept_failed" and len(reports) < 6
        one.close()
        two.close()
        listener.drop()

    loop.run(main)


def test_stopped_handshakes_leave_the_backlog_and_open_connections_as_they_are(loop: Loop) -> None:
    def main() -> None:
        listener = Listener(loop, HERE, 100)
        served = list[bytes]()

        def serve(stream: Stream) -> None:
            while data := stream.read():
                served.append(data)
                stream.write(data)

        loop.spawn(listener.serve, serve, "echo")
        open_before, waiting = socket.create_connection(listener.address), socket.socket()
        loop.sleep(0.01)
        waiting.connect(listener.address)  # in the backlog as the handshakes stop
        assert not listener.finish()
        late = socket.socket()
        late.setblocking(False)
        assert late.connect_ex(listener.address) in (errno.EINPROGRESS, errno.ECONNREFUSED)
        for client in (open_before, waiting):
            client.sendall(b"a" * 20_000)
            client.setblocking(False)
        loop.sleep(0.2)
        assert listener.finish() and sum(map(len, served)) == 40_000 and len(listener.open) == 2
        for client in (open_before, waiting):
            client.recv(100)
            client.shutdown(socket.SHUT_WR)  # FIN without SYN passes as well
        loop.sleep(0.05)
        assert not listener.open
        with pytest.raises(OSError):  # refused, and no byte of it taken
            late.send(b"x")
        for client in (open_before, waiting, late):
            client.close()

    loop.run(main)


def test_a_full_listener_takes_the_next_when_one_ends(loop: Loop) -> None:
    seen: list[bytes] = []

    def main() -> None:
        listener = Listener(loop, HERE, 1)
        loop.spawn(listener.serve, lambda stream: seen.append(stream.read(1)), "door")
        one, two = socket.create_connection(listener.address), socket.create_connection(listener.address)
        two.sendall(b"second")
        loop.sleep(0.02)
        assert seen == [] and len(listener.open) == 1
        one.sendall(b"first")
        loop.sleep(0.05)
        assert seen == [b"first", b"second"]
        one.close()
        two.close()
        listener.drop()

    loop.run(main)


def test_a_stop_signal_in_the_middle_of_a_write_does_not_tear_it(loop: Loop) -> None:
    told: list[str] = []

    def main() -> None:
        stream, far = pair(loop)
        loop.driver.on_signal(signal.SIGTERM, lambda: told.append("stop"))
        data = os.urandom(1 << 16) * 160
        writer = loop.spawn(stream.write, data, 5)
        loop.sleep(0.01)
        assert not writer.done
        os.kill(os.getpid(), signal.SIGTERM)
        loop.sleep(0.01)
        assert told == ["stop"] and not writer.done
        got = bytearray()
        far.setblocking(False)
        while len(got) < len(data):
            try:
                got += far.recv(1 << 20)
            except BlockingIOError:
                loop.sleep(0.001)
        writer.join()
        assert got == data and stream.sent == len(data)
        far.close()

    loop.run(main)


def test_a_peer_that_reads_nothing_ends_the_write_at_its_bound(loop: Loop) -> None:
    def main() -> int:
        stream, far = pair(loop)
        with pytest.raises(TimedOut):
            stream.write(bytes(1 << 24), 0.05)
        far.close()
        return stream.sent

    assert 0 < loop.run(main) < 1 << 24


def test_a_hung_up_peer_nobody_listens_to_does_not_spin(loop: Loop) -> None:
    def main() -> int:
        stream, far = pair(loop)
        far.close()
        with pytest.raises(TimedOut):
            loop.park(loop.waiter(), "nothing", 0.05)
        rounds = loop.rounds
        loop.sleep(0.1)
        assert stream.read(1) == b""
        return loop.rounds - rounds

    assert loop.run(main) < 10


def test_datagrams_to_nobody_are_lost_and_harm_nothing(loop: Loop) -> None:
    def main() -> tuple[bytes, bool]:
        one, two = Datagrams(loop, HERE), Datagrams(loop, HERE)
        gone = Datagrams(loop, HERE)
        gone.close()
        assert one.send(b"lost", gone.address)
        loop.sleep(0.01)
        assert one.send(b"heard", two.address)
        data, peer = two.receive(1)
        return data, peer == one.address

    assert loop.run(main) == (b"heard", True)
