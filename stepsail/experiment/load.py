"""Open-loop load generator, which loads a running instance at increasing rates until it no longer keeps up.

Requests are started on schedule, independently of the responses. Their latency is measured from the scheduled
start, even if a request first waits for a free connection of the generator. A pause of the instance therefore
shows in the latency of every request scheduled during the pause, not just of one (no coordinated omission).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from stepsail.experiment.table import Row
from stepsail.http import ClientConnection, ConnectionLimits, InvalidMessage, Progress, encode_request
from stepsail.loop import Closed, Loop, Semaphore, Stream, TimedOut
from stepsail.loop.driver import Address
from stepsail.standins.arrivals import Rate, arrivals

MICROSECONDS = 1e6  # per second
MIN_TIME = 1  # µs, the lowest latency that the histogram resolves
MAX_TIME = 120_000_000  # µs, the highest latency that the histogram can record
HISTOGRAM_DIGITS = 3
MAX_IN_FLIGHT = 20_000  # requests; beyond this, a request is counted as not begun
CONNECT_TIMEOUT = 2.0  # s
MIN_REQUEST_TIMEOUT = 0.001  # s sent in the request-timeout header
# Share of the requests due that must be served in time for the instance to keep up with a rate.
MIN_IN_TIME_SHARE = 0.99
POLL_INTERVAL = 0.01  # s between checks whether all requests have ended
OK_BELOW = 400  # lower statuses count as served
REJECTED_STATUS = 503


@dataclass
class RequestSpec:
    """The request that is sent repeatedly.

    Attributes:
        address: address of the instance.
        method: HTTP method.
        path: HTTP path.
        body: HTTP body.
        client_timeout: seconds after which the client gives up.
        latency_objective: seconds within which an answer counts as in time.
    """

    address: Address
    method: bytes = b"GET"
    path: bytes = b"/"
    body: bytes = b""
    client_timeout: float = 3.0
    latency_objective: float = 1.0


@dataclass
class Step:
    """The results of loading the instance at one rate.

    Attributes:
        rate: requests per second.
        seconds: duration of the step.
        due: requests that were scheduled.
        served: requests answered with a status below 400.
        in_time: served requests that were answered within the latency objective.
        rejected: requests answered with 503.
        failed: requests answered with any other status.
        lost: requests that were not answered.
        not_begun: requests that were not sent because MAX_IN_FLIGHT were in flight.
        times: latencies in µs, from the time that a request was due to its answer.
    """

    rate: float
    seconds: float
    due: int = 0
    served: int = 0
    in_time: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    not_begun: int = 0
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(MIN_TIME, MAX_TIME, HISTOGRAM_DIGITS))

    @property
    def keeps_up(self) -> bool:
        """Whether at least MIN_IN_TIME_SHARE of the requests were served in time."""
        return self.due > 0 and self.in_time >= MIN_IN_TIME_SHARE * self.due

    def row(self) -> dict[str, float]:
        """Return the results by the column names of stored tables; times in seconds."""
        longest = self.times.get_max_value() / MICROSECONDS if self.times.get_total_count() else 0.0
        return {
            "rate": self.rate,
            "seconds": self.seconds,
            "due": self.due,
            "handled": self.served,
            "in_time": self.in_time,
            "denied": self.rejected,
            "errored": self.failed,
            "lost": self.lost,
            "not_begun": self.not_begun,
            "median": self._percentile(50),
            "p99": self._percentile(99),
            "p999": self._percentile(99.9),
            "longest": longest,
        }

    def _percentile(self, percentage: float) -> float:
        return float(self.times.get_value_at_percentile(percentage)) / MICROSECONDS


class LoadGenerator:
    """Sends requests over at most `connections` connections, with at most MAX_IN_FLIGHT in flight."""

    def __init__(self, loop: Loop, spec: RequestSpec, connections: int, random: Random) -> None:
        self.loop = loop
        self.spec = spec
        self.random = random
        self._connection_slots = Semaphore(loop, connections)
        self._idle: deque[ClientConnection] = deque()
        self._in_flight = 0
        self._last_number = 0

    def step(self, rate: Rate, peak: float, seconds: float, nominal: float | None = None) -> Step:
        """Send requests at a rate for some time, and wait until all have ended.

        Args:
            rate: requests per second as a function of time.
            peak: an upper bound of `rate`.
            seconds: how long requests are sent.
            nominal: the rate that the result states; `peak` by default.
        """
        step = Step(peak if nominal is None else nominal, seconds)
        start = self.loop.now()
        for at in arrivals(self.random, rate, peak, seconds):
            if start + at > self.loop.now():
                self.loop.sleep(start + at - self.loop.now())
            step.due += 1
            if self._in_flight >= MAX_IN_FLIGHT:
                step.not_begun += 1
                continue
            self._in_flight += 1
            self._last_number += 1
            self.loop.spawn(self._send, step, start + at, self._last_number, name="load")
        while self._in_flight:
            self.loop.sleep(POLL_INTERVAL)
        return step

    def _send(self, step: Step, due: float, number: int) -> None:
        """Send one request and count its outcome."""
        deadline = due + self.spec.client_timeout
        try:
            self._connection_slots.acquire(max(0.0, deadline - self.loop.now()))
            try:
                status = self._exchange(number, deadline)
            finally:
                self._connection_slots.release()
        except (OSError, Closed, InvalidMessage, TimedOut):
            step.lost += 1
            return
        finally:
            self._in_flight -= 1
        self._count(step, status, self.loop.now() - due)

    def _count(self, step: Step, status: int, duration: float) -> None:
        step.times.record_value(min(MAX_TIME, max(MIN_TIME, round(duration * MICROSECONDS))))
        if status < OK_BELOW:
            step.served += 1
            if duration <= self.spec.latency_objective:
                step.in_time += 1
        elif status == REJECTED_STATUS:
            step.rejected += 1
        else:
            step.failed += 1

    def _exchange(self, number: int, deadline: float) -> int:
        """Send one request over an idle or a new connection, and return the status of its answer."""
        spec = self.spec
        connection = self._connect(deadline)
        timeout = max(MIN_REQUEST_TIMEOUT, deadline - self.loop.now())
        headers = [
            (b"host", b"%s:%d" % (spec.address[0].encode(), spec.address[1])),
            (b"x-request-id", b"%d" % number),
            (b"request-timeout", b"%.4f" % timeout),
        ]
        try:
            request = encode_request(spec.method, spec.path, headers, spec.body)
            return connection.exchange(request, deadline, Progress()).status
        finally:
            if connection.usable:
                self._idle.append(connection)
            else:
                connection.abort()

    def _connect(self, deadline: float) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.stale():
                return connection
            connection.close()
        timeout = min(CONNECT_TIMEOUT, max(0.0, deadline - self.loop.now()))
        return ClientConnection(
            self.loop, Stream.connect(self.loop, self.spec.address, timeout), ConnectionLimits()
        )


def knee(steps: list[Step]) -> float:
    """Return the highest rate before the first that the instance did not keep up with; 0 if there is none."""
    highest = 0.0
    for step in steps:
        if not step.keeps_up:
            break
        highest = step.rate
    return highest


def make_row(step: Step, name: str, profile: str, seed: int, commit: str) -> Row:
    """Return a step as a row of an experiment; columns for simulated runs only have neutral values."""
    return {
        "key": f"load {name} {step.rate:g} {step.seconds:g} {commit}",
        "day": f"load {profile}",
        "seed": seed,
        "module": "stepsail",
        "commit": commit,
        "failed": "",
        "umpires": 1,
        "breaches": 0,
        "ideal": 1.0,
        "right": 0,
        "releases": 0,
        "cold_peak": 0.0,
        "service": step.in_time / max(1, step.due),
        **step.row(),
    }
