"""Stores the rows of an experiment in a journal of finished runs and in a columnar file.

The columnar file is rewritten from time to time. A run is in the table once its complete line is in the
journal. If the process is killed, only the runs in progress are lost: a truncated line is ignored, so that
its run is executed again. If several rows have the same key, the first one is used.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Any

import msgspec
import polars

JOURNAL_FILE = "rows.jsonl"
COLUMNAR_FILE = "rows.parquet"
ROWS_PER_REWRITE = 100  # rows added between two rewrites of the columnar file

# The row of a run, by column name. The columns are defined in `run.execute` and `load.Step.row`.
Row = dict[str, Any]


class Table:
    """The rows of one experiment, stored in a folder of its own. Only one process may write to it.

    Attributes:
        folder: the folder of the journal and the columnar file.
        rows: the rows by key.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / JOURNAL_FILE
        data = path.read_bytes() if path.exists() else b""
        complete = data[: data.rfind(b"\n") + 1]
        self.rows = _decode_rows(complete)
        self._journal = path.open("ab")
        self._journal.truncate(len(complete))
        self._rows_since_rewrite = 0

    def add(self, row: Row) -> bool:
        """Add a row; return False if there is already a row with its key."""
        if row["key"] in self.rows:
            return False
        self._journal.write(msgspec.json.encode(row) + b"\n")
        self._journal.flush()
        os.fsync(self._journal.fileno())
        self.rows[row["key"]] = row
        self._rows_since_rewrite += 1
        if self._rows_since_rewrite >= ROWS_PER_REWRITE:
            self.rewrite_columns()
        return True

    def rewrite_columns(self) -> None:
        """Replace the columnar file atomically, by renaming a temporary file."""
        self._rows_since_rewrite = 0
        temporary = self.folder / (COLUMNAR_FILE + ".new")
        _make_frame(self.rows).write_parquet(temporary)
        temporary.replace(self.folder / COLUMNAR_FILE)

    def close(self) -> None:
        """Rewrite the columnar file and close the journal."""
        self.rewrite_columns()
        self._journal.close()


def _decode_rows(data: bytes) -> dict[str, Row]:
    """Decode the rows of a journal by key; the first row of a key is kept."""
    rows: dict[str, Row] = {}
    for line in data.splitlines():
        with contextlib.suppress(msgspec.DecodeError):  # truncated by a kill, with complete lines after it
            row = msgspec.json.decode(line)
            rows.setdefault(row["key"], row)
    return rows


def read_rows(folder: Path) -> polars.DataFrame:
    """Return the rows of an experiment, which may still be running.

    Raises:
        FileNotFoundError: the folder contains no experiment.
    """
    return _make_frame(_decode_rows((folder / JOURNAL_FILE).read_bytes()))


def _make_frame(rows: dict[str, Row]) -> polars.DataFrame:
    """Return a data frame sorted by key, so that it does not depend on the order in which runs finished."""
    ordered = [rows[key] for key in sorted(rows)]
    return polars.from_dicts(ordered, infer_schema_length=None) if ordered else polars.DataFrame()
