"""Policy changes as a two-phase commit over a replicated log.

Either all instances apply a change or none does. The package does no I/O.
"""

from stepsail.policy.coordinator import PolicyCoordinator
from stepsail.policy.messages import InvalidMessageError, Message, decode, encode
from stepsail.policy.participant import PolicyParticipant
from stepsail.policy.state_machine import PolicyStateMachine

__all__ = [
    "InvalidMessageError",
    "Message",
    "PolicyCoordinator",
    "PolicyParticipant",
    "PolicyStateMachine",
    "decode",
    "encode",
]
