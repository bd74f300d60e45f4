"""Tests retention and recovery: removals, crashes during them, unreadable files, restarts, memory use."""

from __future__ import annotations

import errno
import time
import tracemalloc
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from trail_samples import answer

from stepsail.cli.trails import trail as command
from stepsail.standins.power_loss_disk import PowerLossDisk, PowerLossError
from stepsail.store.frames import encode_frame
from stepsail.trail.audit import Auditor, audit_trail
from stepsail.trail.availability import Durability, FullPolicy
from stepsail.trail.committer import TrailOptions, TrailWriter
from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import ChainPosition, EntryKind, decode, encode
from stepsail.trail.errors import UnreadableSegmentError
from stepsail.trail.folder import load_or_create_key
from stepsail.trail.keys import SigningKey, read_public_key
from stepsail.trail.log import TrailLog
from stepsail.trail.reader import committed_entries
from stepsail.trail.reconcile import reconcile
from stepsail.trail.retention import (
    CLOCK_JUMP,
    CLOCK_SETTLE_TIME,
    MAX_SEGMENTS_PER_PASS,
    PASS_INTERVAL,
    Retention,
    SealedSegment,
)
from stepsail.trail.segments import FrameKind, SegmentCatalog, SignedHead, parse_segment, segment_names


def write_segments(disk: Any, folder: Path, key: SigningKey, segment_count: int, each: int = 3) -> TrailLog:
    """Write a trail of `segment_count` segments with `each` answers; the last segment stays open."""
    log = TrailLog(disk, 0, "run", key, folder)
    log.recover()
    for segment_number in range(segment_count):
        if log.fd is not None:
            log.seal_segment(1000.0 + segment_number)
        log.open_segment(1000.0 + segment_number, [])
        log.append(
            [answer(segment_number * each + answer_number) for answer_number in range(each)],
            1000.0 + segment_number,
        )
    log.sync()
    return log


def sealed(count: int, size: int = 100) -> list[SealedSegment]:
    return [SealedSegment(f"{n}", size, 1000.0 + n, ChainPosition(n, b"")) for n in range(count)]


def test_size_limit_removes_the_oldest_until_the_rest_fits_and_never_the_live_segment() -> None:
    retention = Retention(0.0, 350)
    assert [f.name for f, _ in retention.choose_removals(sealed(5), 550, 0.0, 2000.0)] == ["0", "1"]
    assert retention.choose_removals(sealed(5), 350, 0.0, 2000.0) == []
    assert [why for _, why in Retention(0.0, 1).choose_removals(sealed(3), 900, 0.0, 2000.0)] == ["size"] * 3
    assert len(Retention(0.0, 1).choose_removals(sealed(50), 9000, 0.0, 2000.0)) == MAX_SEGMENTS_PER_PASS


def test_age_counts_from_the_beginning_of_the_next_segment() -> None:
    retention = Retention(10.0, 0)
    assert [f.name for f, _ in retention.choose_removals(sealed(5), 500, 0.0, 1012.5)] == ["0", "1", "2"]
    assert Retention(0.0, 0).choose_removals(sealed(5), 500, 0.0, 9e9) == [] and not Retention(0.0, 0).due(
        5.0
    )


def test_clock_set_forward_suspends_removal_by_age() -> None:
    retention = Retention(100.0, 0)
    assert retention.choose_removals(sealed(5), 500, 10.0, 1010.0) == []
    assert (
        retention.choose_removals(sealed(5), 500, 20.0, 9_000_000.0) == []
    )  # the clock jumped, so no segment counts as old
    assert retention.choose_removals(sealed(5), 500, 80.0, 9_000_060.0) == []
    assert retention.choose_removals(sealed(5), 500, 90.0, 1090.0) == []  # the clock was corrected
    assert (
        len(retention.choose_removals(sealed(5), 500, 91.0 + CLOCK_SETTLE_TIME, 1091.0 + CLOCK_SETTLE_TIME))
        == 5
    )  # the age limit applies again
    slow = Retention(100.0, 0)
    assert slow.choose_removals(sealed(1), 100, 0.0, 1050.0) == []
    assert (
        len(slow.choose_removals(sealed(1), 100, PASS_INTERVAL, 1050.0 + PASS_INTERVAL + CLOCK_JUMP - 1)) == 1
    )  # a drift below CLOCK_JUMP is no jump


def test_pass_is_due_at_intervals_and_after_a_new_segment() -> None:
    retention = Retention(1.0, 0)
    assert retention.due(0.0) and not retention.due(PASS_INTERVAL - 1) and retention.due(PASS_INTERVAL)
    retention.next_pass_at = PASS_INTERVAL + 2
    assert retention.due(PASS_INTERVAL + 2)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(1, 500), st.floats(0, 50)), max_size=20),
    st.integers(0, 3000),
    st.floats(0, 100),
    st.integers(0, 500),
)
def test_removals_are_the_oldest_and_no_more_than_needed(
    sizes_and_intervals: list[tuple[int, float]], max_bytes: int, max_age: float, live_bytes: int
) -> None:
    started_at, segments = 1000.0, []
    for number, (size, interval) in enumerate(sizes_and_intervals):
        started_at += interval
        segments.append(SealedSegment(str(number), size, started_at, ChainPosition(number, b"")))
    total, wall_time = live_bytes + sum(f.size for f in segments), started_at + 20.0
    removed = [f for f, _ in Retention(max_age, max_bytes).choose_removals(segments, total, 0.0, wall_time)]
    assert removed == segments[: len(removed)]
    remaining = segments[len(removed) :]
    if len(removed) < MAX_SEGMENTS_PER_PASS and remaining:
        assert not max_bytes or live_bytes + sum(f.size for f in remaining) <= max_bytes
        assert not max_age or wall_time - remaining[0].successor_started_at <= max_age
    for index, segment in enumerate(removed):
        bytes_left = total - sum(f.size for f in removed[:index])
        assert (max_bytes and bytes_left > max_bytes) or (
            max_age and wall_time - segment.successor_started_at > max_age
        )


def test_rest_of_a_trail_verifies_after_its_oldest_segments_are_retired(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 6)
    heads = [h for n in segment_names(disk) for h in parse_segment(n, disk.read(n), tmp_path / n).heads()]
    sealed_segments = SegmentCatalog(disk, tmp_path).sealed(3)
    oldest = sealed_segments.oldest
    assert sealed_segments.total_bytes == sum(disk.size(n) for n in segment_names(disk))
    for file in oldest[:2]:
        log.retire(file, "age", 2000.0)
    assert segment_names(disk)[0] == oldest[2].name
    found = Auditor(disk, tmp_path, key.public, heads).run()
    assert found.findings == [] and found.first_seq == oldest[1].successor_follows.seq
    assert any("published heads belong to retired segments" in n for n in found.notes)
    retired = [
        decode(d)[2]["file"]
        for _, _, d in committed_entries(disk, tmp_path)
        if decode(d)[0] == EntryKind.RETIRED
    ]
    assert retired == [f.name for f in oldest[:2]]


def test_segment_removed_without_a_signed_entry_is_a_finding(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 6)
    names = segment_names(disk)
    log.retire(SegmentCatalog(disk, tmp_path).sealed(1).oldest[0], "size", 2000.0)
    disk.remove(names[1])  # one more file is removed by hand
    found = Auditor(disk, tmp_path, key.public).run().findings
    assert any("segments are missing" in f.message for f in found)


def test_unsigned_retirement_entry_does_not_count(tmp_path: Path) -> None:
    """Someone without the key can append a RETIRED entry after the last head, but cannot sign it."""
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 4)
    first = SegmentCatalog(disk, tmp_path).sealed(1).oldest[0]
    log.append(
        [
            encode(
                EntryKind.RETIRED,
                1.0,
                file=first.name,
                follows=first.successor_follows.seq,
                link=first.successor_follows.link,
                why="age",
            )
        ],
        1.0,
    )
    disk.remove(first.name)
    assert any(
        "segments are missing" in f.message for f in Auditor(disk, tmp_path, key.public).run().findings
    )


def test_power_loss_at_every_step_of_a_retirement_leaves_a_valid_trail(tmp_path: Path) -> None:
    key = SigningKey.create(tmp_path)
    uninterrupted = PowerLossDisk()
    log = write_segments(uninterrupted, tmp_path, key, 5)
    first_call = uninterrupted.call_count
    log.retire(SegmentCatalog(uninterrupted, tmp_path).sealed(1).oldest[0], "age", 2000.0)
    assert uninterrupted.call_count > first_call + 3
    for power_loss_at in range(first_call, uninterrupted.call_count):
        for seed in range(8):
            disk = PowerLossDisk()
            log = write_segments(disk, tmp_path, key, 5)
            disk.power_loss_at = power_loss_at
            with pytest.raises(PowerLossError):
                log.retire(SegmentCatalog(disk, tmp_path).sealed(1).oldest[0], "age", 2000.0)
            surviving_disk = disk.after_power_loss(Random(power_loss_at * 100 + seed), keep_all=seed == 0)
            next_log = write_segments(surviving_disk, tmp_path, key, 1)
            report = Auditor(surviving_disk, tmp_path, key.public).run()
            assert [f for f in report.findings if "damaged at byte" not in f.message] == []
            for segment in (
                SegmentCatalog(surviving_disk, tmp_path).sealed(2).oldest
            ):  # retention continues after the restart
                next_log.retire(segment, "age", 3000.0)
            assert [
                f
                for f in Auditor(surviving_disk, tmp_path, key.public).run().findings
                if "damaged at byte" not in f.message
            ] == []


def test_segment_cut_short_before_its_start_is_retired_by_the_next_start(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 2)
    log.close_segment()
    disk.create(f"{log.next_segment:08d}-umpire0.trail")  # a crash right after the file was created
    log.next_segment += 1
    log.open_segment(1010.0, [answer(50)])
    oldest = SegmentCatalog(disk, tmp_path).sealed(8).oldest
    assert len(oldest) == 3 and oldest[1].successor_follows == oldest[2].successor_follows
    for file in oldest:
        log.retire(file, "age", 2000.0)
    assert len(segment_names(disk)) == 1 and Auditor(disk, tmp_path, key.public).run().findings == []


def test_start_in_a_large_first_frame_is_found(tmp_path: Path) -> None:
    """Earlier versions wrote the START entry and the rewritten entries of a failed write in one frame."""
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 1)
    log.seal_segment(1001.0)
    original_append = log.append
    log.append = lambda entries, wall_time: original_append(  # type: ignore[method-assign]
        [*entries, *([answer(n) for n in range(200)] if decode(entries[0])[0] == EntryKind.START else [])],
        wall_time,
    )
    log.open_segment(1002.0, [])
    log.append = original_append  # type: ignore[method-assign]
    (first,) = SegmentCatalog(disk, tmp_path).sealed(8).oldest
    log.retire(first, "age", 2000.0)
    assert Auditor(disk, tmp_path, key.public).run().findings == []


def test_live_trail_stays_within_its_size_and_verifies(tmp_path: Path) -> None:
    outcomes: list[bool] = []
    reported: list[tuple[str, dict[str, Any]]] = []
    options = TrailOptions(
        Durability.PROCESS_CRASH,
        FullPolicy.REJECT,
        segment_bytes=1 << 14,
        reserve_bytes=1 << 16,
        max_bytes=1 << 17,
    )
    trail = TrailWriter(tmp_path, 0, options, lambda call: call(), lambda e, **f: reported.append((e, f)))
    for number in range(6000):
        trail.enqueue(
            EntryKind.ANSWER,
            outcomes.append,
            receipt=f"r{number}",
            verdict="handled",
            status=200,
            digest="d" * 40,
        )
        if number % 500 == 499:
            end = time.monotonic() + 10.0
            while len(outcomes) <= number:
                assert time.monotonic() < end
                time.sleep(0.001)
    trail.close()
    assert all(outcomes) and any(e == "trail_retired" for e, _ in reported)
    total = sum(f.stat().st_size for f in tmp_path.glob("*.trail"))
    assert total <= (1 << 17) + 3 * (
        1 << 17
    )  # beyond the limit: what one batch may write before the next pass
    found = audit_trail(tmp_path, read_public_key(tmp_path))
    assert found.findings == [] and found.first_seq > 0


def test_sent_entry_whose_answer_was_retired_is_no_discrepancy() -> None:
    sent = encode(EntryKind.SENT, 2000.0, receipt="r1", whole=True)
    assert reconcile([(700, decode(sent))], []).discrepancies == []
    assert reconcile([(0, decode(sent))], []).discrepancies != []
    result = reconcile(
        [(700, decode(sent))], [{"receipt": "r1", "verdict": "handled", "status": 200, "digest": "d"}]
    )
    assert "older segments were retired" in result.discrepancies[0]


def test_unreadable_segment_stops_the_start_with_a_remedy(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    write_segments(disk, tmp_path, key, 3).seal_segment(1.0)
    disk.unreadable = {segment_names(disk)[-1]}
    with pytest.raises(UnreadableSegmentError, match=r"cannot be read.*Copy the folder to another disk"):
        load_or_create_key(tmp_path, disk)
    with pytest.raises(UnreadableSegmentError):
        TrailLog(disk, 0, "run", key, tmp_path).recover()


def test_audit_reports_an_unreadable_segment_and_continues(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    write_segments(disk, tmp_path, key, 4).seal_segment(1.0)
    disk.unreadable = {segment_names(disk)[1]}
    found = Auditor(disk, tmp_path, key.public).run()
    assert any("cannot be read" in f.message for f in found.findings) and found.valid_heads > 4
    with pytest.raises(OSError):  # an export fails instead of leaving the segment out
        list(committed_entries(disk, tmp_path))


def test_reader_skips_a_segment_retired_while_it_reads(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 4)
    names = segment_names(disk)
    log.retire(SegmentCatalog(disk, tmp_path).sealed(1).oldest[0], "age", 1.0)
    disk.names = lambda: names  # type: ignore[method-assign]
    assert Auditor(disk, tmp_path, key.public).run().findings == []


def test_repeated_crashes_during_start_lose_nothing_and_reuse_no_number(tmp_path: Path) -> None:
    """Most of 300 starts in a row are cut short by a power loss.

    Committed entries stay, no number is assigned twice, and a start reads at most two segments more than
    there were failed starts since the last completed one.
    """
    key, random, disk = SigningKey.create(tmp_path), Random(7), PowerLossDisk()
    committed: list[str] = []
    starts_since_completed = 0
    for process_number in range(300):
        disk.power_loss_at = disk.call_count + random.randrange(0, 14)
        reads: list[str] = []
        original_read = disk.read

        def recording_read(
            name: str, max_bytes: int = -1, original_read: Any = original_read, reads: list[str] = reads
        ) -> bytes:
            reads.append(name)
            data: bytes = original_read(name, max_bytes)
            return data

        disk.read = recording_read  # type: ignore[method-assign]
        try:
            log = TrailLog(disk, 0, f"run{process_number}", key, tmp_path)
            starts_since_completed += 1
            log.recover()
            assert len(reads) <= starts_since_completed + 1
            log.open_segment(1.0, [])
            starts_since_completed = 0
            log.append([answer(process_number)], 1.0)
            log.sync()
            committed.append(f"r{process_number}")
            log.seal_segment(1.0)
        except PowerLossError:
            pass
        disk.read = original_read  # type: ignore[method-assign]
        disk = disk.after_power_loss(random)
    entries = [(n, decode(d)) for _, n, d in committed_entries(disk, tmp_path)]
    seen = [f["receipt"] for _, (k, _, f) in entries if k == EntryKind.ANSWER]
    assert [r for r in seen if r in set(committed)] == committed and len(committed) > 20
    assert [n for n, _ in entries] == list(range(len(entries)))
    findings = Auditor(disk, tmp_path, key.public).run().findings
    assert [f for f in findings if "damaged at byte" not in f.message] == []


def test_audit_holds_two_segments_in_memory(tmp_path: Path) -> None:
    key = SigningKey.create(tmp_path)

    log = TrailLog(RealDisk(tmp_path), 0, "run", key, tmp_path)
    entry = answer(1)
    for _ in range(60):
        log.open_segment(1.0, [])
        log.append([entry] * 600, 1.0)
        log.seal_segment(1.0)
    size = max(f.stat().st_size for f in tmp_path.glob("*.trail"))
    audit_trail(tmp_path, key.public)
    tracemalloc.start()
    found = audit_trail(tmp_path, key.public)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert found.findings == [] and found.entries == 60 * 601
    assert peak < 10 * size < sum(f.stat().st_size for f in tmp_path.glob("*.trail")) / 4


def test_seal_signs_unsigned_entries_and_refuses_a_live_trail(tmp_path: Path) -> None:
    options = TrailOptions(Durability.PROCESS_CRASH, FullPolicy.REJECT, reserve_bytes=1 << 16)
    trail = TrailWriter(tmp_path, 0, options, lambda call: call(), lambda e, **f: None)
    runner = CliRunner()
    refused = runner.invoke(command, ["seal", str(tmp_path)])
    assert refused.exit_code == 1 and "another process" in refused.output
    trail.close()
    key = SigningKey.load(tmp_path)

    log = TrailLog(RealDisk(tmp_path), 0, "run", key, tmp_path)
    log.recover()
    log.open_segment(1.0, [])
    log.append([answer(n) for n in range(5)], 1.0)
    log.close_segment()  # killed with five answers after the last head
    assert audit_trail(tmp_path, key.public).unsigned == 5
    sealed_result = runner.invoke(command, ["seal", str(tmp_path)])
    assert sealed_result.exit_code == 0, sealed_result.output
    report = audit_trail(tmp_path, key.public)
    assert report.unsigned == 0 and report.findings == []
    import msgspec

    head = msgspec.json.decode(sealed_result.stdout.splitlines()[-1].encode(), type=SignedHead)
    assert audit_trail(tmp_path, key.public, [head]).findings == []


def test_full_disk_during_retirement_removes_nothing(tmp_path: Path) -> None:
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 3)
    names, before = segment_names(disk), log.position
    disk.errors = {disk.call_count + 1: errno.ENOSPC}
    with pytest.raises(OSError):
        log.retire(SegmentCatalog(disk, tmp_path).sealed(1).oldest[0], "age", 2000.0)
    assert segment_names(disk) == names and log.position == before


def test_reading_many_small_frames_takes_linear_time(tmp_path: Path) -> None:
    """The reader once scanned the rest of the file after each header; a file of small frames took minutes."""

    class SliceCountingBytes(bytes):
        sliced_bytes = 0

        def __getitem__(self, key_or_slice: Any) -> Any:
            result = super().__getitem__(key_or_slice)
            SliceCountingBytes.sliced_bytes += len(result) if isinstance(result, bytes) else 1
            return result

    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = TrailLog(disk, 0, "run", key, tmp_path)
    log.open_segment(1.0, [])
    for number in range(300):
        log.append([answer(number)], 1.0)
    (name,) = segment_names(disk)
    data = SliceCountingBytes(disk.read(name))
    assert len(parse_segment(name, data, tmp_path / name).frames) == 302
    assert SliceCountingBytes.sliced_bytes < 4 * len(data)


def test_duplicate_of_the_last_entry_is_found_by_the_next_head(tmp_path: Path) -> None:
    """An entry inserted between the last entry and its head was once skipped as a rewritten entry."""
    disk, key = PowerLossDisk(), SigningKey.create(tmp_path)
    log = write_segments(disk, tmp_path, key, 1)
    position_before = log.position
    log.append([answer(2)], 1.0)
    log.rewind(position_before)
    log.seal_segment(1.0)
    assert any(
        "a head that signs up to entry" in f.message
        for f in Auditor(disk, tmp_path, key.public).run().findings
    )
    # Changing the number in the head's frame does not hide it, although its checksum needs no key.
    (name,) = segment_names(disk)
    data = bytes(disk.files[name].data)
    last = parse_segment(name, data, tmp_path / name).frames[-1]
    disk.files[name].data = bytearray(
        data[: last.offset]
        + encode_frame(FrameKind.HEAD, last.payload(data), last.first_entry + 1, last.clock)
    )
    assert any(
        "a head that signs up to entry" in f.message
        for f in Auditor(disk, tmp_path, key.public).run().findings
    )
