"""Capture files: truncation at any byte, flipped bits, earlier formats, retention, failing and slow disks."""

from __future__ import annotations

import os
import shutil
import stat
import struct
import time
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
import pytest
from helpers import router_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from recorded import RecordedHost, play_history, record_history

from stepsail import decisions
from stepsail.capture import CaptureWriter, DamagedFileError, read_segment, replay
from stepsail.capture.blocks import TITLE, BlockKind, encode_block
from stepsail.capture.entries import ENCODER, Command, Entry, Event, entry_lines
from stepsail.capture.folder import cut, entries_of, read_runs, replay_segments, write_segment
from stepsail.capture.other_builds import load_build
from stepsail.capture.replay import ReplayError
from stepsail.capture.stored_names import stored_settings
from stepsail.decisions.interface import AttemptOutcome, ReleasePhase, Verdict
from stepsail.store.frames import join_entries

META: dict[str, Any] = {
    "format": 2,
    "run": "abc",
    "segment": 0,
    "umpire": 0,
    "seed": 7,
    "charter": stored_settings(router_settings()),
    "module": "",
    "first": 0,
    "clock": 100.0,
    "gap": None,
    "wall": 0.0,
    "python": "",
}


def segment_bytes(folder: Path) -> tuple[Path, bytes]:
    record_history(folder)
    file = next(folder.glob("*.cap"))
    return file, file.read_bytes()


def test_run_is_written_read_and_replayed_without_a_difference(tmp_path: Path) -> None:
    file, _ = segment_bytes(tmp_path)
    assert stat.S_IMODE(file.stat().st_mode) == 0o600
    segment = read_segment(file)
    assert segment.sealed and segment.torn_at is None and segment.snapshot() is None
    result = replay_segments([segment], decisions)
    assert result.first_difference is None and result.entries == segment.count() > 60


def test_file_truncated_at_any_byte_keeps_its_complete_blocks(tmp_path: Path) -> None:
    file, data = segment_bytes(tmp_path)
    complete = read_segment(file)
    entry_blocks = [b for b in complete.blocks if b.kind == BlockKind.ENTRIES]
    bounds = [b.first_entry for b in entry_blocks] + [complete.count()]
    counts = {b.offset: end - b.first_entry for b, end in zip(entry_blocks, bounds[1:], strict=True)}
    for at in range(len(data)):
        file.write_bytes(data[:at])
        truncated = read_segment(file)
        assert not truncated.sealed
        blocks = [b for b in complete.blocks if b.end <= at]
        assert truncated.blocks == blocks
        assert truncated.torn_at == (
            None if at in [b.end for b in blocks] else (blocks[-1].end if blocks else truncated.torn_at)
        )
        assert len(list(truncated.entries())) == sum(
            counts[b.offset] for b in blocks if b.kind == BlockKind.ENTRIES
        )


def test_one_flipped_bit_anywhere_is_found_with_its_offset(tmp_path: Path) -> None:
    file, data = segment_bytes(tmp_path)
    for at in range(0, len(data)):
        changed = bytearray(data)
        changed[at] ^= 1 << (at % 8)
        file.write_bytes(changed)
        with pytest.raises(DamagedFileError) as raised:
            read_segment(file)
        assert raised.value.offset <= at and str(raised.value.offset) in str(raised.value)


def test_unwritten_space_is_a_torn_tail(tmp_path: Path) -> None:
    file, data = segment_bytes(tmp_path)
    end = read_segment(file).blocks[-1]
    file.write_bytes(data[: end.offset] + bytes(4096))
    torn = read_segment(file)
    assert torn.torn_at == end.offset and torn.count() > 60
    file.write_bytes(data + b"more")
    with pytest.raises(DamagedFileError, match="not the start of a frame"):
        read_segment(file)


def test_format_1_is_read_and_a_newer_format_is_refused(tmp_path: Path) -> None:
    file, _ = segment_bytes(tmp_path)
    segment = read_segment(file)
    payload = b""
    for _, entry in segment.entries():
        data = ENCODER.encode(tuple(entry)[:4])
        payload += join_entries([data])
    old_file = tmp_path / "old.cap"
    old_file.write_bytes(
        TITLE % 1
        + encode_block(BlockKind.META, msgspec.msgpack.encode(META), 0, 100.0)
        + encode_block(BlockKind.ENTRIES, payload, 0, 100.0)
    )
    old_segment = read_segment(old_file)
    assert [e for _, e in old_segment.entries()] == [e for _, e in segment.entries()]
    assert replay_segments([old_segment], decisions).first_difference is None
    old_file.write_bytes(TITLE % 99)
    with pytest.raises(DamagedFileError, match="format 99 is newer"):
        read_segment(old_file)
    old_file.write_bytes(b"something else\n" + bytes(100))
    with pytest.raises(DamagedFileError, match="not a capture"):
        read_segment(old_file)


def test_run_whose_first_segments_were_removed_replays_from_a_snapshot(
    tmp_path: Path,
) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=1000, max_bytes=30000)
    captures = read_runs(tmp_path)
    runs, damaged = captures.runs, captures.damaged
    assert damaged == [] and len(runs) == 1
    (segments,) = runs[0].contiguous_segments()
    assert int(segments[0].meta["segment"]) > 0 and segments[0].snapshot() is not None
    result = replay_segments(segments, decisions)
    assert result.first_difference is None and result.entries > 50
    assert sum(f.stat().st_size for f in tmp_path.glob("*.cap")) < 45000


def test_replayed_state_equals_the_next_snapshot(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=1000)
    (segments,) = read_runs(tmp_path).runs[0].contiguous_segments()
    assert len(segments) > 3
    for segment, later in pairwise(segments):
        result = replay_segments([segment], decisions)
        assert result.first_difference is None and result.host.snapshot() == later.snapshot()


def test_full_disk_drops_entries_and_resumes_after_a_gap(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    writer = CaptureWriter(tmp_path, 0, "m", lambda event, **fields: events.append(event))
    desk = RecordedHost(writer)
    play_history(desk)
    deadline = time.monotonic() + 5
    while writer.bytes_written < 1000 and time.monotonic() < deadline:
        time.sleep(0.01)
    disk_full = True
    real = os.write

    def raise_no_space(fd: int, data: Any) -> int:
        if disk_full:
            raise OSError(28, "No space left on device")
        return real(fd, data)

    monkeypatch.setattr("stepsail.capture.segment_writer.os.write", raise_no_space)
    monkeypatch.setattr("stepsail.capture.writer.RETRY_INTERVAL", 0.05)
    play_history(desk)
    deadline = time.monotonic() + 5
    while "capture_write_failed" not in events and time.monotonic() < deadline:
        time.sleep(0.01)
    play_history(desk, 5)
    disk_full = False
    time.sleep(0.1)
    play_history(desk)
    writer.close()
    assert events[:2] == ["capture_write_failed", "capture_dropping"] and "capture_resumed" in events
    captures = read_runs(tmp_path)
    runs, damaged = captures.runs, captures.damaged
    segment_lists = list(runs[0].contiguous_segments())
    assert damaged == [] and len(segment_lists) == 2
    gap = segment_lists[1][0].meta["gap"]
    assert gap["lost"] > 0 and gap["why"] == "the disk failed"
    for segments in segment_lists:
        assert replay_segments(segments, decisions).first_difference is None


def test_slow_disk_does_not_block_the_router(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[str] = []
    monkeypatch.setattr("stepsail.capture.writer.MAX_BUFFERED_ENTRIES", 4)
    real = os.write

    def write_slowly(fd: int, data: Any) -> int:
        time.sleep(0.05)
        return real(fd, data)

    monkeypatch.setattr("stepsail.capture.segment_writer.os.write", write_slowly)
    writer = CaptureWriter(tmp_path, 0, "m", lambda event, **fields: events.append(event))
    desk = RecordedHost(writer)
    start = time.monotonic()
    play_history(desk, 200)
    assert time.monotonic() - start < 2.0 and "capture_dropping" in events
    writer.close(10.0)
    for run in read_runs(tmp_path).runs:
        for segments in run.contiguous_segments():
            assert replay_segments(segments, decisions).first_difference is None


def test_replay_does_not_cross_a_missing_segment(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=4000)
    files = sorted(tmp_path.glob("*.cap"))
    middle = read_segment(files[1])
    files[1].unlink()
    segment_lists = list(read_runs(tmp_path).runs[0].contiguous_segments())
    assert len(segment_lists) == 2 and all(
        replay_segments(s, decisions).first_difference is None for s in segment_lists
    )
    numbered = list(read_segment(files[0]).entries())
    with pytest.raises(ReplayError, match="missing"):
        replay(middle.meta, None, [numbered[0], *numbered[2:]], decisions)
    with pytest.raises(ReplayError, match="neither a start nor a snapshot"):
        replay(middle.meta, None, numbered[1:], decisions)


def test_entries_cut_out_of_a_run_replay_by_themselves(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=100)
    (segments,) = read_runs(tmp_path).runs[0].contiguous_segments()
    piece = tmp_path / "piece.cap"
    count = cut(segments, decisions, 102.0, 103.0, piece)
    result = replay_segments([read_segment(piece)], decisions)
    assert result.first_difference is None and result.entries == count > 10


def mutated_package(folder: Path, module: str, old: str, new: str) -> Path:
    """Copy the `decisions` package to a folder, and replace one text in a module of the copy."""
    shutil.copytree(Path(decisions.__file__).parent, folder, ignore=shutil.ignore_patterns("__pycache__"))
    source = (folder / module).read_text()
    assert source.count(old) == 1
    (folder / module).write_text(source.replace(old, new))
    return folder


def test_changed_module_differs_in_a_replay(tmp_path: Path) -> None:
    record_history(tmp_path, rounds=100)
    (segments,) = read_runs(tmp_path).runs[0].contiguous_segments()
    other = load_build(
        mutated_package(tmp_path / "other", "timing.py", "TICK_INTERVAL = 0.2 ", "TICK_INTERVAL = 0.21 ")
    )
    result = replay_segments(segments, other)
    assert result.first_difference is not None and result.differing == 1
    lines = "\n".join(result.first_difference.lines([]))
    assert "as captured:" in lines and "as replayed:" in lines
    assert replay_segments(segments, other, continue_after_difference=True).differing >= 1


def test_error_of_the_router_is_captured_and_replayed(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path, 0, "m", lambda event, **fields: None)
    desk = RecordedHost(writer)
    request = desk.accept()
    with pytest.raises(IndexError):
        request.attempt_ended(9, AttemptOutcome.SERVED, True, 0.1, ())
    writer.close()
    (segments,) = read_runs(tmp_path).runs[0].contiguous_segments()
    last = list(segments[-1].entries())[-1][1]
    assert (
        last.error.startswith("IndexError") and replay_segments(segments, decisions).first_difference is None
    )


def test_two_instances_in_one_process_write_two_runs(tmp_path: Path) -> None:
    writers = [CaptureWriter(tmp_path, n, "m", lambda event, **fields: None) for n in (0, 1)]
    desks = [RecordedHost(w, seed=n) for n, w in enumerate(writers)]
    for desk in desks:
        play_history(desk)
    for writer in writers:
        writer.close()
    runs = read_runs(tmp_path).runs
    assert sorted(r.instance for r in runs) == [0, 1]
    assert all(
        replay_segments(s, decisions).first_difference is None for r in runs for s in r.contiguous_segments()
    )


steps = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "take",
                "end",
                "wait",
                "left",
                "news",
                "list",
                "counts",
                "contest",
                "probe",
                "say",
                "pause",
                "fleet",
            ]
        ),
        st.integers(0, 8),
        st.integers(0, 8),
    ),
    min_size=5,
    max_size=60,
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(steps, st.integers(0, 10**9), st.booleans())
def test_random_history_truncated_at_a_random_byte_replays(
    tmp_path_factory: pytest.TempPathFactory, history: list[tuple[str, int, int]], offset: int, gossip: bool
) -> None:
    folder = tmp_path_factory.mktemp("capture")
    writer = CaptureWriter(folder, 0, "m", lambda event, **fields: None, segment_bytes=500)
    desk = RecordedHost(writer, gossip_enabled=gossip, builds=(1, 1, 2, 2))
    requests: list[Any] = []
    for step, a, b in history:
        if step == "take":
            requests.append(desk.accept(a % 3, 0.2 + b))
        elif step == "end" and requests:
            request = requests[a % len(requests)]
            open_attempts = [n for n, r in enumerate(request.real.attempts) if not r.ended]
            if open_attempts:
                request.attempt_ended(open_attempts[0], AttemptOutcome(b % 8), b % 8 == 0, a / 10, ())
        elif step == "wait":
            desk.advance(a * 0.11 + b * 0.01)
        elif step == "pause":
            desk.clock += a  # the process was paused: all overdue timers fire at once
            desk.advance(0.0)
        elif step == "left" and requests:
            request = requests[a % len(requests)]
            if not request.finished():  # a host reports no events of finished requests
                request.client_disconnected()
        elif step == "news":
            desk.receive_release_state(1 + a % 3, b % 2, ReleasePhase(a % 4), 0.2)
        elif step == "list":
            desk.receive_endpoint_list((1, 1, 2, 2), desk.clock if a % 2 else 0.0, state=b % 2)
        elif step == "counts":
            desk.router.release_counts_received(1 + a % 3, b % 3, 10, a, 0.1, 1.0)
        elif step == "contest":
            desk.servers[a % 4].answer_disputed(b % 3, 1.0)
        elif step == "probe":
            desk.servers[a % 4].health_check_finished(0.01, AttemptOutcome(b % 8), ())
        elif step == "say":
            desk.router.peer_outcome_received(desk.servers[a % 4], 1 + b % 2, b % 3, a)
            desk.router.peer_verdict_received(1 + a % 2, 2, 0, Verdict(b % 4))
            desk.router.peer_stalled_classes_received(a % 3, (b % 3, 9))
        elif step == "fleet":
            desk.router.membership_changed(tuple(range(0, 1 + a, 1 + b)))
    writer.close()
    files = sorted(folder.glob("*.cap"))
    torn_file = files[-1]
    data = torn_file.read_bytes()
    torn_file.write_bytes(data[: offset % (len(data) + 1)])
    captures = read_runs(folder)
    runs, damaged = captures.runs, captures.damaged
    assert damaged == []
    for run in runs:
        for segments in run.contiguous_segments():
            result = replay_segments(segments, decisions)
            assert result.first_difference is None


def test_printed_values_have_the_names_of_their_event_and_command() -> None:
    """Event 6 and command 6 have the same number but no field in common."""
    entry = Entry(Event.RELEASE_STATE_RECEIVED, 1.0, (0.5, 0.2, 2, 1, 0), [(int(Command.CAST_VOTE), 2, 1, 3)])
    assert entry_lines(entry) == [
        "1.000000 release_state_received age=0.5 exposure_limit=0.2 build=2 stage=1 phase=0",
        "    -> cast_vote build=2 stage=1 verdict=3",
    ]


def test_stored_numbers_are_stable() -> None:
    """Old captures would be misread if any of these numbers changed."""
    assert [t.value for t in Event] == list(range(1, 19))
    assert [a.value for a in Command] == list(range(1, 15))
    assert struct.calcsize("<4sB3xIQdQ") == 36
    assert write_segment.__doc__ and Entry._fields == ("kind", "clock", "values", "commands", "error")


def test_entries_since_a_time_are_read_without_uncompressing_earlier_blocks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_history(tmp_path, rounds=400, segment_bytes=1000)
    (segments,) = read_runs(tmp_path).runs[0].contiguous_segments()
    assert len(segments) > 3
    all_entries = list(entries_of(segments))
    since = all_entries[len(all_entries) * 3 // 4][1].clock
    uncompressed: list[int] = []
    real = type(segments[0]).payload

    def counted(self: Any, block: Any) -> bytes:
        uncompressed.append(1)
        return real(self, block)

    monkeypatch.setattr(type(segments[0]), "payload", counted)
    later = [(n, e) for n, e in entries_of(segments, since) if e.clock >= since]
    assert later == [(n, e) for n, e in all_entries if e.clock >= since]
    count_since = len(uncompressed)
    list(entries_of(segments))
    assert count_since < (len(uncompressed) - count_since) / 2
