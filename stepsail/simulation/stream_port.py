"""Streams of the simulated network.

To their users, streams behave as TCP does (RFC 9293). Bytes arrive in order or not at all; a close arrives
after them. Bytes that reach a closed end are answered with a reset; a close with unread bytes sends a reset.
Lost segments arrive late, because the sender's system retransmits them.
"""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable

from stepsail.loop.driver import READ, WRITE, Address
from stepsail.simulation.path import RETRANSMIT_AFTER, Path
from stepsail.simulation.port import Port, PortOwner

# Limit of the bytes in transit or unread in one direction of a stream; a sender that reaches it waits.
WINDOW = 1 << 18


class StreamPort(Port):
    """One end of a stream."""

    def __init__(self, driver: PortOwner, address: Address, path: Path, is_client_end: bool) -> None:
        super().__init__(driver, address)
        self.path = path
        self.is_client_end = is_client_end
        self.peer: StreamPort | None = None
        self.connect_finished = False  # whether the connect has succeeded or failed
        self.error = 0  # errno of the failure of the connect or the stream, else 0
        self.inbox: deque[bytes] = deque()
        self.unread_bytes = 0
        self.unread_by_peer = 0  # bytes sent that the peer has not read
        self.bytes_sent = 0  # bytes sent since the connect
        self.end_received = False  # whether the peer has closed its sending direction
        self.end_sent = False
        self.reset = False
        self.last_received_at = 0.0  # time when the last bytes arrived; 0 if none have
        self.last_delivery_at = 0.0  # arrival time of the last delivery to the peer

    def ready(self, direction: int) -> bool:
        """Return whether a wait in this direction would end now."""
        if self.error:
            return True
        if direction == READ:
            return self.connect_finished and (self.unread_bytes > 0 or self.end_received)
        return self.connect_finished and self.unread_by_peer < WINDOW

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its end or is gone."""
        return self.end_received or self.error != 0

    def raise_connect_error(self) -> None:
        """Raise OSError if the connect failed."""
        if self.error:
            raise OSError(self.error, os.strerror(self.error))

    def recv(self, max_bytes: int) -> bytes | None:
        """Return received bytes, or b"" at the end of the stream."""
        if self.unread_bytes:
            chunk = self.inbox.popleft()
            if len(chunk) > max_bytes:
                self.inbox.appendleft(chunk[max_bytes:])
                chunk = chunk[:max_bytes]
            self.unread_bytes -= len(chunk)
            if self.peer is not None:
                self.peer.unread_by_peer -= len(chunk)
                if WRITE in self.peer.waiters:
                    self.peer.driver.mark_changed(self.peer)
            return chunk
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return b"" if self.end_received else None

    def send(self, data: bytes | memoryview) -> int | None:
        """Send bytes and return how many of them were accepted."""
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        if self.closed or self.end_sent:
            raise BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE))
        available = WINDOW - self.unread_by_peer
        if available <= 0:
            return None
        chunk = bytes(data[:available])
        self.unread_by_peer += len(chunk)
        self.bytes_sent += len(chunk)
        reset_after = self.path.client_reset_after if self.is_client_end else self.path.server_reset_after
        if 0 <= reset_after < self.bytes_sent:
            self._deliver_to_peer(0, lambda peer: peer.fail(errno.ECONNRESET))
            self.driver.network.deliver_after(self.path, 0.0, lambda: self.fail(errno.ECONNRESET))
            return len(chunk)
        self._deliver_to_peer(len(chunk), lambda peer: peer.receive(chunk))
        return len(chunk)

    def _deliver_to_peer(self, size: int, callback: Callable[[StreamPort], object]) -> None:
        """Run a callback with the peer as a delivery that arrives after all earlier ones.

        `size` is the number of bytes for which the delivery occupies the path's bandwidth.
        """
        network, path, peer = self.driver.network, self.path, self.peer
        if peer is None:
            return
        delay = network.delay(path)
        if path.loss and network.random.random() < path.loss:
            delay += RETRANSMIT_AFTER
        when = max(network.simulator.now + delay, self.last_delivery_at)
        if path.rate:
            when += size / path.rate
        self.last_delivery_at = when
        network.deliver_at(path, when, lambda: callback(peer))

    def receive(self, chunk: bytes) -> None:
        """Handle arriving bytes."""
        if self.closed:
            # An operating system also answers bytes for a closed socket with a reset.
            if not self.reset and not self.power_lost:
                self._deliver_to_peer(0, lambda peer: peer.fail(errno.ECONNRESET))
            return
        self.inbox.append(chunk)
        self.unread_bytes += len(chunk)
        self.last_received_at = self.driver.network.simulator.now
        self.driver.mark_changed(self)

    def receive_end(self) -> None:
        """Handle the arrival of the peer's close."""
        self.end_received = True
        self.driver.mark_changed(self)

    def fail(self, error: int) -> None:
        """Break the stream with an errno, such as that of a reset; bytes received but not read are lost."""
        if not self.closed and not self.error:
            self.error = error
            self.inbox.clear()
            self.unread_bytes = 0
            self.driver.mark_changed(self)

    def half_close(self) -> None:
        """Shut down the sending direction; the port can still receive."""
        if not self.end_sent and not self.error and self.connect_finished:
            self.end_sent = True
            self._deliver_to_peer(0, StreamPort.receive_end)

    def abort(self) -> None:
        """Make the following close send a reset to the peer."""
        self.reset = True

    def handle_close(self, power_loss: bool) -> None:
        """Send a reset if bytes are unread or `abort` was called, else the end of the stream."""
        self.power_lost = power_loss
        if power_loss or not self.connect_finished:
            return
        if self.reset or self.unread_bytes:
            self.reset = True
            self._deliver_to_peer(0, lambda peer: peer.fail(errno.ECONNRESET))
        else:
            self.half_close()

    def seconds_since_receive(self) -> float:
        """Return the seconds since the last bytes arrived, read or not; 0 if none have arrived."""
        return self.driver.network.simulator.now - self.last_received_at if self.last_received_at else 0.0
