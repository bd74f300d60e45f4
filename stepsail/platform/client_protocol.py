"""Clients' requests in the platform's protocol, and the encoding of each final answer."""

from __future__ import annotations

import hashlib
import math
import re

from stepsail.decisions.interface import Idempotency
from stepsail.http import Request, Response
from stepsail.http.message import listed
from stepsail.platform import wire_names
from stepsail.platform.errors import InvalidRequest
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.settings import InstanceSettings, Route
from stepsail.settings.tenants import TenantTable

TOKEN = re.compile(rb"[!-~]{1,128}")  # a request id or an idempotency key
MILLISECONDS = re.compile(rb"[0-9]{1,9}")
MAX_NUMBER_DIGITS = 18  # of a key or a tenant's index in INFO_HEADER
KEY_HASH_BYTES = 8
SINGLE_HEADERS = (  # repeated, they would contradict each other
    wire_names.REQUEST_ID_HEADER,
    wire_names.TIME_LEFT_HEADER,
    wire_names.IDEMPOTENCY_KEY_HEADER,
    wire_names.RETRY_HEADER,
    wire_names.INFO_HEADER,
    wire_names.TENANT_HEADER,
)


def parse_info(text: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; parts in another form are ignored."""
    return dict(pair.strip().split("=", 1) for pair in text.decode("latin-1").split(",") if "=" in pair)


def key_in(target: bytes) -> int | None:
    """Hash the key in a target's query to a number that is the same at every instance; None if there is none."""
    query = target.partition(b"?")[2]
    parameters = (parameter.partition(b"=") for parameter in query.split(b"&"))
    key = next((value for name, _, value in parameters if name == wire_names.KEY_PARAMETER), b"")
    if not key:
        return None
    return int.from_bytes(hashlib.blake2b(key, digest_size=KEY_HASH_BYTES).digest(), "big")


class PlatformClientProtocol:
    """Implements `proxy.client_protocol.ClientProtocol`.

    The first part of the path names the request class. A client that closes its side has left, and every request is
    answered, however late.
    """

    half_close_is_disconnect = True
    late_response_grace = math.inf
    close_after_client_error = True

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.routes = {route.path.encode(): route for route in settings.routes}
        self.tenants = TenantTable(settings.tenant_names)
        self.open_ids: set[bytes] = set()  # ids of requests in flight
        self.finished_with_attempts: set[int] = (
            set()
        )  # numbers of finished requests with an attempt still open

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """Parse a request, or answer one that does not concern the router."""
        path = request.target.partition(b"?")[0]
        if path == wire_names.HEALTH_PATH:
            return self._health(request, ready)
        try:
            route = self._route(request, path)
            headers = _single_headers(request)
            self._check(request, route, headers)
        except InvalidRequest as error:
            return self.error_response(error.status, error.reason)
        return self._parse(request, route, headers)

    def request_started(self, in_flight: InFlightRequest) -> None:
        """A request was accepted: its id is open."""
        request_id = in_flight.request.header(wire_names.REQUEST_ID_HEADER) or b""
        in_flight.request_id = request_id.decode("latin-1")
        self.open_ids.add(request_id)

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """A request was answered, or its client has left.

        Its id stays open while an attempt is: a second request with it would run beside what the first left running.
        """
        if in_flight.open_attempts:
            self.finished_with_attempts.add(in_flight.number)
        else:
            self._close_id(in_flight)

    def attempts_ended(self, in_flight: InFlightRequest) -> None:
        """No attempt of a finished request is open any more."""
        if in_flight.number in self.finished_with_attempts:
            self.finished_with_attempts.discard(in_flight.number)
            self._close_id(in_flight)

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """Encode a rejection: nothing has run."""
        retry_after = [(b"retry-after", b"%.3f" % in_flight.retry_after)] if in_flight.retry_after > 0 else []
        return Response(503, retry_after, b"denied: trying again is harmless\n")

    def failure_response(self, in_flight: InFlightRequest, timed_out: bool) -> Response:
        """Encode a failure: the request may have run."""
        return Response(504 if timed_out else 502, [], b"errored: nothing is promised\n")

    def error_response(self, status: int, text: str) -> Response:
        """Encode the answer to an invalid request."""
        return Response(status, [], text.encode("latin-1", "replace") + b"\n")

    def _health(self, request: Request, ready: bool) -> Response:
        if ready and request.method == b"GET":
            return Response(200, [], b"ready\n")
        return self.error_response(503, "not ready")

    def _route(self, request: Request, path: bytes) -> Route:
        first_part = b"/" + path[1:].partition(b"/")[0]
        route = self.routes.get(first_part) if path.startswith(b"/") else None
        if route is None:
            raise InvalidRequest(404, "no such product")
        if request.method != route.method.encode():
            raise InvalidRequest(405, f"this product takes {route.method}")
        return route

    def _check(self, request: Request, route: Route, headers: dict[bytes, bytes]) -> None:
        """Check what the router relies on; the first fault decides the answer."""
        request_id = headers.get(wire_names.REQUEST_ID_HEADER, b"")
        if request_id in self.open_ids:
            raise InvalidRequest(409, "no id, or one that is open")
        if not TOKEN.fullmatch(request_id):
            raise InvalidRequest(400, "no id, or one that is open")
        if not MILLISECONDS.fullmatch(_time_left(headers)):
            raise InvalidRequest(400, "the time left is in whole milliseconds")
        idempotency = self.settings.router.request_classes[route.class_index].idempotency
        key = headers.get(wire_names.IDEMPOTENCY_KEY_HEADER, b"")
        if idempotency is Idempotency.IDEMPOTENCY_KEY and not TOKEN.fullmatch(key):
            raise InvalidRequest(400, "this product needs a label")
        if request.method == b"GET" and (request.body or request.length):
            raise InvalidRequest(400, "a body where none belongs")
        if b"upgrade" in listed(request.headers, b"connection"):
            raise InvalidRequest(400, "no other protocol is spoken here")

    def _parse(self, request: Request, route: Route, headers: dict[bytes, bytes]) -> ParsedRequest:
        request_class = self.settings.router.request_classes[route.class_index]
        info = parse_info(headers.get(wire_names.INFO_HEADER, b""))
        key = key_in(request.target)
        if key is None:
            key = _parse_number(info.get(wire_names.INFO_KEY, "")) or 0
        tenant = self._tenant(headers.get(wire_names.TENANT_HEADER), info.get(wire_names.INFO_TENANT, ""))
        return ParsedRequest(
            route.class_index,
            min(request_class.client_timeout, int(_time_left(headers)) / 1000.0),
            tenant,
            key,
            wire_names.RETRY_HEADER in headers,
        )

    def _tenant(self, name: bytes | None, number: str) -> int:
        """Find a tenant by its name, or by its index in the settings where no name is given.

        A request without either, or with unknown ones, is counted apart from all tenants: it must not use up the
        quota of one of them.
        """
        if name is not None:
            return self.tenants.index(name.strip())
        index = _parse_number(number)
        return (
            index if index is not None and index < self.tenants.unknown_index else self.tenants.unknown_index
        )

    def _close_id(self, in_flight: InFlightRequest) -> None:
        self.open_ids.discard(in_flight.request.header(wire_names.REQUEST_ID_HEADER) or b"")


def _single_headers(request: Request) -> dict[bytes, bytes]:
    """Collect the headers of the protocol, none of which may be repeated."""
    names = [name for name, _ in request.headers if name in SINGLE_HEADERS]
    if len(set(names)) < len(names):
        raise InvalidRequest(400, "a header that may stand once stands twice")
    return {name: value for name, value in request.headers if name in SINGLE_HEADERS}


def _time_left(headers: dict[bytes, bytes]) -> bytes:
    return headers.get(wire_names.TIME_LEFT_HEADER, b"").strip()


def _parse_number(text: str) -> int | None:
    """Parse a whole number in ASCII digits; None for anything else."""
    is_number = text.isdecimal() and text.isascii() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None
