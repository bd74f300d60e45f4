"""Runs the property-based tests of the HTTP parser and of the settings with many newly generated examples.

python bench/fuzz.py --examples 50000
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
from hypothesis import given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).parent.parent
for folder in ("tests", "tests/http", "tests/settings"):
    sys.path.insert(0, str(ROOT / folder))


@click.command()
@click.option("--examples", default=50000)
def main(examples: int) -> None:
    import test_reader
    import test_settings

    fuzz_settings = settings(max_examples=examples, deadline=None, database=None)
    for name, run_examples in (
        ("http", fuzz_settings(given(*test_reader.ANY_BYTES)(test_reader.check_any_bytes))),
        ("settings", fuzz_settings(given(st.text(max_size=80))(test_settings.check_line))),
    ):
        start = time.monotonic()
        run_examples()
        click.echo(f"{name}: {examples} examples in {time.monotonic() - start:.0f} s, no failure")


if __name__ == "__main__":
    main()
