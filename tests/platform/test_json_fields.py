"""Tests the parsing of JSON fields."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from stepsail.platform.errors import InvalidField
from stepsail.platform.json_fields import parse_address


@given(st.text(max_size=30))
def test_any_text_is_an_address_or_an_invalid_field(text: str) -> None:
    try:
        host, port = parse_address(text)
    except InvalidField:
        return
    assert host.count(".") == 3 and 0 < port < 65536
