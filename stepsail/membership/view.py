"""Defines the immutable values in which other packages read the membership."""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from stepsail.membership.records import MemberRecord, MemberState
from stepsail.settings.model import Address


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one present member.

    Attributes:
        instance: The member's instance number.
        start_time: When the member's process started, in milliseconds on the member's own clock.
        zone: The member's zone.
        address: The address at which the member receives datagrams.
        state: The member's state, ALIVE or SUSPECT.
        state_since: When the member entered the state, in seconds on the local clock.
    """

    instance: int
    start_time: int
    zone: str
    address: Address
    state: MemberState
    state_since: float

    @classmethod
    def of(cls, record: MemberRecord, state_since: float) -> MemberStatus:
        """Return the status of the member that a record describes."""
        return cls(record.instance, record.start_time, record.zone, record.address, record.state, state_since)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The membership as one instance sees it.

    Attributes:
        version: Number that increases with each change of the view.
        members: Members that are alive or suspect, including this instance, in order of instance number.
        dead: Instance numbers of the members that were declared dead and are still probed.
        settled: Whether no member is suspect and the membership has not changed in the last
            `SETTLED_PERIODS` probe periods.
        minority: Whether the present members are no more than the dead members.
        displaced: Whether a later process has this instance's number. The view is then no longer updated.
    """

    version: int
    members: tuple[MemberStatus, ...]
    dead: tuple[int, ...]
    settled: bool
    minority: bool
    displaced: bool

    @property
    def digest(self) -> int:
        """A checksum of the present processes; views with the same processes have the same digest."""
        return crc32(b"".join(b"%d.%d;" % (member.instance, member.start_time) for member in self.members))


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of one member's state or process, for the log.

    Attributes:
        instance: The member's instance number.
        start_time: When the member's process started, in milliseconds.
        previous_state: The member's state before the change; None if the member was unknown.
        state: The member's state after the change.
        reason: Why the member changed, for readers of the log.
    """

    instance: int
    start_time: int
    previous_state: MemberState | None
    state: MemberState
    reason: str
