"""Defines the membership protocol's timing and size limits, and the timeouts derived from them.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2, log10
from typing import NamedTuple

# Probes
PROBE_PERIOD = 0.5  # s between two regular probes by an instance
PROBE_TIMEOUT_PERIODS = 0.2  # periods without an ACK after which helpers are asked to probe the target
HELPER_TIMEOUT_FACTOR = 1.5  # probe timeouts without an ACK after which a helper answers NACK
PERIOD_JITTER = 0.1  # largest random change of a period's length, as a share of the period
PROBE_HELPERS = 3  # members asked to probe a target that has not answered (SWIM's k)
# Indirect probes that an instance runs for others at the same time. It rejects further requests; the
# requesters have asked other helpers as well.
MAX_INDIRECT_PROBES = 64
# Lifeguard's bound of the local health score. A higher bound delays failure detection if most members died.
MAX_HEALTH_SCORE = 2
# Failed probes in a row, during which no message at all arrived, after which an instance suspects all others.
ISOLATION_PROBES = 4

# Suspicion
# Shortest suspicion timeout in periods; it is multiplied by log10 of the fleet size where that exceeds 1.
MIN_SUSPICION_PERIODS = 10
MAX_SUSPICION_FACTOR = 3.0  # factor of the shortest timeout for a suspicion without confirmations
MAX_CONFIRMATIONS = 3  # confirmations that reduce a suspicion's timeout to the shortest one (Lifeguard's K)
PROBED_SUSPECTS = 4  # suspects probed per period, in addition to the regular target
# In a large fleet with message loss, more probes fail than broadcasts can report. So a member that did not
# answer a probe is probed once more in each of the next RETRY_FACTOR * log2(fleet size / SMALL_FLEET) periods
# before it is reported as suspect.
RETRY_FACTOR = 2
SMALL_FLEET = 16

# Dissemination
RETRANSMIT_FACTOR = 4  # a broadcast is sent this many times log2 of the fleet size (SWIM's lambda log n)
MAX_DATAGRAM_BYTES = 1200
MAX_MEMBERS = 4096  # other members in the table
ANTI_ENTROPY_PERIODS = 10  # periods between two comparisons of the member table with another member's
DIGEST_BUCKETS = 64
MAX_RECORD_DATAGRAMS = 4  # RECORDS messages that an instance sends per period, to all members together

# Rejoining
DEAD_PROBE_PERIODS = 4  # periods between two probes of dead members, which detect that a partition has healed
SEED_PROBE_PERIODS = 2  # periods between two probes of seeds while no other member is known
DEAD_RETENTION = 3600.0  # s after which a dead member is removed from the table
# Seconds after which a member that left is removed from the table. Until then, delayed messages cannot add
# the member again.
LEFT_RETENTION = 600.0

# The local process
# The process is assumed to have been paused if its timer expires more than this many periods late.
PAUSE_PERIODS = 3.0
SETTLED_PERIODS = 6  # periods without suspects and changes after which the view is settled
# Periods within which a reported later process with this instance's number must answer a probe. Otherwise
# this instance assumes that the later process has ended.
CONFLICT_PERIODS = 6
REPLAY_WINDOW = 64  # latest sequence numbers of each sender among which duplicates are recognized
TOLERATED_PAUSE = 2.0  # s for which a process may be paused without being declared dead


class SuspicionTimeouts(NamedTuple):
    """The seconds from a suspicion until the member is declared dead.

    Attributes:
        minimum: With the maximum number of confirmations.
        maximum: Without confirmations.
    """

    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class Timing:
    """Computes the protocol's timeouts and repetitions for a fleet size; `period` is the probe period (s)."""

    period: float = PROBE_PERIOD

    def suspicion_timeouts(self, fleet_size: int) -> SuspicionTimeouts:
        """Return the shortest and the longest suspicion timeout (s) in a fleet of this size."""
        minimum = MIN_SUSPICION_PERIODS * self.period * max(1.0, log10(max(1, fleet_size)))
        return SuspicionTimeouts(minimum, minimum * MAX_SUSPICION_FACTOR)

    def probe_retries(self, fleet_size: int) -> int:
        """Return in how many periods a member that missed a probe is probed again before it is suspected."""
        return ceil(max(0.0, RETRY_FACTOR * log2(max(1, fleet_size) / SMALL_FLEET)))

    def transmissions(self, fleet_size: int) -> int:
        """Return how many times a broadcast is sent in a fleet of this size."""
        return RETRANSMIT_FACTOR * max(1, ceil(log2(fleet_size + 1)))


@dataclass(frozen=True, slots=True)
class DetectionBounds:
    """The protocol's guarantees in seconds; `docs/design/membership.md` derives them.

    Attributes:
        complete: Longest time from a crash until all live and connected instances know of it.
        stop: Longest pause of a process that causes no member to be declared dead.
        settle: Longest time from the last fault until all connected instances have the same, true view.
    """

    complete: float
    stop: float
    settle: float

    @classmethod
    def of(cls, timing: Timing, fleet_size: int) -> DetectionBounds:
        """Return the bounds for a fleet of this size."""
        suspicion = timing.suspicion_timeouts(fleet_size)
        # Three times the expected number of gossip rounds.
        dissemination = timing.period * 3 * ceil(log2(fleet_size + 1))
        # The probability that no instance probes a given member within 12 periods is e^-12.
        detection = timing.period * (12 + timing.probe_retries(fleet_size))
        return cls(
            detection + suspicion.maximum + dissemination,
            min(TOLERATED_PAUSE, suspicion.minimum / 2),
            detection
            + suspicion.maximum
            + 2 * dissemination
            + timing.period * (DEAD_PROBE_PERIODS * 6 + ANTI_ENTROPY_PERIODS),
        )
