"""Interface to the file operations of a trail; tests implement it with a disk that loses unsynced data."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class Disk(Protocol):
    """The files of one folder. Every method may raise OSError."""

    def create(self, name: str) -> int:
        """Create a file, open it for appending, and return its descriptor."""
        ...

    def write(self, fd: int, data: bytes) -> None:
        """Append all of the data; raise OSError if only a part could be written."""
        ...

    def sync(self, fd: int) -> None:
        """Return once the data written to the file is on stable storage."""
        ...

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        ...

    def sync_folder(self) -> None:
        """Return once the names of new files are on stable storage."""
        ...

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Return a file's content; if `max_bytes` is not negative, at most its first `max_bytes` bytes."""
        ...

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def size(self, name: str) -> int:
        """Return a file's size in bytes."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def reserve(self, name: str, size: int) -> None:
        """Create a file and allocate its blocks at once, so that removing it frees space on a full disk."""
        ...


class RealDisk:
    """Implements `Disk` on a folder of the file system."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def create(self, name: str) -> int:
        """See `Disk.create`."""
        return os.open(self.folder / name, os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND, FILE_MODE)

    def write(self, fd: int, data: bytes) -> None:
        """See `Disk.write`."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def sync(self, fd: int) -> None:
        """See `Disk.sync`."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        """See `Disk.close`."""
        os.close(fd)

    def sync_folder(self) -> None:
        """See `Disk.sync_folder`."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """See `Disk.read`."""
        with (self.folder / name).open("rb") as file:
            return file.read(max_bytes)

    def names(self) -> list[str]:
        """See `Disk.names`."""
        return sorted(file.name for file in self.folder.iterdir())

    def size(self, name: str) -> int:
        """See `Disk.size`."""
        return (self.folder / name).stat().st_size

    def remove(self, name: str) -> None:
        """See `Disk.remove`."""
        (self.folder / name).unlink()

    def reserve(self, name: str, size: int) -> None:
        """See `Disk.reserve`."""
        fd = os.open(self.folder / name, os.O_CREAT | os.O_WRONLY, FILE_MODE)
        try:
            os.posix_fallocate(fd, 0, size)
        finally:
            os.close(fd)
