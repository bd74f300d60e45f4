"""Pools connections to servers: makes them, lends them to attempts, keeps idle ones and closes them."""

from __future__ import annotations

from collections import deque

from stepsail.decisions.interface import ServerHandle
from stepsail.http import BufferBudget, ClientConnection
from stepsail.loop import Loop, Stream
from stepsail.proxy.idle_timeout import IdleTimeout
from stepsail.proxy.upstream_protocol import UpstreamProtocol
from stepsail.settings import InstanceSettings
from stepsail.settings.model import Address

# Seconds between two checks of the idle connections to servers.
SWEEP_INTERVAL = 1.0


class Upstream:
    """Holds the connections to one server.

    Attributes:
        address: Address by which the router identifies the server.
        location: Host and port that connections are made to.
        idle: Idle connections, the most recently used one last.
        open_connections: Number of open connections, both idle and in use.
    """

    def __init__(self, address: bytes, location: Address) -> None:
        self.address = address
        self.location = location
        self.idle: deque[ClientConnection] = deque()
        self.open_connections = 0

    def take_idle(self, last_used_before: float) -> ClientConnection | None:
        """Remove and return the most recently used connection that was last used at or before a given time.

        Return None if there is no such connection.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.used_at <= last_used_before:
                del self.idle[index]
                return connection
        return None


class UpstreamPool:
    """Holds the connections to all servers.

    The settings limit their number: `max_connections_per_server` for each server, `max_server_connections` in
    total.

    Attributes:
        connects_started: Number of connections that the pool has tried to make since the start.
        idle_timeout: How long a connection may be idle and still be reused.
    """

    def __init__(
        self, loop: Loop, settings: InstanceSettings, protocol: UpstreamProtocol, budget: BufferBudget
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.settings = settings
        self.protocol = protocol
        self.upstreams: dict[bytes, Upstream] = {}
        self.open_connections = 0
        self.connects_started = 0
        self.idle_timeout = IdleTimeout(settings.idle_connection_ttl or settings.router.idle_timeout)

    def upstream(self, address: bytes) -> Upstream:
        """Return the pool's entry for a server.

        If the server is unknown or its location has changed, the pool makes a new entry.
        """
        upstream = self.upstreams.get(address)
        location = self.protocol.locate(address)[0]
        if upstream is not None and upstream.location == location:
            return upstream
        if upstream is not None:
            self._close_all_idle(upstream)
        upstream = Upstream(address, location)
        self.upstreams[address] = upstream
        return upstream

    def acquire(self, upstream: Upstream, deadline: float) -> ClientConnection | None:
        """Return an idle or a new connection to a server, or None if a connection limit is reached.

        A connection is not reused until it has been idle for `connection_reuse_delay`. If the server sends
        surplus bytes after a response, they arrive within that time and the connection is closed. Without
        this delay, the router would read the surplus bytes as the response to the next request.

        Raises:
            OSError: A new connection could not be made.
            TimedOut: A new connection was not made in time.
        """
        idle_limit = self.idle_timeout.safe_idle_time(self.loop.now())
        while connection := upstream.take_idle(self.loop.now() - self.settings.connection_reuse_delay):
            if connection.used_at >= self.loop.now() - idle_limit and not connection.stale():
                return connection
            self._close(upstream, connection)
        if upstream.open_connections >= self.settings.max_connections_per_server:
            return None
        limit = self.settings.max_server_connections
        if limit and self.open_connections >= limit and not self._close_longest_idle():
            return None
        return self._connect(upstream, deadline)

    def _connect(self, upstream: Upstream, deadline: float) -> ClientConnection:
        upstream.open_connections += 1
        self.open_connections += 1
        self.connects_started += 1
        try:
            timeout = min(self.settings.connect_timeout, deadline - self.loop.now())
            stream = Stream.connect(self.loop, upstream.location, timeout)
            return ClientConnection(self.loop, stream, self.protocol.bounds, self.budget)
        except BaseException:
            upstream.open_connections -= 1
            self.open_connections -= 1
            raise

    def release(self, upstream: Upstream, connection: ClientConnection) -> None:
        """Return a connection to the pool; close it if it is unusable or its server has a new location."""
        if connection.usable and self.upstreams.get(upstream.address) is upstream:
            upstream.idle.append(connection)
        else:
            self._close(upstream, connection)

    def _close(self, upstream: Upstream, connection: ClientConnection) -> None:
        upstream.open_connections -= 1
        self.open_connections -= 1
        connection.close()

    def _close_longest_idle(self) -> bool:
        """Close the longest-idle connection to any server; return False if no connection is idle."""
        with_idle = [upstream for upstream in self.upstreams.values() if upstream.idle]
        if not with_idle:
            return False
        upstream = min(with_idle, key=lambda candidate: candidate.idle[0].used_at)
        self._close(upstream, upstream.idle.popleft())
        return True

    def _close_all_idle(self, upstream: Upstream) -> None:
        while upstream.idle:
            self._close(upstream, upstream.idle.popleft())

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Close the idle connections to a server, so that it can accept connections from other instances."""
        self.close_idle(server.address)

    def close_idle(self, address: bytes) -> None:
        """Close the idle connections to a server, if it has any."""
        upstream = self.upstreams.get(address)
        if upstream is not None:
            self._close_all_idle(upstream)

    def sweep(self) -> None:
        """Run forever: close connections idle for too long, and drop the entries of unconnected servers."""
        while True:
            self.loop.sleep(SWEEP_INTERVAL)
            now = self.loop.now()
            oldest_use = now - self.idle_timeout.safe_idle_time(now)
            for upstream in tuple(self.upstreams.values()):
                idle = upstream.idle
                while idle and (idle[0].used_at < oldest_use or idle[0].stale()):
                    self._close(upstream, idle.popleft())
                # New servers get new addresses, so the entries of old servers would accumulate.
                if not upstream.open_connections:
                    del self.upstreams[upstream.address]
