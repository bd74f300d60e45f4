"""Tests the audit trail: power loss at each write, full and failing disks, changed files, keys, locking."""

from __future__ import annotations

import errno
import os
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from trail_samples import answer, receipts

from stepsail.standins.power_loss_disk import PowerLossDisk, PowerLossError
from stepsail.store.frames import encode_frame, join_entries, split_entries
from stepsail.trail.audit import Auditor, audit_trail
from stepsail.trail.availability import RETRY_INTERVAL, Durability, FullPolicy, TrailAvailability
from stepsail.trail.committer import TrailOptions, TrailWriter
from stepsail.trail.entries import EntryKind, decode, encode
from stepsail.trail.errors import ExposedKeyError, MissingKeyError, TrailLockedError, WrongKeyError
from stepsail.trail.keys import SigningKey, read_public_key
from stepsail.trail.log import TrailLog
from stepsail.trail.reader import committed_entries, read_entries
from stepsail.trail.reconcile import merge, reconcile
from stepsail.trail.segments import TITLE, FrameKind, SignedHead, parse_segment, segment_names


def write_trail(
    disk: PowerLossDisk,
    key: SigningKey,
    folder: Path,
    committed: list[int],
    rounds: int = 6,
    first_number: int = 0,
) -> None:
    """Write what one process writes: synced batches, heads after some of them, and a second segment."""
    log = TrailLog(disk, 0, "run", key, folder)
    log.recover()
    log.open_segment(1.0, [])
    number = first_number
    for batch_number in range(rounds):
        batch = list(range(number, number + 1 + batch_number % 3))
        number += len(batch)
        log.append([answer(n) for n in batch], 1.0)
        log.sync()
        committed += batch
        if batch_number % 2:
            log.sign_head(1.0)
        if batch_number == 3:
            log.seal_segment(1.0)
            log.open_segment(1.0, [])


def test_power_loss_at_every_write_keeps_each_synced_entry_once_and_in_order(tmp_path: Path) -> None:
    """Each synced entry is in the trail once and in order, torn ones are not; the audit finds no fault."""
    key = SigningKey.create(tmp_path)
    uninterrupted = PowerLossDisk()
    write_trail(uninterrupted, key, tmp_path, [])
    for power_loss_at in range(uninterrupted.call_count):
        for seed in range(12):
            disk, committed = PowerLossDisk(), list[int]()
            disk.power_loss_at = power_loss_at
            with pytest.raises(PowerLossError):
                write_trail(disk, key, tmp_path, committed)
            surviving_disk = disk.after_power_loss(Random(power_loss_at * 100 + seed), keep_all=seed == 0)
            committed_later: list[int] = []
            write_trail(surviving_disk, key, tmp_path, committed_later, first_number=1000)
            seen = receipts(surviving_disk, tmp_path)
            assert len(seen) == len(set(seen))
            assert [r for r in seen if r in {f"r{n}" for n in committed + committed_later}] == [
                f"r{n}" for n in committed + committed_later
            ]
            report = Auditor(surviving_disk, tmp_path, key.public).run()
            unexpected = [f for f in report.findings if "damaged at byte" not in f.message]
            assert unexpected == [], (power_loss_at, seed, unexpected)


def test_failed_sync_is_never_retried_on_the_same_segment(tmp_path: Path) -> None:
    disk = PowerLossDisk()
    done: list[tuple[int, bool]] = []
    trail = open_trail(tmp_path, disk, done)
    enqueue_answer(trail, 0, done)
    wait_until(lambda: len(done) == 1)
    disk.errors = {disk.call_count + 1: errno.EIO}  # the write succeeds, the sync fails
    enqueue_answer(trail, 1, done)
    wait_until(lambda: len(done) == 2)
    enqueue_answer(trail, 2, done)
    wait_until(lambda: len(done) == 3)
    trail.close()
    assert done == [(0, True), (1, True), (2, True)]
    assert receipts(disk, tmp_path) == ["r0", "r1", "r2"] and len(segment_names(disk)) == 2
    assert Auditor(disk, tmp_path, trail.log.key.public).run().findings == []


def open_trail(
    folder: Path,
    disk: Any,
    done: list[tuple[int, bool]],
    full_policy: FullPolicy = FullPolicy.REJECT,
    durability: Durability = Durability.POWER_LOSS,
    **limits: int,
) -> TrailWriter:
    options = TrailOptions(durability, full_policy, **limits)
    return TrailWriter(folder, 0, options, lambda call: call(), lambda event, **fields: None, disk)


def enqueue_answer(trail: TrailWriter, number: int, done: list[tuple[int, bool]]) -> bool:
    return trail.enqueue(
        EntryKind.ANSWER,
        lambda stored: done.append((number, stored)),
        receipt=f"r{number}",
        verdict="handled",
        status=200,
        digest="d",
    )


def wait_until(condition: Callable[[], bool], timeout: float = 5.0) -> None:
    give_up_at = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < give_up_at
        time.sleep(0.002)


@pytest.mark.parametrize("kind", list(EntryKind))
def test_full_disk_at_every_kind_of_entry_loses_no_committed_entry(tmp_path: Path, kind: EntryKind) -> None:
    disk, done = PowerLossDisk(), list[tuple[int, bool]]()
    trail = open_trail(tmp_path, disk, done, reserve_bytes=1 << 16)
    enqueue_answer(trail, 0, done)
    wait_until(lambda: len(done) == 1)
    disk.free_bytes = 20  # the next write stops after 20 bytes
    trail.enqueue(kind, lambda stored: done.append((1, stored)), receipt="x", link=b"", follows=0)
    wait_until(lambda: len(done) == 2)
    assert done[1] == (1, True)  # stored in the freed space of the reserve
    assert not trail.accepts_requests()
    enqueue_answer(trail, 2, done)
    wait_until(lambda: len(done) == 3)
    trail.close()
    assert receipts(disk, tmp_path)[0] == "r0" and receipts(disk, tmp_path)[-1] == "r2"
    assert Auditor(disk, tmp_path, trail.log.key.public).run().findings == [] or kind in (
        EntryKind.KEY_HANDOVER,
        EntryKind.START,
    )


@pytest.mark.parametrize("full_policy", list(FullPolicy))
def test_trail_resumes_with_a_gap_entry_when_a_full_disk_has_room_again(
    tmp_path: Path, full_policy: FullPolicy, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("stepsail.trail.availability.RETRY_INTERVAL", 0.05)
    monkeypatch.setattr("stepsail.trail.availability.RESERVE_RETRY_INTERVAL", 0.05)
    monkeypatch.setattr("stepsail.trail.committer.IDLE_INTERVAL", 0.02)
    disk, done = PowerLossDisk(), list[tuple[int, bool]]()
    trail = open_trail(tmp_path, disk, done, full_policy, reserve_bytes=100)
    disk.free_bytes = -1000
    for number in range(3):
        enqueue_answer(trail, number, done)
        wait_until(lambda number=number: len(done) == number + 1)  # type: ignore[misc]
    assert done[-1] == (2, False) and trail.accepts_requests() is (full_policy is FullPolicy.CONTINUE)
    disk.free_bytes = 1 << 30
    wait_until(trail.accepts_requests)
    wait_until(lambda: trail.availability.writable and trail.availability.reserve_available)
    enqueue_answer(trail, 9, done)
    wait_until(lambda: done[-1] == (9, True))
    trail.close()
    gaps = [decode(d)[2] for _, _, d in committed_entries(disk, tmp_path) if decode(d)[0] == EntryKind.GAP]
    assert gaps and gaps[-1]["answers"] == (3 if full_policy is FullPolicy.CONTINUE else 0)
    assert receipts(disk, tmp_path)[-1] == "r9"
    assert Auditor(disk, tmp_path, trail.log.key.public).run().findings == []


def test_availability_spends_the_reserve_then_retries_after_an_interval() -> None:
    availability = TrailAvailability(FullPolicy.REJECT)
    assert (
        availability.accepts_requests()
        and availability.write_failed(10.0, "full")
        and not availability.accepts_requests()
        and availability.writable
    )
    assert not availability.write_failed(11.0, "full") and not availability.writable
    assert not availability.retry_due(11.0) and availability.retry_due(11.0 + RETRY_INTERVAL)
    availability.resumed()
    assert (
        not availability.accepts_requests()
        and not availability.reserve_due(11.5)
        and availability.reserve_due(30.0)
    )


def test_second_writer_on_one_folder_is_refused(tmp_path: Path) -> None:
    trail = open_trail(tmp_path, None, [])
    with pytest.raises(TrailLockedError, match="another process"):
        open_trail(tmp_path, None, [])
    trail.close()
    open_trail(tmp_path, None, []).close()


def test_missing_wrong_and_exposed_keys_raise_distinct_errors(tmp_path: Path) -> None:
    open_trail(tmp_path, None, []).close()
    key = (tmp_path / "key").read_bytes()
    assert (tmp_path / "key").stat().st_mode & 0o077 == 0
    (tmp_path / "key").rename(tmp_path / "away")
    with pytest.raises(MissingKeyError, match="key is lost"):
        open_trail(tmp_path, None, [])
    SigningKey.create(tmp_path)
    with pytest.raises(WrongKeyError, match="wrong key"):
        open_trail(tmp_path, None, [])
    (tmp_path / "key").write_bytes(key)
    os.chmod(tmp_path / "key", 0o644)
    with pytest.raises(ExposedKeyError, match="read by other users"):
        open_trail(tmp_path, None, [])
    os.chmod(tmp_path / "key", 0o600)
    open_trail(tmp_path, None, []).close()


@pytest.mark.parametrize("lost", [False, True])
def test_new_key_without_the_old_keys_signature_is_a_finding(tmp_path: Path, lost: bool) -> None:
    open_trail(tmp_path, None, []).close()
    public = read_public_key(tmp_path)
    if lost:
        (tmp_path / "key").unlink()
    SigningKey.rotate(tmp_path)
    open_trail(tmp_path, None, []).close()
    found = audit_trail(tmp_path, public)
    assert [f for f in found.findings if "no earlier key" in f.message] if lost else found.findings == []
    assert found.valid_heads >= (1 if lost else 3)


def write_closed_trail(folder: Path, count: int = 40) -> list[SignedHead]:
    """Write a closed trail of two segments to the folder, and return its heads."""
    done: list[tuple[int, bool]] = []
    trail = open_trail(folder, None, done)
    for number in range(count):
        enqueue_answer(trail, number, done)
        if number % 10 == 9:
            wait_until(lambda number=number: len(done) == number + 1)  # type: ignore[misc]
    wait_until(lambda: len(done) == count)
    trail.close()
    trail = open_trail(folder, None, done)
    enqueue_answer(trail, count, done)
    wait_until(lambda: len(done) == count + 1)
    trail.close()
    return [
        h for f in sorted(folder.glob("*.trail")) for h in parse_segment(f.name, f.read_bytes(), f).heads()
    ]


def rewrite_entries(file: Path, change: Callable[[list[bytes]], list[bytes]]) -> None:
    """Change a segment's entries and correct every checksum; the signed heads stay the same."""
    segment = parse_segment(file.name, file.read_bytes(), file)
    entries = [
        e for f in segment.frames if f.kind == FrameKind.BATCH for e in split_entries(f.payload(segment.data))
    ]
    head_frames = [f for f in segment.frames if f.kind == FrameKind.HEAD]
    changed = change(list(entries))
    first_seq = next(f.first_entry for f in segment.frames if f.kind == FrameKind.BATCH)
    payload = join_entries(changed)
    data = TITLE + encode_frame(FrameKind.BATCH, payload, first_seq, 0.0)
    for frame in head_frames:
        data += encode_frame(FrameKind.HEAD, frame.payload(segment.data), frame.first_entry, frame.clock)
    file.write_bytes(data)


def with_changed_status(entry: bytes) -> bytes:
    kind, wall, fields = decode(entry)
    return encode(EntryKind(kind), wall, **(fields | {"status": 201}))


CHANGES: dict[str, Callable[[list[bytes]], list[bytes]]] = {
    "removed": lambda e: e[:5] + e[6:],
    "swapped": lambda e: [*e[:5], e[6], e[5], *e[7:]],
    "doubled": lambda e: [*e[:5], e[5], *e[5:]],
    "edited": lambda e: [*e[:5], with_changed_status(e[5]), *e[6:]],
    "put in": lambda e: [*e[:5], answer(999), *e[5:]],
    "last removed": lambda e: e[:-1],
    "first answer removed": lambda e: [e[0], *e[2:]],
}


@pytest.mark.parametrize("change", list(CHANGES))
def test_changed_entry_is_found_although_every_checksum_is_valid(tmp_path: Path, change: str) -> None:
    write_closed_trail(tmp_path)
    assert audit_trail(tmp_path, read_public_key(tmp_path)).findings == []
    rewrite_entries(sorted(tmp_path.glob("*.trail"))[0], CHANGES[change])
    assert audit_trail(tmp_path, read_public_key(tmp_path)).findings != []


def test_truncation_before_a_published_head_is_found(tmp_path: Path) -> None:
    heads = write_closed_trail(tmp_path)
    files = sorted(tmp_path.glob("*.trail"))
    assert audit_trail(tmp_path, read_public_key(tmp_path), heads).findings == []
    files[-1].unlink()  # the remaining trail is valid in itself
    assert audit_trail(tmp_path, read_public_key(tmp_path)).findings == []
    found = audit_trail(tmp_path, read_public_key(tmp_path), heads).findings
    assert any("beyond the end of the trail" in str(f) for f in found)


def test_trail_signed_again_with_another_key_is_found(tmp_path: Path) -> None:
    write_closed_trail(tmp_path)
    public = read_public_key(tmp_path)
    other = tmp_path / "other"
    other.mkdir()
    write_closed_trail(other)
    assert audit_trail(other, public).findings != []


def test_one_flipped_bit_anywhere_is_found(tmp_path: Path) -> None:
    write_closed_trail(tmp_path, 12)
    file = sorted(tmp_path.glob("*.trail"))[0]
    data, public = file.read_bytes(), read_public_key(tmp_path)
    for offset in range(0, len(data), 7):
        changed = bytearray(data)
        changed[offset] ^= 1 << (offset % 8)
        file.write_bytes(changed)
        assert audit_trail(tmp_path, public).findings, offset


def test_torn_tail_at_any_byte_is_no_damage_and_the_next_process_continues(tmp_path: Path) -> None:
    key = SigningKey.create(tmp_path)
    disk = PowerLossDisk()
    log = TrailLog(disk, 0, "run", key, tmp_path)
    log.open_segment(1.0, [])
    log.append([answer(0)], 1.0)
    committed_bytes = log.segment_bytes
    log.append([answer(1)], 1.0)
    (name,) = segment_names(disk)
    data = disk.read(name)
    for length in range(committed_bytes, len(data) + 1):
        torn = PowerLossDisk()
        torn.reserve(name, 0)
        torn.files[name].data = bytearray(data[:length])
        next_log = TrailLog(torn, 0, "run", key, tmp_path)
        next_log.recover()
        next_log.open_segment(2.0, [answer(2)])
        assert receipts(torn, tmp_path) == (["r0", "r1", "r2"] if length == len(data) else ["r0", "r2"])
        assert Auditor(torn, tmp_path, key.public).run().findings == []


def test_recovery_reads_only_the_last_segment(tmp_path: Path) -> None:
    key, disk = SigningKey.create(tmp_path), PowerLossDisk()
    log = TrailLog(disk, 0, "run", key, tmp_path)
    for process_number in range(30):
        log.recover()
        log.open_segment(1.0, [answer(process_number)])
        log.close_segment()
    reads: list[str] = []
    original_read = disk.read

    def recording_read(name: str, max_bytes: int = -1) -> bytes:
        reads.append(name)
        return original_read(name, max_bytes)

    disk.read = recording_read  # type: ignore[method-assign]
    next_log = TrailLog(disk, 0, "run", key, tmp_path)
    next_log.recover()
    assert (next_log.position, len(reads)) == (log.position, 1)


def test_wall_clock_set_back_does_not_change_the_order(tmp_path: Path) -> None:
    key, disk = SigningKey.create(tmp_path), PowerLossDisk()
    log = TrailLog(disk, 0, "run", key, tmp_path)
    log.open_segment(1000.0, [answer(0)])
    log.append([answer(1)], 5.0)
    log.seal_segment(4.0)
    log.open_segment(1.0, [answer(2)])
    assert receipts(disk, tmp_path) == ["r0", "r1", "r2"]
    assert Auditor(disk, tmp_path, key.public).run().findings == []


def test_reader_works_while_the_trail_is_written(tmp_path: Path) -> None:
    done: list[tuple[int, bool]] = []
    trail = open_trail(tmp_path, None, done)
    for number in range(200):
        enqueue_answer(trail, number, done)
        if number % 20 == 0:
            assert audit_trail(tmp_path, read_public_key(tmp_path)).findings == []
    wait_until(lambda: len(done) == 200)
    assert [f["receipt"] for _, (k, _, f) in read_entries(tmp_path) if k == EntryKind.ANSWER] == [
        f"r{n}" for n in range(200)
    ]
    trail.close()


def client_answer(number: int, **changed: Any) -> dict[str, Any]:
    return {"receipt": f"r{number}", "verdict": "handled", "status": 200, "digest": "d"} | changed


@pytest.mark.parametrize(
    ("client_answers", "expected_text"),
    [
        ([client_answer(0), client_answer(1)], ""),
        ([client_answer(0)], ""),
        ([client_answer(7)], "not in the trail"),
        ([client_answer(0), client_answer(0)], "received twice"),
        ([client_answer(0, status=201)], "different answer"),
        ([client_answer(0, digest="e")], "different answer"),
        ([client_answer(0, receipt="")], "no receipt"),
    ],
)
def test_reconcile_reports_differences_between_clients_and_trail(
    client_answers: list[dict[str, Any]], expected_text: str
) -> None:
    trail = [(n, decode(answer(n))) for n in range(2)]
    result = reconcile(trail, client_answers)
    assert (result.discrepancies == []) if not expected_text else expected_text in result.discrepancies[0]
    assert reconcile([*trail, trail[0]], []).discrepancies == ["entry 0: second ANSWER entry for r0"]


def test_merge_joins_the_answers_of_two_instances_to_one_request() -> None:
    def entry(wall: float, verdict: str) -> tuple[int, Any]:
        return 0, decode(
            encode(
                EntryKind.ANSWER, wall, receipt=f"x{wall}", verdict=verdict, label="visit-1", request="1-0"
            )
        )

    merged = merge({"b": [entry(2.0, "handled")], "a": [entry(1.0, "denied")]})
    assert [(n, f["verdict"]) for _, n, f in merged["visit-1"]] == [("a", "denied"), ("b", "handled")]


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 4), min_size=3, max_size=25), st.integers(0, 1 << 30))
def test_random_failures_lose_no_committed_entry(
    tmp_path_factory: pytest.TempPathFactory, steps: list[int], seed: int
) -> None:
    folder = tmp_path_factory.mktemp("trail")
    key, random, disk = SigningKey.create(folder), Random(seed), PowerLossDisk()
    log = TrailLog(disk, 0, "run", key, folder)
    committed: list[str] = []
    for number, step in enumerate(steps):
        try:
            if step == 0 or log.fd is None:
                if step == 0:  # a crash
                    disk = disk.after_power_loss(random)
                    log = TrailLog(disk, 0, "run", key, folder)
                log.recover()
                log.open_segment(1.0, [])
            if step == 1:
                disk.errors = {disk.call_count + random.randint(0, 2): errno.EIO}
            before = log.position
            log.append([answer(number)], 1.0)
            log.sync()
            committed.append(f"r{number}")
            if step == 3:
                log.sign_head(1.0)
        except OSError:
            log.close_segment()
            log.rewind(before) if "before" in dir() else None
    disk = disk.after_power_loss(random)
    log = TrailLog(disk, 0, "run", key, folder)
    log.recover()
    log.open_segment(2.0, [])
    seen = receipts(disk, folder)
    assert [r for r in seen if r in committed] == committed and len(seen) == len(set(seen))


def test_numbers_of_entry_kinds_are_stable() -> None:
    assert [k.value for k in EntryKind] == list(range(1, 12)) and msgspec.msgpack.decode(answer(1))[0] == 2
