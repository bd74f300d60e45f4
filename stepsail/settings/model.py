"""The typed settings of a running instance, independent of the form from which they were read."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from stepsail.decisions.interface import RouterSettings

Address = tuple[str, int]  # host and port
# Longest name of a zone in characters. Membership messages have no room for a longer name.
MAX_ZONE_NAME_LENGTH = 64


def address_of(text: str) -> Address:
    """Return the host and the port of a valid HOST:PORT text."""
    host, port = text.rsplit(":", 1)
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests with a method and a path prefix to a request class.

    Attributes:
        method: HTTP method of the requests.
        path: Prefix of the requests' paths.
        class_index: Index of the request class.
    """

    method: str
    path: str
    class_index: int


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How an instance takes part in the fleet's membership.

    Attributes:
        listen_address: Address on which the instance receives messages.
        advertised_address: Address at which the other instances reach this instance.
        seeds: Addresses of some other instances, for joining the membership.
        probe_period: Time in seconds between two probes of members; 0 means the default period.
        cluster_name: Name of the fleet; messages of other fleets are ignored.
        used_by_router: Whether the router uses the current members, not the configured number of instances.
        carries_gossip: Whether outcomes of attempts are also sent to the members as gossip.
    """

    listen_address: Address
    advertised_address: Address
    seeds: tuple[Address, ...]
    probe_period: float
    cluster_name: str
    used_by_router: bool = True
    carries_gossip: bool = False


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """How instances agree on policy changes.

    Attributes:
        voters: Addresses of the instances that vote on changes, by instance number.
        folder: Folder of this instance's log of changes; None if it is not a voter.
    """

    voters: dict[int, Address]
    folder: Path | None


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """All settings of one instance. Times are in seconds, sizes in bytes.

    Attributes:
        router: Settings of the router.
        class_names: Names of the request classes, in the router's order.
        zones: Names of the zones, in the router's order.
        tenant_names: Names of the tenants, in the router's order.
        routes: Routes that assign requests to request classes.
        listen: Address on which clients connect.
        release_control_address: Address of release control.
        discovery_address: Address of endpoint discovery.
        endpoint_cache_file: File that caches the endpoint list across a restart; None: no cache.
        gossip_address: Address on which gossip from peers is received; None: no such address.
        peer_addresses: Addresses to which gossip is sent, by the peers' instance numbers.
        seed: Seed of random choices; None means that a seed is drawn at each start.
        max_connections_per_server: Maximum number of connections to one server.
        connect_timeout: Longest time for establishing a connection to a server.
        answer_slack: Time before the client's deadline by which the router has to answer.
        max_client_connections: Maximum number of client connections at a time.
        max_in_flight: Maximum number of requests in flight at a time.
        max_head_bytes: Maximum size of a message's head.
        max_body_bytes: Maximum size of a message's body.
        max_buffered_bytes: Size up to which a body is buffered as a whole; larger bodies are streamed.
        client_idle_timeout: Time after which an idle client connection is closed.
        client_read_timeout: Longest time from a request's first byte to its last.
        tenant_header: Name of the request header with the tenant's name.
        key_header: Name of the request header with the sticky key.
        key_secret: Secret with which sticky keys are hashed; if empty, a secret is drawn at each start.
        shutdown_timeout: Longest time for answering the requests in flight after a stop signal.
        log_format: "json" or "console".
        log_level: Minimum level of the lines that are logged.
        trail_folder: Folder of the audit trail; None: no trail is written.
        trail_durability: What a record of the trail survives: "process-crash", "power-loss" or
            "power-loss-each".
        trail_full_policy: While the trail cannot be written, "deny" rejects requests and "go-on" serves them.
        trail_commit_interval: Longest time that writing a record of the trail may take.
        trail_segment_bytes: Size of one file of the trail.
        trail_reserve_bytes: Disk space that is reserved for use when the disk is full.
        trail_max_age: Age at which sealed files of the trail are removed; 0: never.
        trail_max_bytes: Total size of the trail's files above which the oldest files are removed; 0: never.
        capture_folder: Folder of the captures; None: no captures are written.
        capture_max_bytes: Maximum total size of the segments of captures.
        capture_segment_bytes: Approximate size of one segment of a capture.
        capture_max_age: Age at which segments of captures are removed.
        membership: How the instance takes part in the fleet's membership; None: it takes no part.
        policy: How instances agree on policy changes; None: there are no policy changes.
        max_server_connections: Maximum number of connections to all servers; 0: only the limit per server.
        connection_reuse_delay: Time for which a connection to a server must be idle before it is reused.
        idle_connection_ttl: Idle time after which a connection to a server is not reused; 0: the router's
            idle timeout.
        first_request_timeout: Longest time from a client's connecting until its first request is
            complete; 0: the limit for any other request.
        unwatched_list_ttl: Time for which an endpoint list without a watch is used; 0: no separate limit.
        evictable_idle_time: Idle time after which a client connection may be closed to make room for a new
            connection; 0: never.
        max_total_buffered_bytes: Maximum number of bytes that all messages in progress hold together; 0: only
            the limits per connection.
    """

    router: RouterSettings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    tenant_names: tuple[str, ...]
    routes: tuple[Route, ...]
    listen: Address
    release_control_address: Address
    discovery_address: Address
    endpoint_cache_file: Path | None
    gossip_address: Address | None
    peer_addresses: dict[int, Address]
    seed: int | None
    max_connections_per_server: int
    connect_timeout: float
    answer_slack: float
    max_client_connections: int
    max_in_flight: int
    max_head_bytes: int
    max_body_bytes: int
    max_buffered_bytes: int
    client_idle_timeout: float
    client_read_timeout: float
    tenant_header: str
    key_header: str
    key_secret: bytes
    shutdown_timeout: float
    log_format: str
    log_level: str
    trail_folder: Path | None = None
    trail_durability: str = ""
    trail_full_policy: str = ""
    trail_commit_interval: float = 0.0
    trail_segment_bytes: int = 0
    trail_reserve_bytes: int = 0
    trail_max_age: float = 0.0
    trail_max_bytes: int = 0
    capture_folder: Path | None = None
    capture_max_bytes: int = 0
    capture_segment_bytes: int = 0
    capture_max_age: float = 0.0
    membership: MembershipSettings | None = None
    policy: PolicySettings | None = None
    max_server_connections: int = 0
    connection_reuse_delay: float = 0.0
    idle_connection_ttl: float = 0.0
    first_request_timeout: float = 0.0
    unwatched_list_ttl: float = 0.0
    evictable_idle_time: float = 0.0
    max_total_buffered_bytes: int = 0
