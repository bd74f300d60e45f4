"""The terminal view: both directions, and its screen at 80 columns."""

from __future__ import annotations

import asyncio
from pathlib import Path

from recorded import recorded
from textual.widgets import DataTable, Static

from stepsail import decisions
from stepsail.capture.folder import read_runs, replay_segments
from stepsail.view.app import CaptureApp
from stepsail.view.track import Track


def track(folder: Path, **how: int) -> Track:
    recorded(folder, rounds=60, **how)
    (segments,) = read_runs(folder).runs[0].contiguous_segments()
    return Track(segments, decisions)


def test_a_step_back_is_the_same_as_never_having_gone(tmp_path: Path) -> None:
    walked, fresh = track(tmp_path), track(tmp_path / "again")
    walked.every = 20
    walked.go(150)
    for to in (149, 75, 3, 140, 41, 0, 99):
        walked.go(to)
        fresh._restart()
        fresh.go(to)
        assert walked.evidence() == fresh.evidence() and walked.servers() == fresh.servers()
    assert walked.differs == set() and walked.cached


def test_decisions_are_found_in_both_directions(tmp_path: Path) -> None:
    walked = track(tmp_path)
    found = []
    while (to := walked.next_decision()) < len(walked.entries) - 1:
        walked.go(to)
        found.append(to)
    assert len(found) > 20 and all(
        any(a[0] in (1, 2, 3, 4, 6) for a in walked.entries[n].commands) for n in found
    )
    assert walked.next_decision(False) == found[-2]


def test_a_ring_that_lost_its_beginning_can_be_walked(tmp_path: Path) -> None:
    recorded(tmp_path, rounds=400, segment_bytes=1000)
    files = sorted(tmp_path.glob("*.cap"))
    files[0].unlink()
    segments = next(read_runs(tmp_path).runs[0].contiguous_segments())
    walked = Track(segments, decisions)
    walked.go(len(walked.entries))
    assert walked.differs == set() and replay_segments(segments, decisions).first_difference is None


def test_the_screen_fits_80_columns_and_follows_the_keys(tmp_path: Path) -> None:
    app = CaptureApp(track(tmp_path), "umpire 0")

    async def play() -> None:
        async with app.run_test(size=(80, 30)) as pilot:
            await pilot.press("n", "n", "right")
            assert app.track.at > 2
            where = str(app.query_one("#where", Static).renderable)
            assert f"entry {app.track.at}" in where and max(map(len, where.splitlines())) <= 80
            lines = str(app.query_one("#lines", Static).renderable).splitlines()
            assert any(line.startswith(">") for line in lines) and max(map(len, lines)) <= 80
            assert app.query_one("#servers", DataTable).row_count == 3
            before = app.track.at
            await pilot.press("left")
            assert app.track.at == before - 1
            await pilot.press("end", "pageup", "home")
            assert app.track.at == 0

    asyncio.run(play())
