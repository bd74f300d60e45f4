"""The processes of the relay measurement: a box that answers at once, a load of closed loops, two bare relays.

python bench/relay/parts.py box|loop|gevent PORT [BOX_PORT]
python bench/relay/parts.py load CONNECTIONS SECONDS ROUNDS NAME:PID:PORT ...
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\ncontent-type: application/json\r\n\r\n" + b"x" * 64
ASKED = (
    b"GET /look HTTP/1.1\r\nhost: 127.0.0.1\r\nuser-agent: load\r\naccept: */*\r\n"
    b"x-request-id: 0123456789\r\nrequest-timeout: 3.0\r\n\r\n"
)
MOST_HELD = 1 << 20


class BoxProtocol(asyncio.Protocol):
    """Answers each request head at once; requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.held = transport, b""

    def data_received(self, data: bytes) -> None:
        self.held += data
        count = self.held.count(b"\r\n\r\n")
        if count:
            self.held = self.held[self.held.rindex(b"\r\n\r\n") + 4 :]
            self.transport.write(ANSWER * count)  # type: ignore[attr-defined]


class LoadProtocol(asyncio.Protocol):
    """One closed loop: the next request as soon as the answer is whole, while `load` is on."""

    def __init__(self, load: Load) -> None:
        self.load, self.held, self.at = load, b"", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def ask(self) -> None:
        self.at = time.perf_counter()
        self.load.out += 1
        self.transport.write(ASKED)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self.held += data
        end = self.held.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.held[:end].lower()
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        if len(self.held) < end + 4 + length:
            return
        self.load.took.append(time.perf_counter() - self.at)
        self.load.bad += not head.startswith(b"http/1.1 200")
        self.load.out -= 1
        self.held = b""
        if self.load.on:
            self.ask()


class Load:
    """The closed loops towards one relay process."""

    def __init__(self, name: str, pid: int, port: int) -> None:
        self.name, self.pid, self.port = name, pid, port
        self.took: list[float] = []
        self.bad, self.out, self.on = 0, 0, False
        self.made: list[LoadProtocol] = []

    async def connect(self, connections: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            self.made.append(
                (await loop.create_connection(lambda: LoadProtocol(self), "127.0.0.1", self.port))[1]
            )

    def cpu(self) -> float:
        """Seconds of CPU that the process has used, by the scheduler's own count."""
        return (
            sum(
                int(Path(f"/proc/{self.pid}/task/{task}/schedstat").read_text().split()[0])
                for task in os.listdir(f"/proc/{self.pid}/task")
            )
            / 1e9
        )

    async def slice(self, seconds: float) -> dict[str, Any]:
        """Ask for so long, wait for what is out, and tell what it came to."""
        self.took, self.bad, self.on = [], 0, True
        before, start = self.cpu(), time.perf_counter()
        for one in self.made:
            one.ask()
        await asyncio.sleep(seconds)
        self.on = False
        while self.out:
            await asyncio.sleep(0.002)
        wall, took = time.perf_counter() - start, sorted(self.took)
        return {
            "rate": len(took) / wall,
            "cpu_us": (self.cpu() - before) / len(took) * 1e6,
            "bad": self.bad,
            "median_ms": took[len(took) // 2] * 1e3,
            "p99_ms": took[int(len(took) * 0.99)] * 1e3,
        }


async def box(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(BoxProtocol, "127.0.0.1", port, backlog=4096)
    await server.serve_forever()


async def load(targets: list[str], connections: int, seconds: float, rounds: int) -> None:
    """Slices of load on each relay in turn, round after round, so that a machine that is slow for a while is so for
    all; one line of JSON for each round. Targets are NAME:PID:PORT."""
    loads = [Load(t.split(":")[0], int(t.split(":")[1]), int(t.split(":")[2])) for t in targets]
    for one in loads:
        await one.connect(connections)
        await one.slice(1.0)  # warm
    for _ in range(rounds):
        print(json.dumps({one.name: await one.slice(seconds) for one in loads}), flush=True)
        loads = loads[1:] + loads[:1]


def loop_relay(port: int, to: int) -> None:
    """The same loop and parser as the umpire's, and no module: pool, relay, answer."""
    from stepsail.http import (
        ClientConnection,
        ConnectionLimits,
        Progress,
        ServerConnection,
        encode_request,
        encode_response,
    )
    from stepsail.http.message import end_to_end
    from stepsail.loop import Listener, Loop, PollDriver, Stream

    loop = Loop(PollDriver())
    idle: list[ClientConnection] = []

    def client(stream: Stream) -> None:
        connection = ServerConnection(loop, stream, ConnectionLimits())
        while (request := connection.next()) is not None:
            while idle and idle[-1].stale():
                idle.pop().close()
            connection = (
                idle.pop()
                if idle
                else ClientConnection(loop, Stream.connect(loop, ("127.0.0.1", to), 1.0), ConnectionLimits())
            )
            data = encode_request(request.method, request.target, end_to_end(request.headers), request.body)
            answer = connection.exchange(data, loop.now() + 3.0, Progress())
            if connection.usable:
                idle.append(connection)
            stream.write(encode_response(answer.status, end_to_end(answer.headers), answer.body), 3.0)

    listener = Listener(loop, ("127.0.0.1", port), 10000)
    loop.run(listener.serve, client, "client")


def gevent_relay(port: int, to: int) -> None:
    """The same relay, with the same parser, on gevent."""
    import gevent.socket
    from gevent.server import StreamServer

    from stepsail.http import ConnectionLimits, encode_request, encode_response
    from stepsail.http.message import end_to_end
    from stepsail.http.reader import MessageReader

    idle: list[tuple[gevent.socket.socket, MessageReader]] = []

    def client(sock: gevent.socket.socket, _: object) -> None:
        reader = MessageReader(True, ConnectionLimits())
        while True:
            while not reader.complete:
                data = sock.recv(65536)
                if not data:
                    return
                reader.feed(data)
            request = reader.take_request()
            reader.reset()
            reader.feed(b"")
            far, answers = (
                idle.pop()
                if idle
                else (
                    gevent.socket.create_connection(("127.0.0.1", to)),
                    MessageReader(False, ConnectionLimits()),
                )
            )
            answers.reset()
            with gevent.Timeout(3.0):
                far.sendall(encode_request(request.method, request.target, end_to_end(request.headers)))
                while not answers.complete:
                    answers.feed(far.recv(65536))
            answer = answers.take_response()
            idle.append((far, answers))
            sock.sendall(encode_response(answer.status, end_to_end(answer.headers), answer.body))

    StreamServer(("127.0.0.1", port), client, backlog=4096).serve_forever()


if __name__ == "__main__":
    what, port = sys.argv[1], int(sys.argv[2])
    if what == "box":
        asyncio.run(box(port))
    elif what == "load":
        asyncio.run(load(sys.argv[5:], port, float(sys.argv[3]), int(sys.argv[4])))
    elif what == "loop":
        loop_relay(port, int(sys.argv[3]))
    elif what == "gevent":
        gevent_relay(port, int(sys.argv[3]))
