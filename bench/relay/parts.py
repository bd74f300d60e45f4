"""The processes for bench/relay/measure.py: a server that answers at once, load, and two minimal proxies.

python bench/relay/parts.py box|loop|gevent PORT [SERVER_PORT]
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

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\ncontent-type: application/json\r\n\r\n" + b"x" * 64
REQUEST = (
    b"GET /look HTTP/1.1\r\nhost: 127.0.0.1\r\nuser-agent: load\r\naccept: */*\r\n"
    b"x-request-id: 0123456789\r\nrequest-timeout: 3.0\r\n\r\n"
)
MAX_BUFFER_SIZE = 1 << 20


class ServerProtocol(asyncio.Protocol):
    """Answers each request head at once; requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        count = self.buffer.count(b"\r\n\r\n")
        if count:
            self.buffer = self.buffer[self.buffer.rindex(b"\r\n\r\n") + 4 :]
            self.transport.write(RESPONSE * count)  # type: ignore[attr-defined]


class LoadProtocol(asyncio.Protocol):
    """Sends requests in a closed loop: the next one once the answer is complete, while `load` is running."""

    def __init__(self, load: Load) -> None:
        self.load, self.buffer, self.sent_at = load, b"", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def send_request(self) -> None:
        self.sent_at = time.perf_counter()
        self.load.in_flight += 1
        self.transport.write(REQUEST)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = self.buffer[:end].lower()
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        if len(self.buffer) < end + 4 + length:
            return
        self.load.latencies.append(time.perf_counter() - self.sent_at)
        self.load.bad += not head.startswith(b"http/1.1 200")
        self.load.in_flight -= 1
        self.buffer = b""
        if self.load.running:
            self.send_request()


class Load:
    """The closed-loop connections to one proxy process."""

    def __init__(self, name: str, pid: int, port: int) -> None:
        self.name, self.pid, self.port = name, pid, port
        self.latencies: list[float] = []
        self.bad, self.in_flight, self.running = 0, 0, False
        self.protocols: list[LoadProtocol] = []

    async def connect(self, connections: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            self.protocols.append(
                (await loop.create_connection(lambda: LoadProtocol(self), "127.0.0.1", self.port))[1]
            )

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that the process has used, from the statistics of the scheduler."""
        return (
            sum(
                int(Path(f"/proc/{self.pid}/task/{task}/schedstat").read_text().split()[0])
                for task in os.listdir(f"/proc/{self.pid}/task")
            )
            / 1e9
        )

    async def run_slice(self, seconds: float) -> dict[str, Any]:
        """Send requests for some seconds, wait for the last answers, and return the results."""
        self.latencies, self.bad, self.running = [], 0, True
        cpu_before, start = self.cpu_seconds(), time.perf_counter()
        for protocol in self.protocols:
            protocol.send_request()
        await asyncio.sleep(seconds)
        self.running = False
        while self.in_flight:
            await asyncio.sleep(0.002)
        duration, latencies = time.perf_counter() - start, sorted(self.latencies)
        return {
            "rate": len(latencies) / duration,
            "cpu_us": (self.cpu_seconds() - cpu_before) / len(latencies) * 1e6,
            "bad": self.bad,
            "median_ms": latencies[len(latencies) // 2] * 1e3,
            "p99_ms": latencies[int(len(latencies) * 0.99)] * 1e3,
        }


async def run_server(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(ServerProtocol, "127.0.0.1", port, backlog=4096)
    await server.serve_forever()


async def run_load(targets: list[str], connections: int, seconds: float, rounds: int) -> None:
    """Load each proxy for a slice of time in turn, and print one line of JSON for each round.

    As the slices are short, a temporary slowdown of the machine affects all proxies.
    Each target is written as NAME:PID:PORT.
    """
    loads = [
        Load(target.split(":")[0], int(target.split(":")[1]), int(target.split(":")[2])) for target in targets
    ]
    for load in loads:
        await load.connect(connections)
        await load.run_slice(1.0)  # warm-up
    for _ in range(rounds):
        print(json.dumps({load.name: await load.run_slice(seconds) for load in loads}), flush=True)
        loads = loads[1:] + loads[:1]


def run_loop_proxy(port: int, server_port: int) -> None:
    """Run a proxy with an instance's event loop and parser, a connection pool, and no routing decisions."""
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

    def handle_client(stream: Stream) -> None:
        connection = ServerConnection(loop, stream, ConnectionLimits())
        while (request := connection.next()) is not None:
            while idle and idle[-1].stale():
                idle.pop().close()
            connection = (
                idle.pop()
                if idle
                else ClientConnection(
                    loop, Stream.connect(loop, ("127.0.0.1", server_port), 1.0), ConnectionLimits()
                )
            )
            data = encode_request(request.method, request.target, end_to_end(request.headers), request.body)
            answer = connection.exchange(data, loop.now() + 3.0, Progress())
            if connection.usable:
                idle.append(connection)
            stream.write(encode_response(answer.status, end_to_end(answer.headers), answer.body), 3.0)

    listener = Listener(loop, ("127.0.0.1", port), 10000)
    loop.run(listener.serve, handle_client, "client")


def run_gevent_proxy(port: int, server_port: int) -> None:
    """Run the same proxy, with the same parser, on gevent."""
    import gevent.socket
    from gevent.server import StreamServer

    from stepsail.http import ConnectionLimits, encode_request, encode_response
    from stepsail.http.message import end_to_end
    from stepsail.http.reader import MessageReader

    idle: list[tuple[gevent.socket.socket, MessageReader]] = []

    def handle_client(client_socket: gevent.socket.socket, _: object) -> None:
        reader = MessageReader(True, ConnectionLimits())
        while True:
            while not reader.complete:
                data = client_socket.recv(65536)
                if not data:
                    return
                reader.feed(data)
            request = reader.take_request()
            reader.reset()
            reader.feed(b"")
            upstream, upstream_reader = (
                idle.pop()
                if idle
                else (
                    gevent.socket.create_connection(("127.0.0.1", server_port)),
                    MessageReader(False, ConnectionLimits()),
                )
            )
            upstream_reader.reset()
            with gevent.Timeout(3.0):
                upstream.sendall(encode_request(request.method, request.target, end_to_end(request.headers)))
                while not upstream_reader.complete:
                    upstream_reader.feed(upstream.recv(65536))
            answer = upstream_reader.take_response()
            idle.append((upstream, upstream_reader))
            client_socket.sendall(encode_response(answer.status, end_to_end(answer.headers), answer.body))

    StreamServer(("127.0.0.1", port), handle_client, backlog=4096).serve_forever()


if __name__ == "__main__":
    role, port = sys.argv[1], int(sys.argv[2])
    if role == "box":
        asyncio.run(run_server(port))
    elif role == "load":
        asyncio.run(run_load(sys.argv[5:], port, float(sys.argv[3]), int(sys.argv[4])))
    elif role == "loop":
        run_loop_proxy(port, int(sys.argv[3]))
    elif role == "gevent":
        run_gevent_proxy(port, int(sys.argv[3]))
