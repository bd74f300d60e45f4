"""Tests for steps of the wall clock, and for system calls that fail because of the local machine."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Any

import pytest
from platform_rig import PlatformRig, endpoint_record
from rig import answers

from stepsail.loop import Stream
from stepsail.platform.endpoint_records import MAX_LISTING_DELAY
from stepsail.proxy.upstream_attempt import LOCAL_ERRORS

SLOW_START_DURATION = 0.9  # s, as in the qualification settings
HOUR = 3600.0
INITIAL_UNIX_OFFSET = 1_700_000_000.0  # s by which Unix time is ahead of the loop's clock before a step


def warm_at(rig: PlatformRig, number: int) -> float:
    name = endpoint_record(rig.servers[number])["name"].encode()
    return float(rig.application.host.servers[name].warm_at)  # type: ignore[attr-defined]


def receive_changes(rig: PlatformRig, index: int, *endpoints: dict[str, Any]) -> None:
    """Make the instance receive a list of changed endpoints, as if discovery had sent it."""
    discovery = rig.application.discovery
    discovery.receiver.receive(
        {"index": index, "snapshot": False, "endpoints": list(endpoints)}, discovery.receiver.lists_received
    )


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_wall_clock_step_does_not_move_a_slow_start(tmp_path: Path, step: float) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        first, second = rig.servers
        rig.unix_offset, now = INITIAL_UNIX_OFFSET, rig.loop.now()
        started_at_ms = int((now + INITIAL_UNIX_OFFSET) * 1000.0)
        receive_changes(rig, 3, endpoint_record(first, since_ms=started_at_ms))
        assert warm_at(rig, 0) == pytest.approx(now + SLOW_START_DURATION, abs=0.1)
        rig.unix_offset += step
        # The server is listed again, but it has not started again.
        receive_changes(rig, 4, endpoint_record(first, since_ms=started_at_ms, weight=2.0))
        assert warm_at(rig, 0) == pytest.approx(now + SLOW_START_DURATION, abs=0.1)
        # All machines use the same clock: a start after the step has a timestamp of the stepped clock.
        now = rig.loop.now()
        receive_changes(
            rig, 5, endpoint_record(second, since_ms=int((now + INITIAL_UNIX_OFFSET + step) * 1000.0))
        )
        assert warm_at(rig, 1) == pytest.approx(now + SLOW_START_DURATION, abs=0.1)

    PlatformRig(tmp_path, test, [answers()] * 2)


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_wall_clock_step_between_a_start_and_its_listing_is_bounded(tmp_path: Path, step: float) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        now = rig.loop.now()
        started_at_ms = int((now + INITIAL_UNIX_OFFSET) * 1000.0)
        rig.unix_offset = INITIAL_UNIX_OFFSET + step
        receive_changes(rig, 3, endpoint_record(rig.servers[0], since_ms=started_at_ms))
        assert (
            now + SLOW_START_DURATION - MAX_LISTING_DELAY - 1.0
            < warm_at(rig, 0)
            < now + SLOW_START_DURATION + 0.1
        )

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("error_number", sorted(LOCAL_ERRORS))
def test_connect_that_fails_locally_counts_against_no_server(
    tmp_path: Path, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        connect, connect_fails = Stream.connect, [True]

        def failing_connect(loop: Any, address: Any, *arguments: Any) -> Stream:
            if address == rig.servers[0].listener.address and connect_fails[0]:
                raise OSError(error_number, errno.errorcode[error_number])
            return connect(loop, address, *arguments)

        monkeypatch.setattr(Stream, "connect", failing_connect)
        response = rig.send_request("/record", "POST", "r1", body=b"{}", idempotency_key="k1")
        assert response.status == 503 and response.header(b"retry-after")  # no server has executed it
        connect_fails[0] = False
        assert rig.send_request("/record", "POST", "r2", body=b"{}", idempotency_key="k2").status == 200

    PlatformRig(tmp_path, test, [answers()])


ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
)


@pytest.mark.parametrize("error_number", ACCEPT_ERRORS)
def test_failed_accept_loses_no_connection(
    tmp_path: Path, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        assert rig.application.listener.listener
        port, failures_left = rig.application.listener.listener.port, [3]

        class FailingSocket:
            """The listening socket, whose next calls to `accept` fail."""

            def accept(self) -> Any:
                if failures_left[0]:
                    failures_left[0] -= 1
                    raise OSError(error_number, errno.errorcode[error_number])
                return real_socket.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(real_socket, name)

        real_socket = port.sock  # type: ignore[attr-defined]
        monkeypatch.setattr(port, "sock", FailingSocket())
        assert rig.send_request(time_left_ms=1400).status == 200 and not failures_left[0]
        assert rig.send_request(request_id="b1").status == 200

    PlatformRig(tmp_path, test, [answers()])
