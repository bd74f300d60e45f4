"""Defines the membership protocol's timing and size limits, and the timeouts derived from them.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2, log10
from typing import NamedTuple

# Probes
# Seconds between two regular probes by an instance.
PROBE_PERIOD = 0.5
# Probe periods without an ACK after which an instance asks helpers to probe the target.
PROBE_TIMEOUT_PERIODS = 0.2
# Multiple of the probe timeout after which a helper that has received no ACK from the target answers NACK.
HELPER_TIMEOUT_FACTOR = 1.5
# Largest random change of a probe period's length, as a share of the period.
PERIOD_JITTER = 0.1
# Number of members that are asked to probe a target that has not answered (SWIM's k).
PROBE_HELPERS = 3
# Largest number of indirect probes that an instance runs for others at the same time. The instance rejects
# further requests for probes; the requesters have asked other helpers as well.
MAX_INDIRECT_PROBES = 64
# Lifeguard's upper bound of the local health score. If most members died, a higher bound would delay failure
# detection.
MAX_HEALTH_SCORE = 2
# Number of failed probes in a row, during which no message at all arrived, after which an instance suspects
# all other members.
ISOLATION_PROBES = 4

# Suspicion
# Shortest suspicion timeout in probe periods. The timeout is multiplied by log10 of the fleet size if that
# logarithm exceeds 1.
MIN_SUSPICION_PERIODS = 10
# Ratio of the timeout of a suspicion without confirmations to the shortest suspicion timeout.
MAX_SUSPICION_FACTOR = 3.0
# Number of confirmations that reduce a suspicion's timeout to the shortest timeout (Lifeguard's K).
MAX_CONFIRMATIONS = 3
# Largest number of suspects probed per probe period, in addition to the regular target.
PROBED_SUSPECTS = 4
# In a large fleet with message loss, more probes fail than broadcasts can report. So a member that did not
# answer a probe is probed once more in each of the next RETRY_FACTOR * log2(fleet size / SMALL_FLEET) periods
# before it is reported as suspect.
RETRY_FACTOR = 2
SMALL_FLEET = 16

# Dissemination
# The number of times that a broadcast is sent is this factor times log2 of the fleet size (SWIM's lambda
# log n).
RETRANSMIT_FACTOR = 4
MAX_DATAGRAM_BYTES = 1200
# Largest number of other members in the member table.
MAX_MEMBERS = 4096
# Probe periods between two comparisons of the member table with that of another member.
ANTI_ENTROPY_PERIODS = 10
DIGEST_BUCKETS = 64
# Largest number of RECORDS messages that an instance sends per probe period, to all members together.
MAX_RECORD_DATAGRAMS = 4

# Rejoining
# Probe periods between two probes of dead members. These probes detect that a partition has healed.
DEAD_PROBE_PERIODS = 4
# Probe periods between two probes of seeds while no other member is known.
SEED_PROBE_PERIODS = 2
# Seconds after which a dead member is removed from the member table.
DEAD_RETENTION = 3600.0
# Seconds after which a member that left is removed from the table. Until then, delayed messages cannot add
# the member again.
LEFT_RETENTION = 600.0

# The local process
# The process is assumed to have been paused if its timer expires more than this many probe periods late.
PAUSE_PERIODS = 3.0
# Probe periods without suspects and changes after which the membership view is settled.
SETTLED_PERIODS = 6
# Probe periods within which a reported later process with this instance's number must answer a probe. If it
# does not, this instance assumes that the later process has ended.
CONFLICT_PERIODS = 6
# Number of the latest sequence numbers of each sender among which duplicates are recognized.
REPLAY_WINDOW = 64
# Seconds for which a process may be paused without being declared dead.
TOLERATED_PAUSE = 2.0


class SuspicionTimeouts(NamedTuple):
    """The seconds from the start of a suspicion until the member is declared dead.

    Attributes:
        minimum: Timeout of a suspicion with the maximum number of confirmations.
        maximum: Timeout of a suspicion without confirmations.
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
        """Return the detection bounds for a fleet of this size."""
        suspicion = timing.suspicion_timeouts(fleet_size)
        # A broadcast is given three times the expected number of gossip rounds.
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
