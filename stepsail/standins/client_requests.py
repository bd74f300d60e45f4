"""Requests of the simulated clients: kinds of requests, visits, and the attempts of a visit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stepsail.http import Response, encode_request
from stepsail.loop.driver import Address


class ClientOutcome(StrEnum):
    """Outcome of an attempt as its client sees it; the values are the words of the transcript."""

    SERVED = "handled"
    FAILED = "errored"
    REJECTED = "denied"
    CONNECTION_LOST = "lost"
    CONNECTION_REFUSED = "refused"
    TIMED_OUT = "gave up"


@dataclass
class ClientRequest:
    """A kind of request that clients send, with its share of the traffic and client timeout (s)."""

    name: str
    method: str
    path: str
    share: float
    timeout: float
    sends_idempotency_key: bool


@dataclass(frozen=True)
class Visit:
    """One client's request, which the client retries until it is served or no retry is left."""

    number: int
    request: ClientRequest
    zone: str
    attempt_timeout: float  # s that the client waits for the response to each attempt


@dataclass
class ClientAttempt:
    """One attempt of a visit, sent to one instance."""

    visit: Visit
    retry_number: int
    instance: int
    address: Address
    started_at: float
    outcome: ClientOutcome = ClientOutcome.CONNECTION_LOST
    retry_after: float = 0.0
    response: Response | None = None

    @property
    def request_id(self) -> str:
        """The request id that the client sends."""
        return f"{self.visit.number}-{self.retry_number}"

    @property
    def transcript_fields(self) -> dict[str, str | int]:
        """The fields that identify this attempt in every transcript line about it."""
        return {"id": self.request_id, "umpire": self.instance}


def encode_attempt(attempt: ClientAttempt) -> bytes:
    """Encode the HTTP request of an attempt."""
    visit = attempt.visit
    host, port = attempt.address
    headers = [
        (b"host", b"%s:%d" % (host.encode(), port)),
        (b"x-request-id", attempt.request_id.encode()),
        (b"request-timeout", b"%.4f" % visit.attempt_timeout),
    ]
    if visit.request.sends_idempotency_key:
        headers.append((b"idempotency-key", b"visit-%d" % visit.number))
    if attempt.retry_number:
        headers.append((b"idempotency-repeat", b"?1"))
    body = b'{"visit":%d}' % visit.number if visit.request.method != "GET" else b""
    return encode_request(visit.request.method.encode(), visit.request.path.encode(), headers, body)
