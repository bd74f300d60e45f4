"""Defines the interface of protocols spoken to servers, and the daemon's implementation.

The connection pool connects, writes and reads. An `UpstreamProtocol` defines what is written, what responses
mean, and where a server is located. Another back end implements the interface anew and uses the pool
unchanged.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from stepsail.decisions.interface import AttemptOutcome
from stepsail.http import ConnectionLimits, Progress, Request, Response, encode_request
from stepsail.http.message import Headers, encode_request_start, end_to_end
from stepsail.proxy.attempt_outcome import NOT_RUN_HEADER, ExchangeEnd, attempt_outcome
from stepsail.settings import InstanceSettings
from stepsail.settings.model import Address

# Response header that carries an ORCA load report. Its text format is `TEXT name=value, …`.
LOAD_REPORT_HEADER = b"endpoint-load-metrics"
# Names of load report columns in the settings, and the names of the corresponding ORCA metrics.
ORCA_NAMES = {
    "q": "named_metrics.queue",
    "rif": "named_metrics.inflight",
    "busy": "cpu_utilization",
    "lat_ms": "named_metrics.latency_ms",
}
# Request headers that are not forwarded, because each hop sets its own values.
REWRITTEN_HEADERS = (b"host", b"request-timeout")
# Largest number of bytes of a load report that are read.
MAX_REPORT_BYTES = 2000
HEALTH_CHECK_TARGET = b"/.stepsail/load"


class UpstreamProtocol(Protocol):
    """Encodes attempts and health checks, interprets their responses, and locates servers.

    Attributes:
        bounds: Size limits of each connection to a server.
    """

    bounds: ConnectionLimits

    def locate(self, server: bytes) -> tuple[Address, object]:
        """Return a server's location, and a version of the server.

        The version changes when the server is replaced, draining or gone.
        """

    def encode_attempt(self, request: Request, server: bytes, time_left: float) -> bytes:
        """Encode a request to a server.

        If the request's body is streamed, only the part that is already buffered is encoded.
        """

    def classify_outcome(
        self, end: ExchangeEnd, progress: Progress, response: Response | None
    ) -> AttemptOutcome:
        """Return the outcome to report to the router for an attempt."""

    def is_client_error(self, response: Response) -> bool:
        """Return whether the response says that the request is invalid, so that no server would accept it."""

    def load_report(self, response: Response) -> tuple[float, ...]:
        """Return the load report in a response, in the order of the settings' columns.

        The report is empty if the response contains none.
        """

    def response_headers(self, response: Response, server: bytes) -> Headers:
        """Return the headers of a served response that are sent to the client."""

    def encode_health_check(self, server: bytes) -> bytes:
        """Encode the request that asks a server for its load."""

    def health_check_report(self, response: Response) -> tuple[float, ...]:
        """Return the load report in the response to a health check, or () if it has none."""


def split_address(server: bytes) -> Address:
    """Split a server's address, HOST:PORT, into host and port."""
    host, port = server.decode().rsplit(":", 1)
    return host, int(port)


def orca_values(text: bytes) -> dict[str, float]:
    """Return the metrics of a load report in text or JSON, by name; none if the report is malformed."""
    format_name, _, rest = text[:MAX_REPORT_BYTES].decode("latin-1").partition(" ")
    try:
        if format_name == "JSON":
            return _flatten(msgspec.json.decode(rest, type=dict[str, float | dict[str, float]]))
        if format_name == "TEXT":
            pairs = (part.split("=", 1) for part in rest.split(","))
            return {name.strip(): float(value) for name, value in pairs}
    except (ValueError, msgspec.MsgspecError):
        pass
    return {}


def _flatten(report: dict[str, float | dict[str, float]]) -> dict[str, float]:
    values: dict[str, float] = {}
    for name, value in report.items():
        if isinstance(value, dict):
            values.update({f"{name}.{inner}": number for inner, number in value.items()})
        else:
            values[name] = value
    return values


class DaemonUpstreamProtocol:
    """Implements the daemon's protocol for servers.

    The daemon identifies servers by address and does not forward hop-by-hop headers.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.bounds = ConnectionLimits(
            settings.max_head_bytes, settings.max_body_bytes, settings.max_buffered_bytes
        )
        self.via = b"1.1 umpire-%d" % settings.router.instance_index

    def locate(self, server: bytes) -> tuple[Address, object]:
        """Return a server's address; the version is None because an address always means the same server."""
        return split_address(server), None

    def encode_attempt(self, request: Request, server: bytes, time_left: float) -> bytes:
        """Encode a request with its end-to-end headers, a new `Host`, a `Via` and the remaining time."""
        headers = [pair for pair in end_to_end(request.headers) if pair[0] not in REWRITTEN_HEADERS]
        headers += [(b"host", server), (b"via", self.via), (b"request-timeout", b"%.3f" % time_left)]
        if request.body_stream:
            return encode_request_start(request.method, request.target, headers, request.body, request.length)
        return encode_request(request.method, request.target, headers, request.body)

    def classify_outcome(
        self, end: ExchangeEnd, progress: Progress, response: Response | None
    ) -> AttemptOutcome:
        """Derive the outcome from the bytes written, the status and the header `NOT_RUN_HEADER`."""
        if response is None:
            return attempt_outcome(end, progress.written)
        did_not_run = any(name == NOT_RUN_HEADER for name, _ in response.headers)
        return attempt_outcome(end, progress.written, response.status, did_not_run)

    def is_client_error(self, response: Response) -> bool:
        """Return False: a 4xx response is passed on to the client and counts as served."""
        return False

    def load_report(self, response: Response) -> tuple[float, ...]:
        """Return the reported load values in the order of the settings' columns.

        The result is empty unless the report has a number for every column.
        """
        columns = self.settings.router.load_report_columns
        if not columns:
            return ()
        values = orca_values(response.header(LOAD_REPORT_HEADER) or b"")
        names = [ORCA_NAMES[column] for column in columns if column in ORCA_NAMES]
        complete = len(names) == len(columns) and values.keys() >= set(names)
        return tuple(values[name] for name in names) if complete else ()

    def response_headers(self, response: Response, server: bytes) -> Headers:
        """Return the end-to-end headers and a `Via` whose comment names the server."""
        return [*end_to_end(response.headers), (b"via", b"%s (%s)" % (self.via, server))]

    def encode_health_check(self, server: bytes) -> bytes:
        """Encode a GET request for the server's load."""
        return encode_request(b"GET", HEALTH_CHECK_TARGET, [(b"host", server), (b"via", self.via)])

    def health_check_report(self, response: Response) -> tuple[float, ...]:
        """Return the load report from the response's header, as for any other response."""
        return self.load_report(response)
