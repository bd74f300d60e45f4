"""KNOWN-RED.txt at the root: tests that fail for a real fault which is not mended yet, each with cause and issue.

One a line, `test id | cause | issue`, three at most. They run, and have to fail: one that passes fails the run, and
so do a line that names no test that was collected, a line out of form and a fourth line. An absent or empty file
excuses nothing. What is excused is printed at the end.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red(text: str) -> dict[str, str]:
    """Test ids with their cause and issue. Raises ValueError."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"KNOWN-RED.txt excuses {len(lines)} tests; {MOST} at most")
    found = {}
    for line in lines:
        test, *why = (part.strip() for part in line.split("|"))
        if len(why) != 2 or not all((test, *why)) or test in found:
            raise ValueError(f"KNOWN-RED.txt: 'test id | cause | issue', each test once, not {line!r}")
        found[test] = f"{why[0]} (issue {why[1]})"
    return found


def _read() -> dict[str, str]:
    try:
        return known_red(FILE.read_text())
    except FileNotFoundError:
        return {}
    except ValueError as trouble:
        raise pytest.UsageError(str(trouble)) from None


def excuse(items: list[pytest.Item], excused: dict[str, str], selected: bool) -> None:
    """Mark what is excused as a strict expected failure. Raises UsageError for a line that names no test here, but
    where only a part of the tests was asked for."""
    left = dict(excused)
    for item in items:
        why = left.pop(item.nodeid, None)
        if why:
            item.add_marker(pytest.mark.xfail(reason=why, strict=True))
    if left and not selected:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(left)}")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    excuse(items, _read(), bool(config.args and config.args != config.getini("testpaths")))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for test, why in _read().items():
        terminalreporter.write_line(f"known red: {test}: {why}")
