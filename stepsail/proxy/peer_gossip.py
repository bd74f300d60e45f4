"""Exchanges gossip with other instances: outcomes of requests, stalled request classes, and verdicts.

Messages are versioned msgpack datagrams of bounded size; they may be lost.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

import msgspec

from stepsail.decisions.interface import ServerHandle, Verdict
from stepsail.loop import Datagrams, Loop
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.membership import MembershipService
from stepsail.proxy.token_bucket import TokenBucket
from stepsail.settings import InstanceSettings

# Version of the format of gossip messages.
VERSION = 1
# Kinds of gossip messages, as sent on the wire.
OUTCOMES = "seen"
VERDICT = "found"
STALLED_CLASSES = "stuck"
# Largest number of servers' outcomes in a message. It keeps a message under 1200 bytes, because a server's
# address takes up to 22 bytes.
MAX_OUTCOMES = 40
# Largest number of messages from one peer that are handled at once.
PEER_BURST = 200
# Largest number of messages from one peer that are handled per second.
PEER_RATE_LIMIT = 100.0
# Seconds between the timestamps of two messages that are sent under the same reading of the clock.
TIMESTAMP_STEP = 1e-6


@dataclass(frozen=True, slots=True, order=True)
class MessageTime:
    """Orders the messages of a peer by the time at which they were sent.

    The peer's incarnation is compared first, because the clock of a later incarnation may have started anew.
    """

    incarnation: int
    sent_at: float


EARLIEST_TIME = MessageTime(0, -inf)


class PeerGossip:
    """Sends gossip to peers and passes received gossip to the router, if the settings enable it.

    The peers are those that the settings list, or the members of the membership view. In the latter case
    messages are sent and received on the membership's port.

    Attributes:
        last_received: When the latest message was sent, by peer and kind of message.
        messages_sent: Number of messages sent since the start, which keeps timestamps unique.
        messages_malformed: Number of datagrams that were dropped because they were malformed.
    """

    def __init__(
        self, loop: Loop, settings: InstanceSettings, host: DecisionHost, membership: MembershipService
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.host = host
        self.socket = Datagrams(loop, settings.gossip_address) if settings.gossip_address else None
        uses_membership = settings.membership is not None and settings.membership.carries_gossip
        self.membership = membership if uses_membership else None
        if self.membership:
            self.membership.on_gossip = self.receive_datagram
        self.last_received: dict[tuple[int, str], MessageTime] = {}
        self.rate_limits: dict[int, TokenBucket] = {}
        self.messages_sent = 0
        self.messages_malformed = 0

    def _peers(self) -> Collection[int]:
        return self.membership.peers.keys() if self.membership else self.settings.peer_addresses.keys()

    # -- sending -----------------------------------------------------------------------------------------

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send one peer the outcomes of requests that this instance has observed."""
        for start in range(0, len(outcomes), MAX_OUTCOMES):
            batch = outcomes[start : start + MAX_OUTCOMES]
            self._send(OUTCOMES, [peer], [(server.address, *rest) for server, *rest in batch])

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send all peers a verdict on a build."""
        self._send(VERDICT, sorted(self._peers()), build, stage, int(verdict))

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """Send all peers the request classes that are stalled."""
        self._send(STALLED_CLASSES, sorted(self._peers()), list(request_classes))

    def _send(self, kind: str, recipients: Sequence[int], *fields: Any) -> None:
        if self.socket is None and self.membership is None:
            return
        self.messages_sent += 1
        sent_at = self.host.clock + self.messages_sent * TIMESTAMP_STEP
        own_index = self.settings.router.instance_index
        data = msgspec.msgpack.encode([VERSION, kind, own_index, sent_at, *fields])
        peers = self._peers()
        for peer in [index for index in recipients if index in peers and index != own_index]:
            if self.membership:
                self.membership.send_gossip(peer, data)
            elif self.socket:
                self.socket.send(data, self.settings.peer_addresses[peer])

    # -- receiving ---------------------------------------------------------------------------------------

    def listen(self) -> None:
        """Run forever: receive messages on the port that the settings name."""
        while self.socket is not None:
            self.receive_datagram(None, 0, self.socket.receive()[0])

    def receive_datagram(self, sender: int | None, incarnation: int, data: bytes) -> None:
        """Handle one gossip datagram.

        Args:
            sender: The instance that sent the datagram, if the datagram arrived on the membership's port;
                otherwise None.
            incarnation: The sender's present incarnation; 0 if the sender is not known.
            data: The encoded message.
        """
        try:
            self.receive(msgspec.msgpack.decode(data), sender, incarnation)
        # Any host can send a datagram, so malformed datagrams are dropped.
        except Exception:
            self.messages_malformed += 1

    def receive(self, message: Any, sender: int | None, incarnation: int) -> None:
        """Pass one message to the router.

        A message is dropped if it has another version, comes from an unknown sender or from a sender that
        claims the number of another instance, is late or repeated, or exceeds the rate limit.
        """
        version, kind, peer, sent_at, *fields = message
        if version != VERSION or peer not in self._peers() or peer == self.settings.router.instance_index:
            return
        if sender not in (None, peer) or not isinstance(sent_at, float):
            return
        message_time = MessageTime(incarnation, sent_at)
        if not message_time > self.last_received.get((peer, kind), EARLIEST_TIME):
            return
        if not self._within_rate_limit(peer):
            return
        self.last_received[peer, kind] = message_time
        if kind == VERDICT:
            build, stage, verdict = (int(field) for field in fields)
            self.host.call_router(
                self.host.router.peer_verdict_received, peer, build, stage, Verdict(verdict)
            )
        elif kind == STALLED_CLASSES and len(fields[0]) <= len(self.settings.class_names):
            classes = tuple(int(request_class) for request_class in fields[0])
            self.host.call_router(self.host.router.peer_stalled_classes_received, peer, classes)
        elif kind == OUTCOMES and len(fields[0]) <= MAX_OUTCOMES:
            for outcome in fields[0]:
                self._receive_outcome(*outcome)

    def _within_rate_limit(self, peer: int) -> bool:
        now = self.loop.now()
        return self.rate_limits.setdefault(peer, TokenBucket(PEER_BURST, PEER_RATE_LIMIT, now)).try_take(now)

    def _receive_outcome(self, address: Any, build: Any, request_class: Any, outcome: Any) -> None:
        server = self.host.servers.get(bytes(address))
        numbers = (build, request_class, outcome)
        if server is not None and all(isinstance(number, int) and number >= 0 for number in numbers):
            self.host.call_router(
                self.host.router.peer_outcome_received, server, build, request_class, outcome
            )
