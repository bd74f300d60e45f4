"""Tests of days with random values, grids, the table of rows, comparisons, reports and shrinking."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import polars
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from scipy import stats

from stepsail.cli.main import main as command
from stepsail.experiment.baselines import MODULES
from stepsail.experiment.compare import difference, paired_differences
from stepsail.experiment.grid import make_grid, run_grid
from stepsail.experiment.hunt import day_file_text, shrink, simpler_days
from stepsail.experiment.report import html_page
from stepsail.experiment.run import Run, execute
from stepsail.experiment.table import COLUMNAR_FILE, JOURNAL_FILE, Table, read_rows
from stepsail.settings import InvalidSettings
from stepsail.standins.day import Day, read_day

DAYS = Path(__file__).parent.parent.parent / "days"
TINY_DAY = """
site {site}
length 2s
umpires 1
boxes {{
    count 3
}}
demand lookup share 100% work 20ms
traffic 20..40
troubles 1
trouble kill-box at 0.5s..1s for 0.5s of 0..2
trouble burst at 0.2s..1s for 1s size 1.5..2 chance 50%
"""
COST_COLUMNS = ("wall", "cpu", "mib")  # columns whose values differ between two runs of the same day and seed


@pytest.fixture
def tiny_day(tmp_path: Path) -> Path:
    file = tmp_path / "tiny.conf"
    file.write_text(TINY_DAY.format(site=DAYS / "bad-day/site.conf"))
    return file


def test_every_day_file_can_be_read_in_both_sizes() -> None:
    small_names, grown_names = (
        sorted(f.stem for f in (DAYS / size).glob("*.conf")) for size in ("small", "grown")
    )
    assert small_names == grown_names and len(small_names) >= 25
    for size in ("small", "grown"):
        for file in (DAYS / size).glob("*.conf"):
            assert read_day(file, 3).length > 0


def test_a_value_given_as_a_range_is_drawn_from_it_by_seed(tiny_day: Path) -> None:
    drawn = [read_day(tiny_day, seed) for seed in range(40)]
    assert read_day(tiny_day, 7) == read_day(tiny_day, 7)
    assert len({d.request_rate for d in drawn}) > 30 and all(20 <= d.request_rate <= 40 for d in drawn)
    assert {len(d.faults) for d in drawn} == {1} and {d.faults[0].kind for d in drawn} == {
        "kill-box",
        "burst",
    }
    assert {t.target for d in drawn for t in d.faults if t.kind == "kill-box"} == {0, 1, 2}


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("trouble kill-box at 3s..1s for 1s", "from the lower to the higher"),
        ("trouble kill-box at 1..2s for 1s", "a time with its unit"),
        ("trouble kill-box at 1s for 1s of 0..3", "there are only 3"),
    ],
)
def test_an_invalid_range_is_an_error_with_file_and_line(tiny_day: Path, line: str, message: str) -> None:
    tiny_day.write_text(tiny_day.read_text() + line + "\n")
    with pytest.raises(InvalidSettings, match=message) as raised:
        read_day(tiny_day)
    assert f"tiny.conf:{len(tiny_day.read_text().splitlines())}:" in str(raised.value)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.sampled_from(sorted(f.name for f in (DAYS / "small").glob("*.conf"))), st.integers(0, 10000))
def test_a_drawn_day_written_to_a_file_is_read_back_as_the_same_day(name: str, seed: int) -> None:
    day = read_day(DAYS / "small" / name, seed)
    file = DAYS / "small" / f".test-{os.getpid()}.conf"
    try:
        file.write_text(day_file_text(day, day.common_settings.resolve()))
        again = read_day(file)
    finally:
        file.unlink()
    assert [(t.kind, t.target) for t in again.faults] == [(t.kind, t.target) for t in day.faults]
    for one, other in zip(again.faults, day.faults, strict=True):
        assert (one.at, one.length, one.size, one.share) == pytest.approx(
            (other.at, other.length, other.size, other.share), abs=1e-6
        )
    assert [b.kind for _, b in again.releases] == [b.kind for _, b in day.releases]
    assert (again.demand, again.seed, again.instance_count) == (day.demand, day.seed, day.instance_count)


def test_a_day_is_shrunk_to_the_fault_that_reproduces_the_problem() -> None:
    day = read_day(DAYS / "small/anything.conf", 5)
    day.faults = [t for seed in range(40) for t in read_day(DAYS / "small/anything.conf", seed).faults][:12]
    culprit = day.faults[7]
    calls = [0]

    def reproduces(candidate: Day) -> bool:
        calls[0] += 1
        return any(t.kind == culprit.kind and t.at == culprit.at for t in candidate.faults)

    shrunk = shrink(day, reproduces)
    assert (
        [t.kind for t in shrunk.faults] == [culprit.kind]
        and shrunk.releases == []
        and shrunk.length < day.length
    )
    assert calls[0] <= 60
    assert shrink(day, lambda candidate: False) is day
    assert all(c != day for c in simpler_days(day))


def test_one_and_three_processes_produce_the_same_table(tiny_day: Path, tmp_path: Path) -> None:
    tables = []
    for workers in (1, 3):
        folder = tmp_path / str(workers)
        run_grid(
            make_grid([tiny_day], [1, 2, 3], ["stepsail", "random"], []),
            folder,
            workers,
            lambda done, total: None,
        )
        tables.append(read_rows(folder).drop(*COST_COLUMNS))
    assert tables[0].equals(tables[1]) and len(tables[0]) == 6 and set(tables[0]["failed"]) == {""}
    assert polars.read_parquet(tmp_path / "1" / COLUMNAR_FILE).drop(*COST_COLUMNS).equals(tables[0])


def test_a_killed_grid_resumes_without_lost_or_duplicate_rows(tiny_day: Path, tmp_path: Path) -> None:
    folder = tmp_path / "rows"
    arguments = [
        sys.executable,
        "-m",
        "stepsail",
        "experiment",
        "run",
        str(folder),
        str(tiny_day),
        "--seeds",
        "1..12",
        "--workers",
        "2",
    ]
    process = subprocess.Popen(
        arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True
    )
    deadline = time.monotonic() + 60.0
    while not (folder / JOURNAL_FILE).exists() or (folder / JOURNAL_FILE).read_bytes().count(b"\n") < 3:
        assert time.monotonic() < deadline and process.poll() is None
        time.sleep(0.01)
    os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    count_before_kill = len(read_rows(folder))
    assert 3 <= count_before_kill < 12
    with (folder / JOURNAL_FILE).open("ab") as journal:
        journal.write(b'{"key": "torn by the ki')
    completed = subprocess.run(arguments, capture_output=True, text=True)
    assert completed.returncode == 0, completed.stderr
    assert f"{12 - count_before_kill} runs now, 12 in all" in completed.stdout
    keys = [
        line.split('"key":"')[1].split('"')[0] for line in (folder / JOURNAL_FILE).read_text().splitlines()
    ]
    assert len(keys) == len(set(keys)) == 12


def test_a_truncated_journal_loses_only_the_truncated_row(tmp_path: Path) -> None:
    table = Table(tmp_path / "whole")
    for number in range(3):
        assert table.add({"key": f"k{number}", "service": 0.5, "failed": ""})
        assert not table.add({"key": f"k{number}", "service": 0.9, "failed": ""})
    table.close()
    data = (tmp_path / "whole" / JOURNAL_FILE).read_bytes()
    for length in range(0, len(data) + 1, 5):
        folder = tmp_path / f"cut{length}"
        folder.mkdir()
        (folder / JOURNAL_FILE).write_bytes(data[:length])
        reopened = Table(folder)
        assert len(reopened.rows) == data[:length].count(b"\n")
        reopened.add({"key": "more", "service": 1.0, "failed": ""})
        reopened.close()
        assert len(read_rows(folder)) == data[:length].count(b"\n") + 1


def test_a_run_that_cannot_be_simulated_is_a_row_with_the_error(tmp_path: Path) -> None:
    row = execute(Run(str(tmp_path / "none.conf"), 1))
    assert "none.conf" in row["failed"] and row["seed"] == 1


def test_confidence_interval_equals_that_of_a_paired_t_test() -> None:
    random = Random(1)
    one = [random.random() for _ in range(30)]
    other = [v + random.gauss(0.02, 0.05) for v in one]
    found = difference([b - a for a, b in zip(one, other, strict=True)])
    test = stats.ttest_rel(other, one).confidence_interval(0.95)
    assert found.low == pytest.approx(test.low) and found.high == pytest.approx(test.high)
    needed = difference([0.01 * (-1) ** n for n in range(1000)]).needed
    assert needed == 8  # (1.96 + 0.84)², as the standard deviation equals RELEVANT_DIFFERENCE
    assert difference([]).pairs == 0 and not difference([0.1]).is_significant


def make_rows(**columns: Any) -> list[dict[str, Any]]:
    return [
        {
            "key": f"{columns} {seed}",
            "day": "d",
            "seed": seed,
            "umpires": 3,
            "module": "stepsail",
            "commit": "c",
            "failed": "",
            "service": 0.9 + seed / 100,
            "ideal": 1.0,
            "breaches": 0,
            "right": 1,
            "releases": 1,
            "cold_peak": 0.2,
            "p99": 0.5,
        }
        | columns
        for seed in range(4)
    ]


def test_runs_are_paired_by_day_seed_and_instance_count_without_failed_runs() -> None:
    failed = make_rows(module="random", service=0.0, failed="x")[:1]
    frame = polars.from_dicts([*make_rows(), *make_rows(module="random", service=0.8)[1:], *failed])
    found = paired_differences(frame, "module", "random", "stepsail")
    assert found[""].pairs == 3 and found["d"].mean == pytest.approx(0.12)


def test_the_report_page_needs_no_network() -> None:
    text = html_page(polars.from_dicts([*make_rows(), *make_rows(module="random", service=0.8)]), "a <title>")
    assert "a &lt;title&gt;" in text and "data:image/png;base64," in text and "http" not in text
    assert "stepsail minus random" in text


@pytest.mark.parametrize("module", sorted(MODULES))
def test_every_router_completes_a_day(tiny_day: Path, module: str) -> None:
    row = execute(Run(str(tiny_day), 1, module))
    assert row["failed"] == "" and row["handled"] > 20


def test_commands_report_invalid_arguments(tiny_day: Path, tmp_path: Path) -> None:
    runner = CliRunner()
    for arguments, message in (
        (["experiment", "run", "x", str(tiny_day), "--seeds", "a"], "neither a range"),
        (["experiment", "run", "x", str(tiny_day), "--modules", "best"], "no module is called best"),
        (["experiment", "show", str(tmp_path / "none")], "holds no experiment"),
    ):
        result = runner.invoke(command, arguments)
        assert result.exit_code == 2 and message in result.output


def test_without_polars_only_experiment_commands_fail_and_name_the_requirements_file(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(sys.modules, "polars", None)
    for name in [m for m in sys.modules if m.startswith(("stepsail.experiment", "stepsail.cli.experiments"))]:
        monkeypatch.delitem(sys.modules, name)
    runner = CliRunner()
    assert runner.invoke(command, ["--help"]).exit_code == 0
    result = runner.invoke(command, ["experiment", "list"])
    assert result.exit_code == 1 and "requirements-experiment.txt" in result.output
