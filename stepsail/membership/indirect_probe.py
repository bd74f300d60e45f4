"""Probes a member on behalf of another instance, the requester (SWIM's ping-req)."""

from __future__ import annotations

from dataclasses import dataclass

from stepsail.membership.broadcaster import Broadcaster, records_to_refute
from stepsail.membership.member_table import MemberTable
from stepsail.membership.messages import Message, MessageKind
from stepsail.membership.parameters import HELPER_TIMEOUT_FACTOR, MAX_INDIRECT_PROBES
from stepsail.settings.model import Address


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another instance.

    Attributes:
        requester: Address of the instance that requested the probe.
        probe_id: The number that the requester gave the probe.
        target: Number of the probed instance.
        deadline: Local time in seconds at which a NACK is sent to the requester if the target has not
            answered.
    """

    requester: Address
    probe_id: int
    target: int
    deadline: float


class IndirectProber:
    """Runs the indirect probes that other instances have requested.

    Attributes:
        probes: The probes that are not answered yet, by the number that this instance gave each probe.
    """

    def __init__(self, broadcaster: Broadcaster, table: MemberTable) -> None:
        self.broadcaster = broadcaster
        self.table = table
        self.probes: dict[int, IndirectProbe] = {}

    def deadlines(self) -> list[float]:
        """Return the times (s) at which the unanswered probes expire."""
        return [probe.deadline for probe in self.probes.values()]

    def cancel_all(self) -> None:
        """Cancel all probes, because after a pause of this process a missing answer proves nothing."""
        self.probes = {}

    def start(self, requester: Address, request: Message, target_address: Address) -> None:
        """Probe the requested target, unless it is this instance or too many probes are unanswered."""
        broadcaster = self.broadcaster
        if len(self.probes) >= MAX_INDIRECT_PROBES or request.target == broadcaster.local.instance:
            # This counts the rejected requests for indirect probes.
            broadcaster.counters["errands refused"] += 1
            return
        probe_id = broadcaster.next_probe_id()
        deadline = broadcaster.now + broadcaster.probe_timeout * HELPER_TIMEOUT_FACTOR
        self.probes[probe_id] = IndirectProbe(requester, request.probe_id, request.target, deadline)
        known_target = self.table.members.get(request.target)
        broadcaster.send(
            target_address,
            MessageKind.PING,
            probe_id,
            request.target,
            first_records=records_to_refute(known_target),
        )

    def handle_ack(self, sender: int, ack: Message) -> None:
        """Send an ACK to the requester if this ACK is the target's own answer to an indirect probe."""
        probe = self.probes.get(ack.probe_id)
        if probe and ack.target == sender == probe.target:
            del self.probes[ack.probe_id]
            self.broadcaster.send(probe.requester, MessageKind.ACK, probe.probe_id, probe.target)

    def expire(self) -> None:
        """Send a NACK to the requester of each probe that the target has not answered in time."""
        now = self.broadcaster.now
        expired = [(probe_id, probe) for probe_id, probe in self.probes.items() if now >= probe.deadline]
        for probe_id, probe in expired:
            del self.probes[probe_id]
            self.broadcaster.send(probe.requester, MessageKind.NACK, probe.probe_id, probe.target)
