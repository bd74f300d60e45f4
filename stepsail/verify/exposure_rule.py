"""Rule 5: in each window a canary gets no more than its burst allowance and its share of the requests."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from stepsail.verify.history import History
from stepsail.verify.records import DELIVERY_SLACK, FOREVER, Attempt, Request
from stepsail.verify.transcript_names import Idempotency, Line, ReleasePhase
from stepsail.verify.violation import Rule, Violation

ROUNDING_TOLERANCE = 1e-9  # attempts


@dataclass(frozen=True)
class Exposure:
    """One attempt at a canary, with the count and the limit of its instance's window at that moment."""

    attempt: Attempt
    attempts_in_window: int
    attempts_allowed: float
    exposure_limit: float
    release_state: Line | None


def exposures(history: History) -> Iterator[Exposure]:
    """Yield every attempt at a canary, instance by instance."""
    for instance in sorted({attempt.instance for attempt in history.attempts}):
        requests = [request for request in history.requests.values() if request.instance == instance]
        canary_attempts: list[Attempt] = []
        for attempt in history.attempts:
            if attempt.instance != instance:
                continue
            limit = _exposure_limit(history, attempt)
            if limit is not None:
                canary_attempts.append(attempt)
                yield _exposure(history, attempt, limit, canary_attempts, requests)


def _exposure(
    history: History, attempt: Attempt, limit: float, canary_attempts: list[Attempt], requests: list[Request]
) -> Exposure:
    """Count the attempts and requests in the window that ends with this attempt.

    Args:
        history: The history of the run.
        attempt: The attempt.
        limit: The exposure limit of its build.
        canary_attempts: All attempts at canaries of the same instance, up to this one.
        requests: All requests of the same instance.

    Returns:
        The attempt with the counts of its window.
    """
    settings = history.settings
    window_start = attempt.sent_at - settings.exposure_window
    counted_from = max(window_start, _counting_start(history, attempt)) + DELIVERY_SLACK
    latest = attempt.sent_at + DELIVERY_SLACK
    attempts_in_window = [
        other
        for other in canary_attempts
        if other.sent_at > counted_from and _counted_together(history, other, attempt)
    ]
    requests_in_window = [
        request
        for request in requests
        if window_start - DELIVERY_SLACK < request.sent_at < latest
        and _counted_together(history, request, attempt)
    ]
    return Exposure(
        attempt=attempt,
        attempts_in_window=len(attempts_in_window),
        attempts_allowed=settings.burst_allowance + limit * len(requests_in_window),
        exposure_limit=limit,
        release_state=history.release_state_at(attempt.instance, latest),
    )


def _counted_together(history: History, other: Attempt | Request, attempt: Attempt) -> bool:
    """Whether both count in the same window: always, or only if their request classes are equal."""
    return not history.settings.exposure_per_class or other.request_class == attempt.request_class


def _is_canary(history: History, attempt: Attempt, state: Line | None) -> bool:
    """Whether the attempt's build was a canary in this release state.

    Without a release state, every build except the oldest known one is a canary.
    """
    if state is None:
        lists = history.endpoint_lists(attempt.instance)
        builds = [build for line in lists for _, build in line["servers"].values()]
        return attempt.build > min(builds, default=attempt.build)
    announced = int(state["build"])
    return attempt.build > announced or (
        attempt.build == announced and state["phase"] != ReleasePhase.RELEASED
    )


def _possible_states(history: History, attempt: Attempt) -> list[Line | None]:
    """The release states that may have been in force when the attempt was sent.

    These are the last state that had certainly arrived one drain grace before the attempt, and every state
    that may have arrived since.
    """
    grace_start = attempt.sent_at - history.settings.drain_grace - DELIVERY_SLACK
    possible: list[Line | None] = [None]
    for notification in history.release_notifications(attempt.instance):
        if notification.may_have_arrived_at > attempt.sent_at + DELIVERY_SLACK:
            break
        if notification.received_by is not None and notification.received_by <= grace_start:
            possible = [notification.line]
        elif notification.may_have_arrived:
            possible.append(notification.line)
    return possible


def _exposure_limit(history: History, attempt: Attempt) -> float | None:
    """The highest exposure limit possibly in force; None if the build may not have been a canary."""
    limits = []
    for state in _possible_states(history, attempt):
        if not _is_canary(history, attempt, state):
            return None
        if state is not None and state["build"] == attempt.build:
            limits.append(float(state["cap"]))
        else:
            limits.append(history.settings.first_exposure_limit)
    return max(limits)


def _counting_start(history: History, attempt: Attempt) -> float:
    """When the count restarted: one drain grace after the exposure limit was last lowered."""
    states = [
        state
        for state in history.release_states(attempt.instance)
        if state["build"] == attempt.build
        and state["t"] <= attempt.sent_at
        and not history.may_have_been_lost(attempt.instance, state)
    ]
    lowered = [float(later["t"]) for earlier, later in pairwise(states) if later["cap"] < earlier["cap"]]
    if not lowered:
        return -FOREVER
    return lowered[-1] + history.settings.drain_grace


def check_exposure_limited(history: History) -> Iterator[Violation]:
    """Attempts at a canary stay within its exposure limit, and in its first stages all are idempotent."""
    for exposure in exposures(history):
        attempt = exposure.attempt
        if history.was_read_late(attempt, attempt.sent_at - history.settings.exposure_window):
            continue
        yield from _check_limit(exposure)
        yield from _check_stage(history, exposure)


def _violation(exposure: Exposure, clause: str, message: str) -> Violation:
    attempt = exposure.attempt
    state = exposure.release_state
    return Violation(
        Rule.EXPOSURE_LIMITED,
        clause,
        f"instance {attempt.instance}, build {attempt.build}",
        message,
        (attempt.line,) if state is None else (state, attempt.line),
    )


def _check_limit(exposure: Exposure) -> Iterator[Violation]:
    if exposure.exposure_limit <= 0:
        yield _violation(exposure, "sent at exposure limit 0", "no attempt may be sent to this build")
    elif exposure.attempts_in_window > exposure.attempts_allowed + ROUNDING_TOLERANCE:
        yield _violation(
            exposure,
            "over the exposure limit",
            f"{exposure.attempts_in_window} attempts where {exposure.attempts_allowed:.2f} are allowed",
        )


def _check_stage(history: History, exposure: Exposure) -> Iterator[Violation]:
    attempt = exposure.attempt
    idempotency = history.settings.request_classes[attempt.request_class].idempotency
    stages = [
        int(state["stage"]) if state is not None and state["build"] == attempt.build else 0
        for state in _possible_states(history, attempt)
    ]
    if idempotency != Idempotency.IDEMPOTENT and max(stages) < history.settings.first_unrestricted_stage:
        yield _violation(
            exposure,
            "idempotent-only stage",
            f"request with idempotency {idempotency} in stage {max(stages)}",
        )
