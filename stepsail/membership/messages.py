"""Encodes and decodes the membership protocol's datagrams: versioned msgpack arrays, each after a checksum.

The network may lose, duplicate, delay and reorder datagrams. The order of the fields of `Message` and the
values of `MessageKind` are part of the wire format.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated
from zlib import crc32

import msgspec

from stepsail.membership.parameters import DIGEST_BUCKETS, MAX_DATAGRAM_BYTES
from stepsail.membership.records import Host, InstanceNumber, MemberRecord, PortNumber, UnsignedInt

VERSION = 1
CHECKSUM_BYTES = 4
# Upper bound in bytes of the size of a datagram without its records and digests.
HEADER_BYTES = 70
# Upper bound in bytes of the size of one encoded digest.
DIGEST_BYTES = 5
# Upper bound in bytes of the size of an encoded record without its zone and host.
RECORD_BYTES = 45
MAX_RECORDS = MAX_DATAGRAM_BYTES // 10


class MessageKind(IntEnum):
    """The kinds of message: four for SWIM's probes, and two for the comparison of member tables.

    A helper is a member that is asked to probe another member for the sender (SWIM's ping-req).
    """

    PING = 0
    # ACK answers PING. A helper also sends ACK to the requester when the target has answered the helper.
    ACK = 1
    PING_REQUEST = 2  # asks a helper to probe a target for the sender
    # With NACK, a helper tells the requester that the target has not answered the helper in time (Lifeguard).
    NACK = 3
    DIGESTS = 4  # contains the digests of all buckets of the sender's member table
    RECORDS = 5  # contains the sender's records in the buckets whose digests differ


class InvalidMessageError(Exception):
    """Raised for bytes that are not a valid datagram of this cluster and version."""


Digest = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The content of one datagram.

    Attributes:
        version: Version of the message format.
        kind: The kind of message.
        sequence: Sequence number; the sender raises it by one with each message that it sends.
        probe_id: Number of the probe that the message belongs to, as chosen by the instance that sent the
            PING or PING_REQUEST. In DIGESTS, 0 for a request to compare member tables and 1 for the
            response.
        target: Number of the probed instance. In DIGESTS and RECORDS, the receiver's number. In a PING to a
            seed, whose number the sender does not know, the sender's own number.
        target_address: In PING_REQUEST, the target's address; otherwise None.
        digests: In DIGESTS, one digest for each bucket of the sender's member table; otherwise empty.
        records: The sender's own record first, then records of other members.
    """

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    kind: MessageKind
    sequence: UnsignedInt
    probe_id: UnsignedInt
    target: InstanceNumber
    target_address: tuple[Host, PortNumber] | None
    digests: Annotated[list[Digest], msgspec.Meta(max_length=DIGEST_BUCKETS)]
    records: Annotated[list[MemberRecord], msgspec.Meta(min_length=1, max_length=MAX_RECORDS)]


DECODER = msgspec.msgpack.Decoder(Message)


def encode(cluster_id: int, message: Message) -> bytes:
    """Return a datagram: the encoded message after its CRC-32, whose initial value is the cluster's id."""
    body = msgspec.msgpack.encode(message)
    return crc32(body, cluster_id).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(cluster_id: int, data: bytes) -> Message:
    """Return the message that a datagram contains.

    Raises:
        InvalidMessageError: The datagram is too long, truncated or corrupted, comes from another cluster, is
            of another version, or has a field that is out of bounds.
    """
    body = data[CHECKSUM_BYTES:]
    checksum = int.from_bytes(data[:CHECKSUM_BYTES], "big")
    if len(data) > MAX_DATAGRAM_BYTES or crc32(body, cluster_id) != checksum:
        raise InvalidMessageError("the datagram is too long, or its checksum is not valid for this cluster")
    try:
        message = DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from None
    if len(message.digests) not in (0, DIGEST_BUCKETS):
        raise InvalidMessageError(f"expected {DIGEST_BUCKETS} digests or none, got {len(message.digests)}")
    return message


def record_size(record: MemberRecord) -> int:
    """Return an upper bound of the number of bytes that a record takes in a datagram."""
    return RECORD_BYTES + len(record.zone.encode()) + len(record.host)


def fitting_records(records: Sequence[MemberRecord], max_bytes: int) -> list[MemberRecord]:
    """Return as many of the first records as fit into `max_bytes` together."""
    fitting = []
    remaining = max_bytes
    for record in records:
        remaining -= record_size(record)
        if remaining < 0:
            break
        fitting.append(record)
    return fitting
