"""Captures of faults by instances on real sockets replay without a difference, also in other processes."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from itertools import combinations
from pathlib import Path

import pytest
from rig import Rig, answers, hangs, hangs_up

from stepsail import decisions
from stepsail.capture.folder import read_runs, replay_segments
from stepsail.http import encode_response
from stepsail.standins.service import ServiceFault

ROOT = Path(__file__).parent.parent.parent
CAPTURE_SETTINGS = "capture kept {\n    segment 64k\n}"


def send_requests(rig: Rig, count: int = 12) -> None:
    """Send requests of several classes concurrently, and wait for them to end."""
    tasks = [
        rig.loop.spawn(_send_request, rig, ("GET", "/look") if n % 3 else ("POST", ("/pay", "/mark")[n % 2]))
        for n in range(count)
    ]
    for task in tasks:
        task.join()


def _send_request(rig: Rig, method_and_path: tuple[str, str]) -> None:
    try:
        rig.request(*method_and_path, time_left=0.5, timeout=1.0)
    except Exception:  # a client of a faulty instance may get no response; only the capture is tested here
        return


def killed_server(rig: Rig) -> None:
    rig.servers[0].listener.drop()


def stalled_server(rig: Rig) -> None:
    rig.servers[1].script = hangs(0.6)


def server_closes_connections(rig: Rig) -> None:
    rig.servers[2].script = hangs_up


def draining_server(rig: Rig) -> None:
    rig.servers[2].state = "draining"


def failing_server(rig: Rig) -> None:
    rig.servers[1].script = answers(500)


def rejecting_server(rig: Rig) -> None:
    rig.servers[0].script = answers(503, b"", ((b"stepsail-not-run", b"1"),))


def blocked_process(rig: Rig) -> None:
    for _ in range(4):
        rig.loop.spawn(_send_request, rig, ("GET", "/look"))
    rig.loop.sleep(0.01)
    time.sleep(0.3)


def bad_build(rig: Rig) -> None:
    rig.state = {"build": 2, "stage": 0, "phase": "trial", "cap": 0.5, "age": 0.1}
    rig.servers[2].build = 2
    rig.servers[2].script = answers(500)
    rig.loop.sleep(0.3)


def failing_release_control(rig: Rig) -> None:
    rig.release_control.fault = ServiceFault.ERRORS


FAULTS: list[Callable[[Rig], None]] = [
    killed_server,
    stalled_server,
    server_closes_connections,
    draining_server,
    failing_server,
    rejecting_server,
    blocked_process,
    bad_build,
    failing_release_control,
]
SINGLES_AND_PAIRS = [(fault,) for fault in FAULTS] + list(combinations(FAULTS, 2))[::3]


@pytest.mark.parametrize(
    "faults", SINGLES_AND_PAIRS, ids=lambda faults: "+".join(fault.__name__ for fault in faults)
)
def test_faults_are_captured_and_replay_without_a_difference(
    tmp_path: Path, faults: tuple[Callable[[Rig], None], ...]
) -> None:
    def test(rig: Rig) -> None:
        send_requests(rig, 6)
        for fault in faults:
            fault(rig)
        rig.loop.sleep(0.1)
        send_requests(rig)
        rig.application.stop()
        rig.application_task.join(3.0)

    answer_at_once: Callable[..., bytes] = lambda *_: encode_response(200, [], b"ok")  # noqa: E731
    Rig(
        tmp_path,
        test,
        [answer_at_once, answer_at_once, answer_at_once],
        CAPTURE_SETTINGS + "\nleave-within 1s",
    )
    captures = read_runs(tmp_path / "kept")
    runs, damaged = captures.runs, captures.damaged
    assert damaged == [] and len(runs) == 1
    (segments,) = runs[0].contiguous_segments()
    result = replay_segments(segments, decisions)
    assert result.first_difference is None
    assert result.event_counts["request_accepted"] >= 18 and result.event_counts["attempt_ended"] >= 10


def test_replay_is_the_same_under_another_hash_seed(tmp_path: Path) -> None:
    def test(rig: Rig) -> None:
        bad_build(rig)
        send_requests(rig, 30)
        rig.application.stop()
        rig.application_task.join(2.0)

    Rig(tmp_path, test, [answers(), answers(), answers()], CAPTURE_SETTINGS)
    for seed in ("0", "1", "4711"):
        process = subprocess.run(
            [sys.executable, "-m", "stepsail", "replay", str(tmp_path / "kept")],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": seed},
        )
        assert process.returncode == 0 and " 0 differ" in process.stdout, process.stdout + process.stderr


def test_capture_cut_short_by_a_kill_replays(tmp_path: Path) -> None:
    """A process that is killed between two writes of a block leaves an open segment with a torn tail."""

    def test(rig: Rig) -> None:
        send_requests(rig, 20)
        rig.loop.sleep(1.2)
        send_requests(rig, 10)
        assert rig.application.capture
        deadline = time.monotonic() + 3
        while rig.application.capture.bytes_written < 2000 and time.monotonic() < deadline:
            rig.loop.sleep(0.01)

    Rig(tmp_path, test, [answers(), answers()], CAPTURE_SETTINGS)
    (file,) = (tmp_path / "kept").glob("*.cap")
    data = file.read_bytes()
    for lost_bytes in (1, 30, 100):
        file.write_bytes(data[:-lost_bytes])
        captures = read_runs(tmp_path / "kept")
        runs, damaged = captures.runs, captures.damaged
        assert damaged == []
        for segments in runs[0].contiguous_segments():
            assert not segments[0].sealed and replay_segments(segments, decisions).first_difference is None
