"""Helpers with which several tests write and read entries of audit trails."""

from __future__ import annotations

from pathlib import Path

from stepsail.trail.disk import Disk
from stepsail.trail.entries import EntryKind, decode, encode
from stepsail.trail.reader import committed_entries


def answer(number: int) -> bytes:
    """Return an ANSWER entry with the receipt `r<number>`."""
    receipt = f"r{number}"
    return encode(
        EntryKind.ANSWER, 1000.0 + number, receipt=receipt, verdict="handled", status=200, digest="d"
    )


def receipts(disk: Disk, folder: Path) -> list[str]:
    """Return the receipts of the answers in the chain, in order."""
    entries = [decode(data) for _, _, data in committed_entries(disk, folder)]
    return [entry.fields["receipt"] for entry in entries if entry.kind == EntryKind.ANSWER]
