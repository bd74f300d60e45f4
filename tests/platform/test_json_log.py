"""Tests the two rate limits of log lines, and the counters of requests, attempts and connections."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from platform_rig import PlatformRig
from rig import answers

from stepsail.decisions.interface import RejectionReason
from stepsail.platform.json_log import REQUEST_LINES_BURST, JsonLog
from stepsail.proxy.counters import ConnectionClose, Counters


def test_log_lines_about_requests_never_displace_those_about_the_state(
    capfdbinary: pytest.CaptureFixture[bytes],
) -> None:
    now = [0.0]
    log = JsonLog(lambda: now[0])
    for number in range(100):
        log.debug("request_rejected", request=number)
    log.warning("watch_ended")
    now[0] = 1.0
    log.debug("request_rejected", request=100)
    lines = [json.loads(line) for line in capfdbinary.readouterr().err.splitlines()]
    assert [line["event"] for line in lines].count("request_rejected") == REQUEST_LINES_BURST + 1
    assert lines[-2] == {"at": 0.0, "level": "warning", "event": "watch_ended"}
    assert lines[-1]["dropped"] == 100 - REQUEST_LINES_BURST


def test_each_rejection_and_close_is_counted_by_its_reason(tmp_path: Path) -> None:
    def test(rig: PlatformRig) -> None:
        rig.application.listener.state.ready = False
        assert rig.send_request(request_id="early").status == 503
        rig.application.listener.state.ready = True
        assert rig.send_request(request_id="good").status == 200
        assert rig.send_raw(b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400")
        rig.wait_until(lambda: rig.application.host.counters.closes[ConnectionClose.BAD_REQUEST.name.lower()])
        counts = rig.application.host.counters.collect_and_reset()
        assert counts["requests"] == {RejectionReason.NOT_READY.name.lower(): 1}
        assert counts["attempts"] == {"served": 1}
        rejections = [fields for event, fields in rig.log if event == "request_rejected"]
        assert [(line["request"], line["reason"]) for line in rejections] == [("early", "not_ready")]
        assert not rig.application.host.counters.collect_and_reset()

    PlatformRig(tmp_path, test, [answers()])


def test_counters_omit_zeros() -> None:
    counters = Counters()
    assert counters.collect_and_reset() == {}
    counters.closes["finished"] += 2
    assert counters.collect_and_reset() == {"closes": {"finished": 2}} and counters.collect_and_reset() == {}
