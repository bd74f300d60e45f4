"""Compares the trail's own log with SQLite in WAL mode and with LMDB, for batches of ANSWER entries.

    python bench/trail_store.py --rounds 5 --table docs/measurements/trail-store.md

Every store gets the same entries by sequence number and the hash chain over them, which an audit needs in any
store. The stores take turns in each round; ratios are computed within a round.
"""

from __future__ import annotations

import os
import platform
import resource
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

import click
import lmdb

from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import FIRST_LINK, EntryKind, encode, next_link
from stepsail.trail.keys import SigningKey
from stepsail.trail.log import TrailLog
from stepsail.trail.reader import read_entries

ENTRY = encode(
    EntryKind.ANSWER,
    1.0,
    receipt="0-abcdef012345-12345",
    product="look",
    verdict="handled",
    status=200,
    digest="0" * 32,
    relays=[("127.0.0.1:8001", "handled")],
    label="",
    request="12-345",
)
PutBatch = Callable[[list[bytes]], None]


class OwnLog:
    """Stores entries in the trail's own log, synced after each batch or never."""

    def __init__(self, folder: Path, synced: bool) -> None:
        self.folder, self.synced = folder, synced
        self.log = TrailLog(RealDisk(folder), 0, "run", SigningKey.create(folder), folder)
        self.log.open_segment(1.0, [])

    def put(self, batch: list[bytes]) -> None:
        self.log.append(batch, 1.0)
        if self.synced:
            self.log.sync()

    def read(self) -> int:
        return sum(1 for _ in read_entries(self.folder))

    def close(self) -> None:
        self.log.seal_segment(1.0)


class SqliteStore:
    """Stores entries in one SQLite table, with one transaction per batch.

    `synchronous=full` syncs the WAL at each commit; `normal` syncs it only at checkpoints.
    """

    def __init__(self, folder: Path, synced: bool) -> None:
        self.db = sqlite3.connect(folder / "trail.db", isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute(f"pragma synchronous={'full' if synced else 'normal'}")
        self.db.execute(
            "create table trail (seq integer primary key, entry blob not null, link blob not null)"
        )
        self.seq, self.last_link = 0, FIRST_LINK

    def put(self, batch: list[bytes]) -> None:
        rows = []
        for entry in batch:
            self.last_link = next_link(self.last_link, entry)
            rows.append((self.seq + len(rows), entry, self.last_link))
        self.db.execute("begin")
        self.db.executemany("insert into trail values (?, ?, ?)", rows)
        self.db.execute("commit")
        self.seq += len(batch)

    def read(self) -> int:
        import msgspec

        return sum(
            1
            for _, entry, _ in self.db.execute("select * from trail order by seq")
            if msgspec.msgpack.decode(entry)
        )

    def close(self) -> None:
        self.db.close()


class LmdbStore:
    """Stores entries in one LMDB database, with one write transaction per batch."""

    def __init__(self, folder: Path, synced: bool) -> None:
        self.env = lmdb.open(str(folder), map_size=4 << 30, sync=synced)
        self.seq, self.last_link = 0, FIRST_LINK

    def put(self, batch: list[bytes]) -> None:
        with self.env.begin(write=True) as txn:
            for entry in batch:
                self.last_link = next_link(self.last_link, entry)
                txn.put(self.seq.to_bytes(8, "big"), self.last_link + entry, append=True)
                self.seq += 1

    def read(self) -> int:
        import msgspec

        with self.env.begin() as txn:
            return sum(1 for _, value in txn.cursor() if msgspec.msgpack.decode(value[32:]))

    def close(self) -> None:
        self.env.close()


STORES: dict[str, type[Any]] = {"own log": OwnLog, "SQLite, WAL": SqliteStore, "LMDB": LmdbStore}


def measure_store(make_store: type[Any], synced: bool, batch: int, seconds: float) -> dict[str, float]:
    # In the working directory, which is on a disk; the default folder may be in memory.
    with tempfile.TemporaryDirectory(dir=".") as folder_name:
        folder = Path(folder_name)
        store = make_store(folder, synced)
        durations, entry_count, cpu_time = [], 0, time.process_time()
        end = time.perf_counter() + seconds
        while (start := time.perf_counter()) < end:
            store.put([ENTRY] * batch)
            durations.append(time.perf_counter() - start)
            entry_count += batch
        cpu_time = time.process_time() - cpu_time
        durations.sort()
        start = time.perf_counter()
        count = store.read()
        read_time = time.perf_counter() - start
        store.close()
        size = sum(file.stat().st_size for file in folder.iterdir())
        return {
            "rate": entry_count / sum(durations),
            "cpu": cpu_time / entry_count * 1e6,
            "median": durations[len(durations) // 2] * 1e3,
            "p99": durations[int(len(durations) * 0.99)] * 1e3,
            "bytes": size / count,
            "read": read_time / count * 1e6,
        }


@click.command()
@click.option("--rounds", default=5)
@click.option("--seconds", default=1.0)
@click.option("--table", type=click.Path(path_type=Path))
def main(rounds: int, seconds: float, table: Path | None) -> None:
    rows = []
    for synced in (True, False):
        for batch in (1, 20, 200):
            results = [
                {
                    name: measure_store(make_store, synced, batch, seconds)
                    for name, make_store in STORES.items()
                }
                for _ in range(rounds)
            ]
            for name in STORES:
                store_results = [result[name] for result in results]
                ratio = median(result[name]["cpu"] / result["own log"]["cpu"] for result in results)
                rows.append(
                    f"| {'yes' if synced else 'no'} | {batch} | {name} | "
                    + " | ".join(
                        f"{median(figures[metric] for figures in store_results):.{digits}f}"
                        for metric, digits in (
                            ("rate", 0),
                            ("median", 2),
                            ("p99", 2),
                            ("cpu", 1),
                            ("bytes", 0),
                            ("read", 1),
                        )
                    )
                    + f" | {ratio:.2f} |"
                )
    text = "\n".join(
        (
            f"{rounds} rounds of {seconds:g} s each, the stores in turn, entries of {len(ENTRY)} bytes, on "
            f"{os.cpu_count()} cores, Python {platform.python_version()}, SQLite {sqlite3.sqlite_version}, "
            f"LMDB {'.'.join(map(str, lmdb.version()))}. "
            f"*Synced*: each batch is durable, also after a power loss, before the next begins.",
            "",
            "| synced | entries per batch | store | entries per second | median commit, ms | p99, ms | "
            "CPU per entry, µs | bytes per entry | read time per entry, µs | CPU relative to own log |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
            f"Peak memory of the run: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MiB.",
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Stores for audit trails\n\n" + text)


if __name__ == "__main__":
    main()
