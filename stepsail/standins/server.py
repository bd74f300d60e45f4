"""A stand-in server with cores, a queue, a slow start, load reports, idempotency keys, and a build.

Jobs are simulated: a job occupies one of the server's cores until a timer fires and uses no processor time. A
server that is sent more than `overload_multiple` times its capacity during its slow start, summed over
`overload_window` seconds, crashes and stays down.
"""

from __future__ import annotations

from collections import deque
from random import Random

from stepsail.http import (
    ClientState,
    ConnectionLimits,
    InvalidMessage,
    Request,
    ServerConnection,
    encode_response,
)
from stepsail.loop import Closed, Listener, Loop, Stream, Waiter
from stepsail.loop.driver import Address
from stepsail.standins.builds import Build
from stepsail.standins.server_group import KeyStore, ServerClass, ServerGroup
from stepsail.standins.transcript import Transcript

NOT_RUN = (b"stepsail-not-run", b"1")
JSON = (b"content-type", b"application/json")
LOAD_PATH = "/.stepsail/load"
VIA_PREFIX = b"umpire-"

BACKLOG = 10000
IDLE_TIMEOUT_S = 300.0
WRITE_TIMEOUT_S = 10.0
OK = 200
MAX_WORK_FACTOR = 20.0  # multiple of the mean work; higher draws are capped, so that a run ends
MIN_SPEED = 0.01
REPEAT_WORK_SHARE = 0.01  # share of the work that a repeat with a known idempotency key takes
SPARE_REQUESTS = 3  # random excess over the overload limit that is tolerated, in requests of mean work


class Job:
    """A request that a server has queued or runs."""

    __slots__ = ("done", "dropped", "key", "request_class", "started", "status", "waiter", "work", "wrong")

    def __init__(self, request_class: ServerClass, work: float, key: str, waiter: Waiter) -> None:
        self.request_class = request_class
        self.work = work
        self.key = key
        self.waiter = waiter
        self.started = False
        self.done = False
        self.dropped = False
        self.wrong = False
        self.status = OK


class StandInServer:
    """One server process at one address; a restart is a new object at the same address after `kill`."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        zone: str,
        group: ServerGroup,
        build: Build,
        random: Random,
        transcript: Transcript,
        cold: bool = True,
        listen_address: Address = ("127.0.0.1", 0),
    ) -> None:
        self.loop = loop
        self.name = name
        self.zone = zone
        self.shape = group.shape
        self.build = build
        self.classes = {request_class.path: request_class for request_class in group.classes}
        self.conditions = group.conditions
        self.key_stores = group.key_stores
        self.random = random
        self.transcript = transcript
        self.started_at = loop.now()
        self.start_id = f"{name}@{self.started_at:.6f}"
        self.warm_at = self.started_at + (self.shape.slow_start_duration if cold else 0.0)
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.alive = True
        self.stalled_until = 0.0
        self.stolen_share = 0.0  # share of its capacity that a noisy neighbor takes
        self._recent_work: deque[tuple[float, float]] = deque()  # arrival time and work
        self._recent_work_sum = 0.0
        self._report = b""
        self._report_due = 0.0
        self.listener = Listener(loop, listen_address, BACKLOG)
        self.address = self.listener.address
        transcript.add("box", "start", box=name, zone=zone, build=build.number, cold=cold)
        loop.spawn(self.listener.serve, self._serve, name, name=name)

    # Capacity

    def capacity_share(self) -> float:
        """Return the share of its full capacity that the server has now, below 1 during the slow start."""
        remaining = self.warm_at - self.loop.now()
        if remaining <= 0:
            return 1.0
        return 1 - (1 - self.shape.slow_start_floor) * remaining / self.shape.slow_start_duration

    def utilization(self) -> float:
        """Return the share of its cores that are busy."""
        return len(self.running) / self.shape.cores

    def speed(self) -> float:
        """Return the seconds of work that a core completes per second."""
        conditions = self.conditions
        return (
            self.capacity_share() / conditions.slowdown / conditions.build_slowdown * (1 - self.stolen_share)
        )

    def _check_overload(self, work: float) -> None:
        """Count the work of a request, and crash if the recent work is too much during the slow start."""
        now = self.loop.now()
        shape = self.shape
        self._recent_work.append((now, work))
        self._recent_work_sum += work
        while self._recent_work[0][0] < now - shape.overload_window:
            self._recent_work_sum -= self._recent_work.popleft()[1]
        if now >= self.warm_at:
            return
        limit = shape.overload_multiple * shape.cores * self.capacity_share() * shape.overload_window
        largest_mean = max(request_class.mean_work for request_class in self.classes.values())
        if self._recent_work_sum > limit + SPARE_REQUESTS * largest_mean:
            sent = round(self._recent_work_sum, 3)
            self.transcript.add("box", "fell", box=self.name, sent=sent, most=round(limit, 3))
            self.kill()

    # Work

    def _start_jobs(self) -> None:
        while self.alive and self.queue and len(self.running) < self.shape.cores:
            job = self.queue.popleft()
            if not job.dropped:
                self._start_job(job)

    def _start_job(self, job: Job) -> None:
        age = self.loop.now() - self.started_at
        utilization = self.utilization()
        duration = self.build.work_duration(job.work, utilization, age) / max(MIN_SPEED, self.speed())
        job.started = True
        if self.build.fails(job.request_class.name, utilization, age, self.random.random()):
            job.status = 500
        job.wrong = self.build.answers_wrongly(self.random.random())
        self.running.append(job)
        self.loop.call_later(duration, lambda: self._finish_job(job))

    def _finish_job(self, job: Job) -> None:
        if not self.alive:
            return
        if self.loop.now() < self.stalled_until:
            self.loop.call_at(self.stalled_until, lambda: self._finish_job(job))
            return
        self.running.remove(job)
        job.done = True
        if job.status == OK and job.key:
            self._key_store(job.request_class).times.setdefault(job.key, self.loop.now())
        job.waiter.wake()
        self._start_jobs()

    def _key_store(self, request_class: ServerClass) -> KeyStore:
        """Return the idempotency keys of this class, shared by all servers in its deduplication scope."""
        members = {"all": "all", "zone": self.zone}.get(request_class.scope, self.name)
        return self.key_stores.setdefault(f"{request_class.name} {members}", KeyStore())

    # Serving

    def _serve(self, stream: Stream) -> None:
        connection = ServerConnection(self.loop, stream, ConnectionLimits(idle_timeout=IDLE_TIMEOUT_S))
        while self.alive:
            try:
                request = connection.next()
            except InvalidMessage:
                return
            if request is None or not self.alive:
                return
            if self.loop.now() < self.stalled_until:
                self.loop.sleep(self.stalled_until - self.loop.now())
            response = self._respond(connection, request)
            if response is None or not self.alive:
                return
            stream.write(response, WRITE_TIMEOUT_S)

    def _load_report(self) -> tuple[bytes, bytes]:
        """Return the load report header, refreshed if it is older than `report_interval`."""
        if self.loop.now() >= self._report_due:
            self._report_due = self.loop.now() + self.shape.report_interval
            self._report = b"TEXT named_metrics.queue=%d, named_metrics.inflight=%d, cpu_utilization=%.3f" % (
                len(self.queue),
                len(self.queue) + len(self.running),
                self.utilization(),
            )
        return b"endpoint-load-metrics", self._report

    def _respond(self, connection: ServerConnection, request: Request) -> bytes | None:
        """Return the encoded response, or None if the server has died or the caller no longer waits."""
        path = request.target.split(b"?")[0].decode()
        if path == LOAD_PATH:
            return encode_response(200, [self._load_report()])
        request_class = next((c for prefix, c in self.classes.items() if path.startswith(prefix)), None)
        if request_class is None:
            return encode_response(404, [])
        request_id = (request.header(b"x-request-id") or b"").decode()
        key = (request.header(b"idempotency-key") or b"").decode()
        work = self._work(request_id, request_class)
        transcript_fields: dict[str, str | int] = {
            "box": self.name,
            "id": request_id,
            "umpire": _sending_instance(request),
        }
        self._record_attempt(request, request_class, work, transcript_fields)
        self._check_overload(work)
        if not self.alive:
            return None
        if len(self.queue) >= self.shape.max_queue:
            self.transcript.add("box", "full", **transcript_fields)
            return encode_response(503, [NOT_RUN, self._load_report()])
        is_repeat = self._is_repeat(request_class, key)
        job = Job(request_class, work * (REPEAT_WORK_SHARE if is_repeat else 1.0), key, self.loop.waiter())
        self.queue.append(job)
        self._start_jobs()
        if not self._wait_for(connection, job):
            self.transcript.add(
                "box", "dropped" if job.dropped else "unheard", **transcript_fields, ran=job.started
            )
            return None
        self.transcript.add(
            "box", "ran", **transcript_fields, status=job.status, repeat=is_repeat, wrong=job.wrong
        )
        body = b'{"box":"%s","wrong":%d}\n' % (self.name.encode(), job.wrong)
        return encode_response(job.status, [self._load_report(), JSON], body)

    def _work(self, request_id: str, request_class: ServerClass) -> float:
        """Return the core seconds of a request, drawn by its id: all attempts take about the same work."""
        work = min(MAX_WORK_FACTOR, Random(f"{request_id} work").expovariate(1.0)) * request_class.mean_work
        heavy_share = self.conditions.heavy_share
        if heavy_share and Random(f"{request_id} heavy").random() < heavy_share:
            work *= self.conditions.heavy_factor
        return work

    def _record_attempt(
        self,
        request: Request,
        request_class: ServerClass,
        work: float,
        transcript_fields: dict[str, str | int],
    ) -> None:
        policy = request.header(b"stepsail-policy")
        self.transcript.add(
            "box",
            "relay",
            **transcript_fields,
            zone=self.zone,
            build=self.build.number,
            product=request_class.name,
            work=round(work, 4),
            **({"policy": int(policy)} if policy else {}),
        )

    def _is_repeat(self, request_class: ServerClass, key: str) -> bool:
        if not key or request_class.idempotency != "labelled":
            return False
        first_run_at = self._key_store(request_class).times.get(key)
        return first_run_at is not None and self.loop.now() - first_run_at < request_class.key_window

    def _wait_for(self, connection: ServerConnection, job: Job) -> bool:
        """Wait until a job is done.

        Returns False if the server is killed or the caller disconnects. A disconnect drops a job that has not
        started.
        """
        armed = connection.wake_on_data(job.waiter)
        try:
            while not job.done:
                try:
                    self.loop.park(job.waiter, "the end of a job")
                finally:
                    if armed:
                        connection.stream.cancel_wake_on_read(job.waiter)
                        armed = False
                if not self.alive:
                    return False
                if not job.done:
                    if not _is_connected(connection):
                        job.dropped = not job.started
                        return False
                    job.waiter = self.loop.waiter()
                    armed = connection.wake_on_data(job.waiter)
        except Closed:
            return False
        return True

    # Faults

    def stall(self, seconds: float) -> None:
        """Process nothing for `seconds`, but keep the connections open."""
        self.stalled_until = self.loop.now() + seconds

    def kill(self) -> None:
        """End the process at once; its queued and running jobs are lost."""
        if self.alive:
            self.alive = False
            self.transcript.add("box", "end", box=self.name)
            self.listener.drop()
            for job in (*self.running, *self.queue):
                job.waiter.wake()


def _sending_instance(request: Request) -> int:
    """Return the number of the instance that sent the request, or -1 if no instance did."""
    via = request.header(b"via") or b""
    return int(via.rsplit(b"-", 1)[1]) if VIA_PREFIX in via else -1


def _is_connected(connection: ServerConnection) -> bool:
    try:
        return connection.read_ahead() is not ClientState.CLOSED
    except OSError:
        return False
