"""Closes client connections on which no answer is owed, to make room for new clients or to shut down."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from operator import itemgetter

from stepsail.http import InvalidMessage, ServerConnection
from stepsail.http.server_connection import NO_ROOM
from stepsail.loop import Loop, Stream, Task
from stepsail.proxy.counters import ConnectionClose, Counters

# Seconds that a new client has to send its first byte before its connection may be closed to make room.
FIRST_BYTE_GRACE = 0.05
# Seconds that a request has to arrive completely before it may be rejected to make room for a new client.
WHOLE_REQUEST_GRACE = 0.5
# Seconds that a client has to read an error response before its connection may be closed to make room.
LINGER_GRACE = 0.05
# Most requests that are rejected in one attempt to make room. With a few at a time, hundreds of slow clients
# would keep new ones waiting for seconds.
MAX_REJECTED_AT_ONCE = 128
# Seconds after connecting during which a client may still send its first byte while this process shuts down.
# Waiting longer would only delay the exit of the process.
SHUTDOWN_FIRST_BYTE_GRACE = 0.6


@dataclass(frozen=True, slots=True)
class PendingConnection:
    """A connection that waits for a complete request.

    Attributes:
        waiting_since: When it began to wait.
        connection: The connection.
        task: The task that reads the connection.
    """

    waiting_since: float
    connection: ServerConnection
    task: Task

    def reject_partial_request(self) -> None:
        """Free the received part of the request, and have the connection's task answer it with a 503."""
        error = InvalidMessage(503, NO_ROOM)
        self.connection.reject_request(error)
        if self.task.current_wait:
            self.task.current_wait.throw(error)


class ConnectionReaper:
    """Tracks connections that wait for a request; closes those on which no byte of a request has arrived.

    Closing any other connection could leave a complete request unanswered.

    Attributes:
        awaiting_first_request: Connections without a request so far, the one that has waited longest first.
        idle: Connections between two requests, the one that has waited longest first.
        lingering: Connections that are answered with an error and then closed, with the time when the answer
            was begun, the earliest first.
    """

    def __init__(self, loop: Loop, evictable_idle_time: float, counters: Counters) -> None:
        self.loop = loop
        self.evictable_idle_time = evictable_idle_time
        self.counters = counters
        self.awaiting_first_request: dict[Stream, PendingConnection] = {}
        self.idle: dict[Stream, PendingConnection] = {}
        self.lingering: dict[Stream, float] = {}

    def make_room(self) -> bool:
        """Close a connection to make room for a new client; return False if none may be closed now.

        This guards against clients that connect by the hundreds and send nothing, or send one request and
        stay. Connections that have had an error response are closed first. Next is the connection that has
        waited longest for its first byte, then the one that has been idle longest. If all clients have sent
        part of a request, the slowest clients get a 503 response. That could harm a slow client among many
        new clients.
        """
        now = self.loop.now()
        if self._close_lingering(now - LINGER_GRACE):
            return True
        if self._close_silent(
            self.awaiting_first_request, now - FIRST_BYTE_GRACE, ConnectionClose.EVICTED, limit=1
        ):
            return True
        if self._close_silent(self.idle, now - self.evictable_idle_time, ConnectionClose.EVICTED, limit=1):
            return True
        self._reject_slowest(now - WHOLE_REQUEST_GRACE)
        return False

    def free_memory(self, excess: int) -> int:
        """Reject requests that are still arriving, the earliest first, to free `excess` bytes.

        Only those that hold an average share or more are rejected: to reject a request of which few bytes
        have arrived would free next to nothing.

        Returns:
            The number of bytes that are still to be freed; 0 or less if there are none.
        """
        partial = sorted(self._partial_requests(), key=itemgetter(1))
        held = {stream: self._pending(stream).connection.account.size for stream, _ in partial}
        average = sum(held.values()) / max(1, len(held))
        for stream, _ in partial:
            if excess > 0 and held[stream] >= average:
                self._reject(stream)
                excess -= held[stream]
        return excess

    def close_for_shutdown(self) -> None:
        """Close connections that are silent between two requests, or silent since they were made.

        A new connection is closed only if it was made at least SHUTDOWN_FIRST_BYTE_GRACE seconds ago.
        """
        now = self.loop.now()
        self._close_silent(self.idle, now, ConnectionClose.SHUTTING_DOWN)
        self._close_silent(
            self.awaiting_first_request, now - SHUTDOWN_FIRST_BYTE_GRACE, ConnectionClose.SHUTTING_DOWN
        )

    def _close_silent(
        self,
        connections: dict[Stream, PendingConnection],
        cutoff: float,
        reason: ConnectionClose,
        limit: int | None = None,
    ) -> int:
        """Close connections that began to wait at `cutoff` or before and on which no byte has arrived.

        Returns:
            The number of closed connections, which is at most `limit`.
        """
        closed = 0
        for stream, pending in tuple(connections.items()):
            if pending.waiting_since > cutoff or closed == limit:
                break
            if pending.connection.is_quiet():
                self.counters.count_close(reason)
                stream.close()
                del connections[stream]
                closed += 1
        return closed

    def _close_lingering(self, cutoff: float) -> bool:
        """Close the connections whose error response was begun at `cutoff` or before."""
        expired = [stream for stream, since in self.lingering.items() if since <= cutoff]
        for stream in expired:
            self.counters.count_close(ConnectionClose.BAD_REQUEST)
            stream.close()
            del self.lingering[stream]
        return bool(expired)

    def _reject_slowest(self, cutoff: float) -> None:
        """Reject the requests that began to arrive at `cutoff` or before, the earliest first."""
        slow = [partial for partial in self._partial_requests() if partial[1] <= cutoff]
        slow.sort(key=itemgetter(1))
        for stream, _ in slow[:MAX_REJECTED_AT_ONCE]:
            self._reject(stream)

    def _partial_requests(self) -> Iterator[tuple[Stream, float]]:
        """Yield each connection on which a part of a request has arrived, and when its first byte came."""
        for stream, pending in chain(self.awaiting_first_request.items(), self.idle.items()):
            if pending.connection.partial_since is not None:
                yield stream, pending.connection.partial_since

    def _pending(self, stream: Stream) -> PendingConnection:
        return self.awaiting_first_request.get(stream) or self.idle[stream]

    def _reject(self, stream: Stream) -> None:
        pending = self.awaiting_first_request.pop(stream, None) or self.idle.pop(stream)
        pending.reject_partial_request()
