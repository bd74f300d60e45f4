"""Tests for endpoint lists and watches: partial data, silence, order, a start and a new discovery address.

The tests force the exact order of events.
"""

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
CHANGE_IN_FORCE_AFTER = 6.0  # s after which a change is in force, even if the watch has not reported it


def encode_indented(message: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(message), indent=2) + b"\n"


def wait_for_list(rig: PlatformRig, index: int) -> None:
    """Wait until the instance has received the list or the change with this index."""
    rig.wait_until(lambda: rig.application.discovery.receiver.index == index)


def test_indented_list_is_parsed_in_chunks_of_any_size(tmp_path: Path) -> None:
    # The stream of a watch was split into lines, but the first line of an indented list is not valid JSON.
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        server = rig.servers[0]
        changes = encode_indented(
            {"index": 3, "snapshot": False, "endpoints": [endpoint_record(server, status="draining")]}
        )
        # Two messages in one chunk.
        changes += encode_indented({"index": 4, "snapshot": False, "endpoints": [endpoint_record(server)]})
        snapshot = encode_indented(
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(server) for server in rig.servers]}
        )
        rig.discovery.messages = [
            changes,
            *(snapshot[start : start + 7] for start in range(0, len(snapshot), 7)),
        ]
        restart_watch(rig)
        wait_for_list(rig, 5)
        assert "watch_ended" not in rig.log.events()[1:] and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()] * 2)


def restart_watch(rig: PlatformRig) -> None:
    """End the open watch and begin another one."""
    assert rig.application.discovery.watcher.task
    rig.application.discovery.watcher.task.cancel()
    rig.loop.sleep(0.02)
    rig.application.discovery.watch()


class ScriptedDiscovery(ScriptedService):
    """A discovery service that serves its nth connection by the nth script, and all further ones by the last.

    `connected_at` holds the times of the connections.
    """

    def __init__(self, rig: PlatformRig, *scripts: Callable[[Stream], None]) -> None:
        self.scripts, self.connected_at = list(scripts), list[float]()
        super().__init__(rig.loop)

    def _serve(self, stream: Stream) -> None:
        request = ServerConnection(self.loop, stream, ConnectionLimits()).next()
        assert request
        self.requests.append(request)
        self.connected_at.append(self.loop.now())
        self.scripts[min(len(self.connected_at), len(self.scripts)) - 1](stream)


def encode_snapshot(rig: PlatformRig, index: int, **overrides: Any) -> bytes:
    """Return a complete list of the servers as a message, with `overrides` in place of their fields."""
    return (
        msgspec.json.encode(
            {
                "index": index,
                "snapshot": True,
                "endpoints": [endpoint_record(server, **overrides) for server in rig.servers],
            }
        )
        + b"\n"
    )


def sends(rig: PlatformRig, *messages: bytes, stays_open: float = 30.0) -> Callable[[Stream], None]:
    """Return a script that sends these messages and then keeps the watch open, in seconds."""

    def script(stream: Stream) -> None:
        stream.write(STREAM_HEAD, 1.0)
        for message in messages:
            stream.write(chunk(message), 1.0)
        rig.loop.sleep(stays_open)

    return script


def sends_byte_by_byte(rig: PlatformRig, message: bytes, interval: float) -> Callable[[Stream], None]:
    """Return a script that sends a message byte by byte, at an interval in seconds."""

    def script(stream: Stream) -> None:
        stream.write(STREAM_HEAD, 1.0)
        for position in range(len(message)):
            stream.write(chunk(message[position : position + 1]), 1.0)
            rig.loop.sleep(interval)

    return script


@pytest.mark.parametrize("kind", ["silent", "byte by byte", "silent before its list"])
def test_time_from_the_last_watch_message_to_a_new_list_is_within_the_lease(
    tmp_path: Path, kind: str
) -> None:
    # After 3 s of silence, the next watch took up to 3 s to begin. Its list arrived only when the changes
    # that the silent watch had missed were already in force.
    def test(rig: PlatformRig) -> None:
        sends_nothing = sends(rig)
        first = {
            "silent": sends(rig, encode_snapshot(rig, 7)),
            "byte by byte": sends_byte_by_byte(rig, encode_snapshot(rig, 7), 0.05),
            "silent before its list": sends_nothing,
        }[kind]
        discovery = ScriptedDiscovery(
            rig, first, sends_nothing, sends(rig, encode_snapshot(rig, 8, status="draining"))
        )
        start = rig.loop.now()
        rig.application.discovery.set_address(discovery.listener.address)
        while rig.application.discovery.receiver.index != 8:
            rig.loop.sleep(0.01)
            assert rig.loop.now() < start + CHANGE_IN_FORCE_AFTER - 0.3, (discovery.connected_at, start)
        assert rig.send_request(time_left_ms=300).status in (502, 503, 504) and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])


def test_complete_list_older_than_a_received_change_is_ignored(tmp_path: Path) -> None:
    # The list is the response to a call that was delayed; a watch has since reported a later drain.
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        discovery, server, waiting = rig.application.discovery, rig.servers[0], list[Stream]()
        slow_discovery = ScriptedDiscovery(rig, waiting.append)
        first_script = slow_discovery.scripts[0]

        def respond_late(stream: Stream) -> None:
            first_script(stream)
            rig.wait_until(lambda: discovery.receiver.index == 9)
            stream.write(encode_response(200, [], encode_snapshot(rig, 4)), 1.0)

        slow_discovery.scripts[0] = respond_late
        discovery.client.address = slow_discovery.listener.address
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


def test_restarted_index_is_distinguished_from_an_old_one(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        rig.discovery.messages = [
            {"index": 900, "snapshot": True, "endpoints": [endpoint_record(server) for server in rig.servers]}
        ]
        restart_watch(rig)
        wait_for_list(rig, 900)
        # A list requested after all others were received has a lower index: discovery has restarted its
        # index.
        rig.discovery.messages = [
            {"index": 1, "snapshot": True, "endpoints": [endpoint_record(rig.servers[0])]},
            {"index": 2, "snapshot": False, "endpoints": []},
        ]
        restart_watch(rig)
        wait_for_list(rig, 2)
        # A change with an index below the known one is impossible: the instance requests the complete list.
        rig.discovery.messages = [{"index": 1, "snapshot": False, "endpoints": []}]
        restart_watch(rig)
        rig.wait_until(lambda: b"index=0" in rig.discovery.requests[-1].target)
        rig.discovery.messages = [
            {"index": 6, "snapshot": True, "endpoints": [endpoint_record(rig.servers[0])]}
        ]
        wait_for_list(rig, 6)
        assert rig.send_request().status == 200 and not rig.servers[1].seen

    PlatformRig(tmp_path, test, [answers()] * 2)


def test_lists_are_polled_one_at_a_time(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        before = len(rig.discovery.requests)
        rig.discovery.messages = []
        for _ in range(50):
            rig.application.discovery.poll()
            rig.loop.yield_turn()
        rig.loop.sleep(0.1)
        assert len(rig.discovery.requests) == before + 1

    PlatformRig(tmp_path, test, [answers()])


def test_pushed_lists_are_watched_again_until_a_watch_succeeds(tmp_path: Path) -> None:
    # After two failed calls no watch was begun, as the decision module requests lists only if lists are
    # polled.
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        rig.discovery.listener.drop()
        stopped_at = rig.loop.now()
        rig.wait_until(lambda: rig.log.events().count("watch_ended") >= 4)
        address = rig.discovery.listener.address
        rig.discovery = ScriptedService.__new__(ScriptedService)
        restart_discovery(rig, address)
        restarted_at = rig.loop.now()
        while rig.application.discovery.receiver.index != 12:
            rig.loop.sleep(0.01)
            assert rig.loop.now() < restarted_at + CHANGE_IN_FORCE_AFTER - 1.0, (stopped_at, rig.log)
        assert rig.send_request(time_left_ms=300).status in (502, 503, 504)

    PlatformRig(tmp_path, test, [answers()], settings=PUSHED)


def restart_discovery(rig: PlatformRig, address: tuple[str, int]) -> None:
    """Serve discovery again at the same address, with a list in which all servers are draining."""
    from stepsail.loop import Listener

    discovery = rig.discovery
    discovery.loop, discovery.requests = rig.loop, []
    discovery.messages = [msgspec.json.decode(encode_snapshot(rig, 12, status="draining"))]
    discovery.vote_response = encode_response(200, [], msgspec.json.encode(RELEASE_STATE))
    discovery.listener = Listener(rig.loop, address, 100)
    rig.loop.spawn(discovery.listener.serve, discovery._serve, "discovery", name="discovery")


@pytest.mark.parametrize("settings", [PUSHED, SETTINGS])
@pytest.mark.parametrize(("list_delay", "ready_after"), [(0.6, 0.6), (9.0, 6.0)])
def test_new_process_is_ready_with_its_first_list_or_after_a_timeout(
    tmp_path: Path, list_delay: float, ready_after: float, settings: dict[str, Any]
) -> None:
    # All changes that the local agent has received are in force from the start of the process, and the list
    # from before the start may be older. Where lists are polled, many new processes used lists from before
    # discovery was down, and made 7 attempts on servers after their drain.
    def test(rig: PlatformRig) -> None:
        def script(stream: Stream) -> None:
            rig.loop.sleep(list_delay)
            sends(rig, encode_snapshot(rig, 7))(stream)

        wait_for_list(rig, 2)
        discovery = ScriptedDiscovery(rig, script)
        rig.application.stop_requested.set()
        rig.task.join(5.0)
        rig.discovery = discovery
        started_at = rig.loop.now()
        rig.start()
        rig.loop.yield_turn()
        while not rig.application.listener.state.ready:
            with socket.create_connection(rig.listen, 1.0) as client:
                client.sendall(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
                rig.loop.sleep(0.05)
                assert rig.application.listener.state.ready or client.recv(100).startswith(b"HTTP/1.1 503")
            # A client that sends a request nevertheless must not be served by a server of the list from
            # before.
            early_response = rig.send_request(request_id="early")
            assert rig.application.listener.state.ready or (
                early_response.status == 503 and early_response.header(b"retry-after")
            )
            assert rig.application.listener.state.ready or not rig.servers[0].seen
        assert ready_after - 0.1 < rig.loop.now() - started_at < ready_after + 0.5

    PlatformRig(tmp_path, test, [answers()], settings=settings)


def test_second_sighup_during_the_reread_of_an_invalid_file_is_not_lost(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        valid_file = (tmp_path / "config.json").read_bytes()
        (tmp_path / "config.json").write_bytes(valid_file[:-20])
        rig.application.reload()
        rig.wait_until(lambda: rig.application.reload_attempts_left == 1)  # one more attempt to read the file
        new_discovery = ScriptedService(
            rig.loop,
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(server) for server in rig.servers]},
        )
        old_discovery, rig.discovery = rig.discovery, new_discovery
        rig.application.reload()
        rig.loop.sleep(0.3)  # the last attempt is over
        rig.write_configuration()
        rig.wait_until(lambda: new_discovery.requests)
        assert old_discovery.listener is not new_discovery.listener and rig.send_request().status == 200

    PlatformRig(tmp_path, test, [answers()])


def test_invalid_file_changes_nothing_and_is_logged(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        (tmp_path / "config.json").write_bytes(b'{"discovery": "127.0.0.1:9"}')
        rig.application.reload()
        rig.wait_until(lambda: rig.application.reload_task and rig.application.reload_task.done)
        assert rig.log.events().count("configuration_invalid") == 10 and rig.send_request().status == 200
        assert rig.application.discovery.address == rig.discovery.listener.address

    PlatformRig(tmp_path, test, [answers()])


def test_new_address_of_discovery_starts_a_watch_if_none_is_open(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        rig.discovery.listener.drop()
        rig.wait_until(
            lambda: [fields["established"] for event, fields in rig.log if event == "watch_ended"][-1:]
            == [False]
        )
        new_discovery = ScriptedService(
            rig.loop,
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(server) for server in rig.servers]},
        )
        rig.application.discovery.set_address(new_discovery.listener.address)
        start = rig.loop.now()
        wait_for_list(rig, 5)
        assert rig.loop.now() - start < 0.5

    PlatformRig(tmp_path, test, [answers()])


def test_exception_in_a_watch_is_logged_and_the_list_polled_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)
        discovery, errors = rig.application.discovery, [1]
        real_receive = discovery.receiver.receive

        def receive(message: Any, lists_received_at_call: int) -> None:
            if errors:
                raise KeyError(errors.pop())
            real_receive(message, lists_received_at_call)

        monkeypatch.setattr(discovery.receiver, "receive", receive)
        rig.discovery.messages = [
            {"index": 5, "snapshot": True, "endpoints": [endpoint_record(server) for server in rig.servers]}
        ]
        restart_watch(rig)
        wait_for_list(rig, 5)
        assert "watch_crashed" in rig.log.events()

    PlatformRig(tmp_path, test, [answers()])


def test_expired_list_is_not_used(
    tmp_path: Path,
) -> None:
    # Discovery is reachable but overloaded: changes are in force 6 s after it received them, whether or not
    # the instance could receive them.
    def test(rig: PlatformRig) -> None:
        wait_for_list(rig, 2)

        def reject_call(stream: Stream) -> None:
            stream.write(encode_response(503, [], b""), 1.0)

        discovery = ScriptedDiscovery(rig, reject_call)
        rig.application.discovery.set_address(discovery.listener.address)
        rig.wait_until(lambda: discovery.connected_at)
        rig.loop.sleep(discovery.connected_at[0] + CHANGE_IN_FORCE_AFTER + 0.6 - rig.loop.now())
        assert rig.send_request(time_left_ms=300).status == 503 and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])
