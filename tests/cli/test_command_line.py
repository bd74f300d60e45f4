"""Earlier names of commands and options, the commands in the help, and exit codes."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from stepsail.cli.exit_codes import ExitCode
from stepsail.cli.main import main
from stepsail.experiment.table import read_rows
from stepsail.standins.instances import free_address

DAYS = Path(__file__).parent.parent.parent / "days"
SHORT_DAY = """
site {site}
length 2s
umpires 1
boxes {{
    count 3
}}
demand lookup share 100% work 20ms
traffic 20
"""

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
FLEET_FILE = """
umpires 2
zones here there
common site.conf
listen 127.0.0.1:21000
conveyor 127.0.0.1:9
roster 127.0.0.1:9 pushed
control {control}
roll-part 50%
"""


def run(*arguments: object) -> Result:
    return CliRunner(mix_stderr=False).invoke(main, [str(argument) for argument in arguments])


@pytest.fixture
def short_day(tmp_path: Path) -> Path:
    file = tmp_path / "short.conf"
    file.write_text(SHORT_DAY.format(site=DAYS / "bad-day/site.conf"))
    return file


@pytest.fixture
def invalid_settings(tmp_path: Path) -> Path:
    file = tmp_path / "invalid.conf"
    file.write_text("shape 2\n")
    return file


def test_help_lists_serve_and_hides_its_earlier_name() -> None:
    names = [line.split()[0] for line in run("--help").stdout.split("Commands:")[1].splitlines() if line]
    assert "serve" in names and "umpire" not in names
    assert run("umpire", "--help").stdout.splitlines()[1:] == run("serve", "--help").stdout.splitlines()[1:]


def test_umpire_does_the_same_as_serve(invalid_settings: Path) -> None:
    served = run("serve", invalid_settings)
    by_earlier_name = run("umpire", invalid_settings)
    assert served.exit_code == by_earlier_name.exit_code == ExitCode.USAGE
    assert "invalid.conf:1:1: missing" in served.stderr
    assert by_earlier_name.stderr == served.stderr


def test_rehearse_simulates_with_either_option_and_hides_the_earlier_one(
    short_day: Path, tmp_path: Path
) -> None:
    transcripts = []
    for option in ("--simulated", "--emulated"):
        folder = tmp_path / option.strip("-")
        assert run("rehearse", short_day, option, "--out", folder).exit_code == ExitCode.OK
        transcripts.append((folder / "transcript.jsonl").read_bytes())
    assert transcripts[0] == transcripts[1] and transcripts[0].count(b"\n") > 50
    assert "--simulated" in run("rehearse", "--help").stdout
    assert "--emulated" not in run("rehearse", "--help").stdout


def test_experiment_takes_the_number_of_instances_from_either_option(short_day: Path, tmp_path: Path) -> None:
    for option in ("--instances", "--umpires"):
        folder = tmp_path / option.strip("-")
        result = run("experiment", "run", folder, short_day, "--seeds", "1", option, "2", "--workers", "1")
        assert result.exit_code == ExitCode.OK, result.stderr
        assert read_rows(folder)["umpires"].to_list() == [2]


def test_invalid_settings_exit_with_findings_from_check_and_usage_from_other_commands(
    invalid_settings: Path,
) -> None:
    checked = run("check", invalid_settings)
    assert checked.exit_code == ExitCode.FINDINGS and "invalid.conf:1:1: missing" in checked.stderr
    for command in ("serve", "rehearse"):
        assert run(command, invalid_settings).exit_code == ExitCode.USAGE


def test_missing_transcript_exits_with_usage(tmp_path: Path) -> None:
    verified = run("verify", tmp_path)
    assert verified.exit_code == ExitCode.USAGE and "transcript.jsonl" in verified.stderr


def test_unreachable_fleet_exits_with_failed(tmp_path: Path) -> None:
    plan = tmp_path / "fleet.conf"
    control = "{}:{}".format(*free_address())
    plan.write_text(FLEET_FILE.format(control=control))
    (tmp_path / "site.conf").write_text(COMMON_SETTINGS)
    for arguments in (("status",), ("restart", "--rolling"), ("stop",)):
        result = run("fleet", *arguments, plan)
        assert result.exit_code == ExitCode.FAILED
        assert result.stderr.startswith(f"no fleet answers at {control}: ")


def test_exit_codes_keep_their_values() -> None:
    assert {code.name: code.value for code in ExitCode} == {
        "OK": 0,
        "FINDINGS": 1,
        "USAGE": 2,
        "UNANSWERED": 3,
        "FAILED": 4,
    }
