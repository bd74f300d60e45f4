"""Implements the client-side protocol of the daemon.

A request's route determines its request class, a header states how long the client still waits, and the
daemon's own answers are in JSON.
"""

from __future__ import annotations

import hashlib
import math
import os
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from stepsail.http import Request, Response
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.settings import InstanceSettings
from stepsail.settings.tenants import TenantTable

# Prefix of the daemon's own pages, which are never routed to a request class.
DAEMON_PATH_PREFIX = b"/.stepsail/"
TIME_LEFT_HEADER = b"request-timeout"
TIME_LEFT_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?")
RETRY_HEADER = b"idempotency-repeat"
JSON_CONTENT_TYPE = (b"content-type", b"application/json")
REJECTION_BODY = b'{"answer":"denied","again":"trying again is harmless","stay_away":%.3f}\n'
FAILURE_BODY = b'{"answer":"errored","again":"nothing is promised: it may have run"}\n'
# Seconds after a request's deadline during which its client may still read a response.
LATE_RESPONSE_GRACE = 0.5
MAX_HASH_KEY_BYTES = 64  # length in bytes of the longest secret key that the hash function BLAKE2b accepts

Page = Callable[[], Any]
ProposePolicy = Callable[[dict[str, Any]], tuple[int, dict[str, Any]]]


class DaemonClientProtocol:
    """Parses requests by the routes in the settings, and serves the daemon's own pages.

    Attributes:
        pages: Further pages under `/.stepsail/`, by name; the result of each function is sent as JSON.
        propose_policy: Proposes a policy change and returns the status and body of the response; None if the
            instance has no policies.
    """

    half_close_is_disconnect = False
    late_response_grace = LATE_RESPONSE_GRACE
    close_after_client_error = False

    def __init__(self, settings: InstanceSettings, host: DecisionHost) -> None:
        self.settings = settings
        self.host = host
        self.pages: dict[bytes, Page] = {}
        self.propose_policy: ProposePolicy | None = None
        self.tenants = TenantTable(settings.tenant_names)
        self.tenant_header = settings.tenant_header.lower().encode()
        self.key_header = settings.key_header.lower().encode()
        self.hash_key = settings.key_secret[:MAX_HASH_KEY_BYTES] or os.urandom(16)
        longest_path_first = sorted(settings.routes, key=lambda route: -len(route.path))
        self.routes = [(r.method.encode(), r.path.encode(), r.class_index) for r in longest_path_first]

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """Parse a request, or return the response to a request that is not forwarded."""
        if request.target.startswith(DAEMON_PATH_PREFIX):
            return self._daemon_page(request, ready)
        request_class = self._request_class(request)
        if request_class is None:
            return self.error_response(404, "no product has this method and path")
        time_left = self.settings.router.request_classes[request_class].client_timeout
        header = request.header(TIME_LEFT_HEADER)
        if header is not None:
            if not TIME_LEFT_PATTERN.fullmatch(header):
                return self.error_response(
                    400, "request-timeout is the seconds that the client still waits, such as 2.5"
                )
            time_left = min(time_left, float(header))
        key = request.header(self.key_header)
        tenant_name = request.header(self.tenant_header) or b""
        return ParsedRequest(
            request_class,
            time_left,
            self.tenants.index(tenant_name),
            0 if key is None else self._hash(key),
            request.header(RETRY_HEADER) is not None,
        )

    def request_started(self, in_flight: InFlightRequest) -> None:
        """Do nothing: requests have no ids in this protocol."""

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """Do nothing: this protocol keeps no state of requests."""

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """Encode a 503 response; `Retry-After` is rounded up to whole seconds, the time in the body is not."""
        retry_after = b"%d" % math.ceil(in_flight.retry_after) if in_flight.retry_after > 0 else b"0"
        return Response(
            503, [JSON_CONTENT_TYPE, (b"retry-after", retry_after)], REJECTION_BODY % in_flight.retry_after
        )

    def failure_response(self, in_flight: InFlightRequest, timed_out: bool) -> Response:
        """Encode a 504 response if the request's time ran out, else a 502 response."""
        return Response(504 if timed_out else 502, [JSON_CONTENT_TYPE], FAILURE_BODY)

    def error_response(self, status: int, text: str) -> Response:
        """Encode an error message as JSON."""
        response = self._json_response(status, {"error": text})
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            seconds = math.ceil(self.settings.router.max_retry_after)
            response.headers.append((b"retry-after", b"%d" % seconds))
        return response

    def _json_response(self, status: int, body: Any) -> Response:
        return Response(status, [JSON_CONTENT_TYPE], msgspec.json.encode(body) + b"\n")

    def _request_class(self, request: Request) -> int | None:
        for method, path, request_class in self.routes:
            if request.method == method and request.target.startswith(path):
                next_char = request.target[len(path) : len(path) + 1]
                if next_char in (b"", b"/", b"?") or path.endswith(b"/"):
                    return request_class
        return None

    def _daemon_page(self, request: Request, ready: bool) -> Response:
        name = request.target[len(DAEMON_PATH_PREFIX) :]
        if request.method == b"GET":
            if name == b"ready":
                return Response(200, [], b"ready\n") if ready else self.error_response(503, "not ready")
            if page := self.pages.get(name):
                return self._json_response(200, page())
        elif request.method == b"POST":
            if name == b"policy" and self.propose_policy:
                return self._propose_policy(request, self.propose_policy)
            if name == b"contested":
                return self._dispute_answer(request)
        return self.error_response(404, "nothing here")

    def _propose_policy(self, request: Request, propose_policy: ProposePolicy) -> Response:
        try:
            proposal = msgspec.json.decode(request.body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            return self.error_response(400, str(error))
        status, body = propose_policy(proposal)
        return self._json_response(status, body)

    def _dispute_answer(self, request: Request) -> Response:
        """Handle a client's report that an answer was wrong.

        The client names the server, the request class and the answer's age in seconds.
        """
        # Imported here because only disputes need the JSON schemas, which are slow to import.
        from stepsail.proxy.control_messages import DISPUTE

        try:
            dispute = msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            return self.error_response(400, str(error))
        schema_error = next(DISPUTE.iter_errors(dispute), None)
        if schema_error:
            return self.error_response(400, f"{schema_error.json_path}: {schema_error.message[:200]}")
        server = self.host.servers.get(dispute["server"].encode())
        if server is None or dispute["product"] not in self.settings.class_names:
            return self.error_response(404, "no such server or product")
        request_class = self.settings.class_names.index(dispute["product"])
        self.host.call_router(server.answer_disputed, request_class, dispute["age"])
        return Response(202, [])

    def _hash(self, key: bytes) -> int:
        """Hash a request's key to the number that the router uses in place of the key.

        Without the secret, the number reveals nothing about the key. Equal keys give equal numbers. No key is
        hashed to 0, because 0 stands for a request without a key.
        """
        digest = hashlib.blake2b(key, digest_size=8, key=self.hash_key).digest()
        return int.from_bytes(digest, "big") or 1
