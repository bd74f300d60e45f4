"""Derives an attempt's outcome, and so whether the attempt may have run, from how its exchange ended.

The module does no I/O and reads no clock.

The outcome depends on the bytes that left this process. If no byte of the request was written, the attempt
never ran. If at least one byte was written and no complete response was read, the attempt may have
run, regardless of what closed the connection. A server's statement that it did not run the request is
trusted.
"""

from __future__ import annotations

from enum import Enum

from stepsail.decisions.interface import AttemptOutcome

# On a 503 response, this header states that the server has not begun to run the request.
NOT_RUN_HEADER = b"stepsail-not-run"
NOT_RUN_STATUS = 503
# Lowest HTTP status that reports an error of the server.
FIRST_SERVER_ERROR = 500


class ExchangeEnd(Enum):
    """Names what ended an exchange with a server."""

    NOT_STARTED = "not sent: the request was finished, its deadline past, or a limit of this instance reached"
    CONNECT_FAILED = "connecting was refused, reset or timed out, or the server's certificate was not trusted"
    COMPLETED = "a complete response was read"
    CONNECTION_BROKEN = "the connection was closed or reset before the response was complete"
    INVALID_RESPONSE = "the response was not valid HTTP, or exceeded a limit"
    TIMED_OUT = "the attempt's deadline passed"
    CANCELLED = "the router cancelled the attempt"


OUTCOME_AFTER_FIRST_BYTE = {
    ExchangeEnd.NOT_STARTED: AttemptOutcome.NOT_SENT,
    ExchangeEnd.CONNECTION_BROKEN: AttemptOutcome.CONNECTION_LOST,
    ExchangeEnd.INVALID_RESPONSE: AttemptOutcome.CONNECTION_LOST,
    ExchangeEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    ExchangeEnd.CANCELLED: AttemptOutcome.CANCELLED,
}
NEVER_RAN = frozenset((AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT))
"""Outcomes that show that an attempt did not run; with any other outcome it may have run."""


def attempt_outcome(
    end: ExchangeEnd, bytes_written: int, status: int = 0, has_not_run_header: bool = False
) -> AttemptOutcome:
    """Return the outcome of an attempt.

    Args:
        end: What ended the exchange.
        bytes_written: Bytes of the request written to the connection that was used last.
        status: Status of the response, if one was read.
        has_not_run_header: Whether the response has the header `NOT_RUN_HEADER`.
    """
    if end is ExchangeEnd.COMPLETED:
        if status == NOT_RUN_STATUS and has_not_run_header:
            return AttemptOutcome.REJECTED
        is_server_error = status >= FIRST_SERVER_ERROR
        return AttemptOutcome.FAILED if is_server_error else AttemptOutcome.SERVED
    if end is ExchangeEnd.CONNECT_FAILED:
        return AttemptOutcome.CONNECT_FAILED
    if bytes_written > 0:
        return OUTCOME_AFTER_FIRST_BYTE[end]
    if end in (ExchangeEnd.CONNECTION_BROKEN, ExchangeEnd.INVALID_RESPONSE):
        return AttemptOutcome.CONNECT_FAILED
    return AttemptOutcome.NOT_SENT
