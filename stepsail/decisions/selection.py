"""This module selects the server of the next attempt by power of two choices among weighted servers.

Servers with open connections are preferred. An instance with few requests uses few servers, so that
connections stay open. Servers in slow start get no more than their slow-start share of the load. If servers
work faster for recently used keys (key affinity), requests with a key prefer the key's two home servers.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from heapq import nlargest
from itertools import accumulate
from math import ceil, log
from typing import TYPE_CHECKING
from zlib import crc32

from stepsail.decisions.averages import DecayingMean, TimestampWindow
from stepsail.decisions.interface import AttemptOutcome, EndpointState
from stepsail.decisions.server import Server

if TYPE_CHECKING:
    from stepsail.decisions.attempt import Attempt
    from stepsail.decisions.request import Request
    from stepsail.decisions.router import Router

# The cost of a key's home server is multiplied by this factor when it is compared with another server's cost.
HOME_COST_FACTOR = 0.7
HOME_SERVERS_PER_KEY = 2
# Least server weight by which a score is divided, so that there is no division by 0.
MIN_WEIGHT = 1e-9
# Least number of servers that an instance uses, however few requests it has.
MIN_SERVERS_USED = 4
# Number of attempts that a connection should carry within the idle timeout.
ATTEMPTS_PER_CONNECTION = 15
# Largest number of request arrival times that an instance keeps.
MAX_ARRIVALS_KEPT = 4000
# All instances together may send servers in slow start up to this share of the load that overloads them.
MAX_COLD_LOAD_SHARE = 0.5
# Least number of servers whose connections stay open when idle connections are closed because servers refuse
# connects.
MIN_CONNECTIONS_KEPT = 2
# If more than this share of recent connects was refused at once, idle connections are closed.
REFUSED_CONNECT_THRESHOLD = 0.05
# Weight of the latest attempt in exponential moving averages.
SMOOTHING_FACTOR = 0.08
# If at least this share of the ready servers runs earlier builds, those servers can handle all requests.
MIN_EARLIER_BUILD_SHARE = 0.5
# From this multiple of the best network path's latency on, outcomes are attributed to the path itself.
BAD_PATH_LATENCY_RATIO = 3.0


class ServerPool:
    """All known servers, the ready servers, and statistics on network paths and connects to the servers."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.host = router.host
        self.settings = router.settings
        self.servers: list[Server] = []
        # Ready servers sorted by address. The order is rotated according to the instance's position in the
        # fleet, so that instances with few requests use different servers.
        self.ready: list[Server] = []
        self.list_number: int = 0  # number of endpoint lists received
        self.arrivals = TimestampWindow(maxlen=MAX_ARRIVALS_KEPT)
        # Mean latency of attempts per server zone, as a multiple of the usual latency of the request's class.
        self.zone_latency: dict[int, DecayingMean] = {}
        # The lowest mean in `zone_latency`; 0 while `zone_latency` is empty.
        self.best_zone_latency: float = 0.0
        self.connect_failures: DecayingMean = DecayingMean(0.0)  # share of connects that failed
        self.refused_connects = 0.0  # recent share of connects that were refused at once
        self.rejected_attempts = 0.0  # recent share of attempts that were rejected or failed to connect

    def endpoint_list_received(self, is_complete: bool) -> None:
        """Update the ready servers after all entries of an endpoint list were applied to their servers.

        Servers that are missing from a complete list count as gone.
        """
        for server in self.servers:
            if is_complete and server.list_number != self.list_number:
                server.state = EndpointState.GONE
        ready = [s for s in self.servers if s.state is EndpointState.READY]
        ready.sort(key=lambda s: s.address)
        instance_index, instance_count = self.router.position()
        start = instance_index * len(ready) // instance_count
        self.list_number += 1
        self.ready = ready[start:] + ready[:start]

    def earlier_build_suffices(self) -> bool:
        """Return whether enough servers run builds older than the newest build to handle all requests."""
        newest = self.router.release.build
        return sum(s.build < newest for s in self.ready) >= MIN_EARLIER_BUILD_SHARE * len(self.ready)

    # -- server of the next attempt ----------------------------------------------------------------------

    def choose(self, request: Request) -> Server | None:
        """Return the server for the request's next attempt, or None if no server may get it now."""
        now = self.host.clock
        exposure = self.router.exposure
        candidates = self._candidates(request)
        builds = {s.build for s in candidates}
        exposure_allowed = {b: exposure.may_expose(request, b) for b in builds if exposure.is_canary(b)}
        canary = [s for s in candidates if exposure_allowed.get(s.build)]
        baseline = [s for s in candidates if s.build not in exposure_allowed]
        canary_capacity = sum(s.capacity_share() for s in canary)
        baseline_capacity = sum(s.capacity_share() for s in baseline)
        capacity = canary_capacity + baseline_capacity
        # The request's random draw limits the load that all instances together send to servers in slow start.
        if request.draw * len(self.ready) > MAX_COLD_LOAD_SHARE * self.settings.overload_multiple * capacity:
            canary = [s for s in canary if s.warm_at <= now]
            baseline = [s for s in baseline if s.warm_at <= now]
        if canary and baseline:
            chosen = canary if self.router.next_random() * capacity < canary_capacity else baseline
        else:
            chosen = canary or baseline
        return self.pick(chosen, request.key) if chosen else None

    def _candidates(self, request: Request) -> list[Server]:
        """Return the servers that may get the request's next attempt.

        Servers that the request has not tried and that are not ejected are preferred. If there are none,
        servers that the request has not tried are returned; if there are none either, all allowed servers.
        """
        now = self.host.clock
        tried = [a.server for a in request.attempts]
        least_build = self.router.exposure.earliest_allowed_build(request.key)
        allowed = self.ready
        if least_build or tried:
            allowed = [s for s in allowed if s.build >= least_build and request.may_be_sent_to(s)]
        return (
            [s for s in allowed if s.ejected_until <= now and s not in tried]
            or [s for s in allowed if s not in tried]
            or allowed
        )

    def pick(self, servers: Sequence[Server], key: int = 0) -> Server:
        """Return the cheaper of two servers drawn at random by weight, or one of the key's home servers.

        A home server is preferred unless it is in slow start or costs much more than the cheaper drawn
        server.
        """
        now = self.host.clock
        homes = self._home_servers(servers, key)
        # The share of servers in use is limited so that each connection carries enough attempts to stay open.
        interval = self.settings.idle_timeout / ATTEMPTS_PER_CONNECTION
        used_share = max(MIN_SERVERS_USED, self.arrivals.count_since(now - interval)) / len(self.ready)
        if any(s.connected() for s in servers) and self.router.next_random() < self.connect_failures.mean():
            servers = [s for s in servers if s.connected()]
        else:
            servers = servers[: ceil(used_share * len(servers)) + 1]
        cumulative_weights = list(accumulate(s.weight() for s in servers))
        first = servers[bisect_left(cumulative_weights, self.router.next_random() * cumulative_weights[-1])]
        second = servers[bisect_left(cumulative_weights, self.router.next_random() * cumulative_weights[-1])]
        best = second if second.warm_at <= now and second.cost() < first.cost() else first
        for home in homes:
            if home.warm_at <= now and HOME_COST_FACTOR * home.cost() <= best.cost():
                best = home
        return best

    def _home_servers(self, servers: Sequence[Server], key: int) -> list[Server]:
        """Return a key's home servers, the best last.

        Home servers are chosen by highest random weight (rendezvous hashing), so that all instances choose
        the same home servers for a key.
        """
        # Without load reports in answers, an overloaded home server could not be recognised.
        load_in_answers = self.settings.load_report_columns and not self.settings.load_reports_by_health_check
        if not (self.settings.key_affinity and load_in_answers and key):
            return []
        if self.router.next_random() < self.connect_failures.mean():
            return []
        prefix = b"%d." % key
        scores = []
        for server in servers:
            hash_value = crc32(prefix + server.address) * crc32(server.address + prefix) % 2**32
            scores.append(log((hash_value + 1) / 2**32) / max(MIN_WEIGHT, server.weight()))
        best_indices = nlargest(HOME_SERVERS_PER_KEY, range(len(scores)), key=scores.__getitem__)
        return [servers[index] for index in reversed(best_indices)]

    # -- statistics on connections and paths -------------------------------------------------------------

    def record_connection_outcome(self, attempt: Attempt, outcome: AttemptOutcome, was_refused: bool) -> None:
        """Record whether the connect of an attempt succeeded.

        Args:
            attempt: The attempt that has ended.
            outcome: How the attempt ended.
            was_refused: Whether the server refused the connect at once.
        """
        if was_refused:
            attempt.server.disconnected_at = self.host.clock
        if attempt.opens_connection:
            self.connect_failures.add(1.0 if outcome is AttemptOutcome.CONNECT_FAILED else 0.0)
            self.refused_connects += (
                (1.0 if was_refused else 0.0) - self.refused_connects
            ) * SMOOTHING_FACTOR
        self._close_excess_connections()
        was_rejected = outcome in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED)
        self.rejected_attempts += ((1.0 if was_rejected else 0.0) - self.rejected_attempts) * SMOOTHING_FACTOR

    def _close_excess_connections(self) -> None:
        """Close idle connections if servers refuse connects.

        Otherwise the idle connections of a few instances would keep all other instances from connecting.
        """
        if self.refused_connects <= REFUSED_CONNECT_THRESHOLD:
            return
        connected = sorted((s for s in self.ready if s.connected()), key=lambda s: -s.last_response_at)
        kept = max(MIN_CONNECTIONS_KEPT, 2 * len(self.router.admission.in_flight))
        for server in [s for s in connected[kept:] if not s.attempts]:
            server.disconnected_at = self.host.clock
            self.host.close_idle_connections(server)

    def record_path_latency(self, zone: int, outcome: AttemptOutcome, latency_ratio: float) -> None:
        """Record an attempt's latency over the path to a zone, as a multiple of the class's usual latency.

        If an attempt was not served, its latency counts as at least `BAD_PATH_LATENCY_RATIO`.
        """
        min_ratio = 0.0 if outcome is AttemptOutcome.SERVED else BAD_PATH_LATENCY_RATIO
        self.zone_latency.setdefault(zone, DecayingMean()).add(max(min_ratio, latency_ratio))
        self.best_zone_latency = min(z.mean() for z in self.zone_latency.values())
