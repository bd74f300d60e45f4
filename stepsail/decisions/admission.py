"""Limits the number of attempts in flight, and orders the requests that wait for capacity.

The concurrency limit is a congestion window: late answers shrink it, and answers within the latency objective
grow it. Waiting requests are dispatched by the priority weight of their class divided by its usual latency,
and the newest first; requests that a client has sent before come last. `Request.dispatch` sheds requests that
cannot be answered in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepsail.decisions.averages import DecayingMean

if TYPE_CHECKING:
    from stepsail.decisions.attempt import Attempt
    from stepsail.decisions.request import Request
    from stepsail.decisions.router import Router

INITIAL_WINDOW = 4.0  # attempts in flight
MAX_WINDOW_STEP = 1.0  # largest step; an answer in time grows the window by the step divided by the window
MIN_WINDOW_STEP = 0.5  # smallest step
MAX_STALLED_PER_SERVER = 0.5  # attempts in flight for stalled classes and tenants, over all instances
PRIOR_LATENCY_SHARE = 0.2  # share of the latency objective, assumed as usual latency before any is measured


class Admission:
    """The concurrency window of one instance, and the requests that wait for capacity in it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.window = INITIAL_WINDOW  # attempts that may be in flight
        self.in_flight: list[Attempt] = []
        self.waiting: list[Request] = []
        self.usual_latency = [
            DecayingMean(PRIOR_LATENCY_SHARE * c.latency_objective) for c in router.settings.request_classes
        ]  # s, by class index

    def adjust_window(self, in_time: bool) -> None:
        """Shrink the window after a late answer; grow it after an answer in time, if the window is in use.

        The window is at least this instance's share of the ready servers: over all instances, one attempt for
        each server.
        """
        floor = self.router.servers_per_instance()
        if not in_time:
            self.window = max(floor, self.window - 1.0)
        elif 2 * len(self.in_flight) + 2 > self.window:
            step = max(MIN_WINDOW_STEP, min(MAX_WINDOW_STEP, floor)) / max(1.0, self.window)
            self.window = max(floor, self.window + step)

    def has_capacity(self, draw: float = 0.0) -> bool:
        """Return whether the window allows another attempt.

        A window below 1 allows an attempt only if the request's random draw is below the window. Attempts at
        ejected servers don't count against the window, nor do attempts of a stalled class or tenant.
        """
        # This check comes before the loop over all attempts, which took a third of a busy instance's CPU.
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

        Those that have had an attempt may be, and a few others, to find out when the stall ends.
        """
        stalled = sum(attempt.request.stalled for attempt in self.in_flight)
        limit = MAX_STALLED_PER_SERVER * self.router.servers_per_instance()
        return bool(request.attempts) or max(request.draw, stalled) < limit

    def dispatch_waiting(self, dispatch_all: bool) -> None:
        """Dispatch waiting requests in order: with `dispatch_all` each one, else while there is capacity.

        A request that `Request.dispatch` can neither send nor give up goes back to the waiting ones.
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
