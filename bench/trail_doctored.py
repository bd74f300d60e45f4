"""Tampers with an audit trail at every entry, and counts what an audit with the public key detects.

    python bench/trail_doctored.py --table docs/measurements/trail-doctored.md

The changes are those of an attacker who has everything but the private key: sequence numbers, lengths and
checksums are made consistent again, and the signed heads stay unchanged.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import click

from stepsail.store.frames import encode_frame, join_entries, split_entries
from stepsail.trail.audit import audit_trail
from stepsail.trail.disk import RealDisk
from stepsail.trail.entries import EntryKind, decode, encode
from stepsail.trail.keys import SigningKey
from stepsail.trail.log import TrailLog
from stepsail.trail.segments import TITLE, FrameKind, SegmentCatalog, SignedHead, parse_segment

FILES, ANSWERS_PER_FILE = 3, 12


def make_answer(number: int) -> bytes:
    return encode(
        EntryKind.ANSWER,
        1000.0 + number,
        receipt=f"r{number}",
        verdict="handled",
        status=200,
        digest="d" * 32,
    )


def write_trail(folder: Path, key: SigningKey) -> tuple[TrailLog, list[SignedHead]]:
    """Write a closed trail of `FILES` files, and return its log and its signed heads."""
    log, heads = TrailLog(RealDisk(folder), 0, "run", key, folder), list[SignedHead]()
    for file_index in range(FILES):
        log.open_segment(1.0, [])
        log.append([make_answer(file_index * ANSWERS_PER_FILE + n) for n in range(ANSWERS_PER_FILE)], 1.0)
        heads.append(log.sign_head(1.0))
        log.seal_segment(1.0)
    return log, heads


def rewrite_entries(data: bytes, file: Path, change: Callable[[list[bytes]], list[bytes]]) -> bytes:
    segment = parse_segment(file.name, data, file)
    first = next(frame.first_entry for frame in segment.frames if frame.kind == FrameKind.BATCH)
    entries = change(
        [
            entry
            for frame in segment.frames
            if frame.kind == FrameKind.BATCH
            for entry in split_entries(frame.payload(data))
        ]
    )
    parts = [TITLE, encode_frame(FrameKind.BATCH, join_entries(entries), first, 0.0)]
    parts += [
        encode_frame(FrameKind.HEAD, frame.payload(data), frame.first_entry, frame.clock)
        for frame in segment.frames
        if frame.kind == FrameKind.HEAD
    ]
    return b"".join(parts)


def edit_entry(entry: bytes, **fields: object) -> bytes:
    kind, wall, old_fields = decode(entry)
    return encode(EntryKind(kind), wall, **(old_fields | fields))


def entry_changes() -> Iterator[tuple[str, Callable[[list[bytes]], list[bytes]]]]:
    """Yield the changes to the entries of a file, as kind and function. Entry 0 is the START entry."""
    for at in range(1, ANSWERS_PER_FILE + 1):
        yield "an entry removed", lambda entries, at=at: entries[:at] + entries[at + 1 :]
        yield "an entry inserted", lambda entries, at=at: [*entries[:at], make_answer(999), *entries[at:]]
        yield "an entry duplicated", lambda entries, at=at: [*entries[:at], entries[at], *entries[at:]]
        yield (
            "a status changed",
            lambda entries, at=at: [*entries[:at], edit_entry(entries[at], status=201), *entries[at + 1 :]],
        )
        yield (
            "a receipt changed",
            lambda entries, at=at: [*entries[:at], edit_entry(entries[at], receipt="x"), *entries[at + 1 :]],
        )
        if at < ANSWERS_PER_FILE:
            yield (
                "two entries swapped",
                lambda entries, at=at: [*entries[:at], entries[at + 1], entries[at], *entries[at + 2 :]],
            )
    yield "all ANSWER entries removed", lambda entries: entries[:1]
    yield "the START entry changed", lambda entries: [edit_entry(entries[0], run="other"), *entries[1:]]


@click.command()
@click.option("--table", type=click.Path(path_type=Path))
def main(table: Path | None) -> None:
    counts_by_change: dict[str, list[int]] = {}

    def audit(kind: str, folder: Path, public: bytes, heads: Sequence[SignedHead] = ()) -> None:
        counts = counts_by_change.setdefault(kind, [0, 0])
        counts[0] += 1
        counts[1] += bool(audit_trail(folder, public, heads).findings)

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        key = SigningKey.create(folder)
        log, heads = write_trail(folder, key)
        files = sorted(folder.glob("*.trail"))
        original_data = {file: file.read_bytes() for file in files}
        assert audit_trail(folder, key.public, heads).findings == []
        for file in files:
            for kind, change in entry_changes():
                file.write_bytes(rewrite_entries(original_data[file], file, change))
                audit(kind, folder, key.public)
            for at in range(len(original_data[file])):
                file.write_bytes(
                    original_data[file][:at]
                    + bytes([original_data[file][at] ^ 1 << at % 8])
                    + original_data[file][at + 1 :]
                )
                audit("one bit flipped (a bit of every byte)", folder, key.public)
            file.write_bytes(original_data[file])
        for file in files:
            file.unlink()
            audit(
                "a file removed"
                if file is not files[-1]
                else "the last file removed, but its heads were published",
                folder,
                key.public,
                heads if file is files[-1] else (),
            )
            file.write_bytes(original_data[file])
        last = parse_segment(files[-1].name, original_data[files[-1]], files[-1])
        answers = next(
            frame
            for frame in last.frames
            if frame.kind == FrameKind.BATCH and frame.first_entry != last.frames[0].first_entry
        )
        # A cut after the answers would only remove a head that is equal to the published one.
        for frame in [frame for frame in last.frames if frame.end < answers.end]:
            files[-1].write_bytes(original_data[files[-1]][: frame.end])
            audit(
                "the last file truncated before a published head",
                folder,
                key.public,
                heads + list(last.heads()),
            )
        files[-1].write_bytes(original_data[files[-1]])
        other_folder = Path(name) / "other"
        other_folder.mkdir()
        write_trail(other_folder, SigningKey.create(other_folder))
        audit("the whole trail replaced by one signed with another key", other_folder, key.public)
        oldest = SegmentCatalog(RealDisk(folder), folder).sealed(1).oldest[0]
        follows = oldest.successor_follows
        log.open_segment(2.0, [])
        retired_entry = encode(
            EntryKind.RETIRED, 2.0, file=oldest.name, follows=follows.seq, link=follows.link, why="age"
        )
        log.append([retired_entry], 2.0)
        files[0].unlink()
        audit("a file removed, with an unsigned RETIRED entry for it", folder, key.public)
    rows = [f"| {kind} | {count} | {found} |" for kind, (count, found) in counts_by_change.items()]
    text = "\n".join(
        (
            f"A trail of {FILES} files with {ANSWERS_PER_FILE} ANSWER entries each. Every change is made at "
            "every position, followed by an audit with the public key (and with published heads where "
            "stated). Entries after the last head are protected only by checksums until the next head is "
            "signed, five seconds later.",
            "",
            "| change | made | detected |",
            "| --- | --- | --- |",
            *rows,
            "",
        )
    )
    click.echo(text)
    if table:
        table.write_text("# Tampering with audit trails\n\n" + text)


if __name__ == "__main__":
    main()
