"""Limits the attempts that a build on canary may get within a sliding window (the exposure limit).

The exposure limit is a share of the requests that arrived within the window, plus a burst allowance. On sites
with sticky keys, once a build on canary has answered a request with some key, later requests with this key
are not routed to an earlier build unless the build is withdrawn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.averages import TimestampWindow
from stepsail.decisions.interface import Idempotency, ReleasePhase, Verdict
from stepsail.decisions.timing import CLOCK_MARGIN

if TYPE_CHECKING:
    from stepsail.decisions.request import Request
    from stepsail.decisions.router import Router

# Largest number of request arrival times that are kept for each request class.
MAX_REQUEST_TIMES = 4000
# If the exposure limit is 100%, only this share of the limit applies during the first window after a start of
# this process.
RESTART_LIMIT_SHARE = 0.8


class ReleaseState:
    """The release state of the newest build, as last reported by release control."""

    def __init__(self) -> None:
        self.build = -1  # number of the newest build; -1 until release control has reported a build
        self.stage = 0
        self.phase = ReleasePhase.RELEASED
        self.limit = 0.0  # exposure limit: the share of the requests that the newest build may get


class ExposureWindow:
    """The times of recently accepted requests and of attempts recently sent to builds on canary."""

    def __init__(self) -> None:
        self.accepted = TimestampWindow(maxlen=MAX_REQUEST_TIMES)
        self.sent = TimestampWindow()


class Exposure:
    """Decides whether a build on canary may get an attempt, and which builds may get requests with a key."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.host = router.host
        self.settings = router.settings
        self.release = router.release
        self.started_at = router.host.clock
        self.windows = [ExposureWindow() for _ in router.settings.request_classes]
        # For each bound key: the build that last answered a request with this key.
        self.builds_by_key: dict[int, int] = {}

    def window_for_class(self, class_index: int) -> ExposureWindow:
        """Return the window that counts a request class: its own window, or the one for all classes."""
        return self.windows[class_index if self.settings.exposure_per_class else 0]

    def is_canary(self, build: int) -> bool:
        """Whether a build is on canary.

        Until release control has reported a build, any build later than the earliest build among the ready
        servers counts as on canary.
        """
        release = self.release
        known_build = release.build
        if known_build < 0:
            known_build = min((s.build for s in self.router.pool.ready), default=build)
        return build > known_build or (build == release.build and release.phase is not ReleasePhase.RELEASED)

    def may_expose(self, request: Request, build: int) -> bool:
        """Whether one more attempt of a request may be sent to a build on canary."""
        settings = self.settings
        release = self.release
        is_newest = build == release.build
        stage = release.stage if is_newest else 0
        limit = release.limit if is_newest else settings.exposure_limits[0]
        request_class = request.request_class
        needs_idempotency = (
            stage < settings.idempotent_only_stages
            and request_class.idempotency is not Idempotency.IDEMPOTENT
        )
        window_start = self.host.clock - settings.exposure_window
        burst = settings.burst_allowance
        share = 1.0
        if window_start < self.started_at:
            # The attempts that an earlier run of this process sent within the window are unknown. They may
            # have used up the exposure limit and the burst allowance. An exposure limit of 100% means that
            # all servers run the canary. A share of this limit is then allowed, because otherwise all
            # requests would be rejected.
            burst = 0.0
            share = RESTART_LIMIT_SHARE if limit >= 1 else 0.0
        window = self.window_for_class(request_class.index)
        accepted = window.accepted.count_since(window_start + CLOCK_MARGIN)
        # An attempt counts at the time when it arrives at the server, which may be up to `drain_grace`
        # seconds after it was sent.
        sent = window.sent.count_since(window_start - CLOCK_MARGIN - settings.drain_grace)
        remaining = burst + share * limit * accepted - sent
        return not (needs_idempotency or self.withheld()) and limit > 0 and remaining >= 1

    def withheld(self) -> bool:
        """Whether the build on canary gets no attempts.

        If the servers of earlier builds can take over its load, the build gets no attempts while it is paused
        or is to be rolled back.
        """
        canary = self.router.canary
        is_rolling_back = self.release.phase is ReleasePhase.ROLLING_BACK
        is_rejected_or_paused = canary is not None and (
            canary.ballot.verdict is Verdict.ROLL_BACK or self.host.clock < canary.ballot.paused_until
        )
        return (is_rolling_back or is_rejected_or_paused) and self.router.pool.earlier_build_suffices()

    # -- sticky keys -------------------------------------------------------------------------------------

    def binds_keys(self, build: int) -> bool:
        """Whether earlier builds may get no more requests with a key once this build has answered the key.

        This holds for a build on canary and for any build later than the newest reported build.
        """
        release = self.release
        first_binding_build = release.build if release.phase is ReleasePhase.CANARY else release.build + 1
        return self.settings.sticky_keys and build >= first_binding_build

    def record_answer(self, key: int, build: int) -> None:
        """Bind a key to the build that answered a request with this key, if the build binds keys.

        Key 0 means that the request has no key.
        """
        if key and self.binds_keys(build):
            self.builds_by_key[key] = build

    def forget_unbound_keys(self) -> None:
        """Remove keys that are no longer bound to a build, after the state of the release has changed.

        Requests with a key that was bound to a withdrawn build may be routed to any build again. Once another
        build is offered, this applies to all keys.
        """
        self.builds_by_key = {
            key: build for key, build in self.builds_by_key.items() if self.binds_keys(build)
        }

    def earliest_allowed_build(self, key: int) -> int:
        """Return the earliest build that requests with a key may be routed to, or 0 for any build.

        Once a build is released, no request is routed to an earlier build on a site with sticky keys.
        """
        if not self.settings.sticky_keys:
            return 0
        released_build = self.release.build if self.release.phase is ReleasePhase.RELEASED else 0
        return max(released_build, self.builds_by_key.get(key, 0))
