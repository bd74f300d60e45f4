"""Reads the platform's configuration file into the settings that an instance runs by.

What the file does not say follows from its limits: the descriptors that the process may have open are shared out
between clients and servers.
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
from stepsail.platform.json_fields import parse_address, require, require_integer
from stepsail.settings.flat_settings import FlatSettings, flatten_json, read_router_settings
from stepsail.settings.model import InstanceSettings, Route

REREAD_INTERVAL = 0.2  # s between two reads of a file that cannot be read, as while it is being replaced
RESERVED_DESCRIPTORS = 32  # for logs, listener, signals, discovery, release control and its votes
CLIENT_CONNECTION_SHARE = 0.55  # of the other descriptors: clients come in crowds, so they get more than half
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536  # no body of the protocol is larger
MAX_BUFFERED_BYTES = 1 << 62  # no limit: bodies are never streamed
CLIENT_IDLE_TIMEOUT = 5.0  # s
EVICTABLE_IDLE_TIME = 2.0  # s after which an idle client makes room for a new one
FIRST_REQUEST_TIMEOUT = 2.2  # s from connecting to a whole request; invalid ones have to end within 3 s
CLIENT_READ_TIMEOUT = 2.0  # s for each later request
CONNECTION_REST = (
    0.025  # s before a server's connection is used again, as a second answer may follow the first
)
IDLE_CONNECTION_SHARE = 0.6  # of the servers' idle timeout for which an idle connection is still used
SHUTDOWN_TIMEOUT_BEYOND_REQUESTS = 0.7  # s beyond the longest client timeout
LONGEST_COUNTED_CLIENT_TIMEOUT = 3.0  # s of a client timeout that the shutdown waits for
SHUTDOWN_MARGIN = 0.05  # s before the platform kills the process


@dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """One instance's configuration.

    Attributes:
        settings: The settings that all packages share.
        release_state: State of the newest build, as a message of release control; None if there is none.
        cached_list: Endpoint list from before the start, as a message of discovery; None if there is none.
        load_reports: Whether servers report their load.
    """

    settings: InstanceSettings
    release_state: Any
    cached_list: Any
    load_reports: bool


def read_configuration(environ: Mapping[str, str]) -> PlatformConfiguration:
    """Read the file that the environment names.

    Raises:
        InvalidConfiguration: There is none, or it cannot be used.
    """
    file = environ.get(wire_names.CONFIGURATION_VARIABLE, "")
    if not file:
        raise InvalidConfiguration(wire_names.CONFIGURATION_VARIABLE, "expected a file's name, found nothing")
    try:
        content = msgspec.json.decode(Path(file).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidConfiguration(file, str(error)) from None
    if not isinstance(content, dict):
        raise InvalidConfiguration(file, f"expected an object, found {type(content).__name__}")
    try:
        return _parse(content, environ)
    except InvalidField as error:
        raise InvalidConfiguration(file, str(error)) from None
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidConfiguration(file, f"{wire_names.CONFIG_SETTINGS}: {error!r}") from None


def _parse(content: dict[str, Any], environ: Mapping[str, str]) -> PlatformConfiguration:
    pairs = flatten_json(require(content, wire_names.CONFIG_SETTINGS, dict))
    flat = FlatSettings(pairs)
    router = read_router_settings(pairs)
    if not router.request_classes or router.zone >= len(flat.texts("Zones")):
        raise InvalidField(
            wire_names.CONFIG_SETTINGS, "request classes, and a zone among the zones", "neither or one"
        )
    release_control = require(content, wire_names.CONFIG_RELEASE_CONTROL, dict)
    return PlatformConfiguration(
        settings=_instance_settings(content, environ, flat, router),
        release_state=release_control.get(wire_names.CONFIG_RELEASE_STATE),
        cached_list=content.get(wire_names.CONFIG_CACHED_LIST),
        load_reports=flat.text("Stats.Source") not in ("", "none"),
    )


def _instance_settings(
    content: dict[str, Any], environ: Mapping[str, str], flat: FlatSettings, router: RouterSettings
) -> InstanceSettings:
    """Build the settings, one field a line."""
    release_control = require(content, wire_names.CONFIG_RELEASE_CONTROL, dict)
    descriptors = _usable_descriptors(content)
    client_connections = int(descriptors * CLIENT_CONNECTION_SHARE)
    server_connections = descriptors - client_connections
    class_names = tuple(flat.text(f"Lanes.{c.index}.Name") for c in router.request_classes)
    seed = require(content, wire_names.CONFIG_SEED, str)
    return InstanceSettings(
        router=router,
        class_names=class_names,
        zones=flat.texts("Zones"),
        tenant_names=tuple(flat.text(f"Realms.{at}.Name") for at in range(flat.integer("Realms.count"))),
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
        max_in_flight=min(client_connections, flat.integer("Limits.MaxOpen") or client_connections),
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
        unwatched_list_ttl=flat.seconds("Rules.AskWithinMs"),
    )


def _usable_descriptors(content: dict[str, Any]) -> int:
    """Count the descriptors left for connections of clients and to servers."""
    limit = require_integer(content.get(wire_names.CONFIG_LIMITS), wire_names.CONFIG_SOCKET_LIMIT)
    return max(2 * RESERVED_DESCRIPTORS, limit - RESERVED_DESCRIPTORS)


def _routes(router: RouterSettings, class_names: tuple[str, ...]) -> tuple[Route, ...]:
    """Map the first part of a path to the request class of that name."""
    return tuple(
        Route(
            method="GET" if request_class.idempotency is Idempotency.IDEMPOTENT else "POST",
            path=f"/{name}",
            class_index=request_class.index,
        )
        for request_class, name in zip(router.request_classes, class_names, strict=True)
    )


def _shutdown_timeout(router: RouterSettings) -> float:
    """Let requests that came just before the stop signal use their time, and end before the platform kills."""
    longest = max(request_class.client_timeout for request_class in router.request_classes)
    return SHUTDOWN_TIMEOUT_BEYOND_REQUESTS - SHUTDOWN_MARGIN + min(LONGEST_COUNTED_CLIENT_TIMEOUT, longest)
