"""Small stand-ins and helpers for the review's cases: asyncio, standard library only, loopback only."""

from __future__ import annotations

import asyncio
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# The program's interpreter, from the deploy file's own build and run lines.
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
PYTHON = ".venv/bin/python"
assert PYTHON in DEPLOY["run"]


class Failed(Exception):
    """The case could not run."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes record.txt: seconds since the start, and what was seen."""

    def __init__(self, file: Path) -> None:
        self.out = file.open("w")
        self.began = time.monotonic()

    def __call__(self, *words: object) -> None:
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(word) for word in words)
        self.out.write(line + "\n")
        self.out.flush()


class Process:
    """One of the project's programs, started from the repository's root as the deploy file does."""

    def __init__(self, name: str, command: str, log: Path, record: Record, **environ: str) -> None:
        self.name, self.command, self.log, self.record = name, command, log, record
        self.environ = environ
        self.process: subprocess.Popen[bytes] | None = None
        self.told_to_end = False

    def start(self) -> None:
        self.told_to_end = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={"PATH": "/usr/bin:/bin", **self.environ},
            )
        self.record(self.name, "started, pid", self.process.pid)

    def send(self, number: int) -> None:
        assert self.process
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.told_to_end = True
        self.record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def ended(self) -> int | None:
        assert self.process
        return self.process.poll()

    async def wait_end(self, timeout: float) -> int:
        until = time.monotonic() + timeout
        while (code := self.ended()) is None:
            if time.monotonic() > until:
                raise Failed(f"{self.name} did not end in {timeout} s")
            await asyncio.sleep(0.05)
        self.record(self.name, "ended with", code)
        return code

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message with a length; None at a clean end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def answer(status: int, body: bytes, **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# For each open connection to a stand-in: whether further bytes have arrived on it.
waiting: dict[asyncio.StreamWriter, Callable[[], bool]] = {}


def _unread(writer: asyncio.StreamWriter) -> bool:
    """Return whether bytes lie unread in the system's buffer of the connection."""
    poller = select.poll()
    poller.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


Handle = Callable[[Request, asyncio.StreamWriter], Awaitable[bytes | None]]


async def serve(handle: Handle, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve HTTP; `handle` returns the bytes of the answer, or None if it has dealt with the connection."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting[writer] = lambda: bool(reader._buffer) or _unread(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                data = await handle(Request(method, target, message[1], message[2]), writer)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has gone, or the case is over
        finally:
            waiting.pop(writer, None)
            writer.close()

    server = await asyncio.start_server(connection, HOST, port)
    return server, server.sockets[0].getsockname()[1]


def encode(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "host: service.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 2.0,
) -> tuple[int, dict[str, str], bytes]:
    """One request on a new connection. Raises OSError (also for an end without an answer), TimeoutError."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(encode(method, target, headers or {}, body))
            await writer.drain()
            message = await read_message(reader)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the answer is cut short") from error
        finally:
            writer.close()
    if message is None:
        raise ConnectionError("closed without an answer")
    return int(message[0].split(" ")[1]), message[1], message[2]


async def until(condition: Callable[[], Awaitable[bool]], timeout: float, what: str) -> None:
    end = time.monotonic() + timeout
    while True:
        try:
            if await condition():
                return
        except (OSError, TimeoutError, ValueError, KeyError):
            pass
        if time.monotonic() > end:
            raise Failed(f"not in {timeout} s: {what}")
        await asyncio.sleep(0.05)


async def _until_stopped(case: Awaitable[bool]) -> bool:
    """Run the case; SIGTERM ends it, with all processes that it started."""
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(file: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(Path(sys.argv[1]) if len(sys.argv) > 1 else file)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble:", trouble)
    with tempfile.TemporaryDirectory(prefix="stepsail-review-") as temporary:
        try:
            held = asyncio.run(_until_stopped(case(record, Path(temporary), trouble)))
        except (Failed, OSError, TimeoutError, asyncio.CancelledError) as error:
            record("could not run:", repr(error))
            return 2
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1


def dumps(value: object) -> bytes:
    return json.dumps(value).encode()
