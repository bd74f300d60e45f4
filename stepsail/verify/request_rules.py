"""Rules 1 and 2: each request is answered once and in time, and no request takes effect twice."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from stepsail.verify.history import History
from stepsail.verify.records import DELIVERY_SLACK, Attempt, Request
from stepsail.verify.run_settings import RequestClass
from stepsail.verify.transcript_names import (
    SERVERS,
    ClientEvent,
    DeduplicationScope,
    Idempotency,
    Line,
    RequestOutcome,
)
from stepsail.verify.violation import Rule, Violation

# Seconds by which a client may notice its own deadline late.
CLIENT_SLACK = 0.05
# Seconds after a request's deadline within which an instance that failed meanwhile may still answer.
LATE_ANSWER_LIMIT = 0.5

answer_violation = partial(Violation, Rule.ANSWERED_ONCE)
effect_violation = partial(Violation, Rule.NO_EFFECT_TWICE)


# Rule 1


def check_answered_once(history: History) -> Iterator[Violation]:
    """Each request gets one answer by its deadline, unless its instance failed, and no attempt after that.

    An instance that was down or stopped while it had the request may answer up to `LATE_ANSWER_LIMIT` late.
    """
    for line in history.unmatched_answers:
        yield answer_violation(
            "answer without a request", line["id"], "the client had not sent this request", (line,)
        )
    for request_id, request in history.requests.items():
        yield from _check_answers(history, request_id, request)
        yield from _check_attempts_after_answer(history, request_id, request)


def _final_answers(request: Request) -> list[Line]:
    return [line for line in request.answers if line["what"] == ClientEvent.ANSWER]


def _check_answers(history: History, request_id: str, request: Request) -> Iterator[Violation]:
    final = _final_answers(request)
    others = [line for line in request.answers if line["what"] != ClientEvent.ANSWER]
    if len(final) > 1 or any(line["what"] == ClientEvent.EXTRA_ANSWER for line in others):
        yield answer_violation(
            "answered twice",
            request_id,
            "more than one answer, or data after the answer",
            (request.line, *request.answers),
        )
    failed = _instance_failed(history, request)
    late = [line for line in others if line["what"] == ClientEvent.LATE_ANSWER]
    late += [line for line in final if line["t"] > request.deadline + CLIENT_SLACK]
    for line in late:
        if failed and line["t"] <= request.deadline + LATE_ANSWER_LIMIT + CLIENT_SLACK:
            continue
        yield answer_violation(
            "answered late", request_id, "the answer came after the client's deadline", (request.line, line)
        )
    if not request.answers and not failed:
        yield answer_violation(
            "never answered",
            request_id,
            f"no answer by {request.deadline:.3f}",
            (request.line, *(attempt.line for attempt in request.attempts)),
        )


def _check_attempts_after_answer(history: History, request_id: str, request: Request) -> Iterator[Violation]:
    final = _final_answers(request)
    ended_at = min([request.deadline, *(line["t"] for line in final)])
    for attempt in request.attempts:
        if attempt.sent_at > ended_at + DELIVERY_SLACK and not history.was_read_late(attempt, ended_at):
            yield answer_violation(
                "sent after the answer",
                request_id,
                f"attempt {attempt.sent_at - ended_at:.3f} s after the end of the request",
                (request.line, *final, attempt.line),
            )


def _instance_failed(history: History, request: Request) -> bool:
    """Whether the instance was down or stopped between the request's arrival and its deadline."""
    start = request.sent_at - DELIVERY_SLACK
    end = request.deadline + DELIVERY_SLACK
    faults = history.faults
    return faults.was_down(request.instance, start, end) or faults.was_stopped(request.instance, start, end)


# Rule 2


def check_no_effect_twice(history: History) -> Iterator[Violation]:
    """A request that may have run is retried or rejected only where its request class allows it."""
    for request_id, request in history.requests.items():
        request_class = history.settings.request_classes[request.request_class]
        attempts = sorted(request.attempts, key=lambda attempt: attempt.sent_at)
        for index, attempt in enumerate(attempts):
            may_have_run = [earlier for earlier in attempts[:index] if not earlier.rejected]
            if may_have_run:
                yield from _check_repeat(request_id, request_class, may_have_run, attempt)
            if not history.settings.hedging_allowed:
                yield from _check_concurrent(history, request_id, may_have_run, attempt)
        yield from _check_rejection(request_id, request, request_class, attempts)


def _check_repeat(
    request_id: str, request_class: RequestClass, may_have_run: list[Attempt], attempt: Attempt
) -> Iterator[Violation]:
    if request_class.idempotency == Idempotency.NON_IDEMPOTENT:
        yield effect_violation(
            "non-idempotent request sent again",
            request_id,
            "an earlier attempt may have run",
            (*(earlier.line for earlier in may_have_run), attempt.line),
        )
    if request_class.idempotency == Idempotency.IDEMPOTENCY_KEY:
        first = may_have_run[0]
        if not _is_key_known(request_class.deduplication_scope, first, attempt):
            yield effect_violation(
                "idempotency key sent outside its scope",
                request_id,
                f"{attempt.server} does not recognize idempotency keys that {first.server} received",
                (first.line, attempt.line),
            )
        if attempt.sent_at > first.sent_at + request_class.key_window + DELIVERY_SLACK:
            yield effect_violation(
                "idempotency key sent after its window",
                request_id,
                f"{attempt.sent_at - first.sent_at:.3f} s after the first attempt",
                (first.line, attempt.line),
            )


def _is_key_known(scope: DeduplicationScope, first: Attempt, repeat: Attempt) -> bool:
    """Whether the repeat's server recognizes the idempotency key of the first attempt."""
    match scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return first.zone == repeat.zone
        case DeduplicationScope.CELL:
            return first.server == repeat.server


def _check_concurrent(
    history: History, request_id: str, may_have_run: list[Attempt], attempt: Attempt
) -> Iterator[Violation]:
    for earlier in may_have_run:
        still_runs = earlier.ended_at > attempt.sent_at + DELIVERY_SLACK
        if still_runs and not _cancellation_may_be_lost(history, earlier, attempt):
            yield effect_violation(
                "concurrent attempts",
                request_id,
                "a second attempt while the first may still run, without hedging",
                (earlier.line, attempt.line),
            )


def _cancellation_may_be_lost(history: History, earlier: Attempt, attempt: Attempt) -> bool:
    """Whether a fault may have kept the cancellation of the earlier attempt from its server."""
    zones = (history.zone_of(earlier.instance), earlier.zone)
    start = earlier.sent_at
    end = attempt.sent_at + DELIVERY_SLACK
    faults = history.faults
    return (
        faults.was_cut(zones, start, end)
        or faults.was_partitioned(earlier.instance, SERVERS, start, end)
        or faults.was_stalled(earlier.server, start, end)
    )


def _check_rejection(
    request_id: str, request: Request, request_class: RequestClass, attempts: list[Attempt]
) -> Iterator[Violation]:
    """Check that a request was not rejected after it may have run, unless a retry of it is harmless.

    A rejection tells the client that a retry is harmless.
    """
    rejections = (line for line in request.answers if line.get("verdict") == RequestOutcome.REJECTED)
    rejection = next(rejections, None)
    may_have_run = [attempt for attempt in attempts if not attempt.rejected]
    retry_is_harmless = request_class.idempotency == Idempotency.IDEMPOTENT or (
        request_class.idempotency == Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope == DeduplicationScope.ALL
    )
    if rejection and may_have_run and not retry_is_harmless:
        yield effect_violation(
            "rejected although it may have run",
            request_id,
            "a rejection states that a retry is harmless",
            (*(attempt.line for attempt in may_have_run), rejection),
        )
