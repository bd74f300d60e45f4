"""The audit trail: no client gets a response that the trail lacks, and a full disk is reported truthfully."""

from __future__ import annotations

import errno
import os
import stat
from pathlib import Path
from typing import Any

import pytest
from rig import Rig, answers, hangs, json_body

from stepsail.trail.audit import audit_trail
from stepsail.trail.entries import EntryKind, answer_digest
from stepsail.trail.keys import read_public_key
from stepsail.trail.reader import read_entries

TRAIL_SETTINGS = "trail kept {\n    commit-within 50ms\n}"


def trail_entries(folder: Path, kind: EntryKind = EntryKind.ANSWER) -> list[dict[str, Any]]:
    return [fields for _, (entry_kind, _, fields) in read_entries(folder / "kept") if entry_kind == kind]


def test_trail_has_each_response_as_the_client_got_it(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        responses: dict[str, Any] = {}
        for number in range(12):
            if number == 9:
                rig.servers[0].script = rig.servers[1].script = answers(500)
            answer = rig.request(
                ("GET", "POST")[number % 2], ("/look", "/pay")[number % 2], x_request_id=f"q{number}"
            )
            responses[(answer.header(b"stepsail-receipt") or b"").decode()] = answer
        rig.application.stop()
        rig.application_task.join(3.0)
        answers_recorded = trail_entries(tmp_path)
        assert (
            sorted(responses) == sorted(entry["receipt"] for entry in answers_recorded)
            and len(responses) == 12
        )
        for entry_fields in answers_recorded:
            answer = responses[entry_fields["receipt"]]
            assert (entry_fields["status"], entry_fields["digest"]) == (
                answer.status,
                answer_digest(answer.status, answer.body),
            )
            assert entry_fields["request"].startswith("q")
        assert {entry["verdict"] for entry in answers_recorded} == {"handled", "errored", "denied"}
        assert (
            all(entry["whole"] for entry in trail_entries(tmp_path, EntryKind.SENT))
            and len(trail_entries(tmp_path, EntryKind.SENT)) == 12
        )
        assert trail_entries(tmp_path, EntryKind.RELEASE_STATE)[0]["phase"] == "released"

    Rig(tmp_path, test, [answers(), answers()], TRAIL_SETTINGS)
    assert audit_trail(tmp_path / "kept", read_public_key(tmp_path / "kept")).findings == []


def test_slow_sync_delays_responses_and_not_the_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    real_fdatasync = os.fdatasync

    def slow_fdatasync(fd: int) -> None:
        time.sleep(0.25)
        real_fdatasync(fd)

    def test(rig: Rig) -> None:
        assert rig.request("GET", "/look").status == 200
        monkeypatch.setattr("stepsail.trail.disk.os.fdatasync", slow_fdatasync)
        rounds_before, start = rig.loop.rounds, rig.loop.now()
        assert rig.request("GET", "/look").status == 200
        assert rig.loop.now() - start >= 0.24 and rig.loop.rounds - rounds_before > 5
        with pytest.raises(ConnectionResetError):  # its deadline passes before the response is recorded
            rig.request("POST", "/pay", b"{}", time_left=0.2)
        assert "response_not_recorded" in rig.log.events()

    Rig(tmp_path, test, [answers()], TRAIL_SETTINGS)


@pytest.mark.parametrize("policy", ["deny", "go-on"])
def test_full_disk_follows_the_configured_policy_and_service_recovers(
    tmp_path: Path, policy: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("stepsail.trail.availability.RETRY_INTERVAL", 0.05)
    monkeypatch.setattr("stepsail.trail.availability.RESERVE_RETRY_INTERVAL", 0.05)
    monkeypatch.setattr("stepsail.trail.committer.IDLE_INTERVAL", 0.05)
    disk_is_full = False
    real_write = os.write

    def write_unless_full(fd: int, data: Any) -> int:
        # Only writes to files on the disk fail, not those to the pipe that wakes the loop.
        if disk_is_full and stat.S_ISREG(os.fstat(fd).st_mode):
            raise OSError(errno.ENOSPC, "No space left on device")
        return real_write(fd, data)

    def test(rig: Rig) -> None:
        nonlocal disk_is_full
        monkeypatch.setattr("stepsail.trail.disk.os.write", write_unless_full)
        response_task = rig.loop.spawn(rig.request, "POST", "/pay", b"{}")
        rig.loop.sleep(0.05)
        disk_is_full = True
        # The request was accepted before the disk was full. With `deny`, the client gets no response that
        # cannot be recorded.
        if policy == "deny":
            with pytest.raises(ConnectionResetError):
                response_task.join()
        else:
            assert response_task.join().status == 200
        rig.loop.sleep(0.1)
        answer = rig.request("GET", "/look") if policy == "go-on" else None
        if answer:
            assert answer.status == 200
        else:
            with pytest.raises(ConnectionResetError):
                rig.request("GET", "/look")
            assert rig.requests_seen() == 1  # rejected before the router received it
        disk_is_full = False
        rig.loop.sleep(0.4)
        assert rig.request("GET", "/look").status == 200
        rig.application.stop()
        rig.application_task.join(3.0)
        gap_entries = trail_entries(tmp_path, EntryKind.GAP)
        assert gap_entries and gap_entries[-1]["answers"] == (2 if policy == "go-on" else 0)

    Rig(tmp_path, test, [hangs(0.3)] * 2, f"trail kept {{\n    when-full {policy}\n}}")
    assert audit_trail(tmp_path / "kept", read_public_key(tmp_path / "kept")).findings == []


def test_spent_reserve_rejects_new_requests_with_retry_after(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures_left = [0]
    real_write = os.write

    def write_unless_failing(fd: int, data: Any) -> int:
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(errno.ENOSPC, "No space left on device")
        return real_write(fd, data)

    def test(rig: Rig) -> None:
        monkeypatch.setattr("stepsail.trail.disk.os.write", write_unless_failing)
        failures_left[0] = 1
        assert rig.request("GET", "/look").status == 200  # recorded in the reserve
        answer = rig.request("POST", "/pay", b"{}")
        assert answer.status == 503 and json_body(answer)["stay_away"] == 0.5 and rig.requests_seen() == 1

    Rig(tmp_path, test, [answers()], TRAIL_SETTINGS)


def test_canary_exposure_is_recorded_for_each_window(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        rig.servers[0].build, rig.state = (
            2,
            {"build": 2, "stage": 0, "phase": "trial", "cap": 1.0, "age": 0.1},
        )
        rig.loop.sleep(0.6)
        for _ in range(12):
            rig.request("GET", "/look")
        canary_requests = sum(len(server.seen) for server in rig.servers if server.build == 2)
        rig.loop.sleep(0.6)
        rig.application.stop()
        rig.application_task.join(3.0)
        entries = trail_entries(tmp_path, EntryKind.EXPOSURE)
        assert (
            sum(entry["relays"] for entry in entries) == canary_requests
            and sum(entry["taken"] for entry in entries) == 12
        )
        assert {entry["build"] for entry in entries} == {2}

    Rig(tmp_path, test, [answers(), answers()], TRAIL_SETTINGS, exposure_window="500ms")
