"""Compares the membership status page with one written before the identifiers in the code were renamed.

Operators' tools read the page's field names and values, so a renaming must not change them.
"""

from __future__ import annotations

import json
from pathlib import Path

from stepsail.proxy.membership_status import membership_status
from stepsail.standins.membership_lab import MembershipLab

STORED = Path(__file__).parent / "before-names"


def test_page_after_a_crash_equals_the_stored_page() -> None:
    lab = MembershipLab(5, 1)
    lab.run(10.0)
    lab.crash(3)
    lab.run(25.0)
    page = {"view": membership_status(lab.processes[1].protocol, 7, lab.now)}
    assert json.dumps(page, indent=1) + "\n" == (STORED / "page.json").read_text()
