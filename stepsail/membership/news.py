"""News that an umpire sends on with whatever it says, each piece so many times: SWIM's infection."""

from __future__ import annotations

from collections.abc import Collection

from stepsail.membership.records import Record
from stepsail.membership.words import fitting


class News:
    """At most one piece for each number, so bounded by the members; what was sent least goes first."""

    def __init__(self) -> None:
        self.left: dict[int, int] = {}
        self.records: dict[int, Record] = {}

    def __len__(self) -> int:
        return len(self.left)

    def add(self, record: Record, sendings: int) -> None:
        self.records[record.number], self.left[record.number] = record, sendings

    def drop(self, number: int) -> None:
        self.left.pop(number, None)
        self.records.pop(number, None)

    def take(self, room: int, but: Collection[int]) -> list[Record]:
        """As much as fits into so many bytes, without what is told of these numbers already."""
        order = sorted((n for n in self.left if n not in but), key=lambda n: -self.left[n])
        found = fitting([self.records[n] for n in order], room)
        for record in found:
            self.left[record.number] -= 1
            if self.left[record.number] <= 0:
                self.drop(record.number)
        return found
