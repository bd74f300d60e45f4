"""Settings of the instances that qualification runs, in the platform's format."""

from __future__ import annotations

from typing import Any

LONGEST_DEADLINE = 2.5  # s
KEY_WINDOW = 1.0  # s; shorter than the deadline, so that attempts after the end of the window are possible
DRAIN_GRACE = 0.5  # s
SETTINGS: dict[str, Any] = {
    "Lanes": [
        {
            "Name": "lookup",
            "PromiseMs": 400.0,
            "DeadlineMs": 1500.0,
            "Idempotency": "repeatable",
            "Worth": 2.0,
        },
        {
            "Name": "record",
            "PromiseMs": 600.0,
            "DeadlineMs": LONGEST_DEADLINE * 1000.0,
            "Idempotency": "by_key",
            "DedupScope": "zone",
            "WindowMs": KEY_WINDOW * 1000.0,
            "Worth": 6.0,
        },
        {"Name": "charge", "PromiseMs": 600.0, "DeadlineMs": 1500.0, "Idempotency": "once", "Worth": 6.0},
    ],
    "Me": 0,
    "Siblings": 4,
    "MyZone": 0,
    "Zones": ["zone-a", "zone-b"],
    "RegistryMode": "on_request",
    "Realms": [],
    "Limits": {
        "Cancel": True,
        "MaxAttempts": 4,
        "MaxRetryAfterMs": 500.0,
        "RetryAfter": True,
        "ConnIdleMs": 30000.0,
        "ConnectTimeoutMs": 250.0,
        "MaxOpen": 20000,
        "Probing": False,
        "SecondCopies": True,
    },
    "Stats": {"Columns": [], "Source": "none"},
    "Rules": {
        "AnswerSlackMs": 20.0,
        "AskWithinMs": 10000.0,
        "StopSendingWithinMs": DRAIN_GRACE * 1000.0,
        "ColdFrom": 0.3,
        "ColdMs": 900.0,
        "FallMultiple": 3,
    },
    "Domain": {
        "DecidedBy": "first_voice",
        "Shares": [0.5, 1.0],
        "MostShares": [0.85, 1.0],
        "ApiTimeoutMs": 800.0,
        "CountedOverMs": 4000.0,
        "Uncounted": 1.0,
        "VoteAllowance": 5.0,
        "VoteStandsMs": 10000.0,
    },
}
