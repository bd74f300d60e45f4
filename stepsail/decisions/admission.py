"""This module limits the attempts in flight, and orders the requests that wait for capacity.

The concurrency limit is a congestion window: late answers shrink it, and answers within the latency objective
grow it. Waiting requests are sorted by the priority weight of their class divided by the usual latency of the
class, the highest first; among equals, the newest request comes first. Requests that the client has sent
before come after all others. `Request.dispatch` sheds requests that cannot be answered in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.averages import DecayingMean

if TYPE_CHECKING:
    from stepsail.decisions.attempt import Attempt
    from stepsail.decisions.request import Request
    from stepsail.decisions.router import Router

# Number of attempts that an instance may have in flight when it starts.
INITIAL_WINDOW = 4.0
# Largest step of the concurrency window. An answer in time grows the window by step / window.
MAX_WINDOW_STEP = 1.0
# Smallest step of the concurrency window. An answer in time grows the window by step / window.
MIN_WINDOW_STEP = 0.5
# Attempts of stalled classes and tenants that all instances together may have in flight per ready server.
MAX_STALLED_PER_SERVER = 0.5
# Share of a class's latency objective that is assumed as its usual latency before any latency is measured.
PRIOR_LATENCY_SHARE = 0.2


class Admission:
    """The concurrency window of one instance, and the requests that wait for capacity in it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.window = INITIAL_WINDOW  # number of attempts that may be in flight
        self.in_flight: list[Attempt] = []
        self.waiting: list[Request] = []
        # Usual latency in seconds, one mean per request class, at the index of the class.
        self.usual_latency = [
            DecayingMean(PRIOR_LATENCY_SHARE * c.latency_objective) for c in router.settings.request_classes
        ]

    def adjust_window(self, in_time: bool) -> None:
        """Shrink the window after a late answer; grow it after an answer in time.

        The window grows only if about half of it or more is in use. The new window is at least the number of
        ready servers divided by the number of instances, so that all instances together may have one attempt
        in flight for each ready server.
        """
        floor = self.router.servers_per_instance()
        if not in_time:
            self.window = max(floor, self.window - 1.0)
        elif 2 * len(self.in_flight) + 2 > self.window:
            step = max(MIN_WINDOW_STEP, min(MAX_WINDOW_STEP, floor)) / max(1.0, self.window)
            self.window = max(floor, self.window + step)

    def has_capacity(self, draw: float = 0.0) -> bool:
        """Return whether the window allows another attempt.

        If the window is below 1, an attempt is allowed only if the request's random draw is below the window.
        Attempts at ejected servers don't count against the window, nor do those of a stalled class or tenant.
        """
        # This check comes first so that the loop below over all attempts in flight is skipped where possible,
        # because that loop took a third of a busy instance's CPU time.
        if max(draw, len(self.in_flight)) < self.window:
            return True
        any_stalled = self.router.stalls.any_stalled()
        counted = sum(
            not (any_stalled and attempt.request.stalled)
            for attempt in self.in_flight
            if attempt.server.available()
        )
        return max(draw, counted) < self.window

    def may_dispatch_stalled(self, request: Request) -> bool:
        """Return whether a request of a stalled class or tenant may be dispatched.

        A request that has already had an attempt may be dispatched. So may a few other requests, so that the
        router finds out when the stall ends.
        """
        stalled = sum(attempt.request.stalled for attempt in self.in_flight)
        limit = MAX_STALLED_PER_SERVER * self.router.servers_per_instance()
        return bool(request.attempts) or max(request.draw, stalled) < limit

    def dispatch_waiting(self, dispatch_all: bool) -> None:
        """Dispatch waiting requests in order of priority while the window has capacity.

        With `dispatch_all`, every waiting request is dispatched, whatever the capacity. A request that
        `Request.dispatch` neither sends nor gives up is put back among the waiting requests.
        """
        queue = [request for request in self.waiting if not request.closed]
        self.waiting = []
        sort_ranks = [
            -c.priority_weight / self.usual_latency[c.index].mean()
            for c in self.router.settings.request_classes
        ]
        queue.sort(key=lambda r: (r.is_retry, sort_ranks[r.request_class.index], -r.arrived_at))
        while queue and (dispatch_all or self.has_capacity()):
            queue.pop(0).dispatch()
        self.waiting += queue
