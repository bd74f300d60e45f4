"""Stand-ins for the daemon's release control and discovery, and the daemon itself as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig import HOST, ROOT, Box, CannotRunError, Record, Service, free_port, get, read_message, response

PYTHON = str(ROOT / ".venv/bin/python")
LONGEST_WAIT = 5.0  # seconds for which a call may be held back until there is something new

COMMON_SETTINGS = """
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
    control any
    replaces yes
    bake 1.5s
    stage 5% cap 8.5%
    stage 20% cap 34%
    stage 50% cap 85%
    stage 100% cap 1
    guarded-stages 2
    free 1
    window 4s
    vote-life 10s
    vote-wait 800ms
    votes-per-second 60
}
servers {
    cold-from 31%
    cold-for 4.9s
    falls-at 3
    drain-grace 500ms
    idle 30s
    connect-wait 250ms
}
limits {
    relays 6
    stay-away 500ms
    crossing-price 0.02
}
log json info
"""


class Roster(Service):
    """Discovery of the daemon: the whole list, then long polls for changes, of which there are none."""

    def __init__(self, record: Record, boxes: list[Box]) -> None:
        super().__init__(record)
        self.boxes = boxes

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            query = dict(
                pair.split("=") for pair in message.start_line.split(" ")[1].partition("?")[2].split("&")
            )
            whole = query["after"] != "1"
            if not whole:
                await asyncio.sleep(min(LONGEST_WAIT, float(query["wait"])))
            servers = [
                {"address": box.address, "zone": box.zone, "build": box.build, "state": "ready"}
                for box in self.boxes
            ]
            body = {"seq": 1, "whole": whole, "servers": servers if whole else []}
            writer.write(response(200, json.dumps(body).encode()))
            await writer.drain()


@dataclass
class Conveyor(Service):
    """Release control of the daemon: long polls for news.

    `spoilt` answers are given first, one for each call that waits for news.
    """

    record: Record
    state: dict[str, Any] = field(
        default_factory=lambda: {"build": 41, "stage": 3, "phase": "released", "cap": 1.0}
    )
    spoilt: list[bytes] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Prepare the stand-in."""
        super().__init__(self.record)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            if message.start_line.startswith("POST"):
                writer.write(response(200, b'{"receipt":"counted"}'))
                await writer.drain()
                continue
            self.calls.append(self.record.now())
            if "after=0" not in message.start_line:
                for _ in range(int(LONGEST_WAIT / 0.05)):
                    await asyncio.sleep(0.05)
                    if self.spoilt:
                        break
            body = json.dumps({"seq": 1, "state": self.state | {"age": 60.0}}).encode()
            if self.spoilt and "after=0" not in message.start_line:
                body = self.spoilt.pop(0)
                self.record.add(f"release control answers {body!r}")
            writer.write(response(200, body))
            await writer.drain()


class Daemon:
    """One instance of the daemon, started by `serve FILE`."""

    def __init__(self, record: Record, folder: Path, number: int, count: int, extra: str = "") -> None:
        self.record = record
        self.folder = folder
        self.number = number
        self.count = count
        self.extra = extra
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, roster: Roster, conveyor: Conveyor) -> None:
        """Write the settings and start the process."""
        file = self.folder / f"umpire-{self.number}.conf"
        zone = ("hall-a", "hall-b", "hall-c")[self.number % 3]
        file.write_text(
            f"umpire {self.number} of {self.count}\nzone {zone}\nlisten {HOST}:{self.port}\n"
            f"conveyor {conveyor.address}\nroster {roster.address} asked\n{COMMON_SETTINGS}{self.extra}",
            "utf-8",
        )
        with (self.folder / f"umpire-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [PYTHON, "-m", "stepsail", "serve", str(file)], cwd=ROOT, stdout=log, stderr=log
            )
        self.record.add(f"umpire {self.number} is started")

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.folder / f"umpire-{self.number}.log").read_text("utf-8", "replace")

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it is running."""
        return self.process.poll() if self.process else None

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until the instance is ready."""
        for _ in range(int(seconds / 0.1)):
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reply = await asyncio.wait_for(get(self.port, "/.stepsail/ready"), 1.0)
                if reply is not None and reply.start_line.split(" ")[1] == "200":
                    self.record.add(f"umpire {self.number} is ready")
                    return
            if not self.running:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError(f"umpire {self.number} did not become ready: {self.log()[-2000:]}")

    async def stop(self) -> int:
        """End the process with SIGTERM and return its exit code."""
        if self.process is None:
            raise CannotRunError("the process was not started")
        self.process.send_signal(signal.SIGTERM)
        while self.running:
            await asyncio.sleep(0.05)
        self.record.add(f"umpire {self.number} was stopped and ended with {self.process.returncode}")
        return self.process.returncode

    def end(self) -> None:
        """Kill the process, if it is still running."""
        if self.running and self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
