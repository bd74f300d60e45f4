"""Tests `stepsail fleet` with real processes: start, polling, rolling restart and stop."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from stepsail.fleet.plan import read_plan
from stepsail.loop import Loop, PollDriver
from stepsail.settings import InvalidSettings
from stepsail.standins.instances import free_address
from stepsail.standins.service import Service

COMMON_SETTINGS = """
product look {
    route GET /look
    repeats redoable
    target 400ms
    abandon 1500ms
}
release {
    stage 100% cap 1
}
"""


def write_fleet_file(
    folder: Path, release_control: str = "127.0.0.1:9", discovery: str = "127.0.0.1:9", **overrides: str
) -> Path:
    host = free_address()[0]
    lines = {
        "umpires": "3",
        "zones": "here there",
        "common": "site.conf",
        "listen": f"{host}:21000",
        "view": f"{host}:22000 period 200ms",
        "conveyor": release_control,
        "roster": f"{discovery} pushed",
        "control": f"{host}:23000",
        "roll-part": "34%",
    } | {k.replace("_", "-"): v for k, v in overrides.items()}
    (folder / "site.conf").write_text(COMMON_SETTINGS)
    file = folder / "fleet.conf"
    file.write_text("".join(f"{name} {value}\n" for name, value in lines.items() if value))
    return file


class CommandLine:
    """Runs `stepsail fleet` in processes, while the stand-ins run on the event loop of this process."""

    def __init__(self, loop: Loop, file: Path) -> None:
        self.loop, self.file = loop, file

    def start_command(self, command: str, *options: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "stepsail", "fleet", command, str(self.file), *options],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, command: str, *options: str) -> tuple[int, str]:
        process = self.start_command(command, *options)
        while process.poll() is None:
            self.loop.sleep(0.02)
        out, error = process.communicate()
        return process.returncode, out or error

    def status(self) -> dict[str, Any]:
        status: dict[str, Any] = json.loads(self.run("status", "--json")[1])
        return status

    def wait_until(self, condition: Any, seconds: float = 30.0) -> dict[str, Any]:
        end = self.loop.now() + seconds
        while True:
            code, text = self.run("status", "--json")
            if code in (0, 1) and condition(status := json.loads(text)):
                return status  # type: ignore[no-any-return]
            assert self.loop.now() < end, text
            self.loop.sleep(0.1)


def all_ready(status: dict[str, Any]) -> bool:
    return (
        all(row["state"] == "ready" and row["present"] == 3 for row in status["umpires"])
        and status["views"] == 1
    )


def test_fleet_starts_recovers_a_killed_instance_restarts_and_stops(tmp_path: Path) -> None:
    driver = PollDriver()
    loop = Loop(driver, lambda event, **fields: None)

    def release_response(path: str, query: dict[str, str], body: Any, stream: Any) -> Any:
        loop.sleep(0.2 if int(query.get("after", 0)) else 0.0)
        return {"seq": 1, "state": {"build": 1, "stage": 0, "phase": "released", "cap": 1.0, "age": 100.0}}

    def endpoint_response(path: str, query: dict[str, str], body: Any, stream: Any) -> Any:
        loop.sleep(0.2 if int(query.get("after", 0)) else 0.0)
        return {
            "seq": int(query.get("after", 0)) + 1,
            "whole": True,
            "servers": [
                {"address": "127.0.0.1:9", "zone": "here", "build": 1, "state": "ready", "start": "first"}
            ],
        }

    def main() -> None:
        release_control, discovery = (
            Service(loop, "conveyor", release_response),
            Service(loop, "roster", endpoint_response),
        )
        command_line = CommandLine(
            loop,
            write_fleet_file(
                tmp_path, "{}:{}".format(*release_control.address), "{}:{}".format(*discovery.address)
            ),
        )
        fleet = command_line.start_command("run")
        try:
            first = command_line.wait_until(all_ready)
            pids = [row["pid"] for row in first["umpires"]]
            os.kill(pids[1], signal.SIGKILL)
            recovered = command_line.wait_until(
                lambda status: all_ready(status) and status["umpires"][1]["starts"] == 2
            )
            assert recovered["umpires"][1]["last_code"] == -9 and recovered["umpires"][0]["pid"] == pids[0]
            assert command_line.run("restart", "--rolling", "--wait")[0] == 0
            restarted = command_line.wait_until(all_ready)
            assert [row["starts"] for row in restarted["umpires"]] == [2, 3, 2]
            assert all(row["last_code"] == 0 for row in restarted["umpires"])
            assert "ready" in command_line.run("status")[1]
            assert command_line.run("stop", "--wait")[0] == 0
            while fleet.poll() is None:
                loop.sleep(0.05)
            assert fleet.returncode == 0
            for row in restarted["umpires"]:
                with pytest.raises(ProcessLookupError):
                    os.kill(row["pid"], 0)
            assert command_line.run("status")[0] == 4
        finally:
            fleet.kill()
            fleet.communicate()

    try:
        loop.run(main)
    finally:
        driver.shutdown()


@pytest.mark.parametrize(
    ("overrides", "message"),
    [
        ({"common": "missing.conf"}, "the file missing.conf does not exist"),
        ({"listen": "127.0.0.1:65534"}, "3 instances need ports up to 65536"),
        ({"control": "10.0.0.1:80"}, "expected a loopback address"),
        (
            {"listen": "127.0.0.1:500", "control": "127.0.0.1:501"},
            "one of the ports on which the instances listen",
        ),
        ({"view": "127.0.0.1:500", "neighbours": "127.0.0.1:502"}, "overlap those of 'view'"),
        (
            {"view": "127.0.0.1:500", "neighbours": "127.0.0.1:602", "speak": "yes"},
            "needs 'view', and cannot be combined with 'neighbours'",
        ),
        ({"umpires": ""}, "umpires"),
    ],
)
def test_error_in_fleet_file_is_reported_with_its_location(
    tmp_path: Path, overrides: dict[str, str], message: str
) -> None:
    with pytest.raises(InvalidSettings) as raised:
        read_plan(write_fleet_file(tmp_path, **overrides))
    assert message in str(raised.value) and "fleet.conf:" in str(raised.value)
