"""Captures record the events and commands of a router in files, which can be replayed entry by entry."""

from stepsail.capture.blocks import Segment, read_segment
from stepsail.capture.recorder import with_recording
from stepsail.capture.replay import Difference, ReplayResult, replay
from stepsail.capture.sink import Sink
from stepsail.capture.writer import CaptureWriter
from stepsail.store.frames import DamagedFileError

__all__ = [
    "CaptureWriter",
    "DamagedFileError",
    "Difference",
    "ReplayResult",
    "Segment",
    "Sink",
    "read_segment",
    "with_recording",
    "replay",
]
