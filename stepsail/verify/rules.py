"""Checks a history against the five rules."""

from __future__ import annotations

from stepsail.verify.exposure_rule import check_exposure_limited
from stepsail.verify.history import History
from stepsail.verify.request_rules import check_answered_once, check_no_effect_twice
from stepsail.verify.server_rules import check_drains_respected, check_no_overload_in_slow_start
from stepsail.verify.violation import Violation

CHECKS = (
    check_answered_once,
    check_no_effect_twice,
    check_drains_respected,
    check_no_overload_in_slow_start,
    check_exposure_limited,
)


def verify(history: History) -> list[Violation]:
    """Return all violations, in the order of the rules."""
    return [violation for check in CHECKS for violation in check(history)]
