"""The ends of streams of a network in memory.

Streams behave as TCP does to those who use it (RFC 9293): bytes arrive in order or not at all; a close arrives behind
them; what reaches a closed end is answered with a reset; a close over unread bytes is a reset. Lost segments show as
lateness, as the sender's system retransmits them.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable

from stepsail.loop.driver import READ, WRITE, Address
from stepsail.simulation.path import RETRANSMIT_AFTER, Path
from stepsail.simulation.port import Port, PortOwner

WINDOW = 1 << 18  # bytes under way or unread in one direction of a stream; a sender beyond waits


class StreamPort(Port):
    """One end of a stream."""

    def __init__(self, driver: PortOwner, address: Address, path: Path, is_caller: bool) -> None:
        super().__init__(driver, address)
        self.path = path
        self.is_caller = is_caller
        self.peer: StreamPort | None = None
        self.decided = False  # the connect has succeeded or failed
        self.error = 0  # errno of what broke it
        self.inbox: deque[bytes] = deque()
        self.unread = 0  # bytes
        self.under_way = 0  # bytes sent that the far end has not read
        self.passed = 0  # bytes sent in all
        self.ended = False  # the far end has closed
        self.sent_end = False
        self.reset = False
        self.arrived_at = 0.0  # when the last bytes came
        self.last_at = 0.0  # when the last thing sent arrives

    def ready(self, direction: int) -> bool:
        """Whether a wait in a direction would end now."""
        if self.error:
            return True
        if direction == READ:
            return self.decided and (self.unread > 0 or self.ended)
        return self.decided and self.under_way < WINDOW

    @property
    def peer_closed(self) -> bool:
        """Whether the far end has closed or is gone."""
        return self.ended or self.error != 0

    def raise_connect_error(self) -> None:
        """Raise what became of a connect."""
        if self.error:
            raise OSError(self.error, os.strerror(self.error))

    def recv(self, most: int) -> bytes | None:
        """Some bytes, of a stream."""
        if self.unread:
            part = self.inbox.popleft()
            if len(part) > most:
                self.inbox.appendleft(part[most:])
                part = part[:most]
            self.unread -= len(part)
            if self.peer is not None:
                self.peer.under_way -= len(part)
                if WRITE in self.peer.waiters:
                    self.peer.driver.mark(self.peer)
            return part
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return b"" if self.ended else None

    def send(self, data: bytes | memoryview) -> int | None:
        """How many bytes a stream took."""
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        if self.closed or self.sent_end:
            raise BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE))
        room = WINDOW - self.under_way
        if room <= 0:
            return None
        part = bytes(data[:room])
        self.under_way += len(part)
        self.passed += len(part)
        edge = self.path.reset_from_caller if self.is_caller else self.path.reset_from_called
        if 0 <= edge < self.passed:
            self._send_later(0, lambda peer: peer.break_off(errno.ECONNRESET))
            self.driver.network.after(self.path, 0.0, lambda: self.break_off(errno.ECONNRESET))
            return len(part)
        self._send_later(len(part), lambda peer: peer.receive(part))
        return len(part)

    def _send_later(self, size: int, call: Callable[[StreamPort], object]) -> None:
        """Let something reach the far end, behind whatever went before it."""
        network, path, peer = self.driver.network, self.path, self.peer
        if peer is None:
            return
        delay = network.delay(path)
        if path.loss and network.random.random() < path.loss:
            delay += RETRANSMIT_AFTER
        when = max(network.simulator.now + delay, self.last_at)
        if path.rate:
            when += size / path.rate
        self.last_at = when
        network.at(path, when, lambda: call(peer))

    def receive(self, part: bytes) -> None:
        """Bytes arrive."""
        if self.closed:
            # As a system answers bytes for which there is no socket any more.
            if not self.reset and not self.silent:
                self._send_later(0, lambda peer: peer.break_off(errno.ECONNRESET))
            return
        self.inbox.append(part)
        self.unread += len(part)
        self.arrived_at = self.driver.network.simulator.now
        self.driver.mark(self)

    def receive_end(self) -> None:
        """The far end's close arrives."""
        self.ended = True
        self.driver.mark(self)

    def break_off(self, error: int) -> None:
        """A reset, or a connect that failed; what had come before a reset is lost with it."""
        if not self.closed and not self.error:
            self.error = error
            self.inbox.clear()
            self.unread = 0
            self.driver.mark(self)

    def half_close(self) -> None:
        """Send the end of a stream."""
        if not self.sent_end and not self.error and self.decided:
            self.sent_end = True
            self._send_later(0, StreamPort.receive_end)

    def abort(self) -> None:
        """Make the close of a stream a reset."""
        self.reset = True

    def gone(self, power_loss: bool) -> None:
        """Close: a reset where bytes lie unread, else the end of the stream."""
        self.silent = power_loss
        if power_loss or not self.decided:
            return
        if self.reset or self.unread:
            self.reset = True
            self._send_later(0, lambda peer: peer.break_off(errno.ECONNRESET))
        else:
            self.half_close()

    def seconds_since_receive(self) -> float:
        """Seconds since the last bytes arrived."""
        return self.driver.network.simulator.now - self.arrived_at if self.arrived_at else 0.0
