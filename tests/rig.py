"""Runs one instance on an event loop with scripted servers, release control and discovery.

All of them run on loopback in this process.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

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
from stepsail.loop import Listener, Loop, PollDriver, Stream
from stepsail.proxy.application import Application
from stepsail.settings import load_settings
from stepsail.simulation.driver import SimulatedDriver
from stepsail.simulation.network import Network
from stepsail.simulation.simulator import SimulatedProcess, Simulator
from stepsail.standins.instances import free_address
from stepsail.standins.service import Service

SETTINGS_TEXT = """
zones here there
zone here
product look {
    route GET /look
    repeats redoable
    target 400ms
    abandon 1500ms
}
product pay {
    route POST /pay
    repeats irreversible
    target 400ms
    abandon 1500ms
}
product mark {
    route POST /mark
    repeats labelled zone 5s
    target 400ms
    abandon 1500ms
}
product late {
    route GET /late
    repeats redoable
    target 400ms
    abandon 3s
    late-share 50%
}
release {
    stage 100% cap 1
}
"""
MAX_BODY_BYTES = 64 << 20
Script = Callable[["ScriptedServer", Stream, Request, ServerConnection], bytes | None]


class RecordedLog(list[tuple[str, dict[str, Any]]]):
    """A log that keeps its events in a list."""

    def _record(self, event: str, **fields: Any) -> None:
        self.append((event, fields))

    debug = info = warning = error = _record

    def events(self) -> list[str]:
        return [event for event, _ in self]


class ScriptedServer:
    """A server whose script returns the response to a request as bytes, or None to close the connection."""

    def __init__(
        self, loop: Loop, script: Script, build: int = 1, zone: str = "here", number: int = 99
    ) -> None:
        self.loop, self.script, self.build, self.zone, self.state = loop, script, build, zone, "ready"
        self.seen: list[Request] = []
        # A separate IP address for each server: the order of addresses does not depend on which ports are
        # free.
        self.listener = Listener(loop, (f"127.0.0.{2 + number}", 0), 1000)
        self.address = "{}:{}".format(*self.listener.address)
        loop.spawn(self.listener.serve, self._serve, "server", name="server")

    def _serve(self, stream: Stream) -> None:
        connection = ServerConnection(
            self.loop, stream, ConnectionLimits(body_bytes=MAX_BODY_BYTES, buffered_bytes=32768)
        )
        while (request := connection.next()) is not None:
            self.seen.append(request)
            response = self.script(self, stream, request, connection)
            if response is None:
                return
            stream.write(response, 2.0)
            if request.body_stream and not request.body_stream.done:
                return


def answers(status: int = 200, body: bytes = b"ok", headers: tuple[tuple[bytes, bytes], ...] = ()) -> Script:
    """Return the script of a server that responds to each request at once."""
    return lambda server, stream, request, connection: encode_response(status, headers, body)


def hangs(seconds: float = 30.0) -> Script:
    """Return the script of a server that delays each response."""

    def script(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        server.loop.sleep(seconds)
        return encode_response(200, [], b"late")

    return script


def hangs_up(
    server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
) -> bytes | None:
    """Serve as a script that closes the connection without a response."""
    return None


class Rig:
    """Runs `test(rig)` as the main task beside the instance, on sockets or (`simulated`) in virtual time."""

    def __init__(
        self,
        folder: Path,
        test: Callable[[Rig], None],
        scripts: list[Script],
        extra_settings: str = "",
        exposure_window: str = "4s",
        instances: int = 1,
        simulated: bool = False,
    ) -> None:
        self.log, self.folder = RecordedLog(), folder
        self.scripts, self.extra_settings, self.test, self.exposure_window = (
            scripts,
            extra_settings,
            test,
            exposure_window,
        )
        self.instances = instances
        self.settings_file = folder / "umpire.conf"
        self.state = {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age": 100.0}
        if simulated:
            self._run_in_virtual_time()
        else:
            self._run_on_sockets()

    def _run_on_sockets(self) -> None:
        driver = PollDriver()
        self.loop = Loop(driver, self.log._record)
        try:
            self.loop.run(self._main)
        finally:
            driver.shutdown()

    def _run_in_virtual_time(self) -> None:
        simulator = Simulator(seed=1)
        driver = SimulatedDriver(simulator, Network(simulator, seed=1), "rig")

        def main(loop: Loop) -> None:
            self.loop = loop
            loop.run(self._main)

        simulator.run(SimulatedProcess(simulator, driver, "rig", main, self.log._record))

    def _main(self) -> None:
        self.servers = [
            ScriptedServer(self.loop, script, number=number) for number, script in enumerate(self.scripts)
        ]
        self.release_control = Service(
            self.loop, "conveyor", lambda path, query, body, stream: self._serve_release_state(query)
        )
        self.discovery = Service(
            self.loop, "roster", lambda path, query, body, stream: self._serve_endpoint_list(query)
        )
        self.listen = free_address()
        self.settings_file.write_text(
            "\n".join(
                (
                    f"umpire 0 of {self.instances}",
                    "seed 5",
                    "listen {}:{}".format(*self.listen),
                    "conveyor {}:{}".format(*self.release_control.address),
                    "roster {}:{} pushed keep kept.json".format(*self.discovery.address),
                    SETTINGS_TEXT.replace("cap 1\n", f"cap 1\n    window {self.exposure_window}\n"),
                    self.extra_settings,
                )
            )
        )
        self.start()
        self.test(self)

    def start(self) -> None:
        self.application = Application(self.loop, load_settings(self.settings_file), Router, self.log)
        self.application_task = self.loop.spawn(self.application.run, False, name="instance")
        deadline = self.loop.now() + 5
        while not self.application.listener.state.ready and self.loop.now() < deadline:
            self.loop.sleep(0.005)
        assert self.application.listener.state.ready, self.log

    def _serve_release_state(self, query: dict[str, str]) -> dict[str, Any]:
        if int(query.get("after", 0)):
            self.loop.sleep(0.2)
        return {"seq": 1, "state": self.state}

    def _serve_endpoint_list(self, query: dict[str, str]) -> dict[str, Any]:
        if int(query.get("after", 0)):
            self.loop.sleep(0.05)
        return {
            "seq": int(query.get("after", 0)) + 1,
            "whole": True,
            "servers": [
                {
                    "address": server.address,
                    "zone": server.zone,
                    "build": server.build,
                    "state": server.state,
                    "start": "first",
                }
                for server in self.servers
            ],
        }

    def connect(self) -> Stream:
        return Stream.connect(self.loop, self.listen, 1.0)

    def plain_socket(self) -> socket.socket:
        """Connect a blocking socket, for clients that violate the protocol."""
        return socket.create_connection(self.listen, 1.0)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        time_left: float | None = None,
        timeout: float = 3.0,
        stream: Stream | None = None,
        **headers: str,
    ) -> Response:
        """Send a request, on a new connection unless `stream` is given, and return the response."""
        connection = stream or self.connect()
        all_headers = [(b"host", b"x")] + [
            (name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()
        ]
        if time_left is not None:
            all_headers.append((b"request-timeout", b"%.3f" % time_left))
        try:
            data = encode_request(method.encode(), path.encode(), all_headers, body)
            return ClientConnection(
                self.loop, connection, ConnectionLimits(body_bytes=MAX_BODY_BYTES)
            ).exchange(data, self.loop.now() + timeout, Progress())
        finally:
            if stream is None:
                connection.close()

    def requests_seen(self) -> int:
        return sum(len(server.seen) for server in self.servers)


def json_body(response: Response) -> Any:
    return msgspec.json.decode(response.body)
