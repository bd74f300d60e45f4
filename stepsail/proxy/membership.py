"""Runs the membership protocol of this instance: sends and receives its datagrams, and logs changes.

Gossip about builds and policy messages share the port; they are sent in envelopes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any
from zlib import crc32

from stepsail.loop import Datagrams, Loop
from stepsail.loop.driver import Address
from stepsail.membership import (
    EffectiveMembers,
    InvalidMessageError,
    MemberChange,
    MembershipProtocol,
    MembershipView,
    Timing,
)
from stepsail.membership.envelope import (
    GOSSIP_MAGIC,
    POLICY_MAGIC,
    decode_envelope,
    decode_gossip,
    encode_envelope,
    encode_gossip,
)
from stepsail.membership.parameters import PROBE_PERIOD
from stepsail.proxy.decision_host import DecisionHost, Logger
from stepsail.proxy.membership_status import membership_status
from stepsail.proxy.token_bucket import TokenBucket
from stepsail.settings import InstanceSettings

# Largest number of membership protocol datagrams handled per second and in one burst. Further
# datagrams are dropped, as if the network had lost them.
PROTOCOL_RATE_LIMIT = 400.0
# Largest number of gossip and policy datagrams handled per second and in one burst. Each instance sends each
# judge one such datagram per second.
ENVELOPE_RATE_LIMIT = 2000.0
# Smallest size of a policy message: kind of the receiver (1 byte), sender's instance number (4 bytes) and at
# least 1 byte of content.
MIN_POLICY_BYTES = 6


@dataclass(frozen=True, slots=True)
class Peer:
    """Describes another present instance.

    Attributes:
        start_time: When its process started, in ms.
        address: Where it receives datagrams.
    """

    start_time: int
    address: Address


def ignore_gossip(instance: int, start_time: int, text: bytes) -> None:
    """Drop gossip; the default of `MembershipService.on_gossip`."""


def ignore_policy_message(body: bytes) -> None:
    """Drop a policy message; the default of `MembershipService.on_policy_message`."""


class MembershipService:
    """Does the I/O of the membership protocol and publishes its views, if the settings have a membership.

    Views may be out of date or wrong, so no safety rule depends on them.

    Attributes:
        protocol: The membership protocol; None if the settings have no membership.
        peers: Other present instances, by number.
        on_gossip: Called with the instance, start time and text of gossip from a present instance.
        on_policy_message: Called with the body of each policy message.
        dropped: Number of dropped datagrams: over a rate limit, malformed, or gossip of a process that is not
            present.
    """

    def __init__(
        self, loop: Loop, settings: InstanceSettings, host: DecisionHost, log: Logger, seed: int
    ) -> None:
        self.loop = loop
        self.host = host
        self.log = log
        self.protocol: MembershipProtocol | None = None
        self.timer_at = inf
        self.protocol_limit = TokenBucket(PROTOCOL_RATE_LIMIT, PROTOCOL_RATE_LIMIT, loop.now())
        self.envelope_limit = TokenBucket(ENVELOPE_RATE_LIMIT, ENVELOPE_RATE_LIMIT, loop.now())
        self.dropped = 0
        self.peers: dict[int, Peer] = {}
        self.on_gossip: Callable[[int, int, bytes], None] = ignore_gossip
        self.on_policy_message: Callable[[bytes], None] = ignore_policy_message
        self.published_version = 0
        if settings.membership:
            membership = settings.membership
            router = settings.router
            self.effective_members = (
                EffectiveMembers(router.instance_count) if membership.used_by_router else None
            )
            self.socket = Datagrams(loop, membership.listen_address)
            start_time = int(loop.driver.wall_clock() * 1000)
            self.cluster_id = crc32(membership.cluster_name.encode())
            self.protocol = MembershipProtocol(
                router.instance_index,
                start_time,
                settings.zones[router.zone],
                membership.advertised_address,
                membership.seeds,
                seed,
                loop.now(),
                Timing(membership.probe_period or PROBE_PERIOD),
                self.cluster_id,
            )

    @property
    def view(self) -> MembershipView | None:
        """The current view; None if the settings have no membership."""
        return self.protocol.view() if self.protocol else None

    def listen(self) -> None:
        """Run forever: take part in the membership protocol."""
        assert self.protocol
        local = self.protocol.local
        self.log.info("membership_started", number=local.instance, start=local.start_time)
        self._tick()
        while True:
            data, _ = self.socket.receive()
            self._receive(data)

    def leave(self) -> None:
        """Announce to the other instances that this instance leaves."""
        if self.protocol:
            self.protocol.leave(self.loop.now())
            self._handle_output()

    # Datagrams

    def send_gossip(self, instance: int, text: bytes) -> None:
        """Send gossip to a present instance; the network may lose the datagram."""
        peer = self.peers.get(instance)
        if peer and self.protocol and not self.protocol.displaced:
            local = self.protocol.local
            self.socket.send(
                encode_gossip(self.cluster_id, local.instance, local.start_time, text), peer.address
            )

    def send_policy_message(self, to: Address, body: bytes) -> None:
        """Send a policy message to any address; the network may lose the datagram."""
        self.socket.send(encode_envelope(POLICY_MAGIC, self.cluster_id, body), to)

    def _receive(self, data: bytes) -> None:
        """Handle one datagram within the rate limits, so that datagrams do not delay clients' requests."""
        assert self.protocol
        now = self.loop.now()
        is_envelope = data.startswith((GOSSIP_MAGIC, POLICY_MAGIC))
        limit = self.envelope_limit if is_envelope else self.protocol_limit
        if not limit.try_take(now):
            self.dropped += 1
        elif data.startswith(POLICY_MAGIC):
            self._receive_policy_message(data)
        elif data.startswith(GOSSIP_MAGIC):
            self._receive_gossip(data)
        else:
            self.protocol.receive(data, now)
            self._handle_output()

    def _receive_policy_message(self, data: bytes) -> None:
        try:
            self.on_policy_message(decode_envelope(self.cluster_id, data, MIN_POLICY_BYTES))
        except InvalidMessageError:
            self.dropped += 1

    def _receive_gossip(self, data: bytes) -> None:
        """Pass on gossip that comes from the current process of a present instance."""
        try:
            gossip = decode_gossip(self.cluster_id, data)
        except InvalidMessageError:
            self.dropped += 1
            return
        peer = self.peers.get(gossip.instance)
        if peer and peer.start_time == gossip.start_time:
            self.on_gossip(gossip.instance, gossip.start_time, gossip.text)
        else:
            self.dropped += 1

    # Timers, changes and views

    def _tick(self) -> None:
        assert self.protocol
        self.timer_at = inf
        self.protocol.tick(self.loop.now())
        self._handle_output()

    def _timer_expired(self) -> None:
        # If the time has not come, this timer has been replaced by another timer.
        if self.loop.now() >= self.timer_at:
            self._tick()

    def _handle_output(self) -> None:
        """Send the protocol's datagrams, log its changes, publish a new view and set the timer."""
        protocol = self.protocol
        assert protocol
        for to, data in protocol.take_datagrams():
            self.socket.send(data, to)
        for change in protocol.take_changes():
            self._log_change(change)
        view = protocol.view()
        if view.version != self.published_version:
            self.published_version = view.version
            self._publish(view, protocol.local.instance)
        if protocol.next_timeout < self.timer_at:
            self.timer_at = protocol.next_timeout
            self.loop.call_at(self.timer_at, self._timer_expired)

    def _log_change(self, change: MemberChange) -> None:
        previous = change.previous_state
        self.log.info(
            "member_changed",
            number=change.instance,
            start=change.start_time,
            state=change.state.name.lower(),
            previous_state=previous.name.lower() if previous is not None else "unknown",
            reason=change.reason,
        )

    def _publish(self, view: MembershipView, local_instance: int) -> None:
        """Pass a new view to the router and log it."""
        self.peers = {
            member.instance: Peer(member.start_time, member.address)
            for member in view.members
            if member.instance != local_instance
        }
        present = self.effective_members.update(view) if self.effective_members else None
        if present:
            self.log.info("effective_members_changed", present=len(present))
            self.host.call_router(self.host.router.membership_changed, present)
        self.log.info(
            "membership_view",
            version=view.version,
            present=len(view.members),
            digest=view.digest,
            settled=view.settled,
            minority=view.minority,
            displaced=view.displaced,
        )

    def status_page(self) -> dict[str, Any]:
        """Return the content of the status page about the membership."""
        if self.protocol is None:
            return {"view": None}
        return {"view": membership_status(self.protocol, self.dropped, self.loop.now())}
