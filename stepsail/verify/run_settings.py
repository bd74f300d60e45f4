"""Typed access to the settings of a run, which the transcript records."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from stepsail.verify.transcript_names import DeduplicationScope, Idempotency, Line


@dataclass(frozen=True)
class RequestClass:
    """The guarantees and weights of one request class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    key_window: float
    latency_objective: float
    priority_weight: float
    late_weight_share: float


class RunSettings:
    """The settings line of a transcript; a missing field raises KeyError at its first use."""

    def __init__(self, line: Line) -> None:
        self._line = line

    @cached_property
    def request_classes(self) -> dict[str, RequestClass]:
        """The request classes by name, in the order of the settings."""
        return {
            name: RequestClass(
                idempotency=Idempotency(fields["repeats"]),
                deduplication_scope=DeduplicationScope(fields["group"]),
                key_window=fields["window"],
                latency_objective=fields["target"],
                priority_weight=fields["revenue"],
                late_weight_share=fields["late_share"],
            )
            for name, fields in self._line["products"].items()
        }

    @cached_property
    def instance_zones(self) -> list[str]:
        """The zone of each instance, indexed by the instance's number."""
        zones: list[str] = self._line["umpire_zones"]
        return zones

    @cached_property
    def control_zone(self) -> str:
        """The zone in which release control and endpoint discovery run."""
        return str(self._line.get("home", self.instance_zones[0]))

    @cached_property
    def hedging_allowed(self) -> bool:
        """Whether a request may run on two servers at the same time."""
        return bool(self._line["second_copies"])

    @cached_property
    def drain_grace(self) -> float:
        """Seconds within which an instance must act on a notification."""
        return float(self._line["drain_grace"])

    @cached_property
    def slow_start_floor(self) -> float:
        """Share of its full capacity that a new server starts with."""
        return float(self._line["cold_from"])

    @cached_property
    def slow_start_duration(self) -> float:
        """Seconds until a new server reaches its full capacity."""
        return float(self._line["cold_for"])

    @cached_property
    def overload_multiple(self) -> float:
        """Load, as a multiple of its current capacity, above which a warming-up server fails."""
        return float(self._line["falls_at"])

    @cached_property
    def overload_window(self) -> float:
        """Seconds over which a server's load is summed."""
        return float(self._line["fall_for"])

    @cached_property
    def server_cores(self) -> int:
        """Number of cores of a server, which is the seconds of work that it completes per second."""
        return int(self._line["cores"])

    @cached_property
    def mean_work(self) -> float:
        """Mean work of a request, in seconds of one core."""
        return float(self._line["work"])

    @cached_property
    def exposure_window(self) -> float:
        """Seconds over which attempts at a canary are counted."""
        return float(self._line["window"])

    @cached_property
    def burst_allowance(self) -> float:
        """Attempts at a canary that are allowed in addition to its share of the requests."""
        return float(self._line["free"])

    @cached_property
    def first_exposure_limit(self) -> float:
        """Exposure limit of a canary that release control has not announced yet, as a share of requests."""
        return float(self._line["caps"][0])

    @cached_property
    def first_unrestricted_stage(self) -> int:
        """First stage in which a canary may receive requests that are not idempotent."""
        return int(self._line["guarded"])

    @cached_property
    def exposure_per_class(self) -> bool:
        """Whether exposure is counted separately for each request class."""
        return bool(self._line["by_product"])
