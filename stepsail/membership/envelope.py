"""Wraps two kinds of datagram on the membership port: gossip about builds, and policy messages.

An envelope consists of a magic number of four bytes that states the kind, a CRC-32 checksum computed with the
cluster's id as its initial value, and the body. Datagrams of the membership protocol itself have no envelope.
They begin with their checksum, which happens to equal a given magic number in one of 2^32 datagrams.
"""

from __future__ import annotations

from typing import NamedTuple
from zlib import crc32

from stepsail.membership.messages import CHECKSUM_BYTES, InvalidMessageError

GOSSIP_MAGIC = b"tell"
POLICY_MAGIC = b"rule"
MAGIC_LENGTH = 4
INSTANCE_BYTES = 4
START_TIME_BYTES = 8


class GossipDatagram(NamedTuple):
    """Holds a received gossip datagram: the instance number and start time of its sender, and its text."""

    instance: int
    start_time: int
    text: bytes


def encode_envelope(magic: bytes, cluster_id: int, body: bytes) -> bytes:
    """Return an envelope that contains `body`; `magic` states the kind of datagram."""
    return magic + crc32(body, cluster_id).to_bytes(CHECKSUM_BYTES, "big") + body


def decode_envelope(cluster_id: int, data: bytes, min_length: int) -> bytes:
    """Return the body of an envelope.

    Raises:
        InvalidMessageError: The checksum is not valid for this cluster, or the body is shorter than
            `min_length`.
    """
    body = data[MAGIC_LENGTH + CHECKSUM_BYTES :]
    checksum = int.from_bytes(data[MAGIC_LENGTH : MAGIC_LENGTH + CHECKSUM_BYTES], "big")
    if len(body) < min_length or crc32(body, cluster_id) != checksum:
        raise InvalidMessageError("the datagram is too short, or its checksum is not valid for this cluster")
    return body


def encode_gossip(cluster_id: int, instance: int, start_time: int, text: bytes) -> bytes:
    """Return an envelope that contains the sender's instance number and start time and the gossip's text."""
    sender = instance.to_bytes(INSTANCE_BYTES, "big") + start_time.to_bytes(START_TIME_BYTES, "big")
    return encode_envelope(GOSSIP_MAGIC, cluster_id, sender + text)


def decode_gossip(cluster_id: int, data: bytes) -> GossipDatagram:
    """Return the sender and the text of a gossip datagram.

    Raises:
        InvalidMessageError: The datagram is truncated or corrupted, or comes from another cluster.
    """
    body = decode_envelope(cluster_id, data, INSTANCE_BYTES + START_TIME_BYTES)
    text_start = INSTANCE_BYTES + START_TIME_BYTES
    return GossipDatagram(
        int.from_bytes(body[:INSTANCE_BYTES], "big"),
        int.from_bytes(body[INSTANCE_BYTES:text_start], "big"),
        body[text_start:],
    )
