"""Implements SWIM's failure detector: direct probes, indirect probes through helpers, and suspicion."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from stepsail.membership.broadcaster import Broadcaster
from stepsail.membership.member import Member
from stepsail.membership.member_table import MemberTable
from stepsail.membership.messages import Message, MessageKind
from stepsail.membership.parameters import ISOLATION_PROBES, PROBE_HELPERS, PROBED_SUSPECTS
from stepsail.membership.records import MemberState, ProcessId
from stepsail.settings.model import Address


@dataclass(slots=True)
class Probe:
    """The regular probe that this instance sends to one member in the current period.

    Attributes:
        target: The probed process.
        probe_id: Number that identifies the probe.
        sent_at: Local time in seconds at which the probe was sent.
        silent_helpers: Numbers of the helpers that were asked and have not sent NACK.
        helpers_asked: Whether helpers were asked to probe the target.
        answered: Whether the target has answered, either directly or through a helper.
        received_any: Whether any message from any member was received since the probe was sent.
    """

    target: ProcessId
    probe_id: int
    sent_at: float
    silent_helpers: set[int] = field(default_factory=set)
    helpers_asked: bool = False
    answered: bool = False
    received_any: bool = False

    @property
    def awaits_direct_answer(self) -> bool:
        """Whether helpers are to be asked to probe the target if it does not answer this probe in time."""
        return not (self.helpers_asked or self.answered)


@dataclass(slots=True)
class MissedProbe:
    """A probe that was not answered; its target is probed again before it is suspected.

    Attributes:
        target: The probed process.
        sent_at: Local time in seconds at which the missed probe was sent.
        retries_left: Number of periods in which the target is still to be probed again.
        broadcast: Whether a suspicion of the target is to be broadcast.
    """

    target: ProcessId
    sent_at: float
    retries_left: int
    broadcast: bool


class FailureDetector:
    """Probes the members in turn, and suspects those that do not answer.

    Attributes:
        seeds: Addresses at which other members may be reached.
        probe: The regular probe of the current period; None if there is none.
        isolated_probes: Number of consecutive probes that failed without any message from any member.
        missed_probes: Missed probes whose targets are being probed again, by the target's instance number.
    """

    def __init__(self, broadcaster: Broadcaster, table: MemberTable, seeds: Sequence[Address]) -> None:
        self.broadcaster = broadcaster
        self.table = table
        self.seeds = tuple(seeds)
        self.probe: Probe | None = None
        self.isolated_probes = 0
        self.missed_probes: dict[int, MissedProbe] = {}

    def deadlines(self) -> list[float]:
        """Return the time (s) at which helpers are to be asked to probe the target, if they are."""
        if self.probe and self.probe.awaits_direct_answer:
            return [self.probe.sent_at + self.broadcaster.probe_timeout]
        return []

    def cancel_all(self) -> None:
        """Cancel all probes, because after a pause of this process a missing answer proves nothing."""
        self.probe = None
        self.missed_probes = {}

    # Periods

    def begin_period(self) -> None:
        """Probe the next member in turn, the members that missed a probe, and some suspects."""
        target = self.table.next_probe_target()
        if target is not None:
            self.probe = Probe(target.process_id, self.broadcaster.ping(target), self.broadcaster.now)
        self._retry_missed_probes()
        probed = self.probe.target if self.probe else None
        suspects = [member for member in self.table.suspects.values() if member.process_id != probed]
        for member in self.broadcaster.sample(suspects, PROBED_SUSPECTS):
            self.broadcaster.ping(member)

    def ask_helpers(self) -> None:
        """Ask helpers to probe the target if it has not answered the direct probe in time."""
        probe = self.probe
        broadcaster = self.broadcaster
        if probe is None or not probe.awaits_direct_answer:
            return
        if broadcaster.now < probe.sent_at + broadcaster.probe_timeout:
            return
        probe.helpers_asked = True
        target = self.table.members.get(probe.target.instance)
        if target is None or not target.present:
            return
        candidates = [
            member
            for member in self.table.members.values()
            if member.record.state is MemberState.ALIVE and member is not target
        ]
        for helper in broadcaster.sample(candidates, PROBE_HELPERS):
            probe.silent_helpers.add(helper.record.instance)
            broadcaster.send(
                helper.record.address,
                MessageKind.PING_REQUEST,
                probe.probe_id,
                target.record.instance,
                target.record.address,
            )

    def end_period(self) -> None:
        """Evaluate the period's probe: if it was not answered, suspect the target or probe it again."""
        probe = self.probe
        self.probe = None
        if probe is None or probe.answered:
            self.isolated_probes = 0
            return
        self._suspect_all_if_isolated(probe)
        # Lifeguard: if not even NACKs arrive from helpers, this instance's own connection is probably faulty.
        if probe.silent_helpers or not probe.received_any:
            self.broadcaster.change_health(1)
        member = self.table.members.get(probe.target.instance)
        if member and member.process_id == probe.target and member.present:
            self._handle_failed_probe(probe, member)

    def _suspect_all_if_isolated(self, probe: Probe) -> None:
        """Suspect all members if no message was received during `ISOLATION_PROBES` failed probes in a row.

        If all other members have crashed, the only survivor need not wait until it has probed each of them.
        The suspicions are not broadcast, because this instance may instead be cut off itself.
        """
        self.isolated_probes = 0 if probe.received_any else self.isolated_probes + 1
        if self.isolated_probes < ISOLATION_PROBES:
            return
        for member in list(self.table.members.values()):
            if member.present and not member.suspicion:
                self._suspect(member, "no message received from any member", broadcast=False)

    def _handle_failed_probe(self, probe: Probe, member: Member) -> None:
        """Suspect the target of a failed probe; in a large fleet, probe it again first.

        If no message was received during the probe, the suspicion is not broadcast: this instance may be
        unable to receive messages while the other members still receive the messages that it sends.
        """
        retries = self.broadcaster.timing.probe_retries(self.table.present_count)
        if retries and not member.suspicion:
            missed = MissedProbe(probe.target, probe.sent_at, retries, probe.received_any)
            self.missed_probes.setdefault(probe.target.instance, missed)
        else:
            self._suspect(member, "no answer to a probe", broadcast=probe.received_any)

    def _retry_missed_probes(self) -> None:
        """Probe again the members that missed a probe; suspect those that have not answered any retry."""
        for instance, missed in list(self.missed_probes.items()):
            member = self.table.members.get(instance)
            if member is None or self._is_resolved(member, missed):
                del self.missed_probes[instance]
            elif missed.retries_left > 0:
                missed.retries_left -= 1
                self.broadcaster.ping(member)
            else:
                del self.missed_probes[instance]
                self._suspect(member, "no answer to repeated probes", broadcast=missed.broadcast)

    @staticmethod
    def _is_resolved(member: Member, missed: MissedProbe) -> bool:
        """Return whether retries can end: the member has answered, is suspect or absent, or was replaced."""
        return (
            member.process_id != missed.target
            or not member.present
            or member.suspicion is not None
            or member.last_ack >= missed.sent_at
        )

    def _suspect(self, member: Member, reason: str, broadcast: bool) -> None:
        self.table.suspect(member, self.broadcaster.local.instance, reason, broadcast)

    # Received messages

    def note_message(self) -> None:
        """Note that a message from some member was received."""
        if self.probe:
            self.probe.received_any = True

    def handle_ack(self, member: Member, ack: Message) -> bool:
        """Handle an ACK; return whether the member sent it for itself, rather than as a helper."""
        is_own = ack.target == member.record.instance
        if is_own:
            member.last_ack = self.broadcaster.now
        probe = self.probe
        if (
            probe
            and not probe.answered
            and ack.probe_id == probe.probe_id
            and ack.target == probe.target.instance
        ):
            probe.answered = True
            self.broadcaster.change_health(-1)
        return is_own

    def handle_nack(self, helper: int, nack: Message) -> None:
        """Handle a NACK: the target has not answered the helper, but the helper's messages arrive here."""
        if self.probe and self.probe.probe_id == nack.probe_id:
            self.probe.silent_helpers.discard(helper)

    # Dead members and seeds

    def probe_dead(self) -> None:
        """Probe a random dead member, or a seed if none is dead, to detect that a partition has healed."""
        dead = self.table.dead_members()
        for member in self.broadcaster.sample(dead, 1):
            self.broadcaster.ping(member)
        if not dead:
            self.probe_seeds(1)

    def probe_seeds(self, count: int) -> None:
        """Probe up to `count` random seeds at whose addresses no present member is known."""
        broadcaster = self.broadcaster
        known = {member.record.address for member in self.table.present_members()}
        candidates = [seed for seed in self.seeds if seed not in known]
        for _ in range(min(count, len(candidates))):
            probe_id = broadcaster.next_probe_id()
            seed = candidates.pop(int(broadcaster.random() * len(candidates)))
            broadcaster.send(seed, MessageKind.PING, probe_id, broadcaster.local.instance)
