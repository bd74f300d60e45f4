"""Defines member records and the order of precedence between two records of the same member."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

from stepsail.settings.model import MAX_ZONE_NAME_LENGTH, Address

MAX_IPV4_LENGTH = 15
IPV4_BYTE = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
InstanceNumber = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=1 << 50)]
Zone = Annotated[str, msgspec.Meta(max_length=MAX_ZONE_NAME_LENGTH)]
Host = Annotated[str, msgspec.Meta(max_length=MAX_IPV4_LENGTH, pattern=rf"^{IPV4_BYTE}(\.{IPV4_BYTE}){{3}}$")]
PortNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class MemberState(IntEnum):
    """The state that a record gives a member.

    Of two records with the same start time and incarnation, the record with the higher state takes
    precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


# A member in one of these states counts as present in the fleet.
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """Identifies one process of an instance by the instance's number and the process's start time (ms)."""

    instance: int
    start_time: int


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Describes one process of an instance, in the form that messages carry.

    The order of the fields is part of the wire format.

    Attributes:
        instance: The instance's number.
        start_time: When the process started (ms); higher for each later process of the same instance.
        incarnation: SWIM's incarnation number. Only the process itself raises it, to refute records in which
            other members call it suspect or dead.
        state: The member's state according to this record.
        zone: The instance's zone.
        host: IPv4 address at which the instance receives datagrams.
        port: UDP port at which the instance receives datagrams.
    """

    instance: InstanceNumber
    start_time: UnsignedInt
    incarnation: UnsignedInt
    state: MemberState
    zone: Zone
    host: Host
    port: PortNumber

    @property
    def address(self) -> Address:
        """The address at which the instance receives datagrams."""
        return self.host, self.port

    @property
    def process_id(self) -> ProcessId:
        """The id of the process that the record describes."""
        return ProcessId(self.instance, self.start_time)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The key that orders the records of one instance; the record with the highest key takes precedence.

        The start time is compared first, so that a record of an earlier process cannot replace a record of
        a later process. The incarnation and the state follow, as in SWIM. Unlike in SWIM, DEAD is not final:
        members that were declared dead because of a network partition or a process pause must be able to
        return.
        """
        return self.start_time, self.incarnation, self.state

    def with_state(self, state: MemberState) -> MemberRecord:
        """Return a copy of this record with another state."""
        return msgspec.structs.replace(self, state=state)
