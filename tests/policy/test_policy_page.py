"""The status page has the same fields and values as before the identifiers were renamed."""

from __future__ import annotations

import json
from pathlib import Path

from stepsail.proxy.policy_status import participant_status, voter_status
from stepsail.standins.policy_fleet import PolicyFleet

EXAMPLES_FOLDER = Path(__file__).parent / "before-names"


def test_pages_are_the_same_with_an_aborted_a_committed_and_a_pending_proposal() -> None:
    fleet = PolicyFleet(3, 4, 1)
    fleet.run(6.0)
    refusing = fleet.instances[2].participant
    assert refusing
    refusing.validate = lambda text: "no" if text == "bad" else ""
    fleet.propose_policy("bad")
    fleet.run(2.0)
    fleet.propose_policy("good")
    fleet.run(2.0)
    fleet.instances[3].stopped = True
    fleet.propose_policy("later", 30.0)
    fleet.run(1.0)
    pages = {}
    for number, voter in sorted(fleet.voters.items()):
        participant = fleet.instances[number].participant
        assert participant and voter.replica
        status = participant_status(participant)
        status["keeper"] = voter_status(voter.replica, fleet.coordinators[number])
        pages[number] = {"policy": status}
    assert json.dumps(pages, indent=1) + "\n" == (EXAMPLES_FOLDER / "pages.json").read_text()
