"""The interface through which a recorder hands over entries and snapshots."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stepsail.capture.entries import RecordedCall
from stepsail.decisions.interface import RouterSettings


class Sink(Protocol):
    """Receives the entries and snapshots of a router. Its methods must not block, because the router waits.

    Attributes:
        wants_snapshot: Whether the recorder must call `add_snapshot` before the next event.
    """

    wants_snapshot: bool

    def begin(self, settings: RouterSettings, seed: int) -> None:
        """Begin a run. Called once, before the first entry."""
        ...

    def add_entry(self, call: RecordedCall) -> None:
        """Add one entry."""
        ...

    def add_snapshot(self, make_snapshot: Callable[[], bytes]) -> None:
        """Begin a segment with a snapshot, which `make_snapshot` returns."""
        ...
