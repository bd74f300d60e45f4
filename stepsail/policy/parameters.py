"""Timing and size limits of policy changes; `docs/design/policy-change.md` derives `max_staleness`."""

from __future__ import annotations

# Seconds for which a prepared participant uses the old policy without knowing the outcome of the proposal.
PREPARED_TIMEOUT = 4.0
DEFAULT_PROPOSAL_TIMEOUT = 10.0  # s until a proposal that not all members have prepared is aborted
MAX_CLOCK_DRIFT = 0.05  # relative error of the speed of an instance's clock, fast or slow
MAX_CLOCK_STEP_BACK = 2.0  # s by which an instance's clock may be set back
REQUEST_TRANSIT_TIME = 0.15  # s that a client's request may take to reach an instance
PREPARE_INTERVAL = 0.25  # s between PREPARE messages to a member that has not prepared
MIN_RETRY_INTERVAL = 0.25  # s between a participant's status requests
MAX_RETRY_INTERVAL = 2.0  # s, to which the interval grows
RETRY_BACKOFF = 1.25  # factor between successive intervals
# Maximum length of a policy's text: in bytes when it is proposed, in characters when a message is parsed.
MAX_TEXT_LENGTH = 8 * 1024
MAX_FINISHED_PROPOSALS = 100  # finished proposals whose outcomes are kept in the state


def max_staleness() -> float:
    """Return how long after a commit (s) an instance may still accept requests under an earlier policy."""
    return (1 + MAX_CLOCK_DRIFT) * (PREPARED_TIMEOUT + MAX_CLOCK_STEP_BACK) + REQUEST_TRANSIT_TIME
