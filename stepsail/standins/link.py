"""Network links with faults: traffic is delayed, throttled, blocked, reset or stalled."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from functools import partial
from random import Random

from stepsail.loop import Closed, Datagrams, Event, Listener, Loop, Stream, TimedOut
from stepsail.loop.driver import Address

BACKLOG = 4096
CONNECT_TIMEOUT_S = 1.0
MAX_IN_TRANSIT = 256  # datagrams in transit at once; further ones are dropped


class Direction(Enum):
    """A direction of a link."""

    UP = auto()  # from the client that connects to the target
    DOWN = auto()


@dataclass
class LinkFaults:
    """Faults of newly accepted connections; bytes are counted separately per connection and direction."""

    delay: float = 0.0  # s, one way
    rate: float = 0.0  # bytes per second in each direction; 0: no limit
    reset_up: int = -1  # bytes upstream after which both ends are reset; -1: never
    reset_down: int = -1
    stall_up: int = -1  # bytes upstream after which forwarding stops without closing; -1: never
    stall_down: int = -1
    refuse: bool = False  # reset new connections immediately
    loss: float = 0.0  # probability per read that the direction stalls for good


class Link:
    """Forwards each connection to `target`.

    A cut blocks new connections and the traffic of one or both directions. `heal` resets every connection that
    was open at any time during the cut.
    """

    def __init__(
        self,
        loop: Loop,
        target: Address,
        faults: LinkFaults | None = None,
        listen_address: Address = ("127.0.0.1", 0),
        name: str = "link",
    ) -> None:
        self.loop = loop
        self.target = target
        self.faults = faults or LinkFaults()
        self.name = name
        self.random = Random(f"{name} {target[0]}:{target[1]}")
        self.listener = Listener(loop, listen_address, BACKLOG)
        self.address = self.listener.address
        self._healed: Event | None = None  # set when the cut ends; None while the link is not cut
        self._cut_directions: frozenset[Direction] = frozenset()
        self._streams_in_cut: dict[Stream, None] = {}
        loop.spawn(self.listener.serve, self._forward, name, name=name)

    def cut(self, up: bool = True, down: bool = True) -> None:
        """Block the given directions until `heal` is called."""
        directions = ((Direction.UP, up), (Direction.DOWN, down))
        self._cut_directions = frozenset(direction for direction, is_cut in directions if is_cut)
        if self._healed is None and self._cut_directions:
            self._healed = Event(self.loop)
            self._streams_in_cut |= self.listener.open_streams

    def heal(self) -> None:
        """End the cut and reset the connections that it affected.

        Bytes that arrived during the cut are lost: delivering them late would be a fault of the network, not of
        the instance under test.
        """
        if self._healed:
            healed = self._healed
            self._healed = None
            self._cut_directions = frozenset()
            for stream in self._streams_in_cut | self.listener.open_streams:
                stream.abort()
            self._streams_in_cut.clear()
            healed.set()

    def close(self) -> None:
        """Close the listener and every connection."""
        self.listener.drop()

    def _forward(self, client_stream: Stream) -> None:
        faults = self.faults
        if faults.refuse:
            client_stream.abort()
            return
        if self._healed:
            self._streams_in_cut[client_stream] = None
            self._healed.wait()
            return
        try:
            server_stream = Stream.connect(self.loop, self.target, CONNECT_TIMEOUT_S)
        except (OSError, TimedOut):
            client_stream.abort()
            return
        down = self.loop.spawn(
            self._pump, server_stream, client_stream, faults, Direction.DOWN, name=self.name
        )
        try:
            self._pump(client_stream, server_stream, faults, Direction.UP)
            down.join()
        finally:
            down.cancel()
            server_stream.close()

    def _pump(self, source: Stream, sink: Stream, faults: LinkFaults, direction: Direction) -> None:
        try:
            self._copy(source, sink, faults, direction)
        except (OSError, Closed):
            source.abort()
            sink.abort()

    def _copy(self, source: Stream, sink: Stream, faults: LinkFaults, direction: Direction) -> None:
        """Copy until the source ends, a cut affects this direction, or a fault ends the connection."""
        is_up = direction is Direction.UP
        reset_at = faults.reset_up if is_up else faults.reset_down
        stall_at = faults.stall_up if is_up else faults.stall_down
        fault_at = min((at for at in (reset_at, stall_at) if at >= 0), default=-1)
        forwarded_bytes = 0
        while data := source.read():
            if self._wait_out_cut(direction):
                return
            if faults.delay or faults.rate:
                self.loop.sleep(faults.delay + (len(data) / faults.rate if faults.rate else 0.0))
                if self._wait_out_cut(direction):
                    return
            if faults.loss and self.random.random() < faults.loss:
                self.loop.park(self.loop.waiter(), "cancellation after simulated data loss")
                return
            if 0 <= fault_at <= forwarded_bytes + len(data):
                sink.write(data[: fault_at - forwarded_bytes])
                if fault_at == reset_at:
                    source.abort()
                    sink.abort()
                else:
                    self.loop.park(self.loop.waiter(), "cancellation after a simulated stall")
                return
            forwarded_bytes += len(data)
            sink.write(data)
        sink.half_close()

    def _wait_out_cut(self, direction: Direction) -> bool:
        """Return whether this direction is cut; if so, wait until the cut is over."""
        if self._healed and direction in self._cut_directions:
            self._healed.wait()
            return True
        return False


class DatagramLink:
    """Forwards datagrams to one address, and drops, duplicates and reorders some of them."""

    def __init__(
        self,
        loop: Loop,
        target: Address,
        random: Random,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.02),
    ) -> None:
        self.loop = loop
        self.target = target
        self.random = random
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self._in_transit = 0
        self.socket = Datagrams(loop, ("127.0.0.1", 0))
        self.address = self.socket.address
        loop.spawn(self._forward, name="datagram link")

    def _forward(self) -> None:
        while True:
            data, _ = self.socket.receive()
            copies = 2 if self.random.random() < self.duplication else 1
            for _ in range(copies):
                if self._in_transit >= MAX_IN_TRANSIT or self.random.random() < self.loss:
                    continue
                self._in_transit += 1
                self.loop.call_later(self.random.uniform(*self.delay), partial(self._deliver, data))

    def _deliver(self, data: bytes) -> None:
        self._in_transit -= 1
        self.socket.send(data, self.target)
