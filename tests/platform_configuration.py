"""Writes the platform's configuration file for an instance under test."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from stepsail.platform.configuration import PlatformConfiguration, read_configuration
from stepsail.qualify.settings import SETTINGS as QUALIFICATION_SETTINGS

LOOKUP, RECORD, _ = QUALIFICATION_SETTINGS["Lanes"]
SETTINGS: dict[str, Any] = QUALIFICATION_SETTINGS | {
    "Lanes": [LOOKUP, RECORD | {"WindowMs": 9000.0}],
    "Me": 1,
    "Siblings": 3,
    "Zones": ["hall-a", "hall-b"],
    "Limits": QUALIFICATION_SETTINGS["Limits"] | {"MaxAttempts": 6, "Probing": True},
    "Stats": {"Columns": ["q"], "Source": "answers"},
    "Rules": QUALIFICATION_SETTINGS["Rules"] | {"AnswerSlackMs": 5.0, "AskWithinMs": 0.0},
}


def write_configuration(folder: Path, **overrides: Any) -> dict[str, str]:
    """Write a configuration file with `overrides`; return the environment variables that point to it."""
    content = {
        "name": "n1",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "deployer": {
            "address": "127.0.0.1:6400",
            "news": {"build": 1, "stage": 1, "phase": "live", "cap": 1, "age_ms": 0},
        },
        "settings": SETTINGS,
    } | overrides
    file = folder / "config.json"
    file.write_bytes(msgspec.json.encode(content))
    return {"PROXY_CONFIG": str(file)}


def configure(folder: Path, **overrides: Any) -> PlatformConfiguration:
    """Write a configuration file with `overrides` and read it."""
    return read_configuration(write_configuration(folder, **overrides))
