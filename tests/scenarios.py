"""Provides steps that the tests of the decisions share, for a fake host and for latency histograms."""

from __future__ import annotations

from collections.abc import Sequence

from helpers import FakeHost

from stepsail.decisions.histogram import LatencyHistogram
from stepsail.decisions.interface import (
    AttemptOutcome,
    ReleasePhase,
)
from stepsail.decisions.request import Request


def send_requests(host: FakeHost, server: int, outcome: AttemptOutcome, count: int) -> None:
    """Send requests, and end the attempts on one server with an outcome.

    Each of these attempts has a latency of 0.1 s. Attempts on other servers end as served.
    """
    router_server = host.servers[server]
    for _ in range(count):
        host.router.admission.window = 9.0
        request = host.accept(0)
        if not request.attempts or request.attempts[-1].server is not router_server:
            if request.attempts:
                request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.1, ())
            continue
        request.attempt_ended(0, outcome, outcome is AttemptOutcome.SERVED, 0.1, ())
        for number in range(1, len(request.attempts)):
            if not request.attempts[number].ended:
                request.attempt_ended(number, AttemptOutcome.SERVED, True, 0.1, ())
        host.advance(0.1)


def fill_histograms(
    *histograms_and_bins: tuple[dict[int, LatencyHistogram], int], count: int = 300, request_class: int = 0
) -> None:
    """Add `count` attempts of one request class to one bin of each histogram."""
    for histograms, bin_index in histograms_and_bins:
        for _ in range(count):
            histograms.setdefault(request_class, LatencyHistogram()).add(bin_index)


def canary_host(builds: tuple[int, ...]) -> FakeHost:
    """Return a host with these builds on its servers, and build 2 as the canary."""
    host = FakeHost(
        builds=builds, exposure_limits=(1.0, 1.0), stage_shares=(0.5, 1.0), idempotent_only_stages=0
    )
    host.receive_release_state(2, 0, ReleasePhase.CANARY, 1.0)
    return host


def accept_with_key(host: FakeHost, key: int) -> Request:
    return host.router.accept_request(host.next_request_number(), 0, 0, None, host.clock + 3.0, key, False)


def servers_of_keys(host: FakeHost, keys: Sequence[int]) -> list[bytes]:
    """Send one request with each key, and return the address of the server that each was sent to."""
    addresses = []
    for key in keys:
        request = accept_with_key(host, key)
        addresses.append(request.attempts[0].server.address)
        request.attempt_ended(0, AttemptOutcome.SERVED, True, 0.05, (0.0,))
        host.clock += 0.2
    return addresses
