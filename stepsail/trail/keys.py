"""The Ed25519 key that signs heads: created at the first start, stored with mode 0600, and rotated."""

from __future__ import annotations

import hashlib
import json
import os
import stat
from dataclasses import dataclass
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat, PublicFormat

from stepsail.trail.errors import ExposedKeyError, InvalidKeyError, SigningKeyError

KEY_FILE = "key"
PUBLIC_FILE = "key.pub"
HANDOVER_FILE = "key.follows"
KEY_MODE = 0o600
PUBLIC_MODE = 0o644
NON_OWNER_MODE = 0o077  # the permission bits of the group and of other users
KEY_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class Handover:
    """The id of the old key and its signature over the new key; both are empty if the old key was lost."""

    old_key_id: str
    signature: bytes


NO_HANDOVER = Handover("", b"")


def key_id(public: bytes) -> str:
    """Return the id of a public key: a short hash of it in hexadecimal."""
    return hashlib.blake2b(public, digest_size=KEY_ID_BYTES).hexdigest()


class SigningKey:
    """An Ed25519 private key, its public key and its id."""

    def __init__(self, private: Ed25519PrivateKey) -> None:
        self.private = private
        self.public = private.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)
        self.id = key_id(self.public)

    def __repr__(self) -> str:
        return f"SigningKey({self.id})"  # never includes the private key

    def sign(self, message: bytes) -> bytes:
        """Return the signature over a message."""
        return self.private.sign(message)

    @classmethod
    def create(cls, folder: Path) -> SigningKey:
        """Create a key and store it in the folder. Each file is replaced atomically."""
        key = cls(Ed25519PrivateKey.generate())
        raw = key.private.private_bytes(Encoding.Raw, PrivateFormat.Raw, NoEncryption())
        _replace_file(folder / KEY_FILE, raw, KEY_MODE)
        _replace_file(folder / PUBLIC_FILE, key.public.hex().encode() + b"\n", PUBLIC_MODE)
        return key

    @classmethod
    def rotate(cls, folder: Path) -> SigningKey:
        """Replace the folder's key with a new one, signed with the old key if the old key can be loaded."""
        try:
            old: SigningKey | None = cls.load(folder)
        except (FileNotFoundError, SigningKeyError):
            old = None
        key = cls.create(folder)
        handover = {
            "key": key.id,
            "old": old.id if old else "",
            "signed": old.sign(handover_message(key.public)).hex() if old else "",
        }
        (folder / HANDOVER_FILE).write_text(json.dumps(handover) + "\n")
        return key

    def handover(self, folder: Path) -> Handover | None:
        """Return the handover that `rotate` stored for this key, or None if there is none."""
        try:
            stored = json.loads((folder / HANDOVER_FILE).read_text())
            if stored["key"] != self.id:
                return None
            return Handover(stored["old"], bytes.fromhex(stored["signed"]))
        except (OSError, ValueError, KeyError):
            return None

    @classmethod
    def load(cls, folder: Path) -> SigningKey:
        """Load the folder's key. Raises SigningKeyError, FileNotFoundError."""
        file = folder / KEY_FILE
        mode = stat.S_IMODE(file.stat().st_mode)
        if mode & NON_OWNER_MODE:
            raise ExposedKeyError(file, mode)
        try:
            return cls(Ed25519PrivateKey.from_private_bytes(file.read_bytes()))
        except ValueError:
            raise InvalidKeyError(file) from None


def _replace_file(file: Path, data: bytes, mode: int) -> None:
    """Replace a file atomically: write and sync a temporary file, then rename it."""
    temporary = file.with_name(file.name + ".new")
    fd = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, mode)
    with os.fdopen(fd, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    temporary.replace(file)


def read_public_key(folder: Path) -> bytes:
    """Return the public key stored in a trail's folder."""
    return bytes.fromhex((folder / PUBLIC_FILE).read_text().strip())


def signature_valid(public: bytes, message: bytes, signature: bytes) -> bool:
    """Return whether the signature over the message is valid for this public key."""
    try:
        Ed25519PublicKey.from_public_bytes(public).verify(signature, message)
    except (InvalidSignature, ValueError):
        return False
    return True


def head_message(instance: int, seq: int, link: bytes, wall_time: float) -> bytes:
    """Return the message that the signature of a head covers."""
    return b"stepsail trail head %d %d %s %.6f" % (instance, seq, link.hex().encode(), wall_time)


def handover_message(public: bytes) -> bytes:
    """Return the message that the old key signs when a new key replaces it."""
    return b"stepsail trail key " + public.hex().encode()
