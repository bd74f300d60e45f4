"""Tests that a trail of an earlier build verifies, prints as before, can be continued, and keeps its format.

`before-names/` contains a trail that was written before the code was renamed: by two processes, with a change
of key, a retired segment and a torn tail. It also contains the first process's key, and what the command line
of that build printed of the trail.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest
from click.testing import CliRunner

from stepsail.cli.trails import trail as command
from stepsail.trail.audit import audit_trail
from stepsail.trail.availability import Durability, FullPolicy
from stepsail.trail.committer import TrailOptions, TrailWriter
from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import EntryKind, encode
from stepsail.trail.keys import HANDOVER_FILE, KEY_FILE, PUBLIC_FILE, SigningKey
from stepsail.trail.log import TrailLog
from stepsail.trail.reader import read_entries
from stepsail.trail.segments import SegmentCatalog

EARLIER = Path(__file__).parent / "before-names"
FIRST_PUBLIC_KEY = bytes.fromhex((EARLIER / "first-key.pub").read_text().strip())
TORN_TAIL = b"\xa5SB\x01\x01\x00\x00\x00\x40"


@pytest.fixture
def earlier_trail(tmp_path: Path) -> Path:
    """Copy the earlier trail, with a key file that only its owner can read."""
    folder = tmp_path / "trail"
    shutil.copytree(EARLIER / "trail", folder)
    (folder / KEY_FILE).chmod(0o600)
    return folder


def answer(number: int) -> bytes:
    return encode(
        EntryKind.ANSWER,
        1000.0 + number,
        receipt=f"0-before-{number}",
        product="card",
        verdict="handled",
        status=200,
        digest="d",
        relays=[["a:1", "handled"]],
        label=f"key-{number}",
        request=f"q-{number}",
    )


def sent(number: int) -> bytes:
    return encode(EntryKind.SENT, 1000.5 + number, receipt=f"0-before-{number}", whole=True)


def test_earlier_trail_verifies_with_the_first_published_key(earlier_trail: Path) -> None:
    found = audit_trail(earlier_trail, FIRST_PUBLIC_KEY)
    assert found.findings == []
    assert (found.first_seq, found.entries, found.valid_heads, found.signed_to, found.unsigned) == (
        3,
        16,
        5,
        14,
        2,
    )
    assert len(found.notes) == 2


@pytest.mark.parametrize(
    ("arguments", "printed"),
    [
        (["verify", "--public", str(EARLIER / "first-key.pub")], "verify.txt"),
        (["show"], "entries.jsonl"),
        (["heads"], "heads.jsonl"),
        (["export", "--form", "csv"], "answers.csv"),
        (["export", "--form", "jsonl"], "entries.jsonl"),
    ],
)
def test_earlier_trail_is_printed_as_by_its_own_build(
    earlier_trail: Path, arguments: list[str], printed: str
) -> None:
    result = CliRunner().invoke(command, [*arguments, str(earlier_trail)])
    assert result.exit_code == 0
    assert result.output.splitlines() == (EARLIER / printed).read_bytes().decode().splitlines()


def test_earlier_trail_is_appended_to_and_verifies_as_one_chain(earlier_trail: Path) -> None:
    before = {file.name: file.read_bytes() for file in earlier_trail.glob("*.trail")}
    appended: list[bool] = []
    options = TrailOptions(Durability.POWER_LOSS, FullPolicy.REJECT)
    trail = TrailWriter(earlier_trail, 0, options, lambda call: call(), lambda event, **fields: None)
    assert trail.enqueue(EntryKind.ANSWER, appended.append, receipt="0-after-0", verdict="handled")
    trail.close()
    assert appended == [True]
    assert {name: (earlier_trail / name).read_bytes() for name in before} == before
    found = audit_trail(earlier_trail, FIRST_PUBLIC_KEY)
    assert found.findings == [] and found.unsigned == 0
    numbered = list(read_entries(earlier_trail))
    assert [number for number, _ in numbered] == list(range(3, 18))
    assert numbered[-1][1][2] == {"receipt": "0-after-0", "verdict": "handled"}


def test_same_entries_are_written_as_the_same_bytes(tmp_path: Path) -> None:
    """With the keys, clock readings and run ids of the earlier trail, each file is written byte for byte."""
    disk = RealDisk(tmp_path)
    shutil.copy(EARLIER / "first-key", tmp_path / KEY_FILE)
    (tmp_path / KEY_FILE).chmod(0o600)

    log = TrailLog(disk, 0, "before-1", SigningKey.load(tmp_path), tmp_path)
    log.recover()
    log.open_segment(1000.0, [])
    log.append([answer(0), sent(0)], 1001.0)
    log.seal_segment(1002.0)
    log.open_segment(1002.0, [])
    release_state = encode(EntryKind.RELEASE_STATE, 1003.0, build=2, stage=1, phase="trial", cap=0.05)
    log.append([release_state, answer(1)], 1003.0)
    log.sign_head(1003.5)
    log.append(
        [
            encode(EntryKind.VOTE, 1004.0, build=2, stage=1, verdict="on", why="as good"),
            encode(EntryKind.VOTE_ACKNOWLEDGED, 1004.1, build=2, stage=1, receipt="counted"),
            encode(EntryKind.ENDPOINT_STATE, 1004.2, server="a:1", state="draining"),
            encode(EntryKind.EXPOSURE, 1004.3, build=2, relays=3, taken=60, cap=0.05, seconds=60.0),
            encode(EntryKind.GAP, 1004.4, answers=2, why="full", since=1001.5),
        ],
        1004.5,
    )
    (oldest,) = SegmentCatalog(disk, tmp_path).sealed(1).oldest
    log.retire(oldest, "size", 1005.0)
    log.seal_segment(1006.0)

    for name in (KEY_FILE, PUBLIC_FILE, HANDOVER_FILE):
        shutil.copy(EARLIER / "trail" / name, tmp_path / name)
    (tmp_path / KEY_FILE).chmod(0o600)
    log = TrailLog(disk, 0, "before-2", SigningKey.load(tmp_path), tmp_path)
    log.recover()
    log.open_segment(1007.0, [answer(2)])
    log.append([answer(3), sent(3)], 1008.0)
    log.sync()
    log.close_segment()

    written = {file.name: file.read_bytes() for file in tmp_path.glob("*.trail")}
    earlier = {file.name: file.read_bytes() for file in (EARLIER / "trail").glob("*.trail")}
    last = max(earlier)
    assert earlier[last].endswith(TORN_TAIL)
    earlier[last] = earlier[last].removesuffix(TORN_TAIL)
    assert written == earlier
