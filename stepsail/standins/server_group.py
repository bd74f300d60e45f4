"""Properties shared by a run's stand-in servers: machine, request classes, slowdowns, idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ServerClass:
    """A request class as a server handles it; servers in the same `scope` share its idempotency keys."""

    name: str
    path: str
    mean_work: float  # s of one core
    idempotency: str
    scope: str = "all"
    key_window: float = 0.0


@dataclass
class ServerShape:
    """The machine of a server; times in seconds.

    A server crashes if it is sent more than `overload_multiple` times its current capacity over
    `overload_window` during its slow start.
    """

    cores: int = 3
    max_queue: int = 40
    slow_start_floor: float = 0.3
    slow_start_duration: float = 5.0
    overload_multiple: float = 3.0
    overload_window: float = 1.5
    report_interval: float = 0.3


@dataclass
class SharedConditions:
    """Conditions that slow all servers alike: factors of the time that work takes, and heavy requests."""

    slowdown: float = 1.0  # caused by a dependency that all servers share
    build_slowdown: float = 1.0  # caused by a build that slows all servers in proportion to its traffic
    heavy_share: float = 0.0  # share of the requests that are heavy
    heavy_factor: float = 1.0  # factor of a heavy request's work


@dataclass
class KeyStore:
    """The idempotency keys that a group of servers knows, with the time at which each was first run."""

    times: dict[str, float] = field(default_factory=dict)


@dataclass
class ServerGroup:
    """The machine, request classes, conditions and idempotency keys that the servers of a run share."""

    shape: ServerShape
    classes: list[ServerClass]
    conditions: SharedConditions = field(default_factory=SharedConditions)
    key_stores: dict[str, KeyStore] = field(default_factory=dict)
