"""Decides which requests are rejected before they reach the router, and which policy the accepted ones have.

An accepted request runs under the policy that is in force at its acceptance.
"""

from __future__ import annotations

from typing import Protocol

from stepsail.decisions.interface import RejectionReason
from stepsail.http import BufferBudget
from stepsail.http.message import Headers
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.proxy.request_audit import RequestAudit
from stepsail.proxy.serving_state import ServingState
from stepsail.settings import InstanceSettings

POLICY_HEADER = b"stepsail-policy"  # contains the version of the policy under which a request was accepted


class PolicyGate(Protocol):
    """Provides the policy under which requests are accepted, for instances that have policies."""

    def current_version(self) -> int | None:
        """Return the version of the policy in force; None while none is known to be in force."""

    def retry_after(self) -> float:
        """Return the seconds until a policy may be in force again."""


def replace_policy_header(headers: Headers, policy_version: int) -> Headers:
    """Return the headers with every policy header replaced by a single one that has `policy_version`."""
    other_headers = [pair for pair in headers if pair[0] != POLICY_HEADER]
    return [*other_headers, (POLICY_HEADER, b"%d" % policy_version)]


class RequestAdmission:
    """Rejects requests that must not reach the router, so that no server has run any of them."""

    def __init__(
        self,
        settings: InstanceSettings,
        host: DecisionHost,
        audit: RequestAudit,
        state: ServingState,
        budget: BufferBudget,
    ) -> None:
        self.settings = settings
        self.host = host
        self.audit = audit
        self.state = state
        self.budget = budget
        self.policy_gate: PolicyGate | None = None

    def rejection_reason(self, in_flight: InFlightRequest, now: float) -> RejectionReason | None:
        """Return why a request is rejected; None if it is accepted.

        Also writes the version of the policy in force to the request's headers.

        Clients keep connecting to an instance that has just been restarted until they notice that its
        predecessor stopped. Until the instance is ready, it rejects each request at once.
        """
        has_policy = self._assign_policy(in_flight)
        reason = self._instance_rejection_reason()
        if reason is not None:
            return reason
        if not has_policy:
            return RejectionReason.NO_POLICY
        return RejectionReason.DEADLINE if in_flight.deadline <= now else None

    def retry_after(self, reason: RejectionReason) -> float:
        """Return how many seconds a rejected client is told to wait before it sends its request again."""
        if reason is RejectionReason.NO_POLICY and self.policy_gate is not None:
            return self.policy_gate.retry_after()
        return self.settings.router.max_retry_after

    def _instance_rejection_reason(self) -> RejectionReason | None:
        """Return why this instance accepts no requests now; None if it does accept them."""
        if not self.state.ready:
            return RejectionReason.NOT_READY
        if not self.host.endpoint_list_usable():
            return RejectionReason.LIST_EXPIRED
        if self.state.rejects_all:
            return RejectionReason.SHUTTING_DOWN
        if len(self.host.in_flight) >= self.settings.max_in_flight:
            return RejectionReason.IN_FLIGHT_LIMIT
        if not self.budget.reclaim_for_requests():
            return RejectionReason.MEMORY_LIMIT
        return None if self.audit.accepts_requests() else RejectionReason.TRAIL_UNAVAILABLE

    def _assign_policy(self, in_flight: InFlightRequest) -> bool:
        """Assign the policy in force to a request; its version is sent to every server with the request.

        Returns:
            False if a policy is required and none is in force.
        """
        if self.policy_gate is None:
            return True
        version = self.policy_gate.current_version()
        in_flight.policy_version = version
        if version is None:
            return False
        request = in_flight.request
        request.headers = replace_policy_header(request.headers, version)
        return True
