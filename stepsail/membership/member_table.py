"""Keeps the table of all other members, and replaces their records by records of higher precedence."""

from __future__ import annotations

from collections import deque
from math import inf
from zlib import crc32

from stepsail.membership.broadcaster import Broadcaster
from stepsail.membership.member import Member, Suspicion
from stepsail.membership.parameters import (
    DEAD_RETENTION,
    DIGEST_BUCKETS,
    LEFT_RETENTION,
    MAX_CONFIRMATIONS,
    MAX_MEMBERS,
)
from stepsail.membership.records import PRESENT_STATES, MemberRecord, MemberState
from stepsail.membership.view import MemberChange

# Largest number of member changes that wait to be read. If there are more, the oldest changes are dropped and
# counted.
MAX_UNREAD_CHANGES = 10_000
# Seconds after which a member in the given state is removed from the table.
RETENTION = {MemberState.DEAD: DEAD_RETENTION, MemberState.LEFT: LEFT_RETENTION}


class MemberTable:
    """The table of all other members.

    Attributes:
        members: All other members, by instance number.
        suspects: The members that are suspect, by instance number.
        present_count: Number of instances that are alive or suspect, including this one.
        probe_order: Numbers of the instances still to be probed in the current round; the instance to
            probe next is last.
        changes: Changes of members that the caller has not taken yet.
        changed_at: Local time in seconds at which the table last changed.
        revision: Number that increases with each change of the table.
    """

    def __init__(self, broadcaster: Broadcaster) -> None:
        self.broadcaster = broadcaster
        self.members: dict[int, Member] = {}
        self.suspects: dict[int, Member] = {}
        self.present_count = 1
        self.probe_order: list[int] = []
        self.changes: deque[MemberChange] = deque(maxlen=MAX_UNREAD_CHANGES)
        self.changed_at = broadcaster.now
        self.revision = 0
        self._digests: tuple[int, ...] | None = None

    def present_members(self) -> list[Member]:
        """Return the members that are alive or suspect."""
        return [member for member in self.members.values() if member.present]

    def dead_members(self) -> list[Member]:
        """Return the members that were declared dead and have not left."""
        return [member for member in self.members.values() if member.record.state is MemberState.DEAD]

    @property
    def min_suspicion(self) -> float:
        """The shortest suspicion timeout (s) at the current fleet size."""
        return self.broadcaster.timing.suspicion_timeouts(self.present_count).minimum

    @property
    def transmissions(self) -> int:
        """The number of times that a broadcast is sent at the current fleet size."""
        return self.broadcaster.timing.transmissions(self.present_count)

    def next_probe_target(self) -> Member | None:
        """Return the next member to probe, or None if no other member is present.

        The order is SWIM's randomized round robin, which probes each member within a bounded time.
        """
        for _ in range(2):
            while self.probe_order:
                member = self.members.get(self.probe_order.pop())
                if member and member.present:
                    return member
            present = self.present_members()
            shuffled = self.broadcaster.sample(present, len(present))
            self.probe_order = [member.record.instance for member in shuffled]
        return None

    def _insert_into_probe_order(self, instance: int) -> None:
        position = int(self.broadcaster.random() * (len(self.probe_order) + 1))
        self.probe_order.insert(position, instance)

    # Received records

    def receive(self, record: MemberRecord, reporter: int, trusted: bool) -> None:
        """Apply a received record, if it takes precedence over the record in the table.

        Args:
            record: The received record.
            reporter: Number of the instance that sent the record.
            trusted: Whether a death that the reporter reports may be accepted without verification.
        """
        member = self.members.get(record.instance)
        if member is None:
            self._add(record, reporter)
            return
        old = member.record
        if record.precedence < old.precedence:
            return
        if record.precedence == old.precedence:
            if member.suspicion and record.state is MemberState.SUSPECT:
                self._confirm(member, reporter)
            return
        if self._needs_verification(member, record, trusted):
            self.suspect(member, reporter, f"instance {reporter} declared it dead", broadcast=False)
            return
        if record.state is MemberState.SUSPECT:
            self._update(member, record, f"instance {reporter} suspects it")
            self._begin_suspicion(member, reporter)
        else:
            self._update(member, record, self._change_reason(record, old, reporter))
        self.broadcaster.queue.add(record, self.transmissions)

    def _needs_verification(self, member: Member, record: MemberRecord, trusted: bool) -> bool:
        """Return whether a report that a member is dead only causes this instance to suspect and probe it.

        A death is accepted without verification only if the reporter is trusted, which requires that it has
        been present for the shortest suspicion timeout, and if the member has not answered this instance for
        the same time. Otherwise, after a partition heals, each side would accept the other side's outdated
        reports.
        """
        if record.state is not MemberState.DEAD or not member.present:
            return False
        if record.start_time != member.record.start_time:
            return False
        silent_for = self.broadcaster.now - member.last_ack
        return not (trusted and silent_for >= self.min_suspicion)

    @staticmethod
    def _change_reason(record: MemberRecord, old: MemberRecord, reporter: int) -> str:
        if record.state is MemberState.DEAD:
            return f"instance {reporter} declared it dead"
        if record.state is MemberState.LEFT:
            return "it has left"
        return (
            "a later process of the instance has started"
            if record.start_time > old.start_time
            else "it refuted the report"
        )

    def _add(self, record: MemberRecord, reporter: int) -> None:
        if record.state not in PRESENT_STATES:
            # The death or departure of an unknown member changes nothing.
            return
        if len(self.members) >= MAX_MEMBERS:
            self.broadcaster.counters["no room"] += 1
            return
        now = self.broadcaster.now
        member = Member(record, now, now)
        self.members[record.instance] = member
        self.present_count += 1
        if record.state is MemberState.SUSPECT:
            self._begin_suspicion(member, reporter)
        self._insert_into_probe_order(record.instance)
        reason = "it sent a message" if reporter == record.instance else f"instance {reporter} reported it"
        self.note_change(MemberChange(record.instance, record.start_time, None, record.state, reason))
        self.broadcaster.queue.add(record, self.transmissions)

    # Suspicions

    def suspect(self, member: Member, reporter: int, reason: str, broadcast: bool) -> None:
        """Suspect a member, or confirm its suspicion; probe a newly suspected member.

        Args:
            member: The member to suspect.
            reporter: Number of the instance that reports the suspicion.
            reason: Why the member is suspected, for the log.
            broadcast: Whether the suspicion is broadcast to other members.
        """
        if member.suspicion:
            self._confirm(member, reporter, broadcast)
            return
        self._update(member, member.record.with_state(MemberState.SUSPECT), reason)
        self._begin_suspicion(member, reporter)
        if broadcast:
            self.broadcaster.queue.add(member.record, self.transmissions)
        self.broadcaster.ping(member)

    def _begin_suspicion(self, member: Member, reporter: int) -> None:
        member.suspicion = Suspicion(self.broadcaster.now, {reporter})
        self.suspects[member.record.instance] = member

    def _confirm(self, member: Member, reporter: int, broadcast: bool = True) -> None:
        """Add an independent report to a suspicion, and broadcast the suspicion again.

        Reports beyond `MAX_CONFIRMATIONS` are ignored, because they would not shorten the timeout further.
        """
        assert member.suspicion
        reporters = member.suspicion.reporters
        if reporter not in reporters and len(reporters) <= MAX_CONFIRMATIONS:
            reporters.add(reporter)
            if broadcast:
                self.broadcaster.queue.add(member.record, self.transmissions)

    def restart_suspicions(self) -> None:
        """Restart the timeouts of all suspicions, because a paused process cannot receive refutations."""
        for member in self.suspects.values():
            assert member.suspicion
            member.suspicion = Suspicion(self.broadcaster.now, member.suspicion.reporters)

    def expire_suspicions(self) -> None:
        """Declare dead the members whose suspicion timeout has expired."""
        broadcaster = self.broadcaster
        for member in list(self.suspects.values()):
            assert member.suspicion
            expires_at = member.suspicion.expires_at(broadcaster.timing, self.present_count, member.last_ack)
            if broadcaster.now >= expires_at:
                reason = f"suspicion timed out, number of reporters: {len(member.suspicion.reporters)}"
                self._update(member, member.record.with_state(MemberState.DEAD), reason)
                if self._receives_answers():
                    broadcaster.queue.add(member.record, self.transmissions)

    def _receives_answers(self) -> bool:
        """Return whether any member has lately answered a probe of this instance.

        If no member has answered, this instance may itself be isolated. It then does not broadcast that other
        members are dead.
        """
        now = self.broadcaster.now
        return any(now - member.last_ack < self.min_suspicion for member in self.members.values())

    # Changes

    def _update(self, member: Member, record: MemberRecord, reason: str) -> None:
        old_state = member.record.state
        was_present = member.present
        process_changed = record.start_time != member.record.start_time
        later_process = record.state is MemberState.ALIVE and process_changed
        if process_changed:
            member.reset_for_new_process()
        member.record = record
        member.suspicion = None
        self.suspects.pop(record.instance, None)
        if member.present and not was_present:
            self.present_count += 1
        elif was_present and not member.present:
            self.present_count -= 1
        self._digests = None
        if old_state is record.state and not later_process:
            return
        member.state_since = self.broadcaster.now
        if member.present and (not was_present or later_process):
            member.present_since = self.broadcaster.now
            self._insert_into_probe_order(record.instance)
        self.note_change(MemberChange(record.instance, record.start_time, old_state, record.state, reason))

    def note_change(self, change: MemberChange | None = None) -> None:
        """Note that the table or this instance's own record has changed.

        Args:
            change: The change for the caller of the protocol; None if the caller needs none.
        """
        self._digests = None
        self.changed_at = self.broadcaster.now
        self.revision += 1
        if change:
            is_full = len(self.changes) == MAX_UNREAD_CHANGES
            self.broadcaster.counters["changes lost"] += 1 if is_full else 0
            self.changes.append(change)

    def remove_expired_members(self) -> None:
        """Remove the dead members and the members that left whose retention time has passed."""
        for member in list(self.members.values()):
            retention = RETENTION.get(member.record.state, inf)
            if self.broadcaster.now - member.state_since > retention:
                del self.members[member.record.instance]
                self.note_change()

    # The table as a whole

    def records(self) -> list[MemberRecord]:
        """Return this instance's own record and the records of all other members."""
        return [self.broadcaster.local, *(member.record for member in self.members.values())]

    def digests(self) -> tuple[int, ...]:
        """Return one digest per bucket of the present processes in that bucket and their incarnations.

        Whether a process is suspect does not change the digest.
        """
        if self._digests is None:
            buckets: list[list[tuple[int, int, int]]] = [[] for _ in range(DIGEST_BUCKETS)]
            for record in self.records():
                if record.state in PRESENT_STATES:
                    row = (record.instance, record.start_time, record.incarnation)
                    buckets[record.instance % DIGEST_BUCKETS].append(row)
            self._digests = tuple(
                crc32(b"".join(b"%d.%d.%d;" % row for row in sorted(bucket))) for bucket in buckets
            )
        return self._digests
