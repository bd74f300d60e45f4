"""Parameter types that several sub-commands use."""

from __future__ import annotations

from pathlib import Path

import click

EXISTING_PATH = click.Path(exists=True, path_type=Path)
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
EXISTING_FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)
OUTPUT_FILE = click.Path(dir_okay=False, path_type=Path)
