"""Checks the platform's rules on the records of a run.

The checks use nothing but the records, do no I/O, and share no code with the decisions. Not checked here:
overload of servers that are warming up, exposure of canary builds, and service floors.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from math import inf

from stepsail.qualify.records import (
    Arrival,
    ClientEnd,
    ClientRecord,
    ListChange,
    ProcessEvent,
    Records,
    RequestClass,
)

ANSWER_SLACK = 0.5  # s after the client's timeout; an answer within it is late, a later one counts as lost
# Seconds until an instance must know of a change: from the change, from the end of an outage of discovery, or
# from the moment when discovery stopped sending data.
MAX_PROPAGATION_DELAY = 6.0
# Seconds until an instance must know of a change, from when it got SIGHUP with another address of discovery.
MAX_DELAY_AFTER_RECONFIGURATION = 4.0
SOCKET_SLACK = 0.05  # s added to every limit for the latency of real sockets
DISCONNECT_SLACK = 0.1  # s after a client's disconnect during which an attempt may still begin
# Seconds before a client's disconnect; a process suspended since then may not have noticed the disconnect.
SUSPENSION_SLACK = 1.0
BUDGET_SLACK = 0.15  # s by which the time that an attempt states may exceed the time left to the client
RECORD_SLACK = 0.03  # s by which two recorders on one machine may differ on the time of the same event
REJECTED_STATUSES = (429, 503)
UP = "up"


class Rule(StrEnum):
    """The rule that was broken; the values are part of stored reports."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    REFUSED = "refused"
    DRAIN = "drain"
    BUDGET = "budget"
    CRASH = "crash"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits from the settings of the run, in seconds."""

    drain_grace: float
    key_window: float


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, the time of the breach, and the records that prove it."""

    rule: Rule
    at: float
    evidence: str


def find_breaches(records: Records, limits: Limits) -> list[Breach]:
    """Return all breaches that the records show, sorted by time."""
    breaches = [
        *find_unanswered(records),
        *find_duplicates(records, limits),
        *find_false_rejections(records),
        *find_attempts_at_drained_servers(records, limits),
        *find_attempts_after_disconnect(records),
        *find_excessive_budgets(records),
        *find_crashes(records),
        *find_memory_excesses(records),
    ]
    return sorted(breaches, key=lambda breach: breach.at)


def find_unanswered(records: Records) -> Iterator[Breach]:
    """Find requests without a complete answer in time.

    A request that was in flight when its instance got SIGKILL without an earlier SIGTERM is excused.
    """
    kill_times = _kills_without_warning(records)
    for client in records.clients:
        late = (
            client.end is ClientEnd.ANSWERED
            and client.ended_at > client.sent_at + client.budget + ANSWER_SLACK
        )
        unanswered = client.end in (ClientEnd.CLOSED_NEW, ClientEnd.CUT_SHORT, ClientEnd.TIMED_OUT)
        if not (late or unanswered):
            continue
        since = client.sent_at - RECORD_SLACK
        until = client.ended_at + RECORD_SLACK
        if any(since <= at <= until for at in kill_times[client.instance]):
            continue
        yield Breach(Rule.LOST, client.ended_at, f"{client}")


def _kills_without_warning(records: Records) -> dict[str, list[float]]:
    """Return, per instance, the times of SIGKILLs that no SIGTERM preceded since the start of the process."""
    kill_times: dict[str, list[float]] = defaultdict(list)
    terminated: set[str] = set()
    for record in records.processes:
        if record.event is ProcessEvent.STARTED:
            terminated.discard(record.instance)
        elif record.event is ProcessEvent.TERMINATED:
            terminated.add(record.instance)
        elif record.event is ProcessEvent.KILLED and record.instance not in terminated:
            kill_times[record.instance].append(record.at)
    return kill_times


def _attempts_by_request(records: Records) -> dict[str, list[Arrival]]:
    attempts: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        attempts[arrival.request_id].append(arrival)
    return attempts


def find_duplicates(records: Records, limits: Limits) -> Iterator[Breach]:
    """Find attempts that follow one that may have run, where the request class does not allow them.

    A non-idempotent request allows no further attempt. A request with an idempotency key allows further
    attempts in the zone of the first one and within the key window.
    """
    classes = {client.request_id: client.request_class for client in records.clients}
    for request_id, arrivals in _attempts_by_request(records).items():
        ran = [arrival for arrival in arrivals if arrival.ran]
        if not ran or classes.get(request_id, RequestClass.IDEMPOTENT) is RequestClass.IDEMPOTENT:
            continue
        first, *further = ran
        for arrival in further:
            in_window = arrival.at <= first.at + limits.key_window + SOCKET_SLACK
            keyed = classes[request_id] is RequestClass.KEYED
            if not (keyed and arrival.zone == first.zone and in_window):
                yield Breach(Rule.DUPLICATE, arrival.at, f"{first} {arrival}")


def find_false_rejections(records: Records) -> Iterator[Breach]:
    """Find rejected requests of which a server accepted an attempt.

    A rejection promises the client that the request did not run.
    """
    attempts = _attempts_by_request(records)
    for client in records.clients:
        is_rejected = client.end is ClientEnd.ANSWERED and client.status in REJECTED_STATUSES
        if not is_rejected or client.request_class is RequestClass.IDEMPOTENT:
            continue
        ran = [arrival for arrival in attempts[client.request_id] if arrival.ran]
        if ran:
            yield Breach(Rule.REFUSED, client.ended_at, f"{client} {ran[0]}")


def find_attempts_at_drained_servers(records: Records, limits: Limits) -> Iterator[Breach]:
    """Find attempts at a server that is draining or gone, after the drain grace has expired.

    The drain grace begins when the instance must know of the change.
    """
    for change in records.changes:
        if change.status == UP:
            continue
        up_again_at = _up_again_at(records, change)
        deadlines: dict[tuple[str, float], float] = {}
        for arrival in records.arrivals:
            if arrival.server != change.server or not change.at < arrival.at < up_again_at:
                continue
            started_at = _process_start(records, arrival)
            key = arrival.instance, started_at
            if key not in deadlines:
                deadlines[key] = propagation_deadline(records, change, arrival.instance, started_at)
            if arrival.at > deadlines[key] + limits.drain_grace + SOCKET_SLACK:
                yield Breach(
                    Rule.DRAIN, arrival.at, f"{change} must be known by {deadlines[key]:.3f} {arrival}"
                )


def _up_again_at(records: Records, change: ListChange) -> float:
    later = (c for c in records.changes if c.server == change.server and c.index > change.index)
    return min((c.at for c in later if c.status == UP), default=inf)


def _process_start(records: Records, arrival: Arrival) -> float:
    """Return the start time of the process that made an attempt."""
    starts = [
        record.at
        for record in records.processes
        if record.instance == arrival.instance and record.event is ProcessEvent.STARTED
    ]
    count = bisect_right(starts, arrival.at)
    return starts[count - 1] if count else -inf


def propagation_deadline(records: Records, change: ListChange, instance: str, started_at: float) -> float:
    """Return the time by which a process that requests endpoint lists must know of a change.

    This is the time when discovery sent it the change, or a fixed delay after the process could have received
    the change, whichever is earliest. The delay starts when discovery is reachable, when discovery stops
    sending data on open watches, or when the process is reconfigured with another address of discovery.
    """
    return min(
        _first_sent_at(records, change, instance, started_at),
        _deadline_after_reconfiguration(records, change, instance, started_at),
        _deadline_during_silence(records, change),
        _reachable_from(records, change) + MAX_PROPAGATION_DELAY,
    )


def _first_sent_at(records: Records, change: ListChange, instance: str, started_at: float) -> float:
    """Return when discovery first sent this process a list that contains the change."""
    times = (
        sent.at
        for sent in records.lists_sent
        if sent.instance == instance and sent.at >= started_at and sent.index >= change.index
    )
    return min(times, default=inf)


def _deadline_after_reconfiguration(
    records: Records, change: ListChange, instance: str, started_at: float
) -> float:
    times = (
        max(record.at, change.at) + MAX_DELAY_AFTER_RECONFIGURATION
        for record in records.processes
        if record.instance == instance
        and record.event is ProcessEvent.RECONFIGURED
        and record.at >= started_at
    )
    return min(times, default=inf)


def _deadline_during_silence(records: Records, change: ListChange) -> float:
    times = (
        max(change.at, silence.start + MAX_PROPAGATION_DELAY)
        for silence in records.silences
        if silence.start <= change.at < silence.end
    )
    return min(times, default=inf)


def _reachable_from(records: Records, change: ListChange) -> float:
    """Return the time of the change, or the end of the last outage that delays it.

    An outage delays the change if it overlaps the time within which the change would have to be known.
    """
    reachable_from = change.at
    for outage in records.outages:
        if outage.start < reachable_from + MAX_PROPAGATION_DELAY and outage.end > reachable_from:
            reachable_from = outage.end
    return reachable_from


def find_attempts_after_disconnect(records: Records) -> Iterator[Breach]:
    """Find attempts that begin after their client has closed its connection."""
    closed = {
        client.request_id: client.ended_at for client in records.clients if client.end is ClientEnd.LEFT
    }
    suspended = [record.at for record in records.processes if record.event is ProcessEvent.STOPPED]
    for arrival in records.arrivals:
        closed_at = closed.get(arrival.request_id, inf)
        was_suspended = any(closed_at - SUSPENSION_SLACK < at < arrival.at for at in suspended)
        if arrival.at > closed_at + DISCONNECT_SLACK + SOCKET_SLACK and not was_suspended:
            yield Breach(Rule.LOST, arrival.at, f"client left at {closed_at:.3f} {arrival}")


def find_excessive_budgets(records: Records) -> Iterator[Breach]:
    """Find attempts that state more time than is left to the client."""
    clients: dict[str, ClientRecord] = {client.request_id: client for client in records.clients}
    for arrival in records.arrivals:
        client = clients.get(arrival.request_id)
        if client is None:
            continue
        remaining = client.sent_at + client.budget - arrival.at
        if arrival.stated_budget > max(remaining, 0.0) + BUDGET_SLACK + SOCKET_SLACK:
            yield Breach(Rule.BUDGET, arrival.at, f"{client} {arrival}")


def find_crashes(records: Records) -> Iterator[Breach]:
    """Find processes that exited although no signal had told them to."""
    for record in records.processes:
        if record.event is ProcessEvent.EXITED:
            yield Breach(Rule.CRASH, record.at, f"{record}")


def find_memory_excesses(records: Records) -> Iterator[Breach]:
    """Find processes that had more memory resident than their limit, above which they are killed."""
    for peak in records.memory_peaks:
        if peak.resident > peak.limit:
            yield Breach(Rule.MEMORY, peak.at, f"{peak}")
