"""The daemon's own client-side protocol: classes by route, the time left in a header, answers in JSON."""

from __future__ import annotations

import hashlib
import math
import os
import re
from collections.abc import Callable
from typing import Any

import msgspec

from stepsail.http import Request, Response
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.decision_host import DecisionHost
from stepsail.proxy.in_flight import InFlightRequest
from stepsail.settings import InstanceSettings
from stepsail.settings.tenants import TenantTable

OWN_PATHS = b"/.stepsail/"  # paths that are this daemon's own and never a request class's
TIME_LEFT_HEADER = b"request-timeout"
TIME_LEFT_FORM = re.compile(rb"\d{1,9}(\.\d{1,9})?")
RETRY_HEADER = b"idempotency-repeat"
JSON_CONTENT = (b"content-type", b"application/json")
REJECTION_BODY = b'{"answer":"denied","again":"trying again is harmless","stay_away":%.3f}\n'
FAILURE_BODY = b'{"answer":"errored","again":"nothing is promised: it may have run"}\n'
LATE_RESPONSE_TIME = 0.5  # s after its time in which a client may still be there to read
MAX_HASH_KEY_BYTES = 64  # what blake2b takes

Page = Callable[[], Any]
PolicyOffer = Callable[[dict[str, Any]], tuple[int, dict[str, Any]]]


class DaemonClientProtocol:
    """Parses requests by the routes of the settings, and serves the daemon's own pages.

    Attributes:
        pages: Further pages under `/.stepsail/`, by name; what they return is sent as JSON.
        offer_policy: Takes a change of policy and returns status and body; None where there are no policies.
    """

    half_close_is_disconnect = False
    late_response_time = LATE_RESPONSE_TIME
    close_after_client_error = False

    def __init__(self, settings: InstanceSettings, host: DecisionHost) -> None:
        self.settings = settings
        self.host = host
        self.pages: dict[bytes, Page] = {}
        self.offer_policy: PolicyOffer | None = None
        self.tenants = TenantTable(settings.tenant_names)
        self.tenant_header = settings.tenant_header.lower().encode()
        self.key_header = settings.key_header.lower().encode()
        self.hash_key = settings.key_secret[:MAX_HASH_KEY_BYTES] or os.urandom(16)
        longest_path_first = sorted(settings.routes, key=lambda route: -len(route.path))
        self.routes = [(r.method.encode(), r.path.encode(), r.class_index) for r in longest_path_first]

    def parse_request(self, request: Request, ready: bool) -> ParsedRequest | Response:
        """What is asked for, or the response to what is not to be forwarded."""
        if request.target.startswith(OWN_PATHS):
            return self._own_page(request, ready)
        request_class = self._request_class(request)
        if request_class is None:
            return self.error_response(404, "no product has this method and path")
        time_left = self.settings.router.request_classes[request_class].client_timeout
        header = request.header(TIME_LEFT_HEADER)
        if header is not None:
            if not TIME_LEFT_FORM.fullmatch(header):
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

    def request_accepted(self, in_flight: InFlightRequest) -> None:
        """Nothing to remember: clients do not name their requests here."""

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """Nothing to forget."""

    def rejection_response(self, in_flight: InFlightRequest) -> Response:
        """A 503; `Retry-After` has whole seconds, the body the fraction."""
        wait = b"%d" % math.ceil(in_flight.retry_after) if in_flight.retry_after > 0 else b"0"
        return Response(503, [JSON_CONTENT, (b"retry-after", wait)], REJECTION_BODY % in_flight.retry_after)

    def failure_response(self, in_flight: InFlightRequest, late: bool) -> Response:
        """A 504 where the time was over, else a 502."""
        return Response(504 if late else 502, [JSON_CONTENT], FAILURE_BODY)

    def error_response(self, status: int, text: str) -> Response:
        """What is wrong with the request, as JSON."""
        return self._json_response(status, {"error": text})

    def _json_response(self, status: int, body: Any) -> Response:
        return Response(status, [JSON_CONTENT], msgspec.json.encode(body) + b"\n")

    def _request_class(self, request: Request) -> int | None:
        for method, path, request_class in self.routes:
            if request.method == method and request.target.startswith(path):
                following = request.target[len(path) : len(path) + 1]
                if following in (b"", b"/", b"?") or path.endswith(b"/"):
                    return request_class
        return None

    def _own_page(self, request: Request, ready: bool) -> Response:
        name = request.target[len(OWN_PATHS) :]
        if request.method == b"GET":
            if name == b"ready":
                return Response(200, [], b"ready\n") if ready else self.error_response(503, "not ready")
            if page := self.pages.get(name):
                return self._json_response(200, page())
        elif request.method == b"POST":
            if name == b"policy" and self.offer_policy:
                return self._offer_policy(request, self.offer_policy)
            if name == b"contested":
                return self._dispute_answer(request)
        return self.error_response(404, "nothing here")

    def _offer_policy(self, request: Request, offer_policy: PolicyOffer) -> Response:
        try:
            offered = msgspec.json.decode(request.body, type=dict[str, Any])
        except msgspec.MsgspecError as error:
            return self.error_response(400, str(error))
        status, body = offer_policy(offered)
        return self._json_response(status, body)

    def _dispute_answer(self, request: Request) -> Response:
        """A client says that an answer was wrong; it names the server, the class and the answer's age in seconds."""
        # Only disputes need the JSON schemas, whose import takes long.
        from stepsail.proxy.control_messages import DISPUTE

        try:
            dispute = msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            return self.error_response(400, str(error))
        fault = next(DISPUTE.iter_errors(dispute), None)
        if fault:
            return self.error_response(400, f"{fault.json_path}: {fault.message[:200]}")
        server = self.host.servers.get(dispute["server"].encode())
        if server is None or dispute["product"] not in self.settings.class_names:
            return self.error_response(404, "no such server or product")
        request_class = self.settings.class_names.index(dispute["product"])
        self.host.call_router(server.answer_disputed, request_class, dispute["age"])
        return Response(202, [])

    def _hash(self, key: bytes) -> int:
        """A key as the router knows it: equal for equal keys, and telling nothing without the secret; never 0."""
        digest = hashlib.blake2b(key, digest_size=8, key=self.hash_key).digest()
        return int.from_bytes(digest, "big") or 1
