"""What the cases of the platform's instance share: boxes, discovery, the control service, clients, the umpire.

The stand-ins follow the protocol page: discovery answers `/catalog/members` and its watches, the control service
its events and votes; every list and every word goes out as the case sets it.
"""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import lib
from lib import HOST, Process, Record, Request, answer, call, dumps, free_port, read_message, serve, until

LATE = 0.5  # s: an answer may come so much later than the client's time
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

# A small deployment in the settings' form: names and units are those of the simulator's first message.
SETTINGS: dict[str, Any] = {
    "Lanes": [
        {
            "Name": "lookup",
            "PromiseMs": 750.0,
            "DeadlineMs": 3000.0,
            "Idempotency": "repeatable",
            "Worth": 2.0,
        },
        {
            "Name": "record",
            "PromiseMs": 1200.0,
            "DeadlineMs": 5000.0,
            "Idempotency": "by_key",
            "DedupScope": "zone",
            "WindowMs": 10000.0,
            "Worth": 6.0,
        },
    ],
    "Me": 0,
    "Siblings": 3,
    "MyZone": 0,
    "Zones": ["hall-a", "hall-b", "hall-c"],
    "RegistryMode": "on_request",
    "Realms": [],
    "Limits": {
        "Cancel": True,
        "MaxAttempts": 6,
        "MaxRetryAfterMs": 500.0,
        "RetryAfter": True,
        "ConnIdleMs": 30000.0,
        "ConnectTimeoutMs": 250.0,
        "MaxOpen": 20000,
        "Probing": False,
        "SecondCopies": True,
    },
    "Stats": {"Columns": [], "Source": "none"},
    "Rules": {
        "AnswerSlackMs": 5.0,
        "AskWithinMs": 10000.0,
        "StopSendingWithinMs": 500.0,
        "ColdFrom": 0.31,
        "ColdMs": 4900.0,
        "FallMultiple": 3,
        "OverloadForMs": 1500.0,
    },
    "Domain": {
        "DecidedBy": "by_count",
        "Shares": [0.05, 0.2, 0.5, 1.0],
        "MostShares": [0.085, 0.34, 0.85, 1.0],
        "ReplaceMode": "replace",
        "BakeMs": 1500.0,
        "ClosedStages": 2,
        "ApiTimeoutMs": 800.0,
        "CountedOverMs": 4000.0,
        "CountedBy": "all",
        "Uncounted": 1.0,
        "VoteAllowance": 60.0,
        "VoteStandsMs": 10000.0,
    },
}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Box:
    """A server; `arrivals` has the time, id and path of every request, counted at its last byte."""

    def __init__(self, platform: Platform, name: str, zone: str) -> None:
        self.platform, self.name, self.zone = platform, name, zone
        self.build, self.status, self.since_ms = 1, "up", 0
        self.service_time = 0.05
        self.arrivals: list[tuple[float, str, str]] = []
        self.port = 0

    async def open(self) -> None:
        self.port = (await serve(self._serve))[1]

    async def _serve(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        request_id = request.headers.get("x-call-id", "")
        self.arrivals.append((time.monotonic(), request_id, request.target))
        self.platform.record(
            request_id, request.method, request.target, "arrives at", self.name, "of build", self.build
        )
        return await self.handle(request, writer)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(self.service_time)
        return answer(200, b"made for " + request.headers["x-call-id"].encode())

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": "std-3c",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
            "revision_no": self.build,
        }


class Platform:
    """Discovery and the control service."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.boxes: list[Box] = []
        self.index = 1
        self.changed = asyncio.Event()
        self.news: dict[str, Any] = {"build": 1, "stage": 3, "phase": "live", "cap": 1.0}
        self.news_since = time.monotonic() - 60.0
        self.events_calls: list[float] = []
        self.lines: list[asyncio.Queue[bytes]] = []  # what is to be written on each open stream of events

    async def open(self, boxes: int = 3) -> None:
        for number in range(boxes):
            box = Box(self, f"s-{number}", SETTINGS["Zones"][number % 3])
            await box.open()
            self.boxes.append(box)
        self.discovery = (await serve(self._discovery))[1]
        self.control = (await serve(self._control))[1]

    # Discovery

    def listing(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": [box.entry() for box in self.boxes]}

    def publish(self) -> None:
        """Tell a change of the boxes."""
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _discovery(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        if "stream=1" not in request.target:
            return answer(200, dumps(self.listing()))
        writer.write(HEAD)
        sent = 0
        while True:
            if sent < self.index:
                sent = self.index
                writer.write(chunk(dumps(self.listing()) + b"\n"))
                self.record("discovery tells list", sent)
            else:
                writer.write(chunk(b"\n"))
            await writer.drain()
            changed = self.changed
            if sent == self.index:
                try:
                    async with asyncio.timeout(2.0):
                        await changed.wait()
                except TimeoutError:
                    pass

    # The control service

    def state(self) -> dict[str, Any]:
        return self.news | {"age_ms": int((time.monotonic() - self.news_since) * 1000)}

    def event(self) -> bytes:
        return dumps({"type": "ROLLOUT", "object": self.state()}) + b"\n"

    def set_news(self, tell: bool = True, **news: Any) -> None:
        self.news = news
        self.news_since = time.monotonic()
        self.record("control service: news is", news)
        if tell:
            self.tell(self.event())

    def tell(self, line: bytes) -> None:
        for queue in self.lines:
            queue.put_nowait(line)

    async def _control(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        if request.method == "POST":
            return await self.vote(json.loads(request.body))
        self.events_calls.append(time.monotonic())
        self.record("control service: is asked for events")
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.lines.append(queue)
        try:
            writer.write(HEAD + chunk(self.event()))
            while True:
                try:
                    async with asyncio.timeout(1.0):
                        line = await queue.get()
                except TimeoutError:
                    line = b"{}\n"
                if not line:  # the stream is of no further use
                    self.lines.remove(queue)
                    await asyncio.sleep(3600.0)
                writer.write(chunk(line))
                self.record("control service: writes", line) if line != b"{}\n" else None
                await writer.drain()
        finally:
            if queue in self.lines:
                self.lines.remove(queue)

    async def vote(self, vote: dict[str, Any]) -> bytes:
        await asyncio.sleep(0.06)
        counts = (vote["build"], vote["stage"]) == (self.news["build"], self.news["stage"])
        moot = not counts or self.news["phase"] not in ("testing", "live")
        self.record("control service: vote", vote, "moot" if moot else f"counts, answer {self.state()}")
        return answer(409, dumps({"error": "ConditionFailed"})) if moot else answer(200, dumps(self.state()))


class Umpire:
    """One instance, started by the deploy file's `run`."""

    def __init__(self, platform: Platform, folder: Path, settings: dict[str, Any] = SETTINGS) -> None:
        self.platform, self.folder, self.settings = platform, folder, settings
        self.port = free_port()
        self.config = folder / "config.json"
        self.write()
        self.process = Process(
            "umpire",
            lib.DEPLOY["run"],
            folder / "umpire.log",
            platform.record,
            PROXY_CONFIG=str(self.config),
            PROXY_LISTEN=f"{HOST}:{self.port}",
            PROXY_NAME="n0",
            PROXY_DISCOVERY=f"{HOST}:{platform.discovery}",
            TMPDIR=str(folder),
        )

    def write(self) -> None:
        platform = self.platform
        self.config.write_bytes(
            dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{platform.discovery}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                    "deployer": {"address": f"{HOST}:{platform.control}", "news": platform.state()},
                    "known": platform.listing(),
                    "settings": self.settings,
                }
            )
        )

    async def ready(self, timeout: float = 30.0) -> None:
        async def is_ready() -> bool:
            return (await call(self.port, "GET", "/_health"))[0] == 200

        await until(is_ready, timeout, "the umpire is ready")

    def close(self) -> None:
        self.process.kill()
        if self.process.log.exists():
            for line in self.process.log.read_text().splitlines()[-6:]:
                self.platform.record("log of the umpire", line[:600])


class Client:
    """Sends requests one after the other on a connection that it keeps; records every answer."""

    def __init__(
        self, platform: Platform, port: int, name: str, path: str = "/lookup", budget: float = 2.0
    ) -> None:
        self.record, self.port, self.name, self.path, self.budget = platform.record, port, name, path, budget
        self.over = False
        self.pause = 0.05
        self.answers: list[tuple[float, str, str, bytes]] = []  # sent at, id, status or what else, body

    async def run(self) -> None:
        sequence = 0
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.over:
            sequence += 1
            request_id = f"{self.name}-{sequence}"
            headers = {"x-call-id": request_id, "x-budget-ms": str(int(self.budget * 1000))}
            body = b""
            if self.path.startswith(("/record", "/charge")):
                headers["idempotency-key"] = f"key-{request_id}"
                body = b"x" * 200
            method = "POST" if body else "GET"
            end, answered = "not connected", b""
            sent_at = time.monotonic()
            for is_again in (False, True):
                fresh = connection is None
                try:
                    if connection is None:
                        connection = await asyncio.open_connection(HOST, self.port)
                    connection[1].write(lib.encode(method, self.path, headers, body))
                    async with asyncio.timeout(self.budget + LATE):
                        message = await read_message(connection[0])
                    if message is None:
                        raise ConnectionError("closed without an answer")
                    end, answered = message[0].split(" ")[1], message[2]
                    if message[1].get("connection") == "close":
                        connection[1].close()
                        connection = None
                    break
                except (OSError, asyncio.IncompleteReadError) as error:
                    end = f"no answer: {error!r}" if connection else f"not connected: {error!r}"
                except TimeoutError:
                    end = "no answer in its time"
                    fresh = True
                if connection:
                    connection[1].close()
                connection = None
                if fresh or is_again:  # only a request that crossed the end of a kept connection goes again
                    break
            self.answers.append((sent_at, request_id, end, answered))
            self.record(
                request_id, "sent", f"{sent_at - self.record.began:.3f}", "answer:", end, answered[:60]
            )
            await asyncio.sleep(self.pause)
        if connection:
            connection[1].close()
