"""Provides a fake host whose router is recorded, and a short history of events to record."""

from __future__ import annotations

import time
from itertools import count
from pathlib import Path
from typing import Any

from helpers import FakeHost

from stepsail.capture import CaptureWriter, with_recording
from stepsail.decisions.interface import AttemptOutcome, ReleasePhase
from stepsail.decisions.router import Router

MAX_QUEUED_BLOCKS = 4  # of the writer, for a host that waits for it


class RecordedHost(FakeHost):
    """A fake host whose router is recorded."""

    def __init__(self, writer: Any, seed: int = 7, **overrides: Any) -> None:
        self.writer, self.request_numbers = writer, count()
        super().__init__(seed=seed, **overrides)

    # If True, requests wait for the writer, so that it drops no event on a busy machine. An instance never
    # waits.
    waits_for_writer = False

    def next_request_number(self) -> int:
        while self.waits_for_writer and self.writer.queue.qsize() > MAX_QUEUED_BLOCKS:
            time.sleep(0.001)
        return next(self.request_numbers)

    def make_router(self, *args: Any) -> Any:
        return with_recording(Router, self.writer)(*args)


def play_history(host: Any, rounds: int = 30) -> None:
    """Feed a short history of events to the host's router."""
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 0.3)
    for index in range(rounds):
        request = host.accept(index % 3)
        host.advance(0.05)
        if host.sent and index % 5:
            outcome = list(AttemptOutcome)[index % 6]
            number = len([sent for sent in host.sent if sent[0].number == request.number]) - 1
            if number >= 0 and not request.finished():
                request.attempt_ended(number, outcome, outcome == 0, 0.05, ())
        if index % 7 == 3:
            host.receive_endpoint_list((1, 1, 2), start=host.clock)
            host.router.release_counts_received(1, 0, 10, 1, 0.1, 1.0)
    host.advance(1.0)


def record_history(folder: Path, rounds: int = 30, **options: Any) -> CaptureWriter:
    """Record a short history into a capture, close the capture and return its writer."""
    writer = CaptureWriter(folder, 0, "m", lambda event, **fields: None, **options)
    host = RecordedHost(writer)
    host.waits_for_writer = True
    play_history(host, rounds)
    writer.close(30.0)
    return writer
