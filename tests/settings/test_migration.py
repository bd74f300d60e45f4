"""Migration of a settings file from format version 1 to version 2 by `stepsail migrate`."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from helpers import VALID_SETTINGS

from stepsail.cli.main import main
from stepsail.settings import load_settings

INVALID_FILES = [
    ("umpire 1 of", "umpire.conf:1:1"),
    ("targte 3s\n" + VALID_SETTINGS, "unknown setting 'targte'"),
    (VALID_SETTINGS.replace("31%", "lots"), "'lots' is not a share"),
    (VALID_SETTINGS + "seed 1\nseed 2\n", "'seed' is given twice"),
    (VALID_SETTINGS + "include gone.conf\n", "cannot read"),
]


def migrate(*arguments: str | Path) -> Result:
    return CliRunner(mix_stderr=False).invoke(main, ["migrate", *map(str, arguments)])


def write_old_file(folder: Path, text: str = VALID_SETTINGS) -> Path:
    (folder / "umpire.conf").write_text(text, "utf-8")
    return folder / "umpire.conf"


def test_migrated_file_means_the_same_and_notes_former_defaults(tmp_path: Path) -> None:
    file, new = write_old_file(tmp_path, VALID_SETTINGS + "# a note\n"), tmp_path / "new.conf"
    result = migrate(file, "--out", new)
    assert result.exit_code == 0 and not result.stdout
    before, after = load_settings(file), load_settings(new)
    assert dataclasses.replace(after, class_names=before.class_names) == before
    text = new.read_text()
    for line in ("shape 2", "    one-way no", "    drain-grace 0.5s", "    stage 0.05 cap 0.085"):
        assert line in text.splitlines()
    notes = result.stderr
    assert "release one-way is not set" in notes and "--one-way yes" in notes
    assert "drain-grace 0.5s" in notes and "cold-from" not in notes
    assert f"{len((VALID_SETTINGS + '# a note').splitlines())}: a comment is not carried over" in notes


def test_decisions_are_written_and_noted(tmp_path: Path) -> None:
    new = tmp_path / "new.conf"
    result = migrate(write_old_file(tmp_path), "--out", new, "--one-way", "yes", "--drain-grace", "250ms")
    router_settings = load_settings(new).router
    assert router_settings.sticky_keys and router_settings.drain_grace == 0.25
    assert "'one-way yes' as decided" in result.stderr and "header 'Subject'" in result.stderr


def test_dry_run_prints_the_same_and_writes_nothing(tmp_path: Path) -> None:
    file, new = write_old_file(tmp_path), tmp_path / "new.conf"
    dry_run = migrate(file, "--dry-run", "--out", new)
    assert dry_run.exit_code == 0 and sorted(tmp_path.iterdir()) == [file]
    result = migrate(file, "--out", new)
    assert new.read_text() == dry_run.stdout and result.stderr == dry_run.stderr


def test_file_is_not_overwritten_without_force_nor_written_in_part(tmp_path: Path) -> None:
    file, new = write_old_file(tmp_path), tmp_path / "new.conf"
    new.write_text("mine\n")
    result = migrate(file, "--out", new)
    assert result.exit_code == 2 and "not written" in result.stderr and new.read_text() == "mine\n"
    assert migrate(file, "--out", new, "--force").exit_code == 0 and "shape 2" in new.read_text()
    assert migrate(file, "--out", tmp_path / "no" / "new.conf").exit_code == 2
    assert migrate(file).exit_code == 2
    assert sorted(tmp_path.iterdir()) == [new, file]


def test_file_in_format_2_is_not_migrated(tmp_path: Path) -> None:
    new, again = tmp_path / "new.conf", tmp_path / "again.conf"
    migrate(write_old_file(tmp_path), "--out", new)
    result = migrate(new, "--out", again)
    assert result.exit_code == 0 and "this file already has 'shape 2'" in result.stderr and not again.exists()
    assert CliRunner(mix_stderr=False).invoke(main, ["check", str(new)]).exit_code == 0


def test_format_2_requires_settings_that_have_defaults_in_format_1(tmp_path: Path) -> None:
    result = CliRunner(mix_stderr=False).invoke(
        main, ["check", str(write_old_file(tmp_path, "shape 2\n" + VALID_SETTINGS))]
    )
    assert result.exit_code == 1 and "missing in release: control, replaces" in result.stderr


@pytest.mark.parametrize(("text", "message"), INVALID_FILES)
def test_invalid_file_is_reported_with_its_location_and_not_migrated(
    tmp_path: Path, text: str, message: str
) -> None:
    file = write_old_file(tmp_path, text)
    result = migrate(file, "--out", tmp_path / "new.conf")
    assert result.exit_code == 2 and message in result.stderr and "umpire.conf:" in result.stderr
    assert list(tmp_path.iterdir()) == [file]


def test_file_that_is_not_utf_8_is_reported(tmp_path: Path) -> None:
    (tmp_path / "umpire.conf").write_bytes(b"umpire \xff\xfe")
    result = migrate(tmp_path / "umpire.conf", "--dry-run")
    assert result.exit_code == 2 and "umpire.conf:1" in result.stderr and "UTF-8" in result.stderr


def test_paths_and_quotes_are_kept_and_included_files_written_out(tmp_path: Path) -> None:
    (tmp_path / "more.conf").write_text('tenant "north west \\"x\\"" share 50%\n')
    (tmp_path / "elsewhere").mkdir()
    new = tmp_path / "elsewhere" / "new.conf"
    result = migrate(write_old_file(tmp_path, VALID_SETTINGS + "include more.conf\n"), "--out", new)
    assert load_settings(new).tenant_names == ('north west "x"',)
    assert "'last-list.json' will be relative to the folder of the new file" in result.stderr
    assert "the settings of the included file replace this line" in result.stderr
