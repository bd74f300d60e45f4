"""The lifecycle state of an instance, shared by all components that serve clients."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServingState:
    """Flags that the serving process sets and that are read for each request.

    Attributes:
        ready: Requests are accepted; before that, each one is rejected.
        closes_after_response: Each connection is closed after its next response.
        shutting_down: Only connections that the operating system has accepted already are served, and each
            one is closed after its next response.
        rejects_all: The shutdown timeout is about to expire; each new request is rejected at once.
    """

    ready: bool = False
    closes_after_response: bool = False
    shutting_down: bool = False
    rejects_all: bool = False

    @property
    def ends_connections(self) -> bool:
        """Whether each connection is closed after its next response."""
        return self.shutting_down or self.closes_after_response
