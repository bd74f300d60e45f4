"""Closes client connections on which no answer is owed, to make room for new clients or to shut down."""

from __future__ import annotations

from dataclasses import dataclass

from stepsail.http import InvalidMessage, ServerConnection
from stepsail.loop import Loop, Stream, Task
from stepsail.proxy.counters import ConnectionClose, Counters

# Seconds that a new client has to send its first byte before its connection may be closed to make room.
FIRST_BYTE_GRACE = 0.05
# Seconds that a request has to arrive completely before it may be rejected to make room for a new client.
WHOLE_REQUEST_GRACE = 0.5
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


class ConnectionReaper:
    """Tracks connections that wait for a request; closes those on which no byte of a request has arrived.

    Closing any other connection could leave a complete request unanswered.

    Attributes:
        awaiting_first_request: Connections without a request so far, the one that has waited longest first.
        idle: Connections between two requests, the one that has waited longest first.
    """

    def __init__(self, loop: Loop, evictable_idle_time: float, counters: Counters) -> None:
        self.loop = loop
        self.evictable_idle_time = evictable_idle_time
        self.counters = counters
        self.awaiting_first_request: dict[Stream, PendingConnection] = {}
        self.idle: dict[Stream, PendingConnection] = {}

    def make_room(self) -> bool:
        """Close one connection to make room for a new client; return False if none may be closed now.

        This guards against clients that connect by the hundreds and send nothing, or send one request and
        stay. The connection that has waited longest for its first byte is closed. If there is none, the
        connection that has been idle longest is closed. If all clients have sent part of a request, the
        slowest client gets a 503 response. That could harm a slow client among many new clients.
        """
        now = self.loop.now()
        if self._close_silent(
            self.awaiting_first_request, now - FIRST_BYTE_GRACE, ConnectionClose.EVICTED, limit=1
        ):
            return True
        if self._close_silent(self.idle, now - self.evictable_idle_time, ConnectionClose.EVICTED, limit=1):
            return True
        slowest = next(
            (pending for pending in self.awaiting_first_request.values() if pending.connection.reader.begun),
            None,
        )
        if slowest and slowest.waiting_since <= now - WHOLE_REQUEST_GRACE and slowest.task.current_wait:
            slowest.task.current_wait.throw(
                InvalidMessage(503, "no room to wait for the rest: trying again is harmless")
            )
        return False

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
