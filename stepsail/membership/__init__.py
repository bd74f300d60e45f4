"""Implements fleet membership by the SWIM protocol with Lifeguard's extensions. The package does no I/O."""

from stepsail.membership.effective_members import EffectiveMembers
from stepsail.membership.messages import InvalidMessageError
from stepsail.membership.parameters import DetectionBounds, Timing
from stepsail.membership.protocol import MembershipProtocol
from stepsail.membership.records import MemberRecord, MemberState, ProcessId
from stepsail.membership.view import MemberChange, MembershipView, MemberStatus

__all__ = [
    "DetectionBounds",
    "EffectiveMembers",
    "InvalidMessageError",
    "MemberChange",
    "MemberRecord",
    "MemberState",
    "MemberStatus",
    "MembershipProtocol",
    "MembershipView",
    "ProcessId",
    "Timing",
]
