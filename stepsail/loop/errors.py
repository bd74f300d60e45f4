"""Exceptions that a wait on the loop may raise."""

from __future__ import annotations


class LoopError(Exception):
    """Base class of the errors that the loop itself raises."""


class TimedOut(LoopError):
    """A wait did not end before its timeout.

    Attributes:
        scope: The `Timeout` block that expired, or None if the call's own timeout did.
    """

    def __init__(self, scope: object = None) -> None:
        super().__init__("timed out")
        self.scope = scope


class Closed(LoopError):
    """The port or channel was closed before or during the wait, by this task or another task."""


class Cancelled(BaseException):
    """Raised once inside a cancelled task, at its next wait.

    It does not derive from `Exception`, so that a handler for ordinary errors does not swallow it.
    """


class CleanupExpired(Cancelled):
    """Raised inside a cancelled task that is still waiting in its cleanup after CLEANUP_SECONDS."""
