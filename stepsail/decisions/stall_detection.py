"""Detects stalled request classes and tenants.

The requests of a stalled class or tenant are late at all servers, while the requests of other classes or
tenants are answered in time. A stalled class looks like a bad build, slow servers and overload at the same
time. Its outcomes are therefore excluded from all other decisions, and only a few of its requests are
forwarded, to detect the end of the stall.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from stepsail.decisions.averages import DecayingMean
from stepsail.decisions.histogram import EDGES, OVERDUE
from stepsail.decisions.interface import RequestClass, RouterHost

if TYPE_CHECKING:
    from stepsail.decisions.router import Router

# A request class or tenant may be stalled if the share of its outcomes that are late is above this value.
MIN_STALLED_LATE_SHARE = 0.6
# A stall is over if the share of late outcomes of the class or tenant is at or below this value.
RECOVERED_LATE_SHARE = 0.3
# A class or tenant counts as stalled only if its share of late outcomes is more than this many times the
# share of all other classes or tenants. In overload, all request classes are equally late.
LATE_SHARE_FACTOR = 3
# A class or tenant is compared with all others only if the outcomes of the others have at least this weight.
MIN_OTHER_OUTCOMES = 8
# Seconds after the last outcome that showed a stall until the stall counts as over.
STALL_TTL = 6.0
# Seconds after a judge's last report of a stall until the report expires.
REPORT_TTL = 2.5


class StallDetector:
    """Detects whether one request class or one tenant is stalled.

    Its outcomes are compared with the outcomes of all other classes or tenants.
    """

    def __init__(self, host: RouterHost) -> None:
        self.host = host
        self.own_late_share = DecayingMean(0.0)
        self.other_late_share = DecayingMean(0.0)
        self.found_until = 0.0
        self.reported_until = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the class or tenant is stalled.

        Either the outcomes that this instance has counted show the stall, or a judge has reported the stall.
        """
        return max(self.found_until, self.reported_until) > self.host.clock

    def found_locally(self) -> bool:
        """Whether the class or tenant is stalled according to the outcomes that this instance has counted."""
        return self.found_until > self.host.clock

    def record(self, is_own: bool, is_late: bool) -> bool:
        """Count the outcome of an attempt and return whether it shows a stall that was not found before.

        Args:
            is_own: Whether the outcome belongs to the class or tenant of this detector, rather than to
                another class or tenant.
            is_late: Whether the outcome came after the latency objective.
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
    """All stall detectors of one router instance.

    There is one detector for each request class, followed by one detector for each tenant and one detector
    for all unknown tenants.
    """

    def __init__(self, router: Router) -> None:
        self.router = router
        # The stall detectors are created at the first request. Outcomes that peers report before the first
        # request are not counted.
        self.detectors: list[StallDetector] = []

    def detectors_for(self, class_index: int, tenant_index: int) -> tuple[StallDetector, StallDetector]:
        """Return the two stall detectors for the class and for the tenant of a request."""
        settings = self.router.settings
        if not self.detectors:
            count = len(settings.request_classes) + len(settings.tenant_shares) + 1
            self.detectors = [StallDetector(self.router.host) for _ in range(count)]
        return self.detectors[class_index], self.detectors[len(settings.request_classes) + tenant_index]

    def any_stalled(self) -> bool:
        """Whether any request class or tenant is stalled."""
        return any(d.stalled for d in self.detectors)

    def class_detectors(self) -> list[StallDetector]:
        """Return the stall detectors of all request classes, in the order of the class indices."""
        return self.detectors[: len(self.router.settings.request_classes)]

    def locally_stalled_classes(self) -> list[int]:
        """Return the indices of the classes that are stalled according to this instance's outcome counts."""
        return [index for index, detector in enumerate(self.class_detectors()) if detector.found_locally()]

    def record(
        self, detectors: Sequence[StallDetector], matching: Sequence[StallDetector], is_late: bool
    ) -> None:
        """Count the outcome of an attempt in the given stall detectors.

        If the outcome shows a new stall, all evidence about builds gathered so far is discarded, because the
        stall has caused this evidence.

        Args:
            detectors: The stall detectors that count the outcome.
            matching: The stall detectors of the outcome's own class and tenant.
            is_late: Whether the outcome came after the latency objective.
        """
        if any([detector.record(detector in matching, is_late) for detector in detectors]):
            self.router.discard_evidence()
            self.router.gossip.send_at = 0.0

    def record_local(self, matching: Sequence[StallDetector], is_late: bool) -> None:
        """Count an outcome of this instance's own attempts.

        While the class or tenant of the attempt is stalled, only the detector of the stalled class or tenant
        counts the outcome. Otherwise, all stall detectors count it.
        """
        self.record([d for d in matching if d.stalled] or self.detectors, matching, is_late)

    def record_from_peer(self, class_index: int, bin_index: int) -> None:
        """Count an outcome that a peer has reported.

        The report names no tenant. Where there are several tenants, the report is ignored, because a single
        stalled tenant would make its request class look stalled. The report of a late answer is ignored as
        well, because the attempt was already reported when it became overdue.
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
        """Mark the request classes as stalled that a judge has reported as stalled.

        Judges report stalls because a single instance sees too few outcomes to detect a stall in time.
        """
        for index, detector in enumerate(self.class_detectors()):
            if index in class_indices:
                if not detector.stalled:
                    self.router.discard_evidence()
                detector.reported_until = self.router.host.clock + REPORT_TTL


def _is_late_answer(request_class: RequestClass, bin_index: int) -> bool:
    objective = request_class.latency_objective / request_class.client_timeout
    return 0 < bin_index <= len(EDGES) and EDGES[bin_index - 1] >= objective
