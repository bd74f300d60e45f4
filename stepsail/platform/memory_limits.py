"""Derives from the memory limit of an instance how many connections, requests and bytes it may hold. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
# The least memory that the platform gives an instance; assumed if the configuration names no limit.
LEAST_MEMORY_MB = 32
# Memory of a started process, assumed if the system does not tell.
USUAL_RESIDENT_BYTES = 24_000_000
# What one connection of a client, one to a server, and one request in flight beside its connections take
# without the bytes of their messages.
BYTES_PER_CONNECTION = 11_000
BYTES_PER_SERVER_CONNECTION = 5_000
BYTES_PER_REQUEST = 14_000
# Shares of the memory that is left after the start. The rest is for the router, the endpoint list and what the
# allocator cannot return.
CONNECTION_SHARE = 0.5
SERVER_CONNECTION_SHARE = 0.1
REQUEST_SHARE = 0.15
BUFFER_SHARE = 0.15
# Least values, with which an instance whose limit is too low still serves.
MIN_CONNECTIONS = 32
MIN_SERVER_CONNECTIONS = 32
MIN_REQUESTS = 16
MIN_BUFFERED_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What an instance may hold at a time.

    Attributes:
        client_connections: Number of client connections.
        server_connections: Number of connections to all servers.
        in_flight: Number of requests in flight.
        buffered_bytes: Number of bytes of all messages in progress.
    """

    client_connections: int
    server_connections: int
    in_flight: int
    buffered_bytes: int


def divide_memory(memory_mb: float, resident_bytes: int) -> MemoryLimits:
    """Divide the memory that is left between connections, requests and the bytes of messages.

    Args:
        memory_mb: The memory limit of the process in megabytes.
        resident_bytes: Memory of the started process without clients; 0 if it is not known.
    """
    left = memory_mb * BYTES_PER_MB - (resident_bytes or USUAL_RESIDENT_BYTES)
    return MemoryLimits(
        client_connections=max(MIN_CONNECTIONS, int(left * CONNECTION_SHARE) // BYTES_PER_CONNECTION),
        server_connections=max(
            MIN_SERVER_CONNECTIONS, int(left * SERVER_CONNECTION_SHARE) // BYTES_PER_SERVER_CONNECTION
        ),
        in_flight=max(MIN_REQUESTS, int(left * REQUEST_SHARE) // BYTES_PER_REQUEST),
        buffered_bytes=max(MIN_BUFFERED_BYTES, int(left * BUFFER_SHARE)),
    )
