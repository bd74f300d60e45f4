"""The transcript of a run: its events, one JSON object per line, dated by one monotonic clock."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from stepsail.loop import Loop

MAX_BUFFERED_BYTES = 65536


class Transcript:
    """Writes lines in order of time, or collects them in `lines` if there is no file.

    Each line has the time `t` in seconds, the component that recorded it (`at`) and the event (`what`).
    """

    def __init__(self, loop: Loop, file: Path | None = None) -> None:
        self.loop = loop
        self.lines: list[dict[str, Any]] = []
        self._output = file.open("wb") if file else None
        self._buffer = bytearray()

    def add(self, at: str, what: str, **fields: Any) -> None:
        """Add a line with the current time."""
        line = {"t": round(self.loop.now(), 6), "at": at, "what": what, **fields}
        if self._output is None:
            self.lines.append(line)
            return
        self._buffer += msgspec.json.encode(line) + b"\n"
        if len(self._buffer) >= MAX_BUFFERED_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines to the file."""
        if self._output:
            self._output.write(self._buffer)
            self._output.flush()
            self._buffer.clear()

    def close(self) -> None:
        """Write the buffered lines and close the file."""
        self.flush()
        if self._output:
            self._output.close()
