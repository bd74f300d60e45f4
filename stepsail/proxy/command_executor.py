"""The interface through which the decision host has the router's commands carried out."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from stepsail.decisions.interface import ServerHandle, Verdict
from stepsail.loop import Task
from stepsail.proxy.in_flight import InFlightRequest


class CommandExecutor(Protocol):
    """Carries out the router's commands."""

    def send_attempt(self, in_flight: InFlightRequest, server: ServerHandle, deadline: float) -> Task:
        """Start an attempt that ends by `deadline`, and return its task."""

    def check_health(self, server: ServerHandle) -> None:
        """Send a health check to a server, which answers with its load."""

    def close_idle_connections(self, server: ServerHandle) -> None:
        """Close the idle connections to a server."""

    def cast_vote(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send release control a vote to promote, pause or roll back a build."""

    def poll_endpoints(self) -> None:
        """Request the endpoint list once."""

    def watch_endpoints(self) -> None:
        """Start receiving changes of the endpoint list."""

    def gossip_outcomes(self, peer: int, outcomes: Sequence[tuple[ServerHandle, int, int, int]]) -> None:
        """Send the outcomes of observed attempts to one peer."""

    def gossip_verdict(self, build: int, stage: int, verdict: Verdict) -> None:
        """Send a verdict on a build to all peers."""

    def gossip_stalled_classes(self, request_classes: Sequence[int]) -> None:
        """Send the stalled request classes to all peers."""
