"""A desk whose router is recorded, and a short history with every kind of event in it."""

from __future__ import annotations

import time
from itertools import count
from pathlib import Path
from typing import Any

from helpers import FakeHost

from stepsail.capture import CaptureWriter, with_recording
from stepsail.decisions.interface import AttemptOutcome, ReleasePhase
from stepsail.decisions.router import Router

MAX_QUEUED_BLOCKS = 4  # for a desk that waits for the writer


class RecordedDesk(FakeHost):
    """A desk whose router is recorded."""

    def __init__(self, sink: Any, seed: int = 7, **changed: Any) -> None:
        self.sink, self.numbers = sink, count()
        super().__init__(seed=seed, **changed)

    waits_for_writer = False  # unlike an instance; then a busy machine drops nothing

    def number(self) -> int:
        while self.waits_for_writer and self.sink.queue.qsize() > MAX_QUEUED_BLOCKS:
            time.sleep(0.001)
        return next(self.numbers)

    def make(self, *args: Any) -> Any:
        return with_recording(Router, self.sink)(*args)


def play_history(desk: Any, rounds: int = 30) -> None:
    """A short history with every kind of event in it."""
    desk.receive_release_state(2, 0, ReleasePhase.CANARY, 0.3)
    for at in range(rounds):
        transaction = desk.accept(at % 3)
        desk.advance(0.05)
        if desk.sent and at % 5:
            outcome = list(AttemptOutcome)[at % 6]
            number = len([r for r in desk.sent if r[0].number == transaction.number]) - 1
            if number >= 0 and not transaction.finished():
                transaction.attempt_ended(number, outcome, outcome == 0, 0.05, ())
        if at % 7 == 3:
            desk.receive_endpoint_list((1, 1, 2), start=desk.clock)
            desk.router.release_counts_received(1, 0, 10, 1, 0.1, 1.0)
    desk.advance(1.0)


def recorded(folder: Path, rounds: int = 30, **options: Any) -> CaptureWriter:
    """A closed capture of a short history."""
    writer = CaptureWriter(folder, 0, "m", lambda event, **fields: None, **options)
    desk = RecordedDesk(writer)
    desk.waits_for_writer = True
    play_history(desk, rounds)
    writer.close(30.0)
    return writer
