"""Draws the faults of a run from a seed: kind, target, start and duration of each fault. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

QUIET_START = 1.0  # s without faults
QUIET_END = 3.0  # s without new faults, so that breaches caused by the last faults still show in the run
MEAN_INTERVAL = 0.7  # s between two faults
# Seconds from the start of a fault of discovery to a drain that instances do not learn of at once.
HIDDEN_DRAIN_DELAY = (0.1, 1.5)
MAX_CHOICE = 1 << 16  # exclusive upper bound of `Fault.target` and `Fault.detail`


class FaultKind(Enum):
    """Kind of a fault. The names are keys of stored reports, the values are printed."""

    DISCOVERY_CROWDED = "discovery delays its calls and answers them with 503"
    DISCOVERY_SILENT = "watches and calls of discovery stay open without data"
    DISCOVERY_DOWN = "discovery resets its connections and refuses new ones"
    WATCHES_END = "discovery resets all watches; new ones are accepted at once"
    SERVER_DRAINS = "a server drains and then is up again"
    SERVER_MISBEHAVES = "a server misbehaves as selected by `detail`"
    INSTANCE_STOPS = "an instance gets SIGSTOP and later SIGCONT"
    INSTANCE_KILLED = "an instance gets SIGKILL and is started again"
    INSTANCE_RESTARTED = "an instance gets SIGTERM, SIGKILL as early as permitted, and is started again"
    DISCOVERY_MOVES = (
        "an instance gets SIGHUP with a new address of discovery; its file is incomplete for the duration"
    )
    CLIENTS_SAY_NOTHING = "clients open dozens of connections and send nothing"
    CLIENTS_ABUSE = "clients break the protocol as selected by `detail`"


# The shortest and the longest duration of each kind, in seconds; a negative drawn duration becomes 0.
DURATIONS = {
    FaultKind.DISCOVERY_CROWDED: (1.0, 9.0),
    FaultKind.DISCOVERY_SILENT: (1.0, 9.0),
    FaultKind.DISCOVERY_DOWN: (0.5, 9.0),
    FaultKind.WATCHES_END: (0.0, 0.0),
    FaultKind.SERVER_DRAINS: (7.0, 9.0),
    FaultKind.SERVER_MISBEHAVES: (0.5, 3.0),
    FaultKind.INSTANCE_STOPS: (0.05, 0.4),
    FaultKind.INSTANCE_KILLED: (0.05, 0.5),
    FaultKind.INSTANCE_RESTARTED: (0.05, 0.5),
    FaultKind.DISCOVERY_MOVES: (-0.5, 1.0),
    FaultKind.CLIENTS_SAY_NOTHING: (0.5, 3.0),
    FaultKind.CLIENTS_ABUSE: (1.0, 4.0),
}
# Kinds that are drawn in every run. Abuse is drawn apart, so that the other faults of a seed stay the same.
USUAL_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.CLIENTS_ABUSE)
MEAN_ABUSE_INTERVAL = 3.0  # s between two faults of abuse
DRAIN_HIDING_KINDS = (  # faults after which instances do not learn of a drain at once
    FaultKind.DISCOVERY_CROWDED,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_DOWN,
    FaultKind.DISCOVERY_MOVES,
)
# Relative probability with which a kind is drawn; 1 for kinds that are not listed.
WEIGHTS = {FaultKind.SERVER_MISBEHAVES: 3, FaultKind.INSTANCE_RESTARTED: 2, FaultKind.INSTANCE_STOPS: 2}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: Seconds after the start of the run.
        kind: Kind of the fault.
        duration: Duration in seconds.
        target: Index of the affected server or instance, modulo their number.
        detail: Index of the server's misbehavior in `SERVER_FAULTS`, or of the clients' in `ABUSE_KINDS`,
            modulo their number.
    """

    at: float
    kind: FaultKind
    duration: float
    target: int
    detail: int


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run that lasts `seconds`, sorted by time; equal seeds give equal faults."""
    random = Random(seed)
    faults: list[Fault] = []
    at = QUIET_START
    while at < seconds - QUIET_END:
        [kind] = random.choices(USUAL_KINDS, [WEIGHTS.get(kind, 1) for kind in USUAL_KINDS])
        faults.append(_draw_fault(random, at, kind))
        if kind in DRAIN_HIDING_KINDS:
            drain_at = at + random.uniform(*HIDDEN_DRAIN_DELAY)
            faults.append(_draw_fault(random, drain_at, FaultKind.SERVER_DRAINS))
        at += random.expovariate(1.0 / MEAN_INTERVAL)
    return sorted(faults, key=lambda fault: fault.at)


def draw_abuse(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of abuse of a run, sorted by time; equal seeds give equal faults."""
    random = Random(f"abuse {seed}")
    faults: list[Fault] = []
    at = QUIET_START
    while at < seconds - QUIET_END:
        faults.append(_draw_fault(random, at, FaultKind.CLIENTS_ABUSE))
        at += random.expovariate(1.0 / MEAN_ABUSE_INTERVAL)
    return faults


def _draw_fault(random: Random, at: float, kind: FaultKind) -> Fault:
    duration = max(0.0, random.uniform(*DURATIONS[kind]))
    return Fault(at, kind, duration, target=random.randrange(MAX_CHOICE), detail=random.randrange(MAX_CHOICE))
