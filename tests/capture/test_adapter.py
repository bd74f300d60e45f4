"""Captures of the simulator's adapter change no byte of its replies and replay without a difference."""

from __future__ import annotations

import os
import struct
import subprocess
import sys
from pathlib import Path

from stepsail import decisions
from stepsail.adapter.frames import REPLY_HEADER
from stepsail.capture.folder import read_runs, replay_segments

ROOT = Path(__file__).parent.parent.parent
SETTINGS = b"""Lanes.count=1
Lanes.0.PromiseMs=500.0
Lanes.0.DeadlineMs=2000.0
Lanes.0.Idempotency=repeatable
Limits.MaxAttempts=3
RegistryMode=pushed
Siblings=2
Domain.MostShares=0.5,1.0
Domain.Shares=0.5,1.0
"""


def encode_batch(clock: float, records: bytes) -> bytes:
    return struct.pack("<Id", 12 + len(records), clock) + records


def event_batches() -> bytes:
    """Events for two instances: three servers, a build on canary, requests and the ends of attempts."""
    addresses = [bytes((10, 0, 0, n)) + struct.pack("<H", 80) for n in range(3)]
    endpoint_list = struct.pack("<BHI", 26, 0, 3) + b"".join(
        struct.pack("<6sBHHfBfd", address, 0, 0, 0, 1.0 + (n == 2), 1, 1.0, 0.0)
        for n, address in enumerate(addresses)
    )
    records = b""
    for instance in (0, 1):
        records += (
            struct.pack("<BHQI", 18, instance, 42 + instance, len(SETTINGS))
            + SETTINGS
            + endpoint_list * (instance == 0)
        )
        records += struct.pack("<BHBQH", 20, instance, 3, 1, 0)
        records += struct.pack("<BHdfHBBHB", 17, instance, 100.0, 0.5, 2, 0, 0, 0, 0)
    batches = encode_batch(8000.0, records)
    for request_number in range(60):
        clock = 8000.0 + 20.0 * (request_number + 1)
        events = struct.pack(
            "<BHQHBddQB", 25, request_number % 2, request_number, 0, 0, 0.0, clock + 1500, 0, 0
        )
        if request_number:
            events += struct.pack(
                "<BHQHBHd6sB",
                23,
                (request_number - 1) % 2,
                request_number - 1,
                (0, 1, 3)[request_number % 3],
                request_number % 3 == 0,
                0,
                15.0,
                addresses[0],
                0,
            )
        batches += encode_batch(clock, events)
    return batches


def test_captured_adapter_replies_the_same_bytes_and_replays(tmp_path: Path) -> None:
    uncaptured, captured = (
        subprocess.run(
            [sys.executable, "-m", "stepsail.adapter"],
            input=event_batches(),
            capture_output=True,
            cwd=ROOT,
            check=True,
            env={k: v for k, v in os.environ.items() if k != "STEPSAIL_CAPTURE"} | extra_environment,
        )
        for extra_environment in ({}, {"STEPSAIL_CAPTURE": str(tmp_path / "kept")})
    )
    assert uncaptured.stdout == captured.stdout and len(uncaptured.stdout) > 60 * REPLY_HEADER.size + 500
    captures = read_runs(tmp_path / "kept")
    runs, damaged = captures.runs, captures.damaged
    assert damaged == [] and sorted(r.instance for r in runs) == [0, 0]
    for run in runs:
        for segments in run.contiguous_segments():
            result = replay_segments(segments, decisions)
            assert result.first_difference is None and result.event_counts["request_accepted"] == 30
