"""The processes of the relay measurement: a box that answers at once, a load of closed loops, two bare relays.

    python bench/relay/parts.py box|loop|gevent PORT [BOX_PORT]
    python bench/relay/parts.py load PORT CONNECTIONS SECONDS
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\ncontent-type: application/json\r\n\r\n" + b"x" * 64
ASKED = (b"GET /look HTTP/1.1\r\nhost: 127.0.0.1\r\nuser-agent: load\r\naccept: */*\r\n"
         b"x-request-id: 0123456789\r\nrequest-timeout: 3.0\r\n\r\n")
MOST_HELD = 1 << 20


class BoxProtocol(asyncio.Protocol):
    """Answers each request head at once; requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.held = transport, b""

    def data_received(self, data: bytes) -> None:
        self.held += data
        count = self.held.count(b"\r\n\r\n")
        if count:
            self.held = self.held[self.held.rindex(b"\r\n\r\n") + 4:]
            self.transport.write(ANSWER * count)  # type: ignore[attr-defined]


class LoadProtocol(asyncio.Protocol):
    """One closed loop: the next request as soon as the answer is whole."""

    def __init__(self, took: list[float], bad: list[int]) -> None:
        self.took, self.bad, self.held, self.at = took, bad, b"", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        self.at = time.perf_counter()
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
        self.took.append(time.perf_counter() - self.at)
        if not head.startswith(b"http/1.1 200"):
            self.bad[0] += 1
        self.held = b""
        self.ask()


async def box(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(BoxProtocol, "127.0.0.1", port, backlog=4096)
    await server.serve_forever()


async def load(port: int, connections: int, seconds: float) -> None:
    took: list[float] = []
    bad = [0]
    loop = asyncio.get_running_loop()
    made = [await loop.create_connection(lambda: LoadProtocol(took, bad), "127.0.0.1", port)
            for _ in range(connections)]
    await asyncio.sleep(1.0)  # warm
    took.clear()
    bad[0], start = 0, time.perf_counter()
    await asyncio.sleep(seconds)
    took_now, wall = sorted(took), time.perf_counter() - start
    for transport, _ in made:
        transport.abort()
    print(json.dumps({"count": len(took_now), "bad": bad[0], "rate": len(took_now) / wall, "median":
                      took_now[len(took_now) // 2], "p99": took_now[int(len(took_now) * 0.99)]}))


def loop_relay(port: int, to: int) -> None:
    """The same loop and parser as the umpire's, and no module: pool, relay, answer."""
    from stepsail.http import Bounds, Inlet, Outlet, Progress, encode_request, encode_response
    from stepsail.http.message import end_to_end
    from stepsail.loop import Listener, Loop, PollDriver, Stream

    loop = Loop(PollDriver())
    idle: list[Outlet] = []

    def client(stream: Stream) -> None:
        inlet = Inlet(loop, stream, Bounds())
        while (request := inlet.next()) is not None:
            while idle and idle[-1].stale():
                idle.pop().close()
            outlet = idle.pop() if idle else Outlet(loop, Stream.connect(loop, ("127.0.0.1", to), 1.0), Bounds())
            data = encode_request(request.method, request.target, end_to_end(request.headers), request.body)
            answer = outlet.exchange(data, loop.now() + 3.0, Progress())
            if outlet.usable:
                idle.append(outlet)
            stream.write(encode_response(answer.status, end_to_end(answer.headers), answer.body), 3.0)

    listener = Listener(loop, ("127.0.0.1", port), 10000)
    loop.run(listener.serve, client, "client")


def gevent_relay(port: int, to: int) -> None:
    """The same relay, with the same parser, on gevent."""
    import gevent.socket
    from gevent.server import StreamServer

    from stepsail.http import Bounds, encode_request, encode_response
    from stepsail.http.message import end_to_end
    from stepsail.http.reader import Reader

    idle: list[tuple[gevent.socket.socket, Reader]] = []

    def client(sock: gevent.socket.socket, _: object) -> None:
        reader = Reader(True, Bounds())
        while True:
            while not reader.whole:
                data = sock.recv(65536)
                if not data:
                    return
                reader.feed(data)
            request = reader.request_read()
            reader.reset()
            reader.feed(b"")
            far, answers = idle.pop() if idle else (gevent.socket.create_connection(("127.0.0.1", to)),
                                                    Reader(False, Bounds()))
            answers.reset()
            with gevent.Timeout(3.0):
                far.sendall(encode_request(request.method, request.target, end_to_end(request.headers)))
                while not answers.whole:
                    answers.feed(far.recv(65536))
            answer = answers.response_read()
            idle.append((far, answers))
            sock.sendall(encode_response(answer.status, end_to_end(answer.headers), answer.body))

    StreamServer(("127.0.0.1", port), client, backlog=4096).serve_forever()


if __name__ == "__main__":
    what, port = sys.argv[1], int(sys.argv[2])
    if what == "box":
        asyncio.run(box(port))
    elif what == "load":
        asyncio.run(load(port, int(sys.argv[3]), float(sys.argv[4])))
    elif what == "loop":
        loop_relay(port, int(sys.argv[3]))
    elif what == "gevent":
        gevent_relay(port, int(sys.argv[3]))
