"""Tests for paths like that of incident 1: sending requests and updating the list must obey the lease."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from platform_rig import PlatformRig
from process_fleet import ProcessFleet
from rig import ScriptedServer, answers

from stepsail.decisions.interface import RejectionReason
from stepsail.decisions.list_lease import CHANGE_IN_FORCE_AFTER, MOVE_IN_FORCE_AFTER, WRITE_DELAY, ListState
from stepsail.http import ConnectionLimits, Request, ServerConnection
from stepsail.http.message import chunk
from stepsail.loop import Stream
from stepsail.qualify.platform_stand_in import STREAM_HEAD


def expire_in(rig: PlatformRig, seconds: float) -> None:
    """Set the last confirmation back so far that the lease expires in `seconds` if no further one arrives."""
    lease = rig.application.discovery.lease
    lease.confirmed_at = rig.loop.now() + seconds - (CHANGE_IN_FORCE_AFTER - WRITE_DELAY)


def wait_for_usable_list(rig: PlatformRig) -> None:
    rig.wait_until(lambda: rig.application.discovery.is_list_usable())


def test_connection_made_after_the_lease_expired_carries_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_usable_list(rig)
        connect, server = Stream.connect, rig.servers[0].listener.address

        def slow_connect(loop: Any, address: Any, *arguments: Any) -> Stream:
            if address == server:
                loop.sleep(0.2)
            return connect(loop, address, *arguments)

        monkeypatch.setattr(Stream, "connect", slow_connect)
        expire_in(rig, 0.1)
        response = rig.send_request()
        assert response.status == 503 and response.header(b"retry-after") and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])


def test_no_retry_after_the_lease_expired(tmp_path: Path) -> None:
    def close_late(
        server: ScriptedServer, stream: Stream, request: Request, connection: ServerConnection
    ) -> bytes | None:
        server.loop.sleep(0.2)
        return None

    def test(rig: PlatformRig) -> None:
        wait_for_usable_list(rig)
        expire_in(rig, 0.1)
        started_at = rig.loop.now()
        assert rig.send_request().status in (502, 503)
        assert sum(len(server.seen) for server in rig.servers) == 1 and rig.loop.now() < started_at + 0.4

    PlatformRig(tmp_path, test, [close_late] * 2)


def test_request_after_the_lease_expired_is_rejected_at_once_with_the_reason_logged(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        wait_for_usable_list(rig)
        expire_in(rig, 0.0)
        started_at = rig.loop.now()
        response = rig.send_request(request_id="late")
        assert (response.status, response.header(b"retry-after")) == (
            503,
            b"0.500",
        ) and rig.loop.now() < started_at + 0.1
        reasons = [fields["reason"] for event, fields in rig.log if event == "request_rejected"]
        assert reasons == [RejectionReason.LIST_EXPIRED.name.lower()]
        states = [fields["state"] for event, fields in rig.log if event == "endpoint_list_state"]
        assert states[-1] == ListState.EXPIRED.name.lower() and not rig.servers[0].seen

    PlatformRig(tmp_path, test, [answers()])


def test_keep_alives_of_a_watch_without_a_list_confirm_nothing(tmp_path: Path) -> None:
    def send_keep_alives(stream: Stream) -> None:
        ServerConnection(stream.loop, stream, ConnectionLimits()).next()
        stream.write(STREAM_HEAD, 1.0)
        while True:
            stream.write(chunk(b"\n"), 1.0)
            stream.loop.sleep(0.5)

    def test(rig: PlatformRig) -> None:
        wait_for_usable_list(rig)
        confirmed_at = rig.application.discovery.lease.confirmed_at
        rig.discovery._serve = send_keep_alives  # type: ignore[method-assign]
        rig.discovery.listener.handle = send_keep_alives
        assert rig.application.discovery.watcher.task
        rig.application.discovery.watcher.task.cancel()
        rig.loop.sleep(0.02)
        rig.application.discovery.watch()
        rig.loop.sleep(2.0)
        assert rig.application.discovery.lease.confirmed_at == confirmed_at
        # The next call requests the complete list.
        rig.wait_until(lambda: rig.application.discovery.receiver.index == 0)

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("incomplete_for", [0.0, 1.0])
def test_list_of_the_former_discovery_expires_after_a_reload(tmp_path: Path, incomplete_for: float) -> None:
    # The old address stays open for a while but sends nothing, and the new address does not response.
    def test(fleet: ProcessFleet) -> None:
        fleet.discovery.is_silent = True
        for instance in fleet.instances:
            instance.move_discovery(incomplete_for)
        changed_at = fleet.discovery.change(fleet.drained, "draining")
        fleet.loop.sleep(MOVE_IN_FORCE_AFTER + 3.0)
        late = fleet.late_arrivals(changed_at + MOVE_IN_FORCE_AFTER)
        assert not late, (late, fleet.logs())

    ProcessFleet(tmp_path, 2, test)


def test_events_unread_while_a_process_was_stopped_confirm_nothing_new(tmp_path: Path) -> None:
    # Discovery sends one more event and then nothing; the process reads this event some seconds later.
    def test(fleet: ProcessFleet) -> None:
        for instance in fleet.instances:
            instance.suspend()
        fleet.loop.sleep(2.2)
        fleet.discovery.is_silent = fleet.discovery.is_overloaded = True
        changed_at = fleet.discovery.change(fleet.drained, "draining")
        fleet.loop.sleep(CHANGE_IN_FORCE_AFTER + 0.7)
        for instance in fleet.instances:
            instance.resume()
        fleet.loop.sleep(3.0)
        late = fleet.late_arrivals(changed_at + CHANGE_IN_FORCE_AFTER)
        assert not late, (late, fleet.logs())

    ProcessFleet(tmp_path, 2, test)
