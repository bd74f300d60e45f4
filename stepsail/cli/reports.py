"""`stepsail verify`: checks the rules on a transcript, and prints the report as JSON or as text."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from stepsail.cli.exit_codes import CommandFailed, ExitCode
from stepsail.cli.parameters import EXISTING_PATH
from stepsail.verify import History, read_history, verify
from stepsail.verify.membership import read_membership_checker
from stepsail.verify.policies import PolicyChecker
from stepsail.verify.records import InvalidTranscript
from stepsail.verify.report import summary

TRANSCRIPT_FILE = "transcript.jsonl"
REPORT_FILE = "report.json"
PROBLEM_STYLE = "red"

# A report as it is stored and printed: the result of `stepsail.verify.report.summary`, and the keys that
# `_make_report` adds.
Report = dict[str, Any]


@click.command(name="verify")
@click.argument("folder", type=EXISTING_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def verify_command(folder: Path, as_json: bool) -> None:
    """Verify the five rules on a transcript, and print a report."""
    sys.exit(verify_transcript(folder, as_json, failed_instances=0))


def verify_transcript(folder: Path, as_json: bool, failed_instances: int) -> ExitCode:
    """Verify a transcript, store the report beside it, print the report, and return the exit code.

    Args:
        folder: A rehearsal's folder, or its transcript alone; a report is stored only in a folder.
        as_json: Whether to print JSON instead of tables.
        failed_instances: Number of instances that ended with an exit code other than 0.

    Raises:
        CommandFailed: The transcript cannot be read.
    """
    file = folder / TRANSCRIPT_FILE if folder.is_dir() else folder
    try:
        history = read_history(file)
    except (OSError, InvalidTranscript) as error:
        raise CommandFailed(ExitCode.USAGE, str(error)) from error
    report = _make_report(history, folder, failed_instances)
    if folder.is_dir():
        (folder / REPORT_FILE).write_text(json.dumps(report, indent=1) + "\n")
    if as_json:
        click.echo(json.dumps(report, indent=1))
    else:
        _print_report(Console(), report, folder)
    has_problems = (
        report["breaches"]
        or failed_instances
        or report.get("view_promises_broken")
        or report["policy_promises_broken"]
    )
    return ExitCode.FINDINGS if has_problems else ExitCode.OK


def _make_report(history: History, folder: Path, failed_instances: int) -> Report:
    """Return the findings of all checkers on a transcript, under the keys of stored reports."""
    report = summary(history, verify(history)) | {"umpires_that_left_badly": failed_instances}
    if folder.is_dir() and any(line["at"] == "day" and line["what"] == "view" for line in history.lines):
        membership = read_membership_checker(folder)
        report["view_promises_broken"] = [str(breach) for breach in membership.violations()]
        report["view_promises_judged"] = dict(membership.check_counts)
    policies = PolicyChecker(history)
    report["policy_promises_broken"] = policies.violations()
    report["policies"] = {
        "tries": dict(sorted(policies.requests_per_policy.items())),
        "denied": policies.rejected_without_policy,
    }
    return report


def _print_report(console: Console, report: Report, folder: Path) -> None:
    console.print(
        f"day {report['day']}, seed {report['seed']}: service {report['service']:.3f} (simulated servers)"
    )
    console.print(_class_table(report))
    console.print("answers:", _counts_text(report["answers"]))
    for release in report["releases"]:
        console.print(_release_text(release))
    console.print("votes:", _counts_text(report["votes"]) or "none")
    for instance, exposure in report["exposure"].items():
        console.print(
            f"instance {instance}: {exposure['relays']} attempts at canary builds; "
            f"window closest to its limit: {exposure.get('sent', 0)} of {exposure.get('allowed', 0)} allowed"
        )
    if report["cold"]:
        server, load = max(report["cold"].items(), key=lambda item: float(item[1]))
        console.print(
            f"servers warming up: {len(report['cold'])}; highest load: {server}, "
            f"{load:.0%} of its overload threshold"
        )
    _print_problems(console, report)
    verdict = "RULES BROKEN" if report["breaches"] else "no rule broken"
    console.print(f"verdict: {verdict}; transcript and logs in {folder}")


def _class_table(report: Report) -> Table:
    """Return a table with a row for each request class."""
    table = Table("request class", "requests", "in time", "service", "median s", "99% s")
    for name, figures in report["products"].items():
        table.add_row(
            name,
            str(figures["asked"]),
            str(figures["in_time"]),
            f"{figures['service']:.3f}",
            f"{figures['median']:.3f}",
            f"{figures['p99']:.3f}",
        )
    return table


def _counts_text(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def _release_text(release: dict[str, Any]) -> str:
    after = f" after {release['after']:.1f} s" if "after" in release else ""
    remark = "" if release["right"] else "  <- wrong decision for this build"
    return f"build {release['build']} ({release['kind']}): {release['end']}{after}{remark}"


def _print_problems(console: Console, report: Report) -> None:
    """Print broken rules, broken guarantees of membership and policies, and how many instances failed."""
    for breach in report["breaches"]:
        console.print(breach, markup=False, style=PROBLEM_STYLE)
    for violation in (*report.get("view_promises_broken", ()), *report["policy_promises_broken"]):
        console.print(violation, markup=False, style=PROBLEM_STYLE)
    failed_instances = report["umpires_that_left_badly"]
    if failed_instances:
        console.print(
            f"{failed_instances} instances ended with an exit code other than 0", style=PROBLEM_STYLE
        )
