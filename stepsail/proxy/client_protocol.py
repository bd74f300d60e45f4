"""The interface between the listener and a client-side protocol, which parses requests and encodes answers.

The listener reads requests, waits for their final answers and writes the responses; a `ClientProtocol`
interprets them. The daemon's protocol is in `daemon_client_protocol`; another front end supplies its own
protocol and uses the same listener.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stepsail.http import Request, Response
from stepsail.proxy.in_flight import InFlightRequest


@dataclass(slots=True)
class ParsedRequest:
    """A parsed request: the values that the router needs.

    Attributes:
        request_class: Index of the request class in the settings.
        time_left: Seconds that the client still waits, counted from the request's last byte.
        tenant: Index of the tenant in the settings.
        key: Number that is equal for requests with equal keys; 0 for a request without a key.
        is_retry: Whether the client has sent the request before.
    """

    request_class: int
    time_left: float
    tenant: int = 0
    key: int = 0
    is_retry: bool = False


class ClientProtocol(Protocol):
    """Parses requests and encodes responses.

    Attributes:
        half_close_is_disconnect: Whether a client that closes its side of the connection counts as
            disconnected; else it may still read its response.
        late_response_grace: Seconds after the client's deadline in which a response is still written; after
            that the connection is reset, because the client no longer waits.
        close_after_client_error: Whether the connection is closed after a request that could not be accepted.
    """

    half_close_is_disconnect: bool
    late_response_grace: float
    close_after_client_error: bool

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """Parse a request, or return the response to a request that is not forwarded."""

    def request_started(self, in_flight: InFlightRequest) -> None:
        """Handle the start of a request, before the decision whether it is accepted or rejected."""

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """Handle the end of a request: it was answered or its client left. Attempts may still be open."""

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """Encode a rejection: nothing has run, so the client may safely send the request again."""

    def failure_response(self, in_flight: InFlightRequest, timed_out: bool) -> Response:
        """Encode a failure, which promises the client nothing because a server may have run the request.

        Args:
            in_flight: The request.
            timed_out: Whether the request failed because its time ran out.
        """

    def error_response(self, status: int, text: str) -> Response:
        """Encode the response to an invalid request."""
