"""Runs an instance on an event loop with scripted servers, discovery and release control, all on loopback."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from platform_configuration import write_configuration
from rig import RecordedLog, Script, ScriptedServer

from stepsail.decisions.router import Router
from stepsail.http import (
    ClientConnection,
    ConnectionLimits,
    Progress,
    Request,
    Response,
    ServerConnection,
    encode_request,
    encode_response,
)
from stepsail.http.message import chunk
from stepsail.loop import Listener, Loop, PollDriver, Stream
from stepsail.platform.application import PlatformApplication
from stepsail.platform.configuration import read_configuration
from stepsail.qualify.platform_stand_in import RELEASE_STATE, STREAM_HEAD
from stepsail.standins.instances import free_address


class ScriptedService:
    """Discovery or release control: streams messages on GET, responds to POST, and records requests."""

    def __init__(self, loop: Loop, *messages: Any) -> None:
        self.loop = loop
        self.messages = list(messages)
        self.requests: list[Request] = []
        self.vote_response: bytes = encode_response(200, [], msgspec.json.encode(RELEASE_STATE))
        self.listener = Listener(loop, ("127.0.0.1", 0), 100)
        self.address = "{}:{}".format(*self.listener.address)
        loop.spawn(self.listener.serve, self._serve, "scripted service", name="scripted service")

    def _serve(self, stream: Stream) -> None:
        request = ServerConnection(self.loop, stream, ConnectionLimits()).next()
        if request is None:
            return
        self.requests.append(request)
        if request.method == b"POST":
            stream.write(self.vote_response, 1.0)
            return
        stream.write(STREAM_HEAD, 1.0)
        for message in self.messages:
            data = message if isinstance(message, bytes) else msgspec.json.encode(message) + b"\n"
            stream.write(chunk(data), 1.0)
        self.loop.sleep(30.0)


def endpoint_record(server: ScriptedServer, **overrides: Any) -> dict[str, Any]:
    """Return a server's record for an endpoint list, with `overrides` in place of its fields."""
    return {
        "name": "s-" + server.address.split(":")[1],
        "address": server.address,
        "zone": "hall-a",
        "type": "m2",
        "group": 0,
        "status": "up",
        "weight": 1.0,
        "since_ms": 0,
        "revision_no": 1,
    } | overrides


def responds_with(data: bytes) -> Script:
    """Return the script of a server that responds to each request with these bytes."""
    return lambda server, stream, request, connection: data


class PlatformRig:
    """Runs `test(rig)` with one instance; `overrides` replace members of its configuration file."""

    def __init__(
        self, folder: Path, test: Callable[[PlatformRig], None], scripts: list[Script], **overrides: Any
    ) -> None:
        self.driver = PollDriver()
        self.log = RecordedLog()
        self.folder = folder
        self.test = test
        self.unix_offset = 0.0  # Unix time minus the loop's time, in seconds
        self.loop = Loop(self.driver, self.log._record)
        self.scripts = scripts
        self.overrides = overrides
        try:
            self.loop.run(self._main)
        finally:
            self.driver.shutdown()

    def write_configuration(self) -> dict[str, str]:
        """Write the current configuration; return the environment variables that point to it."""
        release_control = {"address": self.release_control.address, "news": RELEASE_STATE}
        members: dict[str, Any] = {"deployer": release_control}
        return write_configuration(
            self.folder,
            listen="{}:{}".format(*self.listen),
            discovery=self.discovery.address,
            known={
                "index": 1,
                "snapshot": True,
                "endpoints": [endpoint_record(server) for server in self.servers],
            },
            **(members | self.overrides),
        )

    def _main(self) -> None:
        self.servers = [
            ScriptedServer(self.loop, script, number=number) for number, script in enumerate(self.scripts)
        ]
        snapshot = {
            "index": 2,
            "snapshot": True,
            "endpoints": [endpoint_record(server) for server in self.servers],
        }
        self.discovery = ScriptedService(self.loop, snapshot)
        self.release_control = ScriptedService(self.loop, {"type": "ROLLOUT", "object": RELEASE_STATE}, {})
        self.listen = free_address()
        self.start()
        self.wait_until(lambda: self.application.listener.state.ready)
        self.test(self)

    def start(self) -> None:
        """Start an instance with the current configuration."""
        environ = self.write_configuration()
        self.application = PlatformApplication(
            self.loop,
            read_configuration(environ),
            Router,
            self.log,
            lambda: read_configuration(environ),
            lambda: self.unix_offset,
        )
        self.task = self.loop.spawn(self.application.run, name="instance")

    def wait_until(self, condition: Callable[[], Any]) -> None:
        """Run the loop until a condition holds; fail after 5 s."""
        deadline = self.loop.now() + 5.0
        while not condition():
            assert self.loop.now() < deadline, self.log
            self.loop.sleep(0.005)

    def send_request(
        self,
        target: str = "/lookup",
        method: str = "GET",
        request_id: str = "a1",
        time_left_ms: int = 1000,
        stream: Stream | None = None,
        body: bytes = b"",
        **headers: str,
    ) -> Response:
        """Send a request, on a new connection unless one is given, and return the response."""
        connection = stream or Stream.connect(self.loop, self.listen, 1.0)
        all_headers = [
            (b"host", b"x"),
            (b"x-call-id", request_id.encode()),
            (b"x-budget-ms", b"%d" % time_left_ms),
            *((name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()),
        ]
        try:
            return ClientConnection(self.loop, connection, ConnectionLimits()).exchange(
                encode_request(method.encode(), target.encode(), all_headers, body),
                self.loop.now() + 4.0,
                Progress(),
            )
        finally:
            if stream is None:
                connection.close()

    def send_raw(self, data: bytes, timeout: float = 3.0) -> bytes:
        """Send raw bytes and return all bytes received until the instance closes the connection."""
        stream = Stream.connect(self.loop, self.listen, 1.0)
        received = b""
        try:
            with self.loop.timeout(timeout):
                stream.write(data, 2.0)
                while part := stream.read():
                    received += part
                return received
        except OSError:
            return received
        finally:
            stream.close()
        raise AssertionError("neither answered nor closed in time")


def encode_client_request(
    request_id: str, path: str = "/lookup", time_left_ms: int = 1400, body: bytes = b""
) -> bytes:
    """Return a client's request as bytes."""
    headers = [(b"host", b"x"), (b"x-call-id", request_id.encode()), (b"x-budget-ms", b"%d" % time_left_ms)]
    if body:
        headers.append((b"idempotency-key", b"k-" + request_id.encode()))
    return encode_request(
        b"POST" if body else b"GET", (path if not body else "/record").encode(), headers, body
    )


def raw_client(rig: PlatformRig) -> socket.socket:
    """Connect a client outside the loop: the kernel accepts its bytes whatever the instance does."""
    return socket.create_connection(rig.listen, 1.0)


def read_all(loop: Loop, client: socket.socket, one_response: bool = False, timeout: float = 3.0) -> bytes:
    """Return the bytes received on a plain socket while the loop runs.

    Reads to the end of the stream or, with `one_response`, to the end of the first response. A reset fails
    the test, as a response may have been lost with it.
    """
    client.setblocking(False)
    received = b""
    deadline = loop.now() + timeout
    while loop.now() < deadline:
        try:
            part = client.recv(1 << 16)
        except BlockingIOError:
            loop.sleep(0.002)
            continue
        received += part
        head, separator, body = received.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        if not part or (one_response and separator and len(body) >= length):
            client.setblocking(True)
            return received
    raise AssertionError(f"neither answered nor closed: {received!r}")
