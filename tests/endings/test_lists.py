"""Lists and the watches that bring them: pieces, silence, order, and what a start or a move owes. Forced instants."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from platform_configuration import SETTINGS
from platform_rig import PlatformRig, ScriptedService, endpoint_record
from rig import answers

from stepsail.http import ConnectionLimits, ServerConnection, encode_response
from stepsail.http.message import chunk
from stepsail.loop import Stream
from stepsail.qualify.platform_stand_in import RELEASE_STATE, STREAM_HEAD

PUSHED = SETTINGS | {"RegistryMode": "pushed"}
TOLD = 6.0  # s after which what a silent watch misses counts as told


def indented(said: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(said), indent=2) + b"\n"


def heard(rig: PlatformRig, index: int) -> None:
    rig.wait_until(lambda: rig.application.discovery.receiver.index == index)


def test_indented_list_is_parsed_in_pieces_of_any_size(tmp_path: Path) -> None:
    # A watch was cut into lines, and the first line of an indented list is no JSON.
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        server = rig.servers[0]
        told = indented(
            {"index": 3, "snapshot": False, "endpoints": [endpoint_record(server, status="draining")]}
        )
        told += indented(
            {"index": 4, "snapshot": False, "endpoints": [endpoint_record(server)]}
        )  # two in one piece
        more = indented(
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(b) for b in rig.servers]}
        )
        rig.discovery.messages = [told, *(more[at : at + 7] for at in range(0, len(more), 7))]
        again(rig)
        heard(rig, 5)
        assert "watch_ended" not in rig.log.events()[1:] and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()] * 2)


def again(rig: PlatformRig) -> None:
    """The watch ends, and another one is begun."""
    assert rig.application.discovery.watcher.task
    rig.application.discovery.watcher.task.cancel()
    rig.loop.sleep(0.02)
    rig.application.discovery.watch()


class Fickle(ScriptedService):
    """A discovery that does with its nth connection what the nth script says."""

    def __init__(self, rig: PlatformRig, *scripts: Callable[[Stream], None]) -> None:
        self.scripts, self.at = list(scripts), list[float]()
        super().__init__(rig.loop)

    def _serve(self, stream: Stream) -> None:
        request = ServerConnection(self.loop, stream, ConnectionLimits()).next()
        assert request
        self.requests.append(request)
        self.at.append(self.loop.now())
        self.scripts[min(len(self.at), len(self.scripts)) - 1](stream)


def whole(rig: PlatformRig, index: int, **changed: Any) -> bytes:
    return (
        msgspec.json.encode(
            {
                "index": index,
                "snapshot": True,
                "endpoints": [endpoint_record(b, **changed) for b in rig.servers],
            }
        )
        + b"\n"
    )


def says(rig: PlatformRig, *lines: bytes, then: float = 30.0) -> Callable[[Stream], None]:
    def script(stream: Stream) -> None:
        stream.write(STREAM_HEAD, 1.0)
        for line in lines:
            stream.write(chunk(line), 1.0)
        rig.loop.sleep(then)

    return script


def dribbles(rig: PlatformRig, line: bytes, every: float) -> Callable[[Stream], None]:
    def script(stream: Stream) -> None:
        stream.write(STREAM_HEAD, 1.0)
        for at in range(len(line)):
            stream.write(chunk(line[at : at + 1]), 1.0)
            rig.loop.sleep(every)

    return script


@pytest.mark.parametrize("kind", ["silent", "dribbles", "silent before its list"])
def test_time_from_the_last_watch_message_to_a_new_list_is_within_the_lease(
    tmp_path: Path, kind: str
) -> None:
    # 3 s of silence and up to 3 s for the next watch to begin: its list came when what was missed counted as told.
    def test(rig: PlatformRig) -> None:
        nothing = says(rig)
        first = {
            "silent": says(rig, whole(rig, 7)),
            "dribbles": dribbles(rig, whole(rig, 7), 0.05),
            "silent before its list": nothing,
        }[kind]
        fickle = Fickle(rig, first, nothing, says(rig, whole(rig, 8, status="draining")))
        start = rig.loop.now()
        rig.application.discovery.set_address(fickle.listener.address)
        while rig.application.discovery.receiver.index != 8:
            rig.loop.sleep(0.01)
            assert rig.loop.now() < start + TOLD - 0.3, (fickle.at, start)
        assert rig.send_request(time_left_ms=300).status in (502, 503, 504) and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])


def test_overtaken_whole_list_is_ignored(tmp_path: Path) -> None:
    # The answer to a call that waited, written before the drain that a watch has told of since.
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        discovery, server, waiting = rig.application.discovery, rig.servers[0], list[Stream]()
        slow = Fickle(rig, waiting.append)
        slow_script = slow.scripts[0]

        def late(stream: Stream) -> None:
            slow_script(stream)
            rig.wait_until(lambda: discovery.receiver.index == 9)
            stream.write(encode_response(200, [], whole(rig, 4)), 1.0)

        slow.scripts[0] = late
        discovery.client.address = slow.listener.address
        discovery.poll()
        rig.wait_until(lambda: waiting)
        discovery.receiver.receive(
            {"index": 9, "snapshot": False, "endpoints": [endpoint_record(server, status="draining")]},
            discovery.receiver.lists_received,
        )
        assert discovery.poll_task
        discovery.poll_task.join(3.0)
        assert (
            discovery.receiver.index == 9
            and rig.send_request(time_left_ms=300).status in (502, 503, 504)
            and not server.seen
        )

    PlatformRig(tmp_path, test, [answers()])


def test_restarted_index_is_told_from_an_old_one(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        rig.discovery.messages = [
            {"index": 900, "snapshot": True, "endpoints": [endpoint_record(b) for b in rig.servers]}
        ]
        again(rig)
        heard(rig, 900)
        # Called for after all else was heard, and older: discovery counts anew.
        rig.discovery.messages = [
            {"index": 1, "snapshot": True, "endpoints": [endpoint_record(rig.servers[0])]},
            {"index": 2, "snapshot": False, "endpoints": []},
        ]
        again(rig)
        heard(rig, 2)
        # Changes of before what is known cannot be: the whole list is called for.
        rig.discovery.messages = [{"index": 1, "snapshot": False, "endpoints": []}]
        again(rig)
        rig.wait_until(lambda: b"index=0" in rig.discovery.requests[-1].target)
        rig.discovery.messages = [
            {"index": 6, "snapshot": True, "endpoints": [endpoint_record(rig.servers[0])]}
        ]
        heard(rig, 6)
        assert rig.send_request().status == 200 and not rig.servers[1].seen

    PlatformRig(tmp_path, test, [answers()] * 2)


def test_lists_are_polled_one_at_a_time(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        before = len(rig.discovery.requests)
        rig.discovery.messages = []
        for _ in range(50):
            rig.application.discovery.poll()
            rig.loop.yield_turn()
        rig.loop.sleep(0.1)
        assert len(rig.discovery.requests) == before + 1

    PlatformRig(tmp_path, test, [answers()])


def test_pushed_lists_are_watched_again_until_a_watch_succeeds(tmp_path: Path) -> None:
    # After two failed calls nobody began one: the module asks where lists are asked for, and there alone.
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        rig.discovery.listener.drop()
        down = rig.loop.now()
        rig.wait_until(lambda: rig.log.events().count("watch_ended") >= 4)
        at = rig.discovery.listener.address
        rig.discovery = ScriptedService.__new__(ScriptedService)
        back(rig, at)
        returned = rig.loop.now()
        while rig.application.discovery.receiver.index != 12:
            rig.loop.sleep(0.01)
            assert rig.loop.now() < returned + TOLD - 1.0, (down, rig.log)
        assert rig.send_request(time_left_ms=300).status in (502, 503, 504)

    PlatformRig(tmp_path, test, [answers()], settings=PUSHED)


def back(rig: PlatformRig, at: tuple[str, int]) -> None:
    """Discovery is there again, at the same address."""
    from stepsail.loop import Listener

    teller = rig.discovery
    teller.loop, teller.requests = rig.loop, []
    teller.messages = [msgspec.json.decode(whole(rig, 12, status="draining"))]
    teller.vote_response = encode_response(200, [], msgspec.json.encode(RELEASE_STATE))
    teller.listener = Listener(rig.loop, at, 100)
    rig.loop.spawn(teller.listener.serve, teller._serve, "teller", name="teller")


@pytest.mark.parametrize("settings", [PUSHED, SETTINGS])
@pytest.mark.parametrize(("late", "ready"), [(0.6, 0.6), (9.0, 6.0)])
def test_new_process_is_ready_with_its_first_list_or_after_a_timeout(
    tmp_path: Path, late: float, ready: float, settings: dict[str, Any]
) -> None:
    # What the agent has counts as told from the first moment, and the list of before the start may be older. Where it
    # is asked for, a herd of new processes went by lists of before discovery was down, 7 attempts after their drain.
    def test(rig: PlatformRig) -> None:
        def script(stream: Stream) -> None:
            rig.loop.sleep(late)
            says(rig, whole(rig, 7))(stream)

        heard(rig, 2)
        fickle = Fickle(rig, script)
        rig.application.stop_requested.set()
        rig.task.join(5.0)
        rig.discovery = fickle
        began = rig.loop.now()
        rig.start()
        rig.loop.yield_turn()
        while not rig.application.listener.state.ready:
            with socket.create_connection(rig.listen, 1.0) as client:
                client.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
                rig.loop.sleep(0.05)
                assert rig.application.listener.state.ready or client.recv(100).startswith(b"HTTP/1.1 503")
            # Nor does a client that comes all the same have a server told by the list of before.
            early = rig.send_request(request_id="early")
            assert rig.application.listener.state.ready or (
                early.status == 503 and early.header(b"retry-after")
            )
            assert rig.application.listener.state.ready or not rig.servers[0].seen
        assert ready - 0.1 < rig.loop.now() - began < ready + 0.5

    PlatformRig(tmp_path, test, [answers()], settings=settings)


def test_second_sighup_during_the_reread_of_a_bad_file_is_not_lost(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        good = (tmp_path / "config.json").read_bytes()
        (tmp_path / "config.json").write_bytes(good[:-20])
        rig.application.reload()
        rig.wait_until(lambda: rig.application.reload_attempts_left == 1)  # one look is left
        new = ScriptedService(
            rig.loop, {"index": 5, "snapshot": True, "endpoints": [endpoint_record(b) for b in rig.servers]}
        )
        old, rig.discovery = rig.discovery, new
        rig.application.reload()
        rig.loop.sleep(0.3)  # the look that was left is over
        rig.write_configuration()
        rig.wait_until(lambda: new.requests)
        assert old.listener is not new.listener and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()])


def test_bad_file_changes_nothing_and_is_logged(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        (tmp_path / "config.json").write_bytes(b'{"discovery": "127.0.0.1:9"}')
        rig.application.reload()
        rig.wait_until(lambda: rig.application.reload_task and rig.application.reload_task.done)
        assert rig.log.events().count("configuration_invalid") == 10 and rig.send_request().status == 200
        assert rig.application.discovery.address == rig.discovery.listener.address

    PlatformRig(tmp_path, test, [answers()])


def test_moved_discovery_starts_a_watch_where_there_is_none(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        rig.discovery.listener.drop()
        rig.wait_until(lambda: [f["established"] for e, f in rig.log if e == "watch_ended"][-1:] == [False])
        new = ScriptedService(
            rig.loop, {"index": 5, "snapshot": True, "endpoints": [endpoint_record(b) for b in rig.servers]}
        )
        rig.application.discovery.set_address(new.listener.address)
        start = rig.loop.now()
        heard(rig, 5)
        assert rig.loop.now() - start < 0.5

    PlatformRig(tmp_path, test, [answers()])


def test_fault_in_a_watch_is_logged_and_the_list_polled_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)
        discovery, faults = rig.application.discovery, [1]
        real = discovery.receiver.receive

        def receive(message: Any, lists_received_at_call: int) -> None:
            if faults:
                raise KeyError(faults.pop())
            real(message, lists_received_at_call)

        monkeypatch.setattr(discovery.receiver, "receive", receive)
        rig.discovery.messages = [
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(b) for b in rig.servers]}
        ]
        again(rig)
        heard(rig, 5)
        assert "watch_crashed" in rig.log.events()

    PlatformRig(tmp_path, test, [answers()])


def test_expired_list_is_not_used(
    tmp_path: Path,
) -> None:
    # Discovery is there and has no time: what it had counts as told 6 s later, whether it could be heard or not.
    def test(rig: PlatformRig) -> None:
        heard(rig, 2)

        def busy(stream: Stream) -> None:
            stream.write(encode_response(503, [], b""), 1.0)

        fickle = Fickle(rig, busy)
        rig.application.discovery.set_address(fickle.listener.address)
        rig.wait_until(lambda: fickle.at)
        rig.loop.sleep(fickle.at[0] + TOLD + 0.6 - rig.loop.now())
        assert rig.send_request(time_left_ms=300).status == 503 and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])
