"""Tests that a stream of JSON values is parsed completely and in order, and invalid JSON is rejected."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepsail.platform.errors import InvalidJson
from stepsail.platform.json_stream import KEEP_ALIVE, JsonValueStream


def indented(value: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"


def parse_all(*parts: bytes) -> list[Any]:
    result, reader = list[Any](), JsonValueStream(1 << 16)
    for data in parts:
        reader.feed(data)
        while (value := reader.next()) is not None:
            result.append(value)
    return [value for value in result if value is not KEEP_ALIVE]


VALUES = [
    {"index": 4, "endpoints": [{"name": 'a "quoted" } { \\ name', "x": [1, 2, {"y": "]"}]}]},
    {"index": 5},
    [],
]


@given(
    st.lists(st.integers(0, 400), max_size=12),
    st.booleans(),
    st.sampled_from([b"", b"\n", b"\n\n", b" ", b"\r\n"]),
)
def test_values_are_parsed_completely_wherever_the_stream_is_cut(
    cuts: list[int], is_indented: bool, separator: bytes
) -> None:
    text = (
        separator.join((indented(value) if is_indented else msgspec.json.encode(value)) for value in VALUES)
        + b"\n"
    )
    offsets = sorted({0, len(text), *(min(cut, len(text)) for cut in cuts)})
    assert parse_all(*(text[start:end] for start, end in pairwise(offsets))) == VALUES


@pytest.mark.parametrize(
    "text", [b"}\n", b"noise\n", b'{"a": "b\n', b"\xff\xfe{}\n", b"{" * 70000, b'{"a": 1]\n']
)
def test_invalid_json_ends_the_stream(text: bytes) -> None:
    with pytest.raises(InvalidJson):
        parse_all(text, b"\n\n")
