"""Every figure of a change of policy, with its unit and reason. `docs/design/policy-change.md` derives the bound."""

from __future__ import annotations

HOLD = 4.0  # s that one who has confirmed goes on by the old policy without the outcome: three elections long
PATIENCE = 10.0  # s that a leader waits for all to confirm, unless the change says otherwise
DRIFT = 0.05  # part that clocks may run fast or slow
JUMP = 2.0  # s that a clock may jump back
SLACK = 0.15  # s that a transaction may be under way to the umpire, as for the other rules
ASK = 0.25  # s between an umpire's questions to the keepers, one keeper after the other
PREPARE = 0.25  # s between a leader's words to one who has not confirmed
MOST_ASK = 2.0  # s: to this the pause between questions grows while nobody answers
MOST_TEXT = 8 * 1024  # bytes of a policy's text
MOST_HISTORY = 100  # changes that the order remembers beside the present one


def bound() -> float:
    """Seconds after a decision from which on nobody takes a transaction by an earlier policy."""
    return (1 + DRIFT) * (HOLD + JUMP) + SLACK
