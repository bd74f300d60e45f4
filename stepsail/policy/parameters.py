"""Timing and size limits of policy changes; `docs/design/policy-change.md` derives `max_staleness`."""

from __future__ import annotations

# Seconds for which a prepared participant uses the old policy without knowing the outcome of the proposal.
PREPARED_TIMEOUT = 4.0
# Seconds after which a proposal is aborted if not all members have prepared it.
DEFAULT_PROPOSAL_TIMEOUT = 10.0
MAX_CLOCK_DRIFT = 0.05  # largest relative error of the speed of an instance's clock, fast or slow
MAX_CLOCK_STEP_BACK = 2.0  # largest number of seconds by which an instance's clock may be set back
REQUEST_TRANSIT_TIME = 0.15  # seconds that a client's request may take to reach an instance
# Seconds between PREPARE messages to a member that has not prepared the proposal.
PREPARE_INTERVAL = 0.25
MIN_RETRY_INTERVAL = 0.25  # seconds between a participant's first status requests
MAX_RETRY_INTERVAL = 2.0  # seconds to which the interval between status requests grows
# Factor by which the interval between status requests grows after each request.
RETRY_BACKOFF = 1.25
# Maximum length of a policy's text: in bytes when it is proposed, in characters when a message is parsed.
MAX_TEXT_LENGTH = 8 * 1024
MAX_FINISHED_PROPOSALS = 100  # finished proposals whose outcomes are kept in the state


def max_staleness() -> float:
    """Return for how many seconds after a commit an instance may accept requests under an earlier policy."""
    return (1 + MAX_CLOCK_DRIFT) * (PREPARED_TIMEOUT + MAX_CLOCK_STEP_BACK) + REQUEST_TRANSIT_TIME
