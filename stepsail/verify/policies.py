"""Checks the guarantees of policy changes, from the policy versions that servers and clients received.

- One policy: all attempts of a request, and its answer, carry the same version.
- Decided: no attempt or answer carries a version that was aborted or never decided.
- All or none: once a version has been seen anywhere for the stated bound, no request that is sent after that
  is accepted under an earlier version.
"""

from __future__ import annotations

from collections import Counter

from stepsail.verify.history import History
from stepsail.verify.transcript_names import (
    ClientEvent,
    Line,
    PolicyEvent,
    RequestOutcome,
    RunEvent,
    Source,
)


class PolicyChecker:
    """Checks one run; a run without policy settings has no violations."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.requests_per_policy: Counter[int] = Counter()
        self.rejected_without_policy = 0
        self._lines_by_request: dict[str, list[Line]] = {}  # lines with a policy version
        self._first_seen_at: dict[int, float] = {}  # by policy version

    def violations(self) -> list[str]:
        """Return all violations, in the order of the guarantees."""
        settings = self._find_line(Source.RUN, RunEvent.POLICY_SETTINGS)
        if settings is None:
            return []
        self._collect()
        return [
            *self._check_one_policy(),
            *self._check_decided(),
            *self._check_all_or_none(settings["bound"]),
        ]

    def _find_line(self, source: Source, event: str, *, last: bool = False) -> Line | None:
        lines = reversed(self.history.lines) if last else iter(self.history.lines)
        return next((line for line in lines if line["at"] == source and line["what"] == event), None)

    def _collect(self) -> None:
        for line in self.history.lines:
            is_answer = line["at"] == Source.CLIENT and line["what"] == ClientEvent.ANSWER
            if is_answer and "policy" not in line and line["verdict"] == RequestOutcome.REJECTED:
                self.rejected_without_policy += 1
            if "policy" in line and line["at"] in (Source.SERVER, Source.CLIENT):
                self._lines_by_request.setdefault(line["id"], []).append(line)
                self._first_seen_at.setdefault(line["policy"], line["t"])

    def _check_one_policy(self) -> list[str]:
        violations = []
        for request_id, lines in self._lines_by_request.items():
            versions = sorted({line["policy"] for line in lines})
            self.requests_per_policy[versions[0]] += 1
            if len(versions) > 1:
                violations.append(f"one policy: {request_id} was handled under versions {versions}")
        return violations

    def _check_decided(self) -> list[str]:
        outcome = self._find_line(Source.POLICY, PolicyEvent.OUTCOME, last=True)
        if outcome is None:
            return ["decided: the transcript does not state the outcome of the policy changes"]
        violations = []
        for version, at in sorted(self._first_seen_at.items()):
            if version and version not in outcome["held"]:
                status = "aborted" if version in outcome["given_up"] else "not decided"
                violations.append(f"decided: version {version} was seen at {at:.3f}, but was {status}")
        return violations

    def _check_all_or_none(self, bound: float) -> list[str]:
        violations = []
        for request_id, lines in self._lines_by_request.items():
            request = self.history.requests.get(request_id)
            if request is None:
                continue
            accepted_under = min(line["policy"] for line in lines)
            newer = [
                version
                for version, at in self._first_seen_at.items()
                if version > accepted_under and at + bound < request.sent_at
            ]
            if newer:
                violations.append(
                    f"all or none: instance {request.instance} accepted {request_id}, "
                    f"sent at {request.sent_at:.3f}, under version {accepted_under}; "
                    f"version {newer[0]} was first seen at {self._first_seen_at[newer[0]]:.3f}"
                )
        return violations
