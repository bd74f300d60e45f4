"""Snapshots of earlier schemas are upgraded, and the router then decides like the build that wrote them."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from recorded import record_history

from stepsail import decisions
from stepsail.capture.entries import Command
from stepsail.capture.folder import read_runs, replay_segments
from stepsail.capture.other_builds import InvalidBuild, load_build
from stepsail.capture.replay import captured_settings
from stepsail.capture.replay_host import ReplayHost
from stepsail.capture.state import SnapshotError, deserialize
from stepsail.capture.stored_names import SNAPSHOT_SCHEMA

EARLIER_CAPTURES = sorted((Path(__file__).parent.parent / "captures/before-names").iterdir())
ALWAYS_PRESENT = {
    "Admission",
    "Exposure",
    "ExposureWindow",
    "Gossip",
    "Observations",
    "ReleaseState",
    "Router",
    "Server",
    "ServerPool",
    "StallDetection",
    "VotingRules",
}
PACKAGE = Path(decisions.__file__).parent


def may_cancel_attempts_when_captured(request: decisions.Request) -> bool:
    """`Request.may_cancel_attempts` of the build that wrote the captures."""
    pool = request.router.pool
    return not request.closed and any(s.available() and request.may_be_sent_to(s) for s in pool.ready)


@pytest.mark.parametrize("folder", EARLIER_CAPTURES, ids=lambda f: f.name)
def test_capture_with_earlier_names_replays_from_its_start_and_from_each_snapshot(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(decisions.Request, "may_cancel_attempts", may_cancel_attempts_when_captured)
    captures = read_runs(folder)
    runs, damaged = captures.runs, captures.damaged
    assert len(runs) == 1 and not damaged
    (segments,) = runs[0].contiguous_segments()
    assert len(segments) == 4 and [s.snapshot() is None for s in segments] == [True, False, False, False]
    for part in (segments, *([segment] for segment in segments)):
        result = replay_segments(part, decisions)
        assert result.first_difference is None and result.entries > 50


@pytest.mark.parametrize("folder", EARLIER_CAPTURES, ids=lambda f: f.name)
def test_current_decisions_differ_from_earlier_ones_only_in_cancellations(folder: Path) -> None:
    (segments,) = read_runs(folder).runs[0].contiguous_segments()
    for part in (segments, *([segment] for segment in segments)):
        difference = replay_segments(part, decisions).first_difference
        if difference is None:
            continue
        captured, replayed = (
            [msgspec.msgpack.encode(command) for command in entry.commands]
            for entry in (difference.captured, difference.replayed)
        )
        dropped = [msgspec.msgpack.decode(command) for command in captured if command not in replayed]
        assert [command for command in captured if command in replayed] == replayed
        assert dropped and all(command[0] == Command.CANCEL_ATTEMPT for command in dropped)
        assert not difference.replayed.error


@pytest.mark.parametrize("folder", EARLIER_CAPTURES, ids=lambda f: f.name)
def test_upgraded_objects_have_the_attributes_of_new_ones(folder: Path) -> None:
    """An attribute missing in the tables would otherwise be noticed only when a decision first needs it."""
    (segments,) = next(iter(read_runs(folder).runs)).contiguous_segments()
    new_host = replay_segments(segments[:1], decisions).host
    for segment in segments[1:]:
        upgraded_host = ReplayHost(decisions, captured_settings(segment.meta))
        snapshot = segment.snapshot()
        assert snapshot is not None and new_host is not None
        upgraded_host.restore(snapshot)
        expected, found = attributes_by_class(new_host), attributes_by_class(upgraded_host)
        assert set(found) >= ALWAYS_PRESENT
        assert upgraded_host.router.canary is None or {"Canary", "Ballot", "PauseExperiment"} <= set(found)
        assert {name: found[name] for name in expected if name in found} == {
            name: expected[name] for name in found if name in expected
        }


def attributes_by_class(host: ReplayHost) -> dict[str, set[str]]:
    """Return the attribute names of each class of `decisions` that has objects in a replay."""
    found: dict[str, set[str]] = {}
    seen: set[int] = set()
    pending: list[object] = [host.router, *host.servers, *host.requests.values()]
    while pending:
        value = pending.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            pending += value.values()
        elif isinstance(value, list | tuple):
            pending += value
        elif type(value).__name__ in decisions.__all__ and hasattr(value, "__dict__"):
            if not isinstance(value, decisions.TimestampWindow) and "_value_" not in vars(value):
                assert found.setdefault(type(value).__name__, set(vars(value))) == set(vars(value))
            pending += vars(value).values()
    return found


def test_snapshot_has_a_schema_number_and_a_newer_one_is_refused(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=1000)
    snapshot = read_runs(tmp_path).runs[0].segments[1].snapshot()
    assert snapshot is not None
    stored = msgspec.msgpack.decode(snapshot)
    assert stored["schema"] == SNAPSHOT_SCHEMA
    stored["schema"] += 1
    with pytest.raises(
        SnapshotError, match=f"schema {SNAPSHOT_SCHEMA + 1}, expected at most {SNAPSHOT_SCHEMA}"
    ):
        deserialize(msgspec.msgpack.encode(stored), decisions, {})


def test_build_loaded_from_a_folder_leaves_the_running_one_unchanged(tmp_path: Path) -> None:
    record_history(tmp_path / "kept")
    (segments,) = read_runs(tmp_path / "kept").runs[0].contiguous_segments()
    other = load_build(PACKAGE)
    assert other.Router is not decisions.Router and other.Server is not decisions.Server
    assert other.Verdict is decisions.Verdict
    assert (
        replay_segments(segments, other).first_difference is None
        and replay_segments(segments, decisions).first_difference is None
    )


def test_build_in_one_file_uses_current_classes_that_it_lacks(tmp_path: Path) -> None:
    record_history(tmp_path / "kept")
    (segments,) = read_runs(tmp_path / "kept").runs[0].contiguous_segments()
    file = tmp_path / "eager.py"
    file.write_text(
        "from stepsail.decisions.router import Router as Present\n"
        "class Router(Present):\n"
        "    def next_random(self):\n"
        "        return super().next_random() / 2\n"
    )
    other = load_build(file)
    assert other.Server is decisions.Server
    assert replay_segments(segments, other).first_difference is not None


def test_build_for_a_former_interface_is_refused_with_the_reason(tmp_path: Path) -> None:
    former = tmp_path / "balance.py"
    former.write_text("class Umpire:\n    pass\n")
    with pytest.raises(InvalidBuild, match="expected .* Router, found Umpire.* former interface"):
        load_build(former)
    (tmp_path / "empty").mkdir()
    with pytest.raises(InvalidBuild, match="a folder without __init__"):
        load_build(tmp_path / "empty")
