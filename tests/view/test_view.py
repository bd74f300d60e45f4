"""Tests the terminal view: moving in both directions, and the screen at 80 columns."""

from __future__ import annotations

import asyncio
from pathlib import Path

from recorded import record_history
from textual.widgets import DataTable, Static

from stepsail import decisions
from stepsail.capture.folder import read_runs, replay_segments
from stepsail.view.app import CaptureApp
from stepsail.view.track import CaptureCursor


def open_cursor(folder: Path, **options: int) -> CaptureCursor:
    record_history(folder, rounds=60, **options)
    (segments,) = read_runs(folder).runs[0].contiguous_segments()
    return CaptureCursor(segments, decisions)


def test_moving_back_gives_the_same_state_as_a_replay_from_the_start(tmp_path: Path) -> None:
    cursor, restarted_cursor = open_cursor(tmp_path), open_cursor(tmp_path / "again")
    cursor.snapshot_interval = 20
    cursor.seek(150)
    for position in (149, 75, 3, 140, 41, 0, 99):
        cursor.seek(position)
        restarted_cursor._restart()
        restarted_cursor.seek(position)
        assert (
            cursor.evidence() == restarted_cursor.evidence()
            and cursor.server_table() == restarted_cursor.server_table()
        )
    assert cursor.differing_positions == set() and cursor.cached_snapshots


def test_decisions_are_found_in_both_directions(tmp_path: Path) -> None:
    cursor = open_cursor(tmp_path)
    found = []
    while (position := cursor.next_decision()) < len(cursor.entries) - 1:
        cursor.seek(position)
        found.append(position)
    assert len(found) > 20 and all(
        any(command[0] in (1, 2, 3, 4, 6) for command in cursor.entries[position].commands)
        for position in found
    )
    assert cursor.next_decision(False) == found[-2]


def test_capture_that_lost_its_first_segment_is_replayed_without_differences(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=1000)
    files = sorted(tmp_path.glob("*.cap"))
    files[0].unlink()
    segments = next(read_runs(tmp_path).runs[0].contiguous_segments())
    cursor = CaptureCursor(segments, decisions)
    cursor.seek(len(cursor.entries))
    assert (
        cursor.differing_positions == set() and replay_segments(segments, decisions).first_difference is None
    )


def test_screen_fits_80_columns_and_keys_move_the_cursor(tmp_path: Path) -> None:
    app = CaptureApp(open_cursor(tmp_path), "instance 0")

    async def press_keys() -> None:
        async with app.run_test(size=(80, 30)) as pilot:
            await pilot.press("n", "n", "right")
            assert app.cursor.position > 2
            position_text = str(app.query_one("#where", Static).renderable)
            assert (
                f"entry {app.cursor.position}" in position_text
                and max(map(len, position_text.splitlines())) <= 80
            )
            timeline = str(app.query_one("#lines", Static).renderable).splitlines()
            assert any(line.startswith(">") for line in timeline) and max(map(len, timeline)) <= 80
            assert app.query_one("#servers", DataTable).row_count == 3
            previous_position = app.cursor.position
            await pilot.press("left")
            assert app.cursor.position == previous_position - 1
            await pilot.press("end", "pageup", "home")
            assert app.cursor.position == 0

    asyncio.run(press_keys())
