"""Why the router decided so: the evidence that it had, read from its state in a replay.

Reads the router's own objects and calls its own functions; decides nothing.
"""

from __future__ import annotations

from typing import Any

from stepsail.capture.entries import Command, Entry, Event, entry_lines
from stepsail.capture.replay_host import ReplayHost
from stepsail.decisions.canary import ACCEPTED_GAP, MIN_OUTCOMES, REJECTED_GAP
from stepsail.decisions.evidence import log_evidence
from stepsail.decisions.interface import EndpointState, ReleasePhase
from stepsail.decisions.pause import LATENCY_EDGES

Row = tuple[str, ...]
SERVER_COLUMNS = ("server", "zone", "build", "state", "warm", "in flight", "ejected", "cost", "age")


def server_rows(host: ReplayHost) -> list[Row]:
    """A row of column names, then one a server: how it stood for the router."""
    return [
        SERVER_COLUMNS,
        *(_server_row(s, host.clock) for s in host.servers if s.state is not EndpointState.GONE),
    ]


def _server_row(server: Any, now: float) -> Row:
    return (
        server.address.decode("latin-1"),
        str(server.zone),
        str(server.build),
        server.state.name.lower(),
        f"{server.capacity_share():.0%}",
        str(len(server.attempts)),
        f"{max(0.0, server.ejected_until - now):.2f}",
        f"{server.cost():.2f}",
        f"{now - server.started_at:.1f}" if server.started_at else "long",
    )


def admission_lines(host: ReplayHost) -> list[str]:
    """How many attempts the router let itself have in flight, and what waited."""
    admission = host.router.admission
    return [
        f"window {admission.window:.1f} attempts, {len(admission.in_flight)} in flight, "
        f"{len(admission.waiting)} requests waiting"
    ]


def canary_lines(host: ReplayHost) -> list[str]:
    """The judgement of the build on canary: the evidence so far against its thresholds."""
    router = host.router
    canary = router.canary
    if canary is None:
        phase = ReleasePhase(router.release.phase).name.lower()
        return [f"build {router.release.build} is {phase}; none is judged"]
    evidence = canary.evidence()
    observations = router.observations
    slowness = log_evidence(observations.normal, observations.recent, LATENCY_EDGES)
    accepted = evidence.gap + evidence.radius
    rejected = evidence.gap - evidence.radius
    return [
        f"build {canary.build}, stage {canary.stage}, exposure limit {router.release.limit:.3f}, for "
        f"{host.clock - canary.started_at:.1f} s; settled: {'yes' if canary.settled() else 'no'}; "
        f"verdict so far: {canary.ballot.verdict.name.lower()}",
        f"outcomes: {evidence.outcome_count:.0f} of the new build, "
        f"{evidence.baseline_outcome_count:.0f} of earlier ones",
        f"gap {evidence.gap:.3f} with radius {evidence.radius:.3f}: rolled back above {REJECTED_GAP} without the "
        f"radius ({rejected:+.3f}), promoted below {ACCEPTED_GAP} with it ({accepted:+.3f}) or from "
        f"{MIN_OUTCOMES} outcomes",
        f"failures: log evidence {evidence.failure_evidence:.2f}, rolled back above {evidence.threshold:.2f}",
        f"slowness everywhere: log evidence {slowness:.2f}, paused above {evidence.threshold:.2f}",
    ]


def concerns_request(number: int, entry: Entry) -> bool:
    """Whether an entry is about a request."""
    if (
        entry.kind in (Event.REQUEST_ACCEPTED, Event.ATTEMPT_ENDED, Event.CLIENT_DISCONNECTED)
        and entry.values[0] == number
    ):
        return True
    commands = (Command.SEND_ATTEMPT, Command.CANCEL_ATTEMPT, Command.REJECT, Command.FAIL)
    return any(command[0] in commands and command[1] == number for command in entry.commands)


def is_vote(entry: Entry) -> bool:
    """Whether a vote was cast in an entry."""
    return any(command[0] == Command.CAST_VOTE for command in entry.commands)


class Explainer:
    """An observer of a replay: keeps what stood behind the decisions that are asked about."""

    def __init__(self, request: int | None = None, vote: int | None = None) -> None:
        self.request = request
        self.vote = vote
        self.votes = 0
        self.found: list[tuple[int, list[str], list[Row]]] = []

    def __call__(self, number: int, entry: Entry, host: ReplayHost) -> None:
        """Called before the entry is fed, so that the state is what the decision was made on."""
        wanted = self.request is not None and concerns_request(self.request, entry)
        if is_vote(entry):
            wanted |= self.vote == self.votes
            self.votes += 1
        if not wanted or host.router is None:
            return
        host.clock = entry.clock
        names = [s.address.decode("latin-1") for s in host.servers]
        lines = entry_lines(entry, names)
        if self.vote is not None:
            lines += canary_lines(host)
        kinds = {command[0] for command in entry.commands}
        if kinds & {Command.SEND_ATTEMPT, Command.REJECT, Command.FAIL}:
            lines += admission_lines(host)
        rows = server_rows(host) if Command.SEND_ATTEMPT in kinds else []
        self.found.append((number, lines, rows))
