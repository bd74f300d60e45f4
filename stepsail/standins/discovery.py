"""Stand-in for endpoint discovery: a versioned list of servers, sent late, in full or as changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stepsail.loop import Loop, Stream
from stepsail.loop.driver import Address
from stepsail.standins.server import StandInServer
from stepsail.standins.service import Service
from stepsail.standins.transcript import Transcript

READY = "ready"
DRAINING = "draining"
GONE = "gone"


@dataclass(frozen=True)
class Endpoint:
    """State of one server in the list, and the list version of its last change."""

    server: StandInServer
    state: str
    version: int


class DiscoveryService:
    """Publishes changes after `delay` seconds.

    `address_for(instance, server)` returns the address at which the instance reaches the server.
    """

    def __init__(
        self,
        loop: Loop,
        transcript: Transcript,
        delay: float,
        address_for: Callable[[int, StandInServer], Address],
    ) -> None:
        self.loop = loop
        self.transcript = transcript
        self.delay = delay
        self.address_for = address_for
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.service = Service(loop, "roster", self._handle)

    def announce(self, server: StandInServer, state: str, delay: float | None = None) -> None:
        """Publish a server's new state after the usual delay, or after the given delay."""
        self.loop.call_later(
            self.delay if delay is None else delay, lambda: self._apply_change(server, state)
        )

    def _apply_change(self, server: StandInServer, state: str) -> None:
        current = self.endpoints.get(server.name)
        if current and current.server is not server and current.server.started_at > server.started_at:
            return  # the entry already belongs to a later start of the server of this name
        self.version += 1
        self.endpoints[server.name] = Endpoint(server, state, self.version)
        self.service.notify_change()

    def _handle(self, path: str, query: dict[str, str], body: Any, stream: Stream) -> Any:
        instance = int(query.get("umpire", "-1"))
        after = int(query.get("after", "0"))
        deadline = self.service.poll_deadline(query)
        self.service.wait_while(lambda: 0 < after >= self.version, deadline)
        is_full = after == 0 or after > self.version
        listed = [
            endpoint
            for endpoint in self.endpoints.values()
            if (endpoint.state != GONE if is_full else endpoint.version > after)
        ]
        # If two starts of a server have the same address, the receiver keeps the later one in the list.
        listed.sort(key=lambda endpoint: endpoint.version)
        self.transcript.add(
            "roster",
            "told",
            umpire=instance,
            whole=is_full,
            after=after,
            seq=self.version,
            servers={x.server.name: [x.state, x.server.build.number] for x in listed},
        )
        return {
            "seq": self.version,
            "whole": is_full,
            "servers": [self._message(instance, endpoint) for endpoint in listed],
        }

    def _message(self, instance: int, endpoint: Endpoint) -> dict[str, Any]:
        server = endpoint.server
        host, port = self.address_for(instance, server)
        message = {
            "address": f"{host}:{port}",
            "zone": server.zone,
            "build": server.build.number,
            "state": endpoint.state,
            "start": server.start_id,
            "size": 1.0,
        }
        # Servers that ran before the run began are warm, and their age is unknown.
        if server.warm_at > server.started_at:
            message["age"] = round(self.loop.now() - server.started_at, 3)
        return message
