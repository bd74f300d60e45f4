"""Defines JSON schemas for the messages of release control, endpoint discovery and clients.

The field names are those on the wire. Unknown fields are ignored, so that later senders may add fields.
"""

from __future__ import annotations

from typing import Any

from jsonschema import Draft202012Validator

from stepsail.proxy.wire_names import ENDPOINT_STATES, PHASES, RECEIPTS

Schema = dict[str, Any]

SECONDS: Schema = {"type": "number", "minimum": 0, "maximum": 1e9}
SMALL_INTEGER: Schema = {"type": "integer", "minimum": 0, "maximum": 65535}
COUNT: Schema = {"type": "integer", "minimum": 0, "maximum": 2**53}
MAX_COUNTS = 10_000  # entries in one message from release control
MAX_SERVERS = 20_000  # entries in one endpoint list


def _object_schema(required: Schema, optional: Schema | None = None) -> Schema:
    return {"type": "object", "properties": required | (optional or {}), "required": list(required)}


RELEASE_STATE = _object_schema(
    {
        "build": SMALL_INTEGER,
        "stage": {**SMALL_INTEGER, "maximum": 255},
        "phase": {"enum": list(PHASES)},
        "cap": {"type": "number", "minimum": 0, "maximum": 1},
        "age": SECONDS,
    }
)
CLASS_COUNTS = _object_schema(
    {
        "build": SMALL_INTEGER,
        "product": {"type": "string"},
        "count": COUNT,
        "errored": COUNT,
        "mean": SECONDS,
        "age": SECONDS,
    }
)
RELEASE_UPDATE = Draft202012Validator(
    _object_schema(
        {"seq": COUNT},
        {
            "state": RELEASE_STATE,
            "counts": {"type": "array", "items": CLASS_COUNTS, "maxItems": MAX_COUNTS},
        },
    )
)
VOTE_RECEIPT = Draft202012Validator(
    _object_schema({"receipt": {"enum": list(RECEIPTS)}}, {"state": RELEASE_STATE})
)
ENDPOINT = _object_schema(
    {
        "address": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"},
        "zone": {"type": "string"},
        "build": SMALL_INTEGER,
        "state": {"enum": list(ENDPOINT_STATES)},
    },
    {
        "cell": SMALL_INTEGER,
        "start": {"type": "string", "maxLength": 100},
        "age": SECONDS,
        "size": {"type": "number", "minimum": 0},
    },
)
ENDPOINT_LIST = Draft202012Validator(
    _object_schema(
        {
            "seq": COUNT,
            "whole": {"type": "boolean"},
            "servers": {"type": "array", "items": ENDPOINT, "maxItems": MAX_SERVERS},
        }
    )
)
DISPUTE = Draft202012Validator(
    _object_schema({"server": {"type": "string"}, "product": {"type": "string"}, "age": SECONDS})
)
