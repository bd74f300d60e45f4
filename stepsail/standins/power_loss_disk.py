"""An in-memory disk with power loss: unsynced data may survive in full, in part, out of order, or not at all."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random

BLOCK_BYTES = 512  # a disk writes a block atomically
UNLIMITED = 1 << 40  # bytes
LOSS_PROBABILITY = 0.5  # of each unsynced file name and block


class PowerLossError(Exception):
    """The simulated machine has lost power; code that runs on it must not catch this."""


@dataclass
class SimulatedFile:
    """A file's content, the number of its bytes that are synced, and whether its name is synced."""

    data: bytearray = field(default_factory=bytearray)
    synced_bytes: int = 0
    name_synced: bool = False


class PowerLossDisk:
    """An in-memory implementation of `trail.disk.Disk`.

    Attributes:
        files: Files by name.
        open_files: Open files by descriptor.
        free_bytes: Bytes that can be written until the disk is full.
        call_count: Number of calls so far that change the disk.
        errors: The errno with which a call fails, by the number of the call.
        power_loss_at: Number of the call before which the power fails; -1 for never.
        unreadable: Names of files that cannot be read.
    """

    def __init__(self, free_bytes: int = UNLIMITED) -> None:
        self.files: dict[str, SimulatedFile] = {}
        self.open_files: dict[int, SimulatedFile] = {}
        self.last_descriptor = 0
        self.free_bytes = free_bytes
        self.call_count = 0
        self.errors: dict[int, int] = {}
        self.power_loss_at = -1
        self.unreadable: set[str] = set()

    def _count_call(self) -> None:
        """Count a call that changes the disk; lose power or fail if the test has set that for this call."""
        number = self.call_count
        if number == self.power_loss_at:
            raise PowerLossError
        self.call_count += 1
        if number in self.errors:
            raise OSError(self.errors[number], "error injected by the test")

    def create(self, name: str) -> int:
        """Create a file and return its descriptor."""
        self._count_call()
        self.last_descriptor += 1
        file = SimulatedFile()
        self.files[name] = file
        self.open_files[self.last_descriptor] = file
        return self.last_descriptor

    def write(self, fd: int, data: bytes) -> None:
        """Append data; on a full disk, write only what fits and raise ENOSPC."""
        self._count_call()
        file = self.open_files[fd]
        fitting = data[: max(0, self.free_bytes)]
        file.data += fitting
        self.free_bytes -= len(fitting)
        if len(fitting) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def sync(self, fd: int) -> None:
        """Sync the content of an open file."""
        self._count_call()
        file = self.open_files[fd]
        file.synced_bytes = len(file.data)

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        self.open_files.pop(fd, None)

    def sync_folder(self) -> None:
        """Sync the names of all files."""
        self._count_call()
        for file in self.files.values():
            file.name_synced = True

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Return a file's content, or its first bytes."""
        if name in self.unreadable:
            raise OSError(errno.EIO, "Input/output error", name)
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        data = self.files[name].data
        return bytes(data if max_bytes < 0 else data[:max_bytes])

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def size(self, name: str) -> int:
        """Return a file's size in bytes."""
        return len(self.files[name].data)

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        self._count_call()
        file = self.files.pop(name, None)
        if file:
            self.free_bytes += len(file.data)

    def reserve(self, name: str, size: int) -> None:
        """Create a file of `size` bytes."""
        if self.free_bytes < size:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.files[name] = SimulatedFile(bytearray(size), size, True)
        self.free_bytes -= size

    def after_power_loss(self, random: Random, keep_all: bool = False) -> PowerLossDisk:
        """Return a possible state of the disk after a power loss.

        Synced bytes survive. Each unsynced block may be lost, and a file may be shorter. A file may be gone if
        neither its name nor any of its bytes was synced. With `keep_all`, only such files are lost.
        """
        found = PowerLossDisk(self.free_bytes)
        for name, file in self.files.items():
            unsynced = not file.name_synced and not file.synced_bytes
            if unsynced and random.random() < LOSS_PROBABILITY:
                continue
            length = len(file.data) if keep_all else random.randint(file.synced_bytes, len(file.data))
            data = bytearray(file.data[:length])
            if not keep_all and random.random() < LOSS_PROBABILITY:
                lose_blocks(data, file.synced_bytes, random)
            found.files[name] = SimulatedFile(data, length, True)
        return found


def lose_blocks(data: bytearray, synced_bytes: int, random: Random) -> None:
    """Overwrite randomly chosen blocks after the synced bytes with zeros."""
    length = len(data)
    for start in range(synced_bytes - synced_bytes % BLOCK_BYTES, length, BLOCK_BYTES):
        if start >= synced_bytes and random.random() < LOSS_PROBABILITY:
            end = min(length, start + BLOCK_BYTES)
            data[start:end] = bytes(end - start)
