"""Queues records to piggyback on outgoing messages, each a limited number of times (SWIM's dissemination)."""

from __future__ import annotations

from collections.abc import Collection

from stepsail.membership.messages import fitting_records
from stepsail.membership.records import MemberRecord


class BroadcastQueue:
    """A queue of at most one record per instance; records with the most transmissions left are sent first.

    Attributes:
        remaining: Number of transmissions left for each instance's record, by instance number.
        records: The record to send, by instance number.
    """

    def __init__(self) -> None:
        self.remaining: dict[int, int] = {}
        self.records: dict[int, MemberRecord] = {}

    def __len__(self) -> int:
        return len(self.remaining)

    def add(self, record: MemberRecord, transmissions: int) -> None:
        """Queue a record to be sent this many times.

        The record replaces an earlier record of the same instance.
        """
        self.records[record.instance] = record
        self.remaining[record.instance] = transmissions

    def remove(self, instance: int) -> None:
        """Remove the instance's record from the queue."""
        self.remaining.pop(instance, None)
        self.records.pop(instance, None)

    def take(self, max_bytes: int, excluded: Collection[int]) -> list[MemberRecord]:
        """Return records for one message, and count a transmission of each.

        The records fit into `max_bytes` together; records of the excluded instances are left out.
        """
        instances = [instance for instance in self.remaining if instance not in excluded]
        instances.sort(key=lambda instance: -self.remaining[instance])
        taken = fitting_records([self.records[instance] for instance in instances], max_bytes)
        for record in taken:
            self.remaining[record.instance] -= 1
            if self.remaining[record.instance] <= 0:
                self.remove(record.instance)
        return taken
