"""Captures of past faults, which every later build of the router must replay without a new error.

The build that made a capture must replay it without a difference. A later build may decide differently;
`stepsail replay tests/captures --what-if` shows where.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.msgpack import Ext, encode

from stepsail import decisions
from stepsail.capture.blocks import read_segment
from stepsail.capture.folder import replay_segments
from stepsail.capture.snapshot_upgrade import REFERENCE
from stepsail.capture.state import deserialize
from stepsail.capture.writer import fingerprint

FILES = sorted((Path(__file__).parent.parent / "captures").glob("*.cap"))


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_stored_capture_replays_without_a_new_error(file: Path) -> None:
    segment = read_segment(file)
    assert segment.sealed and segment.count() > 50
    is_same_build = segment.meta["module"] == fingerprint(decisions.Router)
    result = replay_segments([segment], decisions, continue_after_difference=not is_same_build)
    if is_same_build:
        assert result.first_difference is None
    elif result.first_difference:
        assert not result.first_difference.replayed.error or result.first_difference.captured.error


def test_earlier_snapshot_shares_no_default_between_routers() -> None:
    # Snapshots from before the newest outcomes were stored lack `newest`. When its default was a class
    # attribute, all routers restored from such snapshots added their outcomes to the same dict.
    nodes = [
        ["o", "Umpire", ["panel"], [Ext(REFERENCE, bytes([0, 0, 0, 1]))]],
        ["o", "Panel", ["since"], [1.0]],
    ]
    one, other = (deserialize(encode(nodes), decisions, {}) for _ in range(2))
    one.observations.newest[0] = decisions.LatencyHistogram()
    assert not other.observations.newest and not hasattr(decisions.Observations, "newest")
    assert one.observations.evidence_from == other.observations.evidence_from == 1.0
