"""Reads how much memory this process has resident."""

from __future__ import annotations

import resource
from pathlib import Path

STATM_FILE = Path("/proc/self/statm")  # proc(5): sizes in pages; the second is the resident set


def resident_bytes() -> int:
    """Return the size of this process's resident set in bytes; 0 if the system does not tell."""
    try:
        pages = int(STATM_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
