"""Tests the encoding of attempts in the platform's protocol, and the outcome of each exchange."""

from __future__ import annotations

from pathlib import Path

import pytest
from platform_configuration import configure

from stepsail.decisions.interface import AttemptOutcome
from stepsail.http import ConnectionLimits, Request, Response
from stepsail.http.reader import MessageReader
from stepsail.platform.upstream_protocol import PlatformUpstreamProtocol, classify_exchange
from stepsail.proxy.attempt_outcome import ExchangeEnd

REJECTED = [(b"x-rejected", b"1")]


OUTCOMES = [
    (ExchangeEnd.COMPLETED, True, Response(200, [], b"b"), AttemptOutcome.SERVED),
    (ExchangeEnd.COMPLETED, True, Response(200, [], b""), AttemptOutcome.FAILED),
    (
        ExchangeEnd.COMPLETED,
        False,
        Response(200, [], b"b"),
        AttemptOutcome.FAILED,
    ),  # response before the request was completely sent
    (ExchangeEnd.COMPLETED, True, Response(500, []), AttemptOutcome.FAILED),
    (ExchangeEnd.COMPLETED, True, Response(400, []), AttemptOutcome.NOT_SENT),
    (ExchangeEnd.COMPLETED, True, Response(404, []), AttemptOutcome.NOT_SENT),
    (ExchangeEnd.COMPLETED, True, Response(503, REJECTED), AttemptOutcome.REJECTED),
    (ExchangeEnd.COMPLETED, True, Response(504, REJECTED), AttemptOutcome.REJECTED),
    (ExchangeEnd.COMPLETED, True, Response(503, []), AttemptOutcome.FAILED),
    (ExchangeEnd.COMPLETED, True, Response(500, REJECTED), AttemptOutcome.FAILED),
    (ExchangeEnd.CONNECT_FAILED, False, None, AttemptOutcome.CONNECT_FAILED),
    (ExchangeEnd.CONNECTION_BROKEN, False, None, AttemptOutcome.CONNECT_FAILED),
    (ExchangeEnd.CONNECTION_BROKEN, True, None, AttemptOutcome.CONNECTION_LOST),
    (ExchangeEnd.INVALID_RESPONSE, True, None, AttemptOutcome.FAILED),
    (ExchangeEnd.INVALID_RESPONSE, False, None, AttemptOutcome.CONNECT_FAILED),
    (ExchangeEnd.TIMED_OUT, True, None, AttemptOutcome.TIMED_OUT),
    (ExchangeEnd.TIMED_OUT, False, None, AttemptOutcome.NOT_SENT),
    (ExchangeEnd.CANCELLED, True, None, AttemptOutcome.CANCELLED),
    (ExchangeEnd.CANCELLED, False, None, AttemptOutcome.NOT_SENT),
    (ExchangeEnd.NOT_STARTED, False, None, AttemptOutcome.NOT_SENT),
]


@pytest.mark.parametrize(("end", "fully_sent", "response", "expected"), OUTCOMES)
def test_outcome_of_an_exchange(
    end: ExchangeEnd, fully_sent: bool, response: Response | None, expected: AttemptOutcome
) -> None:
    assert classify_exchange(end, fully_sent, response) is expected


def test_attempt_carries_only_the_forwarded_headers(tmp_path: Path) -> None:
    protocol = PlatformUpstreamProtocol(configure(tmp_path).settings, lambda server: (("", 0), None), True)
    request = Request(
        b"POST",
        b"/record?obj=4",
        [
            (b"host", b"evil"),
            (b"x-call-id", b"i"),
            (b"idempotency-key", b"k"),
            (b"x-budget-ms", b"99"),
            (b"connection", b"x"),
        ],
        b"body",
    )
    reader = MessageReader(True, ConnectionLimits())
    reader.feed(protocol.encode_attempt(request, b"s-1", 0.0734))
    assert reader.complete and reader.take_request() == Request(
        b"POST",
        b"/record?obj=4",
        [
            (b"host", b"service.internal"),
            (b"x-call-id", b"i"),
            (b"idempotency-key", b"k"),
            (b"x-budget-ms", b"73"),
            (b"content-length", b"4"),
        ],
        b"body",
        length=4,
    )


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b"TEXT inflight=7, queue=2, util=0.61", (2.0,)),
        (b"TEXT q=3.5", (3.5,)),
        (b"TEXT queue=", ()),
        (b"TEXT util=1", ()),
        (b"\xff\xfe", ()),
        (b"TEXT queue=-4", ()),
        (b"TEXT queue=nan", ()),
        (b"", ()),
    ],
)
def test_load_report_is_parsed_or_ignored(tmp_path: Path, text: bytes, values: tuple[float, ...]) -> None:
    protocol = PlatformUpstreamProtocol(configure(tmp_path).settings, lambda server: (("", 0), None), True)
    assert protocol.load_report(Response(200, [(b"x-load-report", text)], b"b")) == values
