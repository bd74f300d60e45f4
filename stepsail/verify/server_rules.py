"""Rules 3 and 4: no new attempts at draining servers, and no server overloaded during its slow start."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from stepsail.verify.history import History
from stepsail.verify.records import DELIVERY_SLACK, FOREVER
from stepsail.verify.transcript_names import GONE, READY, Line, ServerEvent, Source
from stepsail.verify.violation import Rule, Violation

# Number of requests of mean work by which random variation may push a server's load above its limit.
SPARE_REQUESTS = 3


# Rule 3


@dataclass(frozen=True)
class Drain:
    """An interval in which an instance knew a server to be draining or gone; `line` is the notification."""

    line: Line
    start: float
    end: float = FOREVER


def check_drains_respected(history: History) -> Iterator[Violation]:
    """After the drain grace that follows a notification, an instance sends the server no more attempts."""
    grace = history.settings.drain_grace
    for instance in sorted(history.notifications):
        drains = _known_drains(history, instance)
        for attempt in history.attempts:
            if attempt.instance != instance:
                continue
            for drain in drains.get(attempt.server, []):
                overdue = attempt.sent_at - drain.start - grace
                if (
                    overdue > DELIVERY_SLACK
                    and attempt.sent_at < drain.end
                    and not history.was_read_late(attempt, drain.start)
                ):
                    yield Violation(
                        Rule.DRAINS_RESPECTED,
                        "sent to a draining server",
                        attempt.server,
                        f"instance {instance}, {overdue + grace:.3f} s after it was notified",
                        (drain.line, attempt.line),
                    )


def _known_drains(history: History, instance: int) -> dict[str, list[Drain]]:
    """Return, by server, the intervals in which this instance knew it to be draining or gone."""
    drains: dict[str, list[Drain]] = {}
    open_drains: dict[str, Drain] = {}
    known_servers: set[str] = set()
    lists = history.endpoint_lists(instance)
    for line in lists:
        received_by = history.received_by(instance, line, lists)
        if received_by is None:
            continue
        listed: dict[str, str] = {server: state for server, (state, _) in line["servers"].items()}
        if line["whole"]:
            listed |= {server: GONE for server in known_servers - set(listed)}
        known_servers |= set(listed)
        for server, state in listed.items():
            if state != READY:
                open_drains.setdefault(server, Drain(line, received_by))
            elif server in open_drains:
                drain = open_drains.pop(server)
                drains.setdefault(server, []).append(Drain(drain.line, drain.start, end=line["t"]))
    for server, drain in open_drains.items():
        drains.setdefault(server, []).append(drain)
    return drains


# Rule 4


def slow_start_loads(history: History) -> dict[str, float]:
    """Return each new server's highest load in its slow start, as a share of the load that overloads it."""
    settings = history.settings
    peak_loads: dict[str, float] = {}
    recent_work: dict[str, deque[tuple[float, float]]] = {}  # by server: time of arrival, and work
    for attempt in history.attempts:
        start = history.server_starts[attempt.server]
        arrived_at = float(attempt.line["t"])
        window = recent_work.setdefault(attempt.server, deque())
        window.append((arrived_at, float(attempt.line["work"])))
        while window[0][0] < arrived_at - settings.overload_window:
            window.popleft()
        remaining = float(start["t"]) + settings.slow_start_duration - arrived_at
        if start["cold"] and remaining > 0:
            share = 1 - (1 - settings.slow_start_floor) * remaining / settings.slow_start_duration
            limit = settings.overload_multiple * settings.server_cores * share * settings.overload_window
            load = sum(work for _, work in window) / limit
            peak_loads[attempt.server] = max(peak_loads.get(attempt.server, 0.0), load)
    return peak_loads


def check_no_overload_in_slow_start(history: History) -> Iterator[Violation]:
    """No server fails under overload, and none gets more load during its slow start than its limit."""
    overloaded = {
        line["box"]: line
        for line in history.lines
        if line["at"] == Source.SERVER and line["what"] == ServerEvent.OVERLOADED
    }
    for server, line in overloaded.items():
        yield Violation(
            Rule.NO_OVERLOAD_IN_SLOW_START,
            "failed under overload",
            server,
            f"got {line['sent']} s of work where {line['most']} s is the limit",
            (line,),
        )
    settings = history.settings
    lowest_limit = (
        settings.overload_multiple
        * settings.server_cores
        * settings.slow_start_floor
        * settings.overload_window
    )
    for server, load in sorted(slow_start_loads(history).items()):
        if load > 1 + SPARE_REQUESTS * settings.mean_work / lowest_limit and server not in overloaded:
            yield Violation(
                Rule.NO_OVERLOAD_IN_SLOW_START,
                "overloaded during slow start",
                server,
                f"got {load:.2f} times the load that overloads it",
                (history.server_starts[server],),
            )
