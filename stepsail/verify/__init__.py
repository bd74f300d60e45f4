"""The five rules, judged from transcripts taken at the far ends. Shares no code with the umpire."""

from stepsail.verify.history import History, read_history
from stepsail.verify.rules import Breach, verify

__all__ = ["Breach", "History", "read_history", "verify"]
