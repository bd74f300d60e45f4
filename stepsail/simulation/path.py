"""Properties of the path between two addresses of the simulated network."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

# Seconds until a lost segment is retransmitted: the minimum retransmission timeout of a common system.
RETRANSMIT_AFTER = 0.2


@dataclass
class Path:
    """Properties and state of a path. Times are one-way, in seconds; fractions are from 0 to 1.

    Attributes:
        latency: Minimum delay of a packet; the default is that of a path through one or two switches.
        jitter: Maximum random addition to the latency, as a fraction of it.
        loss: Probability that a datagram is lost or a segment is retransmitted.
        rate: Bytes per second for each connection and direction; 0 means no limit.
        client_reset_after: Bytes sent by the client after which a connection is reset; -1 means never.
        server_reset_after: The same for bytes sent by the server.
        is_cut: Nothing passes: deliveries on streams are held back and datagrams are lost.
        held_deliveries: Deliveries held back until the cut ends.
    """

    latency: float = 60e-6
    jitter: float = 0.5
    loss: float = 0.0
    rate: float = 0.0
    client_reset_after: int = -1
    server_reset_after: int = -1
    is_cut: bool = False
    held_deliveries: list[Callable[[], object]] = field(default_factory=list)
