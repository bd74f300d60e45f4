"""Implements the membership protocol of one instance without I/O.

The current time is passed as an argument, and pseudo-random numbers come from a seed. The caller calls
`receive` for each datagram and `tick` no later than at `next_timeout`, sends the datagrams that
`take_datagrams` returns, and reads `view`. `docs/design/membership.md` describes the differences from SWIM
and Lifeguard and the reasons for them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from math import inf

from stepsail.membership.anti_entropy import AntiEntropy
from stepsail.membership.broadcaster import Broadcaster, records_to_refute
from stepsail.membership.failure_detector import FailureDetector
from stepsail.membership.indirect_probe import IndirectProber
from stepsail.membership.local_member import LocalMember
from stepsail.membership.member import Member
from stepsail.membership.member_table import MemberTable
from stepsail.membership.messages import InvalidMessageError, Message, MessageKind, decode
from stepsail.membership.parameters import (
    ANTI_ENTROPY_PERIODS,
    DEAD_PROBE_PERIODS,
    PAUSE_PERIODS,
    PERIOD_JITTER,
    PROBE_HELPERS,
    SEED_PROBE_PERIODS,
    SETTLED_PERIODS,
    Timing,
)
from stepsail.membership.records import PRESENT_STATES, MemberRecord, MemberState
from stepsail.membership.view import MemberChange, MembershipView, MemberStatus
from stepsail.settings.model import Address


class MembershipProtocol:
    """Runs the membership protocol for one instance, which knows no other member at first.

    Args:
        instance: This instance's number.
        start_time: Start time of this process (ms); higher than that of any earlier process of the instance.
        zone: This instance's zone.
        address: The address at which this instance receives datagrams.
        seeds: Addresses at which other members may be reached.
        random_seed: Seed of the pseudo-random numbers.
        now: The local time in seconds.
        timing: The protocol's timeouts.
        cluster_id: Id of the cluster; datagrams of other clusters are dropped.

    Attributes:
        broadcaster: This process's record, clock and health, and its outgoing messages.
        table: The other members.
        local_member: This process's own membership.
        detector: Probes the other members.
        indirect_prober: Probes members on behalf of other instances.
        anti_entropy: Compares member tables with other members.
        started_at: The local time at which this object was made (s).
        period_ends_at: Local time in seconds at which the current period ends and the next period begins.
        next_timeout: Local time in seconds at which `tick` must be called next.
        period_count: Number of periods begun so far.
        leaving: Whether this instance has left the membership.
    """

    def __init__(
        self,
        instance: int,
        start_time: int,
        zone: str,
        address: Address,
        seeds: Sequence[Address],
        random_seed: int,
        now: float,
        timing: Timing | None = None,
        cluster_id: int = 0,
    ) -> None:
        local = MemberRecord(instance, start_time, 0, MemberState.ALIVE, zone, *address)
        self.broadcaster = Broadcaster(local, random_seed, now, timing or Timing(), cluster_id)
        self.table = MemberTable(self.broadcaster)
        self.local_member = LocalMember(self.broadcaster, self.table)
        other_seeds = [seed for seed in seeds if seed != address]
        self.detector = FailureDetector(self.broadcaster, self.table, other_seeds)
        self.indirect_prober = IndirectProber(self.broadcaster, self.table)
        self.anti_entropy = AntiEntropy(self.broadcaster, self.table)
        self.started_at = now
        self.period_ends_at = now
        self.next_timeout = now
        self.period_count = 0
        self.leaving = False
        self._view_version = 0
        self._view_revision = -1
        self._view: MembershipView | None = None

    @property
    def local(self) -> MemberRecord:
        """This process's own record."""
        return self.broadcaster.local

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score; 0 is the best score."""
        return self.broadcaster.health_score

    @property
    def counters(self) -> Counter[str]:
        """The number of events by name, for the status page."""
        return self.broadcaster.counters

    @property
    def displaced(self) -> bool:
        """Whether a later process has this instance's number."""
        return self.local_member.displaced

    # Time and datagrams

    def tick(self, now: float) -> None:
        """Perform the actions of the protocol that are due at this time."""
        broadcaster = self.broadcaster
        was_paused = now - self.next_timeout > PAUSE_PERIODS * broadcaster.timing.period
        broadcaster.advance_clock(now)
        if self.displaced or self.leaving:
            self.next_timeout = inf
            return
        if was_paused:
            self._resume_after_pause()
        self.indirect_prober.expire()
        self.detector.ask_helpers()
        if broadcaster.now >= self.period_ends_at:
            self._begin_period()
        self.table.expire_suspicions()
        if broadcaster.now >= self.anti_entropy.due_at:
            self.anti_entropy.begin()
        self.next_timeout = self._next_deadline()

    def receive(self, data: bytes, now: float) -> None:
        """Handle one datagram; malformed, foreign and duplicate datagrams are dropped and counted."""
        broadcaster = self.broadcaster
        broadcaster.advance_clock(now)
        if self.displaced or self.leaving:
            return
        try:
            message = decode(broadcaster.cluster_id, data)
        except InvalidMessageError:
            broadcaster.counters["malformed"] += 1
            return
        sender = message.records[0]
        if sender.instance == broadcaster.local.instance:
            self.local_member.handle_same_number(sender, message)
            return
        member = self.table.members.get(sender.instance)
        if member and not self._is_current(member, sender, message):
            return
        self._receive_from_member(member, sender, message)

    def _is_current(self, member: Member, sender: MemberRecord, message: Message) -> bool:
        """Return whether the message is new and not from an earlier process of the member."""
        broadcaster = self.broadcaster
        if sender.start_time < member.record.start_time:
            broadcaster.counters["earlier"] += 1
            # The ACK informs the earlier process that a later process of its instance has started.
            if message.kind is MessageKind.PING:
                instance = broadcaster.local.instance
                records = (member.record,)
                broadcaster.send(
                    sender.address, MessageKind.ACK, message.probe_id, instance, first_records=records
                )
            return False
        is_same_process = sender.start_time == member.record.start_time
        if is_same_process and not member.accept_sequence(message.sequence):
            broadcaster.counters["replayed"] += 1
            return False
        return True

    def _receive_from_member(self, known: Member | None, sender: MemberRecord, message: Message) -> None:
        self.detector.note_message()
        trusted = (
            known is not None
            and known.present
            and self.broadcaster.now - known.present_since >= self.table.min_suspicion
        )
        self._receive_record(sender, sender.instance, trusted)
        member = self.table.members.get(sender.instance)
        if member is None:
            # Either the member table is full, or the sender is an unknown member that has left.
            return
        if member.highest_sequence < 0:
            member.accept_sequence(message.sequence)
        # The deaths reported in RECORDS messages may be outdated, so they are verified.
        trusts_deaths = trusted and message.kind is not MessageKind.RECORDS
        for record in message.records[1:]:
            self._receive_record(record, sender.instance, trusts_deaths)
        self._dispatch(member, sender, message)
        self.next_timeout = min(self.next_timeout, self._next_deadline())

    def _receive_record(self, record: MemberRecord, reporter: int, trusted: bool) -> None:
        if record.instance == self.broadcaster.local.instance:
            self.local_member.handle_claim(record)
        else:
            self.table.receive(record, reporter, trusted)

    def _dispatch(self, member: Member, sender: MemberRecord, message: Message) -> None:
        kind = message.kind
        if kind is MessageKind.PING and sender.state in PRESENT_STATES:
            instance = self.broadcaster.local.instance
            records = records_to_refute(member)
            self.broadcaster.send(
                sender.address, MessageKind.ACK, message.probe_id, instance, first_records=records
            )
        elif kind is MessageKind.ACK:
            self._handle_ack(member, message)
        elif kind is MessageKind.PING_REQUEST and message.target_address:
            self.indirect_prober.start(sender.address, message, message.target_address)
        elif kind is MessageKind.NACK:
            self.detector.handle_nack(sender.instance, message)
        elif kind is MessageKind.DIGESTS and message.digests:
            self.anti_entropy.handle_digests(sender, message)

    def _handle_ack(self, member: Member, ack: Message) -> None:
        is_own = self.detector.handle_ack(member, ack)
        self.indirect_prober.handle_ack(member.record.instance, ack)
        if is_own and not self.local_member.joined:
            self.local_member.joined = True
            self.anti_entropy.schedule_now()

    def leave(self, now: float) -> None:
        """Announce to some members that this instance leaves; it sends no datagrams afterwards."""
        broadcaster = self.broadcaster
        broadcaster.advance_clock(now)
        if self.displaced or self.leaving:
            return
        self.leaving = True
        broadcaster.local = broadcaster.local.with_state(MemberState.LEFT)
        for member in broadcaster.sample(self.table.present_members(), self.table.transmissions):
            broadcaster.send(member.record.address, MessageKind.PING, 0, member.record.instance)

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return the datagrams to send with their destinations, and clear the queue of datagrams."""
        datagrams = self.broadcaster.datagrams
        self.broadcaster.datagrams = []
        return datagrams

    # Periods

    def _next_deadline(self) -> float:
        deadlines = [*self.indirect_prober.deadlines(), *self.detector.deadlines()]
        return max(self.broadcaster.now, min(self.period_ends_at, self.anti_entropy.due_at, *deadlines))

    def _resume_after_pause(self) -> None:
        """Discard expired timeouts after a pause of this process or a forward clock step, and probe at once.

        Members whose answers are overdue are not suspected, because this process could not receive answers.
        """
        # This counts the pauses of this process and the forward clock steps.
        self.broadcaster.counters["stood still"] += 1
        self.broadcaster.change_health(1)
        self.detector.cancel_all()
        self.indirect_prober.cancel_all()
        self.table.restart_suspicions()
        self.local_member.extend_conflict_deadline()
        self.period_ends_at = self.broadcaster.now
        self.anti_entropy.schedule_now()

    def _begin_period(self) -> None:
        broadcaster = self.broadcaster
        self.period_count += 1
        compares_tables = self.period_count % ANTI_ENTROPY_PERIODS == 0
        self.anti_entropy.begin_period()
        self.detector.end_period()
        jitter = 1 - PERIOD_JITTER + 2 * PERIOD_JITTER * broadcaster.random()
        period = broadcaster.timing.period * broadcaster.health_multiplier
        self.period_ends_at = broadcaster.now + period * jitter
        if compares_tables:
            self.table.remove_expired_members()
        self.detector.begin_period()
        if self.period_count % DEAD_PROBE_PERIODS == 0:
            self.detector.probe_dead()
        if not self.table.members and self.period_count % SEED_PROBE_PERIODS == 1:
            self.detector.probe_seeds(PROBE_HELPERS)
        self.local_member.probe_conflicting_process()
        if compares_tables:
            self.anti_entropy.schedule_now()

    # The view

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of members since the last call, the oldest first."""
        changes = list(self.table.changes)
        self.table.changes.clear()
        return changes

    def view(self) -> MembershipView:
        """Return the current membership view; the same object is returned until the view changes."""
        settled = self._is_settled()
        table_changed = self._view_revision != self.table.revision
        if self._view is None or table_changed or self._view.settled != settled:
            self._view_version += 1
            self._view_revision = self.table.revision
            self._view = self._make_view(settled)
        return self._view

    def _is_settled(self) -> bool:
        quiet_for = self.broadcaster.now - self.table.changed_at
        return (
            not self.table.suspects
            and not self.displaced
            and quiet_for >= SETTLED_PERIODS * self.broadcaster.timing.period
        )

    def _make_view(self, settled: bool) -> MembershipView:
        local_status = MemberStatus.of(self.local, self.started_at)
        others = [
            MemberStatus.of(member.record, member.state_since) for member in self.table.present_members()
        ]
        members = tuple(sorted((local_status, *others), key=lambda status: status.instance))
        dead = tuple(sorted(member.record.instance for member in self.table.dead_members()))
        minority = len(members) <= len(dead)
        return MembershipView(self._view_version, members, dead, settled, minority, self.displaced)
