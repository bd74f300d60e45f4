"""The errors that an audit trail raises, apart from the OSError of a failed disk operation."""

from __future__ import annotations

from pathlib import Path


class TrailError(Exception):
    """Base class of the package's errors. Where the operator can fix the cause, the message says how."""


class TrailLockedError(TrailError):
    """Another process is writing this trail."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"another process is writing the trail in {folder}; give each instance its own folder"
        )
        self.folder = folder


class NoTrailError(TrailError):
    """The folder contains no trail segment."""

    def __init__(self, folder: Path) -> None:
        super().__init__(f"{folder} contains no trail")
        self.folder = folder


class UnreadableSegmentError(TrailError):
    """A segment that is needed to find the last entry of the trail cannot be read from the disk."""

    def __init__(self, file: Path, cause: OSError) -> None:
        super().__init__(
            f"{file} cannot be read ({cause.strerror or cause}): the last entry of the trail is unknown, "
            "and continuing could assign an entry number twice. Copy the folder to another disk, repair or "
            "replace this disk, restore the files, and start the instance again"
        )
        self.file = file


class SigningKeyError(TrailError):
    """The key in the folder cannot be used to sign the folder's trail."""


class MissingKeyError(SigningKeyError):
    """The folder contains a trail, but no signing key."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"{folder} contains a trail, but its signing key is lost. Existing signatures stay valid. "
            "Create a new key with 'stepsail trail new-key FOLDER', and publish it"
        )
        self.folder = folder


class WrongKeyError(SigningKeyError):
    """The trail was signed with another key, and the folder has no handover record for this one."""

    def __init__(self, folder: Path, key_id: str, signed_by: str) -> None:
        super().__init__(
            f"the key in {folder} is {key_id}, but the trail was signed with {signed_by}: this is the "
            "wrong key. Restore the right key, or run 'stepsail trail new-key FOLDER'"
        )
        self.folder = folder
        self.key_id = key_id
        self.signed_by = signed_by


class ExposedKeyError(SigningKeyError):
    """Users other than the owner have permissions on the private key file."""

    def __init__(self, file: Path, mode: int) -> None:
        super().__init__(
            f"{file} can be read by other users (mode {mode:o}); run chmod 600 on it, and create a new key"
        )
        self.file = file
        self.mode = mode


class InvalidKeyError(SigningKeyError):
    """The file does not contain a private key."""

    def __init__(self, file: Path) -> None:
        super().__init__(f"{file} does not contain a private key")
        self.file = file
