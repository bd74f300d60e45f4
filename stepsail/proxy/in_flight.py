"""Requests in flight, from their acceptance to their final answer, and the attempts made for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from stepsail.decisions.interface import AttemptOutcome, RequestHandle
from stepsail.http import BufferAccount, ClientState, Request, Response
from stepsail.loop import Task, Waiter


class FinalAnswer(Enum):
    """The kind of answer that a client gets to a request; each request gets exactly one final answer."""

    SERVED = "a server's response"
    REJECTED = "a response that says that nothing ran, so that sending again is harmless"
    FAILED = "a response that promises nothing: the request may have run"
    CANCELLED_BY_CLIENT = "nothing: the client closed its connection first"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at having a server answer a request.

    Attributes:
        server: The server's address.
        task: The task that makes the attempt.
        outcome: How the attempt ended; None while it is open.
    """

    server: str
    task: Task
    outcome: AttemptOutcome | None = None


def _assume_connected() -> ClientState:
    return ClientState.CONNECTED


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request in flight: the proxy's counterpart of the router's `RequestHandle`.

    Attributes:
        number: Sequence number of the request in this process, from 0.
        deadline: Time by which the router must have answered. It is earlier than `client_deadline`, to leave
            time for writing the answer.
        client_deadline: When the client stops waiting.
        request_id: The client's id of the request, or `number` if it has none.
        finished: Whether the final answer is decided; attempts may still be open.
        streaming_attempt: Index of the attempt whose response is forwarded to the client as it arrives.
        retry_after: Seconds that a rejection tells the client to wait before it sends the request again.
        client_state: Checks the connection and returns whether the client is still there.
        policy_version: Version of the policy under which the request was accepted; None without a policy.
        waiter: Wakes the task that waits for the final answer.
        account: The bytes that are held for the request's client.
    """

    number: int
    request: Request
    deadline: float
    client_deadline: float
    request_id: str = ""
    router_handle: RequestHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0
    streaming_attempt: int | None = None
    finished: bool = False
    final_answer: FinalAnswer | None = None
    response: Response | None = None
    retry_after: float = 0.0
    client_state: Callable[[], ClientState] = _assume_connected
    policy_version: int | None = None
    waiter: Waiter | None = None
    account: BufferAccount | None = None

    def __post_init__(self) -> None:
        if not self.request_id:
            self.request_id = str(self.number)

    def finish(self, final_answer: FinalAnswer, response: Response | None = None) -> bool:
        """Set the final answer and return True; return False and change nothing if it is set already."""
        if self.finished:
            return False
        self.finished = True
        self.final_answer = final_answer
        self.response = response
        if self.waiter:
            self.waiter.wake()
        return True
