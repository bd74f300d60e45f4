"""Flat settings: pairs of a dotted path and a text, as the simulator and the platform pass them.

The simulator and the platform use the same paths. Only this module maps these paths to the router's settings.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from stepsail.decisions.interface import (
    DeduplicationScope,
    Idempotency,
    PromotionControl,
    RequestClass,
    RouterSettings,
)

MS_PER_S = 1000.0
IDEMPOTENCY = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NON_IDEMPOTENT,
}
PROMOTION_CONTROLS = {
    "first_voice": PromotionControl.ANY_VOTE,
    "by_count": PromotionControl.VOTE_SHARE,
    "automatic": PromotionControl.TIMER,
}


class FlatSettings:
    """Gives typed access to flat settings; the value at an absent path is empty, zero or false."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str = "") -> str:
        """Return the text at a path."""
        return self.pairs.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        """Return the number at a path."""
        return float(self.pairs.get(path) or default)

    def seconds(self, path: str) -> float:
        """Return the time at a path in seconds; the text at the path is in milliseconds."""
        return self.number(path) / MS_PER_S

    def integer(self, path: str) -> int:
        """Return the integer at a path."""
        return int(self.number(path))

    def flag(self, path: str) -> bool:
        """Return whether the text at a path is `true`."""
        return self.text(path) == "true"

    def texts(self, path: str) -> tuple[str, ...]:
        """Return the comma-separated texts at a path."""
        return tuple(text for text in self.text(path).split(",") if text)

    def numbers(self, path: str) -> tuple[float, ...]:
        """Return the comma-separated numbers at a path."""
        return tuple(float(text) for text in self.texts(path))


def parse_pairs(text: str) -> dict[str, str]:
    """Parse the simulator's form of flat settings, a text with one `path=value` per line, into pairs."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_json(value: Any, path: str = "") -> dict[str, str]:
    """Flatten the platform's nested JSON value into the pairs that the simulator would write."""
    if isinstance(value, dict):
        return _flatten_mapping(value, path)
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        pairs = {f"{path}.count": str(len(value))}
        for index, item in enumerate(value):
            pairs |= flatten_json(item, f"{path}.{index}")
        return pairs
    if isinstance(value, list):
        return {path: ",".join(_format_scalar(item) for item in value)}
    return {} if value is None else {path: _format_scalar(value)}


def _flatten_mapping(mapping: dict[str, Any], path: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for name, value in mapping.items():
        pairs |= flatten_json(value, f"{path}.{name}" if path else str(name))
    return pairs


def _format_scalar(value: Any) -> str:
    """Format a single value in the simulator's form.

    Spaces and commas become underscores, because they separate values in the simulator's form.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    return re.sub("[ ,]", "_", value) if isinstance(value, str) else str(value)


def read_router_settings(pairs: Mapping[str, str]) -> RouterSettings:
    """Build the router's settings from flat settings; paths that are not read here are ignored."""
    flat = FlatSettings(pairs)
    tenants = range(flat.integer("Realms.count"))
    return RouterSettings(
        request_classes=tuple(_request_class(flat, index) for index in range(flat.integer("Lanes.count"))),
        instance_index=flat.integer("Me"),
        instance_count=flat.integer("Siblings"),
        zone=flat.integer("MyZone"),
        cross_zone_cost=flat.number("Tariffs.CrossZone"),
        health_check_cost=flat.number("Tariffs.Probe"),
        health_checks_allowed=flat.flag("Limits.Probing"),
        gossip_enabled=flat.flag("Limits.Peers"),
        cancel_allowed=flat.flag("Limits.Cancel"),
        hedging_allowed=flat.flag("Limits.SecondCopies"),
        max_attempts=flat.integer("Limits.MaxAttempts"),
        max_retry_after=flat.seconds("Limits.MaxRetryAfterMs") if flat.flag("Limits.RetryAfter") else 0.0,
        must_poll_endpoints=flat.text("RegistryMode") == "on_request",
        load_report_columns=flat.texts("Stats.Columns"),
        load_reports_by_health_check=flat.text("Stats.Source") == "probe",
        drain_grace=flat.seconds("Rules.StopSendingWithinMs"),
        slow_start_floor=flat.number("Rules.ColdFrom"),
        slow_start_duration=flat.seconds("Rules.ColdMs"),
        overload_multiple=flat.number("Rules.FallMultiple", 1.0),
        promotion_control=PROMOTION_CONTROLS.get(flat.text("Domain.DecidedBy"), PromotionControl.ANY_VOTE),
        replaces_servers=flat.text("Domain.ReplaceMode") == "replace",
        bake_time=flat.seconds("Domain.BakeMs"),
        stage_shares=flat.numbers("Domain.Shares") or (1.0,),
        exposure_limits=flat.numbers("Domain.MostShares") or (0.0,),
        idempotent_only_stages=flat.integer("Domain.ClosedStages"),
        sticky_keys=flat.flag("Domain.OneWay"),
        exposure_per_class=flat.text("Domain.CountedBy") == "each_class",
        burst_allowance=flat.number("Domain.Uncounted"),
        exposure_window=flat.seconds("Domain.CountedOverMs"),
        vote_ttl=flat.seconds("Domain.VoteStandsMs"),
        idle_timeout=flat.seconds("Limits.ConnIdleMs"),
        connect_timeout=flat.seconds("Limits.ConnectTimeoutMs"),
        key_affinity=flat.flag("Domain.WarmKeys"),
        vote_timeout=flat.seconds("Domain.ApiTimeoutMs"),
        vote_rate_limit=flat.number("Domain.VoteAllowance"),
        tenant_shares=tuple(flat.number(f"Realms.{index}.Share") for index in tenants),
        tenant_quotas=tuple(flat.number(f"Realms.{index}.QuotaPerS") for index in tenants),
    )


def _request_class(flat: FlatSettings, index: int) -> RequestClass:
    path = f"Lanes.{index}."
    return RequestClass(
        index=index,
        latency_objective=flat.seconds(path + "PromiseMs"),
        client_timeout=flat.seconds(path + "DeadlineMs"),
        priority_weight=flat.number(path + "Worth"),
        late_weight_share=flat.number(path + "LateWorth"),
        idempotency=IDEMPOTENCY.get(flat.text(path + "Idempotency"), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=DeduplicationScope(flat.text(path + "DedupScope", "cell") or "cell"),
        key_window=flat.seconds(path + "WindowMs"),
    )
