"""Starts abusive clients in a process of their own."""

from __future__ import annotations

import subprocess
import sys

from stepsail.loop.driver import Address
from stepsail.qualify.abusive_clients import Flood, Stall


def start_abusive_clients(
    listen: Address, kind: Stall | Flood, connections: int, seconds: float, instance: str
) -> subprocess.Popen[bytes]:
    """Start a process with clients of a kind, which ends by itself after some seconds.

    The IDs of their requests begin with the name of the instance.
    """
    host, port = listen
    arguments = [host, str(port), kind.name.lower(), str(connections), str(seconds), instance]
    return subprocess.Popen([sys.executable, "-m", "stepsail.qualify", *arguments])
