"""Holds what all parts of an instance's protocol share: its record, clock, health and outgoing messages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from zlib import crc32

from stepsail.membership.broadcast_queue import BroadcastQueue
from stepsail.membership.member import Member
from stepsail.membership.messages import (
    DIGEST_BYTES,
    HEADER_BYTES,
    VERSION,
    Message,
    MessageKind,
    encode,
    fitting_records,
    record_size,
)
from stepsail.membership.parameters import MAX_DATAGRAM_BYTES, MAX_HEALTH_SCORE, PROBE_TIMEOUT_PERIODS, Timing
from stepsail.membership.records import MemberRecord, MemberState
from stepsail.settings.model import Address


class Broadcaster:
    """Queues messages for sending, and piggybacks broadcasts on them.

    Attributes:
        local: This process's own record.
        timing: The protocol's timeouts.
        cluster_id: Initial value of the checksum of datagrams, which keeps clusters apart.
        random_seed: Seed of the pseudo-random numbers.
        random_draws: Number of pseudo-random numbers drawn so far.
        now: The local time in seconds, which never decreases.
        health_score: Lifeguard's local health score: 0 if this instance is assumed to receive messages in
            time; higher, up to `MAX_HEALTH_SCORE`, after signs that it does not.
        sequence: Sequence number of the last message.
        probe_id: Number of the last probe.
        queue: Records to piggyback on messages.
        datagrams: Destinations and datagrams that the caller has yet to send.
        counters: Number of events by name, for the status page, whose readers rely on these names.
    """

    def __init__(
        self, local: MemberRecord, random_seed: int, now: float, timing: Timing, cluster_id: int
    ) -> None:
        self.local = local
        self.timing = timing
        self.cluster_id = cluster_id
        self.random_seed = random_seed
        self.random_draws = 0
        self.now = now
        self.health_score = 0
        self.sequence = 0
        self.probe_id = 0
        self.queue = BroadcastQueue()
        self.datagrams: list[tuple[Address, bytes]] = []
        self.counters: Counter[str] = Counter()

    def advance_clock(self, now: float) -> None:
        """Set the local time, but ignore a time lower than the present one.

        So no timer expires twice if the clock steps back.
        """
        self.now = max(self.now, now)

    def random(self) -> float:
        """Draw a pseudo-random number in [0, 1) from the seed and the number of draws so far."""
        self.random_draws += 1
        return crc32(b"%d.%d" % (self.random_seed, self.random_draws)) / 2**32

    def sample(self, members: Sequence[Member], count: int) -> list[Member]:
        """Draw `count` of the members at random without repetition, or all of them if there are fewer."""
        remaining = list(members)
        return [remaining.pop(int(self.random() * len(remaining))) for _ in range(min(count, len(remaining)))]

    # Local health (Lifeguard)

    def change_health(self, difference: int) -> None:
        """Add `difference` to the health score, within the score's bounds."""
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + difference))

    @property
    def health_multiplier(self) -> float:
        """Factor by which timeouts are multiplied (Lifeguard).

        An instance that seems to miss messages gives other members more time to answer.
        """
        return 1.0 + self.health_score

    @property
    def probe_timeout(self) -> float:
        """Time (s) after which helpers are asked to probe a member that has not answered a direct probe."""
        return PROBE_TIMEOUT_PERIODS * self.timing.period * self.health_multiplier

    # Messages

    def send(
        self,
        to: Address,
        kind: MessageKind,
        probe_id: int,
        target: int,
        target_address: Address | None = None,
        digests: tuple[int, ...] = (),
        first_records: Sequence[MemberRecord] = (),
        records: Sequence[MemberRecord] | None = None,
    ) -> None:
        """Queue a datagram for sending.

        The datagram carries this process's own record and `first_records`. As far as space permits, it also
        carries `records`, or queued broadcasts if `records` is None.
        """
        self.sequence += 1
        outgoing = [self.local, *first_records]
        max_bytes = (
            MAX_DATAGRAM_BYTES
            - HEADER_BYTES
            - DIGEST_BYTES * len(digests)
            - sum(record_size(record) for record in outgoing)
        )
        if records is None:
            outgoing += self.queue.take(max_bytes, {record.instance for record in outgoing})
        else:
            outgoing += fitting_records(records, max_bytes)
        message = Message(
            VERSION, kind, self.sequence, probe_id, target, target_address, list(digests), outgoing
        )
        self.datagrams.append((to, encode(self.cluster_id, message)))
        self.counters["sent"] += 1

    def next_probe_id(self) -> int:
        """Allocate the number of a new probe."""
        self.probe_id += 1
        return self.probe_id

    def ping(self, member: Member) -> int:
        """Send a PING to a member, and return the probe's number."""
        probe_id = self.next_probe_id()
        self.send(
            member.record.address,
            MessageKind.PING,
            probe_id,
            member.record.instance,
            first_records=records_to_refute(member),
        )
        return probe_id


def records_to_refute(member: Member | None) -> tuple[MemberRecord, ...]:
    """Return the record of a member that this instance does not regard as ALIVE, to send to that member.

    For other members, nothing is returned.

    The member learns from the record that it is regarded as suspect or dead, and can refute the record
    at once (Lifeguard).
    """
    if member is None or member.record.state is MemberState.ALIVE:
        return ()
    return (member.record,)
