"""What the far ends of a run recorded. All times are seconds on the monotonic clock of the process that runs it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestClass(Enum):
    """What may be done with a request that may have run: its path, its method, and whether it may run again."""

    IDEMPOTENT = "lookup"
    KEYED = "record"
    NON_IDEMPOTENT = "charge"


class ClientEnd(Enum):
    """How a client's wait for an answer ended."""

    ANSWERED = "a whole answer"
    LEFT = "the client closed the connection itself"
    CLOSED_NEW = "a new connection ended without an answer"
    CLOSED_REUSED = "a connection that had carried a request before ended without an answer"
    CUT_SHORT = "the connection ended inside an answer"
    TIMED_OUT = "no answer until well after the client's time"
    NOT_CONNECTED = "no connection came up"


class ProcessEvent(Enum):
    """What was done to an instance's process."""

    STARTED = "started"
    TERMINATED = "SIGTERM"
    KILLED = "SIGKILL"
    RECONFIGURED = "SIGHUP, with discovery at another address"
    STOPPED = "SIGSTOP"
    CONTINUED = "SIGCONT"
    EXITED = "ended by itself"


@dataclass(frozen=True, slots=True)
class ClientRecord:
    """One request as its client saw it. `sent_at` is the time of its last byte."""

    request_id: str
    instance: str
    request_class: RequestClass
    sent_at: float
    budget: float
    ended_at: float
    end: ClientEnd
    status: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One attempt at a server. `ran`: the server did not reject it. `told_budget`: the seconds that it was told."""

    at: float
    request_id: str
    instance: str
    server: str
    zone: str
    ran: bool
    told_budget: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """A server's status changed at discovery."""

    at: float
    index: int
    server: str
    status: str


@dataclass(frozen=True, slots=True)
class ListWritten:
    """Discovery wrote a list of this index to an instance."""

    at: float
    instance: str
    index: int


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    at: float
    instance: str
    event: ProcessEvent


@dataclass(frozen=True, slots=True)
class Span:
    """Discovery was down, or said nothing on open watches, from `start` to `end`."""

    start: float
    end: float


@dataclass(slots=True)
class Records:
    """All of one run."""

    clients: list[ClientRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    written: list[ListWritten] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    outages: list[Span] = field(default_factory=list)
    silences: list[Span] = field(default_factory=list)
