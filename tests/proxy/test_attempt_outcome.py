"""The outcome of each exchange end, row by row."""

from __future__ import annotations

import pytest

from stepsail.decisions.interface import AttemptOutcome
from stepsail.proxy.attempt_outcome import NEVER_RAN, ExchangeEnd, attempt_outcome

ROWS = [
    # end, bytes written, status, has the not-run header -> outcome, may have run
    (ExchangeEnd.NOT_STARTED, 0, 0, False, AttemptOutcome.NOT_SENT, False),
    (ExchangeEnd.CONNECT_FAILED, 0, 0, False, AttemptOutcome.CONNECT_FAILED, False),
    # connected, but no byte was written
    (ExchangeEnd.CONNECTION_BROKEN, 0, 0, False, AttemptOutcome.CONNECT_FAILED, False),
    # an idle connection that closed during the write
    (ExchangeEnd.CONNECTION_BROKEN, 1, 0, False, AttemptOutcome.CONNECTION_LOST, True),
    # a truncated response, or one that is not HTTP
    (ExchangeEnd.CONNECTION_BROKEN, 500, 0, False, AttemptOutcome.CONNECTION_LOST, True),
    (ExchangeEnd.TIMED_OUT, 0, 0, False, AttemptOutcome.NOT_SENT, False),
    (ExchangeEnd.TIMED_OUT, 1, 0, False, AttemptOutcome.TIMED_OUT, True),
    (ExchangeEnd.CANCELLED, 0, 0, False, AttemptOutcome.NOT_SENT, False),
    (ExchangeEnd.CANCELLED, 1, 0, False, AttemptOutcome.CANCELLED, True),
    (ExchangeEnd.COMPLETED, 500, 200, False, AttemptOutcome.SERVED, True),
    # a client error counts as served
    (ExchangeEnd.COMPLETED, 500, 404, False, AttemptOutcome.SERVED, True),
    (ExchangeEnd.COMPLETED, 500, 500, False, AttemptOutcome.FAILED, True),
    # a 503 without the header may have run
    (ExchangeEnd.COMPLETED, 500, 503, False, AttemptOutcome.FAILED, True),
    (ExchangeEnd.COMPLETED, 500, 503, True, AttemptOutcome.REJECTED, False),
    # the header counts on a 503 only
    (ExchangeEnd.COMPLETED, 500, 500, True, AttemptOutcome.FAILED, True),
    # a response before the request was sent
    (ExchangeEnd.COMPLETED, 0, 200, False, AttemptOutcome.SERVED, True),
]


@pytest.mark.parametrize(
    ("end", "bytes_written", "status", "has_not_run_header", "outcome", "may_have_run"), ROWS
)
def test_outcome_of_exchange_end(
    end: ExchangeEnd,
    bytes_written: int,
    status: int,
    has_not_run_header: bool,
    outcome: AttemptOutcome,
    may_have_run: bool,
) -> None:
    assert attempt_outcome(end, bytes_written, status, has_not_run_header) is outcome
    assert (outcome not in NEVER_RAN) is may_have_run


@pytest.mark.parametrize("end", list(ExchangeEnd))
def test_written_byte_means_that_the_attempt_may_have_run(end: ExchangeEnd) -> None:
    """An attempt of which a byte was written may have run, unless the server says that it did not."""
    if end not in (ExchangeEnd.NOT_STARTED, ExchangeEnd.CONNECT_FAILED):
        assert attempt_outcome(end, 1, 200) not in NEVER_RAN
