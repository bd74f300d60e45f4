"""Explains decisions of the router: shows the evidence that the router had, read from its state in a replay.

The evidence is read from the router's own objects and functions; nothing here computes a decision anew.
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
    """Return a row of column names, followed by one row per server with its state as the router knows it."""
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
    """Describe the admission window, the attempts in flight and the waiting requests."""
    admission = host.router.admission
    return [
        f"window {admission.window:.1f} attempts, {len(admission.in_flight)} in flight, "
        f"{len(admission.waiting)} requests waiting"
    ]


def canary_lines(host: ReplayHost) -> list[str]:
    """Describe the evidence so far about the build on canary, and the thresholds for its verdict."""
    router = host.router
    canary = router.canary
    if canary is None:
        phase = ReleasePhase(router.release.phase).name.lower()
        return [f"build {router.release.build} is {phase}; no build is on canary"]
    evidence = canary.evidence()
    observations = router.observations
    slowdown = log_evidence(observations.normal, observations.recent, LATENCY_EDGES)
    accepted = evidence.gap + evidence.radius
    rejected = evidence.gap - evidence.radius
    return [
        f"build {canary.build}, stage {canary.stage}, exposure limit {router.release.limit:.3f}, running for "
        f"{host.clock - canary.started_at:.1f} s; settled: {'yes' if canary.settled() else 'no'}; "
        f"verdict so far: {canary.ballot.verdict.name.lower()}",
        f"outcomes: {evidence.outcome_count:.0f} of the new build, "
        f"{evidence.baseline_outcome_count:.0f} of earlier builds",
        f"gap {evidence.gap:.3f}, radius {evidence.radius:.3f}: rolled back if gap - radius is above "
        f"{REJECTED_GAP} ({rejected:+.3f}); promoted if gap + radius is below {ACCEPTED_GAP} "
        f"({accepted:+.3f}), or from {MIN_OUTCOMES} outcomes",
        f"failures: log evidence {evidence.failure_evidence:.2f}, rolled back above {evidence.threshold:.2f}",
        f"slowdown of all builds: log evidence {slowdown:.2f}, paused above {evidence.threshold:.2f}",
    ]


def concerns_request(number: int, entry: Entry) -> bool:
    """Return whether an event or a command in an entry concerns the request with this number."""
    if (
        entry.kind in (Event.REQUEST_ACCEPTED, Event.ATTEMPT_ENDED, Event.CLIENT_DISCONNECTED)
        and entry.values[0] == number
    ):
        return True
    commands = (Command.SEND_ATTEMPT, Command.CANCEL_ATTEMPT, Command.REJECT, Command.FAIL)
    return any(command[0] in commands and command[1] == number for command in entry.commands)


def is_vote(entry: Entry) -> bool:
    """Return whether an entry contains the router's command to cast a vote about a build."""
    return any(command[0] == Command.CAST_VOTE for command in entry.commands)


class Explainer:
    """An observer of a replay that collects the evidence behind selected decisions.

    Attributes:
        request: Number of the request whose entries are explained; None if no request is selected.
        vote: Index, from 0, of the vote that is explained; None if no vote is selected.
        votes_seen: Number of votes in the entries so far.
        explanations: For each explained entry: its number, lines of text, and a table of the servers.
    """

    def __init__(self, request: int | None = None, vote: int | None = None) -> None:
        self.request = request
        self.vote = vote
        self.votes_seen = 0
        self.explanations: list[tuple[int, list[str], list[Row]]] = []

    def __call__(self, number: int, entry: Entry, host: ReplayHost) -> None:
        """Collect evidence before an entry is fed, while the router has the state on which it will decide."""
        selected = self.request is not None and concerns_request(self.request, entry)
        if is_vote(entry):
            selected |= self.vote == self.votes_seen
            self.votes_seen += 1
        if not selected or host.router is None:
            return
        host.clock = entry.clock
        addresses = [s.address.decode("latin-1") for s in host.servers]
        lines = entry_lines(entry, addresses)
        if self.vote is not None:
            lines += canary_lines(host)
        kinds = {command[0] for command in entry.commands}
        if kinds & {Command.SEND_ATTEMPT, Command.REJECT, Command.FAIL}:
            lines += admission_lines(host)
        rows = server_rows(host) if Command.SEND_ATTEMPT in kinds else []
        self.explanations.append((number, lines, rows))
