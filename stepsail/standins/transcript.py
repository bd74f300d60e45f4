"""What crossed the sockets, written down at the far ends: one JSON object a line, on one monotonic clock."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from stepsail.loop import Loop

FLUSH = 65536  # bytes kept before they are written


class Transcript:
    """Lines have `t` (seconds), `at` (which end) and `what`; they are in order of time."""

    def __init__(self, loop: Loop, file: Path | None = None) -> None:
        self.loop, self.lines = loop, list[dict[str, Any]]()
        self.out = file.open("wb") if file else None
        self.kept = bytearray()

    def add(self, at: str, what: str, **fields: Any) -> None:
        line = {"t": round(self.loop.now(), 6), "at": at, "what": what, **fields}
        if self.out is None:
            self.lines.append(line)
            return
        self.kept += msgspec.json.encode(line) + b"\n"
        if len(self.kept) >= FLUSH:
            self.flush()

    def flush(self) -> None:
        if self.out:
            self.out.write(self.kept)
            self.out.flush()
            self.kept.clear()

    def close(self) -> None:
        self.flush()
        if self.out:
            self.out.close()
