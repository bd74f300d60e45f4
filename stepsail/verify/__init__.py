"""Checks the rules of request handling on recorded runs.

The checks use nothing but the transcript of a run, and share no code with the router that they verify.
"""

from stepsail.verify.history import History, read_history
from stepsail.verify.rules import verify
from stepsail.verify.violation import Rule, Violation

__all__ = ["History", "Rule", "Violation", "read_history", "verify"]
