"""Tests that the resident memory is read, and that a system that does not tell costs nothing."""

from __future__ import annotations

from pathlib import Path

import pytest

from stepsail.proxy import process_memory


def test_resident_memory_grows_with_what_is_allocated() -> None:
    before = process_memory.resident_bytes()
    data = b"x" * 50_000_000
    assert before > 0 and process_memory.resident_bytes() - before > len(data) // 2


def test_unreadable_memory_counts_as_unknown(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(process_memory, "STATM_FILE", tmp_path / "missing")
    assert process_memory.resident_bytes() == 0
    empty = tmp_path / "empty"
    empty.write_text("")
    monkeypatch.setattr(process_memory, "STATM_FILE", empty)
    assert process_memory.resident_bytes() == 0
