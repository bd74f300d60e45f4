"""Short seeded soaks of real processes; long soaks are started by hand (`docs/operate/qualify.md`)."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from stepsail.cli.main import main
from stepsail.qualify.soak import SoakPlan, run_soak


@pytest.mark.parametrize("seed", [1, 3, 8])
def test_no_rule_is_broken_under_injected_faults(tmp_path: Path, seed: int) -> None:
    report = run_soak(SoakPlan(seed, seconds=15.0, instances=3, clients=3), tmp_path / "soak")
    assert not report.breaches, report.breaches[:3]
    assert report.statuses[200] > 500 and sum(report.faults.values()) > 8


@pytest.mark.parametrize("seed", [12, 46])
def test_no_rule_is_broken_with_seeds_that_found_breaches(tmp_path: Path, seed: int) -> None:
    # Seed 12: the watch is lost right after discovery moved to another address.
    # Seed 46: an attempt states more time to a server than is left to the client.
    report = run_soak(SoakPlan(seed, seconds=20.0, instances=4, clients=3), tmp_path / "soak")
    assert not report.breaches, report.breaches[:3]


@pytest.mark.parametrize("seed", [2, 5])
def test_no_rule_is_broken_beside_clients_that_break_the_protocol(tmp_path: Path, seed: int) -> None:
    plan = SoakPlan(seed, seconds=15.0, instances=3, clients=3, abuse=True)
    report = run_soak(plan, tmp_path / "soak")
    assert not report.breaches, report.breaches[:3]
    assert report.statuses[200] > 300 and report.faults["clients_abuse"] > 1


def test_command_reports_each_run_and_rejects_too_many_processes(tmp_path: Path) -> None:
    arguments = ["qualify", "run", "--seconds", "5", "--instances", "2", "--out", str(tmp_path), "--json"]
    result = CliRunner().invoke(main, arguments)
    report = json.loads(result.output)
    assert (
        result.exit_code == 0 and report["breaches"] == [] and report["statuses"]["200"] > 50
    ), result.output
    rejected = CliRunner().invoke(main, [*arguments, "--instances", "100", "--jobs", "4"])
    assert rejected.exit_code == 2 and "400 processes" in rejected.output
    listing = CliRunner().invoke(main, ["qualify", "list", "7"])
    assert listing.exit_code == 0 and len(listing.output.splitlines()) > 8
