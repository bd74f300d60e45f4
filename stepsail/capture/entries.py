"""The entries of a capture: the events that the router received, and the commands that it issued.

An entry records one call to the router: the event, the clock reading at that time, the values of the event,
the commands that the router issued during the call, and the error that it raised, if any. Servers are
numbered in the order in which they were added, and timers in the order in which they were set; a request has
the number that the host gave it.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

Values = tuple[Any, ...]


class Event(IntEnum):
    """The kind of an event that the router receives. The numbers are part of the format; never reuse one."""

    STARTED = 1
    SERVER_ADDED = 2
    ENDPOINT_UPDATED = 3
    ENDPOINT_LIST_RECEIVED = 4
    ENDPOINT_POLL_FAILED = 5
    RELEASE_STATE_RECEIVED = 6
    RELEASE_COUNTS_RECEIVED = 7
    VOTE_ACKNOWLEDGED = 8
    REQUEST_ACCEPTED = 9
    ATTEMPT_ENDED = 10
    CLIENT_DISCONNECTED = 11
    HEALTH_CHECK_FINISHED = 12
    ANSWER_DISPUTED = 13
    PEER_OUTCOME_RECEIVED = 14
    PEER_VERDICT_RECEIVED = 15
    TIMER_FIRED = 16
    PEER_STALLED_CLASSES_RECEIVED = 17
    MEMBERSHIP_CHANGED = 18


class Command(IntEnum):
    """The kind of a command that the router issues. The numbers are part of the format; never reuse one."""

    SEND_ATTEMPT = 1
    CANCEL_ATTEMPT = 2
    REJECT = 3
    FAIL = 4
    CALL_LATER = 5
    CAST_VOTE = 6
    CHECK_HEALTH = 7
    POLL_ENDPOINTS = 8
    WATCH_ENDPOINTS = 9
    GOSSIP_OUTCOMES = 10
    GOSSIP_VERDICT = 11
    LOG_DECISION = 12
    CLOSE_IDLE_CONNECTIONS = 13
    GOSSIP_STALLED_CLASSES = 14


EVENT_FIELDS: dict[Event, tuple[str, ...]] = {
    Event.STARTED: ("seed",),
    Event.SERVER_ADDED: ("address",),
    Event.ENDPOINT_UPDATED: ("server", "zone", "cell", "build", "state", "since", "size"),
    Event.ENDPOINT_LIST_RECEIVED: ("complete", "cached"),
    Event.ENDPOINT_POLL_FAILED: (),
    Event.RELEASE_STATE_RECEIVED: ("age", "exposure_limit", "build", "stage", "phase"),
    Event.RELEASE_COUNTS_RECEIVED: ("build", "request_class", "count", "failed", "mean", "age"),
    Event.VOTE_ACKNOWLEDGED: ("receipt",),
    # In the earliest captures, this event has no value `age`.
    Event.REQUEST_ACCEPTED: (
        "number",
        "request_class",
        "tenant",
        "effort",
        "deadline",
        "key",
        "is_retry",
        "age",
    ),
    Event.ATTEMPT_ENDED: ("number", "attempt", "outcome", "final", "elapsed", "report"),
    Event.CLIENT_DISCONNECTED: ("number",),
    Event.HEALTH_CHECK_FINISHED: ("server", "elapsed", "outcome", "report"),
    Event.ANSWER_DISPUTED: ("server", "request_class", "since"),
    Event.PEER_OUTCOME_RECEIVED: ("server", "build", "request_class", "bucket"),
    Event.PEER_VERDICT_RECEIVED: ("peer", "build", "stage", "verdict"),
    Event.TIMER_FIRED: ("timer",),
    Event.PEER_STALLED_CLASSES_RECEIVED: ("peer", "request_classes"),
    Event.MEMBERSHIP_CHANGED: ("members",),
}
COMMAND_FIELDS: dict[Command, tuple[str, ...]] = {
    Command.SEND_ATTEMPT: ("number", "server", "deadline"),
    Command.CANCEL_ATTEMPT: ("number", "attempt"),
    Command.REJECT: ("number", "retry_after"),
    Command.FAIL: ("number",),
    Command.CALL_LATER: ("delay", "timer"),
    Command.CAST_VOTE: ("build", "stage", "verdict"),
    Command.CHECK_HEALTH: ("server",),
    Command.POLL_ENDPOINTS: (),
    Command.WATCH_ENDPOINTS: (),
    Command.GOSSIP_OUTCOMES: ("peer", "outcomes"),
    Command.GOSSIP_VERDICT: ("build", "stage", "verdict"),
    Command.LOG_DECISION: ("text",),
    Command.CLOSE_IDLE_CONNECTIONS: ("server",),
    Command.GOSSIP_STALLED_CLASSES: ("request_classes",),
}


class Entry(NamedTuple):
    """One call to the router. A command is its kind, then its values; `error` is empty if none was raised."""

    kind: int
    clock: float
    values: Values
    commands: list[Values]
    error: str = ""


RecordedCall = tuple[int, float, Values, list[Values], str]  # the fields of an Entry, in its order

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(tuple[int, float, Values, list[Values], str])
DECODER_FORMAT_1 = msgspec.msgpack.Decoder(tuple[int, float, Values, list[Values]])


def entry_lines(entry: Entry, servers: list[str] | None = None) -> list[str]:
    """Format an entry as lines: the event, then the commands.

    `servers` is the list of server addresses; its index is the server number.
    """
    event = Event(entry.kind)
    values = _values_text(EVENT_FIELDS[event], entry.values, servers)
    lines = [f"{entry.clock:.6f} {event.name.lower()} {values}".rstrip()]
    for kind, *arguments in entry.commands:
        command = Command(kind)
        values = _values_text(COMMAND_FIELDS[command], tuple(arguments), servers)
        lines.append(f"    -> {command.name.lower()} {values}".rstrip())
    if entry.error:
        lines.append(f"    raised {entry.error}")
    return lines


def _values_text(names: tuple[str, ...], values: Values, servers: list[str] | None) -> str:
    parts = []
    for name, value in zip(names, values, strict=False):
        text = str(value)
        if name == "server" and servers and value < len(servers):
            text = servers[value]
        elif isinstance(value, float):
            text = f"{value:.6g}"
        elif isinstance(value, bytes):
            text = value.decode("latin-1")
        parts.append(f"{name}={text}")
    return " ".join(parts)
