"""The router passes each event of the host to the module that decides on the event.

A host, as described in `stepsail/decisions/interface.py`, creates a `Router(settings, host, seed)`, and calls
the methods of the router and of the handles that the router returns. The router owns the objects of the other
decision modules, the timer between events and the random draws.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from math import inf
from zlib import crc32

from stepsail.decisions.admission import Admission
from stepsail.decisions.attempt import Attempt
from stepsail.decisions.canary import Canary
from stepsail.decisions.exposure import Exposure, ReleaseState
from stepsail.decisions.gossip import Gossip
from stepsail.decisions.histogram import FAILURE_BIN, OVERDUE, HistogramsByClass, LatencyHistogram
from stepsail.decisions.interface import (
    ReleasePhase,
    RouterHost,
    RouterSettings,
    Verdict,
    VoteReceipt,
)
from stepsail.decisions.observations import Observations
from stepsail.decisions.request import Request
from stepsail.decisions.selection import BAD_PATH_LATENCY_RATIO, ServerPool
from stepsail.decisions.server import EJECTION_THRESHOLD, Server
from stepsail.decisions.stall_detection import StallDetection
from stepsail.decisions.timing import CLOCK_MARGIN, TICK_INTERVAL, TICK_INTERVAL_WHILE_WAITING
from stepsail.decisions.voting import VotingRules

# Pause in seconds between two polls of service discovery for the endpoint list, before the pause grows.
INITIAL_POLL_PAUSE = 0.8
# Longest pause in seconds between two polls of service discovery for the endpoint list.
MAX_POLL_PAUSE = 4.0
# Factor by which each poll of service discovery lengthens the pause before the next poll, while no endpoint
# list is confirmed. The pause grows so that calls don't pile up at service discovery.
POLL_PAUSE_GROWTH = 1.5


class Router:
    """Makes all decisions of one instance; `RouterHandle` documents the events that it handles."""

    # Experiments override these two types in the routers that serve as baselines for comparison.
    pool_type: type[ServerPool] = ServerPool
    canary_type: type[Canary] = Canary

    def __init__(self, settings: RouterSettings, host: RouterHost, seed: int) -> None:
        self.settings = settings
        self.host = host
        self.seed = seed
        self.draws = 0  # number of random numbers drawn so far
        # This instance's index among the instances present, and the number of instances present. None while
        # the fleet's membership is unknown.
        self.fleet_position: tuple[int, int] | None = None
        self.pool = self.pool_type(self)
        self.stalls = StallDetection(self)
        self.admission = Admission(self)
        self.release = ReleaseState()
        self.exposure = Exposure(self)
        self.observations = Observations(self)
        self.gossip = Gossip(self)
        self.voting = VotingRules(self)
        self.canary: Canary | None = None
        self.next_tick_at = inf
        self.resumed_at = 0.0  # when this process last resumed after a pause
        self.list_confirmed = not settings.must_poll_endpoints
        self.poll_pause = INITIAL_POLL_PAUSE
        self._update_judges(range(settings.instance_count))
        self.ensure_endpoint_watch()

    def next_random(self) -> float:
        """Return the next random number, uniform in [0, 1), computed from the seed and a counter."""
        self.draws += 1
        return crc32(b"%d.%d" % (self.seed, self.draws)) / 2**32

    # -- the fleet ---------------------------------------------------------------------------------------

    def position(self) -> tuple[int, int]:
        """Return this instance's index among the instances present, and the number of instances present.

        While the fleet's membership is unknown, both numbers are taken from the settings.
        """
        return self.fleet_position or (self.settings.instance_index, max(1, self.settings.instance_count))

    def servers_per_instance(self) -> float:
        """Return the number of ready servers divided by the number of instances."""
        return len(self.pool.ready) / self.position()[1]

    def membership_changed(self, present: Sequence[int]) -> None:
        """Redistribute servers, votes and the judging of builds among the instances now present."""
        index = bisect_left(present, self.settings.instance_index)
        self.fleet_position = (index, max(1, len(present)))
        self._update_judges(present)

    def _update_judges(self, present: Sequence[int]) -> None:
        self.gossip.elect_judges(present)
        self.voting.update()

    # -- endpoints ---------------------------------------------------------------------------------------

    def add_server(self, address: bytes) -> Server:
        """Add a server that this router did not know before."""
        server = Server(self, address)
        self.pool.servers.append(server)
        return server

    def endpoint_list_received(self, is_complete: bool, is_cached: bool) -> None:
        """Update the server pool after all entries of an endpoint list were applied to their servers."""
        self.pool.endpoint_list_received(is_complete)
        if not is_cached:
            self.list_confirmed = True

    def endpoint_poll_failed(self) -> None:
        """Mark the endpoint list as unconfirmed, because a call to discovery for the list has failed."""
        self.list_confirmed = False

    def ensure_endpoint_watch(self) -> None:
        """Ask service discovery for the endpoint list if no list is confirmed.

        If service discovery must be polled, this method runs again after a pause.
        """
        if not self.list_confirmed:
            self.host.watch_endpoints()
            self.poll_pause = min(MAX_POLL_PAUSE, self.poll_pause * POLL_PAUSE_GROWTH)
        if self.settings.must_poll_endpoints:
            self.host.call_later(
                self.poll_pause * (0.75 + 0.5 * self.next_random()), self.ensure_endpoint_watch
            )

    # -- requests ----------------------------------------------------------------------------------------

    def accept_request(
        self,
        number: int,
        class_index: int,
        tenant_index: int,
        effort: float | None,
        deadline: float,
        key: int,
        is_retry: bool,
        age: float = 0.0,
    ) -> Request:
        """Accept a request and dispatch it."""
        request = Request(self, number, class_index, tenant_index, deadline, key, is_retry, age)
        self.exposure.window_for_class(request.request_class.index).accepted.add(request.arrived_at)
        self.pool.arrivals.add(request.arrived_at)
        request.dispatch()
        return request

    # -- the release -------------------------------------------------------------------------------------

    def release_state_received(
        self, age: float, exposure_limit: float, build: int, stage: int, phase: ReleasePhase
    ) -> None:
        """Apply the newest build's release state, whose stage or phase began `age` seconds ago."""
        release = self.release
        if build < release.build:
            return  # The message is outdated, because a newer build is known.
        if build > release.build:
            self.observations.new_build_offered()
        has_changed = (build, stage, phase) != (release.build, release.stage, release.phase)
        release.build = build
        release.stage = stage
        release.phase = phase
        release.limit = exposure_limit
        if has_changed:
            self.exposure.forget_unbound_keys()
            self._begin_stage(self.host.clock - age)
            self.schedule_tick(TICK_INTERVAL)

    def _begin_stage(self, started_at: float) -> None:
        """Start judging the build in a new stage or phase, if it is to be judged.

        A build on canary is judged. A build that this instance has judged on canary is also judged after its
        release.
        """
        release = self.release
        was_judged = self.canary is not None and self.canary.build == release.build
        is_judged = release.phase is ReleasePhase.CANARY or (
            was_judged and release.phase is ReleasePhase.RELEASED
        )
        if is_judged:
            self.canary = self.canary_type(self, release.build, release.stage, release.phase, started_at)
        else:
            self.canary = None

    def vote_acknowledged(self, receipt: VoteReceipt) -> None:
        """Pass release control's response to a vote on the build to the ballot that cast the vote."""
        if self.canary:
            self.canary.ballot.acknowledged(receipt)

    def release_counts_received(
        self, build: int, class_index: int, count: int, failed: int, mean_latency: float, age: float
    ) -> None:
        """Record release control's counts of a build's attempts and failures over the whole fleet.

        If instances exchange no gossip, these counts are the only fleet-wide data; else they are ignored.
        """
        if any(s.path_latency_ratio() >= BAD_PATH_LATENCY_RATIO for s in self.pool.ready):
            failed = 0  # The failures may be attempts that were lost on the network path with bad latency.
        if self.settings.gossip_enabled or class_index >= len(self.settings.request_classes):
            return
        if 0 <= failed <= count:
            self.observations.add_release_counts(build, class_index, count, failed)

    # -- evidence and gossip -----------------------------------------------------------------------------

    def observe(
        self, server: Server, build: int, class_index: int, bin_index: int, is_own: bool = True
    ) -> None:
        """Add an outcome that this instance or a peer observed to each histogram it is evidence for."""
        observations = self.observations
        canary = self.canary
        targets: list[HistogramsByClass] = [observations.recent, observations.newest]
        if canary is not None:
            if build < canary.build:
                targets += [canary.baseline, canary.long_baseline]
            elif build == canary.build:
                targets.append(canary.outcomes)
            if build == server.build:
                targets.append(server.outcomes)
        for histograms in targets:
            histograms.setdefault(class_index, LatencyHistogram()).add(bin_index)
        if is_own:
            self.gossip.add((server, build, class_index, bin_index))
        observations.changed = True

    def discard_evidence(self) -> None:
        """Discard all evidence on servers and builds, because neither of them caused the outcomes."""
        self.observations.discard_recent()
        for server in self.pool.servers:
            server.discard_evidence()
        if self.canary:
            self.canary.discard_evidence()

    def peer_outcome_received(self, server: Server, build: int, class_index: int, bin_index: int) -> None:
        """Record an outcome that a peer has reported, unless its class or its histogram bin is unknown."""
        is_known_bin = bin_index <= FAILURE_BIN or bin_index >= OVERDUE
        if class_index >= len(self.settings.request_classes) or not is_known_bin:
            return
        self.stalls.record_from_peer(class_index, bin_index)
        detectors = self.stalls.detectors
        if bin_index != OVERDUE and not (detectors and detectors[class_index].stalled):
            self.observe(server, build, class_index, bin_index, is_own=False)

    def peer_stalled_classes_received(self, peer: int, class_indices: Sequence[int]) -> None:
        """Apply a peer's report of stalled classes, if the peer is one of the fleet's judges."""
        if peer in self.gossip.judges:
            self.stalls.report_received(class_indices)

    def peer_verdict_received(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        """Apply a peer's verdict on a build; only verdicts of the fleet's judges count."""
        self.gossip.verdict_received(peer, build, stage, verdict)

    # -- the timer ---------------------------------------------------------------------------------------

    def schedule_tick(self, delay: float) -> None:
        """Schedule a tick after `delay` seconds, unless another tick is due no later than that."""
        if self.host.clock + delay < self.next_tick_at:
            self.next_tick_at = self.host.clock + delay
            self.host.call_later(delay, self.tick)

    def process_was_paused(self) -> bool:
        """Return whether this process has just resumed after a pause.

        Responses that the process reads right after a pause look slow, although they only waited to be read.
        """
        if self.host.clock > self.next_tick_at + TICK_INTERVAL:
            self.resumed_at = self.host.clock
        return self.resumed_at == self.host.clock

    def tick(self) -> None:
        """Check everything that changes with time: attempts, servers, waiting requests and the canary."""
        if self.host.clock < self.next_tick_at - CLOCK_MARGIN / 2:
            return  # An earlier tick has replaced this tick and has already run.
        process_was_paused = self.process_was_paused()
        self.next_tick_at = inf
        if not process_was_paused:
            self._record_overdue()
            self._eject_unresponsive_servers()
        self.observations.fade()
        self.admission.dispatch_waiting(True)
        if self.canary:
            self.canary.review()
        self.gossip.send_if_due()
        waiting = self.admission.waiting
        if waiting or self.admission.in_flight or self.canary or self.gossip.outbox:
            self.schedule_tick(TICK_INTERVAL_WHILE_WAITING if waiting else TICK_INTERVAL)

    def _record_overdue(self) -> None:
        """Count attempts in flight past the latency objective as late, without waiting for their end."""
        now = self.host.clock
        overdue = [attempt for attempt in self.admission.in_flight if attempt.overdue(now)]
        for attempt in overdue:
            request = attempt.request
            if attempt.server.path_latency_ratio() < BAD_PATH_LATENCY_RATIO:
                self.gossip.add((attempt.server, attempt.build, request.request_class.index, OVERDUE))
            request.record_for_stall_detection(attempt, True)

    def _eject_unresponsive_servers(self) -> None:
        """Eject unresponsive servers, and cancel the attempts at them that another server may take over.

        Attempts are cancelled only if the settings allow it, and only if the request may be sent elsewhere.
        """
        used = dict.fromkeys(attempt.server for attempt in self.admission.in_flight)
        for server in [s for s in used if s.unresponsive()]:
            server.record_failures(EJECTION_THRESHOLD)
            if self.settings.cancel_allowed:
                for attempt in list(server.attempts):
                    self._cancel_if_allowed(attempt)

    def _cancel_if_allowed(self, attempt: Attempt) -> None:
        request = attempt.request
        if request.may_cancel_attempts():
            self.host.cancel_attempt(request, request.attempts.index(attempt))
