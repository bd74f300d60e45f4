"""What the cases of the daemon share: a site, its boxes, roster and conveyor, and clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import lib
from lib import HOST, Process, Record, Request, answer, call, dumps, free_port, serve, until

ZONES = ("hall-a", "hall-b", "hall-c")
BUDGET = 3.0  # s that a client waits
LATE = 0.5  # s: an answer may come so much later than the client's time
POLL = 4.0  # s that conveyor and roster hold a long poll

SITE = """
zones hall-a hall-b hall-c
product lookup {
    route GET /lookup
    repeats redoable
    target 750ms
    abandon 3s
    revenue 2
}
product record {
    route POST /record
    repeats labelled zone 10s
    target 1.2s
    abandon 5s
    revenue 6
}
release {
    stage 5% cap 8.5%
    stage 100% cap 1
}
servers {
    drain-grace 500ms
}
log json info
"""
RELEASED = {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age": 60.0}


class Site:
    """Three umpires of one site, each with a settings file of its own, and stand-ins around them.

    `spoil(umpire, path)` may return the body of an answer that goes out in place of a good one.
    """

    def __init__(self, record: Record, folder: Path, service_time: float = 0.2) -> None:
        self.record, self.folder, self.service_time = record, folder, service_time
        self.spoil: Callable[[str, str], bytes | None] = lambda umpire, path: None
        self.umpires: list[Process] = []
        self.listen = [free_port() for _ in ZONES]
        self.broken: list[str] = []
        self.sent = self.answered = self.not_connected = 0
        self.over = asyncio.Event()

    async def open(self, more: Callable[[int], list[str]] = lambda number: []) -> None:
        """Start the stand-ins and write the settings; `more` gives further lines for an umpire."""
        boxes = [(await serve(self._box))[1] for _ in ZONES]
        self.entries = [
            {
                "address": f"{HOST}:{port}",
                "zone": zone,
                "build": 1,
                "state": "ready",
                "start": f"start-{zone}",
            }
            for port, zone in zip(boxes, ZONES, strict=True)
        ]
        conveyor = (await serve(self._conveyor))[1]
        roster = (await serve(self._roster))[1]
        (self.folder / "site.conf").write_text(SITE)
        for number, zone in enumerate(ZONES):
            file = self.folder / f"umpire-{number}.conf"
            lines = [
                f"umpire {number} of 3",
                f"zone {zone}",
                f"listen {HOST}:{self.listen[number]}",
                f"conveyor {HOST}:{conveyor}",
                f"roster {HOST}:{roster} asked",
                "include site.conf",
                *more(number),
            ]
            file.write_text("\n".join(lines) + "\n")
            command = f"exec {lib.PYTHON} -m stepsail serve {file}"
            log = self.folder / f"umpire-{number}.log"
            self.umpires.append(Process(f"umpire {number}", command, log, self.record))

    async def _box(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        request_id = request.headers["x-request-id"]
        port = writer.get_extra_info("sockname")[1]
        self.record(request_id, request.method, request.target, "runs at the box", port)
        await asyncio.sleep(self.service_time)
        return answer(200, b"served " + request_id.encode())

    async def _conveyor(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        if "after=0&" not in request.target:
            await asyncio.sleep(POLL)
        return self._answer(request, {"seq": 1, "state": RELEASED})

    async def _roster(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        whole = "after=0&" in request.target
        if not whole:
            await asyncio.sleep(POLL)
        return self._answer(request, {"seq": 1, "whole": whole, "servers": self.entries if whole else []})

    def _answer(self, request: Request, message: object) -> bytes:
        path, _, query = request.target.partition("?")
        umpire = dict(part.split("=", 1) for part in query.split("&"))["umpire"]
        spoilt = self.spoil(umpire, path)
        self.record(
            "umpire", umpire, "asks", request.target, "answer:", dumps(message) if spoilt is None else spoilt
        )
        return answer(200, dumps(message) if spoilt is None else spoilt)

    def start(self) -> None:
        for umpire in self.umpires:
            umpire.start()

    async def ready(self, timeout: float = 30.0) -> None:
        async def all_ready() -> bool:
            return all([(await call(port, "GET", "/.stepsail/ready"))[0] == 200 for port in self.listen])

        await until(all_ready, timeout, "all umpires are ready")

    async def client(self, umpire: int, name: str, delay: float, pause: float = 0.05) -> None:
        """Send one request after the other to an umpire that the case never tells to end."""
        await asyncio.sleep(delay)  # so that some requests are under way at any moment
        sequence = 0
        while not self.over.is_set():
            sequence += 1
            request_id = f"{name}-{sequence}"
            try:
                reader, writer = await asyncio.open_connection(HOST, self.listen[umpire])
            except OSError:
                self.not_connected += 1
                await asyncio.sleep(0.2)
                continue
            headers = {"x-request-id": request_id, "request-timeout": f"{BUDGET:g}"}
            sent_at = time.monotonic() - self.record.began
            self.sent += 1
            body = b""
            try:
                writer.write(lib.encode("GET", "/lookup", headers))
                async with asyncio.timeout(BUDGET + LATE):
                    message = await lib.read_message(reader)
                end = message[0].split(" ")[1] if message else "closed without an answer"
                body = message[2] if message else b""
            except (OSError, asyncio.IncompleteReadError) as error:
                end = f"no answer: {error!r}"
            except TimeoutError:
                end = "no answer in its time"
            writer.close()
            self.record(request_id, "sent", f"{sent_at:.3f}", "to umpire", umpire, "answer:", end, body[:60])
            if not end.isdigit():
                self.broken.append(f"request {request_id}, taken by umpire {umpire}: {end}")
            elif end == "200" and body != b"served " + request_id.encode():
                self.broken.append(f"request {request_id}: 200 with {body!r}")
            else:
                self.answered += 1
            await asyncio.sleep(pause)

    async def watch(self, seconds: float) -> None:
        """Wait; an umpire that ends and was not told to has crashed."""
        end = time.monotonic() + seconds
        seen: set[str] = set()
        while time.monotonic() < end:
            for umpire in self.umpires:
                if umpire.ended() is not None and not umpire.told_to_end and umpire.name not in seen:
                    seen.add(umpire.name)
                    self.broken.append(f"{umpire.name} ended by itself with {umpire.ended()}")
                    self.record(self.broken[-1])
            await asyncio.sleep(0.1)

    def close(self) -> None:
        for umpire in self.umpires:
            umpire.kill()
            for line in umpire.log.read_text().splitlines()[-3:] if umpire.log.exists() else []:
                self.record("log of", umpire.name, line[:600])

    def report(self) -> bool:
        self.record(
            "requests:", self.sent, "sent,", self.answered, "answered,", self.not_connected, "not connected"
        )
        for line in self.broken:
            self.record("broken:", line)
        return not self.broken
