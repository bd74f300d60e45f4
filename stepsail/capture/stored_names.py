"""The names under which captures store the settings and state of a router, independent of names in the code.

The header of a segment has the router's settings under the names of the first format. A snapshot has the
objects of the router by class and attribute name. The tables here convert the names of earlier builds when a
snapshot is read.
"""

from __future__ import annotations

from math import inf
from typing import Any

import msgspec

from stepsail.decisions.interface import RouterSettings, Verdict

SETTINGS_FIELDS = {
    "request_classes": "products",
    "instance_index": "me",
    "instance_count": "umpires",
    "cross_zone_cost": "crossing_price",
    "health_check_cost": "probe_price",
    "health_checks_allowed": "probing",
    "gossip_enabled": "neighbours",
    "cancel_allowed": "may_withdraw",
    "hedging_allowed": "second_copies",
    "max_attempts": "most_relays",
    "max_retry_after": "longest_stay_away",
    "must_poll_endpoints": "must_ask",
    "load_report_columns": "report_columns",
    "load_reports_by_health_check": "reports_by_probe",
    "slow_start_floor": "cold_from",
    "slow_start_duration": "cold_for",
    "overload_multiple": "fall_multiple",
    "idle_timeout": "idle_for",
    "promotion_control": "control",
    "replaces_servers": "replaces",
    "bake_time": "bake",
    "stage_shares": "shares",
    "exposure_limits": "caps",
    "idempotent_only_stages": "guarded_stages",
    "sticky_keys": "one_way",
    "exposure_per_class": "by_product",
    "burst_allowance": "free",
    "exposure_window": "window",
    "vote_ttl": "vote_life",
    "vote_timeout": "vote_wait",
    "vote_rate_limit": "votes_per_s",
    "connect_timeout": "connect_wait",
    "key_affinity": "warm_keys",
}  # field of RouterSettings: its name in a capture, where the two differ
REQUEST_CLASS_FIELDS = {
    "latency_objective": "target",
    "client_timeout": "abandon",
    "priority_weight": "revenue",
    "late_weight_share": "late_share",
    "idempotency": "repeat",
    "deduplication_scope": "group",
    "key_window": "window",
}  # field of RequestClass: its name in a capture, where the two differ

# Snapshots of schema 1 have a single object for most of the router's state, with the old names in the tables
# below; those of schema 2 have the current classes. Any further change of a stored name needs a new schema
# number and tables of its own.
SNAPSHOT_SCHEMA = 2
RENAMED_CLASSES = {
    "Flow": "StallDetector",
    "Listed": "EndpointState",
    "Outcome": "AttemptOutcome",
    "Pace": "DecayingMean",
    "Panel": "Gossip",
    "Phase": "ReleasePhase",
    "Refusal": "RejectionReason",
    "Relay": "Attempt",
    "Sample": "LatencyHistogram",
    "Times": "TimestampWindow",
    "Transaction": "Request",
    "Trial": "Canary",
    "Umpire": "Router",
}
# For each stored class: the old and new names of the methods that timers call.
RENAMED_METHODS = {"Umpire": {"beat": "tick", "watch": "ensure_endpoint_watch"}}
TUPLES_TO_OBJECTS = {
    "Router": {"allowances": ("ExposureWindow", ("accepted", "sent"))},
}  # class: stored attribute, which is a list of tuples: the class that each tuple becomes, and its attributes
MOVED_ATTRIBUTES: dict[str, dict[str, tuple[str, dict[str, str]]]] = {
    "Router": {
        "pool": (
            "ServerPool",
            {
                "router": "",
                "servers": "servers",
                "ready": "ready",
                "list_number": "round",
                "arrivals": "taken",
                "zone_latency": "ways",
                "best_zone_latency": "best_way",
                "connect_failures": "connects",
                "refused_connects": "squeezed",
                "rejected_attempts": "crowded",
            },
        ),
        "stalls": ("StallDetection", {"router": "", "detectors": "flows"}),
        "admission": (
            "Admission",
            {
                "router": "",
                "window": "window",
                "in_flight": "open",
                "waiting": "waiting",
                "usual_latency": "usual",
            },
        ),
        "release": ("ReleaseState", {"build": "build", "stage": "stage", "phase": "phase", "limit": "cap"}),
        "exposure": (
            "Exposure",
            {"router": "", "started_at": "began", "windows": "allowances", "builds_by_key": "keys"},
        ),
        "observations": (
            "Observations",
            {
                "router": "",
                "normal": "panel.calm",
                "recent": "panel.lately",
                "newest": "panel.newest",
                "newest_until": "panel.newest_until",
                "next_fading_at": "panel.fade_at",
                "evidence_from": "panel.since",
                "counts_by_build": "panel.tallies",
                "changed": "panel.new",
            },
        ),
        "voting": (
            "VotingRules",
            {
                "router": "",
                "alpha": "panel.level",
                "may_promote": "panel.goes_on",
                "spread": "vote_spread",
            },
        ),
    },
    "Canary": {
        "ballot": (
            "Ballot",
            {
                "router": "umpire",
                "verdict": "verdict",
                "cast_at": "cast_at",
                "send_at": "ask_at",
                "paused_until": "hold_until",
            },
        ),
        "pause": (
            "PauseExperiment",
            {
                "router": "umpire",
                "started_at": "held_at",
                "drained": "clear",
                "latencies_before": "slow",
                "failed": "was_held",
                "times_helped": "helped",
                "promote_not_before": "sure_at",
            },
        ),
    },
}  # class: new attribute: class of the new object that it refers to, and the stored path of each value
DERIVED_ATTRIBUTES = {
    "ServerPool": {"host": "router.host", "settings": "router.charter"},
    "Exposure": {"host": "router.host", "settings": "router.charter", "release": "router.release"},
    "Server": {"pool": "umpire.pool", "host": "umpire.host", "settings": "umpire.charter"},
    "StallDetector": {"host": "umpire.host"},
}  # class: new attribute that refers to an existing object: the path to it by stored names
RENAMED_ATTRIBUTES = {
    "Attempt": {
        "transaction": "request",
        "at": "sent_at",
        "old_enough": "server_started",
        "opened": "opens_connection",
        "judged": "counted_for_stalls",
    },
    "Canary": {
        "umpire": "router",
        "began": "started_at",
        "fresh": "outcomes",
        "before": "baseline",
        "all_before": "long_baseline",
        "found": "finding",
    },
    "DecayingMean": {"n": "count"},
    "Gossip": {"umpire": "router", "words": "outbox", "tell_at": "send_at", "pools": "is_judge"},
    "LatencyHistogram": {"n": "count"},
    "Request": {
        "umpire": "router",
        "until": "deadline",
        "again": "is_retry",
        "taken": "arrived_at",
        "luck": "draw",
        "product": "request_class",
        "relays": "attempts",
        "usual": "usual_latency",
        "flows": "stall_detectors",
        "refusal": "rejection_reason",
    },
    "Router": {
        "charter": "settings",
        "told_place": "fleet_position",
        "panel": "gossip",
        "trial": "canary",
        "beat_at": "next_tick_at",
        "back_at": "resumed_at",
        "informed": "list_confirmed",
        "asking": "poll_pause",
    },
    "Server": {
        "umpire": "router",
        "round": "list_number",
        "since": "started_at",
        "heard_at": "last_response_at",
        "rest_until": "ejected_until",
        "silent": "failures",
        "queue": "reported_queue",
        "open_then": "attempts_at_report",
        "refused_at": "disconnected_at",
        "out": "attempts",
        "pace": "relative_latency",
        "seen": "outcomes",
    },
    "StallDetector": {
        "own": "own_late_share",
        "rest": "other_late_share",
        "told_until": "reported_until",
    },
}
DROPPED_ATTRIBUTES = {"StallDetector": ("umpire",)}
ADDED_ATTRIBUTES: dict[str, dict[str, Any]] = {
    "Attempt": {"counted_for_stalls": False, "ended": False, "may_have_run": True},
    "Ballot": {"verdict": Verdict.NONE},
    "Canary": {"finding": Verdict.NONE},
    "Observations": {"newest": {}, "newest_until": 0.0, "evidence_from": -inf},
    "PauseExperiment": {"drained": False, "latencies_before": {}, "failed": False, "times_helped": 0},
    "Request": {"rejection_reason": None, "stall_detectors": ()},
    "Router": {"fleet_position": None},
    "Server": {"reported_queue": inf, "disconnected_at": -inf},
    "ServerPool": {"best_zone_latency": 0.0, "refused_connects": 0.0, "rejected_attempts": 0.0},
    "StallDetection": {"detectors": []},
    "VotingRules": {"spread": 0.0},
}  # class: attribute: default for snapshots that were made before the attribute was added or first set


def stored_settings(settings: RouterSettings) -> dict[str, Any]:
    """Return the settings as they are stored in the header of a segment."""
    fields = msgspec.to_builtins(settings)
    classes = [
        _rename_fields(request_class, REQUEST_CLASS_FIELDS) for request_class in fields["request_classes"]
    ]
    return _rename_fields(fields | {"request_classes": classes}, SETTINGS_FIELDS)


def read_settings(stored: dict[str, Any]) -> RouterSettings:
    """Return the settings from a segment's header. Raises msgspec.ValidationError if a field is invalid."""
    fields = _rename_fields(stored, {name: field for field, name in SETTINGS_FIELDS.items()})
    names = {name: field for field, name in REQUEST_CLASS_FIELDS.items()}
    classes = [_rename_fields(request_class, names) for request_class in fields.get("request_classes", ())]
    return msgspec.convert(fields | {"request_classes": classes}, RouterSettings, strict=False)


def _rename_fields(fields: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in fields.items()}
