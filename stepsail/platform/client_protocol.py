"""Parses clients' requests in the platform's protocol, and encodes the final response to each."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Callable
from http import HTTPStatus

from stepsail.decisions.interface import Idempotency
from stepsail.http import Request, Response
from stepsail.http.message import Headers, parse_list_header
from stepsail.platform import wire_names
from stepsail.platform.errors import InvalidRequest
from stepsail.platform.request_ids import RequestIds
from stepsail.proxy.attempt_outcome import NEVER_RAN
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.settings import InstanceSettings, Route
from stepsail.settings.tenants import TenantTable

TOKEN = re.compile(rb"[!-~]{1,128}")  # a request ID or an idempotency key
MILLISECONDS = re.compile(rb"[0-9]{1,9}")
MAX_NUMBER_DIGITS = 18  # most digits of a key or a tenant index in INFO_HEADER
KEY_HASH_BYTES = 8
# Headers that a request must not repeat, because their values could contradict each other.
SINGLETON_HEADERS = (
    wire_names.REQUEST_ID_HEADER,
    wire_names.TIME_LEFT_HEADER,
    wire_names.IDEMPOTENCY_KEY_HEADER,
    wire_names.RETRY_HEADER,
    wire_names.INFO_HEADER,
    wire_names.TENANT_HEADER,
)


def parse_info(text: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; parts without an equals sign are ignored."""
    return dict(pair.strip().split("=", 1) for pair in text.decode("latin-1").split(",") if "=" in pair)


def hash_key_in_query(target: bytes) -> int | None:
    """Hash the key in the query of a request target to a number.

    The number is the same in every instance. Without a key, the function returns None.
    """
    query = target.partition(b"?")[2]
    parameters = (parameter.partition(b"=") for parameter in query.split(b"&"))
    key = next((value for name, _, value in parameters if name == wire_names.KEY_PARAMETER), b"")
    if not key:
        return None
    return int.from_bytes(hashlib.blake2b(key, digest_size=KEY_HASH_BYTES).digest(), "big")


class PlatformClientProtocol:
    """Implements `proxy.client_protocol.ClientProtocol`.

    The first part of the path names the request class. A client that closes its sending side counts as
    disconnected, and every request is answered, however late.
    """

    half_close_is_disconnect = True
    late_response_grace = math.inf
    close_after_client_error = True

    def __init__(self, settings: InstanceSettings, now: Callable[[], float]) -> None:
        self.settings = settings
        self.routes = {route.path.encode(): route for route in settings.routes}
        self.tenants = TenantTable(settings.tenant_names)
        self.ids = RequestIds(now)
        # Numbers of the finished requests that still have an open attempt.
        self.finished_with_open_attempts: set[int] = set()

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """Parse a request; if it is invalid or a health check, return the response to it instead."""
        path = request.target.partition(b"?")[0]
        if path == wire_names.HEALTH_PATH:
            return self._health_response(request, ready)
        try:
            route = self._find_route(request, path)
            headers = _singleton_headers(request)
            self._validate(request, route, headers)
        except InvalidRequest as error:
            return self.error_response(error.status, error.reason)
        return self._parse(request, route, headers)

    def request_started(self, in_flight: InFlightRequest) -> None:
        """Record that a request was accepted: its ID is now in use."""
        request_id = in_flight.request.header(wire_names.REQUEST_ID_HEADER) or b""
        in_flight.request_id = request_id.decode("latin-1")
        self.ids.start(request_id)

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """Record that a request was answered or that its client has disconnected.

        The request's ID stays in use while the request has an open attempt, because a second request with the
        same ID would run concurrently with that attempt. If an attempt may have run, the ID is remembered.
        """
        if in_flight.open_attempts:
            self.finished_with_open_attempts.add(in_flight.number)
        else:
            self._free_id(in_flight)

    def attempts_ended(self, in_flight: InFlightRequest) -> None:
        """Free the ID of a finished request, whose last attempt has ended."""
        if in_flight.number in self.finished_with_open_attempts:
            self.finished_with_open_attempts.discard(in_flight.number)
            self._free_id(in_flight)

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """Encode a rejection, which means that no server has run the request."""
        headers = _retry_after_headers(in_flight.retry_after)
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers, b"denied: trying again is harmless\n")

    def failure_response(self, in_flight: InFlightRequest, timed_out: bool) -> Response:
        """Encode a failure, which means that a server may have run the request."""
        return Response(504 if timed_out else 502, [], b"errored: nothing is promised\n")

    def error_response(self, status: int, text: str) -> Response:
        """Encode the response to a request that is invalid or, with status 503, finds no room."""
        is_rejection = status == HTTPStatus.SERVICE_UNAVAILABLE
        headers = _retry_after_headers(self.settings.router.max_retry_after) if is_rejection else []
        return Response(status, headers, text.encode("latin-1", "replace") + b"\n")

    def _health_response(self, request: Request, ready: bool) -> Response:
        if ready and request.method == b"GET":
            return Response(200, [], b"ready\n")
        return self.error_response(503, "not ready")

    def _find_route(self, request: Request, path: bytes) -> Route:
        first_part = b"/" + path[1:].partition(b"/")[0]
        route = self.routes.get(first_part) if path.startswith(b"/") else None
        if route is None:
            raise InvalidRequest(404, "no such product")
        if request.method != route.method.encode():
            raise InvalidRequest(405, f"this product takes {route.method}")
        return route

    def _validate(self, request: Request, route: Route, headers: dict[bytes, bytes]) -> None:
        """Check the parts of a request that the router relies on; raise for the first invalid one."""
        request_id = headers.get(wire_names.REQUEST_ID_HEADER, b"")
        if self.ids.is_taken(request_id):
            raise InvalidRequest(409, "an id that is open or may have run")
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
        if b"upgrade" in parse_list_header(request.headers, b"connection"):
            raise InvalidRequest(400, "no other protocol is spoken here")

    def _parse(self, request: Request, route: Route, headers: dict[bytes, bytes]) -> ParsedRequest:
        request_class = self.settings.router.request_classes[route.class_index]
        info = parse_info(headers.get(wire_names.INFO_HEADER, b""))
        key = hash_key_in_query(request.target)
        if key is None:
            key = _parse_number(info.get(wire_names.INFO_KEY, "")) or 0
        tenant = self._tenant_index(
            headers.get(wire_names.TENANT_HEADER), info.get(wire_names.INFO_TENANT, "")
        )
        return ParsedRequest(
            route.class_index,
            min(request_class.client_timeout, int(_time_left(headers)) / 1000.0),
            tenant,
            key,
            wire_names.RETRY_HEADER in headers,
        )

    def _tenant_index(self, name: bytes | None, index_text: str) -> int:
        """Return the index of the tenant that a request names, or else of the tenant whose index it contains.

        A request without a tenant name and index, or with an unknown name or index, is counted separately
        from all tenants, because it must not use up the quota of any tenant.
        """
        if name is not None:
            return self.tenants.index(name.strip())
        index = _parse_number(index_text)
        return (
            index if index is not None and index < self.tenants.unknown_index else self.tenants.unknown_index
        )

    def _free_id(self, in_flight: InFlightRequest) -> None:
        request_id = in_flight.request.header(wire_names.REQUEST_ID_HEADER) or b""
        may_have_run = any(attempt.outcome not in NEVER_RAN for attempt in in_flight.attempts)
        self.ids.end(request_id, may_have_run)


def _retry_after_headers(seconds: float) -> Headers:
    return [(b"retry-after", b"%.3f" % seconds)] if seconds > 0 else []


def _singleton_headers(request: Request) -> dict[bytes, bytes]:
    """Collect the headers that the protocol defines, none of which may be repeated."""
    names = [name for name, _ in request.headers if name in SINGLETON_HEADERS]
    if len(set(names)) < len(names):
        raise InvalidRequest(400, "a header that may stand once stands twice")
    return {name: value for name, value in request.headers if name in SINGLETON_HEADERS}


def _time_left(headers: dict[bytes, bytes]) -> bytes:
    return headers.get(wire_names.TIME_LEFT_HEADER, b"").strip()


def _parse_number(text: str) -> int | None:
    """Parse a whole number in ASCII digits; return None for anything else."""
    is_number = text.isdecimal() and text.isascii() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None
