"""Holds the state that an instance keeps for each other member, including the suspicion timeout."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf, log

from stepsail.membership.parameters import MAX_CONFIRMATIONS, REPLAY_WINDOW, Timing
from stepsail.membership.records import PRESENT_STATES, MemberRecord, ProcessId


@dataclass(slots=True)
class Suspicion:
    """Records when a member was first suspected and which instances have reported the suspicion."""

    started_at: float
    reporters: set[int] = field(default_factory=set)

    def expires_at(self, timing: Timing, fleet_size: int, last_ack: float) -> float:
        """Return the time (s) at which the suspect is declared dead.

        Each report of the suspicion by another instance shortens the timeout (Lifeguard). The timeout
        starts anew with each ACK that the suspect sends to this instance, because the suspect's refutation
        may be lost although its ACKs arrive.
        """
        minimum, maximum = timing.suspicion_timeouts(fleet_size)
        # Neither the first reporter nor the suspect itself can confirm the suspicion.
        max_confirmations = min(MAX_CONFIRMATIONS, fleet_size - 2)
        confirmations = len(self.reporters) - 1
        if max_confirmations < 1:
            timeout = minimum
        else:
            timeout = max(
                minimum, maximum - (maximum - minimum) * log(confirmations + 1) / log(max_confirmations + 1)
            )
        return max(self.started_at, last_ack) + timeout


@dataclass(slots=True)
class Member:
    """The state of one other member. All times are readings of the local clock (s).

    Attributes:
        record: The record of the member with the highest precedence that this instance knows.
        state_since: Local time at which the member entered its current state.
        present_since: Local time since which the member has been alive or suspect without interruption.
        suspicion: The suspicion of the member; None if the member is not suspect.
        last_ack: Local time at which this instance last received an ACK that the member sent for itself.
        highest_sequence: Highest sequence number received from the member's process; -1 if no message
            was received from this process.
        received_bitmap: Bit n is set if the message numbered `highest_sequence` - n was received.
    """

    record: MemberRecord
    state_since: float
    present_since: float
    suspicion: Suspicion | None = None
    last_ack: float = -inf
    highest_sequence: int = -1
    received_bitmap: int = 0

    @property
    def present(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.record.state in PRESENT_STATES

    @property
    def process_id(self) -> ProcessId:
        """The id of the process that the member's record describes."""
        return self.record.process_id

    def accept_sequence(self, sequence: int) -> bool:
        """Add a message's sequence number to the replay window, and return whether to handle the message.

        The result is False for a duplicate or a replay: a message that was received before, or a message
        that is too old for the window to show whether it was received before.
        """
        ahead = sequence - self.highest_sequence
        if ahead > 0:
            if ahead < REPLAY_WINDOW:
                self.received_bitmap = (self.received_bitmap << ahead | 1) & ((1 << REPLAY_WINDOW) - 1)
            else:
                self.received_bitmap = 1
            self.highest_sequence = sequence
            return True
        if -ahead >= REPLAY_WINDOW or self.received_bitmap >> -ahead & 1:
            return False
        self.received_bitmap |= 1 << -ahead
        return True

    def reset_for_new_process(self) -> None:
        """Reset the fields that describe one process only, because the member is now another process.

        The new process numbers its messages from the start, and has not answered any probe yet.
        """
        self.highest_sequence = -1
        self.received_bitmap = 0
        self.last_ack = -inf
