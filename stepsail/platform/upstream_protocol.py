"""Encodes requests to servers in the platform's protocol and classifies outcomes, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from stepsail.decisions.interface import AttemptOutcome
from stepsail.http import ConnectionLimits, Progress, Request, Response, encode_request
from stepsail.http.message import Headers
from stepsail.platform import wire_names
from stepsail.proxy.attempt_outcome import ExchangeEnd
from stepsail.proxy.upstream_protocol import orca_values
from stepsail.settings import InstanceSettings
from stepsail.settings.model import Address

FORWARDED_HEADERS = (wire_names.REQUEST_ID_HEADER, wire_names.IDEMPOTENCY_KEY_HEADER)
MISSING_VALUE = -1.0  # value of a column that is missing in a load report
LOAD_VALUE_LIMIT = 1e9  # A load report with a value at or above this limit is invalid.
OUTCOME_OF_UNSENT_REQUEST = {
    ExchangeEnd.NOT_STARTED: AttemptOutcome.NOT_SENT,
    ExchangeEnd.CANCELLED: AttemptOutcome.NOT_SENT,
    ExchangeEnd.TIMED_OUT: AttemptOutcome.NOT_SENT,
    ExchangeEnd.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
    ExchangeEnd.CONNECTION_BROKEN: AttemptOutcome.CONNECT_FAILED,
    ExchangeEnd.INVALID_RESPONSE: AttemptOutcome.CONNECT_FAILED,
}
OUTCOME_OF_SENT_REQUEST = {
    ExchangeEnd.NOT_STARTED: AttemptOutcome.CONNECTION_LOST,
    ExchangeEnd.CANCELLED: AttemptOutcome.CANCELLED,
    ExchangeEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    ExchangeEnd.CONNECT_FAILED: AttemptOutcome.CONNECTION_LOST,
    ExchangeEnd.CONNECTION_BROKEN: AttemptOutcome.CONNECTION_LOST,
    ExchangeEnd.INVALID_RESPONSE: AttemptOutcome.FAILED,
}


def is_client_error(response: Response) -> bool:
    """Return whether the response says that the request is invalid, so that no other server is tried.

    A retry of an invalid request would fail at one server after the other, and the errors would count against
    builds without a defect. The drawback is that a valid request fails needlessly if only one server
    misinterprets it.
    """
    return HTTPStatus.BAD_REQUEST <= response.status < HTTPStatus.INTERNAL_SERVER_ERROR


def classify_exchange(end: ExchangeEnd, fully_sent: bool, response: Response | None) -> AttemptOutcome:
    """Return the outcome of an attempt.

    A server starts to run a request when it has received the last byte. A request that broke off earlier
    never ran, and a request that broke off later may have run. An invalid response counts as a failure rather
    than as a lost connection, because the server is reachable. Only a response with status 503 or 504 and the
    header REJECTED_HEADER means that the request was rejected and did not run. Only a response with status
    200 and a body, received after the whole request was sent, counts as served. A 4xx status is no evidence
    about the server or its build: the attempt ends as if the request had not been sent.
    """
    if end is ExchangeEnd.COMPLETED and response is not None:
        return _outcome_of_response(fully_sent, response)
    outcomes = OUTCOME_OF_SENT_REQUEST if fully_sent else OUTCOME_OF_UNSENT_REQUEST
    return outcomes[ExchangeEnd.CONNECTION_BROKEN if end is ExchangeEnd.COMPLETED else end]


def _outcome_of_response(fully_sent: bool, response: Response) -> AttemptOutcome:
    if is_client_error(response):
        return AttemptOutcome.NOT_SENT
    is_unavailable = response.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
    if is_unavailable and response.header(wire_names.REJECTED_HEADER) == b"1":
        return AttemptOutcome.REJECTED
    if response.status == HTTPStatus.OK and response.body and fully_sent:
        return AttemptOutcome.SERVED
    return AttemptOutcome.FAILED


class PlatformUpstreamProtocol:
    """Implements `proxy.upstream_protocol.UpstreamProtocol`.

    A forwarded request consists of the method, target, body, request ID and idempotency key of the client's
    request; no other header of the client is forwarded.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        locate: Callable[[bytes], tuple[Address, object]],
        load_reports: bool,
    ) -> None:
        self.settings = settings
        self.locate = locate
        self.load_reports = load_reports
        # A body that ends with the connection is not allowed, because a truncated body would look the same.
        self.bounds = ConnectionLimits(
            settings.max_head_bytes, settings.max_body_bytes, allow_until_close=False
        )

    def encode_attempt(self, request: Request, server: bytes, time_left: float) -> bytes:
        """Encode the request of a client that waits for `time_left` more seconds."""
        headers = [
            (b"host", wire_names.SERVICE_HOST),
            *(header for header in request.headers if header[0] in FORWARDED_HEADERS),
            (wire_names.TIME_LEFT_HEADER, b"%d" % max(1, time_left * 1000.0)),
        ]
        return encode_request(request.method, request.target, headers, request.body)

    def classify_outcome(
        self, end: ExchangeEnd, progress: Progress, response: Response | None
    ) -> AttemptOutcome:
        """Return the outcome to report to the router for an attempt."""
        fully_sent = 0 < progress.total <= progress.written
        return classify_exchange(end, fully_sent, response)

    def is_client_error(self, response: Response) -> bool:
        """Return whether the response says that the request is invalid, so that no server would accept it."""
        return is_client_error(response)

    def load_report(self, response: Response) -> tuple[float, ...]:
        """Return the load report in a response's header; empty without a load report."""
        if not self.load_reports:
            return ()
        return self._load_values(response.header(wire_names.LOAD_REPORT_HEADER) or b"")

    def response_headers(self, response: Response, server: bytes) -> Headers:
        """Return no headers, because no header of a server's response is sent to the client."""
        return []

    def encode_health_check(self, server: bytes) -> bytes:
        """Encode a health check request to a server."""
        path = wire_names.LOAD_PATH if self.load_reports else wire_names.PING_PATH
        return encode_request(b"GET", path, [(b"host", wire_names.SERVICE_HOST)])

    def health_check_report(self, response: Response) -> tuple[float, ...]:
        """Return the load report in the body or else the header of the response to a health check."""
        if not self.load_reports:
            return ()
        return self._load_values(response.body) or self.load_report(response)

    def _load_values(self, text: bytes) -> tuple[float, ...]:
        """Return a load report's values in the order of the settings' columns; empty unless all are valid."""
        reported = orca_values(text)
        values = tuple(_column_value(reported, column) for column in self.settings.router.load_report_columns)
        return values if all(0.0 <= value < LOAD_VALUE_LIMIT for value in values) else ()


def _column_value(reported: dict[str, float], column: str) -> float:
    names = wire_names.LOAD_REPORT_FIELDS.get(column, (column,))
    return next((reported[name] for name in names if name in reported), MISSING_VALUE)
