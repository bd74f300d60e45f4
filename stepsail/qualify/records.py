"""Records of clients, servers, discovery and processes during a run.

All times are seconds on the monotonic clock of the process that performs the run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RequestClass(Enum):
    """Whether a request may be sent again after it may have run. The values are the paths of the requests."""

    IDEMPOTENT = "lookup"
    KEYED = "record"
    NON_IDEMPOTENT = "charge"


class ClientEnd(Enum):
    """How a client's wait for an answer ended."""

    ANSWERED = "complete answer"
    LEFT = "client closed the connection"
    CLOSED_NEW = "new connection ended without an answer"
    CLOSED_REUSED = "reused connection ended without an answer"
    CUT_SHORT = "connection ended in the middle of an answer"
    TIMED_OUT = "no answer until well after the client timeout"
    NOT_CONNECTED = "connection was not established"


class ProcessEvent(Enum):
    """Kind of an event in the life of an instance's process."""

    STARTED = "started"
    TERMINATED = "SIGTERM"
    KILLED = "SIGKILL"
    RECONFIGURED = "SIGHUP with another address of discovery"
    STOPPED = "SIGSTOP"
    CONTINUED = "SIGCONT"
    EXITED = "exited without a signal"


@dataclass(frozen=True, slots=True)
class ClientRecord:
    """One request as its client saw it.

    Attributes:
        request_id: ID in the request's header; begins with the name of the instance.
        instance: Name of the instance that it was sent to.
        request_class: Class of the request.
        sent_at: Time immediately before the client sent it.
        budget: Client timeout in seconds.
        ended_at: Time when the answer was complete or the client stopped waiting.
        end: How the client's wait ended.
        status: HTTP status of a complete answer, else 0.
    """

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
    """One attempt as the server received it.

    Attributes:
        at: Time when the server had received the head of the attempt.
        request_id: ID of the request.
        instance: Name of the instance that sent it.
        server: Name of the server that received it.
        zone: Zone of the server.
        ran: Whether the server accepted the attempt instead of rejecting it.
        stated_budget: Seconds left to the client according to the attempt's header.
    """

    at: float
    request_id: str
    instance: str
    server: str
    zone: str
    ran: bool
    stated_budget: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of a server's status; `index` is the number of the first endpoint list that contains it."""

    at: float
    index: int
    server: str
    status: str


@dataclass(frozen=True, slots=True)
class ListSent:
    """The sending of an endpoint list, identified by its index, to an instance."""

    at: float
    instance: str
    index: int


@dataclass(frozen=True, slots=True)
class ProcessRecord:
    """An event in the life of an instance's process."""

    at: float
    instance: str
    event: ProcessEvent


@dataclass(frozen=True, slots=True)
class MemoryPeak:
    """The most memory that a process has had resident until a time, and its limit, in bytes."""

    at: float
    instance: str
    resident: int
    limit: int


@dataclass(frozen=True, slots=True)
class Span:
    """A period during which discovery was down or silent."""

    start: float
    end: float


@dataclass(slots=True)
class Records:
    """All records of one run, each list in chronological order.

    Attributes:
        clients: Requests as their clients saw them.
        arrivals: Attempts as servers received them.
        changes: Changes of the endpoint list.
        lists_sent: Endpoint lists that discovery sent.
        processes: Starts, signals and exits of processes.
        outages: Periods during which discovery refused connections.
        silences: Periods during which discovery sent nothing on open watches.
        memory_peaks: Memory of processes, read before they were ended and at the end of the run.
    """

    clients: list[ClientRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    lists_sent: list[ListSent] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    outages: list[Span] = field(default_factory=list)
    silences: list[Span] = field(default_factory=list)
    memory_peaks: list[MemoryPeak] = field(default_factory=list)
