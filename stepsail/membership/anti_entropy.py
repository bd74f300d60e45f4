"""Compares the member table with another member's by digests, to repair missed broadcasts (anti-entropy)."""

from __future__ import annotations

from math import inf

from stepsail.membership.broadcaster import Broadcaster
from stepsail.membership.member_table import MemberTable
from stepsail.membership.messages import HEADER_BYTES, Message, MessageKind, fitting_records, record_size
from stepsail.membership.parameters import DIGEST_BUCKETS, MAX_DATAGRAM_BYTES, MAX_RECORD_DATAGRAMS
from stepsail.membership.records import MemberRecord

# Values of `Message.probe_id` in DIGESTS messages. The receiver of a request returns its own digests if any
# of them differ from those in the request.
REQUEST = 0
RESPONSE = 1


class AntiEntropy:
    """Compares this instance's member table with the tables of other members, one at a time.

    Attributes:
        due_at: Local time in seconds at which the next comparison begins; `inf` if none is scheduled.
        datagrams_left: Number of RECORDS messages that may still be sent in the current period.
    """

    def __init__(self, broadcaster: Broadcaster, table: MemberTable) -> None:
        self.broadcaster = broadcaster
        self.table = table
        self.due_at = inf
        self.datagrams_left = MAX_RECORD_DATAGRAMS

    def schedule_now(self) -> None:
        """Schedule a comparison of member tables for the next tick."""
        self.due_at = self.broadcaster.now

    def begin_period(self) -> None:
        """Reset the number of RECORDS messages that may be sent in the period."""
        self.datagrams_left = MAX_RECORD_DATAGRAMS

    def begin(self) -> None:
        """Begin a comparison: send the digests of this table to a random present member."""
        self.due_at = inf
        for member in self.broadcaster.sample(self.table.present_members(), 1):
            self._send_digests(member.record, REQUEST)

    def handle_digests(self, sender: MemberRecord, message: Message) -> None:
        """Send the sender the records of the buckets whose digests differ.

        The first bucket is chosen at random, because the period's limit of RECORDS messages may
        not suffice for all records.
        """
        digests = self.table.digests()
        differing = [bucket for bucket in range(DIGEST_BUCKETS) if digests[bucket] != message.digests[bucket]]
        if not differing:
            return
        if message.probe_id == REQUEST:
            # The sender then also sends its own records of the buckets that differ.
            self._send_digests(sender, RESPONSE)
        first = int(self.broadcaster.random() * len(differing))
        rank = {bucket: (position - first) % len(differing) for position, bucket in enumerate(differing)}
        records = [
            record
            for record in self.table.records()
            if record.instance % DIGEST_BUCKETS in rank and record is not self.broadcaster.local
        ]
        records.sort(key=lambda record: (rank[record.instance % DIGEST_BUCKETS], record.instance))
        self._send_records(sender, records)

    def _send_records(self, to: MemberRecord, records: list[MemberRecord]) -> None:
        max_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES - record_size(self.broadcaster.local)
        remaining = records
        while remaining and self.datagrams_left > 0:
            self.datagrams_left -= 1
            batch = fitting_records(remaining, max_bytes)
            if not batch:
                return
            remaining = remaining[len(batch) :]
            self.broadcaster.send(to.address, MessageKind.RECORDS, 0, to.instance, records=batch)

    def _send_digests(self, to: MemberRecord, probe_id: int) -> None:
        self.broadcaster.send(
            to.address, MessageKind.DIGESTS, probe_id, to.instance, digests=self.table.digests(), records=()
        )
