"""The lock and the signing key in a trail's folder, and sealing the trail of a stopped instance."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from stepsail.trail.disk import FILE_MODE, Disk, RealDisk
from stepsail.trail.errors import MissingKeyError, NoTrailError, TrailLockedError, WrongKeyError
from stepsail.trail.keys import SigningKey
from stepsail.trail.log import TrailLog
from stepsail.trail.segments import SignedHead, read_required_segment, segment_names

LOCK_FILE = "lock"
RUN_ID_BYTES = 6


def new_run_id() -> str:
    """Return a random id for one run of an instance, from its start to its end."""
    return os.urandom(RUN_ID_BYTES).hex()


def load_or_create_key(folder: Path, disk: Disk) -> SigningKey:
    """Load the folder's key, or create one if the folder contains neither a key nor a trail.

    Raises:
        SigningKeyError: The key is lost, exposed, invalid, or not the one that signed the trail.
        UnreadableSegmentError: A segment that is needed to find the key that signed the trail cannot be read.
    """
    names = segment_names(disk)
    try:
        key = SigningKey.load(folder)
    except FileNotFoundError:
        if names:
            raise MissingKeyError(folder) from None
        return SigningKey.create(folder)
    for name in reversed(names):
        heads = list(read_required_segment(disk, name, folder).heads())
        if heads:
            if heads[-1].key_id != key.id and key.handover(folder) is None:
                raise WrongKeyError(folder, key.id, heads[-1].key_id)
            break
    return key


def lock_folder(folder: Path) -> int:
    """Lock the folder for this process and return the lock's descriptor. Raises TrailLockedError, OSError."""
    lock = os.open(folder / LOCK_FILE, os.O_CREAT | os.O_RDWR, FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise TrailLockedError(folder) from None
    return lock


def seal_trail(folder: Path) -> SignedHead | None:
    """Sign the end of a stopped instance's trail with a head in a new segment, and return the head.

    Raises:
        TrailError: The trail is locked, has no segment, cannot be read, or its key cannot be used.
        OSError: The disk failed.
    """
    disk = RealDisk(folder)
    lock = lock_folder(folder)
    try:
        names = segment_names(disk)
        if not names:
            raise NoTrailError(folder)
        instance = int(names[-1].rsplit("umpire", 1)[1].split(".")[0])
        key = load_or_create_key(folder, disk)
        log = TrailLog(disk, instance, new_run_id(), key, folder)
        log.recover()
        log.open_segment(time.time(), [])
        return log.seal_segment(time.time())
    finally:
        os.close(lock)
