"""Handles records of this instance from other members: refutations, and conflicts of instance numbers."""

from __future__ import annotations

from dataclasses import dataclass, replace

from stepsail.membership.broadcaster import Broadcaster
from stepsail.membership.member_table import MemberTable
from stepsail.membership.messages import Message, MessageKind
from stepsail.membership.parameters import CONFLICT_PERIODS
from stepsail.membership.records import PRESENT_STATES, MemberRecord, MemberState
from stepsail.membership.view import MemberChange


@dataclass(frozen=True, slots=True)
class NumberConflict:
    """A report that a later process has this instance's number, which is being verified by probes.

    Attributes:
        other: Record of the later process.
        probe_id: Number of the probes that the later process must answer.
        deadline: Local time in seconds at which the later process is assumed to have ended if it has not
            answered.
    """

    other: MemberRecord
    probe_id: int
    deadline: float


class LocalMember:
    """Maintains this process's own membership.

    Attributes:
        joined: Whether any other member has answered a probe of this process.
        displaced: Whether a later process with this instance's number has answered a probe. This process then
            no longer takes part in the protocol.
        conflict: The reported later process with this instance's number; None if there is no such process to
            verify.
    """

    def __init__(self, broadcaster: Broadcaster, table: MemberTable) -> None:
        self.broadcaster = broadcaster
        self.table = table
        self.joined = False
        self.displaced = False
        self.conflict: NumberConflict | None = None

    def handle_claim(self, claim: MemberRecord) -> None:
        """Handle a record with this instance's number from another member.

        A wrong record of this process is refuted. A record of a later process is verified by probing that
        process, unless a reset of the local clock explains the record.
        """
        broadcaster = self.broadcaster
        local = broadcaster.local
        if claim.start_time == local.start_time:
            self._refute_if_needed(claim)
        elif claim.start_time < local.start_time:
            # The member that sent the record does not know yet that this process has started.
            if claim.state in PRESENT_STATES:
                broadcaster.queue.add(local, self.table.transmissions)
        elif not self.joined or claim.state not in PRESENT_STATES or claim.address == local.address:
            # The clock was set back before this process started, so that an earlier process has the higher
            # start time. This reset is assumed if this process is still joining, or if the other process has
            # ended or had the same address. This process then takes a start time above the other process's.
            self._announce(claim.start_time + 1, 0, "an earlier process had a later start time")
        elif self.conflict is None or claim.start_time > self.conflict.other.start_time:
            self.conflict = NumberConflict(claim, broadcaster.next_probe_id(), self._conflict_deadline())
            self.probe_conflicting_process()

    def _refute_if_needed(self, claim: MemberRecord) -> None:
        """Raise the incarnation if another member's record of this process must be refuted.

        The record must be refuted if its incarnation is higher than this process's, or if its incarnation
        is equal and its state is not ALIVE.
        """
        local = self.broadcaster.local
        is_newer = claim.incarnation > local.incarnation
        is_refutable = claim.incarnation == local.incarnation and claim.state is not MemberState.ALIVE
        if is_newer or is_refutable:
            if claim.state is MemberState.SUSPECT:
                self.broadcaster.change_health(1)
            reason = f"refuted the report that it is {claim.state.name.lower()}"
            self._announce(claim.start_time, claim.incarnation + 1, reason)

    def _announce(self, start_time: int, incarnation: int, reason: str) -> None:
        old = self.broadcaster.local
        local = MemberRecord(old.instance, start_time, incarnation, MemberState.ALIVE, old.zone, *old.address)
        self.broadcaster.local = local
        if self.conflict and self.conflict.other.start_time < start_time:
            self.conflict = None
        self.broadcaster.queue.add(local, self.table.transmissions)
        self.table.note_change(
            MemberChange(local.instance, start_time, MemberState.ALIVE, MemberState.ALIVE, reason)
        )

    # Conflicts of instance numbers

    def _conflict_deadline(self) -> float:
        return self.broadcaster.now + CONFLICT_PERIODS * self.broadcaster.timing.period

    def extend_conflict_deadline(self) -> None:
        """Restart the conflict deadline, because a paused process cannot receive an answer to its probes."""
        if self.conflict:
            self.conflict = replace(self.conflict, deadline=self._conflict_deadline())

    def probe_conflicting_process(self) -> None:
        """Probe the reported later process; if it misses the deadline, keep this instance's number."""
        if self.conflict is None:
            return
        other = self.conflict.other
        if self.broadcaster.now >= self.conflict.deadline:
            self.conflict = None
            self._announce(other.start_time + 1, 0, "the process with the later start time does not answer")
        else:
            self.broadcaster.send(other.address, MessageKind.PING, self.conflict.probe_id, other.instance)

    def handle_same_number(self, sender: MemberRecord, message: Message) -> None:
        """Handle a message whose sender has this instance's number."""
        broadcaster = self.broadcaster
        local = broadcaster.local
        if sender.start_time == local.start_time:
            # This counts the datagrams of this process that were delivered to itself.
            broadcaster.counters["own words"] += 1
        elif sender.start_time < local.start_time:
            broadcaster.counters["earlier"] += 1
            self._acknowledge(sender, message)
        elif self.conflict and message.kind is MessageKind.ACK and message.probe_id == self.conflict.probe_id:
            self._become_displaced(sender)
        else:
            self.handle_claim(sender)
            self._acknowledge(sender, message)

    def _acknowledge(self, sender: MemberRecord, message: Message) -> None:
        if message.kind is MessageKind.PING:
            instance = self.broadcaster.local.instance
            self.broadcaster.send(sender.address, MessageKind.ACK, message.probe_id, instance)

    def _become_displaced(self, sender: MemberRecord) -> None:
        self.displaced = True
        self.conflict = None
        reason = "another process with this instance number started later"
        self.table.note_change(
            MemberChange(sender.instance, sender.start_time, MemberState.ALIVE, MemberState.LEFT, reason)
        )
