"""What a wait may raise."""

from __future__ import annotations


class LoopError(Exception):
    """Anything that the loop itself raises."""


class TimedOut(LoopError):
    """A wait outlived its bound; `scope` is the scope that ran out, or None for the call's own bound."""

    def __init__(self, scope: object = None) -> None:
        super().__init__("timed out")
        self.scope = scope


class Closed(LoopError):
    """The descriptor or channel was closed, here or by another task, while it was wanted."""


class Cancelled(BaseException):
    """Raised once inside a cancelled task, at its next wait; no Exception, so that nothing swallows it."""


class CleanupExpired(Cancelled):
    """A cancelled task still waited after its time to tidy up was over."""
