"""Tests for how long the ID of a request is refused, and that the number of remembered IDs is bounded."""

from __future__ import annotations

from stepsail.platform.request_ids import MAX_REMEMBERED, REMEMBERED_TIME, RequestIds


class Clock:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


def test_id_is_taken_while_in_use_and_while_its_request_may_have_run() -> None:
    clock = Clock()
    ids = RequestIds(clock.now)
    ids.start(b"ran")
    ids.start(b"never-ran")
    assert ids.is_taken(b"ran") and ids.is_taken(b"never-ran")
    ids.end(b"ran", may_have_run=True)
    ids.end(b"never-ran", may_have_run=False)
    assert ids.is_taken(b"ran") and not ids.is_taken(b"never-ran")
    clock.time += REMEMBERED_TIME - 0.01
    assert ids.is_taken(b"ran")
    clock.time += 0.02
    assert not ids.is_taken(b"ran")


def test_earliest_ids_are_forgotten_once_there_are_too_many() -> None:
    ids = RequestIds(Clock().now)
    for number in range(MAX_REMEMBERED + 10):
        request_id = b"%d" % number
        ids.start(request_id)
        ids.end(request_id, may_have_run=True)
    assert not ids.is_taken(b"9") and ids.is_taken(b"10") and not ids.in_use
    assert len(ids._ended) == MAX_REMEMBERED
