"""Simulated clients: they arrive at random, wait for a response, retry, and report wrong answers."""

from __future__ import annotations

import hashlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from stepsail.http import (
    ClientConnection,
    ConnectionLimits,
    InvalidMessage,
    Progress,
    Response,
    encode_request,
)
from stepsail.loop import Closed, Loop, Stream, TimedOut
from stepsail.loop.driver import Address
from stepsail.standins.client_requests import (
    ClientAttempt,
    ClientOutcome,
    ClientRequest,
    Visit,
    encode_attempt,
)
from stepsail.standins.load_balancer import LoadBalancer
from stepsail.standins.transcript import Transcript

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 20.0  # after which a kept-alive connection is not reused
LINGER_S = 0.3  # for which a client reads past its deadline, to detect a response that comes too late
REPORT_TIMEOUT_S = 2.0
MAX_OPEN_VISITS = 5000  # further visits are not started, and the transcript records them as such
FIRST_ERROR_STATUS = 400
UNAVAILABLE = 503


RETRIED_OUTCOMES = frozenset(
    {ClientOutcome.REJECTED, ClientOutcome.CONNECTION_LOST, ClientOutcome.CONNECTION_REFUSED}
)


@dataclass
class ClientBehavior:
    """Retries, timeouts and reports of clients; each client draws its values from the ranges."""

    retries: int = 2
    backoff: float = 0.1  # s before a retry when the response has no Retry-After
    # Range of the share of the client timeout after which a client gives up an attempt.
    timeout_shares: tuple[float, float] = (0.6, 1.0)
    report_share: float = 0.5  # of the wrong answers, which clients report
    report_delay: tuple[float, float] = (0.4, 4.0)  # s from a wrong answer to its report


class ClientPopulation:
    """All clients of a run; `rate` returns the current number of visits per second."""

    def __init__(
        self,
        loop: Loop,
        transcript: Transcript,
        requests: list[ClientRequest],
        behavior: ClientBehavior,
        balancers: dict[str, LoadBalancer],
        rate: Callable[[], float],
        random: Random,
    ) -> None:
        self.loop = loop
        self.transcript = transcript
        self.requests = requests
        self.behavior = behavior
        self.balancers = balancers
        self.rate = rate
        self.random = random
        self.visits = 0
        self.open_visits = 0
        self.outcomes: Counter[str] = Counter()
        self._idle: dict[int, deque[ClientConnection]] = {}  # idle connections by instance

    def start_visits(self, until: float) -> None:
        """Start visits at random times until `until`, without waiting for the responses to earlier ones."""
        at = self.loop.now()
        while True:
            at += self.random.expovariate(self.rate())
            if at >= until:
                return
            visit = self._draw_visit()
            if at > self.loop.now():
                self.loop.sleep(at - self.loop.now())
            if self.open_visits >= MAX_OPEN_VISITS:
                self.transcript.add("client", "not begun", visit=visit.number)
                continue
            self.open_visits += 1
            self.loop.spawn(self._visit, visit, name="client")

    def _draw_visit(self) -> Visit:
        request = self.random.choices(self.requests, [request.share for request in self.requests])[0]
        zone = self.random.choice(list(self.balancers))
        attempt_timeout = request.timeout * self.random.uniform(*self.behavior.timeout_shares)
        visit = Visit(self.visits, request, zone, attempt_timeout)
        self.visits += 1
        return visit

    def _visit(self, visit: Visit) -> None:
        try:
            for retry_number in range(self.behavior.retries + 1):
                outcome, retry_after = self._send_attempt(visit, retry_number)
                is_retried = outcome in RETRIED_OUTCOMES or (
                    outcome is ClientOutcome.FAILED and visit.request.method == "GET"
                )
                if not is_retried or retry_number == self.behavior.retries:
                    return
                self.loop.sleep(retry_after or self.behavior.backoff * (1 + self.random.random()))
        finally:
            self.open_visits -= 1

    def _send_attempt(self, visit: Visit, retry_number: int) -> tuple[ClientOutcome, float]:
        """Send a request once; return its outcome and the time (s) to wait that the response asked for."""
        instance, address = self.balancers[visit.zone].choose()
        attempt = ClientAttempt(visit, retry_number, instance, address, self.loop.now())
        self._exchange(attempt)
        self.outcomes[attempt.outcome.value] += 1
        response = attempt.response
        self.transcript.add(
            "client",
            "answer" if response else "no answer",
            **attempt.transcript_fields,
            verdict=attempt.outcome.value,
            status=response.status if response else 0,
            product=visit.request.name,
            visit=visit.number,
            took=round(self.loop.now() - attempt.started_at, 6),
            **self._receipt_fields(response),
            **self._policy_field(response),
        )
        if response and attempt.outcome is ClientOutcome.SERVED:
            self._check_answer(attempt, response)
        return attempt.outcome, attempt.retry_after

    def _exchange(self, attempt: ClientAttempt) -> None:
        """Send the request and set the outcome of the attempt."""
        progress = Progress()
        connection = None
        try:
            connection = self._connect(attempt.instance, attempt.address)
            deadline = self._record_sent(attempt)
            attempt.response = connection.exchange(encode_attempt(attempt), deadline, progress)
            attempt.outcome, attempt.retry_after = self._classify_response(attempt.response)
        except TimedOut:
            attempt.outcome = ClientOutcome.TIMED_OUT if connection else ClientOutcome.CONNECTION_REFUSED
            if connection and self._receives_after_deadline(connection):
                self.transcript.add("client", "late", **attempt.transcript_fields)
        except (OSError, Closed, InvalidMessage):
            attempt.outcome = (
                ClientOutcome.CONNECTION_LOST if progress.written else ClientOutcome.CONNECTION_REFUSED
            )
        if connection:
            if connection.reader.buffer:
                self.transcript.add("client", "extra", **attempt.transcript_fields)
            self._keep_or_close(attempt.instance, connection)

    def _record_sent(self, attempt: ClientAttempt) -> float:
        """Record that an attempt is about to be sent, and return its deadline."""
        visit = attempt.visit
        deadline = self.loop.now() + visit.attempt_timeout
        self.transcript.add(
            "client",
            "send",
            **attempt.transcript_fields,
            visit=visit.number,
            turn=attempt.retry_number,
            product=visit.request.name,
            until=round(deadline, 6),
            zone=visit.zone,
        )
        return deadline

    @staticmethod
    def _policy_field(response: Response | None) -> dict[str, int]:
        version = response.header(b"stepsail-policy") if response else None
        return {"policy": int(version)} if version else {}

    @staticmethod
    def _receipt_fields(response: Response | None) -> dict[str, str]:
        """Return the proof that a client keeps: the instance's receipt and a digest of the response."""
        receipt = response.header(b"stepsail-receipt") if response else None
        if response is None or receipt is None:
            return {}
        body = hashlib.blake2b(b"%d " % response.status + response.body, digest_size=16).hexdigest()
        return {"receipt": receipt.decode(), "digest": body}

    @staticmethod
    def _classify_response(response: Response) -> tuple[ClientOutcome, float]:
        """Return the outcome, and the time (s) to wait that the response asked for."""
        if response.status < FIRST_ERROR_STATUS:
            return ClientOutcome.SERVED, 0.0
        retry_after = response.header(b"retry-after")
        if response.status != UNAVAILABLE or retry_after is None:
            return ClientOutcome.FAILED, 0.0
        try:
            return ClientOutcome.REJECTED, float(msgspec.json.decode(response.body)["stay_away"])
        except (ValueError, KeyError, msgspec.MsgspecError):
            return ClientOutcome.REJECTED, float(retry_after or 0)

    @staticmethod
    def _receives_after_deadline(connection: ClientConnection) -> bool:
        """Return whether any bytes arrive after the client's deadline."""
        try:
            return bool(connection.stream.read(LINGER_S))
        except (OSError, TimedOut, Closed):
            return False

    def _connect(self, instance: int, address: Address) -> ClientConnection:
        """Return an idle connection that is still usable, or a new connection."""
        idle = self._idle.setdefault(instance, deque())
        while idle:
            connection = idle.pop()
            if self.loop.now() - connection.used_at < IDLE_TIMEOUT_S and not connection.stale():
                return connection
            connection.close()
        return ClientConnection(
            self.loop, Stream.connect(self.loop, address, CONNECT_TIMEOUT_S), ConnectionLimits()
        )

    def _keep_or_close(self, instance: int, connection: ClientConnection) -> None:
        if connection.usable:
            self._idle[instance].append(connection)
        else:
            connection.abort()

    def _check_answer(self, attempt: ClientAttempt, response: Response) -> None:
        """Record a response if it is wrong, and report a share of the wrong ones to the instance."""
        try:
            is_wrong = bool(msgspec.json.decode(response.body)["wrong"])
        except (ValueError, KeyError, msgspec.MsgspecError):
            return
        if not is_wrong:
            return
        class_name = attempt.visit.request.name
        self.transcript.add("client", "wrong", umpire=attempt.instance, product=class_name)
        if self.random.random() < self.behavior.report_share:
            via = (response.header(b"via") or b"").decode()
            server = via[via.rfind("(") + 1 :].rstrip(")")
            self.loop.spawn(self._report_wrong_answer, attempt, server, name="client's report")

    def _report_wrong_answer(self, attempt: ClientAttempt, server: str) -> None:
        delay = self.random.uniform(*self.behavior.report_delay)
        self.loop.sleep(delay)
        report = {"server": server, "product": attempt.visit.request.name, "age": round(delay, 3)}
        body = msgspec.json.encode(report)
        try:
            connection = self._connect(attempt.instance, attempt.address)
            connection.exchange(
                encode_request(b"POST", b"/.stepsail/contested", [(b"host", b"umpire")], body),
                self.loop.now() + REPORT_TIMEOUT_S,
                Progress(),
            )
            self._keep_or_close(attempt.instance, connection)
        except (OSError, TimedOut, Closed, InvalidMessage):
            return
