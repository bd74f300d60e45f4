"""Summarizes a run in figures: timely answers, votes, exposure, slow starts.

Where the run's servers are emulated, latencies and loads are simulated too, not measured.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from stepsail.verify.exposure_rule import exposures
from stepsail.verify.history import History
from stepsail.verify.run_settings import RequestClass
from stepsail.verify.server_rules import slow_start_loads
from stepsail.verify.transcript_names import (
    ClientEvent,
    Line,
    ReleaseEvent,
    ReleasePhase,
    RequestOutcome,
    Source,
)
from stepsail.verify.violation import Violation


def quantile(values: list[float], share: float) -> float:
    """Return the `share` quantile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@dataclass
class Visit:
    """One request as a client sees it, including its retries at any instance.

    Attributes:
        request_class: Its request class.
        asked_at: When the client sent it first.
        latency: Seconds from then until it was served; None if it was not.
        earned_weight_share: The share of the class's priority weight that it earned: 1 if served within the
            latency objective, the class's late share if served later, otherwise 0.
    """

    request_class: str
    asked_at: float
    latency: float | None = None
    earned_weight_share: float = 0.0


@dataclass
class Release:
    """The course of one release, from its offer to its end."""

    build: int
    kind: str
    bad: bool
    offered_at: float
    end: str = "on trial"
    stage: int | None = None
    ended_after: float | None = None

    def as_json(self) -> dict[str, Any]:
        """Return the release's entry in the report.

        `right` states whether the decision was correct: a bad build rolled back, a good one released.
        """
        expected_end = ReleasePhase.ROLLING_BACK if self.bad else ReleasePhase.RELEASED
        entry: dict[str, Any] = {"build": self.build, "kind": self.kind, "bad": self.bad, "end": self.end}
        if self.ended_after is not None:
            entry |= {"stage": self.stage, "after": self.ended_after}
        return entry | {"right": self.end == expected_end}


def summary(history: History, violations: list[Violation]) -> dict[str, Any]:
    """Return all figures of a run as JSON-compatible data."""
    visits, answers = _read_visits(history)
    classes = {
        name: _class_summary(request_class, [visit for visit in visits if visit.request_class == name])
        for name, request_class in history.settings.request_classes.items()
    }
    total_weight = sum(figures["asked"] * figures["revenue"] for figures in classes.values())
    earned_weight = sum(
        figures["service"] * figures["asked"] * figures["revenue"] for figures in classes.values()
    )
    wrong_answers = [
        line for line in _lines_from(history, Source.CLIENT) if line["what"] == ClientEvent.WRONG_ANSWER
    ]
    return {
        "day": history.settings_line["name"],
        "seed": history.settings_line["seed"],
        "service": round(earned_weight / total_weight, 4) if total_weight else 0.0,
        "products": classes,
        "answers": dict(sorted(answers.items())),
        "wrong_answers": len(wrong_answers),
        "releases": _releases(history),
        "votes": _votes(history),
        "exposure": _exposure(history),
        "cold": {server: round(load, 3) for server, load in sorted(slow_start_loads(history).items())},
        "relays": len(history.attempts),
        "breaches": [str(violation) for violation in violations],
    }


def _lines_from(history: History, source: Source) -> list[Line]:
    return [line for line in history.lines if line["at"] == source]


def _read_visits(history: History) -> tuple[list[Visit], Counter[str]]:
    """Return all visits, and the number of answers per outcome."""
    visits: dict[int, Visit] = {}
    answers: Counter[str] = Counter()
    for line in _lines_from(history, Source.CLIENT):
        if line["what"] not in (ClientEvent.SENT, ClientEvent.ANSWER, ClientEvent.NO_ANSWER):
            continue
        visit = visits.setdefault(line["visit"], Visit(line["product"], line["t"]))
        if line["what"] == ClientEvent.SENT:
            continue
        answers[line["verdict"]] += 1
        if line["verdict"] == RequestOutcome.SERVED:
            request_class = history.settings.request_classes[line["product"]]
            latency = line["t"] - visit.asked_at
            visit.latency = latency
            is_timely = latency <= request_class.latency_objective
            visit.earned_weight_share = 1.0 if is_timely else request_class.late_weight_share
    return list(visits.values()), answers


def _class_summary(request_class: RequestClass, visits: list[Visit]) -> dict[str, Any]:
    latencies = [visit.latency for visit in visits if visit.latency is not None]
    served = sum(visit.earned_weight_share for visit in visits)
    return {
        "asked": len(visits),
        "in_time": len([visit for visit in visits if visit.earned_weight_share == 1.0]),
        "service": round(served / len(visits), 4) if visits else 0.0,
        "median": round(quantile(latencies, 0.5), 4),
        "p99": round(quantile(latencies, 0.99), 4),
        "revenue": request_class.priority_weight,
    }


def _releases(history: History) -> list[dict[str, Any]]:
    releases: dict[int, Release] = {}
    for line in _lines_from(history, Source.RELEASE_CONTROL):
        if line["what"] == ReleaseEvent.OFFERED:
            releases[line["build"]] = Release(line["build"], line["kind"], line["bad"], offered_at=line["t"])
        elif line["what"] == ReleaseEvent.STATE and line["phase"] != ReleasePhase.CANARY:
            release = releases.get(line["build"])
            if release is not None:
                release.end = line["phase"]
                release.stage = line["stage"]
                release.ended_after = round(line["t"] - release.offered_at, 2)
    return [release.as_json() for release in releases.values()]


def _votes(history: History) -> dict[str, int]:
    votes = Counter(
        f"{line['verdict']} on build {line['build']}: {line['receipt']}"
        for line in _lines_from(history, Source.RELEASE_CONTROL)
        if line["what"] == ReleaseEvent.VOTE
    )
    return dict(sorted(votes.items()))


def _exposure(history: History) -> dict[str, Any]:
    """Return, for each instance, its number of attempts at canaries and the window closest to its limit."""
    by_instance: dict[str, Any] = {}
    for exposure in exposures(history):
        figures = by_instance.setdefault(str(exposure.attempt.instance), {"relays": 0, "closest": 0.0})
        figures["relays"] += 1
        if not exposure.attempts_allowed:
            continue
        share = exposure.attempts_in_window / exposure.attempts_allowed
        if share >= figures["closest"]:
            figures["closest"] = round(share, 3)
            figures["sent"] = exposure.attempts_in_window
            figures["allowed"] = round(exposure.attempts_allowed, 2)
    return by_instance
