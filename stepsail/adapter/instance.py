"""A simulated instance: hosts its router and writes the router's commands as records of the protocol."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import cast

from stepsail.adapter import frames
from stepsail.adapter.frames import MILLISECONDS, CommandCode, Reply
from stepsail.decisions.interface import (
    MakeRouter,
    RequestHandle,
    RouterHandle,
    RouterSettings,
    ServerHandle,
    Verdict,
)

ALL_PEERS = 0xFFFF

# When outcomes are split into several messages, the clock of each message is later by this number of seconds
# per preceding outcome: a receiver drops a message whose clock is not later than that of the previous one.
CLOCK_STEP = 1e-6

# The kinds of messages between instances.
OUTCOMES_KIND = b"S"
STALLED_CLASSES_KIND = b"K"
VERDICT_KIND = b"F"

MESSAGE_LAYOUTS = {
    OUTCOMES_KIND: frames.OUTCOMES_HEADER,
    STALLED_CLASSES_KIND: frames.STALLED_CLASSES_HEADER,
    VERDICT_KIND: frames.VERDICT,
}


class Instance:
    """A running instance: the `RouterHost` of its router, and the router's handles by their identifiers."""

    def __init__(self, number: int, clock: float, reply: Reply) -> None:
        self.number = number  # identifies the instance in records
        self.clock = clock
        self.reply = reply  # to the batch being processed
        self.router = cast(RouterHandle, None)  # until `start` creates it
        self.requests: dict[int, RequestHandle] = {}
        self.servers: dict[bytes, ServerHandle] = {}
        self.timers: dict[int, Callable[[], None]] = {}
        self.timers_set = 0  # also the number of the last timer
        self.index = 0  # in the fleet
        self.peers = range(0)
        self.tenants = 0
        # The sender's clock in the latest message, by peer and kind.
        self.latest_message_at: dict[tuple[int, bytes], float] = {}

    def start(self, make_router: MakeRouter, settings: RouterSettings, seed: int) -> None:
        """Create the router from its settings."""
        self.index = settings.instance_index
        self.peers = range(settings.instance_count)
        self.router = make_router(settings, self, seed)
        self.tenants = len(settings.tenant_shares)

    def server(self, address: bytes) -> ServerHandle:
        """Return the router's handle of the server at an address, adding the server if it is new."""
        server = self.servers.get(address)
        if server is None:
            server = self.servers[address] = self.router.add_server(address)
        return server

    def forget_if_finished(self, request: RequestHandle) -> None:
        """Drop a request if the router needs no more events on it."""
        if request.finished():
            self.requests.pop(request.number, None)

    # -- commands from the router ------------------------------------------------------------------------

    def send_attempt(self, request: RequestHandle, server: ServerHandle, deadline: float) -> None:
        """Write a `Place` record, which sends an attempt to a server."""
        self.reply.add(
            frames.PLACE,
            CommandCode.PLACE,
            self.number,
            request.number,
            server.address,
            deadline * MILLISECONDS,
        )

    def cancel_attempt(self, request: RequestHandle, attempt: int) -> None:
        """Write a `Withdraw` record, which cancels an attempt."""
        self.reply.add(frames.WITHDRAW, CommandCode.WITHDRAW, self.number, request.number, attempt)

    def reject(self, request: RequestHandle, retry_after: float) -> None:
        """Write a `Busy` record, which rejects a request."""
        self.reply.add(frames.BUSY, CommandCode.BUSY, self.number, request.number, retry_after * MILLISECONDS)

    def fail(self, request: RequestHandle) -> None:
        """Write a `GiveUp` record, which fails a request."""
        self.reply.add(frames.GIVE_UP, CommandCode.GIVE_UP, self.number, request.number)

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Write a `Defer` record, which sets a timer; the `Bell` record with its number makes the call."""
        self.timers_set += 1
        self.timers[self.timers_set] = call
        self.reply.add(frames.DEFER, CommandCode.DEFER, self.number, delay * MILLISECONDS, self.timers_set)

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Write a `Ballot` record, which casts a vote."""
        self.reply.add(frames.BALLOT, CommandCode.BALLOT, self.number, build, stage, verdict)

    def check_health(self, server: ServerHandle) -> None:
        """Write a `Sample` record, which checks the health of a server."""
        self.reply.add(frames.SAMPLE, CommandCode.SAMPLE, self.number, server.address)

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Write a `LetGo` record, which closes idle connections to a server."""
        self.reply.add(frames.LET_GO, CommandCode.LET_GO, self.number, server.address)

    def poll_endpoints(self) -> None:
        """Write a `ReadList` record, which polls the endpoint list."""
        self.reply.add(frames.READ_LIST, CommandCode.READ_LIST, self.number)

    def watch_endpoints(self) -> None:
        """Write a `KeepInformed` record, which watches the endpoint list."""
        self.reply.add(frames.KEEP_INFORMED, CommandCode.KEEP_INFORMED, self.number, 1)

    def log_decision(self, text: str) -> None:
        """Write a `SayLog` record, which logs a decision."""
        self._add_text(CommandCode.SAY_LOG, text)

    def report_exception(self, error: Exception) -> None:
        """Write a `Bug` record, which reports an exception of the router."""
        self._add_text(CommandCode.BUG, f"{type(error).__name__}: {error}")

    def _add_text(self, code: CommandCode, text: str) -> None:
        tail = text.encode()[: frames.MAX_TEXT_SIZE]
        self.reply.add(frames.TEXT_RECORD, code, self.number, len(tail), tail=tail)

    # -- messages between instances ----------------------------------------------------------------------

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send outcomes to a peer, in several messages if they exceed the maximum size of one."""
        for start in range(0, len(outcomes), frames.OUTCOMES_PER_MESSAGE):
            chunk = outcomes[start : start + frames.OUTCOMES_PER_MESSAGE]
            header = frames.OUTCOMES_HEADER.pack(OUTCOMES_KIND, self.clock + start * CLOCK_STEP)
            packed = (frames.OUTCOME.pack(server.address, *rest) for server, *rest in chunk)
            self._publish(peer, header + b"".join(packed))

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict to all peers."""
        self._publish(ALL_PEERS, frames.VERDICT.pack(VERDICT_KIND, self.clock, build, stage, verdict))

    def gossip_stalled_classes(self, class_indices: Sequence[int]) -> None:
        """Send the stalled classes to all peers."""
        header = frames.STALLED_CLASSES_HEADER.pack(STALLED_CLASSES_KIND, self.clock)
        self._publish(ALL_PEERS, header + bytes(class_indices))

    def _publish(self, peer: int, message: bytes) -> None:
        self.reply.add(frames.PUBLISH, CommandCode.PUBLISH, self.number, peer, len(message), tail=message)

    def message_received(self, peer: int, message: bytes) -> None:
        """Pass a peer's message to the router.

        A message that is duplicate, outdated or malformed, or whose sender is no peer, is dropped.
        """
        kind = message[:1]
        layout = MESSAGE_LAYOUTS.get(kind)
        if layout is None or len(message) < layout.size:
            return
        if peer == self.index or peer not in self.peers:
            return
        _, sent_at, *fields = layout.unpack_from(message)
        if not sent_at > self.latest_message_at.get((peer, kind), float("-inf")):
            return
        self.latest_message_at[peer, kind] = sent_at
        if kind == VERDICT_KIND:
            build, stage, verdict = fields
            if verdict in tuple(Verdict):
                self.router.peer_verdict_received(peer, build, stage, Verdict(verdict))
        elif kind == STALLED_CLASSES_KIND:
            self.router.peer_stalled_classes_received(peer, tuple(message[layout.size :]))
        else:
            self._outcomes_received(message[layout.size :])

    def _outcomes_received(self, packed: bytes) -> None:
        complete = len(packed) - len(packed) % frames.OUTCOME.size
        for address, build, class_index, bin_index in frames.OUTCOME.iter_unpack(packed[:complete]):
            if address in self.servers:
                self.router.peer_outcome_received(self.servers[address], build, class_index, bin_index)
