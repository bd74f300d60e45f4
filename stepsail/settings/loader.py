"""Loads a settings file into the typed settings of an instance."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from stepsail.decisions.interface import (
    DeduplicationScope,
    Idempotency,
    PromotionControl,
    RequestClass,
    RouterSettings,
)
from stepsail.settings.consistency import check_consistency
from stepsail.settings.definitions import INSTANCE
from stepsail.settings.errors import InvalidSettings
from stepsail.settings.model import (
    InstanceSettings,
    MembershipSettings,
    PolicySettings,
    Route,
    address_of,
)
from stepsail.settings.process_definitions import CAPTURE, GOSSIP, LISTENER, MEMBERSHIP, POLICY, TRAIL
from stepsail.settings.reader import SettingsReader
from stepsail.settings.schema import with_defaults
from stepsail.settings.service_definitions import LIMITS, RELEASE, REQUEST_CLASS, SERVERS

# Maps the name of a load report's column in settings files to its name in the router's settings.
LOAD_REPORT_COLUMNS = {"queue": "q", "inflight": "rif", "util": "busy", "latency_ms": "lat_ms"}
NO_LOAD_REPORT = {"how": "answers", "columns": []}
DEFAULT_LOG_FORMAT = "json"
DEFAULT_LOG_LEVEL = "info"

Values = dict[str, Any]


def load_settings(file: Path) -> InstanceSettings:
    """Load a settings file.

    Raises:
        InvalidSettings: The file has errors; the exception lists all of them.
    """
    tree = SettingsReader(INSTANCE).read(file)
    check_consistency(tree)
    if tree.errors:
        raise InvalidSettings(tree.errors)
    return _instance_settings(with_defaults(INSTANCE, tree.values), file.parent)


def _instance_settings(top: Values, folder: Path) -> InstanceSettings:
    """Build an instance's settings from the top-level values; relative paths are resolved in `folder`."""
    servers = with_defaults(SERVERS, top["servers"] or {})
    limits = with_defaults(LIMITS, top["limits"] or {})
    listener = with_defaults(LISTENER, top["listener"] or {})
    gossip = with_defaults(GOSSIP, top["gossip"] or {})
    trail = with_defaults(TRAIL, top["trail"] or {})
    capture = with_defaults(CAPTURE, top["capture"] or {})
    membership = _membership(top["membership"]) if top["membership"] else None
    gossip_enabled = bool(top["gossip"] or (membership and membership.carries_gossip))
    log = top["log"] or {}
    return InstanceSettings(
        router=_router_settings(top, servers, limits, gossip_enabled),
        class_names=tuple(request_class["name"] for request_class in top["request_classes"]),
        zones=tuple(top["zones"]),
        tenant_names=tuple(tenant["name"] for tenant in top["tenants"] or []),
        routes=_routes(top["request_classes"]),
        listen=address_of(top["listen"]),
        release_control_address=address_of(top["release_control"]),
        discovery_address=address_of(top["discovery"]["address"]),
        endpoint_cache_file=_resolve_path(folder, top["discovery"], "keep"),
        gossip_address=address_of(top["gossip"]["address"]) if top["gossip"] else None,
        peer_addresses=_addresses_by_number(gossip["peers"]),
        seed=top["seed"],
        max_connections_per_server=servers["max_connections_per_server"],
        connect_timeout=servers["connect_timeout"],
        answer_slack=limits["answer_slack"],
        max_client_connections=listener["max_client_connections"],
        max_in_flight=listener["max_in_flight"],
        max_head_bytes=listener["max_head_bytes"],
        max_body_bytes=listener["max_body_bytes"],
        max_buffered_bytes=listener["max_buffered_bytes"],
        client_idle_timeout=listener["client_idle_timeout"],
        client_read_timeout=listener["client_read_timeout"],
        tenant_header=listener["tenant_header"],
        key_header=listener["key_header"],
        key_secret=(listener["key_secret"] or "").encode(),
        shutdown_timeout=top["shutdown_timeout"],
        log_format=log.get("form", DEFAULT_LOG_FORMAT),
        log_level=log.get("level", DEFAULT_LOG_LEVEL),
        trail_folder=_resolve_path(folder, top["trail"], "folder"),
        trail_durability=trail["durability"],
        trail_full_policy=trail["full_policy"],
        trail_commit_interval=trail["commit_interval"] if top["trail"] else 0.0,
        trail_segment_bytes=trail["segment_bytes"],
        trail_reserve_bytes=trail["reserve_bytes"],
        trail_max_age=trail["max_age"],
        trail_max_bytes=trail["max_bytes"],
        capture_folder=_resolve_path(folder, top["capture"], "folder"),
        capture_max_bytes=capture["max_bytes"],
        capture_segment_bytes=capture["segment_bytes"],
        capture_max_age=capture["max_age"],
        membership=membership,
        policy=_policy(top["policy"], folder) if top["policy"] else None,
    )


def _router_settings(top: Values, servers: Values, limits: Values, gossip_enabled: bool) -> RouterSettings:
    """Build the router's settings from the top-level values and the blocks `servers` and `limits`."""
    release = with_defaults(RELEASE, top["release"])
    load_report = servers["load_report"] or NO_LOAD_REPORT
    tenants = top["tenants"] or []
    return RouterSettings(
        request_classes=tuple(
            _request_class(index, values) for index, values in enumerate(top["request_classes"])
        ),
        instance_index=top["umpire"]["number"],
        instance_count=top["umpire"]["count"],
        zone=top["zones"].index(top["zone"]),
        cross_zone_cost=limits["cross_zone_cost"],
        health_check_cost=limits["health_check_cost"],
        health_checks_allowed=limits["health_checks_allowed"],
        gossip_enabled=gossip_enabled,
        cancel_allowed=limits["cancel_allowed"],
        hedging_allowed=limits["hedging_allowed"],
        max_attempts=limits["max_attempts"],
        max_retry_after=limits["max_retry_after"],
        must_poll_endpoints=top["discovery"]["how"] == "asked",
        load_report_columns=tuple(LOAD_REPORT_COLUMNS[column] for column in load_report["columns"]),
        load_reports_by_health_check=load_report["how"] == "probes",
        drain_grace=servers["drain_grace"],
        slow_start_floor=servers["slow_start_floor"],
        slow_start_duration=servers["slow_start_duration"],
        overload_multiple=servers["overload_multiple"],
        idle_timeout=servers["idle_timeout"],
        connect_timeout=servers["connect_timeout"],
        key_affinity=servers["key_affinity"],
        promotion_control=PromotionControl(release["promotion_control"]),
        replaces_servers=release["replaces_servers"],
        bake_time=release["bake_time"],
        stage_shares=tuple(stage["share"] for stage in release["stages"]),
        exposure_limits=tuple(stage["cap"] for stage in release["stages"]),
        idempotent_only_stages=release["idempotent_only_stages"],
        sticky_keys=release["sticky_keys"],
        exposure_per_class=release["exposure_counted_by"] == "product",
        burst_allowance=release["burst_allowance"],
        exposure_window=release["exposure_window"],
        vote_ttl=release["vote_ttl"],
        vote_timeout=release["vote_timeout"],
        vote_rate_limit=release["vote_rate_limit"],
        tenant_shares=tuple(tenant["share"] for tenant in tenants),
        tenant_quotas=tuple(tenant.get("quota", 0.0) for tenant in tenants),
    )


def _request_class(index: int, values: Values) -> RequestClass:
    fields = with_defaults(REQUEST_CLASS, values)
    idempotency = fields["idempotency"]
    return RequestClass(
        index=index,
        latency_objective=fields["latency_objective"],
        client_timeout=fields["client_timeout"],
        priority_weight=fields["priority_weight"],
        late_weight_share=fields["late_weight_share"],
        idempotency=Idempotency(idempotency["kind"]),
        deduplication_scope=DeduplicationScope(idempotency.get("group", "cell")),
        key_window=idempotency.get("window", 0.0),
    )


def _routes(request_classes: list[Values]) -> tuple[Route, ...]:
    return tuple(
        Route(route["method"], route["path"], index)
        for index, request_class in enumerate(request_classes)
        for route in request_class["route"]
    )


def _membership(values: Values) -> MembershipSettings:
    fields = with_defaults(MEMBERSHIP, values)
    listen_address = address_of(values["address"])
    return MembershipSettings(
        listen_address=listen_address,
        advertised_address=address_of(values["reached"]) if "reached" in values else listen_address,
        seeds=tuple(address_of(seed) for seed in fields["seeds"] or ()),
        probe_period=fields["probe_period"] or 0.0,
        cluster_name=fields["cluster_name"],
        used_by_router=fields["used_by_router"],
        carries_gossip=fields["carries_gossip"],
    )


def _policy(values: Values, folder: Path) -> PolicySettings:
    fields = with_defaults(POLICY, values)
    return PolicySettings(
        voters=_addresses_by_number(fields["voters"]),
        folder=folder / fields["folder"] if fields["folder"] is not None else None,
    )


def _addresses_by_number(entries: list[Values] | None) -> dict[int, tuple[str, int]]:
    return {entry["number"]: address_of(entry["address"]) for entry in entries or []}


def _resolve_path(folder: Path, values: Values | None, name: str) -> Path | None:
    """Return the path in a setting's values, resolved in the folder; None if the values contain no path."""
    if values is None or name not in values:
        return None
    return folder / str(values[name])
