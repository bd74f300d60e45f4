"""Tests one real process with connections, data, closes, list changes, responses and SIGTERM in random order.

In any order, a request whose last byte was written to a connection that the kernel accepted, by a client that
is still connected, gets exactly one complete response, and the process exits by itself in time. The process
is paused now and then, so that connections and requests arrive while its accept loop does not run.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest
from platform_configuration import SETTINGS, write_configuration
from platform_rig import ScriptedService, encode_client_request, endpoint_record
from rig import ScriptedServer

from stepsail.http import Request, ServerConnection, encode_response
from stepsail.loop import Loop, PollDriver, Stream
from stepsail.platform.application import CONNECTING_CLIENTS_GRACE
from stepsail.standins.instances import free_address

ROOT = Path(__file__).parents[2]
# Number of steps before SIGTERM; time-out in ms of each client's request.
STEPS, CLIENT_TIMEOUT_MS = 120, 1400
LATE_RESPONSE_GRACE = 0.5  # s after a client's time-out in which a late response still counts


class Client:
    """A client connection outside the loop, with at most one request in flight.

    Attributes:
        unsent: Bytes of the request in flight that have not been sent yet.
        received: All bytes received on the connection.
        request_id: The id of the request in flight, or an empty string.
        sent_at: When bytes were last sent.
        served: The number of requests that have got their response.
    """

    def __init__(self, listen: tuple[str, int]) -> None:
        self.sock = socket.create_connection(listen, 1.0)
        self.sock.setblocking(False)
        self.unsent, self.received, self.request_id = b"", b"", ""
        self.sent_at = 0.0
        self.open, self.served = True, 0

    @property
    def awaits_response(self) -> bool:
        """Whether a complete request has been sent, and its response has not been received."""
        return bool(self.request_id) and not self.unsent

    def count_responses(self) -> int:
        """Return the number of complete responses received so far."""
        responses, unparsed = 0, self.received
        while b"\r\n\r\n" in unparsed:
            head, _, body = unparsed.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            if len(body) < length:
                break
            responses, unparsed = responses + 1, body[length:]
        return responses

    def read(self) -> None:
        """Read the bytes that have arrived; the end of the connection or a reset clears `open`."""
        with contextlib.suppress(BlockingIOError):
            while self.open:
                try:
                    part = self.sock.recv(1 << 16)
                except ConnectionError:
                    part = b""
                self.received += part
                self.open = bool(part)
        if self.awaits_response and self.count_responses() > self.served:
            self.served, self.request_id = self.served + 1, ""


class RandomRun:
    """Runs one process with events in random order, and records each violation as text."""

    def __init__(self, loop: Loop, folder: Path, seed: int) -> None:
        self.loop, self.folder, self.random, self.violations = loop, folder, Random(seed), list[str]()
        self.clients, self.request_count = list[Client](), 0
        self.servers = [ScriptedServer(loop, self.script, number=number) for number in range(3)]
        self.index = 2
        self.states = ["up"] * len(self.servers)
        self.discovery = ScriptedService(loop, self.endpoint_list())
        self.listen = free_address()

    def endpoint_list(self) -> dict[str, object]:
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [
                endpoint_record(server, status=status)
                for server, status in zip(self.servers, self.states, strict=True)
            ],
        }

    def script(
        self, server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        server.loop.sleep(self.random.choice((0.0, 0.0, 0.005, 0.05, 0.3)))
        draw = self.random.random()
        if draw < 0.1:
            return None
        if draw < 0.2:
            return encode_response(500, [], b"")
        return encode_response(200, [], request.header(b"x-call-id") or b"")

    def step(self) -> None:
        """Trigger one random event, wait for a random time and check the clients."""
        idle = [client for client in self.clients if client.open and not client.request_id]
        partly_sent = [client for client in self.clients if client.open and client.unsent]
        draw = self.random.random()
        if draw < 0.2 or not self.clients:
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.listen))
        elif draw < 0.6 and idle:
            client = self.random.choice(idle)
            self.request_count += 1
            client.request_id = f"m{self.request_count}"
            data = encode_client_request(
                client.request_id, time_left_ms=CLIENT_TIMEOUT_MS, body=self.random.choice((b"", b"{}"))
            )
            cut = self.random.choice((len(data), len(data), self.random.randrange(1, len(data))))
            client.unsent = data[cut:]
            self.send(client, data[:cut])
        elif draw < 0.75 and partly_sent:
            client = self.random.choice(partly_sent)
            data, client.unsent = client.unsent, b""
            self.send(client, data)
        elif draw < 0.8:
            client = self.random.choice(self.clients)
            client.sock.close()
            self.clients.remove(client)
        elif draw < 0.9:
            self.index += 1
            self.states[self.random.randrange(3)] = self.random.choice(("up", "draining"))
            self.discovery.messages = [self.endpoint_list()]
        self.loop.sleep(self.random.choice((0.0, 0.0, 0.001, 0.01, 0.03)))
        self.check_clients()

    def pause(self, process: subprocess.Popen[bytes]) -> None:
        process.send_signal(signal.SIGSTOP)
        for _ in range(self.random.randrange(5, 20)):
            self.step()
        process.send_signal(signal.SIGCONT)

    def send(self, client: Client, data: bytes) -> None:
        try:
            client.sock.sendall(data)
            client.sent_at = self.loop.now()
        except OSError:
            client.open = False

    def check_clients(self) -> None:
        """Read from all clients, record violations and remove the clients whose connection has ended."""
        for client in list(self.clients):
            request_id, was_complete = client.request_id, client.awaits_response
            client.read()
            if client.count_responses() > client.served:
                self.violations.append(f"{request_id}: a response without a request")
            if was_complete and client.request_id and not client.open and client.served == 0:
                self.violations.append(
                    f"{request_id}: complete on a new connection that ended without a response"
                )
            if (
                client.awaits_response
                and self.loop.now() > client.sent_at + CLIENT_TIMEOUT_MS / 1000.0 + LATE_RESPONSE_GRACE
            ):
                self.violations.append(f"{request_id}: no response within the client's time-out")
            if not client.open or (client.awaits_response and self.violations):
                self.clients.remove(client)
                client.sock.close()

    def run(self) -> None:
        environ = write_configuration(
            self.folder,
            listen="{}:{}".format(*self.listen),
            discovery=self.discovery.address,
            known=self.endpoint_list(),
            settings=SETTINGS,
        )
        with (self.folder / "log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "stepsail.platform"],
                cwd=ROOT,
                stderr=log,
                env={"PATH": "/usr/bin:/bin"} | environ,
            )
            try:
                self.wait_until(lambda: b'"ready"' in (self.folder / "log").read_bytes())
                for _ in range(STEPS):
                    self.step()
                    if self.random.random() < 0.02:
                        self.pause(process)
                process.send_signal(signal.SIGTERM)
                stop_requested_at = self.loop.now()
                while self.loop.now() < stop_requested_at + CONNECTING_CLIENTS_GRACE + 0.3:
                    self.step()
                    if self.random.random() < 0.05 and process.poll() is None:
                        self.pause(process)
                # Clients that have sent a part of a request send the rest. A request that is then complete
                # must get a response, and the connection of an incomplete one must be closed.
                for client in [client for client in self.clients if client.open and client.unsent]:
                    data, client.unsent = client.unsent, b""
                    self.send(client, data)
                self.wait_until(lambda: process.poll() is not None, timeout=6.0)
                self.check_clients()
                assert process.returncode == 0, (self.folder / "log").read_text()[-2000:]
            finally:
                process.kill()
                process.wait()
        lines = (self.folder / "log").read_text().splitlines()
        stopped = msgspec.json.decode(
            next(line for line in lines if '"stopped"' in line and '"accepted"' in line)
        )
        assert stopped["unanswered"] == 0 and not self.violations, self.violations

    def wait_until(self, condition: object, timeout: float = 10.0) -> None:
        """Check the clients until a condition holds; fail after `timeout`, in seconds."""
        deadline = self.loop.now() + timeout
        assert callable(condition)
        while not condition():
            assert self.loop.now() < deadline, (self.folder / "log").read_text()[-2000:]
            self.check_clients()
            self.loop.sleep(0.005)


@pytest.mark.parametrize("seed", range(8))
def test_each_accepted_request_gets_one_response_in_any_order(tmp_path: Path, seed: int) -> None:
    driver = PollDriver()
    loop = Loop(driver, lambda event, **fields: None)
    try:
        loop.run(lambda: RandomRun(loop, tmp_path, seed).run())
    finally:
        driver.shutdown()
