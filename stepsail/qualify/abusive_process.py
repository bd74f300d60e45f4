"""Starts abusive clients in a process of their own."""

from __future__ import annotations

import subprocess
import sys

from stepsail.loop.driver import Address
from stepsail.qualify.abusive_clients import Flood, Stall


def start_abusive_clients(
    listen: Address, kind: Stall | Flood, connections: int, seconds: float
) -> subprocess.Popen[bytes]:
    """Start a process with clients of a kind, which ends by itself after some seconds."""
    host, port = listen
    command = [sys.executable, "-m", "stepsail.qualify", host, str(port), kind.name.lower()]
    return subprocess.Popen([*command, str(connections), str(seconds)])
