"""One real process, and connections, bytes, closes, list changes, answers and SIGTERM in an order that chance draws.

Whatever the order: a request of which the last byte was written to a connection that the system took, by a client
that is still there, gets one whole answer, and none gets two; the process ends by itself, in its time. It stands
still now and then, so that connections and requests come while its accept loop does not run.
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
STEPS, LEFT = 120, 1400  # what happens before the last SIGTERM; ms that each client waits
GRACE = 0.5  # s beyond a client's time in which a late answer is an answer


class Client:
    """A connection outside the loop, with at most one request under way."""

    def __init__(self, listen: tuple[str, int]) -> None:
        self.sock = socket.create_connection(listen, 1.0)
        self.sock.setblocking(False)
        self.rest, self.got, self.mark = b"", b"", ""
        self.since = 0.0
        self.open, self.served = True, 0

    @property
    def owed(self) -> bool:
        return bool(self.mark) and not self.rest

    def answers(self) -> int:
        """Whole answers so far; what is behind them is left in `got`."""
        found, text = 0, self.got
        while b"\r\n\r\n" in text:
            head, _, body = text.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            if len(body) < length:
                break
            found, text = found + 1, body[length:]
        return found

    def read(self) -> None:
        """Take what has come; the end of the connection, or a reset, is one that is not open any more."""
        with contextlib.suppress(BlockingIOError):
            while self.open:
                try:
                    part = self.sock.recv(1 << 16)
                except ConnectionError:
                    part = b""
                self.got += part
                self.open = bool(part)
        if self.owed and self.answers() > self.served:
            self.served, self.mark = self.served + 1, ""


class Order:
    """A drawn order of events over one process. Keeps what broke as text."""

    def __init__(self, loop: Loop, folder: Path, seed: int) -> None:
        self.loop, self.folder, self.random, self.broke = loop, folder, Random(seed), list[str]()
        self.clients, self.marks = list[Client](), 0
        self.boxes = [ScriptedServer(loop, self.script, number=at) for at in range(3)]
        self.index = 2
        self.states = ["up"] * len(self.boxes)
        self.discovery = ScriptedService(loop, self.members())
        self.listen = free_address()

    def members(self) -> dict[str, object]:
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [endpoint_record(b, status=s) for b, s in zip(self.boxes, self.states, strict=True)],
        }

    def script(
        self, server: ScriptedServer, stream: Stream, asked: Request, connection: ServerConnection
    ) -> bytes | None:
        server.loop.sleep(self.random.choice((0.0, 0.0, 0.005, 0.05, 0.3)))
        kind = self.random.random()
        if kind < 0.1:
            return None
        if kind < 0.2:
            return encode_response(500, [], b"")
        return encode_response(200, [], asked.header(b"x-call-id") or b"")

    def step(self) -> None:
        free = [c for c in self.clients if c.open and not c.mark]
        half = [c for c in self.clients if c.open and c.rest]
        draw = self.random.random()
        if draw < 0.2 or not self.clients:
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.listen))
        elif draw < 0.6 and free:
            client = self.random.choice(free)
            self.marks += 1
            client.mark = f"m{self.marks}"
            data = encode_client_request(
                client.mark, time_left_ms=LEFT, body=self.random.choice((b"", b"{}"))
            )
            cut = self.random.choice((len(data), len(data), self.random.randrange(1, len(data))))
            client.rest = data[cut:]
            self.send(client, data[:cut])
        elif draw < 0.75 and half:
            client = self.random.choice(half)
            data, client.rest = client.rest, b""
            self.send(client, data)
        elif draw < 0.8:
            client = self.random.choice(self.clients)
            client.sock.close()
            self.clients.remove(client)
        elif draw < 0.9:
            self.index += 1
            self.states[self.random.randrange(3)] = self.random.choice(("up", "draining"))
            self.discovery.messages = [self.members()]
        self.loop.sleep(self.random.choice((0.0, 0.0, 0.001, 0.01, 0.03)))
        self.look()

    def stand_still(self, one: subprocess.Popen[bytes]) -> None:
        one.send_signal(signal.SIGSTOP)
        for _ in range(self.random.randrange(5, 20)):
            self.step()
        one.send_signal(signal.SIGCONT)

    def send(self, client: Client, data: bytes) -> None:
        try:
            client.sock.sendall(data)
            client.since = self.loop.now()
        except OSError:
            client.open = False

    def look(self) -> None:
        for client in list(self.clients):
            mark, whole = client.mark, client.owed
            client.read()
            if client.answers() > client.served:
                self.broke.append(f"{mark}: an answer to nothing that was asked")
            if whole and client.mark and not client.open and client.served == 0:
                self.broke.append(f"{mark}: whole on a new connection that ended without an answer")
            if client.owed and self.loop.now() > client.since + LEFT / 1000.0 + GRACE:
                self.broke.append(f"{mark}: no answer in the client's time")
            if not client.open or (client.owed and self.broke):
                self.clients.remove(client)
                client.sock.close()

    def run(self) -> None:
        environ = write_configuration(
            self.folder,
            listen="{}:{}".format(*self.listen),
            discovery=self.discovery.address,
            known=self.members(),
            settings=SETTINGS,
        )
        with (self.folder / "log").open("wb") as log:
            one = subprocess.Popen(
                [sys.executable, "-m", "stepsail.platform"],
                cwd=ROOT,
                stderr=log,
                env={"PATH": "/usr/bin:/bin"} | environ,
            )
            try:
                self.until(lambda: b'"ready"' in (self.folder / "log").read_bytes())
                for _ in range(STEPS):
                    self.step()
                    if self.random.random() < 0.02:
                        self.stand_still(one)
                one.send_signal(signal.SIGTERM)
                stop_requested_at = self.loop.now()
                while self.loop.now() < stop_requested_at + CONNECTING_CLIENTS_GRACE + 0.3:
                    self.step()
                    if self.random.random() < 0.05 and one.poll() is None:
                        self.stand_still(one)
                # Those that had begun a request end it; what then waits is owed an answer, or the half one an end.
                for client in [c for c in self.clients if c.open and c.rest]:
                    data, client.rest = client.rest, b""
                    self.send(client, data)
                self.until(lambda: one.poll() is not None, within=6.0)
                self.look()
                assert one.returncode == 0, (self.folder / "log").read_text()[-2000:]
            finally:
                one.kill()
                one.wait()
        lines = (self.folder / "log").read_text().splitlines()
        stopped = msgspec.json.decode(
            next(line for line in lines if '"stopped"' in line and '"accepted"' in line)
        )
        assert stopped["unanswered"] == 0 and not self.broke, self.broke

    def until(self, true: object, within: float = 10.0) -> None:
        end = self.loop.now() + within
        assert callable(true)
        while not true():
            assert self.loop.now() < end, (self.folder / "log").read_text()[-2000:]
            self.look()
            self.loop.sleep(0.005)


@pytest.mark.parametrize("seed", range(8))
def test_each_accepted_request_has_one_answer_in_any_order(tmp_path: Path, seed: int) -> None:
    driver = PollDriver()
    loop = Loop(driver, lambda event, **fields: None)
    try:
        loop.run(lambda: Order(loop, tmp_path, seed).run())
    finally:
        driver.shutdown()
