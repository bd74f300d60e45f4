"""The rule checks report each kind of violation in altered transcripts, and none in the original."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest

from stepsail.verify import History, verify
from stepsail.verify.records import InvalidTranscript
from stepsail.verify.report import summary

Line = dict[str, Any]
SETTINGS: Line = {
    "t": 0.0,
    "at": "day",
    "what": "facts",
    "name": "made",
    "seed": 1,
    "second_copies": False,
    "drain_grace": 0.5,
    "cold_from": 0.3,
    "cold_for": 5.0,
    "falls_at": 3.0,
    "fall_for": 1.5,
    "cores": 2,
    "window": 4.0,
    "free": 1.0,
    "caps": [0.1, 1.0],
    "guarded": 1,
    "by_product": False,
    "umpire_zones": ["a", "b"],
    "work": 0.1,
    "products": {
        name: {
            "repeats": repeats,
            "group": group,
            "window": window,
            "target": 1.0,
            "revenue": 1.0,
            "late_share": 0.0,
        }
        for name, repeats, group, window in (
            ("look", "redoable", "all", 0.0),
            ("mark", "labelled", "zone", 2.0),
            ("pay", "irreversible", "all", 0.0),
        )
    },
}


def request(
    request_id: str,
    at: float,
    request_class: str = "look",
    server: str = "b1",
    zone: str = "a",
    build: int = 1,
    instance: int = 0,
    took: float = 0.1,
) -> list[Line]:
    """The lines of a request, its only attempt, and its answer."""
    common = {"id": request_id, "umpire": instance}
    return [
        {
            "t": at,
            "at": "client",
            "what": "send",
            **common,
            "visit": int(request_id.split("-")[0]),
            "product": request_class,
            "until": at + 2.0,
        },
        {
            "t": at + 0.01,
            "at": "box",
            "what": "relay",
            **common,
            "box": server,
            "zone": zone,
            "build": build,
            "product": request_class,
            "work": 0.05,
        },
        {"t": at + took - 0.01, "at": "box", "what": "ran", **common, "box": server, "status": 200},
        {
            "t": at + took,
            "at": "client",
            "what": "answer",
            **common,
            "verdict": "handled",
            "status": 200,
            "product": request_class,
            "visit": int(request_id.split("-")[0]),
        },
    ]


def clean_transcript() -> list[Line]:
    lines = [SETTINGS]
    for server, zone, build in (("b1", "a", 1), ("b2", "a", 1), ("b3", "b", 1)):
        lines.append(
            {
                "t": 0.1,
                "at": "box",
                "what": "start",
                "box": server,
                "zone": zone,
                "build": build,
                "cold": False,
            }
        )
    for instance in (0, 1):
        lines.append(
            {
                "t": 0.2,
                "at": "roster",
                "what": "told",
                "umpire": instance,
                "whole": True,
                "servers": {"b1": ["ready", 1], "b2": ["ready", 1], "b3": ["ready", 1]},
            }
        )
        lines.append(
            {
                "t": 0.2,
                "at": "conveyor",
                "what": "told",
                "umpire": instance,
                "build": 1,
                "stage": 0,
                "phase": "released",
                "cap": 1.0,
            }
        )
    for at in range(40):
        lines += request(f"{at}-0", 1 + at * 0.1, ("look", "mark", "pay")[at % 3])
    lines.append(
        {
            "t": 5.2,
            "at": "conveyor",
            "what": "told",
            "umpire": 0,
            "build": 2,
            "stage": 0,
            "phase": "trial",
            "cap": 0.1,
        }
    )
    lines.append({"t": 5.3, "at": "box", "what": "start", "box": "n1", "zone": "a", "build": 2, "cold": True})
    lines.append(
        {
            "t": 5.4,
            "at": "roster",
            "what": "told",
            "umpire": 0,
            "whole": False,
            "servers": {"n1": ["ready", 2]},
        }
    )
    for at in range(40, 80):
        server, build = ("n1", 2) if at % 20 == 0 else ("b1", 1)
        lines += request(f"{at}-0", 2 + at * 0.1, "look", server, "a", build)
    return by_time(lines)


def by_time(lines: list[Line]) -> list[Line]:
    return sorted(lines, key=lambda line: float(line["t"]))


def violations_after(change: Callable[[list[Line]], list[Line] | None]) -> set[tuple[int, str]]:
    lines = copy.deepcopy(clean_transcript())
    lines = change(lines) or lines
    return {(violation.rule, violation.clause) for violation in verify(History(by_time(lines)))}


def find(lines: list[Line], **fields: Any) -> Line:
    return next(line for line in lines if all(line.get(k) == v for k, v in fields.items()))


def test_clean_transcript_has_no_violation_and_is_summarized() -> None:
    history = History(clean_transcript())
    assert verify(history) == []
    report = summary(history, [])
    assert report["answers"] == {"handled": 80} and report["service"] == 1.0 and report["relays"] == 80


def drop(**fields: Any) -> Callable[[list[Line]], list[Line]]:
    return lambda lines: [x for x in lines if not all(x.get(k) == v for k, v in fields.items())]


def add(*more: Line) -> Callable[[list[Line]], list[Line]]:
    return lambda lines: lines + list(more)


def repeated_attempt(
    request_id: str, request_class: str, after: float, server: str = "b2", zone: str = "a", build: int = 1
) -> Line:
    """The line of another attempt of a request in the clean transcript."""
    at = find(clean_transcript(), id=request_id, what="send")["t"]
    return {
        "t": at + after,
        "at": "box",
        "what": "relay",
        "id": request_id,
        "umpire": 0,
        "box": server,
        "zone": zone,
        "build": build,
        "product": request_class,
        "work": 0.05,
    }


def update(**match: Any) -> Callable[..., Callable[[list[Line]], list[Line]]]:
    def with_fields(**fields: Any) -> Callable[[list[Line]], list[Line]]:
        def change(lines: list[Line]) -> list[Line]:
            find(lines, **match).update(fields)
            return lines

        return change

    return with_fields


def in_sequence(*changes: Callable[[list[Line]], list[Line]]) -> Callable[[list[Line]], list[Line]]:
    def change(lines: list[Line]) -> list[Line]:
        for apply in changes:
            lines = apply(lines)
        return lines

    return change


def answer(request_id: str, at: float, **fields: Any) -> Line:
    return {
        "t": at,
        "at": "client",
        "what": "answer",
        "id": request_id,
        "umpire": 0,
        "verdict": "handled",
        "status": 200,
        "product": "look",
        "visit": 0,
    } | fields


def add_slow_start_overload(lines: list[Line]) -> list[Line]:
    attempt = {
        "at": "box",
        "what": "relay",
        "umpire": 0,
        "box": "n1",
        "zone": "a",
        "build": 2,
        "product": "look",
    }
    return lines + [{**attempt, "t": 5.5 + i * 0.01, "id": f"x{i}", "work": 1.0} for i in range(12)]


def stop_instance(start: float, end: float) -> Callable[[list[Line]], list[Line]]:
    return add(
        {"t": start, "at": "umpire", "what": "stopped", "umpire": 0},
        {"t": end, "at": "umpire", "what": "continued", "umpire": 0},
    )


def promote_before_stop(promoted_at: float, stopped_at: float) -> Callable[[list[Line]], list[Line]]:
    """Return a change that sends stage 1 to the instance and then stops the instance until 8.5.

    Request 60-0, whose attempt at the canary arrives at 8.01, gets an idempotency key.
    """
    promoted = {"at": "conveyor", "what": "told", "umpire": 0, "build": 2, "stage": 1, "phase": "trial"}
    return in_sequence(
        lambda lines: [{**x, "product": "mark"} if x.get("id") == "60-0" else x for x in lines],
        stop_instance(stopped_at, 8.5),
        add({"t": promoted_at, **promoted, "cap": 1.0}),
    )


ALTERATIONS: list[tuple[str, Callable[[list[Line]], list[Line]], tuple[int, str]]] = [
    ("no answer", drop(id="0-0", what="answer"), (1, "never answered")),
    ("two answers", add(answer("0-0", 1.2)), (1, "answered twice")),
    ("bytes after the answer", add(answer("0-0", 1.2, what="extra")), (1, "answered twice")),
    (
        "bytes after the deadline",
        in_sequence(drop(id="0-0", what="answer"), add(answer("0-0", 3.1, what="late"))),
        (1, "answered late"),
    ),
    (
        "answer after the deadline",
        in_sequence(drop(id="0-0", what="answer"), add(answer("0-0", 3.2))),
        (1, "answered late"),
    ),
    (
        "answer half a second late after a stop",
        in_sequence(
            drop(id="0-0", what="answer"), stop_instance(1.05, 3.5), add(answer("0-0", 3.6, what="late"))
        ),
        (1, "answered late"),
    ),
    (
        "late answer of an instance that had stopped before",
        in_sequence(
            drop(id="0-0", what="answer"), stop_instance(0.1, 0.5), add(answer("0-0", 3.1, what="late"))
        ),
        (1, "answered late"),
    ),
    ("answer without a request", add(answer("999-0", 3.0)), (1, "answer without a request")),
    ("attempt after the answer", add(repeated_attempt("0-0", "look", 0.5)), (1, "sent after the answer")),
    (
        "non-idempotent request sent twice",
        add(repeated_attempt("2-0", "pay", 0.05)),
        (2, "non-idempotent request sent again"),
    ),
    (
        "idempotency key repeated out of its scope",
        add(repeated_attempt("1-0", "mark", 0.05, "b3", "b")),
        (2, "idempotency key sent outside its scope"),
    ),
    (
        "idempotency key repeated after its window",
        in_sequence(
            update(id="1-0", what="send")(until=9.0),
            drop(id="1-0", what="answer"),
            add(repeated_attempt("1-0", "mark", 2.5), answer("1-0", 4.0)),
        ),
        (2, "idempotency key sent after its window"),
    ),
    (
        "two attempts at once",
        in_sequence(
            update(id="0-0", what="ran")(t=1.9),
            update(id="0-0", what="answer")(t=1.95),
            add(repeated_attempt("0-0", "look", 0.1)),
        ),
        (2, "concurrent attempts"),
    ),
    (
        "non-idempotent request rejected though it ran",
        update(id="2-0", what="answer")(verdict="denied"),
        (2, "rejected although it may have run"),
    ),
    (
        "idempotency key rejected though it ran",
        update(id="1-0", what="answer")(verdict="denied"),
        (2, "rejected although it may have run"),
    ),
    (
        "sent to a draining server",
        add(
            {
                "t": 1.0,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": False,
                "servers": {"b1": ["draining", 1]},
            }
        ),
        (3, "sent to a draining server"),
    ),
    (
        "sent to a server that the full list left out",
        add(
            {
                "t": 1.0,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": True,
                "servers": {"b2": ["ready", 1]},
            }
        ),
        (3, "sent to a draining server"),
    ),
    (
        "server failed under overload",
        add({"t": 6.0, "at": "box", "what": "fell", "box": "n1", "sent": 9.0, "most": 2.0}),
        (4, "failed under overload"),
    ),
    ("server overloaded in its slow start", add_slow_start_overload, (4, "overloaded during slow start")),
    (
        "over the exposure limit",
        lambda lines: [
            {**x, "box": "n1", "build": 2}
            if x.get("box") == "b1" and x["t"] > 6 and int(x["id"][:-2]) % 2
            else x
            for x in lines
        ],
        (5, "over the exposure limit"),
    ),
    (
        "unannounced canary",
        lambda lines: [
            {**x, "box": "n1", "build": 3}
            if x.get("box") == "b1" and x["t"] > 6 and int(x["id"][:-2]) % 2
            else x
            for x in lines
        ],
        (5, "over the exposure limit"),
    ),
    (
        "after the rollback",
        add(
            {
                "t": 6.5,
                "at": "conveyor",
                "what": "told",
                "umpire": 0,
                "build": 2,
                "stage": 0,
                "phase": "reverting",
                "cap": 0.0,
            }
        ),
        (5, "sent at exposure limit 0"),
    ),
    (
        "after a rollback notified during a stop that is long over",
        add(
            {"t": 5.5, "at": "umpire", "what": "stopped", "umpire": 0},
            {
                "t": 5.6,
                "at": "conveyor",
                "what": "told",
                "umpire": 0,
                "build": 2,
                "stage": 0,
                "phase": "reverting",
                "cap": 0.0,
            },
            {"t": 5.7, "at": "umpire", "what": "continued", "umpire": 0},
        ),
        (5, "sent at exposure limit 0"),
    ),
    (
        "idempotent-only stage",
        lambda lines: [{**x, "product": "mark"} if x.get("id") == "60-0" else x for x in lines],
        (5, "idempotent-only stage"),
    ),
    (
        "idempotent-only stage, promoted while it was stopped",
        promote_before_stop(7.95, 7.9),
        (5, "idempotent-only stage"),
    ),
]


@pytest.mark.parametrize(
    ("change", "violation"), [case[1:] for case in ALTERATIONS], ids=[case[0] for case in ALTERATIONS]
)
def test_violation_is_reported(
    change: Callable[[list[Line]], list[Line]], violation: tuple[int, str]
) -> None:
    assert violation in violations_after(change)


ALLOWED_ALTERATIONS: list[tuple[str, Callable[[list[Line]], list[Line]]]] = [
    (
        "killed with the request in flight",
        in_sequence(
            drop(id="0-0", what="answer"),
            add(
                {"t": 1.05, "at": "umpire", "what": "killed", "umpire": 0},
                {"t": 2.0, "at": "umpire", "what": "started", "umpire": 0},
            ),
        ),
    ),
    (
        "stopped with the request in flight",
        in_sequence(
            drop(id="0-0", what="answer"),
            add(
                {"t": 1.05, "at": "umpire", "what": "stopped", "umpire": 0},
                {"t": 3.5, "at": "umpire", "what": "continued", "umpire": 0},
            ),
        ),
    ),
    (
        "late answer after a stop with the request in flight",
        in_sequence(
            drop(id="0-0", what="answer"), stop_instance(1.05, 3.2), add(answer("0-0", 3.3, what="late"))
        ),
    ),
    (
        "drain notified within the grace",
        add(
            {
                "t": 4.8,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": False,
                "servers": {"b1": ["draining", 1]},
            },
            {
                "t": 5.2,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": False,
                "servers": {"b1": ["ready", 1]},
            },
        ),
    ),
    (
        "promoted right before a stop",
        promote_before_stop(7.95, 8.05),
    ),
    (
        "notified while it was stopped",
        add(
            {"t": 6.0, "at": "umpire", "what": "stopped", "umpire": 0},
            {
                "t": 6.1,
                "at": "conveyor",
                "what": "told",
                "umpire": 0,
                "build": 2,
                "stage": 0,
                "phase": "reverting",
                "cap": 0.0,
            },
            {
                "t": 6.15,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": False,
                "servers": {"b1": ["draining", 1]},
            },
            {"t": 9.5, "at": "umpire", "what": "continued", "umpire": 0},
        ),
    ),
    (
        "drain notified to another instance",
        add(
            {
                "t": 1.0,
                "at": "roster",
                "what": "told",
                "umpire": 1,
                "whole": False,
                "servers": {"b1": ["draining", 1]},
            }
        ),
    ),
    ("idempotent request rejected", update(id="0-0", what="answer")(verdict="denied")),
    (
        "sent again after the server rejected it",
        in_sequence(update(id="2-0", what="ran")(what="full"), add(repeated_attempt("2-0", "pay", 0.095))),
    ),
    ("idempotency key repeated within its scope and window", add(repeated_attempt("1-0", "mark", 0.095))),
]


@pytest.mark.parametrize(
    "change", [case[1] for case in ALLOWED_ALTERATIONS], ids=[case[0] for case in ALLOWED_ALTERATIONS]
)
def test_allowed_alteration_is_no_violation(change: Callable[[list[Line]], list[Line]]) -> None:
    assert violations_after(change) == set()


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([], "no settings line"),
        ([{"t": 1, "at": "box"}], "line 1"),
        ([SETTINGS, {"t": 1.0, "at": "box", "what": "relay"}], "line 2: KeyError 'box'"),
        ([{**SETTINGS, "t": 5.0}, {"t": 1.0, "at": "day", "what": "ends"}], "line 2: its time is before"),
    ],
)
def test_invalid_transcript_is_rejected_with_its_line(lines: list[Line], message: str) -> None:
    with pytest.raises(InvalidTranscript, match=message):
        History(lines)


def violations_over_slow_link(lines: list[Line], confirmed: bool) -> set[tuple[int, str]]:
    """Instance 1 in zone b is notified at 6.0 that b3 drains, over a link with loss and 0.4 s of delay."""
    lines = copy.deepcopy(lines)
    lines.append({"t": 5.5, "at": "link", "what": "slow", "zone": "b", "delay": 0.4, "lost": 0.1})
    notification = {
        "t": 6.0,
        "at": "roster",
        "what": "told",
        "umpire": 1,
        "whole": False,
        "after": 3,
        "seq": 4,
        "servers": {"b3": ["draining", 1]},
    }
    lines.append(notification)
    if confirmed:
        lines.append(notification | {"t": 6.9, "after": 4, "seq": 5, "servers": {}})
    return {(violation.rule, violation.clause) for violation in verify(History(by_time(lines)))}


@pytest.mark.parametrize(
    ("sent", "confirmed", "expected"),
    [
        (7.0, True, False),  # notified at 6.0, received by 6.9 at the latest: within the drain grace
        (8.0, True, True),  # long after the instance requested the next notification
        (8.0, False, False),  # the notification was never confirmed
    ],
)
def test_notification_over_lossy_link_counts_once_the_next_is_requested(
    sent: float, confirmed: bool, expected: bool
) -> None:
    lines = [*clean_transcript(), *request("900-0", sent, server="b3", zone="b", instance=1)]
    assert ((3, "sent to a draining server") in violations_over_slow_link(lines, confirmed)) is expected


@pytest.mark.parametrize(
    ("instances", "to", "hears", "expected"),
    [
        ([1], ["roster"], True, False),  # the notification of the drain was lost
        ([1], ["roster"], False, True),
        ([0], ["roster"], True, True),
        ([1], ["boxes", "conveyor"], True, True),
    ],
)
def test_notification_to_a_partitioned_instance_does_not_count(
    instances: list[int], to: list[str], hears: bool, expected: bool
) -> None:
    partition = {"at": "link", "umpires": instances, "to": to, "says": not hears, "hears": hears}
    notification = {
        "t": 6.0,
        "at": "roster",
        "what": "told",
        "umpire": 1,
        "whole": False,
        "servers": {"b3": ["draining", 1]},
    }
    lines = by_time(
        [
            *clean_transcript(),
            *request("900-0", 8.0, server="b3", zone="b", instance=1),
            notification,
            {"t": 5.5, "what": "apart", **partition},
            {"t": 6.5, "what": "joined", **partition},
        ]
    )
    assert (
        (3, "sent to a draining server")
        in {(violation.rule, violation.clause) for violation in verify(History(lines))}
    ) is expected


def test_attempt_over_slow_link_was_sent_earlier_but_not_before_its_request() -> None:
    """The notification of a drain arrives at 6.0 over a fast link, the attempt 0.4 s late over a slow one."""

    def violations_when(sent: float) -> set[tuple[int, str]]:
        lines = [*clean_transcript(), *request("900-0", sent, server="b3", zone="b", instance=0)]
        find(lines, at="box", what="relay", id="900-0")["t"] = sent + 0.41
        find(lines, at="box", what="ran", id="900-0")["t"] = sent + 0.45
        find(lines, at="client", what="answer", id="900-0")["t"] = sent + 0.9
        lines.append({"t": 5.5, "at": "link", "what": "slow", "zone": "b", "delay": 0.4, "lost": 0.0})
        lines.append(
            {
                "t": 6.0,
                "at": "roster",
                "what": "told",
                "umpire": 0,
                "whole": False,
                "servers": {"b3": ["draining", 1]},
            }
        )
        return {(violation.rule, violation.clause) for violation in verify(History(by_time(lines)))}

    assert violations_when(6.45) == set() and violations_when(6.8) == {(3, "sent to a draining server")}


def test_instance_killed_right_after_a_notification_may_have_acted_on_it() -> None:
    """An instance sends a request with an idempotency key to a canary 0.1 s after it was notified of the
    stage that allows this, and is killed 0.05 s later. The notification counts as received."""

    def violations_when(is_notified: bool) -> set[tuple[int, str]]:
        lines = clean_transcript()
        if is_notified:
            lines.append(
                {
                    "t": 8.0,
                    "at": "conveyor",
                    "what": "told",
                    "umpire": 0,
                    "build": 2,
                    "stage": 1,
                    "phase": "trial",
                    "cap": 1.0,
                }
            )
        lines += request("900-0", 8.08, "mark", "n1", "a", 2)[:2]
        lines.append({"t": 8.14, "at": "umpire", "what": "killed", "umpire": 0})
        lines = [x for x in lines if not (x["at"] == "client" and x["t"] > 8.1)]
        return {(violation.rule, violation.clause) for violation in verify(History(by_time(lines)))}

    assert violations_when(True) == set() and (5, "idempotent-only stage") in violations_when(False)
