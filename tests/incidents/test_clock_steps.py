"""Steps of the wall clock, and system calls that fail for this machine's own reasons."""

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

COLD = 0.9  # s, as the stage's settings have it
HOUR = 3600.0
UNIX = 1_700_000_000.0  # s by which Unix time is ahead of the loop's clock at first


def warm_at(rig: PlatformRig, number: int) -> float:
    name = endpoint_record(rig.servers[number])["name"].encode()
    return float(rig.application.host.servers[name].warm_at)  # type: ignore[attr-defined]


def hear(rig: PlatformRig, index: int, *entries: dict[str, Any]) -> None:
    discovery = rig.application.discovery
    discovery.receiver.receive(
        {"index": index, "snapshot": False, "endpoints": list(entries)}, discovery.receiver.lists_received
    )


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_wall_clock_step_does_not_move_a_slow_start(tmp_path: Path, step: float) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        first, second = rig.servers
        rig.unix_offset, now = UNIX, rig.loop.now()
        started = int((now + UNIX) * 1000.0)
        hear(rig, 3, endpoint_record(first, since_ms=started))
        assert warm_at(rig, 0) == pytest.approx(now + COLD, abs=0.1)
        rig.unix_offset += step
        hear(
            rig, 4, endpoint_record(first, since_ms=started, weight=2.0)
        )  # told of again: it has not started again
        assert warm_at(rig, 0) == pytest.approx(now + COLD, abs=0.1)
        # All machines read one clock: a start after the step is told by the new one.
        now = rig.loop.now()
        hear(rig, 5, endpoint_record(second, since_ms=int((now + UNIX + step) * 1000.0)))
        assert warm_at(rig, 1) == pytest.approx(now + COLD, abs=0.1)

    PlatformRig(tmp_path, test, [answers()] * 2)


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_wall_clock_step_between_a_start_and_its_listing_is_bounded(tmp_path: Path, step: float) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        now = rig.loop.now()
        started = int((now + UNIX) * 1000.0)
        rig.unix_offset = UNIX + step
        hear(rig, 3, endpoint_record(rig.servers[0], since_ms=started))
        assert now + COLD - MAX_LISTING_DELAY - 1.0 < warm_at(rig, 0) < now + COLD + 0.1

    PlatformRig(tmp_path, test, [answers()])


@pytest.mark.parametrize("number", sorted(LOCAL_ERRORS))
def test_connect_that_fails_locally_counts_against_no_server(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        connect, faults = Stream.connect, [True]

        def fails(loop: Any, to: Any, *rest: Any) -> Stream:
            if to == rig.servers[0].listener.address and faults[0]:
                raise OSError(number, errno.errorcode[number])
            return connect(loop, to, *rest)

        monkeypatch.setattr(Stream, "connect", fails)
        refused = rig.send_request("/record", "POST", "r1", body=b"{}", idempotency_key="k1")
        assert refused.status == 503 and refused.header(b"retry-after")  # nothing has run
        faults[0] = False
        assert rig.send_request("/record", "POST", "r2", body=b"{}", idempotency_key="k2").status == 200

    PlatformRig(tmp_path, test, [answers()])


ACCEPT_FAULTS = (
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


@pytest.mark.parametrize("number", ACCEPT_FAULTS)
def test_failed_accept_loses_no_connection(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def test(rig: PlatformRig) -> None:
        rig.wait_until(lambda: rig.application.discovery.is_list_usable())
        assert rig.application.listener.listener
        port, faults = rig.application.listener.listener.port, [3]

        class Failing:
            """The listening socket, whose next calls of accept fail."""

            def accept(self) -> Any:
                if faults[0]:
                    faults[0] -= 1
                    raise OSError(number, errno.errorcode[number])
                return real.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(real, name)

        real = port.sock  # type: ignore[attr-defined]
        monkeypatch.setattr(port, "sock", Failing())
        assert rig.send_request(time_left_ms=1400).status == 200 and not faults[0]
        assert rig.send_request(request_id="b1").status == 200

    PlatformRig(tmp_path, test, [answers()])
