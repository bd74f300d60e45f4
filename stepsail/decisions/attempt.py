"""This module defines an attempt: one transmission of a request to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stepsail.decisions.request import Request
    from stepsail.decisions.server import Server

# Time in seconds after a server's start during which the server's latencies are no evidence.
SERVER_STARTUP_TIME = 3.0


class Attempt:
    """One attempt of a request, with the build, zone and cell that its server had when it was sent."""

    def __init__(self, request: Request, server: Server, sent_at: float) -> None:
        self.request = request
        self.server = server
        self.sent_at = sent_at
        self.build = server.build
        self.zone = server.zone
        self.cell = server.cell
        self.server_started = sent_at - server.started_at >= SERVER_STARTUP_TIME
        self.opens_connection: bool = not server.connected()
        self.counted_for_stalls = False
        self.ended = False
        self.may_have_run = True

    def overdue(self, now: float) -> bool:
        """Return whether the attempt has exceeded the latency objective and is not yet counted as late."""
        return (
            not self.counted_for_stalls and now > self.sent_at + self.request.request_class.latency_objective
        )
