"""Reads the platform's configuration file and converts it to an instance's settings.

The file contains no connection limits, only limits on open file descriptors and on memory. The connection
limits are derived by dividing the descriptors between connections from clients and connections to servers. The
memory limits the connections from clients, the requests in flight and what is buffered for them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from stepsail.decisions.interface import Idempotency, RouterSettings
from stepsail.platform import wire_names
from stepsail.platform.errors import InvalidConfiguration, InvalidField
from stepsail.platform.json_fields import parse_address, require, require_integer, require_number
from stepsail.platform.memory_limits import LEAST_MEMORY_MB, divide_memory
from stepsail.settings.flat_settings import FlatSettings, flatten_json, read_router_settings
from stepsail.settings.model import InstanceSettings, Route

# Time in seconds between two reads of an invalid configuration file, which may be about to be replaced.
REREAD_INTERVAL = 0.2
# Number of file descriptors reserved for logs, the listener, signals, calls to discovery and to release
# control, and votes sent to release control.
RESERVED_DESCRIPTORS = 32
# Share of the unreserved file descriptors that is used for connections from clients. It is more than half
# because clients connect in bursts.
CLIENT_CONNECTION_SHARE = 0.55
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536  # The platform's protocol allows no larger body.
MAX_BUFFERED_BYTES = 1 << 62  # In effect there is no limit: bodies are never streamed.
CLIENT_IDLE_TIMEOUT = 5.0  # seconds after which an idle client connection is closed
# Time in seconds after which an idle client connection may be closed to make room for a new connection.
EVICTABLE_IDLE_TIME = 2.0
# Longest time in seconds from the start of a client connection until its first request is complete. A
# connection without a valid request has to end within 3 s.
FIRST_REQUEST_TIMEOUT = 2.2
# Longest time in seconds until a request after the first of its connection is complete.
CLIENT_READ_TIMEOUT = 2.0
# Time in seconds that a connection to a server rests after a response before it is reused, because the
# server may send a second response after the first.
CONNECTION_REST = 0.025
# Share of the servers' idle timeout during which an idle connection to a server may still be reused.
IDLE_CONNECTION_SHARE = 0.6
# Time in seconds that the platform allows for a shutdown in addition to the longest client timeout.
SHUTDOWN_TIMEOUT_BEYOND_REQUESTS = 0.7
# Client timeout in seconds beyond which a longer client timeout does not prolong the shutdown.
LONGEST_COUNTED_CLIENT_TIMEOUT = 3.0
# Time in seconds by which the shutdown ends before the platform kills the process.
SHUTDOWN_MARGIN = 0.05


@dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """One instance's configuration.

    Attributes:
        settings: The instance's settings, in the form that is independent of the platform.
        release_state: Release state of the newest build, as a message of release control; None if the file
            contains no release state.
        cached_list: Endpoint list from before the start, as a message of discovery; None if the file
            contains no list.
        load_reports: Whether servers send load reports.
    """

    settings: InstanceSettings
    release_state: Any
    cached_list: Any
    load_reports: bool


def read_configuration(environ: Mapping[str, str], resident_bytes: int = 0) -> PlatformConfiguration:
    """Read the configuration file whose path is in the environment.

    Args:
        environ: The environment variables.
        resident_bytes: Memory that this process has resident without clients; 0 if it is not known.

    Raises:
        InvalidConfiguration: The environment names no file, or the file is unreadable or invalid.
    """
    file = environ.get(wire_names.CONFIGURATION_VARIABLE, "")
    if not file:
        raise InvalidConfiguration(
            wire_names.CONFIGURATION_VARIABLE, "expected the path of a file, found nothing"
        )
    try:
        content = msgspec.json.decode(Path(file).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidConfiguration(file, str(error)) from None
    if not isinstance(content, dict):
        raise InvalidConfiguration(file, f"expected an object, found {type(content).__name__}")
    try:
        return _parse(content, environ, resident_bytes)
    except InvalidField as error:
        raise InvalidConfiguration(file, str(error)) from None
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidConfiguration(file, f"{wire_names.CONFIG_SETTINGS}: {error!r}") from None


def _parse(content: dict[str, Any], environ: Mapping[str, str], resident_bytes: int) -> PlatformConfiguration:
    pairs = flatten_json(require(content, wire_names.CONFIG_SETTINGS, dict))
    flat = FlatSettings(pairs)
    router = read_router_settings(pairs)
    if not router.request_classes or router.zone >= len(flat.texts("Zones")):
        raise InvalidField(
            wire_names.CONFIG_SETTINGS,
            "request classes and the index of a listed zone",
            "only one or neither",
        )
    release_control = require(content, wire_names.CONFIG_RELEASE_CONTROL, dict)
    return PlatformConfiguration(
        settings=_instance_settings(content, environ, flat, router, resident_bytes),
        release_state=release_control.get(wire_names.CONFIG_RELEASE_STATE),
        cached_list=content.get(wire_names.CONFIG_CACHED_LIST),
        load_reports=flat.text("Stats.Source") not in ("", "none"),
    )


def _instance_settings(
    content: dict[str, Any],
    environ: Mapping[str, str],
    flat: FlatSettings,
    router: RouterSettings,
    resident_bytes: int,
) -> InstanceSettings:
    """Build the settings from the file, the environment and the router's settings."""
    release_control = require(content, wire_names.CONFIG_RELEASE_CONTROL, dict)
    descriptors = _usable_descriptors(content)
    client_descriptors = int(descriptors * CLIENT_CONNECTION_SHARE)
    memory = divide_memory(_memory_limit(content), resident_bytes)
    client_connections = min(client_descriptors, memory.client_connections)
    server_connections = min(descriptors - client_descriptors, memory.server_connections)
    max_in_flight = min(client_connections, memory.in_flight)
    class_names = tuple(
        flat.text(f"Lanes.{request_class.index}.Name") for request_class in router.request_classes
    )
    seed = require(content, wire_names.CONFIG_SEED, str)
    return InstanceSettings(
        router=router,
        class_names=class_names,
        zones=flat.texts("Zones"),
        tenant_names=tuple(
            flat.text(f"Realms.{index}.Name") for index in range(flat.integer("Realms.count"))
        ),
        routes=_routes(router, class_names),
        listen=parse_address(
            environ.get(wire_names.LISTEN_VARIABLE) or content.get(wire_names.CONFIG_LISTEN),
            wire_names.CONFIG_LISTEN,
        ),
        release_control_address=parse_address(
            release_control.get(wire_names.CONFIG_RELEASE_CONTROL_ADDRESS), wire_names.CONFIG_RELEASE_CONTROL
        ),
        discovery_address=parse_address(
            content.get(wire_names.CONFIG_DISCOVERY), wire_names.CONFIG_DISCOVERY
        ),
        endpoint_cache_file=None,
        gossip_address=None,
        peer_addresses={},
        seed=int(seed, 16) if seed else 0,
        max_connections_per_server=server_connections,
        connect_timeout=router.connect_timeout,
        answer_slack=flat.seconds("Rules.AnswerSlackMs"),
        max_client_connections=client_connections,
        max_in_flight=min(max_in_flight, flat.integer("Limits.MaxOpen") or max_in_flight),
        max_head_bytes=MAX_HEAD_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        max_buffered_bytes=MAX_BUFFERED_BYTES,
        client_idle_timeout=CLIENT_IDLE_TIMEOUT,
        client_read_timeout=CLIENT_READ_TIMEOUT,
        tenant_header="",
        key_header="",
        key_secret=b"",
        shutdown_timeout=_shutdown_timeout(router),
        log_format="json",
        log_level="info",
        max_server_connections=server_connections,
        connection_reuse_delay=CONNECTION_REST,
        idle_connection_ttl=IDLE_CONNECTION_SHARE * router.idle_timeout,
        first_request_timeout=FIRST_REQUEST_TIMEOUT,
        evictable_idle_time=EVICTABLE_IDLE_TIME,
        max_total_buffered_bytes=memory.buffered_bytes,
        unwatched_list_ttl=flat.seconds("Rules.AskWithinMs"),
    )


def _usable_descriptors(content: dict[str, Any]) -> int:
    """Return how many file descriptors are left for connections from clients and to servers."""
    limit = require_integer(content.get(wire_names.CONFIG_LIMITS), wire_names.CONFIG_SOCKET_LIMIT)
    return max(2 * RESERVED_DESCRIPTORS, limit - RESERVED_DESCRIPTORS)


def _memory_limit(content: dict[str, Any]) -> float:
    """Return the memory limit in megabytes."""
    limits = content.get(wire_names.CONFIG_LIMITS)
    if not isinstance(limits, dict) or wire_names.CONFIG_MEMORY_LIMIT not in limits:
        return LEAST_MEMORY_MB
    return require_number(limits, wire_names.CONFIG_MEMORY_LIMIT, 1)


def _routes(router: RouterSettings, class_names: tuple[str, ...]) -> tuple[Route, ...]:
    """Create a route for each request class; the route's path is the name of the class."""
    return tuple(
        Route(
            method="GET" if request_class.idempotency is Idempotency.IDEMPOTENT else "POST",
            path=f"/{name}",
            class_index=request_class.index,
        )
        for request_class, name in zip(router.request_classes, class_names, strict=True)
    )


def _shutdown_timeout(router: RouterSettings) -> float:
    """Return how long a shutdown may take, in seconds.

    Requests that arrived just before the stop signal can use their client timeout, and the shutdown ends
    before the platform kills the process.
    """
    longest = max(request_class.client_timeout for request_class in router.request_classes)
    return SHUTDOWN_TIMEOUT_BEYOND_REQUESTS - SHUTDOWN_MARGIN + min(LONGEST_COUNTED_CLIENT_TIMEOUT, longest)
