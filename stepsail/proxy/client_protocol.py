"""What the listener needs of a client-side protocol: what a request asks for, and how each final answer is written.

The listener reads requests, waits and writes; a `ClientProtocol` says what they mean. The daemon's own one is in
`daemon_client_protocol`; another front end brings another one and leaves the listener as it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from stepsail.http import Request, Response
from stepsail.proxy.in_flight import InFlightRequest


@dataclass(slots=True)
class ParsedRequest:
    """What a request asks for. `time_left`: seconds that its client still waits, from its last byte on."""

    request_class: int
    time_left: float
    tenant: int = 0
    key: int = 0
    is_retry: bool = False


class ClientProtocol(Protocol):
    """What requests mean and how responses are written.

    Attributes:
        half_close_is_disconnect: A client that closes its side is gone; else it may still read its response.
        late_response_time: Seconds after a client's time in which its response is still written; later the
            connection is reset, as nobody waits for it.
        close_after_client_error: The connection ends after a request that could not be accepted.
    """

    half_close_is_disconnect: bool
    late_response_time: float
    close_after_client_error: bool

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """What is asked for, or the response to what is not to be forwarded."""

    def request_accepted(self, in_flight: InFlightRequest) -> None:
        """A request is in flight from now on."""

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """A request is answered or its client gone; attempts may still be open."""

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """Nothing ran: sending again is harmless."""

    def failure_response(self, in_flight: InFlightRequest, late: bool) -> Response:
        """Nothing is promised: it may have run. `late`: its time was over first."""

    def error_response(self, status: int, text: str) -> Response:
        """The request itself is at fault."""
