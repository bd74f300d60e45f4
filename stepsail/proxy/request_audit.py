"""The interface between the listener and an audit trail; an instance without a trail uses `NoAudit`."""

from __future__ import annotations

from typing import Protocol

from stepsail.http import Response
from stepsail.proxy.in_flight import InFlightRequest


class RequestAudit(Protocol):
    """Decides which responses may be sent, and records them.

    Attributes:
        accepted: Number of accepted requests; `RequestHandler` increments it.
    """

    accepted: int

    def accepts_requests(self) -> bool:
        """Return whether new requests may be accepted."""

    def record_response(
        self, in_flight: InFlightRequest, request_class: int, response: Response, deadline: float
    ) -> bool:
        """Record a response before its first byte is sent, and wait for that until `deadline` at most.

        Returns:
            Whether the response may be sent.
        """

    def record_sent(self, in_flight: InFlightRequest, complete: bool) -> None:
        """Record that a response was sent, and whether it was sent completely."""


class NoAudit:
    """Allows every response to be sent, and records none."""

    def __init__(self) -> None:
        self.accepted = 0

    def accepts_requests(self) -> bool:
        """Return True: new requests are always accepted."""
        return True

    def record_response(
        self, in_flight: InFlightRequest, request_class: int, response: Response, deadline: float
    ) -> bool:
        """Return True: every response may be sent."""
        return True

    def record_sent(self, in_flight: InFlightRequest, complete: bool) -> None:
        """Record nothing."""
