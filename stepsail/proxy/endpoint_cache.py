"""Caches the latest endpoint list on disk, so that a restarted instance has one before discovery answers."""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from stepsail.loop import Loop
from stepsail.proxy.control_messages import ENDPOINT_LIST
from stepsail.proxy.decision_host import Logger

# Shortest time in seconds between two writes of the endpoint list to disk.
WRITE_INTERVAL = 0.5
# Longest time in seconds that a stopping process waits for a write in progress.
FINAL_WRITE_TIMEOUT = 2.0
# Seconds between two checks, by a stopping process, whether the write in progress has finished.
FINAL_WRITE_CHECK_INTERVAL = 0.01


class EndpointCache:
    """Writes the endpoints that `get_endpoints` returns to a file; does nothing if `file` is None."""

    def __init__(
        self, loop: Loop, file: Path | None, log: Logger, get_endpoints: Callable[[], list[dict[str, Any]]]
    ) -> None:
        self.loop = loop
        self.file = file
        self.log = log
        self.get_endpoints = get_endpoints
        self.next_write_at = 0.0
        self.is_writing = False

    def schedule_write(self) -> None:
        """Write the endpoint list after `WRITE_INTERVAL`; further calls until then have no effect."""
        if self.file and self.next_write_at <= self.loop.now():
            self.next_write_at = self.loop.now() + WRITE_INTERVAL
            self.loop.call_later(WRITE_INTERVAL, partial(self._write_in_background, self.file))

    def _write_in_background(self, file: Path) -> None:
        """Write the file outside the loop, so that a slow disk does not block any task.

        Previously, the file was written in the loop. Renaming the file on a busy disk then blocked all tasks,
        and clients received their responses too late.
        """
        if self.is_writing:
            self.loop.call_later(WRITE_INTERVAL, partial(self._write_in_background, file))
            return
        self.is_writing = True
        driver = self.loop.driver
        data = self._encode()

        def write() -> None:
            error = _replace_file(file, data)
            driver.call_threadsafe(partial(self._write_finished, error))

        driver.run_blocking(write)

    def _write_finished(self, error: OSError | None) -> None:
        self.is_writing = False
        self._log_error(error)

    def write_now(self) -> None:
        """Write the endpoint list before this process stops, once a write in progress has finished.

        If the write in progress takes longer than `FINAL_WRITE_TIMEOUT`, the list is not written.
        """
        if self.file is None:
            return
        deadline = self.loop.now() + FINAL_WRITE_TIMEOUT
        while self.is_writing and self.loop.now() < deadline:
            self.loop.sleep(FINAL_WRITE_CHECK_INTERVAL)
        if not self.is_writing:
            self._log_error(_replace_file(self.file, self._encode()))

    def _encode(self) -> bytes:
        body = msgspec.json.encode({"seq": 0, "whole": True, "servers": self.get_endpoints()})
        return b"%08x\n%s" % (zlib.crc32(body), body)

    def _log_error(self, error: OSError | None) -> None:
        if error:
            self.log.warning("endpoint_cache_not_written", file=str(self.file), error=str(error))


def _replace_file(file: Path, data: bytes) -> OSError | None:
    """Replace a file by writing a new one and renaming it over the old one.

    If that fails, the old file is kept and the error is returned.

    No fsync is needed: the checksum in the file reveals a partly written file.
    """
    new_file = file.with_name(file.name + ".new")
    try:
        new_file.write_bytes(data)
        os.replace(new_file, file)
    except OSError as error:
        return error
    return None


def read_cache(file: Path | None) -> dict[str, Any] | None:
    """Return the endpoint list in a cache file, or None if the file is missing, torn or invalid."""
    if file is None:
        return None
    try:
        checksum, _, body = file.read_bytes().partition(b"\n")
        if checksum != b"%08x" % zlib.crc32(body):
            return None
        endpoint_list: dict[str, Any] = msgspec.json.decode(body)
    except (OSError, ValueError, msgspec.DecodeError):
        return None
    return endpoint_list if ENDPOINT_LIST.is_valid(endpoint_list) else None
