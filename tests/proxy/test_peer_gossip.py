"""Gossip between instances: which messages reach the router, and which are dropped."""

from __future__ import annotations

from pathlib import Path
from zlib import crc32

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import Rig, answers

from stepsail.decisions.interface import Verdict
from stepsail.loop import Datagrams
from stepsail.membership import MemberRecord, MemberState
from stepsail.membership.envelope import GOSSIP_MAGIC, decode_gossip, encode_gossip
from stepsail.membership.messages import VERSION, Message, MessageKind, encode
from stepsail.proxy.peer_gossip import OUTCOMES, VERDICT

GOSSIP_SETTINGS = """neighbours 127.0.0.77:{port} {{
    neighbour 0 127.0.0.77:{port}
    neighbour 1 127.0.0.78:9
}}"""
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-5, 1 << 40)
    | st.floats(allow_nan=True)
    | st.binary(max_size=8)
    | st.sampled_from([OUTCOMES, VERDICT, 1])
)
MESSAGES = st.recursive(LEAVES, lambda inner: st.lists(inner, max_size=6), max_leaves=12)


def receive_all(
    tmp_path: Path, messages: list[bytes]
) -> tuple[list[tuple[int, ...]], list[tuple[int, ...]], int]:
    """Send datagrams; return the verdicts and outcomes that the router received, and the number malformed."""
    verdicts: list[tuple[int, ...]] = []
    outcomes: list[tuple[int, ...]] = []
    malformed = [0]

    def test(rig: Rig) -> None:
        rig.application.settings.peer_addresses[1] = ("127.0.0.78", 9)
        router = rig.application.host.router
        router.peer_verdict_received = lambda *args: verdicts.append(tuple(map(int, args)))  # type: ignore[method-assign]
        router.peer_outcome_received = lambda server, *args: outcomes.append(args)  # type: ignore[method-assign]
        sender = Datagrams(rig.loop, ("127.0.0.1", 0))
        assert rig.application.peer_gossip.socket
        for message in messages:
            sender.send(
                message.replace(b"ADDRESS", rig.servers[0].address.encode()),
                rig.application.peer_gossip.socket.address,
            )
            rig.loop.sleep(0.001)
        rig.loop.sleep(0.05)
        assert not rig.application_task.done and rig.request("GET", "/look").status == 200
        malformed[0] = rig.application.peer_gossip.messages_malformed

    Rig(tmp_path, test, [answers()], GOSSIP_SETTINGS.format(port=0), instances=2)
    return verdicts, outcomes, malformed[0]


def encode_message(*parts: object) -> bytes:
    return msgspec.msgpack.encode(parts)


def test_messages_are_handled_once_in_order_and_from_peers_only(tmp_path: Path) -> None:
    verdicts, _, malformed = receive_all(
        tmp_path,
        [
            encode_message(1, VERDICT, 1, 5.0, 2, 0, 3),
            encode_message(1, VERDICT, 1, 5.0, 2, 0, 3),  # repeated
            encode_message(1, VERDICT, 1, 4.0, 2, 0, 1),  # late
            encode_message(2, VERDICT, 1, 9.0, 2, 0, 1),  # of another version
            encode_message(1, VERDICT, 0, 9.0, 2, 0, 1),  # from the instance itself
            encode_message(1, VERDICT, 7, 9.0, 2, 0, 1),  # from an unknown peer
            encode_message(1, VERDICT, 1, 6.0, 2, 1, 1),
            encode_message(1, VERDICT, 1, 7.0, 2, 1, 9),  # no such verdict
            b"\xc1",
            b"",
        ],
    )
    assert verdicts == [(1, 2, 0, 3), (1, 2, 1, 1)] and malformed == 3


def test_messages_of_one_peer_are_rate_limited(tmp_path: Path) -> None:
    verdicts, _, _ = receive_all(
        tmp_path, [encode_message(1, VERDICT, 1, float(n), 2, 0, 1) for n in range(600)]
    )
    assert 200 <= len(verdicts) <= 450


def test_any_datagram_leaves_the_process_running(tmp_path: Path) -> None:
    messages: list[bytes] = []

    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(
        MESSAGES
        | st.tuples(st.just(1), st.sampled_from([OUTCOMES, VERDICT]), st.just(1), st.floats(0, 1e9), MESSAGES)
    )
    def collect(value: object) -> None:
        messages.append(encode_message(*value) if isinstance(value, tuple) else msgspec.msgpack.encode(value))

    collect()
    receive_all(tmp_path, messages)


MEMBERSHIP_SETTINGS = """view 127.0.0.77:{port} {{
    speak yes
    period 100ms
}}"""


def test_messages_over_membership_come_from_a_present_incarnation_only(tmp_path: Path) -> None:
    """Guards against gossip of incarnations that have ended or are unknown. Gossip of a later incarnation is
    accepted from its start, although its clock may have started anew."""
    verdicts: list[tuple[int, ...]] = []

    def test(rig: Rig) -> None:
        cluster_id, router = crc32(b"stepsail"), rig.application.host.router
        router.peer_verdict_received = lambda *args: verdicts.append(tuple(map(int, args)))  # type: ignore[method-assign]
        sender, destination = Datagrams(rig.loop, ("127.0.0.1", 0)), rig.application.membership.socket.address

        def announce_member(start_time: int) -> None:
            record = MemberRecord(1, start_time, 0, MemberState.ALIVE, "here", *sender.address)
            sender.send(
                encode(cluster_id, Message(VERSION, MessageKind.PING, 1, 1, 0, None, [], [record])),
                destination,
            )
            rig.loop.sleep(0.02)

        def send_verdict(
            start_time: int, sent_at: float, stage: int, instance: int = 1, cluster: int = cluster_id
        ) -> None:
            sender.send(
                encode_gossip(
                    cluster, instance, start_time, encode_message(1, VERDICT, 1, sent_at, 2, stage, 3)
                ),
                destination,
            )
            rig.loop.sleep(0.02)

        send_verdict(1000, 1.0, 0)  # the instance is not a member yet
        announce_member(1000)
        send_verdict(1000, 5.0, 1)
        send_verdict(1000, 5.0, 2)  # repeated
        send_verdict(999, 6.0, 3)  # of an earlier incarnation
        send_verdict(1000, 6.0, 4, instance=2)  # under another instance's number
        send_verdict(1000, 6.0, 5, cluster=7)  # of another cluster
        announce_member(2000)
        send_verdict(1000, 7.0, 6)  # that incarnation has ended
        send_verdict(2000, 0.5, 7)
        assert rig.application.membership.dropped == 5
        # The instance sends its own gossip to the address of the member in the view.
        rig.application.peer_gossip.gossip_verdict(2, 0, Verdict.PROMOTE)
        while not (data := sender.receive(1.0)[0]).startswith(GOSSIP_MAGIC):
            pass
        gossip = decode_gossip(cluster_id, data)
        assert gossip.instance == 0 and msgspec.msgpack.decode(gossip.text)[1] == VERDICT

    Rig(tmp_path, test, [answers()], MEMBERSHIP_SETTINGS.format(port=0), instances=3)
    assert [verdict[2] for verdict in verdicts] == [1, 7]
