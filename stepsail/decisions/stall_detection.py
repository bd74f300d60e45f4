"""Detects stalled request classes and tenants, which are late at all servers while others are in time.

A stalled class looks like a bad build, slow servers and overload at the same time. Its outcomes are excluded
from all other decisions, and only a few of its requests are forwarded, to detect the end of the stall.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from stepsail.decisions.averages import DecayingMean
from stepsail.decisions.histogram import EDGES, OVERDUE
from stepsail.decisions.interface import RequestClass, RouterHost

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

MIN_STALLED_LATE_SHARE = 0.6  # share of late outcomes above which a class may be stalled
RECOVERED_LATE_SHARE = 0.3  # share of late outcomes at or below which a stall is over
LATE_SHARE_FACTOR = 3  # multiple of the others' late share; in overload all classes are equally late
MIN_OTHER_OUTCOMES = 8  # weight of the others' outcomes that suffices for a comparison
STALL_TTL = 6.0  # s from the last outcome that showed the stall
REPORT_TTL = 2.5  # s from a judge's last report of the stall


class StallDetector:
    """Detects whether one class or one tenant is stalled, from its outcomes and those of all others."""

    def __init__(self, host: RouterHost) -> None:
        self.host = host
        self.own_late_share = DecayingMean(0.0)
        self.other_late_share = DecayingMean(0.0)
        self.found_until = 0.0
        self.reported_until = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the class or tenant is stalled, by outcomes counted here or by a judge's report."""
        return max(self.found_until, self.reported_until) > self.host.clock

    def found_locally(self) -> bool:
        """Whether the class or tenant is stalled by the outcomes that this instance has counted."""
        return self.found_until > self.host.clock

    def record(self, is_own: bool, is_late: bool) -> bool:
        """Count an outcome and return whether it shows a stall that was not found before.

        Args:
            is_own: Whether the outcome is of this class or tenant, rather than of another one.
            is_late: Whether it came after the latency objective.
        """
        (self.own_late_share if is_own else self.other_late_share).add(1.0 if is_late else 0.0)
        was_found = self.found_locally()
        late_share = self.own_late_share.mean()
        is_outlier = self.other_late_share.count >= MIN_OTHER_OUTCOMES and late_share > max(
            MIN_STALLED_LATE_SHARE, LATE_SHARE_FACTOR * self.other_late_share.mean()
        )
        if (is_own and is_late and was_found) or (is_outlier and not was_found):
            self.found_until = self.host.clock + STALL_TTL
        elif late_share <= RECOVERED_LATE_SHARE:
            self.found_until = 0.0
        return self.found_locally() and not was_found


class StallDetection:
    """All stall detectors of one instance.

    There is one for each class, followed by one for each tenant and one for all unknown tenants.
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        # Created at the first request; outcomes from peers before that are not counted.
        self.detectors: list[StallDetector] = []

    def detectors_for(self, class_index: int, tenant_index: int) -> tuple[StallDetector, StallDetector]:
        """Return the detectors for the class and the tenant of a request."""
        settings = self.router.settings
        if not self.detectors:
            count = len(settings.request_classes) + len(settings.tenant_shares) + 1
            self.detectors = [StallDetector(self.router.host) for _ in range(count)]
        return self.detectors[class_index], self.detectors[len(settings.request_classes) + tenant_index]

    def any_stalled(self) -> bool:
        """Whether any class or tenant is stalled."""
        return any(d.stalled for d in self.detectors)

    def class_detectors(self) -> list[StallDetector]:
        """Return the detectors of all classes, by class index."""
        return self.detectors[: len(self.router.settings.request_classes)]

    def locally_stalled_classes(self) -> list[int]:
        """Return the indices of the classes that are stalled by the outcomes counted here."""
        return [index for index, detector in enumerate(self.class_detectors()) if detector.found_locally()]

    def record(
        self, detectors: Sequence[StallDetector], matching: Sequence[StallDetector], is_late: bool
    ) -> None:
        """Count an outcome in some detectors.

        If it shows a new stall, all evidence gathered so far is discarded, as the stall has caused it.

        Args:
            detectors: The detectors that count the outcome.
            matching: Those of the outcome's own class and tenant.
            is_late: Whether the outcome came after the latency objective.
        """
        if any([detector.record(detector in matching, is_late) for detector in detectors]):
            self.router.discard_evidence()
            self.router.gossip.send_at = 0.0

    def record_local(self, matching: Sequence[StallDetector], is_late: bool) -> None:
        """Count an outcome of this instance's own attempts.

        All detectors count it; while its class or tenant is stalled, only the detector of that one does.
        """
        self.record([d for d in matching if d.stalled] or self.detectors, matching, is_late)

    def record_from_peer(self, class_index: int, bin_index: int) -> None:
        """Count an outcome that a peer has reported.

        The report names no tenant. Where there are several tenants, it is ignored, as a single stalled tenant
        would make its class look stalled. A late answer is ignored as well, as its attempt was reported when
        it became overdue.
        """
        settings = self.router.settings
        if len(settings.tenant_shares) > 1 or _is_late_answer(
            settings.request_classes[class_index], bin_index
        ):
            return
        matching = self.detectors[class_index : class_index + 1]
        counting = [d for d in matching if d.found_locally()] or [
            d for d in self.class_detectors() if not d.found_locally()
        ]
        self.record(counting, matching, bin_index == OVERDUE)

    def report_received(self, class_indices: Sequence[int]) -> None:
        """Mark the classes that a judge reports as stalled.

        A single instance sees too few outcomes to detect a stall in time.
        """
        for index, detector in enumerate(self.class_detectors()):
            if index in class_indices:
                if not detector.stalled:
                    self.router.discard_evidence()
                detector.reported_until = self.router.host.clock + REPORT_TTL


def _is_late_answer(request_class: RequestClass, bin_index: int) -> bool:
    objective = request_class.latency_objective / request_class.client_timeout
    return 0 < bin_index <= len(EDGES) and EDGES[bin_index - 1] >= objective
