"""Compares datagrams byte for byte with ones written before the identifiers in the code were renamed."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from stepsail.membership.envelope import (
    POLICY_MAGIC,
    GossipDatagram,
    decode_envelope,
    decode_gossip,
    encode_envelope,
    encode_gossip,
)
from stepsail.membership.messages import Message, MessageKind, decode, encode
from stepsail.membership.parameters import DIGEST_BUCKETS
from stepsail.membership.records import MemberRecord, MemberState

EXAMPLES = json.loads((Path(__file__).parent / "before-names" / "datagrams.json").read_text())
CLUSTER_ID = EXAMPLES["cluster"]
RECORDS = [
    MemberRecord(
        instance=number,
        start_time=1_700_000_000_000 + number,
        incarnation=number * 2,
        state=state,
        zone="hall-" + "abcd"[number],
        host=f"127.0.0.{number + 1}",
        port=9300 + number,
    )
    for number, state in enumerate(MemberState)
]


@pytest.mark.parametrize("kind", list(MessageKind))
def test_datagram_equals_the_stored_one(kind: MessageKind) -> None:
    message = Message(
        version=1,
        kind=kind,
        sequence=17 + kind,
        probe_id=23,
        target=2,
        target_address=("127.0.0.3", 9302) if kind is MessageKind.PING_REQUEST else None,
        digests=list(range(DIGEST_BUCKETS)) if kind is MessageKind.DIGESTS else [],
        records=RECORDS,
    )
    stored = bytes.fromhex(EXAMPLES["datagrams"][kind])
    assert encode(CLUSTER_ID, message) == stored
    assert decode(CLUSTER_ID, stored) == message


def test_a_datagram_of_every_kind_and_a_record_of_every_state_is_compared() -> None:
    assert len(EXAMPLES["datagrams"]) == len(MessageKind)
    assert {record.state for record in RECORDS} == set(MemberState)


def test_gossip_envelope_equals_the_stored_one() -> None:
    text = b'{"said": 1}'
    stored = bytes.fromhex(EXAMPLES["gossip"])
    assert encode_gossip(CLUSTER_ID, 3, 1_700_000_000_003, text) == stored
    assert decode_gossip(CLUSTER_ID, stored) == GossipDatagram(3, 1_700_000_000_003, text)


def test_policy_envelope_equals_the_stored_one() -> None:
    body = b"k\0\0\0\x01body"
    stored = bytes.fromhex(EXAMPLES["policy"])
    assert encode_envelope(POLICY_MAGIC, CLUSTER_ID, body) == stored
    assert decode_envelope(CLUSTER_ID, stored, 6) == body
