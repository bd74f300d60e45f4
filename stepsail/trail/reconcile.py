"""Compares trails with the answers that clients received, and merges trails of several instances. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any, NamedTuple

from stepsail.trail.entries import Entry, EntryKind

COMPARED_FIELDS = ("verdict", "status", "digest")


@dataclass
class Reconciliation:
    """The result of comparing a trail with the answers that clients received.

    Attributes:
        received: The number of answers that clients received.
        recorded: The number of answers in the trail.
        matching: The number of received answers that equal the recorded ones.
        unconfirmed: The number of recorded answers without a SENT entry that no client received.
        discrepancies: Differences, as messages.
    """

    received: int = 0
    recorded: int = 0
    matching: int = 0
    unconfirmed: int = 0
    discrepancies: list[str] = field(default_factory=list)


class RecordedAnswer(NamedTuple):
    """An answer to a request, as recorded by one instance."""

    wall_time: float
    trail: str
    fields: dict[str, Any]


def reconcile(trail: Iterable[tuple[int, Entry]], client_answers: Iterable[dict[str, Any]]) -> Reconciliation:
    """Check that every answer that a client received is in the trail exactly once, and unchanged.

    Each of `client_answers` has a receipt, a verdict, a status and a digest; an answer without a receipt is a
    discrepancy. If older segments of the trail were retired, a SENT entry without its ANSWER entry is not a
    discrepancy, because the ANSWER entry may have been removed with those segments.
    """
    result = Reconciliation()
    recorded: dict[str, dict[str, Any]] = {}
    sent: set[str] = set()
    first_seq: int | None = None
    for seq, (kind, _, fields) in trail:
        if first_seq is None:
            first_seq = seq
        if kind == EntryKind.ANSWER:
            if fields["receipt"] in recorded:
                result.discrepancies.append(f"entry {seq}: second ANSWER entry for {fields['receipt']}")
            recorded[fields["receipt"]] = fields
        elif kind == EntryKind.SENT:
            sent.add(fields["receipt"])
            if fields["receipt"] not in recorded and not first_seq:
                result.discrepancies.append(
                    f"entry {seq}: SENT entry without an ANSWER entry: {fields['receipt']}"
                )
    seen: set[str] = set()
    for client_answer in client_answers:
        receipt = client_answer.get("receipt", "")
        result.received += 1
        discrepancy = _compare(receipt, client_answer, recorded, seen, first_seq or 0)
        if discrepancy:
            result.discrepancies.append(discrepancy)
        else:
            result.matching += 1
        seen.add(receipt)
    result.recorded = len(recorded)
    result.unconfirmed = sum(1 for receipt in recorded if receipt not in sent and receipt not in seen)
    return result


def _compare(
    receipt: str,
    client_answer: dict[str, Any],
    recorded: Mapping[str, dict[str, Any]],
    seen: set[str],
    first_seq: int,
) -> str | None:
    """Return how a client's answer differs from the recorded one; None if they agree."""
    if receipt in seen:
        return f"{receipt or 'no receipt'}: received twice"
    recorded_answer = recorded.get(receipt)
    if recorded_answer is None:
        retired = f", which begins at entry {first_seq}: older segments were retired" if first_seq else ""
        return f"{receipt or 'no receipt'}: received, but not in the trail{retired}"
    if any(recorded_answer[name] != client_answer[name] for name in COMPARED_FIELDS):
        return f"{receipt}: the client received a different answer than the trail records"
    return None


def merge(trails: Mapping[str, Iterable[tuple[int, Entry]]]) -> dict[str, list[RecordedAnswer]]:
    """Group the answers of several trails by request, each group in the order of time.

    The key of a group is the idempotency key, else the client's request id, else the receipt. The answers to
    a request and to its retries at other instances are therefore in one group.
    """
    answers: dict[str, list[RecordedAnswer]] = defaultdict(list)
    for name, trail in trails.items():
        for _, (kind, wall_time, fields) in trail:
            if kind == EntryKind.ANSWER:
                request = fields["label"] or fields["request"] or fields["receipt"]
                answers[request].append(RecordedAnswer(wall_time, name, fields))
    return {
        request: sorted(request_answers, key=attrgetter("wall_time"))
        for request, request_answers in answers.items()
    }
