"""The rules, and the violation that a check returns when a rule is broken."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from stepsail.verify.transcript_names import Line

MAX_LINES_SHOWN = 6  # in the text of a violation


class Rule(IntEnum):
    """The five rules; their values are the numbers in reports and in the design documents."""

    ANSWERED_ONCE = 1
    NO_EFFECT_TWICE = 2
    DRAINS_RESPECTED = 3
    NO_OVERLOAD_IN_SLOW_START = 4
    EXPOSURE_LIMITED = 5


@dataclass(frozen=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: The rule.
        clause: The condition of the rule that is violated, as printed in reports.
        subject: The request, server or instance concerned.
        message: A description for people.
        lines: The lines of the transcript that prove the violation.
    """

    rule: Rule
    clause: str
    subject: str
    message: str
    lines: tuple[Line, ...]

    def __str__(self) -> str:
        shown = "".join(f"\n    {line}" for line in self.lines[:MAX_LINES_SHOWN])
        return f"rule {int(self.rule)} ({self.clause}) {self.subject}: {self.message}{shown}"
