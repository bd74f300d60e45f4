"""Runs routers for the simulator: reads events from standard input, writes commands to standard output.

If the environment variable STEPSAIL_CAPTURE names a folder, a capture of each instance is written there.
Capturing does not change a byte of the replies.
"""

import atexit
import os
import sys
from pathlib import Path

from stepsail.adapter.process import serve
from stepsail.decisions.interface import MakeRouter, RouterHandle, RouterHost, RouterSettings
from stepsail.decisions.router import Router


def recording_router_factory(folder: Path) -> MakeRouter:
    """Return a router factory that records the events and commands of each router in a capture."""
    # Imported here to keep the start fast: the simulator starts many processes without a capture.
    from stepsail.capture.recorder import with_recording
    from stepsail.capture.writer import CaptureWriter, fingerprint

    def log_event(event: str, **fields: object) -> None:
        print(event, fields, file=sys.stderr)

    def make_recording_router(settings: RouterSettings, host: RouterHost, seed: int) -> RouterHandle:
        writer = CaptureWriter(folder, settings.instance_index, fingerprint(Router), log_event)
        atexit.register(writer.close)
        return with_recording(Router, writer)(settings, host, seed)

    return make_recording_router


if __name__ == "__main__":
    capture_folder = os.environ.get("STEPSAIL_CAPTURE")
    make_router: MakeRouter = recording_router_factory(Path(capture_folder)) if capture_folder else Router
    sys.exit(serve(make_router, sys.stdin.buffer, sys.stdout.buffer))
