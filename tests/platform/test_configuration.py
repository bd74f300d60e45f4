"""Tests the reading of the platform's configuration file and the limits derived from it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from platform_configuration import SETTINGS, configure, write_configuration

from stepsail.platform.configuration import read_configuration
from stepsail.platform.errors import InvalidConfiguration
from stepsail.settings.flat_settings import flatten_json, parse_pairs, read_router_settings


def test_simulator_text_and_platform_object_give_equal_router_settings(
    tmp_path: Path,
) -> None:
    text = "\n".join(f"{path}={value}" for path, value in flatten_json(SETTINGS).items())
    assert "Lanes.count=2" in text and "Zones=hall-a,hall-b" in text and "Limits.Cancel=true" in text
    assert configure(tmp_path).settings.router == read_router_settings(parse_pairs(text))


def test_connection_limits_follow_from_the_socket_limit(tmp_path: Path) -> None:
    low, high = (configure(tmp_path, limits={"sockets": sockets}).settings for sockets in (256, 1024))
    for settings, limit in ((low, 256), (high, 1024)):
        assert (
            limit / 3 < settings.max_client_connections
            and settings.max_client_connections + settings.max_server_connections < limit
        )
    assert low.max_server_connections < high.max_server_connections


@pytest.mark.parametrize(
    "overrides",
    [
        {"settings": []},
        {"deployer": {"address": "nowhere"}},
        {"limits": {}},
        {"seed": "no number"},
        {"settings": SETTINGS | {"Lanes": []}},
        {"settings": SETTINGS | {"MyZone": 7}},
        {"listen": "127.0.0.1"},
    ],
)
def test_invalid_configuration_names_its_file(tmp_path: Path, overrides: dict[str, Any]) -> None:
    with pytest.raises(InvalidConfiguration, match=r"config\.json: "):
        configure(tmp_path, **overrides)


def test_missing_or_truncated_configuration_is_invalid(tmp_path: Path) -> None:
    truncated = write_configuration(tmp_path)
    (tmp_path / "config.json").write_text('{"name":')
    for environ in ({}, truncated, {"PROXY_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(InvalidConfiguration):
            read_configuration(environ)
