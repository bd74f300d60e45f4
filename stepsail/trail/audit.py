"""Audits a trail from its files alone; a public key and published heads are optional."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stepsail.trail.disk import Disk, RealDisk
from stepsail.trail.entries import CHAIN_START, ChainPosition, EntryKind, decode, next_link
from stepsail.trail.keys import handover_message, key_id, signature_valid
from stepsail.trail.reader import read_segments
from stepsail.trail.segments import Segment, SignedHead, StartEntry

NO_END_SEQ = 1 << 62  # greater than the number of any entry
TRACKED_KINDS = frozenset((EntryKind.KEY_HANDOVER, EntryKind.RETIRED))


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault in the trail, and the number of the entry at which it was found."""

    file: str
    seq: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}: entry {self.seq}: {self.message}"


@dataclass
class AuditReport:
    """The result of an audit.

    Attributes:
        first_seq: The number of the first entry; greater than 0 if older segments were retired.
        entries: The number that the next entry will have; includes the entries of retired segments.
        valid_heads: The number of heads with a valid signature over the entries before them.
        signed_to: The greatest `seq` of a valid head; the entries before it are signed.
        unsigned: The number of entries after the last valid head.
        findings: Faults in the trail.
        notes: Observations that are not faults, such as torn tails and new keys signed by the old key.
    """

    first_seq: int = 0
    entries: int = 0
    valid_heads: int = 0
    signed_to: int = 0
    unsigned: int = 0
    findings: list[Finding] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RetirementEntry:
    """A RETIRED entry: its number, and the position at which the removed segment's successor begins."""

    seq: int
    successor_follows: ChainPosition


class Auditor:
    """Checks a trail in one pass, with two segments in memory at a time.

    Attributes:
        keys: The public keys that are accepted for signatures, by id.
        published_heads: The published heads that have not been compared yet, in the order of their `seq`.
        first_position: The position at which the first segment begins, according to its START entry.
        position: The position that the audit has reached.
        retirements: The RETIRED entries found so far.
    """

    def __init__(
        self,
        disk: Disk,
        folder: Path,
        public_key: bytes | None = None,
        published_heads: Iterable[SignedHead] = (),
    ) -> None:
        self.disk = disk
        self.folder = folder
        self.report = AuditReport()
        self.key_is_pinned = public_key is not None
        self.keys: dict[str, bytes] = {key_id(public_key): public_key} if public_key else {}
        self.published_heads = deque(sorted(published_heads, key=lambda head: head.seq))
        self.first_position = CHAIN_START
        self.position = CHAIN_START
        self.retirements: list[RetirementEntry] = []

    def run(self) -> AuditReport:
        """Audit the whole trail and return the report."""
        previous: Segment | None = None
        for segment in read_segments(self.disk, self.folder):
            self._check_readable(segment)
            start = segment.start()
            if start is None:
                if any(True for _ in segment.entries()):
                    self._add_finding(segment.name, self.position.seq, "does not begin with a START entry")
                continue
            if previous is None:
                self.first_position = start.follows
                self.position = start.follows
                self._check_retired_heads(segment.name)
            else:
                self._check_chain(previous, start.follows.seq)
            self._check_continuity(segment.name, start)
            self._check_key(segment.name, start)
            previous = segment
        if previous is not None:
            self._check_chain(previous, NO_END_SEQ)
        self._check_end()
        self._check_beginning()
        return self.report

    def _add_finding(self, file: str, seq: int, message: str) -> None:
        self.report.findings.append(Finding(file, seq, message))

    def _check_readable(self, segment: Segment) -> None:
        seq = self.position.seq
        if segment.read_error:
            self._add_finding(segment.name, seq, f"cannot be read: {segment.read_error}")
        if segment.damaged:
            damage = segment.damaged
            self._add_finding(segment.name, seq, f"damaged at byte {damage.offset}: {damage}")
        if segment.torn_at is not None:
            self.report.notes.append(
                f"{segment.name}: torn tail at byte {segment.torn_at}, as a crash leaves"
            )

    def _check_retired_heads(self, file: str) -> None:
        """Skip published heads of retired segments; only a head at the very end of them can be compared."""
        retired = 0
        while self.published_heads and self.published_heads[0].seq <= self.first_position.seq:
            head = self.published_heads.popleft()
            retired += 1
            if head.seq == self.first_position.seq and head.link != self.first_position.link:
                self._add_finding(file, head.seq, "does not match a published head")
        if retired:
            self.report.notes.append(f"{retired} published heads belong to retired segments")

    def _check_continuity(self, file: str, start: StartEntry) -> None:
        """Check that a segment begins where the one before it ended.

        If it does not, the audit continues at the position that the segment states.
        """
        if start.follows == self.position:
            return
        self._add_finding(
            file,
            self.position.seq,
            f"the START entry continues the chain at entry {start.follows.seq}, but this number or the link "
            "does not match the entries before it",
        )
        self.position = start.follows

    def _check_key(self, file: str, start: StartEntry) -> None:
        """Check that a segment's key is known or signed by a known key, and accept it from here on."""
        new_id = start.key_id
        public_key = start.public_key
        if key_id(public_key) != new_id:
            self._add_finding(
                file, self.position.seq, "the public key in the START entry does not match its key id"
            )
            return
        if new_id in self.keys:
            return
        if self._handed_over(start.old_key_id, public_key, start.handover_signature):
            self.report.notes.append(f"{file}: key {new_id} follows {start.old_key_id}, which signed it")
        elif self.keys:
            self._add_finding(
                file, self.position.seq, f"signed with {new_id}, a key that no earlier key has signed"
            )
        elif not self.key_is_pinned:
            self.report.notes.append(
                f"{file}: key {new_id} is taken from the trail itself; pin the published key with --public"
            )
        self.keys[new_id] = public_key

    def _handed_over(self, old_key_id: str, public_key: bytes, signature: bytes) -> bool:
        old = self.keys.get(old_key_id)
        return old is not None and signature_valid(old, handover_message(public_key), signature)

    def _check_chain(self, segment: Segment, end_seq: int) -> None:
        """Check the entries and heads of a segment up to `end_seq`, at which the next segment begins."""
        superseded = 0
        for seq, content in segment.contents():
            if isinstance(content, SignedHead):
                self._check_head(segment.name, content, end_seq)
            elif seq >= end_seq:
                superseded += 1
            else:
                self._check_entry(segment.name, seq, content)
        if superseded:
            self.report.notes.append(
                f"{segment.name}: {superseded} entries do not count; the next segment contains them "
                "again, or they were never confirmed"
            )

    def _check_entry(self, file: str, seq: int, data: bytes) -> None:
        expected, link = self.position
        if seq != expected:
            self._add_finding(file, seq, f"expected entry {expected} here")
        try:
            kind, _, fields = decode(data)
        except msgspec.MsgspecError as error:
            self._add_finding(file, seq, f"cannot be decoded: {error}")
        else:
            if kind in TRACKED_KINDS:
                self._track_entry(file, seq, kind, fields)
        self.position = ChainPosition(seq + 1, next_link(link, data))
        if self.published_heads:
            self._check_published_heads(file)

    def _check_published_heads(self, file: str) -> None:
        """Compare the published heads at this position with the chain."""
        while self.published_heads and self.published_heads[0].seq <= self.position.seq:
            head = self.published_heads.popleft()
            if head.seq == self.position.seq and head.link != self.position.link:
                self._add_finding(file, self.position.seq, "does not match a published head")

    def _track_entry(self, file: str, seq: int, kind: int, fields: dict[str, Any]) -> None:
        """Accept the new key of a KEY_HANDOVER entry, or remember a RETIRED entry."""
        if kind == EntryKind.KEY_HANDOVER:
            public_key = bytes(fields.get("key", b""))
            signature = bytes(fields.get("signed", b""))
            if self._handed_over(fields.get("old", ""), public_key, signature):
                self.keys[key_id(public_key)] = public_key
            else:
                self._add_finding(file, seq, "key handover without a valid signature of the old key")
        elif kind == EntryKind.RETIRED:
            follows = ChainPosition(int(fields.get("follows", 0)), bytes(fields.get("link", b"")))
            self.retirements.append(RetirementEntry(seq, follows))

    def _check_head(self, file: str, head: SignedHead, end_seq: int) -> None:
        """Check that a head signs exactly the entries before it.

        The head's own `seq` is compared, not the number in its frame, which is unsigned. This also finds a
        copy of a segment's last entry inserted after the original, which the links alone do not show.
        """
        seq = self.position.seq
        public_key = self.keys.get(head.key_id)
        if head.seq > end_seq:
            self._add_finding(
                file, head.seq, f"signed entries are left out: the next segment continues at entry {end_seq}"
            )
        elif head.seq != seq:
            self._add_finding(
                file, head.seq, f"a head that signs up to entry {head.seq} is located at entry {seq}"
            )
        elif public_key is None or not signature_valid(public_key, head.message(), head.signature):
            self._add_finding(file, head.seq, "a head with an invalid signature")
        elif head.link != self.position.link:
            self._add_finding(file, head.seq, "the entries before this head differ from the signed ones")
        else:
            self.report.valid_heads += 1
            self.report.signed_to = max(self.report.signed_to, head.seq)

    def _check_end(self) -> None:
        """Set the report's counts of entries, and report published heads beyond the end of the trail."""
        for head in self.published_heads:
            self._add_finding(
                "",
                self.position.seq,
                f"a published head at entry {head.seq} is beyond the end of the trail, which was truncated",
            )
        self.report.first_seq = self.first_position.seq
        self.report.entries = self.position.seq
        self.report.unsigned = self.position.seq - max(self.report.signed_to, self.first_position.seq)

    def _check_beginning(self) -> None:
        """Check that a signed RETIRED entry accounts for the segments that are missing at the beginning."""
        if not self.first_position.seq:
            return
        for retirement in self.retirements:
            signed = retirement.seq < self.report.signed_to
            if signed and retirement.successor_follows == self.first_position:
                return
        self._add_finding(
            "",
            self.first_position.seq,
            "the trail begins here, and no signed entry records that the earlier segments were "
            "retired: segments are missing",
        )


def audit_trail(
    folder: Path, public_key: bytes | None = None, published_heads: Iterable[SignedHead] = ()
) -> AuditReport:
    """Audit the trail in a folder and return the report."""
    return Auditor(RealDisk(folder), folder, public_key, published_heads).run()
