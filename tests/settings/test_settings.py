"""Loading of settings files: the resulting settings, and the errors that are reported."""

from __future__ import annotations

from pathlib import Path

import pytest
from helpers import VALID_SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st

from stepsail.settings import InvalidSettings, load_settings
from stepsail.settings.errors import SettingsSyntaxError
from stepsail.settings.flat_settings import parse_pairs, read_router_settings
from stepsail.settings.grammar import parse_line
from stepsail.settings.model import MembershipSettings

EXPECTED_ERRORS = [
    "umpire.conf:2:10: expected 'of', then its value: umpire NUMBER of COUNT",
    "umpire.conf:11:5: unknown setting 'targte'; did you mean 'target'?",
    "umpire.conf:30:5: 'report' takes no block; remove '{'",
    "umpire.conf:32:14: '4.9' is not a time with its unit, such as 250ms, 1.2s, 5m or 30d",
]


def write_settings_file(folder: Path, text: str) -> Path:
    file = folder / "umpire.conf"
    file.write_text(text, "utf-8")
    return file


def errors_of(folder: Path, text: str) -> list[str]:
    with pytest.raises(InvalidSettings) as found:
        load_settings(write_settings_file(folder, text))
    return [str(error).removeprefix(f"{folder}/") for error in found.value.errors]


def test_file_gives_the_same_router_settings_as_flat_settings(tmp_path: Path) -> None:
    settings = load_settings(write_settings_file(tmp_path, VALID_SETTINGS))
    expected = read_router_settings(
        parse_pairs(
            "\n".join(
                (
                    "Lanes.count=2",
                    "Lanes.0.PromiseMs=750",
                    "Lanes.0.DeadlineMs=3000",
                    "Lanes.0.Worth=2",
                    "Lanes.0.Idempotency=repeatable",
                    "Lanes.1.PromiseMs=1200",
                    "Lanes.1.DeadlineMs=5000",
                    "Lanes.1.Worth=6",
                    "Lanes.1.Idempotency=by_key",
                    "Lanes.1.DedupScope=zone",
                    "Lanes.1.WindowMs=10000",
                    "Me=1",
                    "Siblings=3",
                    "MyZone=1",
                    "Limits.MaxAttempts=6",
                    "Limits.Cancel=true",
                    "Limits.RetryAfter=true",
                    "Limits.MaxRetryAfterMs=500",
                    "RegistryMode=on_request",
                    "Stats.Columns=q",
                    "Rules.StopSendingWithinMs=500",
                    "Rules.ColdFrom=0.31",
                    "Rules.ColdMs=4900",
                    "Rules.FallMultiple=3",
                    "Limits.ConnIdleMs=30000",
                    "Limits.ConnectTimeoutMs=250",
                    "Domain.DecidedBy=first_voice",
                    "Domain.BakeMs=1500",
                    "Domain.Shares=0.05,1",
                    "Domain.MostShares=0.085,1",
                    "Domain.ClosedStages=1",
                    "Domain.Uncounted=1",
                    "Domain.CountedOverMs=4000",
                    "Domain.VoteStandsMs=10000",
                    "Domain.ApiTimeoutMs=800",
                    "Domain.VoteAllowance=60",
                )
            )
        )
    )
    assert settings.router == expected
    assert settings.endpoint_cache_file == tmp_path / "last-list.json" and settings.class_names == (
        "lookup",
        "record",
    )
    routes = [(r.method, r.path, r.class_index) for r in settings.routes]
    assert routes == [("GET", "/lookup", 0), ("POST", "/record", 1)]


def test_all_errors_are_reported_at_once_with_location_and_remedy(tmp_path: Path) -> None:
    text = (
        VALID_SETTINGS.replace("target 750ms", "targte 750ms")
        .replace("cold-for 4.9s", "cold-for 4.9")
        .replace("umpire 1 of 3", "umpire 1 off 3")
        .replace("report answers queue", "report answers {")
    )
    errors = errors_of(tmp_path, text)
    assert errors == EXPECTED_ERRORS


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("    stage 5% cap 8.5%", "    stage 5% cap 120%", "23:18: 1.2 is too large; at most 1"),
        ("    repeats redoable", "    repeats redoabel", "did you mean 'redoable'?"),
        ("zone hall-b", "zone hall-x", "4:6: 'hall-x' is not one of the zones hall-a, hall-b"),
        ("umpire 1 of 3", "umpire 3 of 3", "instances are numbered from 0 to 2"),
        ("target 750ms", "target 7s", "11:12: the target time is longer than the abandon time"),
        ("labelled zone 10s", "labelled zone", "write 'labelled all|zone|cell TIME'"),
        ("route POST /record", "route GET /lookup", "GET /lookup already belongs to product 'lookup'"),
        ("product record", "product lookup", "product 'lookup' is defined twice"),
        ("stage 100% cap 1", "stage 1% cap 1", "a stage is smaller than the one before it"),
        ("stage 100% cap 1", "stage 100% cap 50%", "the cap is under the stage's share"),
        ("guarded-stages 1", "guarded-stages 9", "there are only 2 stages"),
        ("listen 127.0.0.1:8080", "listen 127.0.0.1", "such as 127.0.0.1:8080"),
        ("listen 127.0.0.1:8080", "", "missing: listen"),
        ("zone hall-b", "zone hall-b\nzone hall-a", "'zone' is given twice; first at"),
        ("zone hall-b", 'zone "hall-b', "4:6: expected a closing quote"),
        ("zone hall-b", "zone hall-b extra", "'extra' is one value too many"),
        ("zone hall-b", "include nowhere.conf", "cannot read"),
        ("zone hall-b", "include umpire.conf", "includes itself"),
        ("zone hall-b", "}", "'}' closes nothing"),
        ("zone hall-b", "zone hall\x00-b", "expected printable characters"),
    ],
)
def test_error_is_described(tmp_path: Path, old: str, new: str, message: str) -> None:
    assert any(message in line for line in errors_of(tmp_path, VALID_SETTINGS.replace(old, new)))


def test_invalid_utf_8_is_reported_with_its_line(tmp_path: Path) -> None:
    file = tmp_path / "umpire.conf"
    file.write_bytes(b"umpire 1 of 3\nzone \xff\n")
    with pytest.raises(InvalidSettings, match=r"umpire\.conf:2:1: not UTF-8"):
        load_settings(file)


def test_membership_settings_are_read_and_bounded(tmp_path: Path) -> None:
    view = (
        "view 127.0.0.1:9300 reached 127.0.0.2:9400 {\n    seed 127.0.0.1:9301\n    period 250ms\n"
        "    fleet north\n}\n"
    )
    settings = load_settings(write_settings_file(tmp_path, VALID_SETTINGS + view))
    assert settings.membership == MembershipSettings(
        ("127.0.0.1", 9300), ("127.0.0.2", 9400), (("127.0.0.1", 9301),), 0.25, "north"
    )
    assert load_settings(write_settings_file(tmp_path, VALID_SETTINGS)).membership is None
    default_membership = load_settings(
        write_settings_file(tmp_path, VALID_SETTINGS + "view 127.0.0.1:9300 {\n}\n")
    ).membership
    assert default_membership == MembershipSettings(
        ("127.0.0.1", 9300), ("127.0.0.1", 9300), (), 0.0, "stepsail"
    )
    assert any(
        "at most 64 characters" in t
        for t in errors_of(tmp_path, (VALID_SETTINGS + view).replace("hall-b", "h" * 65))
    )


def test_included_file_is_read_in_place_and_named_in_its_errors(tmp_path: Path) -> None:
    (tmp_path / "stages.conf").write_text("stage 5% cap 8%\nstage 2% cap 1\n")
    text = VALID_SETTINGS.replace(
        "    stage 5% cap 8.5%\n    stage 100% cap 1\n", "    include stages.conf\n"
    )
    assert errors_of(tmp_path, text) == ["stages.conf:2:1: a stage is smaller than the one before it"]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=60))
def test_any_line_is_parsed_or_a_syntax_error(text: str) -> None:
    check_line(text)


def check_line(text: str) -> None:
    try:
        line = parse_line(text)
    except SettingsSyntaxError as error:
        assert error.column >= 1 and error.expected
    else:
        assert not (line.closes and line.name)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, len(VALID_SETTINGS.splitlines()) - 1), st.text('{} ab19%."#\n', max_size=12))
def test_file_with_a_changed_line_gives_settings_or_errors(
    tmp_path_factory: pytest.TempPathFactory, line_index: int, text: str
) -> None:
    lines = VALID_SETTINGS.splitlines()
    lines[line_index] = text
    try:
        load_settings(write_settings_file(tmp_path_factory.mktemp("settings"), "\n".join(lines)))
    except InvalidSettings as found:
        assert found.errors
