"""Runs an instance that breaks a rule on purpose, for the tests that check that the checker detects it."""

from __future__ import annotations

import sys
from typing import Any

from stepsail.cli.main import main
from stepsail.decisions.exposure import Exposure
from stepsail.decisions.request import Request
from stepsail.proxy import response_writer


def allow_any_exposure(self: Any, request: Any, build: int) -> bool:
    return True


def allow_any_server(self: Any, server: Any) -> bool:
    return True


if __name__ == "__main__":
    fault = sys.argv.pop(1)
    if fault == "exposure":
        Exposure.may_expose = allow_any_exposure  # type: ignore[method-assign]
    elif fault == "repeats":
        Request.may_be_sent_to = allow_any_server  # type: ignore[method-assign]
    elif fault == "answers":
        encode = response_writer.ResponseWriter._encode
        response_writer.ResponseWriter._encode = lambda *a: encode(*a) * 2  # type: ignore[method-assign]
    else:
        raise SystemExit(f"unknown fault {fault}")
    main()
