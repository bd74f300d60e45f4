"""Tests the parsing of requests in the platform's protocol, and the responses that need no server."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest
from platform_configuration import SETTINGS, configure, write_configuration

from stepsail.http import Request, Response
from stepsail.platform.client_protocol import PlatformClientProtocol, hash_key_in_query
from stepsail.platform.configuration import read_configuration
from stepsail.proxy.client_protocol import ParsedRequest
from stepsail.proxy.in_flight import InFlightRequest

REQUIRED_HEADERS = {"x-call-id": "9b1f03aa5c7e2d41", "x-budget-ms": "480"}


def parse(
    protocol: PlatformClientProtocol, method: str, target: str, body: bytes = b"", **headers: str | None
) -> Any:
    headers_sent = REQUIRED_HEADERS | {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = [(name.encode(), value.encode()) for name, value in headers_sent.items() if value is not None]
    return protocol.parse_request(
        Request(method.encode(), target.encode(), [(b"host", b"x"), *pairs], body), True
    )


def test_request_is_parsed(tmp_path: Path) -> None:
    protocol = PlatformClientProtocol(configure(tmp_path).settings, time.monotonic)
    assert parse(protocol, "GET", "/lookup?other=5") == ParsedRequest(0, 0.48)
    key = hash_key_in_query(b"/lookup?obj=5")
    assert key and parse(protocol, "GET", "/lookup?obj=5") == ParsedRequest(0, 0.48, key=key)
    assert parse(protocol, "GET", "/lookup/more", x_again="1", x_budget_ms="9000") == ParsedRequest(
        0, 1.5, is_retry=True
    )
    assert parse(
        protocol, "POST", "/record", b"{}", idempotency_key="k", x_call_info="NameKey=77,UserGroup=0"
    ) == ParsedRequest(1, 0.48, 0, 77)
    assert parse(protocol, "GET", "/_health").status == 200


INVALID_REQUESTS: list[tuple[int, str, str, bytes, dict[str, str | None]]] = [
    (404, "GET", "/nothing", b"", {}),
    (404, "GET", "/", b"", {}),
    (404, "GET", "/lookupx", b"", {}),
    (404, "GET", "http://x/lookup", b"", {}),
    (405, "POST", "/lookup", b"", {}),
    (405, "GET", "/record", b"", {}),
    (400, "GET", "/lookup", b"", {"x_call_id": None}),
    (400, "GET", "/lookup", b"", {"x_call_id": "a b"}),
    (400, "GET", "/lookup", b"", {"x_call_id": ""}),
    (400, "GET", "/lookup", b"", {"x_call_id": "a" * 200}),
    (400, "GET", "/lookup", b"", {"x_budget_ms": None}),
    (400, "GET", "/lookup", b"", {"x_budget_ms": "soon"}),
    (400, "GET", "/lookup", b"", {"x_budget_ms": "-5"}),
    (400, "GET", "/lookup", b"", {"x_budget_ms": "1e3"}),
    (400, "GET", "/lookup", b"", {"x_budget_ms": "9" * 30}),
    (400, "POST", "/record", b"{}", {}),
    (400, "GET", "/lookup", b"a body", {}),
]


@pytest.mark.parametrize(("status", "method", "target", "body", "headers"), INVALID_REQUESTS)
def test_invalid_request_gets_an_error_response(
    tmp_path: Path, status: int, method: str, target: str, body: bytes, headers: dict[str, str | None]
) -> None:
    response = parse(
        PlatformClientProtocol(configure(tmp_path).settings, time.monotonic), method, target, body, **headers
    )
    assert isinstance(response, Response) and response.status == status


def test_open_request_id_conflicts_until_the_request_ends(tmp_path: Path) -> None:
    protocol = PlatformClientProtocol(configure(tmp_path).settings, time.monotonic)
    request = Request(b"GET", b"/lookup", [(b"x-call-id", REQUIRED_HEADERS["x-call-id"].encode())])
    in_flight = InFlightRequest(0, request, 1.0, 1.0)
    protocol.request_started(in_flight)
    assert parse(protocol, "GET", "/lookup").status == 409
    protocol.request_ended(in_flight)
    assert isinstance(parse(protocol, "GET", "/lookup"), ParsedRequest) and not protocol.ids.in_use


def test_rejection_has_a_fractional_retry_after_and_failure_has_none(tmp_path: Path) -> None:
    protocol = PlatformClientProtocol(configure(tmp_path).settings, time.monotonic)
    in_flight = InFlightRequest(0, Request(b"GET", b"/lookup", []), 1.0, 1.0)
    in_flight.retry_after = 0.25
    assert (
        protocol.rejection_response(in_flight).header(b"retry-after") == b"0.250"
        and protocol.rejection_response(in_flight).status == 503
    )
    in_flight.retry_after = 0.0
    assert protocol.rejection_response(in_flight).header(b"retry-after") is None
    assert [protocol.failure_response(in_flight, late).status for late in (False, True)] == [502, 504]


TENANTS = [
    {"Name": "club", "Share": 0.6, "QuotaPerS": 9.0},
    {"Name": "club-east", "Share": 0.4, "QuotaPerS": 6.0},
]


@pytest.mark.parametrize(
    ("headers", "tenant"),
    [
        ({"x_caller": "club"}, 0),
        ({"x_caller": "club-east"}, 1),
        ({"x_caller": "clu"}, 2),
        ({"x_caller": ""}, 2),
        ({"x_caller": "Club"}, 2),
        ({}, 2),
        ({"x_call_info": "UserGroup=1"}, 1),
        ({"x_call_info": "UserGroup=2"}, 2),
        ({"x_call_info": "UserGroup=-1"}, 2),
        ({"x_call_info": "UserGroup=x"}, 2),
        ({"x_call_info": "UserGroup="}, 2),
        ({"x_call_info": "UserGroup=" + "9" * 30}, 2),
        ({"x_caller": "club", "x_call_info": "UserGroup=1"}, 0),
    ],
)
def test_unknown_tenant_is_counted_separately_from_known_ones(
    tmp_path: Path, headers: dict[str, str], tenant: int
) -> None:
    # Guards against counting requests without a tenant, or with an unknown one, for the first or last tenant.
    settings = read_configuration(
        write_configuration(tmp_path, settings=SETTINGS | {"Realms": TENANTS})
    ).settings
    assert parse(
        PlatformClientProtocol(settings, time.monotonic), "GET", "/lookup", b"", **headers
    ) == ParsedRequest(0, 0.48, tenant)
    # If the settings have no tenants, the header makes no difference.
    assert parse(
        PlatformClientProtocol(configure(tmp_path).settings, time.monotonic),
        "GET",
        "/lookup",
        x_caller="club",
    ) == ParsedRequest(0, 0.48)


def test_repeated_tenant_header_is_an_error(tmp_path: Path) -> None:
    request = Request(
        b"GET",
        b"/lookup",
        [(b"x-call-id", b"a"), (b"x-budget-ms", b"5"), (b"x-caller", b"club"), (b"x-caller", b"club-east")],
    )
    response = PlatformClientProtocol(configure(tmp_path).settings, time.monotonic).parse_request(
        request, True
    )
    assert isinstance(response, Response) and response.status == 400


def test_key_is_read_from_the_query(tmp_path: Path) -> None:
    # Guards against reading the key from a header that no request has: a sticky key then went back to an
    # earlier build.
    protocol = PlatformClientProtocol(configure(tmp_path).settings, time.monotonic)
    keys = [
        parse(protocol, "GET", target).key
        for target in (
            "/lookup?obj=000dacb010809dcd",
            "/lookup?a=b&obj=000dacb010809dcd&c",
            "/lookup/more?obj=000dacb010809dce",
            "/lookup?obj=",
            "/lookup?object=7",
            "/lookup",
            "/lookup?obj",
        )
    ]
    assert keys[0] == keys[1] != keys[2] and all(keys[:3]) and not any(keys[3:])
    assert parse(protocol, "GET", "/lookup", x_call_info="NameKey=77").key == 77
