"""Encodes the messages between participants and coordinators as versioned msgpack arrays.

The network may lose, duplicate, delay and reorder messages. The order of the fields and the values of
`MessageKind` are part of the wire format.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from stepsail.policy.parameters import MAX_TEXT_LENGTH

VERSION = 1
MAX_HOST_LENGTH = 64
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=1 << 60)]


class MessageKind(IntEnum):
    """Kinds of messages, from participants to voters and from voters to participants."""

    # From a participant that is not admitted yet: a request for admission. From an admitted one: a request
    # for the outcome of the proposal `policy_version`.
    STATUS_REQUEST = 0
    ADMITTED = 1  # carries the policy in force
    # The participant has to ask again with a higher incarnation than the one in this message.
    STALE_INCARNATION = 2
    PREPARE = 3
    PREPARED = 4
    REFUSED = 5  # the participant cannot use the policy; `text` is the reason
    COMMITTED = 6
    ABORTED = 7
    LEAVE = 8  # the participant accepts no more requests


class InvalidMessageError(Exception):
    """The bytes are not a message of this format version, or a field is out of bounds."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One message between a participant and a voter.

    Attributes:
        version: Version of the message format.
        kind: Kind of the message.
        instance: Instance number of the participant that sends or receives the message.
        incarnation: Incarnation of that participant's process: its start time in milliseconds, or a higher
            number if an earlier process of the instance had that number. In
            STALE_INCARNATION: the admitted incarnation.
        policy_version: Version of the policy that the message refers to; 0 in a request for admission.
        text: Text of the policy; in REFUSED, the reason of the refusal.
        host: Host of the participant's address.
        port: Port of the participant's address.
        committed_version: In ABORTED: the version of the policy in force, whose text is in `text`.
    """

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: MessageKind
    instance: UnsignedInt
    incarnation: UnsignedInt
    policy_version: UnsignedInt = 0
    text: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)] = ""
    host: Annotated[str, msgspec.Meta(max_length=MAX_HOST_LENGTH)] = ""
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    committed_version: UnsignedInt = 0


DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as the body of a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Parse the body of a datagram.

    Raises:
        InvalidMessageError: The bytes are not a valid message of this format version.
    """
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from None
